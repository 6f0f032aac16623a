package gossip

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// trustTime is the age up to which a view is trusted without being checked.
	trustTime = 15 * time.Second
	// doubtTime is the age from which peers are asked whether a view is the newest.
	doubtTime = 10 * time.Second
	// checkTime is the longest time that new work waits for a check of the view.
	checkTime = 500 * time.Millisecond
	// recheckTime is the time between two checks of a view that nobody confirms.
	recheckTime = time.Second
	// settleTime is the time after a check in which what peers tell unasked may have
	// waited for this node.
	settleTime = time.Second
	// pauseAge is the age up to which a peer's word ends a check after a pause.
	pauseAge = 3 * time.Second
)

// Trust tells whether new work may be taken on a view.
type Trust uint8

// The degrees of trust.
const (
	// Fresh means that the view was confirmed lately.
	Fresh Trust = iota
	// Checking means that the view may be old and that a check is under way.
	Checking
	// Alone means that the view may be old and that nobody confirms it.
	Alone
)

// String returns the name of the degree.
func (t Trust) String() string {
	return [...]string{"fresh", "checking", "alone"}[t]
}

// trust follows whether the view of the rules may be old.
type trust struct {
	degree  Trust
	pending int
	since   time.Time
	// checked is the time of the last check after a pause.
	checked time.Time
}

// Trust returns the trust in the rules of this node.
func (g *Gossip) Trust() Trust { return g.trust.degree }

// isTooOld reports whether what was learned at a time cannot end the check of a
// view that was held over a pause.
func (t *trust) isTooOld(learned time.Time) bool {
	return t.degree != Fresh && learned.Before(t.checked.Add(-pauseAge))
}

// confirm takes over that the view is the newest, and reports whether that is a change.
func (t *trust) confirm() bool {
	changed := t.degree != Fresh
	t.degree = Fresh
	return changed
}

// fail takes over that one check has failed, and reports whether it was the last one.
func (t *trust) fail() bool {
	if t.degree != Checking {
		return false
	}
	t.pending--
	if t.pending > 0 {
		return false
	}
	t.degree = Alone
	return true
}

// expire ends a check that takes too long, and reports whether it did.
func (t *trust) expire(now time.Time) bool {
	if t.degree != Checking || now.Sub(t.since) < checkTime {
		return false
	}
	t.degree = Alone
	return true
}

// check asks the platform and a few peers whether the view is the newest. New
// work waits for the answers.
func (g *Gossip) check(at time.Time, random uint64, out []effect.Effect) []effect.Effect {
	g.trust.degree = Checking
	g.trust.since = at
	g.trust.checked = at
	before := len(out)
	g.reads[event.Rules].pending = true
	out = append(out, effect.Fetch{Document: event.Rules, After: g.rules.Version().Revision})
	out = g.tell(at, random, checks, out)
	g.trust.pending = len(out) - before
	return out
}

// doubt asks a few peers, beside the work that goes on, whether a view that is
// no longer young is the newest. A view past trustTime is no longer trusted.
func (g *Gossip) doubt(at time.Time, random uint64, out []effect.Effect) (bool, []effect.Effect) {
	t := &g.trust
	if t.degree == Checking || at.Sub(t.since) < recheckTime {
		return false, out
	}
	t.since = at
	changed := t.degree == Fresh && min(g.Age(at), at.Sub(g.began)) > trustTime
	if changed {
		t.degree = Alone
	}
	return changed, g.tell(at, random, checks, out)
}
