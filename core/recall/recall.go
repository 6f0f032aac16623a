// Package recall decides what of a published document holds on after the platform came back from an
// older copy of its data.
//
// Load pattern: a document lists elements, such as data centres that are out of service or backend
// servers that take work. The platform loses its last seconds and comes back with a new epoch. Elements
// that were added in those seconds are missing, and elements that were removed in them are listed
// again, until their authors write once more. Nodes that took such a copy as it is would send work where
// nothing may go, or where nobody listens, all at the same moment.
//
// A Set therefore keeps elements that the first document of a new epoch lacks, and leaves out those
// that it lists although they were removed lately, both for a limited time. An author who has added or
// removed an element within the new epoch is followed at once.
//
// # Usage
//
//	s := recall.New[string](recall.Options{Keep: 10 * time.Second, Ignore: 3 * time.Second, Memory: time.Minute})
//	s.Observe(now, epoch, listed, nil)
//	missing := s.Kept()
//	if s.IsIgnored("north") {
//		return // the copy lists it again
//	}
//	if s.Expire(now) {
//		apply(s) // some of this has lasted long enough
//	}
package recall

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxRemoved is the number of removed elements that a Set remembers.
const maxRemoved = 4096

// Options configure a Set.
type Options struct {
	// Keep is the time for which elements are kept that a copy lacks.
	Keep time.Duration
	// Ignore is the time for which elements are left out that a copy lists again.
	Ignore time.Duration
	// Memory is the time for which removed elements are remembered. It is longer than the time that
	// a copy lacks.
	Memory time.Duration
}

// Set is the elements of a document. It is not safe for concurrent use.
type Set[K cmp.Ordered] struct {
	options  Options
	epoch    uint64
	observed bool
	listed   map[K]struct{}
	// removed maps elements to the time of their removal.
	removed map[K]time.Time
	// kept and ignored map elements to the time at which that ends.
	kept, ignored map[K]time.Time
}

// New returns a Set without elements.
func New[K cmp.Ordered](o Options) *Set[K] {
	return &Set[K]{
		options: o,
		listed:  make(map[K]struct{}),
		removed: make(map[K]time.Time),
		kept:    make(map[K]time.Time),
		ignored: make(map[K]time.Time),
	}
}

// Epoch returns the newest epoch that was observed.
func (s *Set[K]) Epoch() uint64 { return s.epoch }

// Observe records the elements that a document of an epoch lists, and those that it names as removed.
// Documents of one epoch must be observed in their order.
func (s *Set[K]) Observe(now time.Time, epoch uint64, listed, removed []K) {
	next := make(map[K]struct{}, len(listed))
	for _, k := range listed {
		next[k] = struct{}{}
	}
	if s.observed && epoch > s.epoch {
		s.observeCopy(now, next)
	} else {
		s.observeChanges(now, next)
	}
	for _, k := range removed {
		s.remove(k, now)
	}
	s.listed, s.observed, s.epoch = next, true, max(s.epoch, epoch)
	maps.DeleteFunc(s.removed, func(_ K, at time.Time) bool { return now.Sub(at) > s.options.Memory })
}

// observeCopy records the elements of the first document of a new epoch.
func (s *Set[K]) observeCopy(now time.Time, next map[K]struct{}) {
	for k := range s.kept {
		s.kept[k] = now.Add(s.options.Keep)
	}
	for k := range s.listed {
		if !s.IsIgnored(k) {
			s.kept[k] = now.Add(s.options.Keep)
		}
	}
	maps.DeleteFunc(s.kept, func(k K, _ time.Time) bool { _, ok := next[k]; return ok })
	for k := range next {
		if at, ok := s.removed[k]; s.IsIgnored(k) || ok && now.Sub(at) <= s.options.Memory {
			s.ignored[k] = now.Add(s.options.Ignore)
		}
	}
}

// observeChanges records the elements of a further document of the same epoch.
func (s *Set[K]) observeChanges(now time.Time, next map[K]struct{}) {
	for k := range s.listed {
		if _, ok := next[k]; !ok {
			s.remove(k, now)
		}
	}
	for k := range next {
		if _, ok := s.listed[k]; !ok {
			delete(s.removed, k)
		}
		delete(s.kept, k)
	}
}

// remove records that the author removed an element.
func (s *Set[K]) remove(k K, now time.Time) {
	delete(s.ignored, k)
	delete(s.kept, k)
	if _, ok := s.removed[k]; ok || len(s.removed) < maxRemoved {
		s.removed[k] = now
	}
}

// Kept returns the elements that are kept though the document lacks them, in their order.
func (s *Set[K]) Kept() []K { return slices.Sorted(maps.Keys(s.kept)) }

// IsIgnored reports whether an element is left out though the document lists it.
func (s *Set[K]) IsIgnored(k K) bool {
	_, ok := s.ignored[k]
	return ok
}

// Expire ends what has lasted long enough, and reports whether there was any.
func (s *Set[K]) Expire(now time.Time) bool {
	before := len(s.kept) + len(s.ignored)
	maps.DeleteFunc(s.kept, func(k K, end time.Time) bool {
		if now.Before(end) {
			return false
		}
		s.remove(k, now)
		return true
	})
	maps.DeleteFunc(s.ignored, func(k K, end time.Time) bool {
		if now.Before(end) {
			return false
		}
		delete(s.removed, k)
		return true
	})
	return len(s.kept)+len(s.ignored) < before
}
