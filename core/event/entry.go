package event

import (
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// Request tells that a caller sent a request to this entry.
type Request struct {
	At time.Time
	// ID is the number of the request at this entry.
	ID uint64
	// Name is the name that the caller gave the request, or empty.
	Name   string
	Method string
	// Host is the host that the request is for, without a port.
	Host string
	Path string
	// Size is the length of the body in bytes, or -1 where it is not known.
	Size int64
	// Once tells that the body cannot be sent a second time.
	Once bool
	// Key is the Idempotency-Key of the request, or empty.
	Key string
	// First is the caller's word that it has not sent the key before.
	First bool
	// Ticket names the attempt that the caller asks after, or is nil.
	Ticket *ticket.Ticket
	Call   depth.Call
	Random uint64
}

// Time returns the time of the event.
func (e Request) Time() time.Time { return e.At }

// Verdict tells how the exchange with a guard ended.
type Verdict uint8

// The ways in which an exchange with a guard ends.
const (
	// Ran means that the guard gave the answer of its backend server.
	Ran Verdict = iota
	// NotRun means that the guard said that the attempt did not run and never will.
	NotRun
	// Unsent means that no byte of the attempt left the entry.
	Unsent
	// Running means that the guard is still at the attempt.
	Running
	// Unknown means that the guard cannot tell whether the attempt ran.
	Unknown
	// Broken means that the exchange ended with no word of the guard.
	Broken
	// Expired means that the time of the request ran out before the guard answered.
	Expired
)

// String returns the name of the verdict in lower case.
func (v Verdict) String() string {
	names := [...]string{"ran", "not-run", "unsent", "running", "unknown", "broken", "expired"}
	if int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

// Answered tells how the exchange of an attempt ended.
type Answered struct {
	At      time.Time
	ID      uint64
	Ticket  ticket.Ticket
	Verdict Verdict
	// Reason is the guard's reason for a refusal.
	Reason string
	// Guard is the present life of the node that answered; it is zero when none did.
	Guard ticket.Node
	// Load is the load that the guard reported, or nil.
	Load *report.Load
	// Status is the HTTP status of the backend server's answer.
	Status int
	// Spent is the time from sending the attempt to the head of the answer.
	Spent time.Duration
	// Unread tells that nothing was read of a body that can be sent only once.
	Unread bool
	Random uint64
}

// Time returns the time of the event.
func (e Answered) Time() time.Time { return e.At }

// Judged tells what a guard says of an attempt that it was asked to void or to find.
type Judged struct {
	At      time.Time
	ID      uint64
	Ticket  ticket.Ticket
	Verdict Verdict
	// Kept tells that the guard still holds the answer.
	Kept   bool
	Random uint64
}

// Time returns the time of the event.
func (e Judged) Time() time.Time { return e.At }

// Slow tells that a request has waited for its hedge delay.
type Slow struct {
	At     time.Time
	ID     uint64
	Random uint64
}

// Time returns the time of the event.
func (e Slow) Time() time.Time { return e.At }

// Surveyed tells the loads that the guards which were asked for a request have told in time.
type Surveyed struct {
	At     time.Time
	ID     uint64
	Loads  []Loaded
	Random uint64
}

// Time returns the time of the event.
func (e Surveyed) Time() time.Time { return e.At }

// Gone tells that a request has ended at the entry: it was answered or its caller left.
type Gone struct {
	At time.Time
	ID uint64
}

// Time returns the time of the event.
func (e Gone) Time() time.Time { return e.At }

// Loaded tells the load that a peer reported in answer to a probe.
type Loaded struct {
	At    time.Time
	Guard ticket.Node
	Load  report.Load
}

// Time returns the time of the event.
func (e Loaded) Time() time.Time { return e.At }
