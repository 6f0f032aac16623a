// Package report holds the load report that a guard attaches to each response.
//
// # Usage
//
//	h.Set("Bulrushlock-Load", l.String())
//	l, err := report.Parse(h.Get("Bulrushlock-Load"))
package report

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Load is the load that a guard reports for its backend server.
type Load struct {
	// InFlight is the number of requests that the backend server is running.
	InFlight int
	// Queued is the number of requests in the queue of the guard.
	Queued int
	// Limit is the current concurrency limit of the guard.
	Limit int
	// Wait is the expected time in the queue for one more request. The text form does
	// not contain it.
	Wait time.Duration
	// Slow is the current service time in percent of the typical one, or 0 if the
	// backend server does not report it.
	Slow int
	// Cold is set if the backend server is in cold start.
	Cold bool
	// Ill is set if the backend server reports itself unhealthy and has not recently
	// responded to a request with success.
	Ill bool
	// Blank is set if the node has just started and has no rules yet. The text form does
	// not contain it.
	Blank bool
	// Leaving is set if the guard accepts no new work.
	Leaving bool
	// RateLimit is the limit of the backend server in requests per second, or 0 if it states
	// none. The text form does not contain it.
	RateLimit float64
	// Ending is set if the backend server itself announced that it is leaving. The guard accepts
	// no new work then. The text form does not contain it.
	Ending bool
}

// slowPrefix precedes the value of Slow in the text form.
const slowPrefix = "slow="

// ParseError reports a malformed load report.
type ParseError struct {
	Text string
}

// Error returns a message with the malformed text.
func (e *ParseError) Error() string {
	return fmt.Sprintf("load report %q is not of the form busy/queued/limit[/slow=PERCENT][/cold][/ill][/leaving]", e.Text)
}

// String returns the text form of the report, which is sent in a header.
func (l Load) String() string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(l.Limit), 10)
	if l.Slow != 0 {
		b = append(b, '/')
		b = append(b, slowPrefix...)
		b = strconv.AppendInt(b, int64(l.Slow), 10)
	}
	if l.Cold {
		b = append(b, "/cold"...)
	}
	if l.Ill {
		b = append(b, "/ill"...)
	}
	if l.Leaving {
		b = append(b, "/leaving"...)
	}
	return string(b)
}

// Parse parses the text form of a report. It fails with a *ParseError.
func Parse(text string) (Load, error) {
	parts := strings.Split(text, "/")
	if len(parts) < 3 {
		return Load{}, &ParseError{Text: text}
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i])
		if err != nil || n < 0 {
			return Load{}, &ParseError{Text: text}
		}
		numbers[i] = n
	}
	l := Load{InFlight: numbers[0], Queued: numbers[1], Limit: numbers[2]}
	for _, p := range parts[3:] {
		if !l.parseOption(p) {
			return Load{}, &ParseError{Text: text}
		}
	}
	return l, nil
}

// parseOption parses one of the optional parts of a report. It reports whether the part
// is valid.
func (l *Load) parseOption(text string) bool {
	switch text {
	case "cold":
		l.Cold = true
		return true
	case "ill":
		l.Ill = true
		return true
	case "leaving":
		l.Leaving = true
		return true
	}
	number, ok := strings.CutPrefix(text, slowPrefix)
	n, err := strconv.Atoi(number)
	l.Slow = n
	return ok && err == nil && n > 0
}
