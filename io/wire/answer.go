package wire

import (
	"net/netip"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
	"bulrushlock/io/loop"
)

// eventsLimit is the largest number of events that one call returns.
const eventsLimit = 1024

// AskQuestion asks what became of an attempt.
type AskQuestion struct {
	Ticket ticket.Ticket
	// Key is the key under which the attempt was sent, or empty.
	Key string
	// Void tells that an attempt which has not run must never run.
	Void  bool
	Stamp string
}

// AskAnswer tells what became of an attempt.
type AskAnswer struct {
	Verdict event.Verdict
	// Kept tells that Answer holds the answer of the backend server.
	Kept   bool
	Answer event.Answer
	Stamp  string
}

// TellQuestion tells the versions that the caller holds.
type TellQuestion struct {
	From ticket.Node
	// Control is the address at which the caller answers calls.
	Control  netip.AddrPort
	Versions event.Versions
	Stamp    string
}

// TellAnswer tells the versions that the called node holds.
type TellAnswer struct {
	From     ticket.Node
	Versions event.Versions
	Stamp    string
}

// FetchQuestion asks for a document.
type FetchQuestion struct {
	Document event.Document
}

// FetchAnswer holds a document.
type FetchAnswer struct {
	// Packed is the compressed text.
	Packed   []byte
	Revision uint64
}

// ProbeQuestion asks for the load of a guard.
type ProbeQuestion struct{}

// ProbeAnswer holds the load of a guard, unless Refused tells that its budget for probes is spent.
type ProbeAnswer struct {
	From    ticket.Node
	Load    report.Load
	Refused bool
}

// EventsQuestion asks for the events of the time line from a sequence on.
type EventsQuestion struct {
	Sequence uint64
}

// EventsAnswer holds events of the time line.
type EventsAnswer struct {
	From    ticket.Node
	Records []loop.Record
	// Next is the sequence to go on from.
	Next uint64
	// Dropped is the number of events that were lost before the first one.
	Dropped uint64
}

// answerer holds the methods that other nodes call.
type answerer struct {
	wire *Wire
}

// Ask answers what became of an attempt.
func (a *answerer) Ask(q AskQuestion, r *AskAnswer) error {
	w := a.wire
	w.loop.Merge(q.Stamp)
	verdict, kept := w.judge(q)
	r.Verdict = verdict
	if kept != nil {
		r.Kept, r.Answer = true, *kept
	}
	r.Stamp = w.loop.Stamp()
	return nil
}

// Tell takes over the versions of the caller and returns those of this node.
func (a *answerer) Tell(q TellQuestion, r *TellAnswer) error {
	w := a.wire
	w.loop.Merge(q.Stamp)
	now := time.Now()
	w.loop.Do(event.Told{At: now, Peer: q.From.Instance, Control: q.Control, Versions: q.Versions})
	r.From = w.self
	_, r.Versions = w.loop.Load()
	r.Stamp = w.loop.Stamp()
	return nil
}

// Fetch returns a document.
func (a *answerer) Fetch(q FetchQuestion, r *FetchAnswer) error {
	var text string
	a.wire.loop.View(func(n *node.Node) { text, r.Revision = n.Text(q.Document) })
	var err error
	r.Packed, err = a.wire.packer.pack(q.Document, text)
	return err
}

// Probe returns the load of the guard.
func (a *answerer) Probe(_ ProbeQuestion, r *ProbeAnswer) error {
	w := a.wire
	id, box := w.loop.Open()
	defer w.loop.Close(id)
	w.loop.Do(event.Probed{At: time.Now(), Query: id})
	if l, ok := (<-box).(effect.Load); ok {
		r.Load, r.Refused = l.Load, l.Refused
	}
	r.From = w.self
	return nil
}

// Events returns events of the time line.
func (a *answerer) Events(q EventsQuestion, r *EventsAnswer) error {
	r.From = a.wire.self
	r.Records, r.Next, r.Dropped = a.wire.loop.Events(q.Sequence, eventsLimit)
	return nil
}
