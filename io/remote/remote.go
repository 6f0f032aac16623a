// Package remote sends attempts to the guards of other nodes over HTTP.
//
// # Usage
//
//	e := remote.New(l, dialer)
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
	// waits for a 100 Continue of the guard before the body is sent. The body of a
	// rejected attempt then takes no time on the links, on which short requests
	// would wait behind it.
	expectContinueSize = 16 << 10
	// maxIdlePerNode is the maximum number of idle connections to each node.
	maxIdlePerNode = 64
)

// Exchanger sends attempts to other nodes.
type Exchanger struct {
	loop      *loop.Loop
	transport *pool.Transport
}

var _ proto.Exchanger = (*Exchanger)(nil)

// ResponseError reports a response that is not a guard's response to the attempt:
// its ticket is another one, or its outcome is missing or unknown.
type ResponseError struct {
	Status int
}

// Error describes the fault.
func (e *ResponseError) Error() string { return "response does not match the attempt" }

// New returns an Exchanger without connections; d makes them.
func New(l *loop.Loop, d pool.Dialer) *Exchanger {
	return &Exchanger{loop: l, transport: pool.New(d, pool.Options{MaxIdle: maxIdlePerNode, IdleTimeout: idleTimeout, ReportPanic: l.ReportPanic})}
}

// Close closes all idle connections.
func (e *Exchanger) Close() { e.transport.Close() }

// Exchange sends attempt to the guard of another node and waits for the response
// header. It returns a *proto.UnsentError if no byte was sent, and a
// *proto.BrokenError on any other failure.
func (e *Exchanger) Exchange(ctx context.Context, attempt proto.Attempt) (proto.Response, error) {
	if !attempt.Idempotent {
		ctx = pool.WithAtMostOnce(ctx)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := e.newRequest(ctx, attempt)
	if err != nil {
		cancel(nil)
		return proto.Response{}, &proto.UnsentError{Cause: err}
	}
	overdue := time.AfterFunc(attempt.HeaderTimeout, func() { cancel(context.DeadlineExceeded) })
	response, err := e.transport.RoundTrip(r)
	overdue.Stop()
	if err != nil {
		expired := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
		cancel(nil)
		return proto.Response{}, exchangeError(err, expired)
	}
	a, err := e.parseResponse(response, attempt)
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

// newRequest returns the HTTP request that carries attempt.
func (e *Exchanger) newRequest(ctx context.Context, attempt proto.Attempt) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, attempt.Method, "http://"+attempt.Peer.ForwardAddr.String()+attempt.Target, http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Host = attempt.Host
	r.Header = make(http.Header, len(attempt.Header)+8)
	proto.CopyHeader(r.Header, attempt.Header)
	r.Header.Set(proto.HeaderTicket, attempt.Ticket.String())
	r.Header.Set(proto.HeaderCall, attempt.Call.String())
	proto.SetVersions(r.Header, attempt.Versions)
	r.Header.Set(proto.HeaderAttempt, proto.FormatAttempt(attempt))
	r.Header.Set(proto.HeaderClock, e.loop.Stamp())
	r.Header.Set(proto.HeaderID, attempt.Name)
	if attempt.RateLimit > 0 {
		r.Header.Set(proto.HeaderQuota, proto.FormatQuota(attempt.RateLimit))
	}
	if attempt.WholeTimeout > 0 && attempt.Length != 0 {
		// The guard notices that this node has ended the attempt only once it has read the body.
		r.Header.Set(proto.HeaderWhole, proto.FormatWhole(attempt.WholeTimeout))
	}
	if attempt.Customer != "" {
		r.Header.Set(proto.HeaderCustomer, attempt.Customer)
	}
	if attempt.Key != "" {
		r.Header.Set(proto.HeaderPrefix+"Key", attempt.Key)
	}
	proto.SetBody(r, attempt)
	proto.OmitUserAgent(r)
	if attempt.Length < 0 || attempt.Length > expectContinueSize {
		r.Header.Set("Expect", "100-continue")
	}
	return r, nil
}

// parseResponse parses the header of a guard's response to attempt.
func (e *Exchanger) parseResponse(r *http.Response, attempt proto.Attempt) (proto.Response, error) {
	if r.Header.Get(proto.HeaderTicket) != attempt.Ticket.String() {
		return proto.Response{}, &ResponseError{Status: r.StatusCode}
	}
	outcome, ok := parseOutcome(r.Header.Get(proto.HeaderOutcome))
	if !ok {
		return proto.Response{}, &ResponseError{Status: r.StatusCode}
	}
	e.loop.MergeStamp(r.Header.Get(proto.HeaderClock))
	result := proto.Response{
		Outcome: outcome,
		Reason:  effect.Reason(r.Header.Get(proto.HeaderReason)),
		Status:  r.StatusCode,
		Header:  r.Header,
		Length:  r.ContentLength,
	}
	if n, err := proto.ParseNode(r.Header.Get(proto.HeaderGuard)); err == nil {
		result.Guard = n
	}
	if load, err := report.Parse(r.Header.Get(proto.HeaderLoad)); err == nil {
		if load.RateLimit, err = proto.ParseQuota(r.Header.Get(proto.HeaderQuota)); err != nil {
			return proto.Response{}, err
		}
		load.Ending = r.Header.Get(proto.HeaderEnding) == proto.EndingValue
		result.Load = &load
	}
	if v, err := proto.VersionsOf(r.Header); err == nil {
		result.Versions = v
		e.reportVersions(result, attempt.Peer)
	}
	return result, nil
}

// reportVersions sends a VersionsReceived event if the versions in response differ from
// those of this node.
func (e *Exchanger) reportVersions(response proto.Response, peer fleet.Instance) {
	_, own := e.loop.LoadReport()
	if sameDigest(own.Rules, response.Versions.Rules) && sameDigest(own.Fleet, response.Versions.Fleet) {
		return
	}
	e.loop.Process(event.VersionsReceived{At: time.Now(), Peer: response.Guard.Instance, Control: peer.ControlAddr, Versions: response.Versions})
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
