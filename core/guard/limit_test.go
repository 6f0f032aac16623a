package guard_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
	"bulrushlock/core/rules"
)

// statedLimit is the limit of the backend server in requests per second in these tests.
const statedLimit = 3.3

// mostStarts returns the largest number of attempts that began within four seconds, from a time
// on.
func (r *simulation) mostStarts(from time.Time) int {
	most := 0
	for i, first := range r.starts {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range r.starts[i:] {
			if at.Sub(first) < 4*time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// restart replaces the guard with one that knows nothing.
func (r *simulation) restart() {
	set, err := rules.Parse(simulationRules)
	r.c.Assert(err, qt.IsNil)
	r.guard = guard.New(guard.Config{Node: self, Service: "ledger"})
	r.waitEnds = make(map[uint64]time.Time)
	r.run(r.guard.SetRules(r.now, set, nil))
	r.checkHealth(0)
}

// At ten times the limit that the backend server states, it gets what it takes, what cannot
// start in time is rejected early.
func TestServerInNeedGetsNoMoreThanItsLimit(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	r.announced = event.Announcement{RateLimit: statedLimit, IsLimited: true}
	for i := range 30_000 {
		r.step()
		if i%30 == 0 {
			r.send(simulationTarget, 0, 3)
		}
	}
	// A backend server has three seconds until its limit binds.
	const limitedSeconds = 27
	limited := 0
	for _, at := range r.starts {
		if at.Sub(now) >= 3*time.Second {
			limited++
		}
	}
	most := r.mostStarts(now.Add(3 * time.Second))
	c.Check(float64(most) <= 1.5*4*statedLimit+5, qt.IsTrue, qt.Commentf("%d within four seconds", most))
	c.Check(float64(limited) >= 0.9*statedLimit*limitedSeconds, qt.IsTrue, qt.Commentf("%d in %d s", limited, limitedSeconds))
	c.Check(r.rejectedLate*10 <= r.rejected, qt.IsTrue, qt.Commentf("%d of %d", r.rejectedLate, r.rejected))
	c.Check(r.late*20 <= r.inTime, qt.IsTrue, qt.Commentf("%d late, %d in time", r.late, r.inTime))
}

// A restart of the guard must not let more requests through: the entries know the limit, although
// health checks do not state it.
func TestRestartedGuardKeepsTheLimitOfItsServer(t *testing.T) {
	const limit = 0.5
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	r.announced = event.Announcement{RateLimit: limit, IsLimited: true}
	r.rateLimit = limit
	for i := range 30_000 {
		r.step()
		if i%30 == 0 {
			r.send(simulationTarget, 0, 3)
		}
		if i%5000 == 4000 {
			r.restart()
		}
	}
	most := r.mostStarts(now.Add(3 * time.Second))
	c.Check(float64(most) <= 1.5*4*limit+5, qt.IsTrue, qt.Commentf("%d within four seconds", most))
}

// The load report must say how long one more request would wait, so that entries select another
// backend server.
func TestLimitIsPartOfExpectedWait(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	r.step()
	r.announced = event.Announcement{RateLimit: 1, IsLimited: true}
	for range 400 {
		r.step()
	}
	r.send(simulationTarget, 0, 3)
	for range 250 {
		r.step()
	}
	c.Assert(r.guard.Load(r.now).RateLimit, qt.Equals, 1.0)
	r.send(simulationTarget, 0, 3)
	c.Check(r.guard.Load(r.now).Wait > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", r.guard.Load(r.now).Wait))
}

// An attempt without a latency target waits only for what can start in its time.
func TestAttemptThatTheLimitDelaysTooLongIsRejectedAtOnce(t *testing.T) {
	c := qt.New(t)
	set, err := rules.Parse("service ledger slots=4 cold=4 warm=1 queue=300ms # Test: a queue\n")
	c.Assert(err, qt.IsNil)
	g := guard.New(guard.Config{Node: self, Centre: "north", Service: "ledger"})
	g.SetRules(now, set, nil)
	g.ServerAnnounced(event.ServerAnnounced{At: now, SentAt: now, Announcement: event.Announcement{RateLimit: 2, IsLimited: true}}, nil)
	arrivals := []event.Attempt{attempt(1, ""), attempt(2, "")}
	find[effect.Admit](c, g.Attempt(arrivals[0], guard.Admission{}, nil))
	c.Check(find[effect.RejectAttempt](c, g.Attempt(arrivals[1], guard.Admission{}, nil)).Reason, qt.Equals, effect.ReasonOverloaded)
}

// A malformed limit changes nothing, and is logged with its text, at most once a second.
func TestMalformedLimitIsLogged(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	announce := func(at time.Time, a event.Announcement) (texts []string) {
		for _, e := range g.ServerAnnounced(event.ServerAnnounced{At: at, SentAt: at, Announcement: a}, nil) {
			if l, ok := e.(effect.LogEvent); ok {
				texts = append(texts, string(l.Kind)+" "+l.Text)
			}
		}
		return texts
	}
	second := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	c.Check(announce(second(10), event.Announcement{RateLimit: 2, IsLimited: true}), qt.DeepEquals, []string{"quota the backend server takes 2 requests per second"})
	c.Check(announce(second(11), event.Announcement{Malformed: "two", IsLimitMalformed: true}), qt.DeepEquals, []string{`invalid announcement of the backend server: "two"`})
	c.Check(announce(second(11), event.Announcement{Malformed: "three", IsLimitMalformed: true}), qt.HasLen, 0)
	c.Check(g.Load(second(11)).RateLimit, qt.Equals, 2.0)
	c.Check(announce(second(12), event.Announcement{Malformed: "yes"}), qt.DeepEquals, []string{
		`invalid announcement of the backend server: "yes"`, "quota the backend server states no limit any more",
	})
	c.Check(g.Load(second(12)).RateLimit, qt.Equals, 0.0, qt.Commentf("a malformed departure keeps no limit"))
	announce(second(13), event.Announcement{RateLimit: 2, IsLimited: true})
	c.Check(strings.Join(announce(second(14), event.Announcement{}), ""), qt.Contains, "no limit any more")
	c.Check(g.Load(second(12)).RateLimit, qt.Equals, 0.0)
}

// The limit of a backend server does not hold for the one that replaces it.
func TestLimitEndsWithTheIncarnationThatStatedIt(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	check := func(incarnation string) { g.HealthChecked(event.HealthChecked{At: now, Incarnation: incarnation}, nil) }
	suggested := attempt(1, "")
	suggested.RateLimit = 5
	g.Attempt(suggested, owned, nil)
	check("one")
	c.Check(g.Load(now).RateLimit, qt.Equals, 5.0, qt.Commentf("the first health check names no other incarnation"))
	g.ServerAnnounced(event.ServerAnnounced{At: now, SentAt: now, Announcement: event.Announcement{RateLimit: 2, IsLimited: true}}, nil)
	check("one")
	c.Check(g.Load(now).RateLimit, qt.Equals, 2.0)
	check("two")
	c.Check(g.Load(now).RateLimit, qt.Equals, 0.0)
}

// An attempt for another instance tells nothing about this backend server.
func TestLimitOfAnotherInstanceIsIgnored(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	other := attempt(1, "")
	other.RateLimit, other.Ticket.Guard.Instance = 2, "other"
	find[effect.RejectAttempt](c, g.Attempt(other, owned, nil))
	c.Check(g.Load(now).RateLimit, qt.Equals, 0.0)
}
