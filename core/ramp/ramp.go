// Package ramp limits the concurrency of a backend server during its warm-up.
//
// The limit is that of a cold backend server until a set number of requests is
// completed. It then grows by one with each further request. It does not grow with
// time: a backend server that completes nothing gets no more requests.
//
// # Usage
//
//	r := ramp.New(2, 10, 100) // 2 at once for 100 requests, 10 after 8 more
//	if inFlight < r.Limit() {
//		forward()
//		r.Complete()
//	}
//	r.Reset() // the backend server has restarted
//
// A Ramp is not safe for concurrent use.
package ramp

// Ramp is the concurrency limit of a backend server from a cold start until it is fully
// warm.
type Ramp struct {
	coldLimit      int
	fullLimit      int
	warmupRequests int
	completed      int
}

// New returns a cold Ramp. Its limit is cold until warm requests are completed, and
// then grows by one with each further request, up to full.
func New(cold, full, warm int) *Ramp {
	r := &Ramp{}
	r.Resize(cold, full, warm)
	r.Reset()
	return r
}

// Reset restarts the ramp.
func (r *Ramp) Reset() { r.completed = 0 }

// Complete counts a request that the backend server has completed.
func (r *Ramp) Complete() {
	if r.completed < r.end() {
		r.completed++
	}
}

// end returns the number of completed requests at which the limit reaches full.
func (r *Ramp) end() int { return r.warmupRequests + r.fullLimit - r.coldLimit }

// Limit returns the current concurrency limit.
func (r *Ramp) Limit() int {
	return r.coldLimit + max(0, r.completed-r.warmupRequests)
}

// IsCold reports whether the backend server has completed fewer requests than it needs
// to be warm.
func (r *Ramp) IsCold() bool { return r.completed < r.warmupRequests }

// Resize changes the limits and keeps the count of completed requests. A Ramp that was
// warm gets the full limit at once. Limits below 1 count as 1, and cold is at most full.
func (r *Ramp) Resize(cold, full, warm int) {
	wasWarm := !r.IsCold()
	r.fullLimit = max(full, 1)
	r.coldLimit = min(max(cold, 1), r.fullLimit)
	r.warmupRequests = max(warm, 0)
	if wasWarm {
		r.completed = r.end()
	}
	r.completed = min(r.completed, r.end())
}
