package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/stride"
	"bulrushlock/core/waited"
)

// freshLoadAge is the age up to which a load report makes a new load probe unnecessary.
const freshLoadAge = 5 * time.Millisecond

// loadProbeTargets returns the guards to probe for their load before req is sent: random ones
// of the entry's own data centre first, then of others. All guards of a data centre are
// equally likely, whatever their order in the instance list. The guard of the entry's own
// instance needs no probe. If crossing has a price, other data centres are probed only where
// the own one has no guard to probe.
func (n *Entry) loadProbeTargets(now time.Time, random uint64, req *request) []fleet.Instance {
	if n.config.ProbeCount == 0 || req.isKeyed() || len(n.services[req.service]) < 2 {
		return nil
	}
	order := n.probeOrder[req.service]
	targets, isKnown := n.appendTargets(now, random, req, order[0], nil)
	if n.toll != nil && (isKnown || len(targets) > 0) {
		return targets
	}
	targets, _ = n.appendTargets(now, random, req, order[1], targets)
	return targets
}

// appendTargets appends random guards of peers to those that are to be probed for req, up to
// the probe count. The result isKnown reports that the load of another one is known already.
func (n *Entry) appendTargets(now time.Time, random uint64, req *request, peers []*peer, targets []fleet.Instance) (all []fleet.Instance, isKnown bool) {
	order := stride.New(random, len(peers))
	for i := range peers {
		p := peers[order.At(i)]
		if len(targets) == n.config.ProbeCount {
			break
		}
		if req.hasTried(p.instance.Name) || p.isLeaving(now) && !p.needsEndingProbe(now) {
			continue
		}
		if now.Sub(p.reportedAt) <= freshLoadAge {
			isKnown = true
			continue
		}
		targets = append(targets, p.instance)
	}
	return targets, isKnown
}

// probeLoads sends load probes to the guards of targets for req.
func probeLoads(now time.Time, req *request, targets []fleet.Instance, out []effect.Effect) []effect.Effect {
	req.awaitingLoads = true
	req.probedAt = now
	return append(out, effect.ProbeCandidates{ID: req.id, Peers: targets, Priority: req.route.Priority})
}

// CandidatesProbed sends a request, or a hedge of it, after the load probes for it have ended.
// It rejects the request if it would miss its latency target and no peer has capacity to
// spare.
func (n *Entry) CandidatesProbed(e event.CandidatesProbed, out []effect.Effect) []effect.Effect {
	for _, l := range e.Loads {
		n.LoadReported(l)
	}
	req, ok := n.requests[e.ID]
	if !ok || !req.awaitingLoads {
		return out
	}
	req.awaitingLoads = false
	n.observeRoundTrips(req, e.Loads)
	if len(req.activeTickets) > 0 {
		return n.hedge(e.At, e.Random, req, out)
	}
	req.probeRounds++
	if probed := n.crossingTargets(e.At, e.Random, req); len(probed) > 0 {
		return probeLoads(e.At, req, probed, out)
	}
	if n.wouldMissTarget(e.At, e.Random, req) {
		if probed := n.loadProbeTargets(e.At, e.Random, req); len(probed) > 0 && req.probeRounds < maxProbeRounds {
			return probeLoads(e.At, req, probed, out)
		}
		if p := n.peerForLateRequest(e.At, req); p != nil {
			return n.send(e.At, e.Random, req, p, out)
		}
		return n.reply(e.At, req, effect.NotRun, effect.ReasonOverloaded, out)
	}
	return n.forward(e.At, e.Random, req, effect.ReasonServers, out)
}

// lateMaxLoad is the share of its concurrency limit up to which a backend server gets
// requests that are expected to miss the latency target.
const lateMaxLoad = 0.5

// peerForLateRequest returns the best peer for req, which is expected to be late, among
// the peers with enough spare capacity that req displaces no other work, or nil. A late
// response is better than none, and a slow period may end before the request does.
func (n *Entry) peerForLateRequest(now time.Time, req *request) *peer {
	var best *peer
	for _, p := range n.services[req.service] {
		l := p.load
		free := l.Limit > 0 && l.Wait == 0 && float64(l.InFlight+p.sent) < lateMaxLoad*float64(l.Limit)
		if !free || l.Cold || l.Ill || req.hasTried(p.instance.Name) || p.isLeaving(now) || now.Sub(p.reportedAt) > recentLoadAge {
			continue
		}
		if best == nil || n.isBetterForLate(p, best) {
			best = p
		}
	}
	return best
}

// isBetterForLate reports whether a request that is expected to be late goes to a rather than to
// b: to the own data centre if crossing has a price, then to the faster and less busy one.
func (n *Entry) isBetterForLate(a, b *peer) bool {
	if atHome := a.instance.Centre == n.config.Centre; n.toll != nil && atHome != (b.instance.Centre == n.config.Centre) {
		return atHome
	}
	return a.load.Slow < b.load.Slow || a.load.Slow == b.load.Slow && a.load.InFlight+a.sent < b.load.InFlight+b.sent
}

const (
	// maxProbeRounds is the number of times that guards are probed before the first
	// attempt of a request.
	maxProbeRounds = 2
	// serviceTimeMargin is the factor on the expected service time of a request that
	// must fit into the time left before the latency target.
	serviceTimeMargin = 1.25
)

// wouldMissTarget reports whether even the best guard for req, by its recent load report,
// has no free slot and is not expected to finish req within the latency target. Classes of
// short work always pass, since guards hold slots for them that load reports do not
// include.
func (n *Entry) wouldMissTarget(now time.Time, random uint64, req *request) bool {
	p := n.selectPeer(now, random, req)
	if p == nil || req.route.LatencyTarget == 0 || req.isNested() || n.serviceTimes.IsShort(req.class) || now.Sub(p.reportedAt) > recentLoadAge {
		return false
	}
	l, wait := p.load, p.waitOf(req.route.Priority, now)
	if wait == 0 && l.Limit > 0 {
		return false
	}
	takes, ok := n.serviceTimes.ExpectedTime(req.class, l.Slow)
	return ok && wait+time.Duration(serviceTimeMargin*float64(takes)) > req.targetTimeLeft(now)
}

// targetTimeLeft returns the time left before the latency target of r, or 0 if its route
// has none. If the target has passed, it returns the shortest duration, 1 ns.
func (r *request) targetTimeLeft(now time.Time) time.Duration {
	if r.route.LatencyTarget == 0 {
		return 0
	}
	return max(r.route.LatencyTarget-r.waitedBefore-now.Sub(r.arrivedAt), 1)
}

// priorWait returns the time that the caller of req had already waited when it sent req. It
// is known only if the route has a latency target and the caller sends the time left.
// Classes of short work are left out: nested calls are short, and they carry the time
// left of their parent request.
func (n *Entry) priorWait(req *request, e event.Request) time.Duration {
	if req.route.LatencyTarget == 0 || e.Call.TimeLeft == 0 || n.serviceTimes.IsShort(req.class) {
		return 0
	}
	s, ok := n.callerTimeouts[req.class]
	if !ok {
		s = waited.New(retryAfterShare * (1 - retryAfterSpread))
		n.callerTimeouts[req.class] = s
	}
	return s.Estimate(e.At, e.Call.TimeLeft)
}

// isNested reports whether r is a nested call that a running request waits for.
func (r *request) isNested() bool { return r.limits.Depth > 1 }

// typicalTimeOf returns the typical service time of req on a backend server at normal
// speed.
func (n *Entry) typicalTimeOf(req *request) time.Duration {
	return n.serviceTimes.TypicalTime(req.class, req.route.LatencyTarget)
}

const (
	// retryAfterShare is the longest Retry-After delay as a share of the time that the
	// caller has left, so that it can retry more than once.
	retryAfterShare = 0.33
	// retryAfterSpread is the share of that delay over which the retries of callers that
	// were rejected together are spread.
	retryAfterSpread = 0.5
	// minRetryAfter and maxRetryAfter bound the Retry-After delay of a node that has no
	// backend server for the request yet.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
)

// retryAfter returns the time after which the caller of req may retry. Under overload the
// delay is long: capacity becomes free only once the load has passed, and an immediate
// retry would take it from other callers.
func (n *Entry) retryAfter(now time.Time, req *request, r effect.Reason) time.Duration {
	n.rejections++
	turn := float64(n.rejections*spreadStep%spreadSteps) / spreadSteps
	if r == effect.ReasonAllotment {
		return tokenRetryAfter(req.refusal, turn)
	}
	if r != effect.ReasonOverloaded && r != effect.ReasonShed && r != effect.ReasonDeadline {
		return minRetryAfter + time.Duration(turn*float64(maxRetryAfter-minRetryAfter))
	}
	left := max(req.timeLeft(now), 0)
	most := retryAfterShare * float64(left)
	return time.Duration(most * (1 - retryAfterSpread + retryAfterSpread*turn))
}

// spreadStep and spreadSteps distribute successive rejections evenly over an interval.
const (
	spreadStep  = 61
	spreadSteps = 100
)

// timeLeft returns the time for which the caller of r still waits: until its own timeout
// if it sent one, else until the deadline of r.
func (r *request) timeLeft(now time.Time) time.Duration {
	if r.callerTimeout == 0 {
		return r.deadline.Sub(now)
	}
	return r.callerTimeout - now.Sub(r.arrivedAt)
}
