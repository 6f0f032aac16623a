// Package report holds the load report that rides on every answer of a guard.
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

// Load is what a guard tells of its backend server.
type Load struct {
	// InFlight is the number of requests that the backend server runs now.
	InFlight int
	// Queued is the number of admitted requests that wait at the guard.
	Queued int
	// Limit is the number of requests that the guard admits at once now.
	Limit int
	// Wait is the time after which one more request is expected to begin. It does not
	// travel in the text form.
	Wait time.Duration
	// Slow is the time that work takes now, in percent of the usual; 0 stands for
	// a backend server that does not tell.
	Slow int
	// Cold tells that the backend server is in cold start.
	Cold bool
	// Ill tells that the backend server calls itself unfit and that no request has
	// shown otherwise.
	Ill bool
	// Blank tells that the node has just started and holds no rules. It does not travel
	// in the text form.
	Blank bool
	// Leaving tells that the guard takes no new work.
	Leaving bool
}

// slowPrefix begins the part of a report that tells Slow.
const slowPrefix = "slow="

// ParseError is a load report that cannot be read.
type ParseError struct {
	Text string
}

// Error names the text that cannot be read.
func (e *ParseError) Error() string {
	return fmt.Sprintf("load report %q is not of the form busy/queued/limit[/slow=PERCENT][/cold][/ill][/leaving]", e.Text)
}

// String returns the form of the report that travels in a header.
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

// Parse reads a report that String made. It fails with a *ParseError.
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
		if !l.readMark(p) {
			return Load{}, &ParseError{Text: text}
		}
	}
	return l, nil
}

// readMark reads one of the parts that a report may leave out.
func (l *Load) readMark(text string) bool {
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
