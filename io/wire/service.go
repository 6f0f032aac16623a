package wire

import (
	"fmt"
	"net/netip"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
)

// eventsLimit is the largest number of events that one call returns.
const eventsLimit = 1024

// OutcomeRequest is the request of Node.Ask, which queries the outcome of an attempt.
type OutcomeRequest struct {
	Ticket ticket.Ticket
	// Key is the idempotency key of the attempt, or empty.
	Key string
	// Void asks the guard to void the attempt if it has not run.
	Void  bool
	Stamp string
}

// OutcomeResponse is the response of Node.Ask.
type OutcomeResponse struct {
	Verdict event.Verdict
	// Kept reports whether Answer holds the stored response of the backend server.
	Kept   bool
	Answer event.StoredResponse
	Stamp  string
}

// VersionsRequest is the request of Node.Tell: the versions that the sender holds.
type VersionsRequest struct {
	From ticket.NodeID
	// Control is the address at which the sender serves RPCs.
	Control  netip.AddrPort
	Versions event.Versions
	Stamp    string
}

// VersionsResponse is the response of Node.Tell: the versions that the called node holds.
type VersionsResponse struct {
	From     ticket.NodeID
	Versions event.Versions
	Stamp    string
}

// DocumentRequest is the request of Node.Fetch, which reads a document.
type DocumentRequest struct {
	Document event.Document
}

// DocumentResponse is the response of Node.Fetch.
type DocumentResponse struct {
	// Packed is the document's compressed text.
	Packed   []byte
	Revision uint64
	// Edition and Epoch are 0 from a node that doesn't tell them.
	Edition uint64
	Epoch   uint64
}

// LoadRequest is the request of Node.Probe, which queries the load of a guard.
type LoadRequest struct{}

// LoadResponse is the response of Node.Probe. Refused reports that the guard's budget for
// load probes is used up, in which case Load is not to be used.
type LoadResponse struct {
	From    ticket.NodeID
	Load    report.Load
	Refused bool
}

// EventsRequest is the request of Node.Events, which reads the event log from Sequence on.
type EventsRequest struct {
	Sequence uint64
}

// EventsResponse is the response of Node.Events.
type EventsResponse struct {
	From    ticket.NodeID
	Records []loop.Record
	// Next is the sequence to continue from.
	Next uint64
	// Dropped is the number of events that were dropped before the first one returned.
	Dropped uint64
}

// handler implements the RPC methods that other nodes call.
type handler struct {
	endpoint *Endpoint
}

// PanicError is the response to a call whose method panicked.
type PanicError struct {
	Method string
}

// Error returns a message that names the method.
func (e *PanicError) Error() string { return fmt.Sprintf("method %s panicked", e.Method) }

// recover recovers from a panic of an RPC method, which net/rpc would let end the process. It
// sets err to a *PanicError.
func (h *handler) recover(method string, err *error) {
	if p := recover(); p != nil {
		h.endpoint.loop.ReportPanic("call "+method, p)
		*err = &PanicError{Method: method}
	}
}

// Ask returns the outcome of an attempt.
func (h *handler) Ask(q OutcomeRequest, r *OutcomeResponse) (err error) {
	defer h.recover("Ask", &err)
	w := h.endpoint
	w.loop.MergeStamp(q.Stamp)
	verdict, stored := w.queryLocalGuard(q)
	r.Verdict = verdict
	if stored != nil {
		r.Kept, r.Answer = true, *stored
	}
	r.Stamp = w.loop.Stamp()
	return nil
}

// Tell passes the sender's versions to the reducer and returns those of this node.
func (h *handler) Tell(q VersionsRequest, r *VersionsResponse) (err error) {
	defer h.recover("Tell", &err)
	w := h.endpoint
	w.loop.MergeStamp(q.Stamp)
	now := time.Now()
	w.loop.Process(event.VersionsReceived{At: now, Peer: q.From.Instance, Control: q.Control, Versions: q.Versions})
	r.From = w.self
	_, r.Versions = w.loop.LoadReport()
	r.Stamp = w.loop.Stamp()
	return nil
}

// Fetch returns a document that this node holds.
func (h *handler) Fetch(q DocumentRequest, r *DocumentResponse) (err error) {
	defer h.recover("Fetch", &err)
	var text string
	var v view.Version
	h.endpoint.loop.View(func(n *node.Node) { text, v = n.Text(q.Document) })
	r.Edition, r.Epoch, r.Revision = v.Edition, v.Epoch, v.Revision
	r.Packed, err = h.endpoint.compressor.compress(q.Document, text)
	return err
}

// Probe returns the load of the guard.
func (h *handler) Probe(_ LoadRequest, r *LoadResponse) (err error) {
	defer h.recover("Probe", &err)
	w := h.endpoint
	id, box := w.loop.OpenMailbox()
	defer w.loop.CloseMailbox(id)
	w.loop.Process(event.LoadRequested{At: time.Now(), Query: id})
	if l, ok := (<-box).(effect.ReportLoad); ok {
		r.Load, r.Refused = l.Load, l.Refused
	}
	r.From = w.self
	return nil
}

// Events returns events of the event log.
func (h *handler) Events(q EventsRequest, r *EventsResponse) (err error) {
	defer h.recover("Events", &err)
	r.From = h.endpoint.self
	r.Records, r.Next, r.Dropped = h.endpoint.loop.Events(q.Sequence, eventsLimit)
	return nil
}
