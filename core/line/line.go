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
//	arrival, ok := l.Next(now, 1, hasRoom)
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
	// Takes is the time that the work usually takes.
	Takes time.Duration
}

// chance tells whether an item can be in time if it begins now.
type chance uint8

// The chances of an item, of which the highest goes first.
const (
	// none is an item that is late however fast the work goes.
	none chance = iota
	// some is an item that is in time if the work goes at its usual speed before long.
	some
	// good is an item that is in time at the present speed.
	good
)

// chance returns the chance of an item while work takes stretch times as long as usual.
func (i *Item[T]) chance(now time.Time, stretch float64) chance {
	switch left := i.Due.Sub(now); {
	case left >= time.Duration(stretch*float64(i.Takes)):
		return good
	case left >= i.Takes:
		return some
	}
	return none
}

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

// Next returns the item that goes first of those that may begin, and leaves it in,
// while work takes stretch times as long as usual. Items that can be in time go by rank
// and then by the earliest due time; those that can only be if the work gets faster by
// rank and then by the latest; and those that are late in any case by the shortest wait
// that is left.
func (l *Line[T]) Next(now time.Time, stretch float64, may func(T) bool) (value T, ok bool) {
	best := -1
	for i := range l.items {
		if !may(l.items[i].Value) {
			continue
		}
		if best < 0 || before(now, stretch, &l.items[i], &l.items[best]) {
			best = i
		}
	}
	if best < 0 {
		return value, false
	}
	return l.items[best].Value, true
}

// before reports whether a goes before b.
func before[T comparable](now time.Time, stretch float64, a, b *Item[T]) bool {
	chanceA, chanceB := a.chance(now, stretch), b.chance(now, stretch)
	if chanceA != chanceB {
		return chanceA > chanceB
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	switch chanceA {
	case good:
		return a.Due.Before(b.Due)
	case some:
		return a.Due.After(b.Due)
	case none:
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
