package proto

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

// HeaderError reports a node header that cannot be parsed.
type HeaderError struct {
	Name string
	Text string
}

// Error names the header and its value.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s cannot be read: %q", e.Name, e.Text)
}

// FormatVersions formats v as a header value. The value does not include FleetAge.
func FormatVersions(v event.Versions) string {
	b := make([]byte, 0, 64)
	for _, n := range []uint64{v.Rules.Revision, v.Rules.Digest, v.Fleet.Revision, v.Fleet.Digest} {
		b = strconv.AppendUint(b, n, 16)
		b = append(b, '.')
	}
	b = strconv.AppendInt(b, v.Age.Milliseconds(), 10)
	return string(b)
}

// unknownAge is the age of an instance list whose age the sender does not tell. Such a list
// confirms nothing.
const unknownAge = time.Duration(math.MaxInt64)

// ParseVersions parses the output of FormatVersions; FleetAge is unknownAge. It returns a
// *HeaderError if the text is invalid.
func ParseVersions(text string) (event.Versions, error) {
	fail := &HeaderError{Name: HeaderVersions, Text: text}
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

		FleetAge: unknownAge,
	}, nil
}

// SetVersions sets the headers that carry v. Nodes of an older build ignore HeaderOrigin, which is only
// set where it says something.
func SetVersions(h http.Header, v event.Versions) {
	h.Set(HeaderVersions, FormatVersions(v))
	if v.Rules.Edition|v.Rules.Epoch|v.Fleet.Epoch != 0 {
		h.Set(HeaderOrigin, fmt.Sprintf("%x.%x.%x", v.Rules.Edition, v.Rules.Epoch, v.Fleet.Epoch))
	}
}

// VersionsOf parses the headers that SetVersions sets. It returns a *HeaderError if one of them is
// invalid.
func VersionsOf(h http.Header) (event.Versions, error) {
	v, err := ParseVersions(h.Get(HeaderVersions))
	text := h.Get(HeaderOrigin)
	if err != nil || text == "" {
		return v, err
	}
	parts := strings.Split(text, ".")
	fields := []*uint64{&v.Rules.Edition, &v.Rules.Epoch, &v.Fleet.Epoch}
	if len(parts) != len(fields) {
		return event.Versions{}, &HeaderError{Name: HeaderOrigin, Text: text}
	}
	for i, field := range fields {
		if *field, err = strconv.ParseUint(parts[i], 16, 64); err != nil {
			return event.Versions{}, &HeaderError{Name: HeaderOrigin, Text: text}
		}
	}
	return v, nil
}

// FormatNode formats n as a header value.
func FormatNode(n ticket.NodeID) string {
	return n.Instance + "." + strconv.FormatUint(n.Incarnation, 16)
}

// ParseNode parses the output of FormatNode. It returns a *HeaderError if the text
// is invalid.
func ParseNode(text string) (ticket.NodeID, error) {
	name, incarnation, ok := strings.Cut(text, ".")
	n, err := strconv.ParseUint(incarnation, 16, 64)
	if !ok || err != nil || name == "" {
		return ticket.NodeID{}, &HeaderError{Name: HeaderGuard, Text: text}
	}
	return ticket.NodeID{Instance: name, Incarnation: n}, nil
}

// EndingValue is the value of HeaderEnding if the backend server has announced that it is leaving.
const EndingValue = "yes"

// FormatQuota formats the limit of a backend server, in requests per second, as a header value.
func FormatQuota(rate float64) string { return strconv.FormatFloat(rate, 'g', -1, 64) }

// ParseQuota parses the output of FormatQuota. An empty text means that there is no limit, which
// is 0. It returns a *HeaderError if the text is invalid.
func ParseQuota(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, &HeaderError{Name: HeaderQuota, Text: text}
	}
	return rate, nil
}

// FormatWhole formats the timeout for a whole response, in microseconds, as a header value.
func FormatWhole(timeout time.Duration) string {
	return strconv.FormatInt(timeout.Microseconds(), 10)
}

// ParseWhole parses the output of FormatWhole. An empty text means that there is no timeout, which is 0.
// It returns a *HeaderError if the text is invalid.
func ParseWhole(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 || n > math.MaxInt64/int64(time.Microsecond) {
		return 0, &HeaderError{Name: HeaderWhole, Text: text}
	}
	return time.Duration(n) * time.Microsecond, nil
}

// FormatAttempt formats the fields of attempt that share the attempt header.
func FormatAttempt(attempt Attempt) string {
	b := make([]byte, 0, 64)
	b = append(b, yesNo(attempt.Idempotent)...)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(attempt.Priority), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(attempt.Class), 10)
	b = append(b, '/')
	b = append(b, yesNo(attempt.First)...)
	b = append(b, '/')
	b = strconv.AppendInt(b, attempt.HeaderTimeout.Microseconds(), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, attempt.TargetLeft.Microseconds(), 10)
	b = append(b, '/')
	b = append(b, yesNo(attempt.Nested)...)
	return string(b)
}

// yesNo formats b as "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// ParseAttempt parses the output of FormatAttempt into attempt. It returns a *HeaderError
// if the text is invalid.
func ParseAttempt(text string, attempt *Attempt) error {
	fail := &HeaderError{Name: HeaderAttempt, Text: text}
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
	attempt.Priority, attempt.Class = int(numbers[0]), int(numbers[1])
	attempt.HeaderTimeout = time.Duration(numbers[2]) * time.Microsecond
	attempt.TargetLeft = time.Duration(numbers[3]) * time.Microsecond
	for _, f := range [...]struct {
		text  string
		field *bool
	}{{parts[0], &attempt.Idempotent}, {parts[3], &attempt.First}, {parts[6], &attempt.Nested}} {
		if f.text != yesNo(true) && f.text != yesNo(false) {
			return fail
		}
		*f.field = f.text == yesNo(true)
	}
	return nil
}
