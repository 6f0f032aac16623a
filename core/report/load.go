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
)

// Load is what a guard tells of its backend server.
type Load struct {
	// InFlight is the number of requests that the backend server runs now.
	InFlight int
	// Queued is the number of admitted requests that wait at the guard.
	Queued int
	// Limit is the number of requests that the guard admits at once now.
	Limit int
	// Cold tells that the backend server is in cold start.
	Cold bool
	// Leaving tells that the guard takes no new work.
	Leaving bool
}

// ParseError is a load report that cannot be read.
type ParseError struct {
	Text string
}

// Error names the text that cannot be read.
func (e *ParseError) Error() string {
	return fmt.Sprintf("load report %q is not of the form busy/queued/limit[/cold][/leaving]", e.Text)
}

// String returns the form of the report that travels in a header.
func (l Load) String() string {
	b := make([]byte, 0, 24)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(l.Queued), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(l.Limit), 10)
	if l.Cold {
		b = append(b, "/cold"...)
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
		switch p {
		case "cold":
			l.Cold = true
		case "leaving":
			l.Leaving = true
		default:
			return Load{}, &ParseError{Text: text}
		}
	}
	return l, nil
}
