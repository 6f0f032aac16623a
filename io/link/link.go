// Package link carries attempts to the guards of other nodes over HTTP.
//
// # Usage
//
//	l := link.New(loop)
//	a, err := l.Exchange(ctx, offer)
package link

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/report"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
	"bulrushlock/io/turns"
	"bulrushlock/io/xchg"
)

const (
	// idleTime is the time after which a connection that is not used is closed.
	idleTime = 90 * time.Second
	// askBody is the size in bytes from which a body is sent only once the guard has asked for it.
	askBody = 64 << 10
	// idlePerNode is the number of unused connections that are kept to each node.
	idlePerNode = 64
)

// Link sends attempts to other nodes.
type Link struct {
	loop      *loop.Loop
	transport *turns.Transport
}

var _ xchg.Exchanger = (*Link)(nil)

// AnswerError is an answer that is not the answer of a guard to the attempt.
type AnswerError struct {
	Status int
}

// Error names the fault.
func (e *AnswerError) Error() string { return "answer does not belong to the attempt" }

// New returns a link that has no connections yet and makes them by d.
func New(l *loop.Loop, d turns.Dialer) *Link {
	return &Link{loop: l, transport: turns.New(d, turns.Options{Idle: idlePerNode, Keep: idleTime})}
}

// Close closes the connections that are not in use.
func (l *Link) Close() { l.transport.Close() }

// Exchange sends o to the guard of another node and waits for the head of its answer.
func (l *Link) Exchange(ctx context.Context, o xchg.Offer) (xchg.Answer, error) {
	if !o.Idempotent {
		ctx = turns.Once(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := l.request(ctx, o)
	if err != nil {
		cancel(nil)
		return xchg.Answer{}, &xchg.UnsentError{Cause: err}
	}
	overdue := time.AfterFunc(o.Head, func() { cancel(context.DeadlineExceeded) })
	response, err := l.transport.RoundTrip(r)
	overdue.Stop()
	if err != nil {
		expired := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
		cancel(nil)
		return xchg.Answer{}, failure(err, expired)
	}
	a, err := l.answer(response, o)
	if err != nil {
		_ = response.Body.Close()
		cancel(nil)
		return xchg.Answer{}, &xchg.BrokenError{Cause: err}
	}
	a.Body = &body{ReadCloser: response.Body, cancel: cancel}
	return a, nil
}

// failure returns the typed error of an exchange that gave no head.
func failure(err error, expired bool) error {
	var unsent *turns.UnsentError
	if errors.As(err, &unsent) {
		return &xchg.UnsentError{Cause: err}
	}
	return &xchg.BrokenError{Cause: err, Expired: expired}
}

// request returns the request that carries o.
func (l *Link) request(ctx context.Context, o xchg.Offer) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, o.Method, "http://"+o.Peer.Nodes.String()+o.Target, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Host = o.Host
	r.Header = make(http.Header, len(o.Header)+8)
	xchg.CopyHeader(r.Header, o.Header)
	r.Header.Set(xchg.HeaderTicket, o.Ticket.String())
	r.Header.Set(xchg.HeaderCall, o.Call.String())
	r.Header.Set(xchg.HeaderVersions, xchg.VersionsText(o.Versions))
	r.Header.Set(xchg.HeaderAttempt, xchg.AttemptText(o))
	r.Header.Set(xchg.HeaderClock, l.loop.Stamp())
	if o.Key != "" {
		r.Header.Set(xchg.HeaderPrefix+"Key", o.Key)
	}
	xchg.SetBody(r, o)
	xchg.NoAgent(r)
	if o.Length < 0 || o.Length > askBody {
		r.Header.Set("Expect", "100-continue")
	}
	return r, nil
}

// answer reads the head of a guard's answer to o.
func (l *Link) answer(r *http.Response, o xchg.Offer) (xchg.Answer, error) {
	if r.Header.Get(xchg.HeaderTicket) != o.Ticket.String() {
		return xchg.Answer{}, &AnswerError{Status: r.StatusCode}
	}
	outcome, ok := outcomeOf(r.Header.Get(xchg.HeaderOutcome))
	if !ok {
		return xchg.Answer{}, &AnswerError{Status: r.StatusCode}
	}
	l.loop.Merge(r.Header.Get(xchg.HeaderClock))
	a := xchg.Answer{
		Outcome: outcome,
		Reason:  effect.Reason(r.Header.Get(xchg.HeaderReason)),
		Status:  r.StatusCode,
		Header:  r.Header,
		Length:  r.ContentLength,
	}
	if n, err := xchg.ParseNode(r.Header.Get(xchg.HeaderGuard)); err == nil {
		a.Guard = n
	}
	if load, err := report.Parse(r.Header.Get(xchg.HeaderLoad)); err == nil {
		a.Load = &load
	}
	if v, err := xchg.ParseVersions(r.Header.Get(xchg.HeaderVersions)); err == nil {
		a.Versions = v
		l.compare(a, o.Peer)
	}
	return a, nil
}

// compare tells the reducer of versions that differ from those of this node.
func (l *Link) compare(a xchg.Answer, peer fleet.Instance) {
	_, own := l.loop.Load()
	if same(own.Rules, a.Versions.Rules) && same(own.Fleet, a.Versions.Fleet) {
		return
	}
	l.loop.Do(event.Told{At: time.Now(), Peer: a.Guard.Instance, Control: peer.Control, Versions: a.Versions})
}

// same reports whether two versions have the same text.
func same(a, b view.Version) bool { return a.Digest == b.Digest }

// outcomeOf returns the outcome that text names.
func outcomeOf(text string) (effect.Outcome, bool) {
	for _, o := range []effect.Outcome{effect.Run, effect.NotRun, effect.Unknown, effect.Running} {
		if o.String() == text {
			return o, true
		}
	}
	return effect.Unknown, false
}

// body is the body of an answer; closing it ends the exchange.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close gives up the rest of the body.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
