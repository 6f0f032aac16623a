// Package gate carries out what the guard of a node decides: it lets an attempt
// through to the backend server beside the node, or answers it with a refusal.
//
// # Usage
//
//	g := gate.New(l, gate.Options{Node: self, Server: server, Spout: outlet})
//	a, err := g.Exchange(ctx, offer) // from the entry of the same node
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
	"bulrushlock/io/loop"
	"bulrushlock/io/spout"
	"bulrushlock/io/turns"
	"bulrushlock/io/xchg"
)

// keptBody is the size in bytes up to which the answer to a non-idempotent
// request is kept for a caller that asks again.
const keptBody = 64 << 10

// FinishTime is the usual time past its deadline for which a non-idempotent
// request runs on, so that its caller can ask after the answer.
const FinishTime = time.Minute

// Options are what a Gate works with besides its loop.
type Options struct {
	Node ticket.Node
	// Server is the address of the backend server beside the node.
	Server netip.AddrPort
	// Transport carries requests to the backend server.
	Transport *turns.Transport
	// Finish is the time past its deadline for which a non-idempotent request runs on.
	Finish time.Duration
	// Dialect is that of the backend server; nil stands for the product's own.
	Dialect xchg.Dialect
	// Spout writes the answers to other nodes.
	Spout *spout.Spout
	// Closing tells that an answer without a length is whole where the backend server
	// closes the connection in order.
	Closing bool
}

// Gate stands between all entries and one backend server.
type Gate struct {
	loop    *loop.Loop
	options Options
	origin  string
}

var (
	_ xchg.Exchanger = (*Gate)(nil)
	_ http.Handler   = (*Gate)(nil)
)

// New returns the gate of a backend server.
func New(l *loop.Loop, o Options) *Gate {
	if o.Dialect == nil {
		o.Dialect = xchg.Plain{}
	}
	return &Gate{loop: l, options: o, origin: "http://" + o.Server.String()}
}

// Exchange offers an attempt to the guard of this node and returns its answer.
// It fails with a *xchg.BrokenError when a non-idempotent attempt runs past its
// deadline; the attempt runs on, and its answer is kept.
func (g *Gate) Exchange(ctx context.Context, o xchg.Offer) (xchg.Answer, error) {
	if o.Idempotent {
		return g.pass(ctx, o), nil
	}
	answers := make(chan xchg.Answer, 1)
	go func() { answers <- g.pass(ctx, o) }()
	overdue := time.NewTimer(o.Head)
	defer overdue.Stop()
	select {
	case a := <-answers:
		return a, nil
	case <-overdue.C:
		go func() { closeBody((<-answers).Body) }()
		return xchg.Answer{}, &xchg.BrokenError{Cause: context.DeadlineExceeded, Expired: true}
	}
}

// nameOf returns the name that the caller gave the request of o.
func (g *Gate) nameOf(o xchg.Offer) string {
	ask, err := g.options.Dialect.Ask(o.Header)
	if err != nil {
		// The entry has read the same headers and let them pass.
		return ""
	}
	return ask.Name
}

// pass offers an attempt to the guard and waits for the answer.
func (g *Gate) pass(ctx context.Context, o xchg.Offer) xchg.Answer {
	arrival, box := g.loop.Open()
	p := &passage{gate: g, arrival: arrival, box: box, offer: o, source: source{reader: o.Body}}
	g.loop.Do(event.Attempt{
		At:         time.Now(),
		Ticket:     o.Ticket,
		Arrival:    arrival,
		Idempotent: o.Idempotent,
		Rank:       o.Rank,
		Class:      o.Class,
		Left:       o.Head,
		Aim:        o.Aim,
		Inner:      o.Inner,
		Name:       g.nameOf(o),
		Key:        o.Key,
		First:      o.First,
		Rules:      o.Versions.Rules,
	})
	a := p.decide(ctx)
	if a.Body == nil {
		a.Body = http.NoBody
	}
	if _, open := a.Body.(*stream); !open {
		g.loop.Close(arrival)
	}
	a.Guard = g.options.Node
	load, versions := g.loop.Load()
	a.Load, a.Versions = &load, versions
	return a
}

// passage is one attempt on its way through the gate.
type passage struct {
	gate    *Gate
	arrival uint64
	box     <-chan effect.Effect
	offer   xchg.Offer
	source  source
}

// decide follows the decisions of the guard until there is an answer.
func (p *passage) decide(ctx context.Context) xchg.Answer {
	var overdue <-chan time.Time
	gone := ctx.Done()
	for {
		select {
		case e := <-p.box:
			if w, ok := e.(effect.Wait); ok {
				overdue = time.After(w.Longest)
				continue
			}
			return p.settle(ctx, e)
		case <-overdue:
			overdue = nil
			p.gate.loop.Do(event.Overdue{At: time.Now(), Arrival: p.arrival})
		case <-gone:
			gone = nil
			p.gate.loop.Do(event.Withdrawn{At: time.Now(), Arrival: p.arrival})
		}
	}
}

// settle turns the decision e into an answer.
func (p *passage) settle(ctx context.Context, e effect.Effect) xchg.Answer {
	switch e := e.(type) {
	case effect.Admit:
		return p.serve(ctx, e)
	case effect.Replay:
		return replayed(e.Answer)
	case effect.Deny:
		return xchg.Answer{Outcome: e.Outcome, Reason: e.Reason}
	}
	return xchg.Answer{Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}
