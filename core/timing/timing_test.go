package timing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/timing"
)

const ms = time.Millisecond

// near reports whether two durations differ by less than a tenth.
func near(a, b time.Duration) bool { return a > b*9/10 && a < b*11/10 }

func TestSlowPeriodsDoNotRaiseTypicalTime(t *testing.T) {
	c := qt.New(t)
	u := timing.New()
	for i := range 200 {
		slow, spent := 100, 200*ms
		if i%4 == 0 {
			slow, spent = 400, time.Duration(float64(200*ms)*timing.Slowdown(400))
		}
		u.Observe(1, spent, slow)
	}
	takes, ok := u.ExpectedTime(1, 0)
	c.Assert(ok, qt.IsTrue)
	c.Check(near(takes, 200*ms), qt.IsTrue, qt.Commentf("%v", takes))
	slow, _ := u.ExpectedTime(1, 400)
	c.Check(slow > 2*takes, qt.IsTrue)
	_, ok = u.ExpectedTime(2, 0)
	c.Check(ok, qt.IsFalse)
}

// Short requests must stay short, however many of them there are.
func TestShortRequestsStayShort(t *testing.T) {
	for _, shorts := range []int{1, 2, 8} {
		c := qt.New(t)
		u := timing.New()
		for range 100 {
			u.Observe(1, 130*ms, 100)
			for range shorts {
				u.Observe(2, 40*ms, 100)
			}
		}
		c.Check(u.IsShort(1), qt.IsFalse)
		c.Check(u.IsShort(2), qt.IsTrue, qt.Commentf("%d", shorts))
		c.Check(u.IsShort(3), qt.IsFalse)
	}
}

func TestRareLongRequestsDoNotMakeOthersShort(t *testing.T) {
	c := qt.New(t)
	u := timing.New()
	u.Observe(1, 2000*ms, 100)
	for range 100 {
		u.Observe(2, 150*ms, 100)
	}
	c.Check(u.IsShort(2), qt.IsFalse)
}
