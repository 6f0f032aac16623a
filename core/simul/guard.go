package simul

import (
	"time"

	"bulrushlock/core/limit"
	"bulrushlock/core/ramp"
	"bulrushlock/core/report"
)

// outcome is the result of an attempt.
type outcome int

const (
	// ran means that the backend server responded.
	ran outcome = iota
	// rejected means that the attempt did not run.
	rejected
	// failed means that the attempt failed and may have run.
	failed
)

// normalSlowness is the slowness of a backend server at normal speed, in percent.
const normalSlowness = 100

// guardLatencySamples is the number of requests over which a guard smooths its latency.
const guardLatencySamples = 50

// response is the response of a guard to an attempt.
type response struct {
	outcome outcome
	load    report.Load
	latency time.Duration
}

// guard admits requests to the backend server of its instance.
type guard struct {
	clock         *clock
	server        *server
	limit         *limit.Limit
	ramp          *ramp.Ramp
	slotsOnly     bool // The guard admits by slots alone.
	queue         []*queuedRequest
	queueTimeout  time.Duration // The maximum wait time in the queue.
	leaving       bool
	latencyJumped bool
	latency       time.Duration
	// coldDetectedAt is the time at which the guard last detected a cold start.
	coldDetectedAt time.Duration
	// excessBeforeDetection counts the requests that started above the capacity of the cold
	// backend server before the guard detected the cold start; excessAfterDetection counts
	// those that did so afterwards.
	excessBeforeDetection int
	excessAfterDetection  int
}

// queuedRequest is a request in the queue of a guard.
type queuedRequest struct {
	request *request
	respond func(response)
}

// newGuard returns a guard whose backend server is warm.
func newGuard(c *clock, s *server, o Options) *guard {
	g := &guard{
		clock:        c,
		server:       s,
		limit:        limit.New(s.slots),
		ramp:         ramp.New(coldSlots, s.slots, warmupRequests),
		slotsOnly:    o.SlotsOnly,
		queueTimeout: o.QueueTimeout,
	}
	for range warmupRequests {
		g.ramp.Complete()
	}
	return g
}

// concurrencyLimit returns the number of requests that may run concurrently.
func (g *guard) concurrencyLimit() int {
	if g.slotsOnly {
		return g.server.slots
	}
	return min(g.limit.Limit(), g.ramp.Limit())
}

// loadReport returns the load report that a response carries.
func (g *guard) loadReport() report.Load {
	return report.Load{
		InFlight: g.server.running,
		Queued:   len(g.queue),
		Limit:    g.concurrencyLimit(),
		Cold:     !g.slotsOnly && g.ramp.IsCold(),
		Leaving:  g.leaving,
		Slow:     int(normalSlowness * g.server.slowdown * g.server.noise),
		Wait:     g.wait(),
	}
}

// wait returns the expected time in the queue for one more request.
func (g *guard) wait() time.Duration {
	if g.server.running < g.concurrencyLimit() {
		return 0
	}
	return g.latency * time.Duration(len(g.queue)+1) / time.Duration(max(g.concurrencyLimit(), 1))
}

// newResponse returns the response for o.
func (g *guard) newResponse(o outcome) response {
	return response{outcome: o, load: g.loadReport(), latency: g.latency}
}

// handle starts, queues or rejects r.
func (g *guard) handle(r *request, respond func(response)) {
	switch {
	case g.leaving:
		respond(g.newResponse(rejected))
	case g.server.running < g.concurrencyLimit():
		g.start(r, respond)
	case g.queueTimeout > 0 && len(g.queue) < g.concurrencyLimit():
		g.enqueue(r, respond)
	default:
		respond(g.newResponse(rejected))
	}
}

// enqueue queues r until a slot is free or its queue timeout has passed.
func (g *guard) enqueue(r *request, respond func(response)) {
	w := &queuedRequest{request: r, respond: respond}
	g.queue = append(g.queue, w)
	g.clock.after(g.queueTimeout, func() {
		for i, other := range g.queue {
			if other == w {
				g.queue = append(g.queue[:i], g.queue[i+1:]...)
				respond(g.newResponse(rejected))
				return
			}
		}
	})
}

// start runs r on the backend server and responds when it ends.
func (g *guard) start(r *request, respond func(response)) {
	if g.server.warmupLeft > 0 && g.server.running >= g.server.capacity() {
		if g.coldDetectedAt < g.server.coldAt {
			g.excessBeforeDetection++
		} else {
			g.excessAfterDetection++
		}
	}
	began := g.clock.now
	g.server.start(r.work, func(bad bool) {
		g.observe(r, g.clock.now-began, bad)
		if bad {
			respond(g.newResponse(failed))
		} else {
			respond(g.newResponse(ran))
		}
		g.startQueued()
	})
}

// observe updates the limit, the ramp and the latency with a request that ended.
func (g *guard) observe(r *request, latency time.Duration, bad bool) {
	g.limit.Observe(g.clock.time(), r.class, latency, g.server.running+1, bad)
	if bad {
		g.resetRamp()
		return
	}
	g.latency += (latency - g.latency) / guardLatencySamples
	g.ramp.Complete()
	jumped := g.limit.LatencyJumped()
	if jumped && !g.latencyJumped {
		g.resetRamp()
	}
	g.latencyJumped = jumped
}

// resetRamp restarts the warm-up ramp after a cold start was detected.
func (g *guard) resetRamp() {
	g.ramp.Reset()
	g.coldDetectedAt = g.clock.now
}

// startQueued starts queued requests while there are free slots.
func (g *guard) startQueued() {
	for len(g.queue) > 0 && g.server.running < g.concurrencyLimit() {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.start(w.request, w.respond)
	}
}

// drain rejects new requests; running and queued ones are completed.
func (g *guard) drain() { g.leaving = true }

// returnToService accepts new requests again, in cold start.
func (g *guard) returnToService() {
	g.leaving = false
	g.server.startCold()
	g.resetRamp()
}
