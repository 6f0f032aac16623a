// Package queue provides the bounded priority queue of attempts without a latency
// target that wait at a busy guard; see package sched for the others. Items with lower
// priority numbers go first.
//
// # Usage
//
//	q := queue.New[uint64](8)
//	rejected, hasRejected := q.Push(1, arrival)
//	arrival, ok := q.Pop()
package queue

// Queue is a bounded queue ordered by priority number, lowest first, and by arrival
// among items of the same number. The zero Queue has no capacity; use New. It is not
// safe for concurrent use.
type Queue[T comparable] struct {
	items    []item[T]
	capacity int
}

// item is one queued value with its priority number.
type item[T comparable] struct {
	priority int
	value    T
}

// New returns a queue of at most capacity items.
func New[T comparable](capacity int) *Queue[T] {
	return &Queue[T]{capacity: capacity}
}

// Resize sets the capacity. Items beyond it stay until they are removed.
func (q *Queue[T]) Resize(capacity int) { q.capacity = capacity }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds value. If the queue is full, it removes its last item, which has the highest
// priority number, and returns it with true. If the priority number of value is not
// lower than that item's, or the capacity is below 1, it returns value itself with true.
func (q *Queue[T]) Push(priority int, value T) (rejected T, hasRejected bool) {
	if q.capacity < 1 {
		return value, true
	}
	if len(q.items) >= q.capacity {
		last := q.items[len(q.items)-1]
		if priority >= last.priority {
			return value, true
		}
		q.items = q.items[:len(q.items)-1]
		rejected, hasRejected = last.value, true
	}
	q.insert(item[T]{priority: priority, value: value})
	return rejected, hasRejected
}

// insert puts i behind all items whose priority number is not higher.
func (q *Queue[T]) insert(i item[T]) {
	at := len(q.items)
	for at > 0 && q.items[at-1].priority > i.priority {
		at--
	}
	q.items = append(q.items, item[T]{})
	copy(q.items[at+1:], q.items[at:])
	q.items[at] = i
}

// Peek returns the first item without removing it.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	return q.items[0].value, true
}

// Pop removes and returns the first item.
func (q *Queue[T]) Pop() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	value = q.items[0].value
	copy(q.items, q.items[1:])
	q.items = q.items[:len(q.items)-1]
	return value, true
}

// Remove removes value and reports whether it was queued.
func (q *Queue[T]) Remove(value T) bool {
	for i := range q.items {
		if q.items[i].value == value {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
