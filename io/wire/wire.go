// Package wire carries the short calls between nodes over net/rpc: the exchange
// of versions, the reading of documents, questions about attempts, probes, and
// the events of the time line.
//
// # Usage
//
//	w := wire.New(l, ticket.Node{Instance: "ledger-1", Incarnation: life}, control, dial)
//	go w.Serve(listener)
//	verdict, answer := w.Ask(ctx, effect.Ask{Ticket: t, Peer: peer, Void: true})
package wire

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/loop"
	"bulrushlock/io/meter"
)

const (
	// callTime is the longest time of one call, from dialling to the answer.
	callTime = 400 * time.Millisecond
	// fetchTime is that of a call whose answer is a document, which takes a small
	// instance with a slow link some time to send.
	fetchTime = 1500 * time.Millisecond
)

// Wire makes the calls to other nodes and answers theirs.
type Wire struct {
	loop *loop.Loop
	self ticket.Node
	rpc  *rpc.Server
	dial meter.DialFunc
	// control is the address at which other nodes reach this one.
	control netip.AddrPort
	packer  packer
}

// CallError is a call that got no answer in time.
type CallError struct {
	Method string
	Peer   netip.AddrPort
	Cause  error
}

// Error names the call, the peer and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("%s at %v: %v", e.Method, e.Peer, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// New returns the calls of the node self, which answers at control and whose
// connections are made by dial.
func New(l *loop.Loop, self ticket.Node, control netip.AddrPort, dial meter.DialFunc) *Wire {
	w := &Wire{loop: l, self: self, rpc: rpc.NewServer(), dial: dial, control: control}
	if err := w.rpc.RegisterName("Node", &answerer{wire: w}); err != nil {
		panic(err)
	}
	return w
}

// Serve answers the calls that come in on l until l is closed.
func (w *Wire) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.rpc.ServeConn(c)
	}
}

// call makes one call on a connection of its own.
func (w *Wire) call(ctx context.Context, peer netip.AddrPort, method string, question, answer any) error {
	longest := callTime
	if method == "Fetch" {
		longest = fetchTime
	}
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	c, err := w.dial(ctx, "tcp", peer.String())
	if err != nil {
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	client := rpc.NewClient(c)
	defer func() { _ = client.Close() }()
	if err := client.Call("Node."+method, question, answer); err != nil {
		return &CallError{Method: method, Peer: peer, Cause: err}
	}
	// The process may have slept, so that the answer tells what was true before.
	if time.Now().After(deadline) {
		return &CallError{Method: method, Peer: peer, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Ask asks the guard of an attempt what became of it. It returns event.Broken
// where the guard gives no answer.
func (w *Wire) Ask(ctx context.Context, e effect.Ask) (event.Verdict, *event.Answer) {
	q := AskQuestion{Ticket: e.Ticket, Key: e.Key, Void: e.Void}
	if e.Ticket.Guard.Instance == w.self.Instance {
		return w.judge(q)
	}
	q.Stamp = w.loop.Stamp()
	var a AskAnswer
	if err := w.call(ctx, e.Peer.Control, "Ask", q, &a); err != nil {
		return event.Broken, nil
	}
	w.loop.Merge(a.Stamp)
	if !a.Kept {
		return a.Verdict, nil
	}
	return a.Verdict, &a.Answer
}

// judge asks the guard of this node.
func (w *Wire) judge(q AskQuestion) (event.Verdict, *event.Answer) {
	id, box := w.loop.Open()
	defer w.loop.Close(id)
	w.loop.Do(event.Asked{At: time.Now(), Ticket: q.Ticket, Query: id, Key: q.Key, Void: q.Void})
	v, ok := (<-box).(effect.Verdict)
	if !ok {
		return event.Unknown, nil
	}
	return v.Verdict, v.Answer
}

// Tell exchanges versions with the node at peer and returns what it holds.
func (w *Wire) Tell(ctx context.Context, peer netip.AddrPort, v event.Versions) (TellAnswer, error) {
	var a TellAnswer
	err := w.call(ctx, peer, "Tell", TellQuestion{From: w.self, Control: w.control, Versions: v, Stamp: w.loop.Stamp()}, &a)
	if err == nil {
		w.loop.Merge(a.Stamp)
	}
	return a, err
}

// Fetch reads a document that the node at peer holds.
func (w *Wire) Fetch(ctx context.Context, peer netip.AddrPort, d event.Document) (text string, revision uint64, err error) {
	var a FetchAnswer
	if err := w.call(ctx, peer, "Fetch", FetchQuestion{Document: d}, &a); err != nil {
		return "", 0, err
	}
	text, err = unpack(a.Packed)
	if err != nil {
		return "", 0, &CallError{Method: "Fetch", Peer: peer, Cause: err}
	}
	return text, a.Revision, nil
}

// Probe asks the guard at peer for its load.
func (w *Wire) Probe(ctx context.Context, peer netip.AddrPort) (ProbeAnswer, error) {
	var a ProbeAnswer
	err := w.call(ctx, peer, "Probe", ProbeQuestion{}, &a)
	return a, err
}

// Events reads the time line of the node at peer from a sequence on.
func (w *Wire) Events(ctx context.Context, peer netip.AddrPort, sequence uint64) (EventsAnswer, error) {
	var a EventsAnswer
	err := w.call(ctx, peer, "Events", EventsQuestion{Sequence: sequence}, &a)
	return a, err
}
