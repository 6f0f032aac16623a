package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
)

// serve sends an admitted attempt to the backend server. A non-idempotent attempt continues without its
// sender for as long as its response may be stored; any other one ends with the context of the sender.
func (ah *attemptHandler) serve(sender context.Context, e effect.Admit) proto.Response {
	ctx, timeout := sender, e.TimeLeft
	if !ah.attempt.Idempotent {
		ctx = pool.WithAtMostOnce(context.WithoutCancel(sender))
		timeout += ah.gate.options.DeadlineOverrun
	}
	ctx, cancel := context.WithCancelCause(ctx)
	overdue := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	// The timeout also covers the body of a response that is stored, as newResponse
	// reads it to its end. Other bodies are read after serve has returned, see endWith.
	defer overdue.Stop()
	began := time.Now()
	sent := ah.request(ctx, e)
	r, err := ah.gate.options.Transport.RoundTrip(sent) //nolint:bodyclose // responseBody closes it.
	spent := time.Since(began)
	if err != nil {
		cancel(nil)
		return ah.handleExchangeError(ctx, err, spent)
	}
	info := ah.gate.options.Dialect.ParseResponse(r.StatusCode, r.Header)
	ah.gate.reportAnnouncement(began, info.Announcement)
	if f := rejectionOf(e, info, r.StatusCode); f != event.None {
		if !ah.gate.options.Dialect.Identifies(sent.Header, r.Header) {
			// The refusal may be that of another request, while this one runs.
			f = event.Reset
		}
		closeBody(r.Body)
		cancel(nil)
		return ah.reportFailure(event.ExchangeEnded{Failure: f, Latency: spent, ServerLoad: info.ServerLoad})
	}
	if !ah.gate.options.AcceptCloseDelimited && !pool.IsDelimited(r) {
		closeBody(r.Body)
		cancel(nil)
		return ah.reportFailure(event.ExchangeEnded{Failure: event.Reset, Latency: spent})
	}
	s := &responseBody{handler: ah, body: r.Body, context: ctx, cancel: cancel, status: r.StatusCode, responseTime: spent, load: info.ServerLoad}
	response := ah.newResponse(r, s)
	if response.Body == s {
		s.endWith(sender)
	}
	return response
}

// reportAnnouncement reports to the guard what the backend server announced in its response to a
// request sent at sentAt.
func (g *Gate) reportAnnouncement(sentAt time.Time, a event.Announcement) {
	if a != (event.Announcement{}) {
		g.announced.Store(true)
	}
	if g.announced.Load() {
		g.loop.Process(event.ServerAnnounced{At: time.Now(), SentAt: sentAt, Announcement: a})
	}
}

// rejectionOf returns the failure if a response reports that the request did not
// run, or event.None otherwise.
func rejectionOf(e effect.Admit, s proto.ResponseInfo, status int) event.Failure {
	switch {
	case s.WrongIncarnation:
		return event.WrongIncarnation
	case s.Declined:
		return event.Declined
	case e.Shed && status == http.StatusServiceUnavailable:
		return event.Shed
	}
	return event.None
}

// request returns the HTTP request for the backend server.
func (ah *attemptHandler) request(ctx context.Context, e effect.Admit) *http.Request {
	attempt := ah.attempt
	r, err := http.NewRequestWithContext(ctx, attempt.Method, ah.gate.origin+attempt.Target, http.NoBody)
	if err != nil {
		r = &http.Request{Method: attempt.Method}
		return r.WithContext(ctx)
	}
	r.Host = attempt.Host
	r.Header = make(http.Header, len(attempt.Header)+4)
	proto.CopyHeader(r.Header, attempt.Header)
	if attempt.Customer != "" {
		ah.gate.options.Dialect.SetCustomerHeader(r.Header, attempt.Customer)
	}
	ah.gate.options.Dialect.SetLimitHeaders(r.Header, proto.RequestLimits{ID: attempt.Name, Call: attempt.Call, TimeLeft: e.TimeLeft, Incarnation: e.Incarnation})
	attempt.Body = &ah.requestBody
	proto.SetBody(r, attempt)
	proto.OmitUserAgent(r)
	return r
}

// trackedBody is a request body that records whether a read failed.
type trackedBody struct {
	reader     io.Reader
	readFailed atomic.Bool
}

// Read reads the body.
func (s *trackedBody) Read(b []byte) (int, error) {
	if s.reader == nil {
		return 0, io.EOF
	}
	n, err := s.reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		s.readFailed.Store(true)
	}
	return n, err
}

// handleExchangeError returns the response to an attempt for which the backend
// server sent no response header.
func (ah *attemptHandler) handleExchangeError(ctx context.Context, err error, spent time.Duration) proto.Response {
	var unsent *pool.UnsentError
	switch {
	case ctx.Err() != nil && ah.attempt.Idempotent:
		ah.reportServed(event.ExchangeEnded{Failure: event.Cancelled, Latency: spent})
		return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonDeadline}
	case ah.requestBody.readFailed.Load():
		ah.reportServed(event.ExchangeEnded{Failure: event.Cancelled, Latency: spent})
		return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonDisconnected}
	case errors.As(err, &unsent):
		return ah.reportFailure(event.ExchangeEnded{Failure: event.Refused, Latency: spent})
	}
	return ah.reportFailure(event.ExchangeEnded{Failure: event.Reset, Latency: spent})
}

// reportFailure reports a failed exchange to the guard and returns the response
// that the guard decides on.
func (ah *attemptHandler) reportFailure(e event.ExchangeEnded) proto.Response {
	ah.reportServed(e)
	select {
	case e := <-ah.effects:
		if d, ok := e.(effect.RejectAttempt); ok {
			return proto.Response{Outcome: d.Outcome, Reason: d.Reason}
		}
	default:
	}
	return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}

// reportServed reports the end of the exchange with the backend server to the
// guard.
func (ah *attemptHandler) reportServed(e event.ExchangeEnded) {
	e.At = time.Now()
	e.Arrival = ah.arrival
	ah.gate.loop.Process(e)
}

// newResponse returns the backend server's response r, with s as its body. A
// small response to a non-idempotent request is read to its end and stored.
func (ah *attemptHandler) newResponse(r *http.Response, s *responseBody) proto.Response {
	response := proto.Response{
		Outcome: effect.Run,
		Status:  r.StatusCode,
		Header:  make(http.Header, len(r.Header)),
		Length:  r.ContentLength,
		Body:    s,
	}
	proto.CopyHeader(response.Header, r.Header)
	if ah.attempt.Idempotent || r.ContentLength > maxReplayBody {
		return response
	}
	start, err := io.ReadAll(io.LimitReader(r.Body, maxReplayBody+1))
	if err != nil {
		s.finish(event.Reset, nil)
		return proto.Response{Outcome: effect.Unknown, Reason: effect.ReasonBroken}
	}
	if len(start) > maxReplayBody {
		s.prefix = bytes.NewReader(start)
		return response
	}
	s.finish(event.None, &event.StoredResponse{Status: response.Status, Header: response.Header, Body: start})
	response.Body = io.NopCloser(bytes.NewReader(start))
	return response
}

// replayResponse returns a stored response as the response to an attempt.
func replayResponse(stored *event.StoredResponse) proto.Response {
	h := make(http.Header, len(stored.Header))
	proto.CopyHeader(h, stored.Header)
	h.Set("Content-Length", strconv.Itoa(len(stored.Body)))
	return proto.Response{
		Outcome: effect.Run,
		Status:  stored.Status,
		Header:  h,
		Length:  int64(len(stored.Body)),
		Body:    io.NopCloser(bytes.NewReader(stored.Body)),
	}
}

// responseBody is the body of a response that the backend server is still
// sending.
type responseBody struct {
	handler *attemptHandler
	prefix  io.Reader
	body    io.ReadCloser
	// context is that of the exchange.
	context context.Context
	cancel  context.CancelCauseFunc
	// leave stops the exchange from ending with its sender, and overdue ends it at the timeout for the whole
	// response; nil if there is none.
	leave        func() bool
	overdue      *time.Timer
	status       int
	responseTime time.Duration
	load         *event.ServerLoad
	once         sync.Once
}

// endWith ends the exchange when the context of its sender ends, and at the timeout for the whole response. That
// of a sender on another node ends late if a part of the request body is still unread.
func (s *responseBody) endWith(sender context.Context) {
	s.leave = context.AfterFunc(sender, func() { s.cancel(context.Cause(sender)) })
	if timeout := s.handler.attempt.WholeTimeout; timeout > 0 {
		left := timeout - time.Since(s.handler.arrivedAt)
		s.overdue = time.AfterFunc(left, func() { s.cancel(context.DeadlineExceeded) })
	}
}

// Read reads the body and reports its end to the guard.
func (s *responseBody) Read(b []byte) (int, error) {
	if s.prefix != nil {
		n, err := s.prefix.Read(b)
		if n > 0 || !errors.Is(err, io.EOF) {
			return n, err
		}
		s.prefix = nil
	}
	n, err := s.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		s.finish(event.None, nil)
	case s.context.Err() != nil:
		// The sender has left, or its time is over, which says nothing about the backend server.
		s.finish(event.Cancelled, nil)
	case err != nil:
		s.finish(event.Reset, nil)
	}
	return n, err
}

// Close discards the rest of the body.
func (s *responseBody) Close() error {
	s.finish(event.Cancelled, nil)
	return nil
}

// finish reports the result of the response to the guard and releases the
// connection. Only the first call has an effect.
func (s *responseBody) finish(f event.Failure, response *event.StoredResponse) {
	s.once.Do(func() {
		if s.leave != nil {
			s.leave()
		}
		if s.overdue != nil {
			s.overdue.Stop()
		}
		closeBody(s.body)
		s.cancel(nil)
		s.handler.reportServed(event.ExchangeEnded{Failure: f, Status: s.status, Latency: s.responseTime, Response: response, ServerLoad: s.load})
		s.handler.gate.loop.CloseMailbox(s.handler.arrival)
	})
}

// closeBody closes a body and ignores the error.
func closeBody(b io.Closer) { _ = b.Close() }
