// Package gate executes the decisions of a node's guard: it forwards an admitted
// attempt to the backend server beside the node and responds to a rejected one itself.
//
// # Usage
//
//	g := gate.New(l, gate.Options{Node: self, Server: server, Egress: egress})
//	r, err := g.Exchange(ctx, attempt) // from the entry of the same node
//	http.Serve(listener, g)          // from the entries of other nodes
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/egress"
	"bulrushlock/io/loop"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
)

// maxReplayBody is the size in bytes up to which the response to a
// non-idempotent request is kept for replay.
const maxReplayBody = 64 << 10

// DefaultDeadlineOverrun is the default time for which a non-idempotent request may run
// past its deadline, so that its caller can query the response.
const DefaultDeadlineOverrun = time.Minute

// Options configure a Gate.
type Options struct {
	// Node identifies this node in responses.
	Node ticket.NodeID
	// Server is the address of the backend server beside the node.
	Server netip.AddrPort
	// Transport sends requests to the backend server.
	Transport *pool.Transport
	// DeadlineOverrun is the time for which a non-idempotent request may run past its
	// deadline.
	DeadlineOverrun time.Duration
	// Dialect is the dialect of the backend server; nil selects proto.Plain.
	Dialect proto.Dialect
	// Egress writes the responses to other nodes.
	Egress *egress.Writer
	// AcceptCloseDelimited accepts a response without a length as complete if the backend
	// server closes the connection without an error.
	AcceptCloseDelimited bool
}

// Gate connects entries to one backend server through the guard of the node.
type Gate struct {
	loop    *loop.Loop
	options Options
	origin  string
}

var (
	_ proto.Exchanger = (*Gate)(nil)
	_ http.Handler    = (*Gate)(nil)
)

// New returns the gate of a backend server.
func New(l *loop.Loop, o Options) *Gate {
	if o.Dialect == nil {
		o.Dialect = proto.Plain{}
	}
	return &Gate{loop: l, options: o, origin: "http://" + o.Server.String()}
}

// Exchange submits an attempt to the guard of this node and returns the
// response. It returns a *proto.BrokenError if a non-idempotent attempt runs
// past its deadline; the attempt then continues and its response is kept.
func (g *Gate) Exchange(ctx context.Context, o proto.Attempt) (proto.Response, error) {
	if o.Idempotent {
		return g.handle(ctx, o), nil
	}
	responses := make(chan proto.Response, 1)
	go func() { responses <- g.handle(ctx, o) }()
	overdue := time.NewTimer(o.HeaderTimeout)
	defer overdue.Stop()
	select {
	case a := <-responses:
		return a, nil
	case <-overdue.C:
		go func() { closeBody((<-responses).Body) }()
		return proto.Response{}, &proto.BrokenError{Cause: context.DeadlineExceeded, Expired: true}
	}
}

// requestName returns the request name that the caller chose.
func (g *Gate) requestName(o proto.Attempt) string {
	ask, err := g.options.Dialect.ParseRequest(o.Header)
	if err != nil {
		// The entry has already accepted the same headers.
		return ""
	}
	return ask.Name
}

// handle submits an attempt to the guard and waits for the response.
func (g *Gate) handle(ctx context.Context, o proto.Attempt) proto.Response {
	arrival, box := g.loop.OpenMailbox()
	ah := &attemptHandler{gate: g, arrival: arrival, effects: box, attempt: o, requestBody: trackedBody{reader: o.Body}}
	g.loop.Process(event.Attempt{
		At:         time.Now(),
		Ticket:     o.Ticket,
		Arrival:    arrival,
		Idempotent: o.Idempotent,
		Priority:   o.Priority,
		Class:      o.Class,
		TimeLeft:   o.HeaderTimeout,
		TargetLeft: o.TargetLeft,
		Nested:     o.Nested,
		Name:       g.requestName(o),
		Key:        o.Key,
		FirstUse:   o.First,
		Rules:      o.Versions.Rules,
	})
	a := ah.awaitDecision(ctx)
	if a.Body == nil {
		a.Body = http.NoBody
	}
	if _, open := a.Body.(*responseBody); !open {
		g.loop.CloseMailbox(arrival)
	}
	a.Guard = g.options.Node
	load, versions := g.loop.LoadReport()
	a.Load, a.Versions = &load, versions
	return a
}

// attemptHandler is the state of one attempt from its arrival to its response.
type attemptHandler struct {
	gate        *Gate
	arrival     uint64
	effects     <-chan effect.Effect
	attempt     proto.Attempt
	requestBody trackedBody
}

// awaitDecision waits for the decision of the guard and executes it. Until then
// it reports to the guard when the wait time has elapsed or ctx is done.
func (ah *attemptHandler) awaitDecision(ctx context.Context) proto.Response {
	var overdue <-chan time.Time
	gone := ctx.Done()
	for {
		select {
		case e := <-ah.effects:
			if w, ok := e.(effect.StartQueueTimer); ok {
				overdue = time.After(w.Timeout)
				continue
			}
			return ah.applyDecision(ctx, e)
		case <-overdue:
			overdue = nil
			ah.gate.loop.Process(event.QueueTimedOut{At: time.Now(), Arrival: ah.arrival})
		case <-gone:
			gone = nil
			ah.gate.loop.Process(event.SenderDisconnected{At: time.Now(), Arrival: ah.arrival})
		}
	}
}

// applyDecision returns the response for the decision e.
func (ah *attemptHandler) applyDecision(ctx context.Context, e effect.Effect) proto.Response {
	switch e := e.(type) {
	case effect.Admit:
		return ah.serve(ctx, e)
	case effect.ReplayResponse:
		return replayResponse(e.Answer)
	case effect.RejectAttempt:
		return proto.Response{Outcome: e.Outcome, Reason: e.Reason}
	}
	return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}
