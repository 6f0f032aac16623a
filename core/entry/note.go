package entry

import (
	"cmp"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// whyText names why an attempt is sent.
func whyText(c *call) string {
	switch {
	case c.attempts <= 1:
		return "first"
	case len(c.active) > 1:
		return "hedge"
	}
	return "again"
}

// notePlaced tells of the attempt t of c and the candidates that it was chosen from.
func (n *Entry) notePlaced(now time.Time, c *call, t ticket.Ticket, out []effect.Effect) []effect.Effect {
	d := effect.Decision{
		Kind: effect.DecisionPlaced, Name: c.name, Entry: t.Entry.Instance, Attempt: t.Sequence,
		Facts: []effect.Fact{
			{Key: "guard", Text: t.Guard.Instance},
			{Key: "service", Text: t.Service},
			{Key: "why", Text: whyText(c)},
			{Key: "rules", Value: int64(n.versions.Rules.Revision)},
			{Key: "fleet", Value: int64(n.versions.Fleet.Revision)},
			{Key: "aim_us", Value: c.aimLeft(now).Microseconds()},
			{Key: "left_us", Value: c.deadline.Sub(now).Microseconds()},
		},
	}
	d.Seen = n.seen(now, c)
	return append(out, d)
}

// seen returns what guards of the service of c have told lately.
func (n *Entry) seen(now time.Time, c *call) []effect.Seen {
	var seen []effect.Seen
	for _, p := range n.services[c.service] {
		age := now.Sub(p.reported)
		if age > seenTime {
			continue
		}
		seen = append(seen, effect.Seen{
			Guard: p.instance.Name, Busy: p.load.InFlight, Limit: p.load.Limit, Slow: p.load.Slow, Wait: p.load.Wait, Age: age,
		})
	}
	return seen
}

// seenTime is the age up to which a load is told among the inputs of a choice.
const seenTime = 100 * time.Millisecond

// noteBroken tells of an attempt of c that has ended without a good answer.
func noteBroken(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionBroken, Name: c.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence, Failed: true,
		Facts: []effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "verdict", Text: e.Verdict.String()},
			{Key: "reason", Text: cmp.Or(e.Reason, "none")},
			{Key: "status", Value: int64(e.Status)},
			{Key: "spent_us", Value: e.Spent.Microseconds()},
		},
	})
}

// noteDone tells that the answer of an attempt goes to the caller of c.
func noteDone(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionDone, Name: c.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence,
		Failed: e.Status >= statusServerError,
		Facts: []effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "status", Value: int64(e.Status)},
			{Key: "attempts", Value: int64(c.attempts)},
			{Key: "waited_us", Value: c.waited.Microseconds()},
			{Key: "total_us", Value: e.At.Sub(c.began).Microseconds()},
			{Key: "aim_us", Value: c.route.Aim.Microseconds()},
		},
	})
}

// noteFailed tells of the answer r that the entry itself gives the caller of c.
func (n *Entry) noteFailed(now time.Time, c *call, r effect.Reply, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionFailed, Name: c.name, Failed: true, Seen: n.seen(now, c),
		Facts: []effect.Fact{
			{Key: "outcome", Text: r.Outcome.String()},
			{Key: "reason", Text: string(r.Reason)},
			{Key: "service", Text: c.service},
			{Key: "attempts", Value: int64(c.attempts)},
			{Key: "waited_us", Value: c.waited.Microseconds()},
			{Key: "total_us", Value: now.Sub(c.began).Microseconds()},
			{Key: "takes_us", Value: n.usualOf(c).Microseconds()},
			{Key: "aim_us", Value: c.aimLeft(now).Microseconds()},
			{Key: "retry_us", Value: r.Retry.Microseconds()},
		},
	})
}
