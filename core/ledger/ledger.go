// Package ledger remembers the attempts that a guard has seen, so that each of
// them runs at most once.
//
// A ledger belongs to one incarnation of one guard and starts empty. Its memory
// is bounded: finished records are evicted by age and by number, and what an
// eviction forgets is summarised by a floor for each incarnation of an entry.
// An attempt at or below its floor that has no record is Lost: the guard neither
// runs it nor says that it has not run. Floors are bounded as well; see lives.
//
// A Ledger is not safe for concurrent use.
//
// # Usage
//
//	l := ledger.New[*Answer](10_000, time.Minute)
//	if s := l.Begin(t, now); s != ledger.Unseen {
//		return refuse(s)
//	}
//	answer := run(t)
//	l.Finish(t, answer, now)
package ledger

import (
	"time"

	"bulrushlock/core/ticket"
)

// State tells what the ledger knows about an attempt.
type State uint8

// The states of an attempt.
const (
	// Unseen is an attempt that has neither arrived nor been voided.
	Unseen State = iota
	// Running is an attempt that was admitted and has not ended.
	Running
	// Ran is an attempt that ended after it may have reached the backend server.
	Ran
	// Refused is an attempt of which no byte reached the backend server.
	Refused
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

// Ledger holds the records of attempts with answers of type A.
type Ledger[A any] struct {
	capacity int
	keep     time.Duration
	records  map[ticket.Ticket]*record[A]
	oldest   *record[A]
	newest   *record[A]
	finished int
	lives    *lives
}

// record is one attempt. Finished records are linked in the order they finished.
type record[A any] struct {
	ticket ticket.Ticket
	state  State
	answer A
	kept   bool
	ended  time.Time
	next   *record[A]
}

// New returns an empty ledger that holds at most capacity finished records, each
// for at most keep. Running attempts come on top and are never evicted, so the
// admission limit of the guard bounds them.
func New[A any](capacity int, keep time.Duration) *Ledger[A] {
	return &Ledger[A]{
		capacity: capacity,
		keep:     keep,
		records:  make(map[ticket.Ticket]*record[A]),
		lives:    newLives(maxLives),
	}
}

// Begin records an unseen attempt as Running and returns Unseen. It returns the
// state of any other attempt and changes nothing.
func (l *Ledger[A]) Begin(t ticket.Ticket, now time.Time) State {
	if s := l.state(t); s != Unseen {
		return s
	}
	l.records[t] = &record[A]{ticket: t, state: Running}
	l.evict(now)
	return Unseen
}

// Finish marks a running attempt as Ran and keeps its answer. It does nothing to
// any other attempt.
func (l *Ledger[A]) Finish(t ticket.Ticket, answer A, now time.Time) {
	r, ok := l.records[t]
	if !ok || r.state != Running {
		return
	}
	r.answer = answer
	r.kept = true
	l.settle(r, Ran, now)
}

// Drop releases the kept answer of an attempt. Its state stays.
func (l *Ledger[A]) Drop(t ticket.Ticket) {
	r, ok := l.records[t]
	if !ok {
		return
	}
	var none A
	r.answer = none
	r.kept = false
}

// Refuse marks a running attempt as Refused. It does nothing to any other
// attempt. Call it only when no byte of the attempt reached the backend server.
func (l *Ledger[A]) Refuse(t ticket.Ticket, now time.Time) {
	r, ok := l.records[t]
	if !ok || r.state != Running {
		return
	}
	l.settle(r, Refused, now)
}

// Void records an unseen attempt as Voided, so that Begin refuses it should it
// still arrive, and returns the state that the attempt has then. Voided and
// Refused are proof that the attempt has not run and never will.
func (l *Ledger[A]) Void(t ticket.Ticket, now time.Time) State {
	if s := l.state(t); s != Unseen {
		return s
	}
	r := &record[A]{ticket: t}
	l.records[t] = r
	l.settle(r, Voided, now)
	return Voided
}

// Find returns the state of an attempt, and its answer if that is still kept.
func (l *Ledger[A]) Find(t ticket.Ticket) (answer A, state State, kept bool) {
	if r, ok := l.records[t]; ok {
		return r.answer, r.state, r.kept
	}
	return answer, l.state(t), false
}

// Len returns the number of records, running ones included.
func (l *Ledger[A]) Len() int {
	return len(l.records)
}

// state returns the state of an attempt.
func (l *Ledger[A]) state(t ticket.Ticket) State {
	if r, ok := l.records[t]; ok {
		return r.state
	}
	if l.lives.lost(t.Entry, t.Sequence) {
		return Lost
	}
	return Unseen
}

// settle gives a record its last state and queues it for eviction.
func (l *Ledger[A]) settle(r *record[A], s State, now time.Time) {
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

// evict removes finished records that are too old or too many. Each record is
// removed once, so the cost of a call is constant on average.
func (l *Ledger[A]) evict(now time.Time) {
	for r := l.oldest; r != nil; r = l.oldest {
		if l.finished <= l.capacity && now.Sub(r.ended) <= l.keep {
			return
		}
		l.oldest = r.next
		if l.oldest == nil {
			l.newest = nil
		}
		l.finished--
		delete(l.records, r.ticket)
		l.lives.raise(r.ticket.Entry, r.ticket.Sequence)
	}
}
