package front

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// problem is the problem-details body of a response that no backend server
// sent.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	Ticket  string `json:"ticket,omitempty"`
}

// defaultRetryAfter is the Retry-After delay of a rejected request for which
// the entry gives no delay.
const defaultRetryAfter = time.Second

// responseGrace is the time for which a response may still be written after the time limit
// of its route. It covers the outcome that is sent in place of a response that has not begun.
const responseGrace = 250 * time.Millisecond

// writeResponse forwards the response of an attempt to the caller. If the response
// breaks off before the first byte of its body, the caller gets the outcome in its
// place. If it breaks off later, the connection to the caller is aborted, so that the
// caller does not take a part of the body for the whole.
func (cr *callerRequest) writeResponse(t ticket.Ticket) {
	cr.mutex.Lock()
	a := cr.attempts[t]
	cr.mutex.Unlock()
	if a == nil || a.response == nil {
		panic(http.ErrAbortHandler)
	}
	response := a.response
	// The attempt itself may outlast its caller. A response that the caller no longer reads need not.
	leave := context.AfterFunc(cr.request.Context(), a.cancel)
	defer leave()
	if a.responseTimeout > 0 {
		stop := cr.limitResponseTime(a)
		defer stop()
	}
	begun := false
	err := cr.front.options.Egress.Copy(cr.request.Context(), cr.writer, response.Body, response.Length, func() {
		begun = true
		cr.writeHead(t, response)
	})
	switch {
	case err == nil:
	case begun:
		cr.outcome = effect.Unknown
		panic(http.ErrAbortHandler)
	default:
		cr.writeOutcome(effect.ReplyFromEntry{ID: cr.id, Outcome: effect.Unknown, Reason: effect.ReasonBroken, Ticket: &t})
	}
}

// writeHead writes the head of the response of an attempt.
func (cr *callerRequest) writeHead(t ticket.Ticket, response *proto.Response) {
	h := cr.writer.Header()
	proto.CopyHeader(h, response.Header)
	h.Set(proto.HeaderOutcome, effect.Run.String())
	cr.setTicket(t)
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	cr.responded = true
	cr.writer.WriteHeader(response.Status)
}

// limitResponseTime ends the response of an attempt at the time limit of its route:
// reading it by cancelling the attempt, and writing it by a deadline, as a caller that
// reads nothing blocks the writer. The returned function removes both limits.
func (cr *callerRequest) limitResponseTime(a *pendingAttempt) (stop func()) {
	end := cr.began.Add(a.responseTimeout)
	overdue := time.AfterFunc(time.Until(end), a.cancel)
	c := http.NewResponseController(cr.writer)
	if err := c.SetWriteDeadline(end.Add(responseGrace)); err != nil {
		// The writer of an embedded client has no deadline.
		return func() { overdue.Stop() }
	}
	return func() {
		overdue.Stop()
		// A failure means that the connection is closed.
		_ = c.SetWriteDeadline(time.Time{})
	}
}

// setTicket adds the ticket of the attempt to the response.
func (cr *callerRequest) setTicket(t ticket.Ticket) {
	if !cr.front.options.HideTickets {
		cr.writer.Header().Set(proto.HeaderTicket, t.String())
	}
}

// writeStoredResponse sends the stored response of an earlier attempt to the
// caller.
func (cr *callerRequest) writeStoredResponse(e effect.FetchResponse) {
	h := cr.writer.Header()
	proto.CopyHeader(h, cr.recovered.Header)
	h.Set(proto.HeaderOutcome, effect.Run.String())
	cr.setTicket(e.Ticket)
	h.Set("Content-Length", strconv.Itoa(len(cr.recovered.Body)))
	cr.responded = true
	cr.writer.WriteHeader(cr.recovered.Status)
	if _, err := cr.writer.Write(cr.recovered.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// writeOutcome sends an outcome without a backend server's response to the
// caller.
func (cr *callerRequest) writeOutcome(e effect.ReplyFromEntry) {
	cr.outcome = e.Outcome
	if cr.tooLarge.Load() {
		e.Reason = effect.ReasonBody
	}
	p := problem{Status: cr.statusOf(e), Outcome: e.Outcome.String(), Reason: string(e.Reason), Detail: detailOf(e)}
	if e.Ticket != nil && !cr.front.options.HideTickets {
		p.Ticket = e.Ticket.String()
		cr.setTicket(*e.Ticket)
	}
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusConflict || p.Status == http.StatusTooManyRequests {
		after := e.RetryAfter
		if after == 0 {
			after = defaultRetryAfter
		}
		cr.writer.Header().Set("Retry-After", cr.front.options.Dialect.FormatRetryAfter(after))
	}
	if p.Status == http.StatusUnauthorized {
		cr.writer.Header().Set("WWW-Authenticate", credentialScheme)
	}
	if cr.stream != nil || cr.bodyUnread {
		// Otherwise the response would not be sent until the caller has sent the
		// whole body.
		cr.writer.Header().Set("Connection", "close")
	}
	cr.responded = true
	writeProblem(cr.writer, p)
}

// statusOf returns the HTTP status for an outcome and its reason.
func (cr *callerRequest) statusOf(e effect.ReplyFromEntry) int {
	if e.Outcome == effect.Running {
		if cr.front.options.HideTickets {
			return http.StatusGatewayTimeout
		}
		return http.StatusConflict
	}
	switch e.Reason {
	case effect.ReasonRoute:
		return http.StatusNotFound
	case effect.ReasonCredential:
		return http.StatusUnauthorized
	case effect.ReasonAllotment:
		// The status states that the request did not run.
		if e.Outcome == effect.NotRun {
			return http.StatusTooManyRequests
		}
	case effect.ReasonBody:
		return http.StatusRequestEntityTooLarge
	case effect.ReasonDepth:
		return http.StatusLoopDetected
	case effect.ReasonDeadline:
		// Callers that do not support outcomes read a 503 as "the request did
		// not run".
		if e.Outcome != effect.NotRun || !cr.front.options.HideTickets {
			return http.StatusGatewayTimeout
		}
	}
	if e.Outcome == effect.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// detailOf returns the text that explains to the caller how to proceed.
func detailOf(e effect.ReplyFromEntry) string {
	switch e.Outcome {
	case effect.NotRun:
		if e.Reason == effect.ReasonCredential {
			return "the request did not run and will not; it needs the credential of a customer"
		}
		return "the request did not run and will not; it is safe to send it again"
	case effect.Running:
		if e.Reason == effect.ReasonKey {
			return "the request runs; send it again with its key for its answer"
		}
		return "the request runs; ask for its answer with the ticket"
	case effect.Unknown, effect.Run:
	}
	if e.Reason == effect.ReasonKey {
		return "the request may have run under its key; if it was never sent before, add " + proto.HeaderFirst + ": yes"
	}
	return "the request may have run; ask with the ticket before it is sent again"
}

// writeProblem writes p as the whole response.
func writeProblem(w http.ResponseWriter, p problem) {
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(proto.HeaderOutcome, p.Outcome)
	h.Set(proto.HeaderReason, p.Reason)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
