package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/span"
)

// freshTime is the age up to which a reported load is as good as one that is asked for.
const freshTime = 5 * time.Millisecond

// survey returns the guards that are to be asked for their load before c is sent:
// first those of the entry's own data centre, from a random one on. The guard of
// the same node needs no asking.
func (n *Entry) survey(now time.Time, random uint64, c *call) []fleet.Instance {
	peers := n.services[c.service]
	if n.identity.Ask == 0 || c.isKeyed() || len(peers) < 2 {
		return nil
	}
	var asked []fleet.Instance
	for _, near := range []bool{true, false} {
		for i := range peers {
			p := peers[(random+uint64(i))%uint64(len(peers))]
			if len(asked) == n.identity.Ask {
				return asked
			}
			if c.hasTried(p.instance.Name) {
				continue
			}
			if (p.instance.Centre == n.identity.Centre) != near || p.instance.Name == n.identity.Node.Instance || p.isLeaving(now) {
				continue
			}
			if now.Sub(p.reported) > freshTime {
				asked = append(asked, p.instance)
			}
		}
	}
	return asked
}

// Surveyed sends a request whose guards were asked for their load.
func (n *Entry) Surveyed(e event.Surveyed, out []effect.Effect) []effect.Effect {
	for _, l := range e.Loads {
		n.Loaded(l)
	}
	c, ok := n.calls[e.ID]
	if !ok || !c.asking {
		return out
	}
	c.asking = false
	if len(c.active) > 0 {
		return n.hedge(e.At, e.Random, c, out)
	}
	c.surveys++
	if n.cannotFit(e.At, e.Random, c) {
		if asked := n.survey(e.At, e.Random, c); len(asked) > 0 && c.surveys < mostSurveys {
			c.asking = true
			return append(out, effect.Survey{ID: c.id, Peers: asked})
		}
		if p := n.spare(e.At, c); p != nil {
			return n.send(e.At, e.Random, c, p, out)
		}
		return n.reply(e.At, c, effect.NotRun, effect.ReasonBusy, out)
	}
	return n.forward(e.At, e.Random, c, effect.ReasonServers, out)
}

// spareShare is the share of its limit up to which a backend server takes work that
// it is expected to answer late.
const spareShare = 0.5

// spare returns the peer that is best for c among those with so much room that c takes
// nobody's place there, or nil. A late answer is better than none, and a slow stretch
// may end before the work does.
func (n *Entry) spare(now time.Time, c *call) *peer {
	var best *peer
	for _, p := range n.services[c.service] {
		l := p.load
		free := l.Limit > 0 && l.Wait == 0 && float64(l.InFlight+p.sent) < spareShare*float64(l.Limit)
		if !free || l.Cold || l.Ill || c.hasTried(p.instance.Name) || p.isLeaving(now) || now.Sub(p.reported) > seenTime {
			continue
		}
		if best == nil || l.Slow < best.load.Slow || l.Slow == best.load.Slow && l.InFlight+p.sent < best.load.InFlight+best.sent {
			best = p
		}
	}
	return best
}

const (
	// mostSurveys is the number of times that guards are asked for one attempt.
	mostSurveys = 2
	// fitMargin is the factor on the expected time of a request by which it has to fit
	// into the time before its answer is due.
	fitMargin = 1.25
)

// cannotFit reports whether the guard that is best for c, by what guards have just
// told, has neither room nor the prospect of it before an answer would be late. Short
// work is let through, since guards keep room for it that they do not tell of.
func (n *Entry) cannotFit(now time.Time, random uint64, c *call) bool {
	p := n.choose(now, random, c)
	if p == nil || c.route.Aim == 0 || c.isInner() || n.usual.IsShort(c.class) || now.Sub(p.reported) > seenTime {
		return false
	}
	l := p.load
	if l.Wait == 0 && l.Limit > 0 {
		return false
	}
	takes, ok := n.usual.Takes(c.class, l.Slow)
	return ok && l.Wait+time.Duration(fitMargin*float64(takes)) > c.aimLeft(now)
}

// aimLeft returns the time in which an answer to c is still of full use, or 0
// where its rule names none. A time that has run out is shown as the shortest one.
func (c *call) aimLeft(now time.Time) time.Duration {
	if c.route.Aim == 0 {
		return 0
	}
	return max(c.route.Aim-c.waited-now.Sub(c.began), 1)
}

// waitedOf returns the time that the caller of c has waited already, which is known
// where its rule names an aim and the caller tells the time that it still waits. Calls
// of running requests have what is left of those, and calls are short.
func (n *Entry) waitedOf(c *call, e event.Request) time.Duration {
	if c.route.Aim == 0 || e.Call.Left == 0 || n.usual.IsShort(c.class) {
		return 0
	}
	s, ok := n.spans[c.class]
	if !ok {
		s = span.New(retryShare * (1 - retrySpread))
		n.spans[c.class] = s
	}
	return s.Waited(e.At, e.Call.Left)
}

// isInner reports whether a running request waits for c.
func (c *call) isInner() bool { return c.depth.Depth > 1 }

// usualOf returns the time that c takes on a backend server that works as usual.
func (n *Entry) usualOf(c *call) time.Duration { return n.usual.Usually(c.class, c.route.Aim) }

const (
	// retryShare is the share of the time that a caller still has after which it is
	// asked to come back at the latest, so that it can do so more than once.
	retryShare = 0.33
	// retrySpread is the part of that time over which callers are spread that were
	// turned away together.
	retrySpread = 0.5
	// soonLeast and soonMost bound the time after which a caller may come back to a
	// node that has no backend server to offer yet.
	soonLeast = 100 * time.Millisecond
	soonMost  = 400 * time.Millisecond
)

// retryAfter returns the time after which the caller of c may try again. At full
// load that is late, since room comes when the load has passed, and who comes back
// at once only takes it from others.
func (n *Entry) retryAfter(now time.Time, c *call, r effect.Reason) time.Duration {
	n.refusals++
	turn := float64(n.refusals*spreadStep%spreadSteps) / spreadSteps
	if r != effect.ReasonBusy && r != effect.ReasonShed && r != effect.ReasonDeadline {
		return soonLeast + time.Duration(turn*float64(soonMost-soonLeast))
	}
	left := max(c.deadlineLeft(now), 0)
	most := retryShare * float64(left)
	return time.Duration(most * (1 - retrySpread + retrySpread*turn))
}

// spreadStep and spreadSteps spread successive refusals evenly over a time.
const (
	spreadStep  = 61
	spreadSteps = 100
)

// deadlineLeft returns the time that the caller of c still waits.
func (c *call) deadlineLeft(now time.Time) time.Duration {
	if c.given == 0 {
		return c.deadline.Sub(now)
	}
	return c.given - now.Sub(c.began)
}
