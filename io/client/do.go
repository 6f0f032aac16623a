package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/nested"
	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// defaultHost is the Host of a request whose URL has none.
const defaultHost = "bulrushlock"

// problem is the problem-details body of a response that no backend server
// sent.
type problem struct {
	Reason effect.Reason `json:"reason"`
	Detail string        `json:"detail"`
}

// Do sends r and returns the response of a backend server. It uses only the
// path and the query of the URL. It returns a *NotRunError, an *UnknownError, a
// *RunningError or an *OutcomeError on failure. The deadline of ctx is passed on
// to the backend server, and the end of ctx stops reads of the body.
func (c *Client) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	if err := c.beginRequest(); err != nil {
		return nil, err
	}
	q, err := toServerRequest(ctx, r)
	if err != nil {
		c.active.Done()
		return nil, err
	}
	w := newResponseWriter()
	go func() {
		defer c.active.Done()
		w.serve(c.front, q)
	}()
	<-w.ready
	return w.result(ctx)
}

// Recover queries the outcome of the attempt of r that the ticket names. It
// sends nothing to a backend server. It returns the response of the attempt if
// that is still stored, and the same errors as Do.
func (c *Client) Recover(ctx context.Context, r *http.Request, t ticket.Ticket) (*http.Response, error) {
	q := r.Clone(ctx)
	q.Header.Set(proto.HeaderTicket, t.String())
	q.Body, q.ContentLength = http.NoBody, 0
	return c.Do(ctx, q)
}

// Ticket returns the ticket of the attempt that produced a response, or the
// zero ticket if the response has none.
func Ticket(response *http.Response) ticket.Ticket {
	return ticketOf(response.Header.Get(proto.HeaderTicket))
}

// ticketOf parses text as a ticket. It returns the zero ticket if the text is
// invalid.
func ticketOf(text string) ticket.Ticket {
	t, err := ticket.Parse(text)
	if err != nil {
		return ticket.Ticket{}
	}
	return t
}

// reasonHeader is the reason for rejecting a request with an invalid header.
const reasonHeader effect.Reason = "header"

// toServerRequest converts r to the form that an HTTP server receives, with the
// deadline of ctx.
func toServerRequest(ctx context.Context, r *http.Request) (*http.Request, error) {
	if ctx.Err() != nil {
		return nil, &NotRunError{Reason: effect.ReasonDisconnected, Detail: ctx.Err().Error()}
	}
	q := r.Clone(ctx)
	q.RequestURI = r.URL.RequestURI()
	q.Proto, q.ProtoMajor, q.ProtoMinor = "HTTP/1.1", 1, 1
	if q.Host == "" {
		q.Host = defaultHost
	}
	if q.Header == nil {
		q.Header = make(http.Header)
	}
	switch {
	case q.Body == nil:
		q.Body, q.ContentLength = http.NoBody, 0
	case q.Body != http.NoBody && q.ContentLength == 0:
		q.ContentLength = -1
	}
	call, err := nested.Parse(q.Header.Get(proto.HeaderCall))
	if err != nil {
		return nil, &NotRunError{Reason: reasonHeader, Detail: err.Error()}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return q, nil
	}
	left := time.Until(deadline)
	if left <= 0 {
		return nil, &NotRunError{Reason: effect.ReasonDeadline}
	}
	if call.TimeLeft == 0 || left < call.TimeLeft {
		call.TimeLeft = left
	}
	q.Header.Set(proto.HeaderCall, call.String())
	return q, nil
}

// result returns the response of a backend server, or the error for any other
// outcome.
func (w *responseWriter) result(ctx context.Context) (*http.Response, error) {
	if w.response == nil {
		return nil, &UnknownError{Reason: effect.ReasonDisconnected, Ticket: ticketOf(w.earlyTicket), Cause: ctx.Err()}
	}
	outcome := w.response.Header.Get(proto.HeaderOutcome)
	if outcome == effect.Run.String() {
		return w.response, nil
	}
	text, err := io.ReadAll(w.body)
	var p problem
	if err == nil {
		err = json.Unmarshal(text, &p)
	}
	if err != nil {
		// The body may be truncated because ctx ended, which often happens at
		// the same time as the response arrives.
		p = problem{Reason: effect.ReasonDisconnected, Detail: err.Error()}
	}
	t := Ticket(w.response)
	switch outcome {
	case effect.NotRun.String():
		return nil, &NotRunError{Reason: p.Reason, Detail: p.Detail}
	case effect.Unknown.String():
		return nil, &UnknownError{Reason: p.Reason, Ticket: t, Cause: ctx.Err()}
	case effect.Running.String():
		return nil, &RunningError{Ticket: t}
	}
	return nil, &OutcomeError{Outcome: outcome, Cause: err}
}
