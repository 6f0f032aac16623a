// Package sched provides the queue of attempts with latency targets that wait at a busy
// guard.
//
// If a backend server is overloaded, serving requests in order of arrival makes every
// one of them late. This queue serves the attempts that can still be on time first,
// by priority and then by the earliest due time. An attempt that has waited too long is
// rejected at once, so that its caller still has time to retry elsewhere. If the queue is full
// of attempts that go last, such as uploads in a burst, one of them makes room for an attempt that
// precedes it.
//
// # Usage
//
//	q := sched.New[uint64](16)
//	ok := q.Push(sched.Item[uint64]{Value: arrival, Priority: 1, Due: due, Expires: expires, ServiceTime: typical})
//	arrival, ok := q.Next(now, 1, hasFreeSlot)
//	expired := q.Expire(now)
package sched

import "time"

// Item is one queued value.
type Item[T comparable] struct {
	Value T
	// Priority orders the items that can be on time. The lowest goes first.
	Priority int
	// Due is the time at which the latency target expires.
	Due time.Time
	// Expires is the time until which the item may wait.
	Expires time.Time
	// ServiceTime is the typical service time.
	ServiceTime time.Duration
}

// timeliness says whether an item can be on time if it begins now.
type timeliness uint8

// The timeliness of an item. The highest goes first.
const (
	// late is an item that is late even at the typical speed.
	late timeliness = iota
	// onTimeAtTypicalSpeed is an item that is on time only if the backend server
	// returns to its typical speed soon.
	onTimeAtTypicalSpeed
	// onTime is an item that is on time at the current speed.
	onTime
)

// timeliness returns the timeliness of an item while service times are the typical ones
// multiplied by slowdown.
func (i *Item[T]) timeliness(now time.Time, slowdown float64) timeliness {
	switch left := i.Due.Sub(now); {
	case left >= time.Duration(slowdown*float64(i.ServiceTime)):
		return onTime
	case left >= i.ServiceTime:
		return onTimeAtTypicalSpeed
	}
	return late
}

// Queue is a bounded queue of items. It is not safe for concurrent use.
type Queue[T comparable] struct {
	items    []Item[T]
	capacity int
}

// New returns a queue of at most capacity items.
func New[T comparable](capacity int) *Queue[T] { return &Queue[T]{capacity: capacity} }

// Resize sets the capacity. Items beyond it stay until they are removed.
func (q *Queue[T]) Resize(capacity int) { q.capacity = capacity }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Ahead returns the number of items that precede an item of the given priority and due
// time if all of them can be on time.
func (q *Queue[T]) Ahead(priority int, due time.Time) int {
	n := 0
	for i := range q.items {
		o := &q.items[i]
		if o.Priority < priority || o.Priority == priority && !o.Due.After(due) {
			n++
		}
	}
	return n
}

// CountTo returns the number of items of the given priority or a higher one.
func (q *Queue[T]) CountTo(priority int) int {
	n := 0
	for i := range q.items {
		if q.items[i].Priority <= priority {
			n++
		}
	}
	return n
}

// Push adds an item. It reports false if the queue is full.
func (q *Queue[T]) Push(i Item[T]) bool {
	if len(q.items) >= q.capacity {
		return false
	}
	q.items = append(q.items, i)
	return true
}

// Displace puts i in the place of the last item and returns that one, if i precedes it because it is
// more timely, or as timely and of a higher priority. Service times are the typical ones multiplied
// by slowdown.
func (q *Queue[T]) Displace(now time.Time, slowdown float64, i Item[T]) (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	last := 0
	for j := range q.items {
		if before(now, slowdown, &q.items[last], &q.items[j]) {
			last = j
		}
	}
	o := &q.items[last]
	ofItem, ofLast := i.timeliness(now, slowdown), o.timeliness(now, slowdown)
	if ofItem < ofLast || ofItem == ofLast && i.Priority >= o.Priority {
		return value, false
	}
	value = o.Value
	*o = i
	return value, true
}

// Next returns the first item for which mayBegin reports true, without removing it.
// Service times are the typical ones multiplied by slowdown. Items that can be on time
// at the current speed are ordered by priority and then by the earliest due time. They
// are followed by the items that are on time only at the typical speed, by priority and
// then by the latest due time, and by the late items, by priority and then by the
// earliest Expires.
func (q *Queue[T]) Next(now time.Time, slowdown float64, mayBegin func(T) bool) (value T, ok bool) {
	best := -1
	for i := range q.items {
		if !mayBegin(q.items[i].Value) {
			continue
		}
		if best < 0 || before(now, slowdown, &q.items[i], &q.items[best]) {
			best = i
		}
	}
	if best < 0 {
		return value, false
	}
	return q.items[best].Value, true
}

// before reports whether a precedes b.
func before[T comparable](now time.Time, slowdown float64, a, b *Item[T]) bool {
	timelinessA, timelinessB := a.timeliness(now, slowdown), b.timeliness(now, slowdown)
	if timelinessA != timelinessB {
		return timelinessA > timelinessB
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	switch timelinessA {
	case onTime:
		return a.Due.Before(b.Due)
	case onTimeAtTypicalSpeed:
		return a.Due.After(b.Due)
	case late:
	}
	return a.Expires.Before(b.Expires)
}

// Remove removes value and reports whether it was queued.
func (q *Queue[T]) Remove(value T) bool {
	for i := range q.items {
		if q.items[i].Value == value {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Expire removes the items whose Expires has passed and returns them.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	kept := q.items[:0]
	for _, i := range q.items {
		if now.Before(i.Expires) {
			kept = append(kept, i)
			continue
		}
		expired = append(expired, i.Value)
	}
	q.items = kept
	return expired
}
