package span_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/span"
)

// least is the share of their time that callers wait at least that come back.
const least = 0.15

func TestWaited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := span.New(least)
	c.Check(s.Waited(now, 3*time.Second), qt.Equals, time.Duration(0))
	c.Check(s.Waited(now, 2*time.Second), qt.Equals, time.Second)
	c.Check(s.Waited(now, 3*time.Second), qt.Equals, time.Duration(0))
	// Callers that begin with less time are known after a while.
	for range 30 {
		now = now.Add(time.Second)
		s.Waited(now, 2*time.Second)
	}
	c.Check(s.Waited(now, 2*time.Second), qt.Equals, time.Duration(0))
}

// Callers that give a little more or less time have waited for nothing.
func TestCallersDiffer(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := span.New(least)
	for i := range 300 {
		left := 3*time.Second - time.Duration(i%45)*10*time.Millisecond
		c.Assert(s.Waited(now.Add(time.Duration(i)*10*time.Millisecond), left), qt.Equals, time.Duration(0))
	}
}
