package entry

import (
	"cmp"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// attemptKind returns the log value for the kind of the latest attempt of c.
func attemptKind(c *call) string {
	switch {
	case c.attempts <= 1:
		return "first"
	case len(c.activeTickets) > 1:
		return "hedge"
	}
	return "again"
}

// logSelected logs the attempt t of c with the recent load reports of the guards of its
// service.
func (n *Entry) logSelected(now time.Time, c *call, t ticket.Ticket, out []effect.Effect) []effect.Effect {
	d := effect.Decision{
		Kind: effect.DecisionSelected, Name: c.name, Entry: t.Entry.Instance, Attempt: t.Sequence,
		Facts: []effect.Fact{
			{Key: "guard", Text: t.Guard.Instance},
			{Key: "service", Text: t.Service},
			{Key: "why", Text: attemptKind(c)},
			{Key: "rules", Value: int64(n.versions.Rules.Revision)},
			{Key: "fleet", Value: int64(n.versions.Fleet.Revision)},
			{Key: "aim_us", Value: c.targetTimeLeft(now).Microseconds()},
			{Key: "left_us", Value: c.deadline.Sub(now).Microseconds()},
		},
	}
	d.CandidateLoads = n.recentLoads(now, c)
	return append(out, d)
}

// recentLoads returns the recent load reports of the guards of c's service.
func (n *Entry) recentLoads(now time.Time, c *call) []effect.CandidateLoad {
	var seen []effect.CandidateLoad
	for _, p := range n.services[c.service] {
		age := now.Sub(p.reportedAt)
		if age > recentLoadAge {
			continue
		}
		seen = append(seen, effect.CandidateLoad{
			Guard: p.instance.Name, Busy: p.load.InFlight, Limit: p.load.Limit, Slow: p.load.Slow, Wait: p.load.Wait, Age: age,
		})
	}
	return seen
}

// recentLoadAge is the age up to which a load report counts as recent. Older ones are not
// logged with a decision and do not tell whether a request would miss its target.
const recentLoadAge = 100 * time.Millisecond

// logBroken logs an attempt of c that ended without a successful response.
func logBroken(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionBroken, Name: c.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence, Failed: true,
		Facts: []effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "verdict", Text: e.Verdict.String()},
			{Key: "reason", Text: cmp.Or(e.Reason, "none")},
			{Key: "status", Value: int64(e.Status)},
			{Key: "spent_us", Value: e.Latency.Microseconds()},
		},
	})
}

// logDone logs that the response of an attempt is relayed to the caller of c.
func logDone(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionDone, Name: c.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence,
		Failed: e.Status >= statusServerError,
		Facts: []effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "status", Value: int64(e.Status)},
			{Key: "attempts", Value: int64(c.attempts)},
			{Key: "waited_us", Value: c.waitedBefore.Microseconds()},
			{Key: "total_us", Value: e.At.Sub(c.arrivedAt).Microseconds()},
			{Key: "aim_us", Value: c.route.LatencyTarget.Microseconds()},
		},
	})
}

// logFailed logs the reply r that the entry itself sends to the caller of c.
func (n *Entry) logFailed(now time.Time, c *call, r effect.ReplyFromEntry, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionFailed, Name: c.name, Failed: true, CandidateLoads: n.recentLoads(now, c),
		Facts: []effect.Fact{
			{Key: "outcome", Text: r.Outcome.String()},
			{Key: "reason", Text: string(r.Reason)},
			{Key: "service", Text: c.service},
			{Key: "attempts", Value: int64(c.attempts)},
			{Key: "waited_us", Value: c.waitedBefore.Microseconds()},
			{Key: "total_us", Value: now.Sub(c.arrivedAt).Microseconds()},
			{Key: "takes_us", Value: n.typicalTimeOf(c).Microseconds()},
			{Key: "aim_us", Value: c.targetTimeLeft(now).Microseconds()},
			{Key: "retry_us", Value: r.RetryAfter.Microseconds()},
		},
	})
}
