package gossip

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// maxConfirmedAge is the age above which a view counts as unconfirmed. Versions from a peer with a
	// higher age do not make a view fresh.
	maxConfirmedAge = 15 * time.Second
	// recheckAge is the age of a view above which peers are asked to confirm it.
	recheckAge = 10 * time.Second
	// checkTimeout is the maximum time for which new work is held for a check of the view.
	checkTimeout = 500 * time.Millisecond
	// recheckInterval is the minimum time between two checks of a view that nobody confirms.
	recheckInterval = time.Second
	// unsolicitedIgnoreTime is how long after the start of a check after a pause unsolicited
	// messages from peers confirm nothing, as they may have been queued while this node was paused.
	unsolicitedIgnoreTime = time.Second
	// maxConfirmationLead is the maximum lead of a confirmation over a check after a pause. An
	// earlier confirmation does not end that check.
	maxConfirmationLead = 3 * time.Second
)

// Freshness says whether the view of the rules is recent enough for the node to admit new work.
type Freshness uint8

// The states of the view of the rules.
const (
	// Fresh means that the view was confirmed recently.
	Fresh Freshness = iota
	// Checking means that the view may be stale and that a check is in progress.
	Checking
	// Unconfirmed means that the view may be stale and that nobody confirms it. It is shown as
	// "alone".
	Unconfirmed
)

// String returns the name of the state as the event log and the status show it.
func (f Freshness) String() string {
	return [...]string{"fresh", "checking", "alone"}[f]
}

// freshnessTracker tracks whether the view of the rules may be stale.
type freshnessTracker struct {
	state Freshness
	// pendingResponses is the number of sources that have not responded to the current check.
	pendingResponses int
	lastCheck        time.Time
	// pauseCheckedAt is the time of the last check after a pause.
	pauseCheckedAt time.Time
}

// Freshness returns the state of the rules view of this node.
func (g *Gossip) Freshness() Freshness { return g.freshness.state }

// isTooOld reports whether a confirmation made at confirmedAt is too old to end the check after
// a pause.
func (f *freshnessTracker) isTooOld(confirmedAt time.Time) bool {
	return f.state != Fresh && confirmedAt.Before(f.pauseCheckedAt.Add(-maxConfirmationLead))
}

// confirm marks the view as fresh and reports whether its state has changed.
func (f *freshnessTracker) confirm() bool {
	changed := f.state != Fresh
	f.state = Fresh
	return changed
}

// fail records that one source of a check failed to confirm the view. It reports whether that
// was the last pending one, in which case the view is now Unconfirmed.
func (f *freshnessTracker) fail() bool {
	if f.state != Checking {
		return false
	}
	f.pendingResponses--
	if f.pendingResponses > 0 {
		return false
	}
	f.state = Unconfirmed
	return true
}

// expire ends a check that has reached checkTimeout, and reports whether there was one.
func (f *freshnessTracker) expire(now time.Time) bool {
	if f.state != Checking || now.Sub(f.lastCheck) < checkTimeout {
		return false
	}
	f.state = Unconfirmed
	return true
}

// checkAfterPause asks the platform and a few peers whether the rules are current. New work is
// held until the check ends.
func (g *Gossip) checkAfterPause(at time.Time, random uint64, out []effect.Effect) []effect.Effect {
	g.freshness.state = Checking
	g.freshness.lastCheck = at
	g.freshness.pauseCheckedAt = at
	before := len(out)
	g.reads[event.Rules].startRead(at)
	held := g.rules.Version()
	out = append(out, effect.FetchDocument{Document: event.Rules, Epoch: held.Epoch, After: held.Revision})
	out = g.exchangeVersions(at, random, checkFanout, out)
	g.freshness.pendingResponses = len(out) - before
	return out
}

// recheck asks a few peers whether an aging view is current, without holding new work. The
// view becomes Unconfirmed once more than maxConfirmedAge has passed since both its last
// confirmation and the start of the node. The first result reports whether the state has changed.
func (g *Gossip) recheck(at time.Time, random uint64, out []effect.Effect) (bool, []effect.Effect) {
	f := &g.freshness
	if f.state == Checking || at.Sub(f.lastCheck) < recheckInterval {
		return false, out
	}
	f.lastCheck = at
	changed := f.state == Fresh && min(g.RulesAge(at), at.Sub(g.started)) > maxConfirmedAge
	if changed {
		f.state = Unconfirmed
	}
	return changed, g.exchangeVersions(at, random, checkFanout, out)
}
