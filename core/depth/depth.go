// Package depth propagates the limits of a request to the nested calls that it causes:
// the nesting depth, the time left, and whether retries are allowed.
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

// MaxDepth is the largest allowed nesting depth of calls.
const MaxDepth = 19

// finalMark is the part of the header text that forbids retries.
const finalMark = "final"

// Call holds the limits of one call. The zero Call is an external call without a
// deadline. A Call of depth 0 with time left is an external call with a deadline.
type Call struct {
	// Depth is 1 for an external call once Enter has accepted it, and grows by one with
	// each nested call.
	Depth int
	// Left is the time left before the deadline.
	Left time.Duration
	// Final is set if a layer above retries, so that the layers below must not.
	Final bool
}

// ParseError reports a malformed header text.
type ParseError struct {
	Text string
}

// Error returns a message with the malformed text.
func (e *ParseError) Error() string {
	return fmt.Sprintf("call %q is not of the form depth/left[/final]", e.Text)
}

// NestError reports a call that exceeds MaxDepth.
type NestError struct {
	Depth int
}

// Error returns a message with the depth and the maximum.
func (e *NestError) Error() string {
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

// Enter returns the limits of a call whose parent has the limits parent, with at most
// limit left. It fails with a *NestError or a *DeadlineError.
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

// Leave returns the limits to send with a call after the time spent on it so far. A
// negative time spent counts as 0. It fails with a *DeadlineError.
func (c Call) Leave(spent time.Duration) (Call, error) {
	c.Left -= max(spent, 0)
	if c.Left <= 0 {
		return Call{}, fmt.Errorf("leave: %w", &DeadlineError{Depth: c.Depth, Left: c.Left})
	}
	return c, nil
}

// NoRetry returns c with retries forbidden in the layers below. A layer that retries
// sends this Call on.
func (c Call) NoRetry() Call {
	c.Final = true
	return c
}

// String returns the text form of c, which is sent in a header.
func (c Call) String() string {
	text := strconv.Itoa(c.Depth) + "/" + c.Left.String()
	if c.Final {
		text += "/" + finalMark
	}
	return text
}

// Parse parses the text form of a Call. An empty text is the zero Call. It fails with a
// *ParseError.
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
		return Call{}, fmt.Errorf("retry flag: %w", &ParseError{Text: text})
	}
	return Call{Depth: n, Left: left, Final: len(parts) == 3}, nil
}
