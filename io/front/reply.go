package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// problem is the problem-details body of an answer that no backend server gave.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
	Ticket  string `json:"ticket,omitempty"`
}

// usualRetry is the time after which a caller may try a refused request again
// where the entry knows no better one.
const usualRetry = time.Second

// relay gives the answer of an attempt to the caller. Where the answer breaks
// off, the connection to the caller is broken too, so that it cannot take the
// part for the whole.
func (v *visit) relay(t ticket.Ticket) {
	v.mutex.Lock()
	a := v.attempts[t]
	v.mutex.Unlock()
	if a == nil || a.answer == nil {
		panic(http.ErrAbortHandler)
	}
	answer := a.answer
	h := v.writer.Header()
	xchg.CopyHeader(h, answer.Header)
	h.Set(xchg.HeaderOutcome, effect.Run.String())
	v.setTicket(t)
	if a.whole > 0 {
		// An answer that is cut here breaks the connection to the caller.
		overdue := time.AfterFunc(a.whole-time.Since(v.began), a.cancel)
		defer overdue.Stop()
	}
	if answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	v.writer.WriteHeader(answer.Status)
	if err := v.front.options.Spout.Copy(v.request.Context(), v.writer, answer.Body, answer.Length); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// setTicket puts the ticket of the answered attempt into the answer.
func (v *visit) setTicket(t ticket.Ticket) {
	if !v.front.options.Mute {
		v.writer.Header().Set(xchg.HeaderTicket, t.String())
	}
}

// recover gives the kept answer of an earlier attempt to the caller.
func (v *visit) recover(e effect.Recover) {
	h := v.writer.Header()
	xchg.CopyHeader(h, v.recovered.Header)
	h.Set(xchg.HeaderOutcome, effect.Run.String())
	v.setTicket(e.Ticket)
	h.Set("Content-Length", strconv.Itoa(len(v.recovered.Body)))
	v.writer.WriteHeader(v.recovered.Status)
	if _, err := v.writer.Write(v.recovered.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// reply answers the caller without an answer of a backend server.
func (v *visit) reply(e effect.Reply) {
	v.outcome = e.Outcome
	if v.over.Load() {
		e.Reason = effect.ReasonBody
	}
	p := problem{Status: v.statusOf(e), Outcome: e.Outcome.String(), Reason: string(e.Reason), Detail: detailOf(e)}
	if e.Ticket != nil && !v.front.options.Mute {
		p.Ticket = e.Ticket.String()
		v.setTicket(*e.Ticket)
	}
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusConflict {
		after := e.Retry
		if after == 0 {
			after = usualRetry
		}
		v.writer.Header().Set("Retry-After", v.front.options.Dialect.Retry(after))
	}
	if v.stream != nil {
		// Without this the answer would wait until the caller has sent its whole body.
		v.writer.Header().Set("Connection", "close")
	}
	writeProblem(v.writer, p)
}

// statusOf returns the HTTP status that stands for an outcome and its reason.
func (v *visit) statusOf(e effect.Reply) int {
	if e.Outcome == effect.Running {
		if v.front.options.Mute {
			return http.StatusGatewayTimeout
		}
		return http.StatusConflict
	}
	switch e.Reason {
	case effect.ReasonRoute:
		return http.StatusNotFound
	case effect.ReasonBody:
		return http.StatusRequestEntityTooLarge
	case effect.ReasonDepth:
		return http.StatusLoopDetected
	case effect.ReasonDeadline:
		// Callers who know no outcomes read from a 503 that the request did not run.
		if e.Outcome != effect.NotRun || !v.front.options.Mute {
			return http.StatusGatewayTimeout
		}
	}
	if e.Outcome == effect.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// detailOf tells the caller what it may do.
func detailOf(e effect.Reply) string {
	switch e.Outcome {
	case effect.NotRun:
		return "the request did not run and will not; it is safe to send it again"
	case effect.Running:
		if e.Reason == effect.ReasonKey {
			return "the request runs; send it again with its key for its answer"
		}
		return "the request runs; ask for its answer with the ticket"
	case effect.Unknown, effect.Run:
	}
	if e.Reason == effect.ReasonKey {
		return "the request may have run under its key; if it was never sent before, add " + xchg.HeaderFirst + ": yes"
	}
	return "the request may have run; ask with the ticket before it is sent again"
}

// writeProblem writes p as the whole answer.
func writeProblem(w http.ResponseWriter, p problem) {
	p.Title = http.StatusText(p.Status)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(xchg.HeaderOutcome, p.Outcome)
	h.Set(xchg.HeaderReason, p.Reason)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
