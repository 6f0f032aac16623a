package fake

import "sync"

// Stats holds the statistics of a backend server.
type Stats struct {
	// Total is the number of requests that ran.
	Total int `json:"total"`
	// Completed is the number of requests that ran to completion.
	Completed int `json:"completed"`
	// Busy is the number of requests that are running.
	Busy int `json:"busy"`
	// Peak is the maximum number of requests that ran at once.
	Peak int `json:"peak"`
	// PeakCold is the maximum number of requests that ran at once in a cold start.
	PeakCold int `json:"peakcold"`
	// Shed is the number of requests that were shed.
	Shed int `json:"shed"`
	// Overloaded is the number of requests that ran slowly due to overload in a cold start.
	Overloaded int `json:"overloaded"`
	// Draining is the number of requests that arrived while the server was draining.
	Draining int `json:"draining"`
	// Repeated is the number of request IDs that ran more than once.
	Repeated int `json:"repeated"`
	// Cold reports whether the server is in a cold start.
	Cold bool `json:"cold"`
}

// requestCounter counts the requests of a backend server and tracks its cold start.
type requestCounter struct {
	coldLimit int
	warmAfter int

	mu                 sync.Mutex
	counts             Stats
	runs               map[string]int
	inFlight           int
	completedSinceCold int
	overloaded         bool
	draining           bool
}

// newRequestCounter returns a counter for a server that, in a cold start, can run as many
// requests at once as cold says. The cold start ends once as many requests have completed
// as warm says.
func newRequestCounter(cold, warm int) *requestCounter {
	r := &requestCounter{coldLimit: cold, warmAfter: warm, runs: make(map[string]int)}
	r.counts.Cold = cold > 0
	return r
}

// arrive counts a request that reached the server.
func (r *requestCounter) arrive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		r.counts.Draining++
	}
}

// admit admits a request, or counts it as shed if capacity requests are already in flight.
func (r *requestCounter) admit(capacity int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= capacity {
		r.counts.Shed++
		return false
	}
	r.inFlight++
	return true
}

// release ends a request that admit admitted.
func (r *requestCounter) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// begin counts a request that starts to run and reports whether it runs slowly.
func (r *requestCounter) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.counts
	s.Total++
	s.Busy++
	s.Peak = max(s.Peak, s.Busy)
	r.countRun(id)
	if !s.Cold {
		return false
	}
	s.PeakCold = max(s.PeakCold, s.Busy)
	// An overloaded server recovers only once it is idle.
	r.overloaded = r.overloaded || s.Busy > r.coldLimit
	if r.overloaded {
		s.Overloaded++
	}
	return r.overloaded
}

// countRun counts a run of the request with the given ID.
func (r *requestCounter) countRun(id string) {
	if id == "" {
		return
	}
	r.runs[id]++
	if r.runs[id] == 2 {
		r.counts.Repeated++
	}
}

// end counts the end of a request that begin counted.
func (r *requestCounter) end(completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.counts
	s.Busy--
	if s.Busy == 0 {
		r.overloaded = false
	}
	if !completed {
		return
	}
	s.Completed++
	r.completedSinceCold++
	if s.Cold && r.completedSinceCold >= r.warmAfter {
		s.Cold = false
		r.overloaded = false
	}
}

// startCold puts the server into a cold start, if it has a limit for one.
func (r *requestCounter) startCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Cold = r.coldLimit > 0
	r.completedSinceCold = 0
}

// setDraining sets whether the server is draining.
func (r *requestCounter) setDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// runCount returns the number of runs of the request with the given ID.
func (r *requestCounter) runCount(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// stats returns the current statistics.
func (r *requestCounter) stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
