package simul

import (
	"math/rand/v2"
	"time"

	"bulrushlock/core/budget"
	"bulrushlock/core/pick"
)

const (
	// maxAttempts is the largest number of attempts per request.
	maxAttempts = 3
	// retryFraction is the number of retries allowed per request.
	retryFraction = 0.1
	// retryReserve is the number of retries that an entry may make before its first
	// request.
	retryReserve = 10
	// probesPerRequest is the number of load probes per request under the policy
	// "probing".
	probesPerRequest = 3
	// entryLatencySamples is the number of responses over which an entry smooths the
	// latency of a backend server.
	entryLatencySamples = 10
	// sameInstanceDelay and sameCentreDelay are the one-way delays to the guard on the
	// instance of the entry and to a guard in the same data centre.
	sameInstanceDelay = 20 * time.Microsecond
	sameCentreDelay   = 100 * time.Microsecond
	// maxListDelay is the longest time until an entry reads in the instance list that a
	// backend server is back in service.
	maxListDelay = time.Second
)

// request is a request of a caller.
type request struct {
	service    int
	class      int
	idempotent bool
	work       time.Duration
	arrived    time.Duration
	attempts   int
	lastServer *serverState
}

// serverState is what an entry knows about one backend server.
type serverState struct {
	guard        *guard
	candidate    pick.Candidate
	outOfService bool
	delay        time.Duration
}

// entry receives requests from callers and sends attempts to guards.
type entry struct {
	clock       *clock
	random      *rand.Rand
	reportDelay time.Duration
	probing     bool
	servers     [][]*serverState // The backend servers of each service.
	policies    []pick.Policy
	budget      *budget.Budget
	listDelay   time.Duration
	asker       *asker // Nil unless the policy is one for leaving a data centre.
	result      *recorder

	candidates       []pick.Candidate
	candidateServers []*serverState
}

// serve handles a new request.
func (e *entry) serve(r *request) {
	e.budget.Deposit()
	if e.asker != nil {
		e.asker.ask(r, 1)
		return
	}
	e.sendProbes(r.service)
	e.send(r)
}

// send makes the next attempt for r.
func (e *entry) send(r *request) {
	e.collectCandidates(r)
	i, ok := e.pick(r)
	if !ok {
		e.result.recordEnd(r, rejected)
		return
	}
	v := e.candidateServers[i]
	r.attempts++
	r.lastServer = v
	v.candidate.Outstanding++
	v.candidate.Sent++
	e.result.countCrossing(v, attemptBytes+classes[r.class].response)
	if e.probing {
		v.candidate.InFlight++
	}
	sent := e.clock.now
	e.clock.after(v.delay, func() {
		v.guard.handle(r, func(p response) {
			e.clock.after(v.delay, func() {
				e.handleResponse(r, v, p, e.clock.now-sent)
			})
		})
	})
}

// pick selects one of the candidates for r.
func (e *entry) pick(r *request) (int, bool) {
	if e.asker != nil {
		return e.asker.pick(r, e.candidates)
	}
	return e.policies[r.service].Pick(e.clock.time(), e.random.Uint64(), e.candidates)
}

// collectCandidates collects the candidates for r. It leaves out the backend server of
// the last attempt if there is another candidate.
func (e *entry) collectCandidates(r *request) {
	e.candidates = e.candidates[:0]
	e.candidateServers = e.candidateServers[:0]
	for _, v := range e.servers[r.service] {
		if v.outOfService || v == r.lastServer {
			continue
		}
		c := v.candidate
		if e.asker != nil && !e.asker.prepare(r, &c) {
			continue
		}
		e.candidates = append(e.candidates, c)
		e.candidateServers = append(e.candidateServers, v)
	}
	if len(e.candidateServers) == 0 && r.lastServer != nil && !r.lastServer.outOfService {
		e.candidates = append(e.candidates, r.lastServer.candidate)
		e.candidateServers = append(e.candidateServers, r.lastServer)
	}
}

// handleResponse processes the response to an attempt.
func (e *entry) handleResponse(r *request, v *serverState, p response, latency time.Duration) {
	v.candidate.Outstanding--
	if !e.probing {
		e.clock.after(e.reportDelay, func() { e.updateLoad(v, p) })
	}
	if p.load.Leaving {
		v.outOfService = true
	}
	switch {
	case p.outcome == ran:
		v.candidate.Failures = 0
		if e.asker != nil {
			e.asker.toll.ObserveResponse(r.class, classes[r.class].response)
		}
		if !e.probing {
			v.candidate.Latency += (latency - v.candidate.Latency) / entryLatencySamples
		}
		e.result.recordEnd(r, ran)
		return
	case !p.load.Leaving:
		v.candidate.Failures++
		v.candidate.FailedAt = e.clock.time()
	}
	e.retry(r, p.outcome)
}

// retry sends r again if that is safe and the retry budget allows it.
func (e *entry) retry(r *request, o outcome) {
	safe := o == rejected || r.idempotent
	if safe && r.attempts < maxAttempts && e.budget.Spend() {
		e.result.retries++
		e.send(r)
		return
	}
	e.result.recordEnd(r, o)
}

// updateLoad updates the state of a backend server with a load report.
func (e *entry) updateLoad(v *serverState, p response) {
	v.candidate.InFlight = p.load.InFlight
	v.candidate.Queued = p.load.Queued
	v.candidate.Limit = p.load.Limit
	v.candidate.Cold = p.load.Cold
	v.candidate.SlowPercent = p.load.Slow
	v.candidate.Wait = p.load.Wait
	v.candidate.Sent = 0
	v.candidate.ReportedAt = e.clock.time()
}

// sendProbes sends load probes to random guards of a service if the policy needs them.
func (e *entry) sendProbes(service int) {
	if !e.probing {
		return
	}
	servers := e.servers[service]
	for range probesPerRequest {
		v := servers[e.random.IntN(len(servers))]
		e.result.probes++
		e.clock.after(v.delay, func() {
			p := v.guard.newResponse(ran)
			e.clock.after(v.delay+e.reportDelay, func() {
				e.updateLoad(v, p)
				v.candidate.Latency = p.latency
			})
		})
	}
}

// scheduleReturn marks v as in service, in cold start, once the entry reads that in the
// instance list.
func (e *entry) scheduleReturn(v *serverState) {
	e.clock.after(e.listDelay, func() {
		if v.guard.leaving {
			return
		}
		v.outOfService = false
		v.candidate.Cold = true
		v.candidate.Limit = coldSlots
		v.candidate.Failures = 0
	})
}
