package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/guard"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// simulation runs a guard against a model of a backend server in virtual time.
type simulation struct {
	c     *qt.C
	guard *guard.Guard
	now   time.Time
	// remaining holds the running attempts with the service time that they still need
	// at normal speed.
	remaining map[uint64]time.Duration
	// admitted holds the times at which attempts were admitted.
	admitted map[uint64]time.Time
	// waitEnds holds the times at which StartQueueTimer effects expire.
	waitEnds map[uint64]time.Time
	began    map[uint64]time.Time
	// class is the class of each attempt, and work the service time of each class.
	class map[uint64]int
	work  map[int]time.Duration
	slow  func(now time.Time) int
	// speedFixedAtStart means that an attempt keeps the speed at which it began.
	speedFixedAtStart bool
	// announced is what the backend server announces in its responses to requests, and
	// rateLimit the limit that entries send with attempts.
	announced event.Announcement
	rateLimit float64
	// starts holds the times at which attempts were admitted, in order.
	starts []time.Time

	inTime, late, rejected int
	// decisions are the logged decisions.
	decisions []effect.Decision
	// rejectedLate counts the rejections after more than an eighth of the latency target
	// plus 10 ms.
	rejectedLate int
	next         uint64
	maxRunning   int
}

const simulationTarget = 500 * time.Millisecond

// newSimulation returns a simulation of a backend server with nine slots.
func newSimulation(c *qt.C) *simulation {
	set, err := rules.Parse(simulationRules)
	c.Assert(err, qt.IsNil)
	g := guard.New(guard.Config{Node: self, Service: "ledger"})
	r := &simulation{
		c: c, guard: g, now: now, remaining: make(map[uint64]time.Duration), admitted: make(map[uint64]time.Time), waitEnds: make(map[uint64]time.Time),
		began: make(map[uint64]time.Time), class: make(map[uint64]int), work: map[int]time.Duration{0: 200 * time.Millisecond},
		slow: func(time.Time) int { return 100 },
	}
	r.run(g.SetRules(now, set, nil))
	return r
}

// checkHealth passes the result of a health check to the guard.
func (r *simulation) checkHealth(coldLeft time.Duration) {
	r.run(r.guard.HealthChecked(event.HealthChecked{
		At: r.now, Incarnation: "one", ColdLeft: coldLeft, ServerLoad: &event.ServerLoad{Busy: len(r.remaining), Slots: 9, Slow: r.slow(r.now)},
	}, nil))
}

// send passes a new attempt to the guard.
func (r *simulation) send(target time.Duration, class, priority int) {
	r.next++
	r.began[r.next], r.class[r.next] = r.now, class
	r.run(r.guard.Attempt(event.Attempt{
		At: r.now, Arrival: r.next, Idempotent: true, Priority: priority, Class: class, TimeLeft: 3 * time.Second, TargetLeft: target, RateLimit: r.rateLimit,
		Ticket: ticket.Ticket{Entry: ticket.NodeID{Instance: "e"}, Sequence: r.next, Guard: self, Service: "ledger"},
	}, guard.Admission{}, nil))
}

// run applies effects.
func (r *simulation) run(out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.Admit:
			delete(r.waitEnds, e.Arrival)
			r.remaining[e.Arrival] = r.work[r.class[e.Arrival]]
			if r.speedFixedAtStart {
				r.remaining[e.Arrival] *= time.Duration(r.slow(r.now)) / 100
			}
			r.admitted[e.Arrival] = r.now
			r.starts = append(r.starts, r.now)
			r.maxRunning = max(r.maxRunning, len(r.remaining))
		case effect.Decision:
			r.decisions = append(r.decisions, e)
		case effect.StartQueueTimer:
			r.waitEnds[e.Arrival] = r.now.Add(e.Timeout)
		case effect.RejectAttempt:
			delete(r.waitEnds, e.Arrival)
			r.rejected++
			if r.now.Sub(r.began[e.Arrival]) > simulationTarget/8+10*time.Millisecond {
				r.rejectedLate++
			}
		}
	}
}

// step advances the time by one millisecond.
func (r *simulation) step() {
	r.now = r.now.Add(time.Millisecond)
	r.progress()
	for a, end := range r.waitEnds {
		if !r.now.Before(end) {
			delete(r.waitEnds, a)
			r.run(r.guard.QueueTimedOut(event.QueueTimedOut{At: r.now, Arrival: a}, nil))
		}
	}
	if r.now.UnixMilli()%50 == 0 {
		r.run(r.guard.Tick(r.now, nil))
		r.checkHealth(0)
	}
}

// progress advances the running attempts by one millisecond.
func (r *simulation) progress() {
	for a, left := range r.remaining {
		if r.speedFixedAtStart {
			left -= time.Millisecond
		} else {
			left -= time.Millisecond * 100 / time.Duration(r.slow(r.now))
		}
		r.remaining[a] = left
		if left > 0 {
			continue
		}
		delete(r.remaining, a)
		if r.now.Sub(r.began[a]) <= simulationTarget {
			r.inTime++
		} else {
			r.late++
		}
		if r.announced != (event.Announcement{}) {
			r.run(r.guard.ServerAnnounced(event.ServerAnnounced{At: r.now, SentAt: r.admitted[a], Announcement: r.announced}, nil))
		}
		r.run(r.guard.ExchangeEnded(event.ExchangeEnded{At: r.now, Arrival: a, Status: 200, Latency: r.now.Sub(r.admitted[a])}, nil))
	}
}

const simulationRules = "service ledger slots=9 rate=11 # Test: a backend server\n"

// At twice the load that the backend server sustains, the guard must serve its capacity
// on time and reject the rest early.
func TestTwofoldOverloadIsServedOnTimeOrRejectedEarly(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	const seconds = 10
	for i := range seconds * 1000 {
		r.step()
		if i%14 == 0 {
			r.send(simulationTarget, 0, 3)
		}
	}
	// Seven slots of 200 ms serve 35 requests per second.
	c.Check(r.inTime >= seconds*35*8/10, qt.IsTrue, qt.Commentf("%+v", r))
	c.Check(r.late*20 <= r.inTime, qt.IsTrue, qt.Commentf("%d late, %d in time", r.late, r.inTime))
	c.Check(r.rejectedLate*10 <= r.rejected, qt.IsTrue, qt.Commentf("%d of %d", r.rejectedLate, r.rejected))
	c.Check(r.maxRunning <= 7, qt.IsTrue)
}

// Retries that arrive too late for their latency target must not displace requests that
// can still be on time.
func TestLateRetriesDoNotDisplaceTimelyRequests(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	fresh := 0
	for i := range 10_000 {
		r.step()
		switch i % 28 {
		case 0:
			fresh++
			r.send(simulationTarget, 0, 3)
		case 9, 18:
			r.send(1, 0, 3)
		}
	}
	c.Check(r.inTime >= fresh*9/10, qt.IsTrue, qt.Commentf("%d of %d", r.inTime, fresh))
}

// The backend server is four times as slow during a quarter of the time, in periods of
// 300 ms. At least 70 % of the requests must still be on time.
func TestPeriodicSlowdown(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.slow = slowQuarter
	r.checkHealth(0)
	for i := range 10_000 {
		r.step()
		if i%60 == 0 {
			r.send(simulationTarget, 0, 3)
		}
	}
	c.Check(r.inTime >= 166*7/10, qt.IsTrue, qt.Commentf("%d in time, %d late, %d rejected", r.inTime, r.late, r.rejected))
}

// slowQuarter returns the slowness of a backend server that is four times as slow during
// a quarter of the time.
func slowQuarter(now time.Time) int {
	if now.UnixMilli()%1200 < 300 {
		return 400
	}
	return 100
}

// The load is twice the capacity of a backend server that is slow during a quarter of
// the time, and an attempt that begins slow stays slow. The slots must go to attempts
// that can be on time: a guard that starts attempts only outside of slow periods serves
// three quarters of what it would without slow periods.
func TestSlotsStayAvailableInSlowPeriods(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.speedFixedAtStart, r.slow = true, slowQuarter
	r.checkHealth(0)
	for i := range 20_000 {
		r.step()
		if i%14 == 0 {
			r.send(simulationTarget, 0, 3)
		}
		if i%70 == 0 {
			r.send(1, 0, 3)
		}
	}
	const unslowed = 7 * 20_000 / 200
	c.Check(r.inTime >= unslowed*3/4*9/10, qt.IsTrue, qt.Commentf("%d in time, %d late, %d rejected", r.inTime, r.late, r.rejected))
}

// A guard must not let work wait for the end of a slowdown that is permanent.
func TestPermanentSlownessIsNotWaitedOut(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.speedFixedAtStart = true
	r.slow = func(at time.Time) int {
		if at.Before(now.Add(3 * time.Second)) {
			return 100
		}
		return 200
	}
	r.checkHealth(0)
	sent := 0
	for i := range 12_000 {
		r.step()
		if i%100 == 0 {
			sent++
			r.send(simulationTarget, 0, 3)
		}
	}
	c.Check(r.inTime >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d in time, %d late, %d rejected", r.inTime, sent, r.late, r.rejected))
}

// Nested calls of running requests are short, and must get slots while long requests
// use the others.
func TestShortRequestsGetSlots(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.work[1] = 40 * time.Millisecond
	r.checkHealth(0)
	calls := 0
	for i := range 10_000 {
		r.step()
		if i%14 == 0 {
			r.send(simulationTarget, 0, 3)
		}
		if i%50 == 25 {
			calls++
			before := r.rejected
			r.send(150*time.Millisecond, 1, 2)
			if i > 2000 {
				c.Assert(r.rejected, qt.Equals, before)
			}
		}
	}
	c.Check(calls, qt.Equals, 200)
	c.Check(r.maxRunning <= 9, qt.IsTrue)
}

// Under a load above its cold start rate, half of it late in any case, a cold backend
// server must receive at most the requests that it sustains, and at least 80 % of that
// number.
func TestColdStartUnderFullLoad(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	starts := 0
	for i := range 3000 {
		before := len(r.remaining)
		r.now = r.now.Add(time.Millisecond)
		if i%10 == 0 {
			r.checkHealth(3*time.Second - time.Duration(i)*time.Millisecond)
		}
		if i%20 == 0 {
			r.send(simulationTarget, 0, 3)
		}
		if i%20 == 10 {
			r.send(1, 0, 3)
		}
		starts += max(0, len(r.remaining)-before)
		r.progress()
	}
	c.Check(starts <= 3*11+3, qt.IsTrue, qt.Commentf("%d", starts))
	c.Check(starts >= 3*11*8/10, qt.IsTrue, qt.Commentf("%d", starts))
}

// If the backend server hangs, or is much slower than it reports, the elapsed time of
// the running requests must raise the slowness.
func TestHangingRequestsRaiseSlowness(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	for i := range 2000 {
		r.step()
		if i%100 == 0 {
			r.send(simulationTarget, 0, 3)
		}
	}
	c.Assert(r.guard.Load(r.now).Slow, qt.Equals, 100)
	r.work[0] = time.Minute
	for range 3 {
		r.send(simulationTarget, 0, 3)
	}
	for range 1500 {
		r.step()
	}
	c.Check(r.guard.Load(r.now).Slow >= 400, qt.IsTrue, qt.Commentf("%d", r.guard.Load(r.now).Slow))
}

// Nothing may be sent if the incarnation of the backend server differs from the one in
// the instance list.
func TestNothingIsSentToAnotherIncarnation(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.guard.SetInstance(listedIncarnation("i-1"))
	r.run(r.guard.HealthChecked(event.HealthChecked{At: r.now, Incarnation: "i-1", ServerLoad: &event.ServerLoad{Slots: 9, Slow: 100}}, nil))
	r.send(simulationTarget, 0, 3)
	c.Check(len(r.remaining), qt.Equals, 1)
	r.run(r.guard.HealthChecked(event.HealthChecked{At: r.now, Incarnation: "i-2", ServerLoad: &event.ServerLoad{Slots: 9, Slow: 100}}, nil))
	r.send(simulationTarget, 0, 3)
	c.Check(len(r.remaining), qt.Equals, 1)
	c.Check(r.rejected, qt.Equals, 1)
	r.guard.SetInstance(listedIncarnation("i-2"))
	r.send(simulationTarget, 0, 3)
	c.Check(len(r.remaining), qt.Equals, 2)
}

// listedIncarnation returns this instance's record with the given backend server
// incarnation.
func listedIncarnation(incarnation string) fleet.Instance {
	return fleet.Instance{Name: self.Instance, Service: "ledger", Incarnation: incarnation, Slots: 9}
}

// Health checks must become less frequent without load, and load reports on responses
// must replace some of them.
func TestHealthCheckInterval(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	count := func(seconds int, each func(i int)) int {
		checks := 0
		for i := range seconds * 20 {
			r.now = r.now.Add(50 * time.Millisecond)
			each(i)
			if r.guard.NeedsHealthCheck(r.now) {
				checks++
				r.checkHealth(0)
			}
		}
		return checks
	}
	c.Check(count(10, func(int) {}) <= 10*4+1, qt.IsTrue)
	busy := count(10, func(int) {
		r.send(simulationTarget, 0, 3)
		for a := range r.remaining {
			delete(r.remaining, a)
			r.run(r.guard.ExchangeEnded(event.ExchangeEnded{
				At: r.now, Arrival: a, Status: 200, Latency: time.Millisecond, ServerLoad: &event.ServerLoad{Slots: 9, Slow: 100},
			}, nil))
		}
	})
	c.Check(busy >= 10*9 && busy <= 10*11, qt.IsTrue, qt.Commentf("%d", busy))
}

// TestUrgentRequestsArePlacedInBurstOfUploads replays a burst of long requests of low rank that
// fills the queue of a backend server, beside a few short ones of the highest rank.
func TestUrgentRequestsArePlacedInBurstOfUploads(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	const upload, status = 1, 2
	r.work = map[int]time.Duration{upload: 150 * time.Millisecond, status: 50 * time.Millisecond}
	r.checkHealth(0)
	sent := 0
	for step := range 3000 {
		if step%5 == 0 {
			r.send(1500*time.Millisecond, upload, 3)
		}
		if whole, urgent := r.guard.Load(r.now).Wait, r.guard.LoadFor(r.now, 1).Wait; step == 1000 && urgent*4 > whole {
			c.Errorf("expected wait %v of an urgent request, %v behind the whole queue", urgent, whole)
		}
		if step%40 == 0 {
			r.send(150*time.Millisecond, status, 1)
			sent++
		}
		r.step()
	}
	served := 0
	for arrival := range r.admitted {
		if r.class[arrival] == status {
			served++
		}
	}
	c.Check(served >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d urgent requests were admitted", served, sent))
}
