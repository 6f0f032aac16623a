// Package span learns how much time callers give their requests, and so how long
// one that comes back after a refusal has waited already.
//
// It answers callers that were turned away and send again: what they still wait is
// less than what they began with, and their answer is due that much earlier.
//
// # Usage
//
//	s := span.New()
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
	began         time.Time
	before, since time.Duration
}

// New returns a Span that has learned nothing.
func New() *Span { return &Span{} }

// Waited takes in that a caller still waits for left, and returns the time that it
// has waited already: what it lacks of the longest time that callers gave lately.
func (s *Span) Waited(now time.Time, left time.Duration) time.Duration {
	if now.Sub(s.began) > period {
		s.before, s.since, s.began = s.since, 0, now
	}
	s.since = max(s.since, left)
	return max(s.before, s.since) - left
}
