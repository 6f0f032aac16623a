package span_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/span"
)

func TestWaited(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := span.New()
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
