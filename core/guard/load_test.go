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

// replay runs a guard before a model of a backend server in virtual time.
type replay struct {
	c     *qt.C
	guard *guard.Guard
	now   time.Time
	// ends holds the running attempts with the work that they still need at the usual speed.
	ends map[uint64]time.Duration
	// admitted holds the times at which they were let through.
	admitted map[uint64]time.Time
	// waits holds the times at which Wait effects run out.
	waits map[uint64]time.Time
	began map[uint64]time.Time
	// class is the class of each attempt, and work the time that each class takes.
	class map[uint64]int
	work  map[int]time.Duration
	slow  func(now time.Time) int
	// lasting tells that work stays as slow as it begins.
	lasting bool

	inTime, late, refused int
	// decisions are the lines of the log.
	decisions []effect.Decision
	// refusedLate counts the refusals after an eighth of the aim.
	refusedLate int
	next        uint64
	most        int
}

const replayAim = 500 * time.Millisecond

// newReplay returns a replay for a backend server of nine slots.
func newReplay(c *qt.C) *replay {
	set, err := rules.Parse(replayRule)
	c.Assert(err, qt.IsNil)
	g := guard.New(guard.Identity{Node: self, Service: "ledger"})
	r := &replay{
		c: c, guard: g, now: now, ends: make(map[uint64]time.Duration), admitted: make(map[uint64]time.Time), waits: make(map[uint64]time.Time),
		began: make(map[uint64]time.Time), class: make(map[uint64]int), work: map[int]time.Duration{0: 200 * time.Millisecond},
		slow: func(time.Time) int { return 100 },
	}
	r.run(g.Apply(now, set, nil))
	return r
}

// look lets the guard look at the backend server.
func (r *replay) look(coldLeft time.Duration) {
	r.run(r.guard.Looked(event.Looked{
		At: r.now, ColdLeft: coldLeft, Sight: &event.Sight{Busy: len(r.ends), Slots: 9, Slow: r.slow(r.now)},
	}, nil))
}

// send lets an attempt arrive.
func (r *replay) send(aim time.Duration, class, rank int) {
	r.next++
	r.began[r.next], r.class[r.next] = r.now, class
	r.run(r.guard.Attempt(event.Attempt{
		At: r.now, Arrival: r.next, Idempotent: true, Rank: rank, Class: class, Left: 3 * time.Second, Aim: aim,
		Ticket: ticket.Ticket{Entry: ticket.Node{Instance: "e"}, Sequence: r.next, Guard: self, Service: "ledger"},
	}, guard.Gate{}, nil))
}

// run carries out effects.
func (r *replay) run(out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.Admit:
			delete(r.waits, e.Arrival)
			r.ends[e.Arrival] = r.work[r.class[e.Arrival]]
			if r.lasting {
				r.ends[e.Arrival] *= time.Duration(r.slow(r.now)) / 100
			}
			r.admitted[e.Arrival] = r.now
			r.most = max(r.most, len(r.ends))
		case effect.Decision:
			r.decisions = append(r.decisions, e)
		case effect.Wait:
			r.waits[e.Arrival] = r.now.Add(e.Longest)
		case effect.Deny:
			delete(r.waits, e.Arrival)
			r.refused++
			if r.now.Sub(r.began[e.Arrival]) > replayAim/8+10*time.Millisecond {
				r.refusedLate++
			}
		}
	}
}

// step lets a millisecond pass.
func (r *replay) step() {
	r.now = r.now.Add(time.Millisecond)
	r.progress()
	for a, end := range r.waits {
		if !r.now.Before(end) {
			delete(r.waits, a)
			r.run(r.guard.Overdue(event.Overdue{At: r.now, Arrival: a}, nil))
		}
	}
	if r.now.UnixMilli()%50 == 0 {
		r.run(r.guard.Tick(r.now, nil))
		r.look(0)
	}
}

// progress lets running work go on for a millisecond.
func (r *replay) progress() {
	for a, left := range r.ends {
		if r.lasting {
			left -= time.Millisecond
		} else {
			left -= time.Millisecond * 100 / time.Duration(r.slow(r.now))
		}
		r.ends[a] = left
		if left > 0 {
			continue
		}
		delete(r.ends, a)
		if r.now.Sub(r.began[a]) <= replayAim {
			r.inTime++
		} else {
			r.late++
		}
		r.run(r.guard.Served(event.Served{At: r.now, Arrival: a, Status: 200, Spent: r.now.Sub(r.admitted[a])}, nil))
	}
}

const replayRule = "service ledger slots=9 rate=11 # Test: a backend server\n"

// Twice the load that a backend server bears is replayed: what it can do is answered
// in time, and the rest learns of it at once.
func TestTwiceTheLoadIsAnsweredInTimeOrRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.look(0)
	const seconds = 10
	for i := range seconds * 1000 {
		r.step()
		if i%14 == 0 {
			r.send(replayAim, 0, 3)
		}
	}
	// Seven slots of 200 ms do 35 a second.
	c.Check(r.inTime >= seconds*35*8/10, qt.IsTrue, qt.Commentf("%+v", r))
	c.Check(r.late*20 <= r.inTime, qt.IsTrue, qt.Commentf("%d late, %d in time", r.late, r.inTime))
	c.Check(r.refusedLate*10 <= r.refused, qt.IsTrue, qt.Commentf("%d of %d", r.refusedLate, r.refused))
	c.Check(r.most <= 7, qt.IsTrue)
}

// Callers who come back too late for their aim do not push out those who can still
// be served in time.
func TestLateCallersGiveWay(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.look(0)
	fresh := 0
	for i := range 10_000 {
		r.step()
		switch i % 28 {
		case 0:
			fresh++
			r.send(replayAim, 0, 3)
		case 9, 18:
			r.send(1, 0, 3)
		}
	}
	c.Check(r.inTime >= fresh*9/10, qt.IsTrue, qt.Commentf("%d of %d", r.inTime, fresh))
}

// The machine is four times as slow for a quarter of the time, in stretches.
func TestSlowStretches(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.slow = slowQuarter
	r.look(0)
	for i := range 10_000 {
		r.step()
		if i%60 == 0 {
			r.send(replayAim, 0, 3)
		}
	}
	c.Check(r.inTime >= 166*7/10, qt.IsTrue, qt.Commentf("%d in time, %d late, %d refused", r.inTime, r.late, r.refused))
}

// slowQuarter is the slowness of a machine that works four times as long for a quarter
// of the time.
func slowQuarter(now time.Time) int {
	if now.UnixMilli()%1200 < 300 {
		return 400
	}
	return 100
}

// Twice the work that fits comes to a machine that is slow for a quarter of the time,
// where work that begins slow stays slow. The slots are for work that can be in time: a
// machine that begins work outside of slow spells alone does three quarters of what one
// does that is never slow.
func TestSlotsAreNotGivenAwayInSlowSpells(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.lasting, r.slow = true, slowQuarter
	r.look(0)
	for i := range 20_000 {
		r.step()
		if i%14 == 0 {
			r.send(replayAim, 0, 3)
		}
		if i%70 == 0 {
			r.send(1, 0, 3)
		}
	}
	const unslowed = 7 * 20_000 / 200
	c.Check(r.inTime >= unslowed*3/4*9/10, qt.IsTrue, qt.Commentf("%d in time, %d late, %d refused", r.inTime, r.late, r.refused))
}

// A machine that turns slow for good is not waited for.
func TestLastingSlownessIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.lasting = true
	r.slow = func(at time.Time) int {
		if at.Before(now.Add(3 * time.Second)) {
			return 100
		}
		return 200
	}
	r.look(0)
	sent := 0
	for i := range 12_000 {
		r.step()
		if i%100 == 0 {
			sent++
			r.send(replayAim, 0, 3)
		}
	}
	c.Check(r.inTime >= sent*9/10, qt.IsTrue, qt.Commentf("%d of %d in time, %d late, %d refused", r.inTime, sent, r.late, r.refused))
}

// Calls of running requests are short, and find room when long work fills the rest.
func TestShortWorkFindsRoom(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.work[1] = 40 * time.Millisecond
	r.look(0)
	calls := 0
	for i := range 10_000 {
		r.step()
		if i%14 == 0 {
			r.send(replayAim, 0, 3)
		}
		if i%50 == 25 {
			calls++
			before := r.refused
			r.send(150*time.Millisecond, 1, 2)
			if i > 2000 {
				c.Assert(r.refused, qt.Equals, before)
			}
		}
	}
	c.Check(calls, qt.Equals, 200)
	c.Check(r.most <= 9, qt.IsTrue)
}

// A cold backend server gets no more than it bears, whoever comes, and what it gets is
// work that can be in time.
func TestColdStartUnderFullLoad(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	starts := 0
	for i := range 3000 {
		before := len(r.ends)
		r.now = r.now.Add(time.Millisecond)
		if i%10 == 0 {
			r.look(3*time.Second - time.Duration(i)*time.Millisecond)
		}
		if i%20 == 0 {
			r.send(replayAim, 0, 3)
		}
		if i%20 == 10 {
			r.send(1, 0, 3)
		}
		starts += max(0, len(r.ends)-before)
		r.progress()
	}
	c.Check(starts <= 3*11+3, qt.IsTrue, qt.Commentf("%d", starts))
	c.Check(starts >= 3*11*8/10, qt.IsTrue, qt.Commentf("%d", starts))
}

// What runs on a backend server that hangs or is much slower than it tells shows it.
func TestHangingWorkTellsOfASlowBackendServer(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.look(0)
	for i := range 2000 {
		r.step()
		if i%100 == 0 {
			r.send(replayAim, 0, 3)
		}
	}
	c.Assert(r.guard.Load(r.now).Slow, qt.Equals, 100)
	r.work[0] = time.Minute
	for range 3 {
		r.send(replayAim, 0, 3)
	}
	for range 1500 {
		r.step()
	}
	c.Check(r.guard.Load(r.now).Slow >= 400, qt.IsTrue, qt.Commentf("%d", r.guard.Load(r.now).Slow))
}

// Another life of the backend server than the listed one answers at the address.
func TestNothingIsSentToAnotherLife(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.guard.SetListed(listedLife("i-1"))
	r.run(r.guard.Looked(event.Looked{At: r.now, Life: "i-1", Sight: &event.Sight{Slots: 9, Slow: 100}}, nil))
	r.send(replayAim, 0, 3)
	c.Check(len(r.ends), qt.Equals, 1)
	r.run(r.guard.Looked(event.Looked{At: r.now, Life: "i-2", Sight: &event.Sight{Slots: 9, Slow: 100}}, nil))
	r.send(replayAim, 0, 3)
	c.Check(len(r.ends), qt.Equals, 1)
	c.Check(r.refused, qt.Equals, 1)
	r.guard.SetListed(listedLife("i-2"))
	r.send(replayAim, 0, 3)
	c.Check(len(r.ends), qt.Equals, 2)
}

// listedLife returns the entry of this instance with a life of its backend server.
func listedLife(life string) fleet.Instance {
	return fleet.Instance{Name: self.Instance, Service: "ledger", Life: life, Slots: 9}
}

// Looks get rare while no work comes, and answers that tell the load save some.
func TestLooksFollowTheWork(t *testing.T) {
	c := qt.New(t)
	r := newReplay(c)
	r.look(0)
	count := func(seconds int, each func(i int)) int {
		looks := 0
		for i := range seconds * 20 {
			r.now = r.now.Add(50 * time.Millisecond)
			each(i)
			if r.guard.WantsLook(r.now) {
				looks++
				r.look(0)
			}
		}
		return looks
	}
	c.Check(count(10, func(int) {}) <= 10*4+1, qt.IsTrue)
	busy := count(10, func(int) {
		r.send(replayAim, 0, 3)
		for a := range r.ends {
			delete(r.ends, a)
			r.run(r.guard.Served(event.Served{
				At: r.now, Arrival: a, Status: 200, Spent: time.Millisecond, Sight: &event.Sight{Slots: 9, Slow: 100},
			}, nil))
		}
	})
	c.Check(busy >= 10*9 && busy <= 10*11, qt.IsTrue, qt.Commentf("%d", busy))
}
