package waited_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/waited"
)

// minShare is the smallest share of their time that retrying callers have waited.
const minShare = 0.15

func TestEstimate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := waited.New(minShare)
	c.Check(s.Estimate(now, 3*time.Second), qt.Equals, time.Duration(0))
	c.Check(s.Estimate(now, 2*time.Second), qt.Equals, time.Second)
	c.Check(s.Estimate(now, 3*time.Second), qt.Equals, time.Duration(0))
	// Once the longer timeout is out of the window, the shorter one is the reference.
	for range 30 {
		now = now.Add(time.Second)
		s.Estimate(now, 2*time.Second)
	}
	c.Check(s.Estimate(now, 2*time.Second), qt.Equals, time.Duration(0))
}

// Small differences between the timeouts of callers do not count as waiting.
func TestDifferentCallerTimeouts(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := waited.New(minShare)
	for i := range 300 {
		left := 3*time.Second - time.Duration(i%45)*10*time.Millisecond
		c.Assert(s.Estimate(now.Add(time.Duration(i)*10*time.Millisecond), left), qt.Equals, time.Duration(0))
	}
}
