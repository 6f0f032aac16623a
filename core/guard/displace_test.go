package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/guard"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// TestEachAttemptIsAnsweredAfterQueueShrinks fills the queue of a backend server whose rules then state
// fewer slots, so that more attempts wait than the queue may hold. Urgent attempts that arrive then are
// admitted or rejected, as each attempt is.
func TestEachAttemptIsAnsweredAfterQueueShrinks(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	r.work = map[int]time.Duration{0: 10 * time.Second}
	answered := make(map[uint64]bool)
	note := func(out []effect.Effect) {
		for _, e := range out {
			switch e := e.(type) {
			case effect.Admit:
				answered[e.Arrival] = true
			case effect.RejectAttempt:
				answered[e.Arrival] = true
			}
		}
	}
	send := func(arrival uint64, priority int) {
		note(r.guard.Attempt(event.Attempt{
			At: r.now, Arrival: arrival, Idempotent: true, Priority: priority, TimeLeft: 3 * time.Second, TargetLeft: 2 * time.Second,
			Ticket: ticket.Ticket{Entry: ticket.NodeID{Instance: "e"}, Sequence: arrival, Guard: self, Service: "ledger"},
		}, guard.Admission{}, nil))
	}
	r.checkHealth(0)
	const uploads, urgent = 60, 5
	for i := range uint64(uploads) {
		send(i+1, 3)
	}
	waiting := r.guard.Load(r.now).Queued
	fewer, err := rules.Parse("service ledger slots=2 rate=11 # Test: a backend server\n")
	c.Assert(err, qt.IsNil)
	note(r.guard.SetRules(r.now, fewer, nil))
	c.Assert(waiting > 6, qt.IsTrue, qt.Commentf("%d wait", waiting))
	for i := range uint64(urgent) {
		send(uploads+i+1, 1)
	}
	// All wait times end within the time that callers have left.
	r.now = r.now.Add(4 * time.Second)
	for i := range uint64(uploads + urgent) {
		note(r.guard.QueueTimedOut(event.QueueTimedOut{At: r.now, Arrival: i + 1}, nil))
	}
	for i := range uint64(uploads + urgent) {
		c.Check(answered[i+1], qt.IsTrue, qt.Commentf("attempt %d is neither admitted nor rejected", i+1))
	}
}

// TestLateAttemptDisplacesNone lets urgent attempts arrive that cannot begin before their latency target
// while the queue is full of attempts that can. Attempts that are late in any case get only what no
// other attempt can use, and do not take a place in the queue.
func TestLateAttemptDisplacesNone(t *testing.T) {
	c := qt.New(t)
	r := newSimulation(c)
	const upload, status = 1, 2
	r.work = map[int]time.Duration{upload: 1500 * time.Millisecond, status: 20 * time.Millisecond}
	r.checkHealth(0)
	for step := range 6000 {
		if step%50 == 0 {
			r.send(8*time.Second, upload, 3)
		}
		r.step()
	}
	for r.guard.Load(r.now).Queued < 18 {
		r.send(8*time.Second, upload, 3)
	}
	const urgent, target = 18, 60 * time.Millisecond
	wait := r.guard.LoadFor(r.now, 1).Wait
	c.Logf("an urgent attempt waits %v, one behind the whole queue %v", wait, r.guard.Load(r.now).Wait)
	c.Assert(wait > target, qt.IsTrue)
	first, before := r.next+1, r.next
	rejected := make(map[uint64]bool)
	for range urgent {
		r.next++
		r.began[r.next], r.class[r.next] = r.now, status
		out := r.guard.Attempt(event.Attempt{
			At: r.now, Arrival: r.next, Idempotent: true, Priority: 1, Class: status, TimeLeft: 3 * time.Second, TargetLeft: target,
			Ticket: ticket.Ticket{Entry: ticket.NodeID{Instance: "e"}, Sequence: r.next, Guard: self, Service: "ledger"},
		}, guard.Admission{}, nil)
		for _, e := range out {
			if e, ok := e.(effect.RejectAttempt); ok && e.Arrival <= before {
				rejected[e.Arrival] = true
			}
		}
		r.run(out)
	}
	for range 2000 {
		r.step()
	}
	served := 0
	for arrival := range r.admitted {
		if arrival >= first {
			served++
		}
	}
	c.Check(rejected, qt.HasLen, 0, qt.Commentf("uploads were displaced, %d of %d urgent attempts were admitted", served, urgent))
}
