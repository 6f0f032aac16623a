package xchg

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

// TextError is a header of a node that cannot be read.
type TextError struct {
	Name string
	Text string
}

// Error names the header and its text.
func (e *TextError) Error() string {
	return fmt.Sprintf("header %s cannot be read: %q", e.Name, e.Text)
}

// VersionsText returns the form of v that travels in a header.
func VersionsText(v event.Versions) string {
	b := make([]byte, 0, 64)
	for _, n := range []uint64{v.Rules.Revision, v.Rules.Digest, v.Fleet.Revision, v.Fleet.Digest} {
		b = strconv.AppendUint(b, n, 16)
		b = append(b, '.')
	}
	b = strconv.AppendInt(b, v.Age.Milliseconds(), 10)
	return string(b)
}

// ParseVersions reads a text that VersionsText made. It fails with a *TextError.
func ParseVersions(text string) (event.Versions, error) {
	fail := &TextError{Name: HeaderVersions, Text: text}
	parts := strings.Split(text, ".")
	if len(parts) != 5 {
		return event.Versions{}, fail
	}
	var numbers [4]uint64
	for i := range numbers {
		n, err := strconv.ParseUint(parts[i], 16, 64)
		if err != nil {
			return event.Versions{}, fail
		}
		numbers[i] = n
	}
	age, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil {
		return event.Versions{}, fail
	}
	return event.Versions{
		Rules: view.Version{Revision: numbers[0], Digest: numbers[1]},
		Fleet: view.Version{Revision: numbers[2], Digest: numbers[3]},
		Age:   time.Duration(age) * time.Millisecond,
	}, nil
}

// NodeText returns the form of n that travels in a header.
func NodeText(n ticket.Node) string {
	return n.Instance + "." + strconv.FormatUint(n.Incarnation, 16)
}

// ParseNode reads a text that NodeText made. It fails with a *TextError.
func ParseNode(text string) (ticket.Node, error) {
	name, life, ok := strings.Cut(text, ".")
	n, err := strconv.ParseUint(life, 16, 64)
	if !ok || err != nil || name == "" {
		return ticket.Node{}, &TextError{Name: HeaderGuard, Text: text}
	}
	return ticket.Node{Instance: name, Incarnation: n}, nil
}

// AttemptText returns the form of the fields of o that travel in one header.
func AttemptText(o Offer) string {
	b := make([]byte, 0, 64)
	b = append(b, yesNo(o.Idempotent)...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(o.Rank), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(o.Class), 10)
	b = append(b, '/')
	b = append(b, yesNo(o.First)...)
	b = append(b, '/')
	b = strconv.AppendInt(b, o.Head.Microseconds(), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, o.Aim.Microseconds(), 10)
	b = append(b, '/')
	b = append(b, yesNo(o.Inner)...)
	return string(b)
}

// yesNo returns the word for b.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// ParseAttempt reads into o a text that AttemptText made. It fails with a *TextError.
func ParseAttempt(text string, o *Offer) error {
	fail := &TextError{Name: HeaderAttempt, Text: text}
	parts := strings.Split(text, "/")
	if len(parts) != 7 {
		return fail
	}
	var numbers [4]int64
	for i, at := range []int{1, 2, 4, 5} {
		n, err := strconv.ParseInt(parts[at], 10, 64)
		if err != nil {
			return fail
		}
		numbers[i] = n
	}
	o.Rank, o.Class = int(numbers[0]), int(numbers[1])
	o.Head = time.Duration(numbers[2]) * time.Microsecond
	o.Aim = time.Duration(numbers[3]) * time.Microsecond
	o.Idempotent = parts[0] == "yes"
	o.First = parts[3] == "yes"
	o.Inner = parts[6] == "yes"
	return nil
}
