// Package span learns how much time callers give their requests, and so how long
// one that comes back after a refusal has waited already.
//
// It answers callers that were turned away and send again: what they still wait is
// less than what they began with, and their answer is due that much earlier. Callers
// also differ in the time that they give at first. Only one that lacks as much as those
// were told to wait that were turned away is taken for one that comes back.
//
// # Usage
//
//	s := span.New(0.15)
//	waited := s.Waited(now, left)
package span

import "time"

const (
	// period is the time over which the longest time is remembered, once or twice.
	period = 10 * time.Second
)

// Span remembers the longest time that callers gave lately. It is not safe for use
// by several goroutines at once.
type Span struct {
	// least is the share of its time that a caller has waited at least that comes back.
	least         float64
	began         time.Time
	before, since time.Duration
}

// New returns a Span that has learned nothing. Callers that come back have waited for
// the share least of their time or more.
func New(least float64) *Span { return &Span{least: least} }

// Waited takes in that a caller still waits for left, and returns the time that it
// has waited already: what it lacks of the longest time that callers gave lately, or 0
// where that is too little for one that was turned away.
func (s *Span) Waited(now time.Time, left time.Duration) time.Duration {
	if now.Sub(s.began) > period {
		s.before, s.since, s.began = s.since, 0, now
	}
	s.since = max(s.since, left)
	longest := max(s.before, s.since)
	if lacks := longest - left; lacks >= time.Duration(s.least*float64(longest)) {
		return lacks
	}
	return 0
}
