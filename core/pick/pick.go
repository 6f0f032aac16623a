// Package pick chooses the backend server that gets a request.
//
// A Policy sees the candidates as the entry knows them: late reports, and its
// own outstanding requests. Aware is the policy of the project; the others are
// baselines to measure it against.
//
// # Usage
//
//	p := pick.NewAware()
//	i, ok := p.Pick(now, random.Uint64(), candidates)
//	if ok {
//		send(candidates[i])
//	}
//
// A Policy makes no allocation in Pick and keeps no reference to the candidates.
// It is not safe for use by several goroutines at once.
package pick

import "time"

// Candidate is what an entry knows of a backend server that may get a request.
type Candidate struct {
	// Near tells that the backend server is in the data centre of the entry.
	Near bool
	// Beside tells that the backend server is on the instance of the entry.
	Beside bool
	// Limit is the reported number of requests that the guard admits at once.
	Limit int
	// InFlight is the reported number of requests that the backend server ran.
	InFlight int
	// Queued is the reported number of requests that waited at the guard.
	Queued int
	// Outstanding is the number of requests of this entry that are not yet answered.
	Outstanding int
	// Cold is the reported cold start.
	Cold bool
	// Reported is the time of the report; it is zero while there is none.
	Reported time.Time
	// Failed is the time of the last refusal or failure.
	Failed time.Time
	// Failures is the number of refusals and failures since the last good answer.
	Failures int
	// Slow is the reported time that work takes, in percent of the usual, or 0.
	Slow int
	// Ill is the reported word of the backend server that it is unfit.
	Ill bool
	// Sent is the number of requests that the entry has sent since the report.
	Sent int
	// Wait is the reported time after which one more request would begin.
	Wait time.Duration
	// Usual is the time that the request takes on a backend server that works as
	// usual, or 0 where it is not known.
	Usual time.Duration
	// Latency is the recent latency of good answers to requests of like cost, or
	// zero if there is none.
	Latency time.Duration
}

// Policy chooses among candidates.
type Policy interface {
	// Pick returns the index of the chosen candidate. It is false only when
	// there are no candidates.
	Pick(now time.Time, random uint64, candidates []Candidate) (index int, ok bool)
}

// two returns two different indices below n, or the same one twice if n is 1.
func two(random uint64, n int) (first, second int) {
	first = below(uint32(random), n)
	if n < 2 {
		return first, first
	}
	second = below(uint32(random>>32), n-1)
	if second >= first {
		second++
	}
	return first, second
}

// below maps random to an index below n.
func below(random uint32, n int) int {
	return int(uint64(random) * uint64(n) >> 32)
}
