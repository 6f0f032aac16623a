// Package line holds the attempts that wait at a busy guard, each with the time by
// which its answer is of full use.
//
// It answers a load above what a backend server bears. Served in the order of
// arrival, every request would wait until it is late, and none would be of full use.
// Here the ones that can still be in time go first, by rank and then by how little
// time they have; one that has become too late gives way at once, so that its caller
// learns of it while it can still do something else.
//
// # Usage
//
//	l := line.New[uint64](16)
//	ok := l.Push(line.Item[uint64]{Value: arrival, Rank: 1, Due: due, End: end, Takes: usual})
//	arrival, ok := l.Next(now)
//	late := l.Late(now)
package line

import "time"

// Item is one waiting element.
type Item[T comparable] struct {
	Value T
	// Rank orders items that can be in time; the lowest goes first.
	Rank int
	// Due is the time by which the answer is of full use.
	Due time.Time
	// End is the time until which the item may wait.
	End time.Time
	// Takes is the time that the work is expected to take.
	Takes time.Duration
}

// canBeInTime reports whether the work would end in time if it began now.
func (i *Item[T]) canBeInTime(now time.Time) bool { return !now.Add(i.Takes).After(i.Due) }

// Line is a bounded set of items. It is not safe for use by several goroutines at once.
type Line[T comparable] struct {
	items []Item[T]
	most  int
}

// New returns a line of at most most items.
func New[T comparable](most int) *Line[T] { return &Line[T]{most: most} }

// Resize sets the largest number of items. Items beyond it stay until they are taken.
func (l *Line[T]) Resize(most int) { l.most = most }

// Len returns the number of items.
func (l *Line[T]) Len() int { return len(l.items) }

// Ahead returns the number of items that go before an item of the given rank and due time.
func (l *Line[T]) Ahead(rank int, due time.Time) int {
	n := 0
	for i := range l.items {
		o := &l.items[i]
		if o.Rank < rank || o.Rank == rank && !o.Due.After(due) {
			n++
		}
	}
	return n
}

// Push adds an item, unless the line is full.
func (l *Line[T]) Push(i Item[T]) bool {
	if len(l.items) >= l.most {
		return false
	}
	l.items = append(l.items, i)
	return true
}

// Next returns the item that goes first and leaves it in: of those that can be in
// time the one of the lowest rank and then the earliest due time, and where there is
// none the one that may wait the shortest.
func (l *Line[T]) Next(now time.Time) (value T, ok bool) {
	best := -1
	for i := range l.items {
		if best < 0 || l.before(now, &l.items[i], &l.items[best]) {
			best = i
		}
	}
	if best < 0 {
		return value, false
	}
	return l.items[best].Value, true
}

// before reports whether a goes before b.
func (l *Line[T]) before(now time.Time, a, b *Item[T]) bool {
	inTime := a.canBeInTime(now)
	if inTime != b.canBeInTime(now) {
		return inTime
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if inTime {
		return a.Due.Before(b.Due)
	}
	return a.End.Before(b.End)
}

// Remove takes value out and reports whether it was there.
func (l *Line[T]) Remove(value T) bool {
	for i := range l.items {
		if l.items[i].Value == value {
			l.items = append(l.items[:i], l.items[i+1:]...)
			return true
		}
	}
	return false
}

// Late takes out the items that may not wait any longer and returns them.
func (l *Line[T]) Late(now time.Time) []T {
	var late []T
	kept := l.items[:0]
	for _, i := range l.items {
		if now.Before(i.End) {
			kept = append(kept, i)
			continue
		}
		late = append(late, i.Value)
	}
	l.items = kept
	return late
}
