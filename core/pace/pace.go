// Package pace bounds the requests a second that a cold backend server gets.
//
// It answers a backend server that comes up, or turns cold again without notice,
// while its share of a full load waits: the first second must not bring what it
// bears in several. Until it is known whether it is cold, it is taken for cold.
//
// # Usage
//
//	p := pace.New()
//	p.SetBound(11, 1.5, 5)
//	p.Cold(now.Add(left))
//	if p.Take(now) {
//		send()
//	}
package pace

import (
	"time"

	"bulrushlock/core/bucket"
)

// margin is the share of what a second may have beyond the rate that is made use of.
// The rest covers what starts before a cold start is noticed, and starts that arrive
// closer together than they were sent.
const margin = 0.75

// leastBurst is the number of requests that may start at the same moment at least, so
// that a cold backend server is not idle between two of them.
const leastBurst = 2

// Pace bounds the starts of requests. It is not safe for use by several
// goroutines at once.
type Pace struct {
	bucket *bucket.Bucket
	// burst is the number of requests that may start at the same moment.
	burst float64
	// until is the end of the cold start; unknown tells that it is not known.
	until   time.Time
	unknown bool
}

// New returns the pace of a backend server that is taken for cold.
func New() *Pace { return &Pace{bucket: bucket.New(0, leastBurst), unknown: true} }

// SetBound sets the number of requests a second that a cold backend server bears, and
// the factor on it and the number of requests beyond that which no second may pass.
func (p *Pace) SetBound(rate, over, slack float64) {
	p.burst = max(leastBurst, margin*slack)
	p.bucket.SetRate(rate*(1+margin*(over-1)), p.burst)
}

// Doubt takes the backend server for cold until Cold or Warm is called.
func (p *Pace) Doubt() { p.unknown = true }

// Cold tells that the backend server is cold until a time.
func (p *Pace) Cold(until time.Time) {
	p.unknown = false
	p.until = until
}

// Warm tells that the backend server is warm.
func (p *Pace) Warm() {
	p.unknown = false
	p.until = time.Time{}
}

// IsCold reports whether the backend server has to be taken for cold.
func (p *Pace) IsCold(now time.Time) bool { return p.unknown || now.Before(p.until) }

// Take reports whether a request may start now, and counts it where it may. What starts
// while the backend server is warm counts as well: it may have turned cold already.
func (p *Pace) Take(now time.Time) bool {
	counted := p.bucket.Take(now, 1)
	return counted || !p.IsCold(now)
}

// IsSpare reports whether a request may start now without taking the turn of one that
// comes soon: the backend server is warm, or no other request has started for a while.
func (p *Pace) IsSpare(now time.Time) bool {
	return !p.IsCold(now) || p.bucket.Wait(now, p.burst) == 0
}

// Wait returns the time after which one more request may start that has others ahead of it.
func (p *Pace) Wait(now time.Time, ahead int) time.Duration {
	if !p.IsCold(now) {
		return 0
	}
	return p.bucket.Wait(now, float64(ahead+1))
}
