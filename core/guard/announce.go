package guard

import (
	"fmt"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// ServerAnnounced processes what the backend server announced in a response, before the response
// is passed on.
func (g *Guard) ServerAnnounced(e event.ServerAnnounced, out []effect.Effect) []effect.Effect {
	out = g.applyAnnouncement(e.At, e.SentAt, false, e.Announcement, out)
	if g.departure.announced {
		return g.rejectWaiting(effect.ReasonLeaving, out)
	}
	return g.startQueued(e.At, out)
}

// departure is the state of a backend server that may be about to end.
type departure struct {
	// announced is set from the announcement that it is leaving until another incarnation
	// responds.
	announced bool
	// inHealthChecks means that its responses to health checks have the announcement.
	inHealthChecks bool
	// incarnation is the incarnation that made the announcement, or empty if it is unknown.
	incarnation string
	// hasEnded means that the backend server has refused a connection since the announcement. One
	// that does not respond may only be slow.
	hasEnded bool
}

// update records a response of the given incarnation.
func (d *departure) update(isLeaving, isHealthCheck bool, incarnation string) {
	switch {
	case isLeaving:
		*d = departure{announced: true, inHealthChecks: d.inHealthChecks || isHealthCheck, incarnation: incarnation}
	case isHealthCheck && d.announced && d.incarnation == "" && !d.inHealthChecks && !d.hasEnded:
		// The guard has just started: this is the first health check.
		d.incarnation = incarnation
	case isHealthCheck && (d.inHealthChecks || d.hasEnded || incarnation != d.incarnation):
		// The address may have gone to another backend server, or it was started again.
		*d = departure{}
	}
}

// applyAnnouncement adopts what the backend server announces in the response to a request
// sent at sentAt. A limit that cannot be parsed leaves the one in force.
func (g *Guard) applyAnnouncement(at, sentAt time.Time, isHealthCheck bool, a event.Announcement, out []effect.Effect) []effect.Effect {
	if a.Malformed != "" {
		out = g.logAnnouncement(at, effect.KindInvalid, fmt.Sprintf("announcement of the backend server: %q", a.Malformed), out)
	}
	wasLeaving := g.departure.announced
	g.departure.update(a.Leaving, isHealthCheck, g.incarnation)
	if isLeaving := g.departure.announced; isLeaving != wasLeaving {
		out = append(out, effect.LogEvent{Kind: effect.KindEnding, Text: departureText(isLeaving)})
	}
	if a.IsLimitMalformed && !a.IsLimited {
		return out
	}
	before, wasLimited := g.quota.Rate()
	g.quota.Observe(at, sentAt, isHealthCheck, a.RateLimit, a.IsLimited)
	rate, isLimited := g.quota.Rate()
	switch {
	case wasLimited && !isLimited:
		return append(out, effect.LogEvent{Kind: effect.KindQuota, Text: "the backend server states no limit any more"})
	case isLimited && rate != before:
		return g.logAnnouncement(at, effect.KindQuota, fmt.Sprintf("the backend server takes %g requests per second", rate), out)
	}
	return out
}

// departureText returns the log text for the start or the end of an announced departure.
func departureText(isLeaving bool) string {
	if isLeaving {
		return "the backend server announces that it is leaving"
	}
	return "another incarnation of the backend server responds"
}

// announcementLogInterval is the minimum time between two log lines on announcements, which may
// change with each response.
const announcementLogInterval = time.Second

// logAnnouncement logs an announcement unless another one was logged shortly before.
func (g *Guard) logAnnouncement(at time.Time, k effect.Kind, text string, out []effect.Effect) []effect.Effect {
	if at.Sub(g.announcementLoggedAt) < announcementLogInterval {
		return out
	}
	g.announcementLoggedAt = at
	return append(out, effect.LogEvent{Kind: k, Text: text})
}
