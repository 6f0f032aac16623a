// Package pick selects the backend server for a request.
//
// A Policy gets the candidates as the entry knows them: load reports that may be
// old, and the entry's own outstanding requests. LoadAware is the default.
// LeastExpectedTime is used for guards whose load was just probed. The others are
// baselines for comparison.
//
// # Usage
//
//	p := pick.NewLoadAware()
//	i, ok := p.Pick(now, random.Uint64(), candidates)
//	if ok {
//		send(candidates[i])
//	}
//
// Pick does not allocate and does not retain the candidates. A Policy is not safe
// for concurrent use.
package pick

import "time"

// Candidate describes a backend server that may get a request.
type Candidate struct {
	// SameCentre is set if the backend server is in the data centre of the entry.
	SameCentre bool
	// Centre is the name of the data centre, for policies that distinguish the others.
	Centre string
	// CrossCost is the time that the backend server must save since it is in another data
	// centre, as measured and priced for the request; 0 if it is not known.
	CrossCost time.Duration
	// CrossTime is the part of CrossCost that the request spends on the way.
	CrossTime time.Duration
	// SameInstance is set if the backend server is on the same instance as the entry.
	SameInstance bool
	// Limit is the reported concurrency limit of the guard.
	Limit int
	// InFlight is the reported number of requests that the backend server was running.
	InFlight int
	// Queued is the reported queue length of the guard.
	Queued int
	// Outstanding is the number of requests of this entry that have no response yet.
	Outstanding int
	// Cold is set if the backend server reported a cold start.
	Cold bool
	// ReportedAt is the time of the last load report, or zero if there is none.
	ReportedAt time.Time
	// FailedAt is the time of the last rejection or failure.
	FailedAt time.Time
	// Failures is the number of rejections and failures since the last success.
	Failures int
	// SlowPercent is the reported current service time in percent of the typical one, or
	// 0 if unknown.
	SlowPercent int
	// Unhealthy is set if the backend server reported itself unhealthy.
	Unhealthy bool
	// Sent is the number of requests that the entry has sent since the load report.
	Sent int
	// Wait is the reported expected time in the queue for one more request.
	Wait time.Duration
	// TypicalTime is the typical service time of the request on a backend server at normal
	// speed, or 0 if unknown.
	TypicalTime time.Duration
	// Latency is the moving average of the latency of successful requests, or 0 if
	// there are none.
	Latency time.Duration
}

// Policy selects one of several candidates.
type Policy interface {
	// Pick returns the index of the selected candidate. Unless an implementation says
	// otherwise, ok is false only if there are no candidates.
	Pick(now time.Time, random uint64, candidates []Candidate) (index int, ok bool)
}

// twoIndices returns two different indices below n. If n is 1, both are 0.
func twoIndices(random uint64, n int) (first, second int) {
	first = indexBelow(uint32(random), n)
	if n < 2 {
		return first, first
	}
	second = indexBelow(uint32(random>>32), n-1)
	if second >= first {
		second++
	}
	return first, second
}

// indexBelow maps random to an index below n.
func indexBelow(random uint32, n int) int {
	return int(uint64(random) * uint64(n) >> 32)
}
