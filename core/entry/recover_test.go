package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// A caller queries the first of several attempts. The entry that made it may have
// sent another attempt since, so the outcome is unknown even if the first has not run.
func TestTicketOfRetriedAttempt(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	e := request("POST")
	e.Ticket = &ticket.Ticket{Sequence: 1, Guard: ticket.NodeID{Instance: "b", Incarnation: 1}, Service: "ledger"}
	a := findEffect[effect.QueryOutcome](c, n.Request(e, nil))
	c.Assert(a.Void, qt.IsFalse)
	r := findEffect[effect.ReplyFromEntry](c, n.OutcomeReported(event.OutcomeReported{At: now, ID: 1, Ticket: a.Ticket, Verdict: event.NotRun}, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}

// A caller sends a ticket to an entry that has no rules yet. The entry must report
// the outcome as unknown.
func TestTicketAtNewEntry(t *testing.T) {
	c := qt.New(t)
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "a", Incarnation: 1}}, pick.NewLoadAware())
	e := request("POST")
	e.Ticket = &ticket.Ticket{Sequence: 1, Guard: ticket.NodeID{Instance: "b", Incarnation: 1}, Service: "ledger"}
	r := findEffect[effect.ReplyFromEntry](c, n.Request(e, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
	c.Assert(r.Ticket, qt.DeepEquals, e.Ticket)
}

// A claim whose time is over still asks its guard whether it ran. A guard that does not respond
// must not hold the caller up for long past that time.
func TestOutcomeQueryEndsSoonAfterDeadline(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	now := time.Unix(1000, 0)
	e := getRequest(1, "/lines", now, time.Second)
	e.Method = "POST"
	f := findEffect[effect.ProbeCandidates](c, n.Request(e, nil))
	loads := reportLoads(now, f.Peers, report.Load{Limit: 9})
	forward := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: now, ID: 1, Loads: loads, Random: 1}, nil))
	const grace = 250 * time.Millisecond
	deadline := now.Add(time.Second)
	query := findEffect[effect.QueryOutcome](c, n.AttemptEnded(event.AttemptEnded{At: deadline, ID: 1, Ticket: forward.Ticket, Verdict: event.Expired}, nil))
	c.Check(query.Timeout > 0 && query.Delay+query.Timeout < grace, qt.IsTrue, qt.Commentf("%+v", query))
	late := deadline.Add(query.Delay + query.Timeout)
	reply := findEffect[effect.ReplyFromEntry](c, n.OutcomeReported(event.OutcomeReported{At: late, ID: 1, Ticket: forward.Ticket, Verdict: event.Broken}, nil))
	c.Check(reply.Outcome, qt.Equals, effect.Unknown)
}
