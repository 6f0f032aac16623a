package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// Looked takes over what the backend server tells of itself. Where the rules tell
// no rate for a cold start it can only make the guard more careful: a server that
// calls itself warm does not end the ramp.
func (g *Guard) Looked(e event.Looked, out []effect.Effect) []effect.Effect {
	if e.Condition == event.Unreachable {
		out = g.TurnCold("no answer to a look", out)
		return g.grant(e.At, out)
	}
	g.down = false
	g.looked = e.At
	g.draining = e.Condition == event.Draining
	g.failing = e.Condition == event.Failing
	if e.Life != "" {
		g.life = e.Life
	}
	g.see(e.At, e.Sight)
	if g.draining {
		return g.refuseWaiting(effect.ReasonLeaving, out)
	}
	out = g.lookedCold(e, out)
	return g.grant(e.At, out)
}

const (
	// sightTime is the age up to which the load that rode on an answer is as good as a look.
	sightTime = 40 * time.Millisecond
	// coldTime is the longest time between two looks while work comes: only a look
	// tells of a cold start.
	coldTime = 100 * time.Millisecond
	// idleTime is the time without an attempt after which looks get rare, and idleLook
	// the time between two of them then.
	idleTime = time.Second
	idleLook = 250 * time.Millisecond
)

// WantsLook reports whether a look would tell the guard something that it needs.
func (g *Guard) WantsLook(now time.Time) bool {
	since := now.Sub(g.looked)
	switch {
	case !g.isPaced() || g.pace.IsCold(now):
		return true
	case now.Sub(g.worked) > idleTime:
		return since >= idleLook
	}
	return now.Sub(g.sighted) >= sightTime || since >= coldTime
}

// lookedCold takes over whether a look has found the backend server cold.
func (g *Guard) lookedCold(e event.Looked, out []effect.Effect) []effect.Effect {
	isCold := e.Condition == event.Cold || e.ColdLeft > 0
	if isCold && (!g.toldCold || !g.isCold(e.At)) {
		out = g.TurnCold("told by the backend server", out)
	}
	g.toldCold = isCold
	if !g.isPaced() {
		return out
	}
	if isCold {
		g.pace.Cold(e.At.Add(e.ColdLeft))
		return out
	}
	g.pace.Warm()
	if g.cold {
		g.cold = false
		g.spell.Reset(e.At)
		out = append(out, effect.Note{Kind: effect.KindWarm})
	}
	return out
}

// see takes over the load that the backend server has told.
func (g *Guard) see(at time.Time, s *event.Sight) {
	if s == nil {
		return
	}
	resized := s.Slots != g.sight.Slots
	g.sight, g.sighted = *s, at
	g.spell.Observe(at, s.Slow)
	g.foreign = max(0, s.Busy+s.Queued-len(g.busy))
	if resized {
		g.resize()
	}
}

// isAnother reports whether another life of a backend server than the one that is
// listed answers at the address, so that nothing may be sent there.
func (g *Guard) isAnother() bool {
	return g.listed.Life != "" && g.life != "" && g.listed.Life != g.life
}
