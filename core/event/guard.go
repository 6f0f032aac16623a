package event

import (
	"time"

	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

// Attempt tells that an attempt arrived at this guard.
type Attempt struct {
	At     time.Time
	Ticket ticket.Ticket
	// Arrival is the number of this arrival at the guard; an attempt that arrives twice has two.
	Arrival    uint64
	Idempotent bool
	Rank       int
	// Class groups attempts of like cost, so that their latencies compare.
	Class int
	// Left is the time that the caller still waits.
	Left time.Duration
	// Aim is the time in which the answer is still of full use; 0 where none is named.
	Aim time.Duration
	// Inner tells that a running request waits for this one.
	Inner bool
	// Name is the name that the caller gave the request, or empty.
	Name string
	// Key is the Idempotency-Key that this guard has to own, or empty.
	Key string
	// First is the caller's word that it has not sent the key before.
	First bool
	// Rules is the version of the rules by which the entry sent the attempt.
	Rules view.Version
}

// Time returns the time of the event.
func (e Attempt) Time() time.Time { return e.At }

// Withdrawn tells that the sender of an attempt that waits at this guard has gone.
type Withdrawn struct {
	At      time.Time
	Arrival uint64
}

// Time returns the time of the event.
func (e Withdrawn) Time() time.Time { return e.At }

// Overdue tells that an attempt has waited at this guard as long as a Wait effect allowed.
type Overdue struct {
	At      time.Time
	Arrival uint64
}

// Time returns the time of the event.
func (e Overdue) Time() time.Time { return e.At }

// Failure tells how an exchange with the backend server failed.
type Failure uint8

// The ways in which an exchange with the backend server ends.
const (
	// None means that the backend server gave its whole answer.
	None Failure = iota
	// Refused means that no connection was made, so that nothing ran.
	Refused
	// Shed means that the backend server refused the request before it ran.
	Shed
	// Declined means that the backend server said of the request that it did not run it.
	Declined
	// Reset means that the connection broke after bytes were written.
	Reset
	// Moved means that another life of the backend server was at the address, so that nothing ran.
	Moved
	// Cancelled means that the sender went away while the backend server was at work.
	Cancelled
)

// String returns the name of the failure in lower case.
func (f Failure) String() string {
	names := [...]string{"none", "refused", "shed", "declined", "reset", "moved", "cancelled"}
	if int(f) >= len(names) {
		return "invalid"
	}
	return names[f]
}

// Served tells that the exchange of an admitted attempt with the backend server has ended.
type Served struct {
	At      time.Time
	Arrival uint64
	Failure Failure
	// Status is the HTTP status of the answer.
	Status int
	// Spent is the time from sending the request to the head of the answer.
	Spent time.Duration
	// Answer is the whole answer where it is small enough to be kept, or nil.
	Answer *Answer
	// Sight is the load that the answer told, or nil.
	Sight *Sight
}

// Time returns the time of the event.
func (e Served) Time() time.Time { return e.At }

// Answer is a whole answer of a backend server that is kept for a caller that asks again.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Asked tells that an entry asks what became of an attempt.
type Asked struct {
	At     time.Time
	Ticket ticket.Ticket
	// Query is the number of the question at this guard.
	Query uint64
	// Key is the key under which the attempt was sent, or empty. Where another
	// attempt of the key runs or has run, the answer is about that one.
	Key string
	// Void tells that an attempt which has not run must never run.
	Void bool
}

// Time returns the time of the event.
func (e Asked) Time() time.Time { return e.At }

// Condition is the state that a backend server tells of itself.
type Condition uint8

// The states of a backend server.
const (
	Warm Condition = iota
	Cold
	Draining
	Unreachable
	// Failing is a backend server that calls itself unfit or leaving, without saying which.
	Failing
)

// Sight is the load that a backend server tells of itself.
type Sight struct {
	// Busy is the number of requests that run.
	Busy int
	// Queued is the number of requests that wait in the backend server.
	Queued int
	// Slots is the number of requests that can run at once.
	Slots int
	// Slow is the time that work takes now, in percent of the usual, or 0 where it is not told.
	Slow int
}

// Looked tells what a look at the backend server beside this node has shown.
type Looked struct {
	At        time.Time
	Condition Condition
	// Life names the life of the backend server that answered, or is empty.
	Life string
	// ColdLeft is the time for which the backend server stays cold, where it tells that.
	ColdLeft time.Duration
	// Sight is the load that the look has shown, or nil.
	Sight *Sight
}

// Time returns the time of the event.
func (e Looked) Time() time.Time { return e.At }

// Probed tells that a peer asks for the load of this guard.
type Probed struct {
	At    time.Time
	Query uint64
}

// Time returns the time of the event.
func (e Probed) Time() time.Time { return e.At }
