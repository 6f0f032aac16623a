// Package pacer limits the rate of requests to a cold backend server.
//
// A backend server that has just started, or has become cold again without notice, still
// receives its share of the full load. The requests of its first second must not
// take it several seconds to serve. A backend server is treated as cold until its
// state is known.
//
// # Usage
//
//	p := pacer.New()
//	p.SetLimits(11, 1.5, 5) // at most 11*1.5+5 requests in any second
//	p.MarkCold(now.Add(left))
//	if p.Take(now) {
//		send()
//	}
package pacer

import (
	"time"

	"bulrushlock/core/bucket"
)

// excessShare is the share that is used of the allowed excess over the rate within a
// second. The rest covers requests that start before a cold start is detected, and
// requests that arrive closer together than they were sent.
const excessShare = 0.75

// minBurst is the minimum number of requests that may start at the same moment, so that
// a cold backend server is not idle between two of them.
const minBurst = 2

// Pacer limits the starts of requests. It is not safe for concurrent use.
type Pacer struct {
	bucket *bucket.Bucket
	// burst is the number of requests that may start at the same moment.
	burst float64
	// coldUntil is the end of the cold start. stateUnknown means that it is not known
	// whether the backend server is cold.
	coldUntil    time.Time
	stateUnknown bool
}

// New returns a Pacer that treats its backend server as cold.
func New() *Pacer { return &Pacer{bucket: bucket.New(0, minBurst), stateUnknown: true} }

// SetLimits sets the limits for a cold backend server. The rate is the number of requests
// per second that it sustains. No second may have more than rate*over+slack requests.
func (p *Pacer) SetLimits(rate, over, slack float64) {
	p.burst = max(minBurst, excessShare*slack)
	p.bucket.SetRate(rate*(1+excessShare*(over-1)), p.burst)
}

// MarkUnknown treats the backend server as cold until the next call of MarkCold or MarkWarm.
func (p *Pacer) MarkUnknown() { p.stateUnknown = true }

// MarkCold marks the backend server as cold until the given time.
func (p *Pacer) MarkCold(until time.Time) {
	p.stateUnknown = false
	p.coldUntil = until
}

// MarkWarm marks the backend server as warm.
func (p *Pacer) MarkWarm() {
	p.stateUnknown = false
	p.coldUntil = time.Time{}
}

// IsCold reports whether the backend server must be treated as cold.
func (p *Pacer) IsCold(now time.Time) bool { return p.stateUnknown || now.Before(p.coldUntil) }

// Take reports whether a request may start now, and counts it if it may. Requests to a
// warm backend server count as well, because it may have become cold unnoticed.
func (p *Pacer) Take(now time.Time) bool {
	counted := p.bucket.Take(now, 1)
	return counted || !p.IsCold(now)
}

// HasSpareCapacity reports whether a request may start now without delaying one that
// follows soon: the backend server is warm, or no other request has started for a while.
func (p *Pacer) HasSpareCapacity(now time.Time) bool {
	return !p.IsCold(now) || p.bucket.Wait(now, p.burst) == 0
}

// Wait returns the time until one more request may start if the given number of requests
// are ahead of it.
func (p *Pacer) Wait(now time.Time, ahead int) time.Duration {
	if !p.IsCold(now) {
		return 0
	}
	return p.bucket.Wait(now, float64(ahead+1))
}
