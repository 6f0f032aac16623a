package entry

import (
	"slices"
	"time"

	"bulrushlock/core/cross"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
)

// maxCrossRounds is the number of probe rounds of a request after which other data centres
// are not probed any more: two rounds at home and one elsewhere.
const maxCrossRounds = 3

// permille is the unit of shares in the event log.
const permille = 1000

// crossingOf returns the policy that decides which requests for a service leave the data
// centre.
func (n *Entry) crossingOf(service string) *cross.Policy {
	p, ok := n.crossings[service]
	if !ok {
		p = cross.New()
		n.crossings[service] = p
	}
	return p
}

// retainCrossings drops what was learned about services and data centres that no listed
// instance belongs to.
func (n *Entry) retainCrossings() {
	if n.toll == nil {
		return
	}
	centres := make(map[string]bool)
	for _, p := range n.peerOrder {
		centres[p.instance.Centre] = true
	}
	isListed := func(centre string) bool { return centres[centre] }
	n.toll.Retain(isListed)
	for service, p := range n.crossings {
		if len(n.services[service]) == 0 {
			delete(n.crossings, service)
			continue
		}
		p.Retain(isListed)
	}
}

// pickCrossing selects among the candidates with a recent load report, and records why the
// next attempt of req leaves the data centre or stays.
func (n *Entry) pickCrossing(now time.Time, random uint64, req *request) (int, bool) {
	req.crossing = n.crossingOf(req.service).Decide(now, random, n.candidates, req.targetTimeLeft(now))
	return req.crossing.Index, req.crossing.Index >= 0
}

// keepHome drops the candidates in other data centres if there is one in the own data centre.
func (n *Entry) keepHome() {
	isHome := func(c pick.Candidate) bool { return c.SameCentre }
	if !slices.ContainsFunc(n.candidates, isHome) {
		return
	}
	kept := 0
	for i, c := range n.candidates {
		if isHome(c) {
			n.candidates[kept], n.eligible[kept] = c, n.eligible[i]
			kept++
		}
	}
	n.candidates, n.eligible = n.candidates[:kept], n.eligible[:kept]
}

// crossingTargets returns the guards to probe next for req if leaving the data centre may
// pay: the others of the own data centre once, then some elsewhere.
func (n *Entry) crossingTargets(now time.Time, random uint64, req *request) []fleet.Instance {
	if n.toll == nil || req.probeRounds >= maxCrossRounds {
		return nil
	}
	n.collectCandidates(now, req)
	if !n.crossingOf(req.service).MayPay(now, n.candidates, req.targetTimeLeft(now)) {
		return nil
	}
	order := n.probeOrder[req.service]
	if req.probeRounds < maxCrossRounds-1 {
		if targets, _ := n.appendTargets(now, random, req, order[0], nil); len(targets) > 0 {
			return targets
		}
	}
	req.probeRounds = maxCrossRounds - 1
	targets, _ := n.appendTargets(now, random, req, order[1], nil)
	return targets
}

// observeRoundTrips records the time that each guard took to respond to a load probe.
func (n *Entry) observeRoundTrips(req *request, loads []event.LoadReported) {
	if n.toll == nil {
		return
	}
	for _, l := range loads {
		if p, ok := n.peers[l.Guard.Instance]; ok {
			n.toll.ObserveRoundTrip(p.instance.Centre, l.At.Sub(req.probedAt))
		}
	}
}

// observeResponseSize records the size of a successful response.
func (n *Entry) observeResponseSize(req *request, e event.AttemptEnded) {
	if n.toll != nil && e.Status < statusServerError && e.Size >= 0 {
		n.toll.ObserveResponse(req.class, e.Size)
	}
}

// countCrossing counts an attempt of req that is sent to p if it leaves the data centre or
// was held back.
func (n *Entry) countCrossing(req *request, p *peer, out []effect.Effect) []effect.Effect {
	if n.toll == nil {
		return out
	}
	reason := req.crossing.Reason
	req.crossing = cross.Decision{}
	isAway := p.instance.Centre != n.config.Centre
	req.hasCrossed = req.hasCrossed || isAway
	switch {
	case !isAway && reason == cross.Held:
		return append(out, effect.IncrementCounter{Name: "cross_held"})
	case !isAway:
		return out
	case reason == cross.Pays:
		return append(out, effect.IncrementCounter{Name: "cross_pays"})
	case reason == cross.Target:
		return append(out, effect.IncrementCounter{Name: "cross_target"})
	}
	return append(out, effect.IncrementCounter{Name: "cross_forced"})
}

// crossingFacts returns what was decided about leaving the data centre, if it was a choice.
func crossingFacts(req *request) []effect.Fact {
	d := req.crossing
	if d.Reason == "" || d.Reason == cross.Home {
		return nil
	}
	return []effect.Fact{
		{Key: "cross", Text: string(d.Reason)},
		{Key: "gain_us", Value: d.Gain.Microseconds()},
		{Key: "cost_us", Value: d.Cost.Microseconds()},
		{Key: "share_permille", Value: int64(permille * d.Share)},
	}
}
