// Package quota limits the rate of requests to a backend server that states how many requests
// a second it takes.
//
// Under such a limit the full load of a service still arrives at the guards of its backend
// servers. Requests beyond the limit must wait or be rejected at once, and a burst after a quiet
// time must not exceed the limit by much. The limit holds for as long as the backend server
// states it: in its responses to requests, in those to health checks, or in both.
//
// A guard that has just started knows no limit. Until it has its first response, it uses the
// limit that entries know from earlier responses.
//
// # Usage
//
//	q := quota.New()
//	q.Observe(now, sentAt, false, 3.3, true)
//	if q.Take(now) {
//		send()
//	}
package quota

import (
	"time"

	"bulrushlock/core/bucket"
)

const (
	// burstTime is the time whose requests may start at the same moment.
	burstTime = 500 * time.Millisecond
	// minBurst is the minimum number of requests that may start at the same moment.
	minBurst = 1
	// minRate is the lowest rate in requests per second. Without any request there may be no
	// response that states the end of the limit.
	minRate = 0.25
	// maxRate is the highest rate in requests per second that is kept.
	maxRate = 1e6
)

// The sources of a limit.
const (
	response = iota
	healthCheck
	sourceCount
)

// statement is what a backend server states about its limit in the responses of one kind.
type statement struct {
	// rate is the limit in requests per second, if inForce is set.
	rate    float64
	inForce bool
	// at is the time at which the limit was last stated.
	at time.Time
}

// Quota limits the starts of requests. It is not safe for concurrent use.
type Quota struct {
	statements [sourceCount]statement
	// suggested is the limit that an entry knows, or 0. heard is set after the first response
	// to a request, and after the first health check that states a limit. From then on
	// suggestions are ignored.
	suggested float64
	heard     bool
	// rate is the limit in force in requests per second, if bucket is not nil.
	rate   float64
	bucket *bucket.Bucket
}

// New returns a Quota without a limit.
func New() *Quota { return &Quota{} }

// Observe records what a response of the backend server states: a limit of rate requests per
// second if isLimited is set, and none otherwise. sentAt is the time at which the request was
// sent. A response without a limit ends it only if the request was sent after the limit was last
// stated, because responses may overtake each other.
func (q *Quota) Observe(now, sentAt time.Time, isHealthCheck bool, rate float64, isLimited bool) {
	if !isHealthCheck || isLimited {
		q.heard, q.suggested = true, 0
	}
	s := &q.statements[response]
	if isHealthCheck {
		s = &q.statements[healthCheck]
	}
	switch {
	case isLimited:
		*s = statement{rate: rate, inForce: true, at: now}
	case s.inForce && sentAt.After(s.at):
		s.inForce = false
		if isHealthCheck {
			// There may be no request whose response would end the other statement.
			q.statements[response].inForce = false
		}
	}
	q.apply()
}

// Suggest adopts the limit that an entry knows, in requests per second, unless this guard knows
// from the backend server itself. A rate of 0 means that the entry knows none.
func (q *Quota) Suggest(rate float64) {
	if q.heard || rate <= 0 {
		return
	}
	q.suggested = rate
	q.apply()
}

// Reset ends the limit when another incarnation of the backend server has started. What entries
// know is about the one before.
func (q *Quota) Reset() { *q = Quota{heard: true} }

// apply puts the lowest of the stated limits in force.
func (q *Quota) apply() {
	rate, isLimited := q.suggested, q.suggested > 0
	for _, s := range q.statements {
		if s.inForce && (!isLimited || s.rate < rate) {
			rate, isLimited = s.rate, true
		}
	}
	if !isLimited {
		q.rate, q.bucket = 0, nil
		return
	}
	q.rate = min(max(rate, minRate), maxRate)
	if q.bucket == nil {
		// Requests that started just before the limit was stated count against it.
		q.bucket = bucket.New(q.rate, minBurst)
	}
	q.bucket.SetRate(q.rate, q.burst())
}

// burst returns the number of requests that may start at the same moment.
func (q *Quota) burst() float64 { return max(minBurst, q.rate*burstTime.Seconds()) }

// Rate returns the limit in force in requests per second. The result is false if there is none.
func (q *Quota) Rate() (float64, bool) { return q.rate, q.bucket != nil }

// Take reports whether a request may start now, and counts it if it may.
func (q *Quota) Take(now time.Time) bool { return q.bucket == nil || q.bucket.Take(now, 1) }

// HasSpareCapacity reports whether a request may start now without delaying one that follows
// soon.
func (q *Quota) HasSpareCapacity(now time.Time) bool {
	return q.bucket == nil || q.bucket.Wait(now, q.burst()) == 0
}

// Wait returns the time until one more request may start if the given number of requests are
// ahead of it.
func (q *Quota) Wait(now time.Time, ahead int) time.Duration {
	if q.bucket == nil {
		return 0
	}
	return q.bucket.Wait(now, float64(ahead+1))
}
