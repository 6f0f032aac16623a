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

// TestTicketOfRetriedAttempt asks after the first of several attempts: the
// entry that made it may have sent another one since.
func TestTicketOfRetriedAttempt(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	e := request("POST")
	e.Ticket = &ticket.Ticket{Sequence: 1, Guard: ticket.Node{Instance: "b", Incarnation: 1}, Service: "ledger"}
	a := find[effect.Ask](c, n.Request(e, nil))
	c.Assert(a.Void, qt.IsFalse)
	r := find[effect.Reply](c, n.Judged(event.Judged{At: now, ID: 1, Ticket: a.Ticket, Verdict: event.NotRun}, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}

// TestTicketAtNewEntry asks by a ticket at an entry that knows nothing yet.
func TestTicketAtNewEntry(t *testing.T) {
	c := qt.New(t)
	n := entry.New(entry.Identity{Node: ticket.Node{Instance: "a", Incarnation: 1}}, pick.NewAware())
	e := request("POST")
	e.Ticket = &ticket.Ticket{Sequence: 1, Guard: ticket.Node{Instance: "b", Incarnation: 1}, Service: "ledger"}
	r := find[effect.Reply](c, n.Request(e, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
	c.Assert(r.Ticket, qt.DeepEquals, e.Ticket)
}
