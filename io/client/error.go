package client

import (
	"fmt"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
)

// NotRunError tells that a request did not run and never will: it is safe to
// send it again.
type NotRunError struct {
	Reason effect.Reason
	// Detail tells more of the reason; it may be empty.
	Detail string
}

// Error names the reason.
func (e *NotRunError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("request did not run: %s", e.Reason)
	}
	return fmt.Sprintf("request did not run: %s: %s", e.Reason, e.Detail)
}

// UnknownError tells that a request may have run. A non-idempotent request must
// not be sent again; Recover asks what became of it.
type UnknownError struct {
	Reason effect.Reason
	// Ticket names the attempt; it is zero where none was sent.
	Ticket ticket.Ticket
	// Cause is the error of the context where it ended first, or nil.
	Cause error
}

// Error names the reason.
func (e *UnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("request may have run: %v", e.Cause)
	}
	return fmt.Sprintf("request may have run: %s", e.Reason)
}

// Unwrap returns the error of the context, or nil.
func (e *UnknownError) Unwrap() error { return e.Cause }

// RunningError tells that a request runs now. Recover asks for its answer.
type RunningError struct {
	Ticket ticket.Ticket
}

// Error names the outcome.
func (e *RunningError) Error() string { return "request is still running" }

// CutError is an answer that broke off: what was read of it is not the whole.
type CutError struct {
	// Cause is the error of the context where it ended first, or nil.
	Cause error
}

// Error names the cause.
func (e *CutError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("answer broke off: %v", e.Cause)
	}
	return "answer broke off"
}

// Unwrap returns the error of the context, or nil.
func (e *CutError) Unwrap() error { return e.Cause }

// NotReadyError tells that a client got no rules or no list of instances in time.
type NotReadyError struct {
	Cause error
}

// Error names the cause.
func (e *NotReadyError) Error() string { return fmt.Sprintf("client is not ready: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// AnswerError is an answer that carries no outcome that is known.
type AnswerError struct {
	Outcome string
	Cause   error
}

// Error names the outcome.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("answer with outcome %q: %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Cause }
