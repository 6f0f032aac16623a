package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// TestRepeatedKey checks what a caller is told that sends a key again: a
// refusal of this sending says nothing about the one before.
func TestRepeatedKey(t *testing.T) {
	for _, test := range []struct {
		name    string
		first   bool
		verdict event.Verdict
		reason  string
		want    effect.Outcome
	}{
		{"first, not sent", true, event.Unsent, "", effect.NotRun},
		{"again, not sent", false, event.Unsent, "", effect.Unknown},
		{"again, refused for the address", false, event.NotRun, "address", effect.Unknown},
		{"again, refused by the owner of the key", false, event.NotRun, "busy", effect.NotRun},
		{"again, the earlier one runs", false, event.Running, "key", effect.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newEntry(c, "b", "c")
			e := request("POST")
			e.Key, e.First = "k", test.first
			f := find[effect.Forward](c, n.Request(e, nil))
			r := find[effect.Reply](c, n.Answered(answered(f, test.verdict, test.reason), nil))
			c.Assert(r.Outcome, qt.Equals, test.want)
		})
	}
}

func TestVoidedRepeatOfKeyIsUnknown(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	e := request("POST")
	e.Key = "k"
	f := find[effect.Forward](c, n.Request(e, nil))
	find[effect.Ask](c, n.Answered(answered(f, event.Broken, ""), nil))
	r := find[effect.Reply](c, n.Judged(event.Judged{At: now, ID: 1, Ticket: f.Ticket, Verdict: event.NotRun}, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}
