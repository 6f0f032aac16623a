package client

import (
	"fmt"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
)

// NotRunError reports that a request did not run and never will. It is safe to
// send it again.
type NotRunError struct {
	Reason effect.Reason
	// Detail explains the reason; it may be empty.
	Detail string
}

// Error describes the reason.
func (e *NotRunError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("request did not run: %s", e.Reason)
	}
	return fmt.Sprintf("request did not run: %s: %s", e.Reason, e.Detail)
}

// UnknownError reports that a request may have run. Do not send a
// non-idempotent request again; query its outcome with Recover.
type UnknownError struct {
	Reason effect.Reason
	// Ticket names the attempt; it is zero if none was sent.
	Ticket ticket.Ticket
	// Cause is the error of the context if that ended first, or nil.
	Cause error
}

// Error describes the reason.
func (e *UnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("request may have run: %v", e.Cause)
	}
	return fmt.Sprintf("request may have run: %s", e.Reason)
}

// Unwrap returns the error of the context, or nil.
func (e *UnknownError) Unwrap() error { return e.Cause }

// RunningError reports that a request is still running. Recover queries its
// response.
type RunningError struct {
	Ticket ticket.Ticket
}

// Error describes the outcome.
func (e *RunningError) Error() string { return "request is still running" }

// TruncatedError reports a truncated response: the part that was read is incomplete.
type TruncatedError struct {
	// Cause is the error of the context if that ended first, or nil.
	Cause error
}

// Error describes the cause.
func (e *TruncatedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("response truncated: %v", e.Cause)
	}
	return "response truncated"
}

// Unwrap returns the error of the context, or nil.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// NotReadyError reports that a client did not receive rules and an instance
// list in time.
type NotReadyError struct {
	Cause error
}

// Error describes the cause.
func (e *NotReadyError) Error() string { return fmt.Sprintf("client is not ready: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// OutcomeError reports a response without a known outcome.
type OutcomeError struct {
	Outcome string
	Cause   error
}

// Error names the outcome.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("response with unknown outcome %q: %v", e.Outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }
