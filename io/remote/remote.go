// Package remote sends attempts to the guards of other nodes over HTTP.
//
// # Usage
//
//	e := remote.New(loop)
//	r, err := e.Exchange(ctx, attempt)
package remote

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
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
)

const (
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 90 * time.Second
	// expectContinueSize is the body size in bytes above which the request
	// expects a 100 Continue of the guard before the body is sent.
	expectContinueSize = 64 << 10
	// maxIdlePerNode is the maximum number of idle connections to each node.
	maxIdlePerNode = 64
)

// Exchanger sends attempts to other nodes.
type Exchanger struct {
	loop      *loop.Loop
	transport *pool.Transport
}

var _ proto.Exchanger = (*Exchanger)(nil)

// ResponseError reports a response that no guard sent for the attempt: its ticket
// is another one or its outcome is missing or unknown.
type ResponseError struct {
	Status int
}

// Error describes the fault.
func (e *ResponseError) Error() string { return "response does not match the attempt" }

// New returns an Exchanger without connections; d makes them.
func New(l *loop.Loop, d pool.Dialer) *Exchanger {
	return &Exchanger{loop: l, transport: pool.New(d, pool.Options{MaxIdle: maxIdlePerNode, IdleTimeout: idleTimeout})}
}

// Close closes all idle connections.
func (e *Exchanger) Close() { e.transport.Close() }

// Exchange sends o to the guard of another node and waits for the response
// header. It returns a *proto.UnsentError if no byte was sent, or a
// *proto.BrokenError.
func (e *Exchanger) Exchange(ctx context.Context, o proto.Attempt) (proto.Response, error) {
	if !o.Idempotent {
		ctx = pool.WithAtMostOnce(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := e.newRequest(ctx, o)
	if err != nil {
		cancel(nil)
		return proto.Response{}, &proto.UnsentError{Cause: err}
	}
	overdue := time.AfterFunc(o.HeaderTimeout, func() { cancel(context.DeadlineExceeded) })
	response, err := e.transport.RoundTrip(r)
	overdue.Stop()
	if err != nil {
		expired := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
		cancel(nil)
		return proto.Response{}, exchangeError(err, expired)
	}
	a, err := e.parseResponse(response, o)
	if err != nil {
		_ = response.Body.Close()
		cancel(nil)
		return proto.Response{}, &proto.BrokenError{Cause: err}
	}
	a.Body = &responseBody{ReadCloser: response.Body, cancel: cancel}
	return a, nil
}

// exchangeError returns the typed error of an exchange that failed before the
// response header.
func exchangeError(err error, expired bool) error {
	var unsent *pool.UnsentError
	if errors.As(err, &unsent) {
		return &proto.UnsentError{Cause: err}
	}
	return &proto.BrokenError{Cause: err, Expired: expired}
}

// newRequest returns the HTTP request that carries o.
func (e *Exchanger) newRequest(ctx context.Context, o proto.Attempt) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, o.Method, "http://"+o.Peer.ForwardAddr.String()+o.Target, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Host = o.Host
	r.Header = make(http.Header, len(o.Header)+8)
	proto.CopyHeader(r.Header, o.Header)
	r.Header.Set(proto.HeaderTicket, o.Ticket.String())
	r.Header.Set(proto.HeaderCall, o.Call.String())
	r.Header.Set(proto.HeaderVersions, proto.FormatVersions(o.Versions))
	r.Header.Set(proto.HeaderAttempt, proto.FormatAttempt(o))
	r.Header.Set(proto.HeaderClock, e.loop.Stamp())
	if o.Key != "" {
		r.Header.Set(proto.HeaderPrefix+"Key", o.Key)
	}
	proto.SetBody(r, o)
	proto.OmitUserAgent(r)
	if o.Length < 0 || o.Length > expectContinueSize {
		r.Header.Set("Expect", "100-continue")
	}
	return r, nil
}

// parseResponse parses the header of a guard's response to o.
func (e *Exchanger) parseResponse(r *http.Response, o proto.Attempt) (proto.Response, error) {
	if r.Header.Get(proto.HeaderTicket) != o.Ticket.String() {
		return proto.Response{}, &ResponseError{Status: r.StatusCode}
	}
	outcome, ok := parseOutcome(r.Header.Get(proto.HeaderOutcome))
	if !ok {
		return proto.Response{}, &ResponseError{Status: r.StatusCode}
	}
	e.loop.MergeStamp(r.Header.Get(proto.HeaderClock))
	a := proto.Response{
		Outcome: outcome,
		Reason:  effect.Reason(r.Header.Get(proto.HeaderReason)),
		Status:  r.StatusCode,
		Header:  r.Header,
		Length:  r.ContentLength,
	}
	if n, err := proto.ParseNode(r.Header.Get(proto.HeaderGuard)); err == nil {
		a.Guard = n
	}
	if load, err := report.Parse(r.Header.Get(proto.HeaderLoad)); err == nil {
		a.Load = &load
	}
	if v, err := proto.ParseVersions(r.Header.Get(proto.HeaderVersions)); err == nil {
		a.Versions = v
		e.reportVersions(a, o.Peer)
	}
	return a, nil
}

// reportVersions sends a VersionsReceived event if the versions in a differ from those of
// this node.
func (e *Exchanger) reportVersions(a proto.Response, peer fleet.Instance) {
	_, own := e.loop.LoadReport()
	if sameDigest(own.Rules, a.Versions.Rules) && sameDigest(own.Fleet, a.Versions.Fleet) {
		return
	}
	e.loop.Process(event.VersionsReceived{At: time.Now(), Peer: a.Guard.Instance, Control: peer.ControlAddr, Versions: a.Versions})
}

// sameDigest reports whether two versions have the same content.
func sameDigest(a, b view.Version) bool { return a.Digest == b.Digest }

// parseOutcome returns the outcome named by text.
func parseOutcome(text string) (effect.Outcome, bool) {
	for _, o := range []effect.Outcome{effect.Run, effect.NotRun, effect.Unknown, effect.Running} {
		if o.String() == text {
			return o, true
		}
	}
	return effect.Unknown, false
}

// responseBody is the body of a response. Closing it ends the exchange.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close discards the rest of the body.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
