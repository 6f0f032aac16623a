package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// TestPausedNodeDoesNotEndWithRequest lets a leaving node sleep through its drain
// time, and wakes it with a request.
func TestPausedNodeDoesNotEndWithRequest(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, "a")
	b.node.Step(event.Leave{At: b.now}, nil)
	b.now = b.now.Add(time.Minute)
	out := b.node.Step(event.Request{At: b.now, ID: 1, Method: "POST", Path: "/lines"}, nil)
	out = b.node.Step(event.Tick{At: b.now}, out)
	for _, e := range out {
		_, ended := e.(effect.Finished)
		c.Assert(ended, qt.IsFalse)
	}
}
