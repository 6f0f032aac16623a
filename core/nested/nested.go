// Package nested propagates the limits of a request to the nested calls that it causes:
// the nesting depth, the time left, and whether retries are allowed.
//
// # Usage
//
//	parent, err := nested.Parse(header)
//	limits, err := nested.Incoming(parent, timeout)
//	outgoing, err := limits.Outgoing(elapsed)
//	request.Header.Set("Bulrushlock-Call", outgoing.NoRetry().String())
package nested

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxDepth is the largest allowed nesting depth of calls.
const MaxDepth = 19

// finalMark is the part of the header text that forbids retries.
const finalMark = "final"

// Limits holds the limits of one call. The zero Limits is an external call without a
// deadline. A Limits of depth 0 with time left is an external call with a deadline.
type Limits struct {
	// Depth is 1 for an external call once Incoming has accepted it, and grows by one with
	// each nested call.
	Depth int
	// TimeLeft is the time left before the deadline.
	TimeLeft time.Duration
	// RetryForbidden is set if a layer above retries, so that the layers below must not
	// retry.
	RetryForbidden bool
}

// ParseError reports a malformed header text.
type ParseError struct {
	Text string
}

// Error returns a message with the malformed text.
func (e *ParseError) Error() string {
	return fmt.Sprintf("call %q is not of the form depth/left[/final]", e.Text)
}

// DepthError reports a call that exceeds MaxDepth.
type DepthError struct {
	Depth int
}

// Error returns a message with the depth and the maximum.
func (e *DepthError) Error() string {
	return fmt.Sprintf("call nests %d levels deep, at most %d are allowed", e.Depth, MaxDepth)
}

// DeadlineError reports a call without time left.
type DeadlineError struct {
	Depth int
	// Left is the time left, which is zero or negative.
	Left time.Duration
}

// Error returns a message with the depth and the time since the deadline.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline of the call at depth %d passed by %v", e.Depth, -e.Left)
}

// Incoming returns the limits of a call whose parent has the limits parent. The time left
// is at most limit. It fails with a *DepthError or a *DeadlineError.
func Incoming(parent Limits, limit time.Duration) (Limits, error) {
	c := Limits{Depth: parent.Depth + 1, TimeLeft: limit, RetryForbidden: parent.RetryForbidden}
	if parent.Depth > 0 || parent.TimeLeft > 0 {
		c.TimeLeft = min(parent.TimeLeft, limit)
	}
	if c.Depth > MaxDepth {
		return Limits{}, fmt.Errorf("enter: %w", &DepthError{Depth: c.Depth})
	}
	if c.TimeLeft <= 0 {
		return Limits{}, fmt.Errorf("enter: %w", &DeadlineError{Depth: c.Depth, Left: c.TimeLeft})
	}
	return c, nil
}

// Outgoing returns the limits to send with a call after the time spent on it so far. A
// negative time spent counts as 0. It fails with a *DeadlineError.
func (l Limits) Outgoing(spent time.Duration) (Limits, error) {
	l.TimeLeft -= max(spent, 0)
	if l.TimeLeft <= 0 {
		return Limits{}, fmt.Errorf("leave: %w", &DeadlineError{Depth: l.Depth, Left: l.TimeLeft})
	}
	return l, nil
}

// NoRetry returns l with retries forbidden in the layers below. A layer that retries
// sends the result with its calls.
func (l Limits) NoRetry() Limits {
	l.RetryForbidden = true
	return l
}

// String returns the text form of l, which is sent in a header.
func (l Limits) String() string {
	text := strconv.Itoa(l.Depth) + "/" + l.TimeLeft.String()
	if l.RetryForbidden {
		text += "/" + finalMark
	}
	return text
}

// Parse parses the text form of a Limits. An empty text is the zero Limits. It fails with a
// *ParseError.
func Parse(text string) (Limits, error) {
	if text == "" {
		return Limits{}, nil
	}
	parts := strings.Split(text, "/")
	if len(parts) < 2 || len(parts) > 3 {
		return Limits{}, fmt.Errorf("parts: %w", &ParseError{Text: text})
	}
	n, err := strconv.Atoi(parts[0])
	if err != nil || n < 0 || n > MaxDepth {
		return Limits{}, fmt.Errorf("depth: %w", &ParseError{Text: text})
	}
	left, err := time.ParseDuration(parts[1])
	if err != nil || left < 0 {
		return Limits{}, fmt.Errorf("time left: %w", &ParseError{Text: text})
	}
	if len(parts) == 3 && parts[2] != finalMark {
		return Limits{}, fmt.Errorf("retry flag: %w", &ParseError{Text: text})
	}
	return Limits{Depth: n, TimeLeft: left, RetryForbidden: len(parts) == 3}, nil
}
