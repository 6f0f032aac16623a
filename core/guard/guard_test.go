package guard_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

const ruleText = `
service ledger slots=4 cold=1 warm=3 # Asha: test
route POST /lines service=ledger idempotent=no # Asha: test
`

var (
	now   = time.Unix(0, 0)
	self  = ticket.NodeID{Instance: "b", Incarnation: 1}
	owned = guard.Admission{Owner: true, OwnedPastViewLag: true, Settled: true}
)

// newGuard returns a guard with the rules of these tests.
func newGuard(c *qt.C) *guard.Guard {
	set, err := rules.Parse(ruleText)
	c.Assert(err, qt.IsNil)
	g := guard.New(guard.Config{Node: self, Centre: "north", Service: "ledger"})
	g.SetRules(now, set, nil)
	return g
}

// find returns the only effect in out apart from decisions. It must be of type T.
func find[T any](c *qt.C, out []effect.Effect) T {
	out = slices.DeleteFunc(slices.Clone(out), func(e effect.Effect) bool {
		_, isDecision := e.(effect.Decision)
		return isDecision
	})
	c.Assert(out, qt.HasLen, 1)
	e, ok := out[0].(T)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", out))
	return e
}

// attempt returns the arrival of an attempt with an idempotency key.
func attempt(arrival uint64, key string) event.Attempt {
	t := ticket.Ticket{Entry: ticket.NodeID{Instance: "a"}, Sequence: arrival, Guard: self, Service: "ledger"}
	return event.Attempt{At: now, Ticket: t, Arrival: arrival, TimeLeft: time.Second, Key: key}
}

func TestSecondAttemptOfRunningKeyIsDenied(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	find[effect.Admit](c, g.Attempt(attempt(1, "k"), owned, nil))
	d := find[effect.RejectAttempt](c, g.Attempt(attempt(2, "k"), owned, nil))
	c.Assert(d.Outcome, qt.Equals, effect.Running)
	c.Assert(d.Reason, qt.Equals, effect.ReasonKey)
}

// A guard that admits no new work must still respond from what it knows of a key, and
// may report not-run only if it knows that.
func TestSecondAttemptOfKeyAtClosedGuard(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	g.Attempt(attempt(1, "k"), owned, nil)
	g.ExchangeEnded(event.ExchangeEnded{At: now, Arrival: 1, Status: 200, Response: &event.StoredResponse{Status: 200}}, nil)
	closed := owned
	closed.CloseReason = effect.ReasonOutOfService
	find[effect.ReplayResponse](c, g.Attempt(attempt(2, "k"), closed, nil))
	c.Assert(find[effect.RejectAttempt](c, g.Attempt(attempt(3, "other"), closed, nil)).Outcome, qt.Equals, effect.Unknown)
	first := attempt(4, "first")
	first.FirstUse = true
	c.Assert(find[effect.RejectAttempt](c, g.Attempt(first, closed, nil)).Outcome, qt.Equals, effect.NotRun)
}

// A guard that has owned a key for less than the lag of the instance list must not run
// it: the previous owner may still run the same key for a caller that retries.
func TestFirstUseNeedsOwnershipLongerThanViewLag(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	e := attempt(1, "k")
	e.FirstUse = true
	d := find[effect.RejectAttempt](c, g.Attempt(e, guard.Admission{Owner: true}, nil))
	c.Assert(d.Outcome, qt.Equals, effect.NotRun)
}

// A first attempt that never arrived must not be reported as not-run while another
// attempt with its key, which overtook it, is running or has run.
func TestVoidOfOvertakenFirstAttempt(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	find[effect.Admit](c, g.Attempt(attempt(2, "k"), owned, nil))
	first := attempt(1, "k")
	first.FirstUse = true
	query := event.OutcomeQueried{At: now, Ticket: first.Ticket, Key: "k", Void: true}
	out := g.OutcomeQueried(query, nil)
	c.Assert(out[len(out)-1].(effect.ReportOutcome).Verdict, qt.Equals, event.Running)
	response := &event.StoredResponse{Status: 200}
	g.ExchangeEnded(event.ExchangeEnded{At: now, Arrival: 2, Status: 200, Response: response}, nil)
	out = g.OutcomeQueried(query, nil)
	c.Assert(out[len(out)-1].(effect.ReportOutcome), qt.DeepEquals, effect.ReportOutcome{Verdict: event.Ran, Response: response})
}
