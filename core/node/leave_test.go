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
	n, now := newLeavingNode(c)
	now = now.Add(time.Minute)
	out := n.Step(event.Request{At: now, ID: 1, Method: "GET", Path: "/"}, nil)
	out = n.Step(event.Tick{At: now}, out)
	for _, e := range out {
		_, ended := e.(effect.ReportDrained)
		c.Assert(ended, qt.IsFalse)
	}
}

// TestLeavingNodeFinishesUnderSteadyLoad checks that a leaving node shuts down although callers
// send continuously: after its drain time and callerGrace it rejects their requests.
func TestLeavingNodeFinishesUnderSteadyLoad(t *testing.T) {
	c := qt.New(t)
	n, now := newLeavingNode(c)
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

// TestLeavingNodeForwardsNothingLateInItsGrace checks that a leaving node takes no request that
// it would have no time to finish: the platform kills it a few seconds after it was asked to shut
// down, also if it was paused in between.
func TestLeavingNodeForwardsNothingLateInItsGrace(t *testing.T) {
	tests := []struct {
		name string
		// pauseAt is the time after the request to shut down at which the node is paused for
		// pause.
		pauseAt, pause time.Duration
	}{
		{name: "calm"},
		{name: "paused within the drain time", pauseAt: 500 * time.Millisecond, pause: 2500 * time.Millisecond},
		{name: "paused after it", pauseAt: 1500 * time.Millisecond, pause: 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n, began := newLeavingNode(c)
			for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 50 * time.Millisecond {
				if elapsed == tt.pauseAt {
					elapsed += tt.pause
				}
				now := began.Add(elapsed)
				// Requests arrive while the node is paused, and are read at its end.
				isForwarded := false
				for _, e := range n.Step(event.Request{At: now, ID: uint64(elapsed), Method: "GET", Path: "/", Random: 1}, nil) {
					switch e := e.(type) {
					case effect.Forward:
						isForwarded = true
						n.Step(event.AttemptEnded{At: now, ID: e.ID, Ticket: e.Ticket, Verdict: event.Ran, Status: 200}, nil)
					case effect.ReplyFromEntry:
						c.Check(e.Outcome, qt.Equals, effect.NotRun)
						c.Check(e.RetryAfter > 0, qt.IsTrue)
					}
				}
				c.Check(isForwarded, qt.Equals, elapsed <= 2*time.Second, qt.Commentf("%v", elapsed))
				n.Step(event.Tick{At: now}, nil)
			}
		})
	}
}

// newLeavingNode returns a node that was just asked to shut down, and the time of that.
func newLeavingNode(c *qt.C) (*node.Node, time.Time) {
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
	return n, now
}
