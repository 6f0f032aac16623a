// Package waited estimates how long the caller of a retried request has already waited.
//
// A caller that retries after a rejection has less time left than it had at first, so
// its latency target expires earlier by the time that it has already waited. The
// estimate is the difference between the time left and the longest time left seen
// recently. Since callers also start with different timeouts, a difference below a
// minimum share of that longest time counts as no wait.
//
// # Usage
//
//	e := waited.New(0.15) // ignore differences below 15 %
//	wait := e.Estimate(now, left)
package waited

import "time"

const (
	// window is the length of the interval in which the longest time left is tracked.
	// The result covers the current and the previous interval.
	window = 10 * time.Second
)

// Estimator tracks the longest time that callers had left recently. It is not safe for
// concurrent use.
type Estimator struct {
	// minShare is the smallest share of its time that a retrying caller has waited.
	minShare                float64
	windowStart             time.Time
	previousMax, currentMax time.Duration
}

// New returns an empty Estimator. minShare is the smallest share of its time that a
// retrying caller has waited, from 0 to 1.
func New(minShare float64) *Estimator { return &Estimator{minShare: minShare} }

// Estimate records that a caller has the time left, and returns how long the caller has
// already waited: the difference to the longest time left seen recently, or 0 if that is
// too short for a caller that was rejected before.
func (e *Estimator) Estimate(now time.Time, left time.Duration) time.Duration {
	if now.Sub(e.windowStart) > window {
		e.previousMax, e.currentMax, e.windowStart = e.currentMax, 0, now
	}
	e.currentMax = max(e.currentMax, left)
	longest := max(e.previousMax, e.currentMax)
	if difference := longest - left; difference >= time.Duration(e.minShare*float64(longest)) {
		return difference
	}
	return 0
}
