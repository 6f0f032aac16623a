// Package xchg holds the exchange of one attempt between an entry and a guard,
// whether the guard is in the same process or on another instance.
//
// # Usage
//
//	a, err := exchanger.Exchange(ctx, offer)
//	if err != nil {
//		return err // no word of the guard: an *UnsentError if no byte was sent
//	}
//	defer a.Body.Close()
package xchg

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// Exchanger sends an attempt to a guard and returns what the guard answers.
type Exchanger interface {
	// Exchange returns an error only when the guard has given no answer: an
	// *UnsentError where no byte of the attempt was sent.
	Exchange(ctx context.Context, o Offer) (Answer, error)
}

// Offer is one attempt with the request that it carries.
type Offer struct {
	Ticket     ticket.Ticket
	Peer       fleet.Instance
	Method     string
	Target     string
	Host       string
	Header     http.Header
	Body       io.Reader
	Length     int64
	Idempotent bool
	Rank       int
	Class      int
	Call       depth.Call
	// Head is the longest time until the head of the answer.
	Head time.Duration
	// Aim is the time in which the answer is still of full use; 0 where none is named.
	Aim time.Duration
	// Inner tells that a running request waits for this one.
	Inner bool
	// Name is the name that the caller gave the request, or empty.
	Name     string
	Key      string
	First    bool
	Versions event.Versions
}

// Answer is what a guard answers to an attempt. The body must be closed.
type Answer struct {
	Outcome  effect.Outcome
	Reason   effect.Reason
	Guard    ticket.Node
	Load     *report.Load
	Versions event.Versions
	Status   int
	Header   http.Header
	Length   int64
	Body     io.ReadCloser
}

// UnsentError tells that no byte of an attempt was sent.
type UnsentError struct {
	Cause error
}

// Error names the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("attempt not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError tells that an exchange has ended with no word of the guard after
// bytes of it may have been sent.
type BrokenError struct {
	Cause error
	// Expired tells that the time for the head of the answer has run out.
	Expired bool
}

// Error names the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("exchange broken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }
