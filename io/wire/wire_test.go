package wire

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
)

const testRules = `
service filing slots=10   # Test: one service
budget probe=100   # Test: probes are answered
`

// newEndpoint returns the Endpoint of a node that has rules, and the address at which it serves.
func newEndpoint(c *qt.C, self ticket.NodeID) (*Endpoint, netip.AddrPort) {
	n := node.New(node.Config{
		Instance: self.Instance, Incarnation: self.Incarnation, Centre: "north", Service: "filing",
	}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{
		Instance: self.Instance, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {},
	})
	c.Cleanup(l.Stop)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 3})
	w := New(l, self, netip.AddrPort{}, (&net.Dialer{}).DialContext)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go w.Serve(listener)
	return w, netip.MustParseAddrPort(listener.Addr().String())
}

// net/rpc rejects some types only when a value is sent, so each method is called once.
func TestEveryCallGetsResponse(t *testing.T) {
	c := qt.New(t)
	one := ticket.NodeID{Instance: "filing-1", Incarnation: 1}
	two := ticket.NodeID{Instance: "filing-2", Incarnation: 2}
	w, _ := newEndpoint(c, one)
	_, peer := newEndpoint(c, two)
	ctx := t.Context()

	received, err := w.ExchangeVersions(ctx, peer, event.Versions{})
	c.Assert(err, qt.IsNil)
	c.Check(received.From, qt.Equals, two)
	c.Check(received.Versions.Rules.Revision, qt.Equals, uint64(3))

	text, v, err := w.FetchDocument(ctx, peer, event.Rules)
	c.Assert(err, qt.IsNil)
	c.Check(text, qt.Equals, testRules)
	c.Check(v, qt.Equals, view.Version{Revision: 3})

	probed, err := w.ProbeLoad(ctx, peer)
	c.Assert(err, qt.IsNil)
	c.Check(probed.From, qt.Equals, two)

	events, err := w.ReadEvents(ctx, peer, 0)
	c.Assert(err, qt.IsNil)
	c.Check(len(events.Records) > 0, qt.IsTrue)

	queried := ticket.Ticket{Entry: one, Sequence: 1, Guard: two, Service: "filing"}
	verdict, response := w.QueryOutcome(ctx, effect.QueryOutcome{Ticket: queried, Peer: fleet.Instance{ControlAddr: peer}, Void: true})
	c.Check(verdict, qt.Equals, event.NotRun)
	c.Check(response, qt.IsNil)
	queried.Guard.Incarnation++
	verdict, _ = w.QueryOutcome(ctx, effect.QueryOutcome{Ticket: queried, Peer: fleet.Instance{ControlAddr: peer}, Void: true})
	c.Check(verdict, qt.Equals, event.Unknown)
}

func TestCallToSilentPeerTimesOut(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = silent.Close() }()
	w, _ := newEndpoint(c, ticket.NodeID{Instance: "filing-1", Incarnation: 1})
	peer := netip.MustParseAddrPort(silent.Addr().String())
	_, err = w.ExchangeVersions(t.Context(), peer, event.Versions{})
	var failed *CallError
	c.Assert(errors.As(err, &failed), qt.IsTrue)
	c.Check(failed.Peer, qt.Equals, peer)
	verdict, _ := w.QueryOutcome(t.Context(), effect.QueryOutcome{Ticket: ticket.Ticket{Sequence: 1}, Peer: fleet.Instance{ControlAddr: peer}, Void: true})
	c.Check(verdict, qt.Equals, event.Broken)
}

func TestPanicOfMethodFailsItsCall(t *testing.T) {
	c := qt.New(t)
	w, _ := newEndpoint(c, ticket.NodeID{Instance: "filing-1", Incarnation: 1})
	h := &handler{endpoint: w}
	call := func() (err error) {
		defer h.recover("Ask", &err)
		panic("broken")
	}
	var panicked *PanicError
	c.Check(errors.As(call(), &panicked), qt.IsTrue)
}

func TestOutcomeQueryEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		self := ticket.NodeID{Instance: "filing-1", Incarnation: 1}
		n := node.New(node.Config{Instance: self.Instance, Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
		l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
		defer l.Stop()
		// The peer reads everything and responds to nothing.
		w := New(l, self, netip.AddrPort{}, func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			return near, nil
		})
		began := time.Now()
		q := effect.QueryOutcome{Ticket: ticket.Ticket{Guard: ticket.NodeID{Instance: "filing-2"}}, Timeout: 70 * time.Millisecond}
		verdict, _ := w.QueryOutcome(t.Context(), q)
		c.Check(verdict, qt.Equals, event.Broken)
		c.Check(time.Since(began), qt.Equals, q.Timeout)
	})
}
