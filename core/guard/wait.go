package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/line"
	"bulrushlock/core/usual"
)

const (
	// lineShare is the number of waiting attempts for each slot. More could not be in
	// time whatever their order.
	lineShare = 2
	// lateShare is the share of its aim for which an attempt may wait that can no
	// longer be in time: it gets room that nobody else can use.
	lateShare = 0.125
	// spareShare is the share of its bound up to which a guard starts work in a slow
	// spell that is late in any case. Such work keeps its slot far beyond the spell.
	spareShare = 0.4
	// waitMargin is the factor on the expected time of work by which it has to fit
	// into the time that is left, as half of all work takes longer than expected.
	waitMargin = 1.25
	// endMargin is that factor for the end of the caller's time.
	endMargin = 1.0
	// shortRounding is the share of a slot from which one is kept for short work.
	shortRounding = 0.5
	// shortWeight is the weight of a new count of short work in its moving mean.
	shortWeight = 0.05
)

// takes returns the time that e is expected to take if it begins now.
func (g *Guard) takes(e event.Attempt) time.Duration {
	return time.Duration(float64(g.usually(e)) * g.stretch(e.At, g.slowness(e.At)))
}

// usually returns the time that e takes on a backend server that works as usual.
func (g *Guard) usually(e event.Attempt) time.Duration { return g.usual.Usually(e.Class, e.Aim) }

// stretch returns the factor on the time of work that begins now. A cold start lasts
// longer than the work, while a slow stretch may end within it.
func (g *Guard) stretch(now time.Time, slow int) float64 {
	if g.isPaced() && g.pace.IsCold(now) {
		return float64(max(slow, usualSlow)) / usualSlow
	}
	return usual.Stretch(slow)
}

// wait returns the time after which one more attempt is expected to begin.
func (g *Guard) wait(now time.Time) time.Duration {
	bound := g.bound()
	if bound == 0 {
		return 0
	}
	return g.waitBehind(now, g.line.Len(), bound)
}

// waitBehind returns the time after which an attempt is expected to begin that has
// others ahead of it while all of the bound run.
func (g *Guard) waitBehind(now time.Time, ahead, bound int) time.Duration {
	wait := g.usual.Mean(g.slowness(now)) * time.Duration(ahead+1) / time.Duration(bound)
	if g.running()+ahead < bound {
		wait = 0
	}
	if !g.isPaced() {
		return wait
	}
	return max(wait, g.pace.Wait(now, ahead))
}

// queue lets e wait until its answer would be late, or refuses it at once where it
// would be late in any case.
func (g *Guard) queue(e event.Attempt, out []effect.Effect) []effect.Effect {
	bound := g.bound()
	if bound == 0 {
		return g.refuse(e, effect.ReasonBusy, out)
	}
	takes, usually := g.takes(e), g.usually(e)
	if g.isHeld(e.At, e) {
		takes = g.outside(usually)
	}
	due := e.At.Add(e.Aim)
	fits := time.Duration(waitMargin * float64(takes))
	i := line.Item[uint64]{Value: e.Arrival, Rank: e.Rank, Due: due, Takes: usually, End: due.Add(-fits)}
	begins := e.At.Add(g.waitBehind(e.At, g.line.Ahead(e.Rank, due), bound))
	if begins.After(i.End) {
		i.End = e.At.Add(time.Duration(lateShare * float64(e.Aim)))
	}
	if last := e.At.Add(e.Left - time.Duration(endMargin*float64(takes))); i.End.After(last) {
		i.End = last
	}
	if !e.At.Before(i.End) || !g.line.Push(i) {
		return g.refuse(e, effect.ReasonBusy, out)
	}
	if !e.Idempotent {
		g.begin(e)
	}
	g.waiters[e.Arrival] = e
	return append(out, effect.Wait{Arrival: e.Arrival, Longest: i.End.Sub(e.At)})
}

// grantLine runs attempts of the line while there is room.
func (g *Guard) grantLine(at time.Time, out []effect.Effect) []effect.Effect {
	for _, arrival := range g.line.Late(at) {
		out = g.refuse(g.waiters[arrival], effect.ReasonBusy, out)
	}
	for {
		arrival, ok := g.line.Next(at, g.stretch(at, g.slowness(at)), func(arrival uint64) bool {
			e := g.waiters[arrival]
			return g.hasRoom(e) && !g.isHeld(at, e)
		})
		if !ok {
			return out
		}
		e := g.waiters[arrival]
		if !g.mayStart(at, g.isLate(at, e)) {
			return out
		}
		g.line.Remove(arrival)
		out = g.runWaiter(at, e, out)
	}
}

// isHeld reports whether e is to wait for the end of a slow spell although there is
// room. What is late in any case begins within the spell where nobody else is likely
// to want its slot. Calls are not held: a running request waits for them.
func (g *Guard) isHeld(now time.Time, e event.Attempt) bool {
	if e.Aim == 0 || e.Inner {
		return false
	}
	takes := g.outside(g.usually(e))
	if !g.spell.IsWorthWaiting(now, takes) {
		return false
	}
	left := e.Aim - now.Sub(e.At)
	isInTime := time.Duration(waitMargin*float64(takes)) < left
	return isInTime || float64(g.running()) >= spareShare*float64(g.bound())
}

// outside returns the time that work takes outside of slow spells which usually takes
// the time given.
func (g *Guard) outside(usually time.Duration) time.Duration {
	return time.Duration(float64(usually) * float64(max(g.spell.Base(), usualSlow)) / usualSlow)
}

// isLate reports whether e is late however fast the work goes.
func (g *Guard) isLate(now time.Time, e event.Attempt) bool {
	takes, ok := g.usual.Takes(e.Class, 0)
	return ok && e.Aim > 0 && now.Sub(e.At)+takes > e.Aim
}

// runWaiter runs an attempt that has waited.
func (g *Guard) runWaiter(at time.Time, e event.Attempt, out []effect.Effect) []effect.Effect {
	delete(g.waiters, e.Arrival)
	waited := at.Sub(e.At)
	e.Left -= waited
	e.At = at
	if e.Left <= 0 {
		return g.refuse(e, effect.ReasonDeadline, out)
	}
	return g.run(e, g.noteAdmitted(e, waited, out))
}

// countShort takes the present number of running attempts of short work into its mean.
func (g *Guard) countShort() {
	g.shorts += shortWeight * (float64(g.short) - g.shorts)
}

const (
	// usualSlow is the slowness of a backend server that works as usual, in percent.
	usualSlow = 100
	// dragLeast is the mean time that running work has taken already, in times of what
	// it usually takes in all, from which the backend server is slow whatever it tells.
	// At the usual speed it is a half, and about two within a slow stretch, which the
	// backend server tells itself.
	dragLeast = 3.0
	// mostSlow is the highest slowness that is told, in percent.
	mostSlow = 5000
	// failWeight is the weight of an exchange in the moving share of failures.
	failWeight = 0.1
	// failCost is the factor by which a backend server counts as slower that fails all
	// it is sent.
	failCost = 8
)

// slowness returns how long work takes now, in percent of the usual: by the backend
// server's own word, by how long what it runs has taken already, and by how much of
// it fails. It is 0 where nothing is known.
func (g *Guard) slowness(now time.Time) int {
	slow := float64(g.sight.Slow)
	if d := g.drag(now); d > dragLeast {
		slow = max(slow, usualSlow*d)
	}
	if g.failed > failLeast {
		slow = max(slow, usualSlow) * (1 + failCost*g.failed)
	}
	return int(min(slow, mostSlow))
}

// failLeast is the share of failures up to which they are taken for chance.
const failLeast = 0.2

// drag returns the mean time that running work has taken already, in times of what it
// usually takes in all.
func (g *Guard) drag(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, w := range g.busy {
		takes, ok := g.usual.Takes(w.class, 0)
		if !ok || takes <= 0 {
			continue
		}
		sum += float64(now.Sub(w.began)) / float64(takes)
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// countFailed takes the end of an exchange into the share of failures.
func (g *Guard) countFailed(e event.Served) {
	outcome := 0.0
	switch {
	case e.Failure == event.Cancelled:
		return
	case e.Failure != event.None, e.Status >= statusServerError:
		outcome = 1
	}
	g.failed += failWeight * (outcome - g.failed)
}
