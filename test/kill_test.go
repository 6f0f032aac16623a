package test

import (
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestClaimWhoseGuardIsKilledIsUnknownAndRunsOnce(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, ticket, guard := s.running("killed", "1s")
	s.instances[guard].node.kill()
	a := <-p.done
	c.Assert(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	c.Check(a.ticket, qt.Equals, ticket)

	for i := range 20 {
		a := s.send([]int{0, 3 - guard}[i%2], request{method: "GET", path: "/claims/x", id: "after"})
		c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	}
	for _, entry := range []int{0, 3 - guard} {
		a := s.send(entry, claim("killed", "").with("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("entry %d: %+v", entry, a))
	}
	s.startNode(guard)
	s.ready(guard)
	for i := range s.instances {
		a := s.send(i, claim("killed", "").with("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("guard replaced, entry %d: %+v", i, a))
	}
	c.Check(s.runsOf("killed"), qt.Equals, 1)
}

func TestClaimWhoseServerIsKilledIsUnknownAndRunsNowhereElse(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, ticket, guard := s.running("crashed", "5s")
	s.instances[guard].backend.kill()
	a := <-p.done
	c.Assert(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	again := s.send(0, claim("crashed", "").with("Bulrushlock-Ticket", ticket))
	c.Check(again.outcome, qt.Equals, "unknown", qt.Commentf("%+v", again))
	c.Check(s.runsOf("crashed", 3-guard), qt.Equals, 0)
}

func TestExportCutAnywhereNeverEndsAsWhole(t *testing.T) {
	cuts := []struct {
		name string
		cut  func(s *system, guard int)
	}{
		{"server killed", func(s *system, guard int) { s.instances[guard].backend.kill() }},
		{"guard killed", func(s *system, guard int) { s.instances[guard].node.kill() }},
		{"entry killed", func(s *system, _ int) { s.instances[0].node.kill() }},
		{"server cuts it", func(s *system, guard int) {
			s.post(s.instances[guard].server, "/control?fault=crash", "")
		}},
	}
	for _, cut := range cuts {
		t.Run(cut.name, func(t *testing.T) {
			s := newSystem(t, options{})
			s.warm()
			p := s.begin(0, export("cut", "size=6400000&pace=50ms"))
			guard := 0
			// Before its head is sent an export may still be served by another instance.
			<-p.head
			for _, i := range []int{1, 2} {
				if s.stats(i).Busy > 0 {
					guard = i
				}
			}
			s.c.Assert(guard, qt.Not(qt.Equals), 0)
			cut.cut(s, guard)
			a := <-p.done
			s.c.Check(a.err, qt.IsNotNil, qt.Commentf("%d %s, %d bytes", a.status, a.outcome, len(a.body)))
		})
	}
}

func TestClaimWhoseGuardSleepsRunsAtMostOnce(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, ticket, guard := s.running("slept", "200ms")
	node := s.instances[guard].node
	node.signal(c, syscall.SIGSTOP)
	fresh := s.begin(0, claim("late", ""))
	a, late := <-p.done, <-fresh.done
	node.signal(c, syscall.SIGCONT)
	c.Assert(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	c.Check(a.ticket, qt.Equals, ticket)
	again := s.send(0, claim("slept", "").with("Bulrushlock-Ticket", ticket))
	c.Check(again.outcome == "run" || again.outcome == "unknown", qt.IsTrue, qt.Commentf("%+v", again))
	c.Check(s.runsOf("slept"), qt.Equals, 1)

	asked := s.send(0, claim("late", "").with("Bulrushlock-Ticket", late.ticket))
	runs := s.runsOf("late")
	c.Check(runs <= 1, qt.IsTrue)
	if late.outcome == "not-run" || asked.outcome == "not-run" {
		c.Check(runs, qt.Equals, 0)
	}
	if late.outcome == "run" || asked.outcome == "run" {
		c.Check(runs, qt.Equals, 1)
	}
}

func TestClaimWhoseEntryIsGoneIsAnsweredByAnother(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, ticket, _ := s.running("orphan", "500ms")
	s.instances[0].node.kill()
	a := <-p.done
	c.Check(a.err, qt.IsNotNil)
	for _, i := range []int{1, 2} {
		a := s.send(i, claim("orphan", "").with("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		c.Check(a.body, qt.Contains, `"id":"orphan"`)
	}
	c.Check(s.runsOf("orphan"), qt.Equals, 1)
}

func TestClaimWhoseEntrySleepsIsAnsweredWhenItWakes(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, _, guard := s.running("dozed", "300ms")
	s.instances[0].node.signal(c, syscall.SIGSTOP)
	until(c, "claim has ended", func() bool { return s.stats(guard).Busy == 0 })
	time.Sleep(2 * time.Second)
	s.instances[0].node.signal(c, syscall.SIGCONT)
	a := <-p.done
	c.Check(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(a.body, qt.Contains, `"id":"dozed"`)
	c.Check(s.runsOf("dozed"), qt.Equals, 1)
}
