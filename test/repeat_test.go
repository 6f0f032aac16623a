package test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClaimResentWithTicketIsReplayed(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	a := s.send(0, claim("again", ""))
	c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	for i := range s.instances {
		b := s.send(i, claim("again", "").withHeader("Bulrushlock-Ticket", a.ticket))
		c.Check(b.err, qt.IsNil)
		c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
		c.Check(b.body, qt.Equals, a.body)
		c.Check(b.ticket, qt.Equals, a.ticket)
	}
	c.Check(s.runsOf("again"), qt.Equals, 1)
}

func TestClaimResentWhileItRunsGetsSameResponse(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, ticket, guard := s.startClaim("asked", "2s")
	b := s.send(3-guard, claim("asked", "").withHeader("Bulrushlock-Ticket", ticket))
	a := <-p.done
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
	c.Check(b.body, qt.Equals, a.body)
	c.Check(s.runsOf("asked"), qt.Equals, 1)
}

// A caller that asks for a claim that runs longer than it waits is told that it runs.
func TestClaimStillRunningIsReportedAsRunning(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	p, ticket, guard := s.startClaim("slow", "2s")
	b := s.send(3-guard, claim("slow", "").withHeader("Bulrushlock-Ticket", ticket).withHeader("Bulrushlock-Call", "0/300ms"))
	c.Check(b.outcome, qt.Equals, "running", qt.Commentf("%+v", b))
	c.Check(b.status, qt.Equals, 409)
	c.Check(b.ticket, qt.Equals, ticket)
	a := <-p.done
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(s.runsOf("slow"), qt.Equals, 1)
}

func TestClaimResentWithKeyAloneRunsOnce(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	first := claim("keyed", "").withHeader("Idempotency-Key", "k-1").withHeader("Bulrushlock-First", "yes")
	a := s.sendUntilRun(first)
	for i := range s.instances {
		for _, r := range []request{first, claim("keyed", "").withHeader("Idempotency-Key", "k-1")} {
			b := s.send(i, r)
			c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
			c.Check(b.body, qt.Equals, a.body)
		}
	}
	c.Check(s.runsOf("keyed"), qt.Equals, 1)
}

// sendUntilRun sends r, the first request with its key, until it runs. The owner of the
// key rejects it with not-run until it has owned the key for a whole membership window.
func (s *system) sendUntilRun(r request) response {
	var a response
	waitUntil(s.c, "the owner of the key runs the claim", func() bool {
		a = s.send(0, r)
		if a.outcome != "run" {
			s.c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
		}
		return a.outcome == "run"
	})
	return a
}

// TestClaimResentWithKeyWhileItRunsIsNeverNotRun guards against a second run of a claim:
// a caller that is told not-run while the claim runs may send it again without the key.
func TestClaimResentWithKeyWhileItRunsIsNeverNotRun(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	keyed := claim("twice", "1s").withHeader("Idempotency-Key", "k-2").withHeader("Bulrushlock-First", "yes")
	p := s.sendAsync(0, keyed)
	waitUntil(c, "claim runs", func() bool {
		select {
		case a := <-p.done:
			c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
			p = s.sendAsync(0, keyed)
		default:
		}
		return s.runsOf("twice") == 1
	})
	for i := range s.instances {
		b := s.send(i, keyed)
		c.Check(b.outcome, qt.Not(qt.Equals), "not-run", qt.Commentf("entry %d: %+v", i, b))
		if b.ticket == "" {
			continue
		}
		b = s.send(i, keyed.withHeader("Bulrushlock-Ticket", b.ticket))
		c.Check(b.outcome, qt.Not(qt.Equals), "not-run", qt.Commentf("with its ticket, entry %d: %+v", i, b))
	}
	a := <-p.done
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(s.runsOf("twice"), qt.Equals, 1)
}

// TestClaimWithUnseenKeyStaysUnknown guards against running a claim whose key no current
// owner has seen: an owner that no longer exists may have run it.
func TestClaimWithUnseenKeyStaysUnknown(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	keyed := claim("unsure", "").withHeader("Idempotency-Key", "k-3")
	a := s.send(0, keyed)
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	c.Check(a.reason, qt.Equals, "key")
	b := s.send(0, keyed.withHeader("Bulrushlock-Ticket", a.ticket))
	c.Check(b.outcome, qt.Equals, "unknown", qt.Commentf("%+v", b))
	c.Check(s.runsOf("unsure"), qt.Equals, 0)
}

// TestLookupResentWithTicketIsNeverNotRun covers idempotent requests: a guard keeps no
// record of their attempts and cannot tell that one did not run.
func TestLookupResentWithTicketIsNeverNotRun(t *testing.T) {
	s := newSystem(t, options{})
	a := s.send(1, lookup("seen"))
	s.c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	b := s.send(1, lookup("seen").withHeader("Bulrushlock-Ticket", a.ticket))
	s.c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
}

func TestClaimPastItsDeadlineIsReplayedByTicket(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	for i := range s.instances {
		id := fmt.Sprintf("late-%d", i)
		a := s.send(i, claim(id, "3s"))
		c.Assert(a.outcome, qt.Not(qt.Equals), "not-run", qt.Commentf("%+v", a))
		var b response
		waitUntil(c, "the response is stored", func() bool {
			b = s.send(2-i, claim(id, "").withHeader("Bulrushlock-Ticket", a.ticket))
			return b.outcome == "run"
		})
		c.Check(b.body, qt.Contains, id)
		c.Check(s.runsOf(id), qt.Equals, 1)
	}
}
