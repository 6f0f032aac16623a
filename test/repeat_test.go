package test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClaimSentAgainWithItsTicketIsAnsweredAgain(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	a := s.send(0, claim("again", ""))
	c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	for i := range s.instances {
		b := s.send(i, claim("again", "").with("Bulrushlock-Ticket", a.ticket))
		c.Check(b.err, qt.IsNil)
		c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
		c.Check(b.body, qt.Equals, a.body)
		c.Check(b.ticket, qt.Equals, a.ticket)
	}
	c.Check(s.runsOf("again"), qt.Equals, 1)
}

func TestClaimAskedAfterWhileItRunsIsRunning(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	p, ticket, guard := s.running("asked", "2s")
	b := s.send(3-guard, claim("asked", "").with("Bulrushlock-Ticket", ticket))
	a := <-p.done
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
	c.Check(b.body, qt.Equals, a.body)
	c.Check(s.runsOf("asked"), qt.Equals, 1)
}

func TestClaimSentAgainWithOnlyItsKeyRunsOnce(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	first := claim("keyed", "").with("Idempotency-Key", "k-1").with("Bulrushlock-First", "yes")
	a := s.settled(first)
	for i := range s.instances {
		for _, r := range []request{first, claim("keyed", "").with("Idempotency-Key", "k-1")} {
			b := s.send(i, r)
			c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
			c.Check(b.body, qt.Equals, a.body)
		}
	}
	c.Check(s.runsOf("keyed"), qt.Equals, 1)
}

// settled sends r, marked as the first sending of its key, until the owner of the
// key is certain and the request runs. It must be told not-run until then.
func (s *system) settled(r request) reply {
	var a reply
	until(s.c, "owner of the key is certain", func() bool {
		a = s.send(0, r)
		if a.outcome != "run" {
			s.c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
		}
		return a.outcome == "run"
	})
	return a
}

// While a claim runs, another sending of its key must not be called not-run:
// the caller would take it for safe to send the claim without the key.
func TestClaimSentAgainWithItsKeyWhileItRunsIsNeverNotRun(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	keyed := claim("twice", "1s").with("Idempotency-Key", "k-2").with("Bulrushlock-First", "yes")
	p := s.begin(0, keyed)
	until(c, "claim runs", func() bool {
		select {
		case a := <-p.done:
			c.Assert(a.outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
			p = s.begin(0, keyed)
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
		b = s.send(i, keyed.with("Bulrushlock-Ticket", b.ticket))
		c.Check(b.outcome, qt.Not(qt.Equals), "not-run", qt.Commentf("with its ticket, entry %d: %+v", i, b))
	}
	a := <-p.done
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	c.Check(s.runsOf("twice"), qt.Equals, 1)
}

// A key that nobody has seen may have run under an owner that is gone.
func TestClaimWithAnUnknownKeyIsUnknownAndStaysSo(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	keyed := claim("unsure", "").with("Idempotency-Key", "k-3")
	a := s.send(0, keyed)
	c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
	c.Check(a.reason, qt.Equals, "key")
	b := s.send(0, keyed.with("Bulrushlock-Ticket", a.ticket))
	c.Check(b.outcome, qt.Equals, "unknown", qt.Commentf("%+v", b))
	c.Check(s.runsOf("unsure"), qt.Equals, 0)
}

// A guard keeps no record of idempotent attempts, so it cannot say that one did not run.
func TestLookupSentAgainWithItsTicketIsNeverNotRun(t *testing.T) {
	s := newSystem(t, options{})
	a := s.send(1, lookup("seen"))
	s.c.Assert(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	b := s.send(1, lookup("seen").with("Bulrushlock-Ticket", a.ticket))
	s.c.Check(b.outcome, qt.Equals, "run", qt.Commentf("%+v", b))
}

func TestClaimThatOutlivesItsDeadlineIsAnsweredByItsTicket(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warm()
	for i := range s.instances {
		id := fmt.Sprintf("late-%d", i)
		a := s.send(i, claim(id, "3s"))
		c.Assert(a.outcome, qt.Not(qt.Equals), "not-run", qt.Commentf("%+v", a))
		var b reply
		until(c, "the answer is kept", func() bool {
			b = s.send(2-i, claim(id, "").with("Bulrushlock-Ticket", a.ticket))
			return b.outcome == "run"
		})
		c.Check(b.body, qt.Contains, id)
		c.Check(s.runsOf(id), qt.Equals, 1)
	}
}
