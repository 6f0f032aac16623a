package scene

import (
	"math/rand/v2"
	"time"

	"bulrushlock/core/budget"
	"bulrushlock/core/pick"
)

const (
	// attempts is the largest number of attempts of one request.
	attempts = 3
	// retryShare is the share of requests that may be retried.
	retryShare = 0.1
	// retryReserve is the number of retries that an entry may make at the start.
	retryReserve = 10
	// probesPerRequest is the number of probes that Probing sends for a request.
	probesPerRequest = 3
	// entrySmoothing is the number of answers over which an entry smooths the
	// latency of a backend server.
	entrySmoothing = 10
	// besideDelay and centreDelay are the one-way delays to the guard beside the
	// entry and to one in the same data centre.
	besideDelay = 20 * time.Microsecond
	centreDelay = 100 * time.Microsecond
	// listLag is the longest time in which an entry learns that a server is back.
	listLag = time.Second
)

// request is one request of a caller.
type request struct {
	service    int
	class      int
	idempotent bool
	work       time.Duration
	arrived    time.Duration
	tried      int
	last       *view
}

// view is what an entry knows of one backend server.
type view struct {
	guard *guard
	known pick.Candidate
	out   bool
	delay time.Duration
}

// entry takes the requests of callers and sends them to guards.
type entry struct {
	clock    *clock
	random   *rand.Rand
	late     time.Duration
	probing  bool
	views    [][]*view // The views of each service.
	policies []pick.Policy
	budget   *budget.Budget
	lag      time.Duration
	result   *recorder

	candidates []pick.Candidate
	chosen     []*view
}

// serve sends a new request.
func (e *entry) serve(r *request) {
	e.budget.Deposit()
	e.probe(r.service)
	e.send(r)
}

// send makes the next attempt of r.
func (e *entry) send(r *request) {
	e.collect(r)
	i, ok := e.policies[r.service].Pick(e.clock.time(), e.random.Uint64(), e.candidates)
	if !ok {
		e.result.finish(r, refused)
		return
	}
	v := e.chosen[i]
	r.tried++
	r.last = v
	v.known.Outstanding++
	if e.probing {
		v.known.InFlight++
	}
	sent := e.clock.now
	e.clock.after(v.delay, func() {
		v.guard.admit(r, func(p reply) {
			e.clock.after(v.delay, func() {
				e.receive(r, v, p, e.clock.now-sent)
			})
		})
	})
}

// collect gathers the candidates for r. The backend server of the last attempt
// is left out if there is another one.
func (e *entry) collect(r *request) {
	e.candidates = e.candidates[:0]
	e.chosen = e.chosen[:0]
	for _, v := range e.views[r.service] {
		if !v.out && v != r.last {
			e.candidates = append(e.candidates, v.known)
			e.chosen = append(e.chosen, v)
		}
	}
	if len(e.chosen) == 0 && r.last != nil && !r.last.out {
		e.candidates = append(e.candidates, r.last.known)
		e.chosen = append(e.chosen, r.last)
	}
}

// receive takes in the reply to an attempt.
func (e *entry) receive(r *request, v *view, p reply, latency time.Duration) {
	v.known.Outstanding--
	if !e.probing {
		e.clock.after(e.late, func() { e.learn(v, p) })
	}
	if p.load.Leaving {
		v.out = true
	}
	switch {
	case p.outcome == ran:
		v.known.Failures = 0
		if !e.probing {
			v.known.Latency += (latency - v.known.Latency) / entrySmoothing
		}
		e.result.finish(r, ran)
		return
	case !p.load.Leaving:
		v.known.Failures++
		v.known.Failed = e.clock.time()
	}
	e.retry(r, p.outcome)
}

// retry sends r again if that is safe and the budget allows it.
func (e *entry) retry(r *request, o outcome) {
	safe := o == refused || r.idempotent
	if safe && r.tried < attempts && e.budget.Spend() {
		e.result.retries++
		e.send(r)
		return
	}
	e.result.finish(r, o)
}

// learn takes a load report into the view.
func (e *entry) learn(v *view, p reply) {
	v.known.InFlight = p.load.InFlight
	v.known.Queued = p.load.Queued
	v.known.Limit = p.load.Limit
	v.known.Cold = p.load.Cold
	v.known.Reported = e.clock.time()
}

// probe sends probes to random guards of a service if the policy needs them.
func (e *entry) probe(service int) {
	if !e.probing {
		return
	}
	views := e.views[service]
	for range probesPerRequest {
		v := views[e.random.IntN(len(views))]
		e.result.probes++
		e.clock.after(v.delay, func() {
			p := v.guard.reply(ran)
			e.clock.after(v.delay+e.late, func() {
				e.learn(v, p)
				v.known.Latency = p.latency
			})
		})
	}
}

// readList learns from the list of instances that v is back.
func (e *entry) readList(v *view) {
	e.clock.after(e.lag, func() {
		if v.guard.leaving {
			return
		}
		v.out = false
		v.known.Cold = true
		v.known.Limit = coldSlots
		v.known.Failures = 0
	})
}
