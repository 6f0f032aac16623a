package stand

import "sync"

// Stats are the counts of a backend server.
type Stats struct {
	// Total is the number of requests that ran.
	Total int `json:"total"`
	// Completed is the number of requests that ran to their answer.
	Completed int `json:"completed"`
	// Busy is the number of requests that run now.
	Busy int `json:"busy"`
	// Peak is the most requests that ran at once.
	Peak int `json:"peak"`
	// PeakCold is the most requests that ran at once in a cold start.
	PeakCold int `json:"peakcold"`
	// Shed is the number of requests that were shed.
	Shed int `json:"shed"`
	// Overloaded is the number of requests that ran slowly because too many came in a cold start.
	Overloaded int `json:"overloaded"`
	// Draining is the number of requests that arrived since the server drains.
	Draining int `json:"draining"`
	// Repeated is the number of identities that ran more than once.
	Repeated int `json:"repeated"`
	// Cold tells that the server is in a cold start.
	Cold bool `json:"cold"`
}

// record counts the requests of a backend server.
type record struct {
	cold int
	warm int

	mu         sync.Mutex
	counts     Stats
	runs       map[string]int
	present    int
	warmed     int
	overloaded bool
	draining   bool
}

// newRecord returns a record of a server that bears cold requests at once until
// warm requests are completed.
func newRecord(cold, warm int) *record {
	r := &record{cold: cold, warm: warm, runs: make(map[string]int)}
	r.counts.Cold = cold > 0
	return r
}

// arrive counts a request that reached the server.
func (r *record) arrive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		r.counts.Draining++
	}
}

// enter takes in a request, or counts it as shed when room others are present.
func (r *record) enter(room int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.present >= room {
		r.counts.Shed++
		return false
	}
	r.present++
	return true
}

// leave ends what enter began.
func (r *record) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.present--
}

// begin counts a request that starts to run and tells whether it runs slowly.
func (r *record) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.counts
	s.Total++
	s.Busy++
	s.Peak = max(s.Peak, s.Busy)
	r.count(id)
	if !s.Cold {
		return false
	}
	s.PeakCold = max(s.PeakCold, s.Busy)
	// A server that fell over recovers only once it has nothing to do.
	r.overloaded = r.overloaded || s.Busy > r.cold
	if r.overloaded {
		s.Overloaded++
	}
	return r.overloaded
}

// count counts a run of the request with this identity.
func (r *record) count(id string) {
	if id == "" {
		return
	}
	r.runs[id]++
	if r.runs[id] == 2 {
		r.counts.Repeated++
	}
}

// end ends what begin began.
func (r *record) end(completed bool) {
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
	r.warmed++
	if s.Cold && r.warmed >= r.warm {
		s.Cold = false
		r.overloaded = false
	}
}

// chill puts the server into a cold start, where it has one.
func (r *record) chill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Cold = r.cold > 0
	r.warmed = 0
}

// drain tells whether the server drains from now on.
func (r *record) drain(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// runsOf returns how often the request with this identity ran.
func (r *record) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// stats returns the counts.
func (r *record) stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}
