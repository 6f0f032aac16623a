// Package bucket bounds the rate of an action, such as probes a second.
//
// A Bucket holds tokens. It fills at a steady rate up to its burst, and each
// action takes tokens out of it. The package reads no clock: the caller passes
// the time.
//
// # Usage
//
//	b := bucket.New(20, 5) // 20 a second, 5 at once
//	if b.Take(now, 1) {
//		probe()
//	}
//
// A Bucket is not safe for use by several goroutines at once.
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. Over any window of time it gives out no more than
// its burst and what its rate adds within the window.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// New returns a full Bucket that fills by rate tokens a second up to burst.
func New(rate, burst float64) *Bucket {
	burst = max(burst, 0)
	return &Bucket{rate: max(rate, 0), burst: burst, tokens: burst}
}

// Take takes n tokens out of the Bucket and tells whether it held so many. It
// takes nothing when it held fewer, or when now lies before an earlier call.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if now.Before(b.last) || n < 0 {
		return false
	}
	b.fill(now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// SetRate changes the rate and the burst. Tokens above the new burst are lost.
// The time since the last call to Take counts at the new rate.
func (b *Bucket) SetRate(rate, burst float64) {
	b.rate = max(rate, 0)
	b.burst = max(burst, 0)
	b.tokens = min(b.tokens, b.burst)
}

// fill adds the tokens of the time since the last call, up to the burst.
func (b *Bucket) fill(now time.Time) {
	if !b.last.IsZero() {
		added := b.rate * now.Sub(b.last).Seconds()
		b.tokens = min(b.burst, b.tokens+added)
	}
	b.last = now
}

// Wait returns the time until the Bucket holds n tokens, without a call to Take before.
// It is the longest time there is where that never comes.
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	held := b.tokens
	if !b.last.IsZero() && now.After(b.last) {
		held = min(b.burst, held+b.rate*now.Sub(b.last).Seconds())
	}
	switch {
	case held >= n:
		return 0
	case b.rate == 0:
		return math.MaxInt64
	}
	return time.Duration((n - held) / b.rate * float64(time.Second))
}
