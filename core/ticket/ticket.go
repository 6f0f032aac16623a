// Package ticket identifies attempts. An attempt is one sending of one request to one guard.
//
// # Usage
//
//	t := ticket.Ticket{Entry: entry, Sequence: 7, Nonce: nonce, Guard: guard, Service: "ledger"}
//	h.Set("Bulrushlock-Ticket", t.String())
//	t, err := ticket.Parse(h.Get("Bulrushlock-Ticket"))
package ticket

import (
	"fmt"
	"strconv"
	"strings"
)

// NodeID identifies one incarnation of the node of an instance. A replaced or restarted node has
// the same instance and another incarnation.
type NodeID struct {
	Instance    string
	Incarnation uint64
}

// Ticket identifies an attempt. No two attempts have equal tickets.
type Ticket struct {
	// Entry is the node that sent the attempt.
	Entry NodeID
	// Sequence increases by one with each attempt of the entry.
	Sequence uint64
	// Nonce is random, so that a caller cannot guess the ticket of another caller.
	Nonce uint64
	// Guard is the only node that may run the attempt.
	Guard NodeID
	// Service is the service that the backend server of the guard must belong to.
	Service string
}

// ParseError reports a malformed ticket.
type ParseError struct {
	Text string
}

// Error returns a message that quotes the malformed text and names the expected form.
func (e *ParseError) Error() string {
	return fmt.Sprintf("ticket %q is not of the form entry.incarnation.sequence.nonce.guard.incarnation.service", e.Text)
}

// String returns the ticket in the form that is sent in a header: seven fields separated by
// dots, with numbers in hexadecimal.
func (t Ticket) String() string {
	b := make([]byte, 0, 96)
	b = append(b, t.Entry.Instance...)
	for _, n := range []uint64{t.Entry.Incarnation, t.Sequence, t.Nonce} {
		b = append(b, '.')
		b = strconv.AppendUint(b, n, 16)
	}
	b = append(b, '.')
	b = append(b, t.Guard.Instance...)
	b = append(b, '.')
	b = strconv.AppendUint(b, t.Guard.Incarnation, 16)
	b = append(b, '.')
	b = append(b, t.Service...)
	return string(b)
}

// Parse parses a ticket in the form that String returns. It returns a *ParseError if the text
// is malformed.
func Parse(text string) (Ticket, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 7 {
		return Ticket{}, &ParseError{Text: text}
	}
	var numbers [4]uint64
	for i, at := range []int{1, 2, 3, 5} {
		n, err := strconv.ParseUint(parts[at], 16, 64)
		if err != nil {
			return Ticket{}, &ParseError{Text: text}
		}
		numbers[i] = n
	}
	if parts[0] == "" || parts[4] == "" || parts[6] == "" {
		return Ticket{}, &ParseError{Text: text}
	}
	return Ticket{
		Entry:    NodeID{Instance: parts[0], Incarnation: numbers[0]},
		Sequence: numbers[1],
		Nonce:    numbers[2],
		Guard:    NodeID{Instance: parts[4], Incarnation: numbers[3]},
		Service:  parts[6],
	}, nil
}
