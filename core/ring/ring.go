// Package ring provides a ring buffer that keeps the newest events in bounded
// memory.
//
// Events are numbered from 0. A reader fetches them in batches, starting each batch
// at the sequence number that the previous one returned, and learns how many
// events it missed. A Ring is not safe for concurrent use.
//
// # Usage
//
//	r := ring.New[Event](4096)
//	r.Add(e)
//	events, next, dropped := r.Since(0, 100)
//	events, next, dropped = r.Since(next, 100)
package ring

// Ring is a ring buffer that holds the newest events of type E.
type Ring[E any] struct {
	capacity uint64
	events   []E
	next     uint64
}

// New returns an empty ring with room for capacity events, at least one.
func New[E any](capacity int) *Ring[E] {
	return &Ring[E]{capacity: uint64(max(capacity, 1))}
}

// Add stores an event and returns its sequence number. If the ring is full, the
// event replaces the oldest one.
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

// Since returns at most limit events starting at sequence, oldest first, the
// sequence number to continue from, and the number of requested events that were
// dropped. If no event has the number sequence yet, Since returns no events and the
// sequence number of the next event.
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

// Dropped returns the number of events that were replaced by newer ones.
func (r *Ring[E]) Dropped() uint64 {
	return r.next - uint64(len(r.events))
}
