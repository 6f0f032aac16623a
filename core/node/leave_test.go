package node_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
)

// TestPausedNodeDoesNotFinishOnRequest checks that a leaving node which was paused for its
// whole drain time does not shut down when a request is its first event after the pause: it
// must first reject attempts from nodes that do not know yet that it is leaving.
func TestPausedNodeDoesNotFinishOnRequest(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	h.node.Step(event.ShutdownRequested{At: h.now}, nil)
	h.now = h.now.Add(time.Minute)
	out := h.node.Step(event.Request{At: h.now, ID: 1, Method: "POST", Path: "/lines"}, nil)
	out = h.node.Step(event.Tick{At: h.now}, out)
	for _, e := range out {
		_, ended := e.(effect.ReportDrained)
		c.Assert(ended, qt.IsFalse)
	}
}

// TestLeavingNodeFinishesUnderSteadyLoad checks that a leaving node shuts down although callers
// send continuously: after its drain time and callerGrace it rejects their requests.
func TestLeavingNodeFinishesUnderSteadyLoad(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	n := node.New(node.Config{Instance: "a", Centre: "north", Service: "ledger", DrainTime: time.Second}, pick.NewLoadAware())
	n.Start(event.Tick{At: now}, nil)
	text, err := fleet.Format([]fleet.Instance{{
		Name: "b", Centre: "north", Service: "ledger",
		ForwardAddr: netip.MustParseAddrPort("10.0.0.2:1"), ControlAddr: netip.MustParseAddrPort("10.0.0.2:2"),
	}})
	c.Assert(err, qt.IsNil)
	n.Step(event.DocumentRead{At: now, Document: event.Rules, Revision: 1, Text: "service ledger slots=4 # Asha: test\nroute GET / service=ledger idempotent=yes # Asha: test\n"}, nil)
	n.Step(event.DocumentRead{At: now, Document: event.Fleet, Revision: 1, Text: text}, nil)
	n.Step(event.ShutdownRequested{At: now}, nil)
	type open struct {
		forward effect.Forward
		at      time.Time
	}
	var pending []open
	refused := 0
	for i := range 120 {
		now = now.Add(50 * time.Millisecond)
		for _, e := range n.Step(event.Request{At: now, ID: uint64(i), Method: "GET", Path: "/", Random: 1}, nil) {
			switch e := e.(type) {
			case effect.Forward:
				pending = append(pending, open{e, now})
			case effect.ReplyFromEntry:
				c.Assert(e.Outcome, qt.Equals, effect.NotRun)
				refused++
			}
		}
		for len(pending) > 0 && now.Sub(pending[0].at) >= 300*time.Millisecond {
			f := pending[0].forward
			pending = pending[1:]
			n.Step(event.AttemptEnded{At: now, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 200}, nil)
		}
		for _, e := range n.Step(event.Tick{At: now}, nil) {
			if _, ok := e.(effect.ReportDrained); ok {
				c.Check(refused > 0, qt.IsTrue)
				return
			}
		}
	}
	c.Fatal("the node does not finish")
}
