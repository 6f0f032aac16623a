// Package depth carries the limits of a request down the calls that it causes:
// how deep they nest, the time that is left, and who may still retry.
//
// # Usage
//
//	parent, err := depth.Parse(header)
//	c, err := depth.Enter(parent, limit)
//	below, err := c.Leave(spent)
//	request.Header.Set("Bulrushlock-Call", below.NoRetry().String())
package depth

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// MaxDepth is the deepest level of nested calls.
const MaxDepth = 19

// finalMark is the part of the header text that forbids retries.
const finalMark = "final"

// Call holds the limits of one call. The zero Call comes from outside; a call of
// depth 0 with time left comes from outside with a deadline.
type Call struct {
	// Depth is 1 for a call from outside and grows by one with each level.
	Depth int
	// Left is the time left until the deadline.
	Left time.Duration
	// Final tells that a layer above retries, so that no layer below may.
	Final bool
}

// ParseError is a header text that cannot be read.
type ParseError struct {
	Text string
}

// Error names the text that cannot be read.
func (e *ParseError) Error() string {
	return fmt.Sprintf("call %q is not of the form depth/left[/final]", e.Text)
}

// NestError is a call that nests too deep.
type NestError struct {
	Depth int
}

// Error names the depth.
func (e *NestError) Error() string {
	return fmt.Sprintf("call nests %d levels deep, at most %d are allowed", e.Depth, MaxDepth)
}

// DeadlineError is a call without time left.
type DeadlineError struct {
	Depth int
	// Left is the time left: zero or less.
	Left time.Duration
}

// Error names the depth and by how much the deadline is passed.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("deadline of the call at depth %d passed by %v", e.Depth, -e.Left)
}

// Enter returns the call one level below its parent, with at most limit left. It
// fails with a *NestError or a *DeadlineError.
func Enter(parent Call, limit time.Duration) (Call, error) {
	c := Call{Depth: parent.Depth + 1, Left: limit, Final: parent.Final}
	if parent.Depth > 0 || parent.Left > 0 {
		c.Left = min(parent.Left, limit)
	}
	if c.Depth > MaxDepth {
		return Call{}, fmt.Errorf("enter: %w", &NestError{Depth: c.Depth})
	}
	if c.Left <= 0 {
		return Call{}, fmt.Errorf("enter: %w", &DeadlineError{Depth: c.Depth, Left: c.Left})
	}
	return c, nil
}

// Leave returns the call as it is sent on, after the time spent on it so far. It
// fails with a *DeadlineError. A negative time spent counts as none.
func (c Call) Leave(spent time.Duration) (Call, error) {
	c.Left -= max(spent, 0)
	if c.Left <= 0 {
		return Call{}, fmt.Errorf("leave: %w", &DeadlineError{Depth: c.Depth, Left: c.Left})
	}
	return c, nil
}

// NoRetry returns the call with retries below forbidden. A layer that retries
// sends this one on.
func (c Call) NoRetry() Call {
	c.Final = true
	return c
}

// String returns the form of the call that travels in a header.
func (c Call) String() string {
	text := strconv.Itoa(c.Depth) + "/" + c.Left.String()
	if c.Final {
		text += "/" + finalMark
	}
	return text
}

// Parse reads a call that String made. An empty text is the zero Call. It fails
// with a *ParseError.
func Parse(text string) (Call, error) {
	if text == "" {
		return Call{}, nil
	}
	parts := strings.Split(text, "/")
	if len(parts) < 2 || len(parts) > 3 {
		return Call{}, fmt.Errorf("parts: %w", &ParseError{Text: text})
	}
	n, err := strconv.Atoi(parts[0])
	if err != nil || n < 0 || n > MaxDepth {
		return Call{}, fmt.Errorf("depth: %w", &ParseError{Text: text})
	}
	left, err := time.ParseDuration(parts[1])
	if err != nil || left < 0 {
		return Call{}, fmt.Errorf("time left: %w", &ParseError{Text: text})
	}
	if len(parts) == 3 && parts[2] != finalMark {
		return Call{}, fmt.Errorf("mark: %w", &ParseError{Text: text})
	}
	return Call{Depth: n, Left: left, Final: len(parts) == 3}, nil
}
