// Package cross decides when a request leaves its data centre, and how many do.
//
// It answers load that moves through the data centres, each of which has too few backend
// servers at times while others have some to spare. A request leaves if it would use up much
// of its latency target at home, and the load reports promise that it ends sooner elsewhere
// by more than crossing costs. All nodes of a data centre see the same and would leave
// together, so only a share of such requests does. The
// share nears one with the gain over the cost, and may double at most once in a doublingTime
// for each data centre. A data centre that comes back, or that takes over from another one,
// is therefore filled step by step, and requests stay at home as soon as the gain is gone.
//
// Without a candidate at home, and where only another data centre meets the latency target,
// requests leave regardless of the share and of the price of their bytes.
//
// # Usage
//
//	p := cross.New()
//	if p.MayPay(now, candidates, targetTimeLeft) {
//		probe(otherCentres)
//	}
//	d := p.Decide(now, random.Uint64(), candidates, targetTimeLeft)
//	if d.Index >= 0 {
//		send(candidates[d.Index])
//	}
package cross

import (
	"math"
	"time"

	"bulrushlock/core/pick"
)

const (
	// minShare is the share of the requests that may leave for a data centre at first.
	minShare = 0.5
	// doublingTime is the shortest time in which the share for a data centre doubles. It
	// covers several round trips, so that reports show the effect of one step before the next.
	doublingTime = 250 * time.Millisecond
	// halvingTime is the time in which the share halves while leaving does not pay. It is
	// longer than short slow periods, in which decisions change several times.
	halvingTime = time.Second
	// forgetTime is the time without a decision after which a share begins anew.
	forgetTime = time.Second
	// amplePart is the part of the time left until the latency target within which a request
	// that is expected to end at home stays there: no caller would notice that it ends sooner.
	amplePart = 0.5
	// mantissaBits is the number of bits of a random number that a share is compared with.
	mantissaBits = 53
)

// Reason says why a request stays in its data centre or leaves it.
type Reason string

// The reasons of a decision.
const (
	// Home means that leaving does not pay.
	Home Reason = "home"
	// Pays means that leaving pays.
	Pays Reason = "pays"
	// Held means that leaving pays, and the request stays because the share is used.
	Held Reason = "held"
	// Target means that only the other data centre meets the latency target.
	Target Reason = "target"
	// Forced means that no backend server at home can be selected.
	Forced Reason = "forced"
)

// Decision is the selection of a backend server.
type Decision struct {
	// Index is the index of the selected candidate, or -1 if none has a recent load report.
	Index  int
	Reason Reason
	// Gain is the time by which the best candidate elsewhere is expected to end sooner than
	// the best one at home, and Cost what it must save; both are 0 if there is no choice.
	Gain time.Duration
	Cost time.Duration
	// Share is the largest share of requests that may now leave for the data centre of the
	// best candidate elsewhere.
	Share float64
}

// Policy selects among the backend servers of one service at home and elsewhere. It is not
// safe for concurrent use.
type Policy struct {
	shares map[string]*share
	// seen is the expected time on the best candidate elsewhere, at the time seenAt.
	seen   float64
	seenAt time.Time
}

var _ pick.Policy = (*Policy)(nil)

// share is the share of the requests that may leave for one data centre.
type share struct {
	value float64
	at    time.Time
}

// New returns a Policy that starts with the smallest share for each data centre.
func New() *Policy { return &Policy{shares: make(map[string]*share)} }

// Pick is Decide without a latency target.
func (p *Policy) Pick(now time.Time, random uint64, candidates []pick.Candidate) (int, bool) {
	d := p.Decide(now, random, candidates, 0)
	return d.Index, d.Index >= 0
}

// Decide selects a candidate. The argument target is the time left until the latency target
// of the request, or 0 if it has none.
func (p *Policy) Decide(now time.Time, random uint64, candidates []pick.Candidate, target time.Duration) Decision {
	home, homeTime := best(now, random, candidates, true)
	remote, remoteTime := best(now, random, candidates, false)
	switch {
	case remote < 0:
		p.fall(now)
		return Decision{Index: home, Reason: Home}
	case home < 0:
		return Decision{Index: remote, Reason: Forced}
	}
	p.seen, p.seenAt = remoteTime, now
	c := &candidates[remote]
	gain, cost := homeTime-remoteTime, c.RemoteCost()
	d := Decision{Index: home, Reason: Home, Gain: multiple(c.TypicalTime, gain), Cost: multiple(c.TypicalTime, cost)}
	isLate := misses(c.TypicalTime, homeTime, target)
	if gain <= cost && !isLate || isAmple(c.TypicalTime, homeTime, target) {
		p.fall(now)
		return d
	}
	d.Share = p.rise(now, c.Centre)
	switch {
	case isLate && c.Wait == 0 && multiple(c.TypicalTime, remoteTime)+c.CrossTime <= target:
		d.Index, d.Reason = remote, Target
	case gain <= cost:
		d.Reason = Home
	case fraction(random) < min(d.Share, (gain-cost)/cost):
		d.Index, d.Reason = remote, Pays
	default:
		d.Reason = Held
	}
	return d
}

// MayPay reports whether a backend server elsewhere may be worth leaving for: one as busy as
// the best that was seen lately, or an idle one. It is false without a recent load report from
// home. The argument target is that of Decide.
func (p *Policy) MayPay(now time.Time, candidates []pick.Candidate, target time.Duration) bool {
	home, homeTime := best(now, 0, candidates, true)
	if home < 0 || isAmple(candidates[home].TypicalTime, homeTime, target) {
		return false
	}
	isLate := misses(candidates[home].TypicalTime, homeTime, target)
	idle := pick.Candidate{Limit: 1}
	away := idle.ExpectedTime(now)
	if now.Sub(p.seenAt) <= forgetTime {
		away = max(away, p.seen)
	}
	for i := range candidates {
		if !candidates[i].SameCentre && (isLate || homeTime-away > candidates[i].RemoteCost()) {
			return true
		}
	}
	return false
}

// Retain drops the shares of data centres for which isListed returns false.
func (p *Policy) Retain(isListed func(centre string) bool) {
	for centre := range p.shares {
		if !isListed(centre) {
			delete(p.shares, centre)
		}
	}
}

// best returns the candidate with a recent load report and the lowest expected time, at home
// or elsewhere. The cost of crossing counts among those elsewhere, but is not part of the
// result. The index is -1 if there is none.
func best(now time.Time, random uint64, candidates []pick.Candidate, atHome bool) (index int, expected float64) {
	index = -1
	if len(candidates) == 0 {
		return index, 0
	}
	least := 0.0
	start := int(random % uint64(len(candidates)))
	for k := range candidates {
		i := (start + k) % len(candidates)
		c := &candidates[i]
		if (c.SameCentre || c.SameInstance) != atHome || !c.HasRecentReport(now) {
			continue
		}
		t := c.ExpectedTime(now)
		if total := t + c.RemoteCost(); index < 0 || total < least {
			index, least, expected = i, total, t
		}
	}
	return index, expected
}

// isAmple reports whether a request that takes home, in multiples of the typical time, leaves
// much of the time until the target.
func isAmple(typical time.Duration, home float64, target time.Duration) bool {
	return target > 0 && multiple(typical, home) <= multiple(target, amplePart)
}

// misses reports whether a request that takes time, in multiples of the typical time, misses
// the target.
func misses(typical time.Duration, takes float64, target time.Duration) bool {
	return target > 0 && multiple(typical, takes) > target
}

// multiple returns n times d.
func multiple(d time.Duration, n float64) time.Duration { return time.Duration(n * float64(d)) }

// fraction maps random to a number from 0 to 1, exclusive.
func fraction(random uint64) float64 {
	return float64(random>>(64-mantissaBits)) / (1 << mantissaBits)
}

// rise raises the share for a data centre and returns it.
func (p *Policy) rise(now time.Time, centre string) float64 {
	s, ok := p.shares[centre]
	if !ok {
		s = &share{value: minShare, at: now}
		p.shares[centre] = s
	}
	s.scale(now, doublingTime, 2)
	return s.value
}

// fall lowers the shares for all data centres.
func (p *Policy) fall(now time.Time) {
	for _, s := range p.shares {
		s.scale(now, halvingTime, 0.5)
	}
}

// scale multiplies the share by factor for each interval since it was last scaled.
func (s *share) scale(now time.Time, interval time.Duration, factor float64) {
	spent := max(now.Sub(s.at), 0)
	s.at = now
	if spent > forgetTime {
		s.value = minShare
		return
	}
	s.value *= math.Pow(factor, float64(spent)/float64(interval))
	s.value = min(max(s.value, minShare), 1)
}
