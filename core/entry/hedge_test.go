package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// The only other guard starts to leave before the hedge is due. No hedge may be sent,
// and the first attempt must stay in progress.
func TestHedgeNeedsAnotherServer(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	f := findEffect[effect.Forward](c, n.Request(request("GET"), nil))
	other := "b"
	if f.Peer.Name == "b" {
		other = "c"
	}
	n.LoadReported(event.LoadReported{At: now, Guard: ticket.NodeID{Instance: other, Incarnation: 1}, Load: report.Load{Leaving: true}})
	out := n.HedgeDelayPassed(event.HedgeDelayPassed{At: now, ID: 1}, nil)
	c.Assert(hasEffect[effect.ReplyFromEntry](out) || hasEffect[effect.Cancel](out) || hasEffect[effect.Forward](out), qt.IsFalse)
	c.Assert(n.InFlight(), qt.Equals, 1)
}

func TestNonIdempotentIsNeverHedged(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	findEffect[effect.Forward](c, n.Request(request("POST"), nil))
	c.Assert(hasEffect[effect.Forward](n.HedgeDelayPassed(event.HedgeDelayPassed{At: now, ID: 1}, nil)), qt.IsFalse)
}
