// Package gate executes the decisions of a node's guard: it forwards an admitted
// attempt to the backend server beside the node and responds to a rejected one itself.
//
// # Usage
//
//	g := gate.New(l, gate.Options{Node: self, Server: server, Transport: transport, Egress: writer})
//	r, err := g.Exchange(ctx, attempt) // from the entry of the same node
//	http.Serve(listener, g)            // from the entries of other nodes
package gate

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
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
// non-idempotent request is stored for replay.
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
	// announced is set after the first announcement of the backend server. From then on, the
	// guard is told of every response.
	announced atomic.Bool
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
// past its deadline; the attempt then continues and its response is stored.
func (g *Gate) Exchange(ctx context.Context, attempt proto.Attempt) (proto.Response, error) {
	if attempt.Idempotent {
		return g.handle(ctx, attempt), nil
	}
	responses := make(chan proto.Response, 1)
	go func() {
		response := proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonBroken, Guard: g.options.Node, Body: http.NoBody}
		defer func() {
			if p := recover(); p != nil {
				g.loop.ReportPanic("attempt", p)
			}
			responses <- response
		}()
		response = g.handle(ctx, attempt)
	}()
	overdue := time.NewTimer(attempt.HeaderTimeout)
	defer overdue.Stop()
	select {
	case response := <-responses:
		return response, nil
	case <-overdue.C:
		go func() { closeBody((<-responses).Body) }()
		return proto.Response{}, &proto.BrokenError{Cause: context.DeadlineExceeded, Expired: true}
	}
}

// handle submits an attempt to the guard and waits for the response.
func (g *Gate) handle(ctx context.Context, attempt proto.Attempt) proto.Response {
	arrival, box := g.loop.OpenMailbox()
	ah := &attemptHandler{gate: g, arrival: arrival, arrivedAt: time.Now(), effects: box, attempt: attempt, requestBody: trackedBody{reader: attempt.Body}}
	g.loop.Process(event.Attempt{
		At:         ah.arrivedAt,
		Ticket:     attempt.Ticket,
		Arrival:    arrival,
		Idempotent: attempt.Idempotent,
		Priority:   attempt.Priority,
		Class:      attempt.Class,
		TimeLeft:   attempt.HeaderTimeout,
		TargetLeft: attempt.TargetLeft,
		Nested:     attempt.Nested,
		Name:       attempt.Name,
		Customer:   attempt.Customer,
		Key:        attempt.Key,
		FirstUse:   attempt.First,
		Rules:      attempt.Versions.Rules,
		RateLimit:  attempt.RateLimit,
	})
	response := ah.awaitDecision(ctx)
	if response.Body == nil {
		response.Body = http.NoBody
	}
	if _, open := response.Body.(*responseBody); !open {
		g.loop.CloseMailbox(arrival)
	}
	response.Guard = g.options.Node
	load, versions := g.loop.LoadReport()
	response.Load, response.Versions = &load, versions
	return response
}

// attemptHandler is the state of one attempt from its arrival to its response.
type attemptHandler struct {
	gate        *Gate
	arrival     uint64
	arrivedAt   time.Time
	effects     <-chan effect.Effect
	attempt     proto.Attempt
	requestBody trackedBody
}

// awaitDecision waits for the decision of the guard and executes it. Until then
// it reports to the guard when the wait time has elapsed or ctx is done.
func (ah *attemptHandler) awaitDecision(ctx context.Context) proto.Response {
	var overdue <-chan time.Time
	disconnected := ctx.Done()
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
		case <-disconnected:
			disconnected = nil
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
		return replayResponse(e.Response)
	case effect.RejectAttempt:
		return proto.Response{Outcome: e.Outcome, Reason: e.Reason}
	}
	return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}
