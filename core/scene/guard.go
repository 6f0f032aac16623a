package scene

import (
	"time"

	"bulrushlock/core/limit"
	"bulrushlock/core/ramp"
	"bulrushlock/core/report"
)

// outcome is how an attempt ended.
type outcome int

const (
	// ran means that the backend server answered.
	ran outcome = iota
	// refused means that the attempt did not run.
	refused
	// failed means that the attempt broke and may have run.
	failed
)

// guardSmoothing is the number of requests over which a guard smooths its latency.
const guardSmoothing = 50

// reply is what a guard answers to an attempt.
type reply struct {
	outcome outcome
	load    report.Load
	latency time.Duration
}

// guard admits work to the server beside it.
type guard struct {
	clock   *clock
	server  *server
	limit   *limit.Limit
	ramp    *ramp.Ramp
	plain   bool // Admit by slots alone.
	queue   []*waiter
	wait    time.Duration // The longest wait in the queue.
	leaving bool
	jumped  bool
	latency time.Duration
	// coldAt is the time at which the guard last noticed a cold start.
	coldAt time.Duration
	// blind counts the requests that were started above what the cold server
	// bears before the guard noticed the cold start, and excess those after it.
	blind  int
	excess int
}

// waiter is a request in the queue of a guard.
type waiter struct {
	request *request
	answer  func(reply)
}

// newGuard returns a guard whose server is warm.
func newGuard(c *clock, s *server, o Options) *guard {
	g := &guard{
		clock:  c,
		server: s,
		limit:  limit.New(s.slots),
		ramp:   ramp.New(coldSlots, s.slots, coldWork),
		plain:  o.Plain,
		wait:   o.Queue,
	}
	for range coldWork {
		g.ramp.Complete()
	}
	return g
}

// bound returns the number of requests that may run at once.
func (g *guard) bound() int {
	if g.plain {
		return g.server.slots
	}
	return min(g.limit.Limit(), g.ramp.Bound())
}

// load returns the report that rides on an answer.
func (g *guard) load() report.Load {
	return report.Load{
		InFlight: g.server.running,
		Queued:   len(g.queue),
		Limit:    g.bound(),
		Cold:     !g.plain && g.ramp.IsCold(),
		Leaving:  g.leaving,
	}
}

// reply returns the reply for o.
func (g *guard) reply(o outcome) reply {
	return reply{outcome: o, load: g.load(), latency: g.latency}
}

// admit starts r, lets it wait or refuses it.
func (g *guard) admit(r *request, answer func(reply)) {
	switch {
	case g.leaving:
		answer(g.reply(refused))
	case g.server.running < g.bound():
		g.start(r, answer)
	case g.wait > 0 && len(g.queue) < g.bound():
		g.enqueue(r, answer)
	default:
		answer(g.reply(refused))
	}
}

// enqueue puts r into the queue until a slot is free or its wait is over.
func (g *guard) enqueue(r *request, answer func(reply)) {
	w := &waiter{request: r, answer: answer}
	g.queue = append(g.queue, w)
	g.clock.after(g.wait, func() {
		for i, other := range g.queue {
			if other == w {
				g.queue = append(g.queue[:i], g.queue[i+1:]...)
				answer(g.reply(refused))
				return
			}
		}
	})
}

// start runs r on the server and answers when it ends.
func (g *guard) start(r *request, answer func(reply)) {
	if g.server.left > 0 && g.server.running >= g.server.bears() {
		if g.coldAt < g.server.coldAt {
			g.blind++
		} else {
			g.excess++
		}
	}
	began := g.clock.now
	g.server.start(r.work, func(bad bool) {
		g.observe(r, g.clock.now-began, bad)
		if bad {
			answer(g.reply(failed))
		} else {
			answer(g.reply(ran))
		}
		g.next()
	})
}

// observe takes in a request that ended.
func (g *guard) observe(r *request, latency time.Duration, bad bool) {
	g.limit.Observe(g.clock.time(), r.class, latency, g.server.running+1, bad)
	if bad {
		g.turnCold()
		return
	}
	g.latency += (latency - g.latency) / guardSmoothing
	g.ramp.Complete()
	jumped := g.limit.Jumped()
	if jumped && !g.jumped {
		g.turnCold()
	}
	g.jumped = jumped
}

// turnCold starts the ramp.
func (g *guard) turnCold() {
	g.ramp.Cold()
	g.coldAt = g.clock.now
}

// next starts waiting requests while there is room.
func (g *guard) next() {
	for len(g.queue) > 0 && g.server.running < g.bound() {
		w := g.queue[0]
		g.queue = g.queue[1:]
		g.start(w.request, w.answer)
	}
}

// leave refuses new work; what runs and what waits is finished.
func (g *guard) leave() { g.leaving = true }

// enter takes new work again, in cold start.
func (g *guard) enter() {
	g.leaving = false
	g.server.turnCold()
	g.turnCold()
}
