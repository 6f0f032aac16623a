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

// TextError reports a node header that cannot be parsed.
type TextError struct {
	Name string
	Text string
}

// Error names the header and its value.
func (e *TextError) Error() string {
	return fmt.Sprintf("header %s cannot be read: %q", e.Name, e.Text)
}

// VersionsText formats v as a header value.
func VersionsText(v event.Versions) string {
	b := make([]byte, 0, 64)
	for _, n := range []uint64{v.Rules.Revision, v.Rules.Digest, v.Fleet.Revision, v.Fleet.Digest} {
		b = strconv.AppendUint(b, n, 16)
		b = append(b, '.')
	}
	b = strconv.AppendInt(b, v.Age.Milliseconds(), 10)
	return string(b)
}

// ParseVersions parses the output of VersionsText. It returns a *TextError if
// the text is invalid.
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

// NodeText formats n as a header value.
func NodeText(n ticket.NodeID) string {
	return n.Instance + "." + strconv.FormatUint(n.Incarnation, 16)
}

// ParseNode parses the output of NodeText. It returns a *TextError if the text
// is invalid.
func ParseNode(text string) (ticket.NodeID, error) {
	name, life, ok := strings.Cut(text, ".")
	n, err := strconv.ParseUint(life, 16, 64)
	if !ok || err != nil || name == "" {
		return ticket.NodeID{}, &TextError{Name: HeaderGuard, Text: text}
	}
	return ticket.NodeID{Instance: name, Incarnation: n}, nil
}

// AttemptText formats the fields of o that share the attempt header.
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

// yesNo formats b as "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// ParseAttempt parses the output of AttemptText into o. It returns a *TextError
// if the text is invalid.
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
