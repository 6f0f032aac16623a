// Package ramp bounds the work of a backend server in cold start.
//
// The bound stays at that of a cold backend server until so many requests are
// completed that it is warm, and then grows by one with each further one. It
// does not grow with time: a backend server that completes nothing gets no more.
//
// # Usage
//
//	r := ramp.New(2, 10, 100) // 2 at once for 100 requests, 10 after 8 more
//	if inFlight < r.Bound() {
//		forward()
//		r.Complete()
//	}
//	r.Cold() // the backend server has restarted
//
// A Ramp is not safe for use by several goroutines at once.
package ramp

// Ramp is the bound on concurrent requests of a backend server from a cold
// start until it is warm.
type Ramp struct {
	cold int
	full int
	warm int
	done int
}

// New returns a Ramp that starts cold. Its bound is cold until warm requests are
// completed, and grows to full with the requests that follow.
func New(cold, full, warm int) *Ramp {
	r := &Ramp{}
	r.Resize(cold, full, warm)
	r.Cold()
	return r
}

// Cold turns the Ramp to cold.
func (r *Ramp) Cold() { r.done = 0 }

// Complete counts a request that the backend server has completed.
func (r *Ramp) Complete() {
	if r.done < r.end() {
		r.done++
	}
}

// end returns the number of completed requests after which the bound is full.
func (r *Ramp) end() int { return r.warm + r.full - r.cold }

// Bound returns the number of requests that the backend server may run at once.
func (r *Ramp) Bound() int {
	return r.cold + max(0, r.done-r.warm)
}

// IsCold tells whether the backend server has yet to complete the requests that
// make it warm.
func (r *Ramp) IsCold() bool { return r.done < r.warm }

// Resize changes the bounds and keeps the count of completed requests; a Ramp
// that was warm gets the full bound at once. Bounds below 1 count as 1, and cold is at most full.
func (r *Ramp) Resize(cold, full, warm int) {
	wasWarm := !r.IsCold()
	r.full = max(full, 1)
	r.cold = min(max(cold, 1), r.full)
	r.warm = max(warm, 0)
	if wasWarm {
		r.done = r.end()
	}
	r.done = min(r.done, r.end())
}
