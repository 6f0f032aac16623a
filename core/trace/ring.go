// Package trace keeps the newest events in bounded memory.
//
// Events are numbered from 0. A reader pulls them in steps with the sequence
// that the step before returned, and learns how many it missed. A Ring is not
// safe for concurrent use.
//
// # Usage
//
//	r := trace.New[Event](4096)
//	r.Add(e)
//	events, next, dropped := r.Since(0, 100)
//	events, next, dropped = r.Since(next, 100)
package trace

// Ring holds the newest events of type E.
type Ring[E any] struct {
	capacity uint64
	events   []E
	next     uint64
}

// New returns an empty ring that holds at most capacity events, and at least one.
func New[E any](capacity int) *Ring[E] {
	return &Ring[E]{capacity: uint64(max(capacity, 1))}
}

// Add stores an event, in place of the oldest one if the ring is full, and
// returns its sequence.
func (r *Ring[E]) Add(e E) (sequence uint64) {
	sequence = r.next
	r.next++
	if uint64(len(r.events)) < r.capacity {
		r.events = append(r.events, e)
		return sequence
	}
	r.events[sequence%r.capacity] = e
	return sequence
}

// Since returns at most limit events from the sequence on, oldest first, the
// sequence to go on with, and the number of asked events that were dropped. A
// sequence that is yet to come gives no events and the sequence of the next one.
func (r *Ring[E]) Since(sequence uint64, limit int) (events []E, next uint64, dropped uint64) {
	if sequence >= r.next {
		return nil, r.next, 0
	}
	if oldest := r.Dropped(); sequence < oldest {
		dropped = oldest - sequence
		sequence = oldest
	}
	count := min(r.next-sequence, uint64(max(limit, 0)))
	events = make([]E, 0, count)
	for i := range count {
		events = append(events, r.events[(sequence+i)%r.capacity])
	}
	return events, sequence + count, dropped
}

// Dropped returns the number of events that newer ones replaced.
func (r *Ring[E]) Dropped() uint64 {
	return r.next - uint64(len(r.events))
}
