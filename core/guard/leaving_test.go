package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
)

// A backend server that announces in a response that it is leaving gets nothing more, neither
// what arrives later nor what waits, also if its health check and the instance list say nothing.
func TestServerThatAnnouncesItsDepartureGetsNothingMore(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.checkHealth(0)
	for range 20 {
		r.send(simulationTarget, 0, 3)
	}
	c.Assert(len(r.waitEnds) > 0, qt.IsTrue)
	running := len(r.starts)
	r.run(r.guard.ServerAnnounced(event.ServerAnnounced{At: r.now, SentAt: r.now, Announcement: event.Announcement{Leaving: true}}, nil))
	c.Check(r.waitEnds, qt.HasLen, 0)
	load := r.guard.Load(r.now)
	c.Check(load.Leaving && load.Ending, qt.IsTrue)
	for range 1000 {
		r.step()
		r.send(simulationTarget, 0, 3)
	}
	c.Check(r.starts, qt.HasLen, running)
	c.Check(r.inTime+r.late, qt.Equals, running, qt.Commentf("what ran ends"))
}

func TestEndOfAnnouncedDeparture(t *testing.T) {
	check := func(g *guard.Guard, incarnation string, isLeaving bool) {
		g.HealthChecked(event.HealthChecked{At: now, Incarnation: incarnation, Announcement: event.Announcement{Leaving: isLeaving}}, nil)
	}
	respond := func(g *guard.Guard, isLeaving bool) {
		g.ServerAnnounced(event.ServerAnnounced{At: now, SentAt: now, Announcement: event.Announcement{Leaving: isLeaving}}, nil)
	}
	tests := []struct {
		name  string
		after func(g *guard.Guard)
		want  bool
	}{
		{"nothing", func(*guard.Guard) {}, true},
		{"late response without it", func(g *guard.Guard) { respond(g, false) }, true},
		{"health check without it", func(g *guard.Guard) { check(g, "one", false) }, true},
		{"health check of another incarnation", func(g *guard.Guard) { check(g, "two", false) }, false},
		{"other incarnation that is leaving too", func(g *guard.Guard) { check(g, "two", true) }, true},
		{"health checks that no longer have it", func(g *guard.Guard) {
			check(g, "one", true)
			check(g, "one", false)
		}, false},
		{"unreachable", func(g *guard.Guard) {
			g.HealthChecked(event.HealthChecked{At: now, State: event.Unreachable, Refused: true}, nil)
		}, true},
		{"health check without response", func(g *guard.Guard) {
			g.HealthChecked(event.HealthChecked{At: now, State: event.Unreachable}, nil)
			check(g, "one", false)
		}, true},
		{"started again as the same incarnation", func(g *guard.Guard) {
			g.HealthChecked(event.HealthChecked{At: now, State: event.Unreachable, Refused: true}, nil)
			check(g, "one", false)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGuard(c)
			check(g, "one", false)
			respond(g, true)
			c.Assert(g.Load(now).Ending, qt.IsTrue)
			tt.after(g)
			c.Check(g.Load(now).Ending, qt.Equals, tt.want)
			out := g.Attempt(attempt(1, ""), owned, nil)
			if tt.want {
				c.Check(find[effect.RejectAttempt](c, out).Reason, qt.Equals, effect.ReasonLeaving)
				return
			}
			find[effect.Admit](c, out)
		})
	}
}

// The first health check of a guard that has just started does not end a departure that an earlier
// response announced.
func TestFirstHealthCheckDoesNotEndAnnouncedDeparture(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	g.ServerAnnounced(event.ServerAnnounced{At: now, SentAt: now, Announcement: event.Announcement{Leaving: true}}, nil)
	g.HealthChecked(event.HealthChecked{At: now, Incarnation: "one"}, nil)
	c.Check(g.Load(now).Ending, qt.IsTrue)
	g.HealthChecked(event.HealthChecked{At: now, Incarnation: "two"}, nil)
	c.Check(g.Load(now).Ending, qt.IsFalse)
}

// Announced departures are logged once each, with their end.
func TestAnnouncedDepartureIsLogged(t *testing.T) {
	c := qt.New(t)
	g := newGuard(c)
	var texts []string
	for i, isLeaving := range []bool{false, true, true, false} {
		at := now.Add(time.Duration(i) * time.Millisecond)
		for _, e := range g.HealthChecked(event.HealthChecked{At: at, Announcement: event.Announcement{Leaving: isLeaving}}, nil) {
			if l, ok := e.(effect.LogEvent); ok && l.Kind == effect.KindEnding {
				texts = append(texts, l.Text)
			}
		}
	}
	c.Check(texts, qt.DeepEquals, []string{"the backend server announces that it is leaving", "another incarnation of the backend server responds"})
}
