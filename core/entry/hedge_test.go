package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// TestHedgeNeedsAnotherServer lets the only other guard leave before the hedge is due.
func TestHedgeNeedsAnotherServer(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	f := find[effect.Forward](c, n.Request(request("GET"), nil))
	other := "b"
	if f.Peer.Name == "b" {
		other = "c"
	}
	n.Loaded(event.Loaded{At: now, Guard: ticket.Node{Instance: other, Incarnation: 1}, Load: report.Load{Leaving: true}})
	out := n.Slow(event.Slow{At: now, ID: 1}, nil)
	c.Assert(has[effect.Reply](out) || has[effect.Cancel](out) || has[effect.Forward](out), qt.IsFalse)
	c.Assert(n.Busy(), qt.Equals, 1)
}

func TestNonIdempotentIsNeverHedged(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	find[effect.Forward](c, n.Request(request("POST"), nil))
	c.Assert(has[effect.Forward](n.Slow(event.Slow{At: now, ID: 1}, nil)), qt.IsFalse)
}
