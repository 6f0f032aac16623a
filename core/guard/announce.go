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
	return g.startQueued(e.At, out)
}

// applyAnnouncement adopts the limit that the backend server states in the response to a request
// sent at sentAt. A limit that cannot be parsed changes nothing.
func (g *Guard) applyAnnouncement(at, sentAt time.Time, isHealthCheck bool, a event.Announcement, out []effect.Effect) []effect.Effect {
	if a.Malformed != "" {
		out = g.logAnnouncement(at, effect.KindInvalid, fmt.Sprintf("limit of the backend server: %q", a.Malformed), out)
		if !a.IsLimited {
			return out
		}
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
