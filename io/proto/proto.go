// Package proto defines the exchange of one attempt between an entry and a guard,
// which may be in the same process or on another instance. It also encodes and
// parses the HTTP headers of that exchange.
//
// # Usage
//
//	r, err := exchanger.Exchange(ctx, attempt)
//	if err != nil {
//		return err // no response: an *UnsentError or a *BrokenError
//	}
//	defer r.Body.Close()
package proto

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/nested"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// Exchanger sends an attempt to a guard and returns the guard's response.
type Exchanger interface {
	// Exchange returns an error only if the guard did not respond: an
	// *UnsentError if no byte of the attempt was sent, or a *BrokenError.
	Exchange(ctx context.Context, attempt Attempt) (Response, error)
}

// Attempt is one attempt with the request that it carries.
type Attempt struct {
	Ticket     ticket.Ticket
	Peer       fleet.Instance
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Body       io.Reader
	Length     int64
	Idempotent bool
	Priority   int
	Class      int
	Call       nested.Limits
	// HeaderTimeout is the timeout for the response header.
	HeaderTimeout time.Duration
	// WholeTimeout is the timeout for the whole response; 0 means none.
	WholeTimeout time.Duration
	// TargetLeft is the time left until the latency target; 0 means none.
	TargetLeft time.Duration
	// Nested reports that a running request waits for this one.
	Nested bool
	// Name is the request ID that the caller chose or the entry assigned.
	Name string
	// Customer is the name of the customer that the request is for, or empty.
	Customer string
	Key      string
	First    bool
	Versions event.Versions
	// RateLimit is the limit of the backend server in requests per second that the entry knows
	// from earlier responses, or 0.
	RateLimit float64
}

// Response is the response of a guard to an attempt. The caller must close Body.
type Response struct {
	Outcome  effect.Outcome
	Reason   effect.Reason
	Guard    ticket.NodeID
	Load     *report.Load
	Versions event.Versions
	Status   int
	Header   http.Header
	Length   int64
	Body     io.ReadCloser
}

// UnsentError reports that no byte of an attempt was sent.
type UnsentError struct {
	Cause error
}

// Error describes the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("attempt not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError reports that an exchange ended without a response of the guard,
// and that bytes of the attempt may have been sent.
type BrokenError struct {
	Cause error
	// Expired reports that the timeout for the response header has elapsed.
	Expired bool
}

// Error describes the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("exchange failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
