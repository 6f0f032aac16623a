// Package ledger records the non-idempotent attempts that a guard has received, so
// that each of them runs at most once.
//
// A ledger belongs to one incarnation of one guard and starts empty. Its memory is
// bounded: finished records are evicted by age and by number. For each incarnation of an
// entry, a floor keeps the highest sequence number that was evicted. An attempt that has
// no record and whose sequence number is at or below the floor of its entry is Lost: the
// guard neither runs it nor reports that it has not run. The number of floors is bounded
// as well; see incarnationFloors.
//
// A Ledger is not safe for concurrent use.
//
// # Usage
//
//	l := ledger.New[*Response](10_000, time.Minute)
//	if s := l.Begin(t, now); s != ledger.Unseen {
//		return reject(s)
//	}
//	response := run(t)
//	l.Finish(t, response, now)
package ledger

import (
	"time"

	"bulrushlock/core/ticket"
)

// State is what the ledger knows about an attempt.
type State uint8

// The states of an attempt.
const (
	// Unseen is an attempt that has neither arrived nor been voided.
	Unseen State = iota
	// Running is an attempt that was admitted and has not ended.
	Running
	// Ran is an attempt that ended after it may have reached the backend server.
	Ran
	// NotRun is an attempt that ended and is known not to have run.
	NotRun
	// Voided is an attempt that had not arrived when it was voided.
	Voided
	// Lost is an attempt whose record may have been evicted.
	Lost
)

// String returns the name of the state in lower case.
func (s State) String() string {
	names := [...]string{"unseen", "running", "ran", "refused", "voided", "lost"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Ledger holds the records of attempts. A is the type of the stored responses.
type Ledger[A any] struct {
	capacity     int
	retention    time.Duration
	records      map[ticket.Ticket]*record[A]
	oldest       *record[A]
	newest       *record[A]
	finished     int
	incarnations *incarnationFloors
}

// record is one attempt. Finished records form a linked list in the order in which they
// finished.
type record[A any] struct {
	ticket      ticket.Ticket
	state       State
	response    A
	hasResponse bool
	ended       time.Time
	next        *record[A]
}

// New returns an empty ledger that holds at most capacity finished records, each
// for at most retention. Running attempts do not count towards the capacity and are
// never evicted; the concurrency limit of the guard bounds them.
func New[A any](capacity int, retention time.Duration) *Ledger[A] {
	return &Ledger[A]{
		capacity:     capacity,
		retention:    retention,
		records:      make(map[ticket.Ticket]*record[A]),
		incarnations: newIncarnationFloors(maxFloors),
	}
}

// Begin records an unseen attempt as Running and returns Unseen. For any other attempt
// it returns the state and changes nothing.
func (l *Ledger[A]) Begin(t ticket.Ticket, now time.Time) State {
	if s := l.state(t); s != Unseen {
		return s
	}
	l.records[t] = &record[A]{ticket: t, state: Running}
	l.evict(now)
	return Unseen
}

// Finish marks a running attempt as Ran and stores its response. It ignores any other
// attempt.
func (l *Ledger[A]) Finish(t ticket.Ticket, response A, now time.Time) {
	r, ok := l.records[t]
	if !ok || r.state != Running {
		return
	}
	r.response = response
	r.hasResponse = true
	l.finishRecord(r, Ran, now)
}

// DropResponse discards the stored response of an attempt. The state remains.
func (l *Ledger[A]) DropResponse(t ticket.Ticket) {
	r, ok := l.records[t]
	if !ok {
		return
	}
	var none A
	r.response = none
	r.hasResponse = false
}

// MarkNotRun marks a running attempt as NotRun. It ignores any other attempt. Call it
// only if the attempt is known not to have run: no byte of it reached the backend server,
// or the backend server rejected it before running it.
func (l *Ledger[A]) MarkNotRun(t ticket.Ticket, now time.Time) {
	r, ok := l.records[t]
	if !ok || r.state != Running {
		return
	}
	l.finishRecord(r, NotRun, now)
}

// Void records an unseen attempt as Voided, so that Begin rejects it if it still
// arrives, and returns the resulting state. Voided and NotRun prove that the attempt
// has not run and never will.
func (l *Ledger[A]) Void(t ticket.Ticket, now time.Time) State {
	if s := l.state(t); s != Unseen {
		return s
	}
	r := &record[A]{ticket: t}
	l.records[t] = r
	l.finishRecord(r, Voided, now)
	return Voided
}

// Find returns the state of an attempt, and its response if that is still stored.
func (l *Ledger[A]) Find(t ticket.Ticket) (response A, state State, stored bool) {
	if r, ok := l.records[t]; ok {
		return r.response, r.state, r.hasResponse
	}
	return response, l.state(t), false
}

// Len returns the number of records, including those of running attempts.
func (l *Ledger[A]) Len() int {
	return len(l.records)
}

// state returns the state of an attempt.
func (l *Ledger[A]) state(t ticket.Ticket) State {
	if r, ok := l.records[t]; ok {
		return r.state
	}
	if l.incarnations.lost(t.Entry, t.Sequence) {
		return Lost
	}
	return Unseen
}

// finishRecord gives a record its final state and adds it to the eviction list.
func (l *Ledger[A]) finishRecord(r *record[A], s State, now time.Time) {
	r.state = s
	r.ended = now
	if l.newest == nil {
		l.oldest = r
	} else {
		l.newest.next = r
	}
	l.newest = r
	l.finished++
	l.evict(now)
}

// evict removes the finished records that exceed the retention time or the capacity.
// Each record is removed once, so the amortised cost of a call is constant.
func (l *Ledger[A]) evict(now time.Time) {
	for r := l.oldest; r != nil; r = l.oldest {
		if l.finished <= l.capacity && now.Sub(r.ended) <= l.retention {
			return
		}
		l.oldest = r.next
		if l.oldest == nil {
			l.newest = nil
		}
		l.finished--
		delete(l.records, r.ticket)
		l.incarnations.raise(r.ticket.Entry, r.ticket.Sequence)
	}
}
