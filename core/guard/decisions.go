package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// logAdmitted appends the decision to log for an attempt that is admitted after it has
// waited for the given time.
func (g *Guard) logAdmitted(e event.Attempt, waited time.Duration, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionAdmitted, Name: e.Name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence,
		Facts: append(g.facts(e, e.At), effect.Fact{Key: "waited_us", Value: waited.Microseconds()}),
	})
}

// logRejected appends the decision to log for an attempt that is rejected for reason r.
func (g *Guard) logRejected(e event.Attempt, r effect.Reason, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionRejected, Name: e.Name, Entry: e.Ticket.Entry.Instance, Attempt: e.Ticket.Sequence, Failed: true,
		Facts: append(g.facts(e, e.At), effect.Fact{Key: "reason", Text: string(r)}),
	})
}

// logServed appends the decision to log for the end of an exchange with the backend
// server.
func logServed(w runningAttempt, e event.ExchangeEnded, out []effect.Effect) []effect.Effect {
	return append(out, effect.Decision{
		Kind: effect.DecisionServed, Name: w.name, Entry: w.ticket.Entry.Instance, Attempt: w.ticket.Sequence,
		Failed: e.Failure != event.None && e.Failure != event.Cancelled || e.Status >= statusServerError,
		Facts: []effect.Fact{
			{Key: "failure", Text: e.Failure.String()},
			{Key: "status", Value: int64(e.Status)},
			{Key: "spent_us", Value: e.Latency.Microseconds()},
		},
	})
}

// milli is the number of thousandths in one.
const milli = 1000

// facts returns the inputs of the decision on e.
func (g *Guard) facts(e event.Attempt, now time.Time) []effect.Fact {
	facts := make([]effect.Fact, 0, 15)
	facts = append(facts,
		effect.Fact{Key: "busy", Value: int64(len(g.inFlight))},
		effect.Fact{Key: "foreign", Value: int64(g.foreign)},
		effect.Fact{Key: "bound", Value: int64(g.concurrencyLimit())},
		effect.Fact{Key: "waiting", Value: int64(g.deadlineQueue.Len() + g.priorityQueue.Len())},
		effect.Fact{Key: "slow", Value: int64(g.serverLoad.Slow)},
		effect.Fact{Key: "takes_us", Value: g.expectedTime(e).Microseconds()},
		effect.Fact{Key: "aim_us", Value: e.TargetLeft.Microseconds()},
		effect.Fact{Key: "left_us", Value: e.TimeLeft.Microseconds()},
	)
	if !g.serverLoadAt.IsZero() {
		facts = append(facts, effect.Fact{Key: "age_us", Value: now.Sub(g.serverLoadAt).Microseconds()})
	}
	if left := g.slowPeriod.Remaining(now); left > 0 {
		facts = append(facts, effect.Fact{Key: "spell_us", Value: left.Microseconds()})
	}
	if rate, ok := g.quota.Rate(); ok {
		facts = append(facts, effect.Fact{Key: "quota_milli", Value: int64(rate * milli)})
	}
	if e.Customer != "" {
		facts = append(facts, effect.Fact{Key: "customer", Text: e.Customer})
	}
	if g.isCold(now) {
		facts = append(facts, effect.Fact{Key: "cold", Value: 1})
	}
	return facts
}
