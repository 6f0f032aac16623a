package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// defaultHost is the host of a request whose URL has none.
const defaultHost = "bulrushlock"

// problem is the body of an answer that no backend server gave.
type problem struct {
	Reason effect.Reason `json:"reason"`
	Detail string        `json:"detail"`
}

// Do sends r, of whose URL only the path and the query count, and returns the
// answer of a backend server. It fails with a *NotRunError, an *UnknownError or a
// *RunningError. The deadline of ctx is told to the backend server, and the end
// of ctx ends the reading of the body.
func (c *Client) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	if err := c.enter(); err != nil {
		return nil, err
	}
	q, err := request(ctx, r)
	if err != nil {
		c.working.Done()
		return nil, err
	}
	w := newWriter()
	go func() {
		defer c.working.Done()
		w.serve(c.front, q)
	}()
	<-w.ready
	return w.outcome(ctx)
}

// Recover asks what became of the attempt of r that the ticket names. It sends
// nothing to a backend server. It returns the answer of the attempt where it is
// still kept, and fails in the way of Do.
func (c *Client) Recover(ctx context.Context, r *http.Request, t ticket.Ticket) (*http.Response, error) {
	q := r.Clone(ctx)
	q.Header.Set(xchg.HeaderTicket, t.String())
	q.Body, q.ContentLength = http.NoBody, 0
	return c.Do(ctx, q)
}

// Ticket returns the ticket of the attempt that gave an answer. It is zero where
// the answer names none.
func Ticket(a *http.Response) ticket.Ticket { return ticketOf(a.Header.Get(xchg.HeaderTicket)) }

// ticketOf returns the ticket that text holds, or the zero ticket.
func ticketOf(text string) ticket.Ticket {
	t, err := ticket.Parse(text)
	if err != nil {
		return ticket.Ticket{}
	}
	return t
}

// reasonHeader is the reason for which a request with a bad header is refused.
const reasonHeader effect.Reason = "header"

// request returns r in the form in which a server gets it, with the deadline of ctx.
func request(ctx context.Context, r *http.Request) (*http.Request, error) {
	if ctx.Err() != nil {
		return nil, &NotRunError{Reason: effect.ReasonGone, Detail: ctx.Err().Error()}
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
	call, err := depth.Parse(q.Header.Get(xchg.HeaderCall))
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
	if call.Left == 0 || left < call.Left {
		call.Left = left
	}
	q.Header.Set(xchg.HeaderCall, call.String())
	return q, nil
}

// outcome returns the answer of a backend server, or the error that stands for another outcome.
func (w *writer) outcome(ctx context.Context) (*http.Response, error) {
	if w.answer == nil {
		return nil, &UnknownError{Reason: effect.ReasonGone, Ticket: ticketOf(w.ticket), Cause: ctx.Err()}
	}
	outcome := w.answer.Header.Get(xchg.HeaderOutcome)
	if outcome == effect.Run.String() {
		return w.answer, nil
	}
	text, err := io.ReadAll(w.body)
	var p problem
	if err == nil {
		err = json.Unmarshal(text, &p)
	}
	if err != nil {
		// The end of ctx cuts the body, and often comes with the answer.
		p = problem{Reason: effect.ReasonGone, Detail: err.Error()}
	}
	t := Ticket(w.answer)
	switch outcome {
	case effect.NotRun.String():
		return nil, &NotRunError{Reason: p.Reason, Detail: p.Detail}
	case effect.Unknown.String():
		return nil, &UnknownError{Reason: p.Reason, Ticket: t, Cause: ctx.Err()}
	case effect.Running.String():
		return nil, &RunningError{Ticket: t}
	}
	return nil, &AnswerError{Outcome: outcome, Cause: err}
}
