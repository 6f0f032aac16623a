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
	s.warmUp()
	p, ticket, guard := s.startClaim("killed", "1s")
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
		a := s.send(entry, claim("killed", "").withHeader("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("entry %d: %+v", entry, a))
	}
	s.startNode(guard)
	s.waitReady(guard)
	for i := range s.instances {
		a := s.send(i, claim("killed", "").withHeader("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("guard replaced, entry %d: %+v", i, a))
	}
	c.Check(s.runsOf("killed"), qt.Equals, 1)
}

func TestClaimWhoseServerIsKilledIsUnknownAndRunsNowhereElse(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, ticket, guard := s.startClaim("crashed", "5s")
	s.instances[guard].serverProcess.kill()
	a := <-p.done
	c.Assert(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	again := s.send(0, claim("crashed", "").withHeader("Bulrushlock-Ticket", ticket))
	c.Check(again.outcome, qt.Equals, "unknown", qt.Commentf("%+v", again))
	c.Check(s.runsOf("crashed", 3-guard), qt.Equals, 0)
}

func TestTruncatedExportNeverLooksComplete(t *testing.T) {
	cuts := []struct {
		name string
		cut  func(s *system, guard int)
	}{
		{"server killed", func(s *system, guard int) { s.instances[guard].serverProcess.kill() }},
		{"guard killed", func(s *system, guard int) { s.instances[guard].node.kill() }},
		{"entry killed", func(s *system, _ int) { s.instances[0].node.kill() }},
		{"server crashes", func(s *system, guard int) {
			s.post(s.instances[guard].serverAddress, "/control?fault=crash", "")
		}},
	}
	for _, cut := range cuts {
		t.Run(cut.name, func(t *testing.T) {
			s := newSystem(t, options{})
			s.warmUp()
			p := s.sendAsync(0, export("cut", "size=6400000&pace=50ms"))
			guard := 0
			// Until the response header is sent, another instance may still serve the export.
			<-p.headerRead
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

func TestClaimAtSuspendedGuardRunsAtMostOnce(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, ticket, guard := s.startClaim("slept", "200ms")
	node := s.instances[guard].node
	node.signal(c, syscall.SIGSTOP)
	fresh := s.sendAsync(0, claim("late", ""))
	a, late := <-p.done, <-fresh.done
	node.signal(c, syscall.SIGCONT)
	c.Assert(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	c.Check(a.ticket, qt.Equals, ticket)
	again := s.send(0, claim("slept", "").withHeader("Bulrushlock-Ticket", ticket))
	c.Check(again.outcome == "run" || again.outcome == "unknown", qt.IsTrue, qt.Commentf("%+v", again))
	c.Check(s.runsOf("slept"), qt.Equals, 1)

	asked := s.send(0, claim("late", "").withHeader("Bulrushlock-Ticket", late.ticket))
	runs := s.runsOf("late")
	c.Check(runs <= 1, qt.IsTrue)
	if late.outcome == "not-run" || asked.outcome == "not-run" {
		c.Check(runs, qt.Equals, 0)
	}
	if late.outcome == "run" || asked.outcome == "run" {
		c.Check(runs, qt.Equals, 1)
	}
}

func TestClaimOfKilledEntryIsReplayedByAnotherEntry(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, ticket, _ := s.startClaim("orphan", "500ms")
	s.instances[0].node.kill()
	a := <-p.done
	c.Check(a.err, qt.IsNotNil)
	for _, i := range []int{1, 2} {
		a := s.send(i, claim("orphan", "").withHeader("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		c.Check(a.body, qt.Contains, `"id":"orphan"`)
	}
	c.Check(s.runsOf("orphan"), qt.Equals, 1)
}

func TestClaimOfSuspendedEntryIsAnsweredAfterResume(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, _, guard := s.startClaim("dozed", "300ms")
	s.instances[0].node.signal(c, syscall.SIGSTOP)
	waitUntil(c, "claim has ended", func() bool { return s.stats(guard).Busy == 0 })
	time.Sleep(2 * time.Second)
	s.instances[0].node.signal(c, syscall.SIGCONT)
	a := <-p.done
	c.Check(a.err, qt.IsNil)
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(a.body, qt.Contains, `"id":"dozed"`)
	c.Check(s.runsOf("dozed"), qt.Equals, 1)
}
