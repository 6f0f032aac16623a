// Package bucket limits the rate of an action, such as probes per second.
//
// A Bucket holds tokens. It is refilled at a constant rate up to its burst size,
// and each action takes tokens from it. The package does not read the clock: the
// caller passes the time.
//
// # Usage
//
//	b := bucket.New(20, 5) // 20 per second, burst of 5
//	if b.Take(now, 1) {
//		probe()
//	}
//
// A Bucket is not safe for concurrent use.
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. Over any time window it grants at most its burst size plus
// the tokens that its rate adds within the window.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	last   time.Time
}

// New returns a full Bucket that is refilled at rate tokens per second up to burst.
// Negative values count as 0.
func New(rate, burst float64) *Bucket {
	burst = max(burst, 0)
	return &Bucket{rate: max(rate, 0), burst: burst, tokens: burst}
}

// Take takes n tokens and reports whether the Bucket held that many. It takes none if it
// held fewer, if n is negative, or if now is before the time of an earlier call.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if now.Before(b.last) || n < 0 {
		return false
	}
	b.refill(now)
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

// SetRate changes the rate in tokens per second and the burst size. Tokens above the new
// burst size are lost. The time since the last call of Take counts at the new rate.
func (b *Bucket) SetRate(rate, burst float64) {
	b.rate = max(rate, 0)
	b.burst = max(burst, 0)
	b.tokens = min(b.tokens, b.burst)
}

// refill adds the tokens for the time since the last call, up to the burst size.
func (b *Bucket) refill(now time.Time) {
	if !b.last.IsZero() {
		added := b.rate * now.Sub(b.last).Seconds()
		b.tokens = min(b.burst, b.tokens+added)
	}
	b.last = now
}

// Wait returns the time until the Bucket holds n tokens if Take is not called in the
// meantime. At rate 0 it returns the longest possible duration if tokens are missing.
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
