package entry

import (
	"cmp"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

// attemptKind returns the log value for the kind of the latest attempt of req.
func attemptKind(req *request) string {
	switch {
	case req.attempts <= 1:
		return "first"
	case len(req.activeTickets) > 1:
		return "hedge"
	}
	return "again"
}

// logSelected logs the attempt t of req with the recent load reports of the guards of its
// service.
func (n *Entry) logSelected(now time.Time, req *request, t ticket.Ticket, out []effect.Effect) []effect.Effect {
	d := effect.Decision{
		Kind: effect.DecisionSelected, Name: req.name, Entry: t.Entry.Instance, Attempt: t.Sequence,
		Facts: []effect.Fact{
			{Key: "guard", Text: t.Guard.Instance},
			{Key: "service", Text: t.Service},
			{Key: "why", Text: attemptKind(req)},
			{Key: "rules", Value: int64(n.versions.Rules.Revision)},
			{Key: "fleet", Value: int64(n.versions.Fleet.Revision)},
			{Key: "aim_us", Value: req.targetTimeLeft(now).Microseconds()},
			{Key: "left_us", Value: req.deadline.Sub(now).Microseconds()},
		},
	}
	d.Facts = appendCustomer(d.Facts, req)
	d.Facts = append(d.Facts, crossingFacts(req)...)
	d.CandidateLoads = n.recentLoads(now, req)
	return append(out, d)
}

// recentLoads returns the recent load reports of the guards of req's service.
func (n *Entry) recentLoads(now time.Time, req *request) []effect.CandidateLoad {
	var seen []effect.CandidateLoad
	for _, p := range n.services[req.service] {
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

// logBroken logs an attempt of req that ended without a successful response.
func logBroken(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionBroken, Name: req.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence, Failed: true,
		Facts: []effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "verdict", Text: e.Verdict.String()},
			{Key: "reason", Text: cmp.Or(e.Reason, "none")},
			{Key: "status", Value: int64(e.Status)},
			{Key: "spent_us", Value: e.Latency.Microseconds()},
		},
	})
}

// logDone logs that the response of an attempt is relayed to the caller of req.
func logDone(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionDone, Name: req.name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence,
		Failed: e.Status >= statusServerError,
		Facts: appendCustomer([]effect.Fact{
			{Key: "guard", Text: e.Ticket.Guard.Instance},
			{Key: "status", Value: int64(e.Status)},
			{Key: "attempts", Value: int64(req.attempts)},
			{Key: "waited_us", Value: req.waitedBefore.Microseconds()},
			{Key: "total_us", Value: e.At.Sub(req.arrivedAt).Microseconds()},
			{Key: "aim_us", Value: req.route.LatencyTarget.Microseconds()},
		}, req),
	})
}

// confirmedAge returns the age of a view in microseconds, or -1 if it was never confirmed.
func confirmedAge(age time.Duration) int64 {
	if age == view.UnknownAge {
		return -1
	}
	return age.Microseconds()
}

// appendRefusal appends to the facts of a decision how much of the limit of req's customer was used,
// by whose view and of which age, if req got no token.
func appendRefusal(facts []effect.Fact, req *request, r effect.Reason) []effect.Fact {
	if r != effect.ReasonAllotment && r != effect.ReasonOwners {
		return facts
	}
	return append(facts,
		effect.Fact{Key: "limit_mhz", Value: int64(1000 * req.refusal.Limit.Rate)},
		effect.Fact{Key: "burst", Value: int64(req.refusal.Limit.Burst)},
		effect.Fact{Key: "lent", Value: int64(req.refusal.Lent)},
		effect.Fact{Key: "owner", Text: cmp.Or(req.refusal.Owner, "none")},
		effect.Fact{Key: "owner_age_us", Value: req.refusal.Age.Microseconds()},
	)
}

// logFailed logs the reply r that the entry itself sends to the caller of req.
func (n *Entry) logFailed(now time.Time, req *request, r effect.ReplyFromEntry, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionFailed, Name: req.name, Failed: true, CandidateLoads: n.recentLoads(now, req),
		Facts: appendRefusal(appendCustomer([]effect.Fact{
			{Key: "outcome", Text: r.Outcome.String()},
			{Key: "reason", Text: string(r.Reason)},
			{Key: "service", Text: req.service},
			{Key: "rules", Value: int64(n.versions.Rules.Revision)},
			{Key: "rules_age_us", Value: confirmedAge(n.versions.Age)},
			{Key: "attempts", Value: int64(req.attempts)},
			{Key: "waited_us", Value: req.waitedBefore.Microseconds()},
			{Key: "total_us", Value: now.Sub(req.arrivedAt).Microseconds()},
			{Key: "takes_us", Value: n.typicalTimeOf(req).Microseconds()},
			{Key: "aim_us", Value: req.targetTimeLeft(now).Microseconds()},
			{Key: "retry_us", Value: r.RetryAfter.Microseconds()},
		}, req), req, r.Reason),
	})
}
