package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// HealthChecked processes the result of a health check. Unless the rules set a rate for
// cold starts, a health check cannot end a cold start: a backend server that reports
// itself warm does not end the warm-up ramp.
func (g *Guard) HealthChecked(e event.HealthChecked, out []effect.Effect) []effect.Effect {
	if e.State == event.Unreachable {
		g.departure.hasEnded = g.departure.hasEnded || e.Refused
		out = g.MarkCold("no response to the health check", out)
		return g.startQueued(e.At, out)
	}
	g.down = false
	g.checkedAt = e.At
	g.draining = e.State == event.Draining
	g.reportsFailing = e.State == event.Failing
	if e.Incarnation != "" {
		if g.incarnation != "" && g.incarnation != e.Incarnation {
			g.quota.Reset()
		}
		g.incarnation = e.Incarnation
	}
	g.updateServerLoad(e.At, e.ServerLoad)
	out = g.applyAnnouncement(e.At, e.At, true, e.Announcement, out)
	if g.draining || g.departure.announced {
		return g.rejectWaiting(effect.ReasonLeaving, out)
	}
	out = g.applyColdReport(e, out)
	return g.startQueued(e.At, out)
}

const (
	// loadReportMaxAge is the age up to which a load report on a response replaces a
	// health check.
	loadReportMaxAge = 40 * time.Millisecond
	// maxCheckInterval is the longest time between two health checks under load. Only
	// a health check reports a cold start.
	maxCheckInterval = 100 * time.Millisecond
	// idleAfter is the time without an attempt after which health checks become less
	// frequent. idleCheckInterval is the time between two of them from then on.
	idleAfter         = time.Second
	idleCheckInterval = 250 * time.Millisecond
)

// NeedsHealthCheck reports whether a health check is due.
func (g *Guard) NeedsHealthCheck(now time.Time) bool {
	since := now.Sub(g.checkedAt)
	switch {
	case !g.isPaced() || g.pacer.IsCold(now):
		return true
	case now.Sub(g.lastAttemptAt) > idleAfter:
		return since >= idleCheckInterval
	}
	return now.Sub(g.serverLoadAt) >= loadReportMaxAge || since >= maxCheckInterval
}

// applyColdReport updates the cold state from what a health check reported.
func (g *Guard) applyColdReport(e event.HealthChecked, out []effect.Effect) []effect.Effect {
	isCold := e.State == event.Cold || e.ColdLeft > 0
	if isCold && (!g.reportedCold || !g.isCold(e.At)) {
		out = g.MarkCold("reported by the backend server", out)
	}
	g.reportedCold = isCold
	if !g.isPaced() {
		return out
	}
	if isCold {
		g.pacer.MarkCold(e.At.Add(e.ColdLeft))
		return out
	}
	g.pacer.MarkWarm()
	if g.cold {
		g.cold = false
		g.slowPeriod.Reset(e.At)
		out = append(out, effect.LogEvent{Kind: effect.KindWarm})
	}
	return out
}

// updateServerLoad stores a load report of the backend server.
func (g *Guard) updateServerLoad(at time.Time, s *event.ServerLoad) {
	if s == nil {
		return
	}
	resized := s.Slots != g.serverLoad.Slots
	g.serverLoad, g.serverLoadAt = *s, at
	g.slowPeriod.Observe(at, s.Slow)
	g.foreign = max(0, s.Busy+s.Queued-len(g.inFlight))
	if resized {
		g.resize()
	}
}

// incarnationMismatch reports whether the incarnation of the backend server is known to
// differ from the one in the instance list. If it does, nothing may be sent to the
// backend server.
func (g *Guard) incarnationMismatch() bool {
	return g.listed.Incarnation != "" && g.incarnation != "" && g.listed.Incarnation != g.incarnation
}
