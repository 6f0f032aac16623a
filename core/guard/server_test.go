package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
)

func TestUnreachableServerStillDrains(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	g.HealthChecked(event.HealthChecked{At: now, State: event.Draining}, nil)
	g.HealthChecked(event.HealthChecked{At: now, State: event.Unreachable}, nil)
	find[effect.RejectAttempt](c, g.Attempt(attempt(1, ""), guard.Admission{}, nil))
}

func TestFailingServerStaysCold(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	for i := range uint64(10) {
		g.Attempt(attempt(i+1, ""), guard.Admission{}, nil)
		g.ExchangeEnded(event.ExchangeEnded{At: now, Arrival: i + 1, Status: 500}, nil)
	}
	c.Assert(g.Load(time.Time{}).Limit, qt.Equals, 1)
}

func TestColdReportRestartsRamp(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	for i, limit := range []int{1, 1, 1, 2, 3} {
		arrival := uint64(i) + 1
		g.Attempt(attempt(arrival, ""), guard.Admission{}, nil)
		g.ExchangeEnded(event.ExchangeEnded{At: now, Arrival: arrival, Status: 200}, nil)
		c.Assert(g.Load(time.Time{}).Limit, qt.Equals, limit)
	}
	g.HealthChecked(event.HealthChecked{At: now, State: event.Warm}, nil)
	g.HealthChecked(event.HealthChecked{At: now, State: event.Cold}, nil)
	c.Assert(g.Load(time.Time{}).Limit, qt.Equals, 1)
}
