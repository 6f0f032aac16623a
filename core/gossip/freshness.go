package gossip

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// maxConfirmedAge is the age up to which a view is accepted without confirmation.
	maxConfirmedAge = 15 * time.Second
	// verifyAge is the age above which peers are queried whether a view is current.
	verifyAge = 10 * time.Second
	// checkTimeout is the longest time that new work waits for a check of the view.
	checkTimeout = 500 * time.Millisecond
	// recheckInterval is the time between two checks of a view that nobody confirms.
	recheckInterval = time.Second
	// settleTime is the time after a check during which unsolicited messages from peers may
	// have been queued for this node while it was paused.
	settleTime = time.Second
	// maxPauseReportAge is how long before the check of a view that was held over a pause a
	// confirmation may have been made to end that check.
	maxPauseReportAge = 3 * time.Second
)

// Freshness states whether the view of the rules is recent enough to admit new work on.
type Freshness uint8

// The states of a view.
const (
	// Fresh means that the view was confirmed recently.
	Fresh Freshness = iota
	// Checking means that the view may be stale and that a check is in progress.
	Checking
	// Unconfirmed means that the view may be stale and that nobody confirms it.
	Unconfirmed
)

// String returns the name of the state in lower case.
func (f Freshness) String() string {
	return [...]string{"fresh", "checking", "alone"}[f]
}

// freshness tracks whether the view of the rules may be stale.
type freshness struct {
	state         Freshness
	pendingChecks int
	lastCheck     time.Time
	// pauseCheckedAt is the time of the last check after a pause.
	pauseCheckedAt time.Time
}

// Freshness returns the state of the rules view of this node.
func (g *Gossip) Freshness() Freshness { return g.freshness.state }

// isTooOld reports whether a confirmation made at the time learned is too old to end the check
// of a view that was held over a pause.
func (t *freshness) isTooOld(learned time.Time) bool {
	return t.state != Fresh && learned.Before(t.pauseCheckedAt.Add(-maxPauseReportAge))
}

// confirm marks the view as fresh and reports whether its state has changed.
func (t *freshness) confirm() bool {
	changed := t.state != Fresh
	t.state = Fresh
	return changed
}

// fail records one failed check. It reports whether that was the last pending one, after which
// the view is no longer confirmed by anyone.
func (t *freshness) fail() bool {
	if t.state != Checking {
		return false
	}
	t.pendingChecks--
	if t.pendingChecks > 0 {
		return false
	}
	t.state = Unconfirmed
	return true
}

// expire ends a check that has reached checkTimeout, and reports whether it did.
func (t *freshness) expire(now time.Time) bool {
	if t.state != Checking || now.Sub(t.lastCheck) < checkTimeout {
		return false
	}
	t.state = Unconfirmed
	return true
}

// check asks the platform and a few peers whether the rules are current. New work waits for
// the responses.
func (g *Gossip) check(at time.Time, random uint64, out []effect.Effect) []effect.Effect {
	g.freshness.state = Checking
	g.freshness.lastCheck = at
	g.freshness.pauseCheckedAt = at
	before := len(out)
	g.reads[event.Rules].pending = true
	out = append(out, effect.FetchDocument{Document: event.Rules, After: g.rules.Version().Revision})
	out = g.exchangeVersions(at, random, checkFanout, out)
	g.freshness.pendingChecks = len(out) - before
	return out
}

// verify asks a few peers whether an aging view is current, without holding up new work. A
// view that was not confirmed for maxConfirmedAge since the start of the node becomes Unconfirmed.
// The first result reports whether the state has changed.
func (g *Gossip) verify(at time.Time, random uint64, out []effect.Effect) (bool, []effect.Effect) {
	t := &g.freshness
	if t.state == Checking || at.Sub(t.lastCheck) < recheckInterval {
		return false, out
	}
	t.lastCheck = at
	changed := t.state == Fresh && min(g.Age(at), at.Sub(g.started)) > maxConfirmedAge
	if changed {
		t.state = Unconfirmed
	}
	return changed, g.exchangeVersions(at, random, checkFanout, out)
}
