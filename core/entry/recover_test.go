package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/pick"
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
