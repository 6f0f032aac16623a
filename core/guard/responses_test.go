package guard_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
)

func TestOldResponsesAreEvictedButStatesAreKept(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	const count = 6
	for i := uint64(1); i <= count; i++ {
		find[effect.Admit](c, g.Attempt(attempt(i, ""), guard.Admission{}, nil))
		response := &event.StoredResponse{Status: 200, Body: make([]byte, 1<<20)}
		g.ExchangeEnded(event.ExchangeEnded{At: now, Arrival: i, Status: 200, Response: response}, nil)
	}
	kept := 0
	for i := uint64(1); i <= count; i++ {
		v := find[effect.ReportOutcome](c, g.OutcomeQueried(event.OutcomeQueried{At: now, Ticket: attempt(i, "").Ticket}, nil))
		c.Check(v.Verdict, qt.Equals, event.Ran)
		if v.Response != nil {
			kept++
		}
	}
	c.Assert(kept, qt.Equals, 4)
}
