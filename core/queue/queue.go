// Package queue holds the attempts that wait at a busy guard, ordered by rank.
//
// # Usage
//
//	q := queue.New[uint64](8)
//	displaced, ok := q.Push(1, arrival)
//	arrival, ok = q.Pop()
package queue

// Queue is a bounded queue that gives out the lowest rank first and, within a
// rank, the item that came first. The zero Queue holds nothing; use New.
type Queue[T comparable] struct {
	items []item[T]
	most  int
}

// item is one waiting element with its rank.
type item[T comparable] struct {
	rank  int
	value T
}

// New returns a queue of at most most items.
func New[T comparable](most int) *Queue[T] {
	return &Queue[T]{most: most}
}

// Resize sets the largest number of items. Items beyond it stay until they are taken.
func (q *Queue[T]) Resize(most int) { q.most = most }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds value. A full queue makes room by giving up its last item of the
// highest rank, which it returns; where value itself ranks no better than that
// item, value is returned.
func (q *Queue[T]) Push(rank int, value T) (displaced T, full bool) {
	if q.most < 1 {
		return value, true
	}
	if len(q.items) >= q.most {
		last := q.items[len(q.items)-1]
		if rank >= last.rank {
			return value, true
		}
		q.items = q.items[:len(q.items)-1]
		displaced, full = last.value, true
	}
	q.insert(item[T]{rank: rank, value: value})
	return displaced, full
}

// insert puts i behind all items whose rank is not higher.
func (q *Queue[T]) insert(i item[T]) {
	at := len(q.items)
	for at > 0 && q.items[at-1].rank > i.rank {
		at--
	}
	q.items = append(q.items, item[T]{})
	copy(q.items[at+1:], q.items[at:])
	q.items[at] = i
}

// Peek returns the item that goes first and leaves it in.
func (q *Queue[T]) Peek() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	return q.items[0].value, true
}

// Pop takes the item that goes first.
func (q *Queue[T]) Pop() (value T, ok bool) {
	if len(q.items) == 0 {
		return value, false
	}
	value = q.items[0].value
	copy(q.items, q.items[1:])
	q.items = q.items[:len(q.items)-1]
	return value, true
}

// Remove takes value out and reports whether it was there.
func (q *Queue[T]) Remove(value T) bool {
	for i := range q.items {
		if q.items[i].value == value {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}
