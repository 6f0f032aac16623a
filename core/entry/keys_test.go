package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// A caller sends an idempotency key again. A rejection of this request does not show
// that the earlier one has not run, unless it comes from the owner of the key.
func TestReusedIdempotencyKey(t *testing.T) {
	for _, test := range []struct {
		name    string
		first   bool
		verdict event.Verdict
		reason  string
		want    effect.Outcome
	}{
		{"first, not sent", true, event.Unsent, "", effect.NotRun},
		{"again, not sent", false, event.Unsent, "", effect.Unknown},
		{"again, rejected for the address", false, event.NotRun, "address", effect.Unknown},
		{"again, rejected by the owner of the key", false, event.NotRun, "busy", effect.NotRun},
		{"again, the earlier request is running", false, event.Running, "key", effect.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			n := newEntry(c, "b", "c")
			e := request("POST")
			e.Key, e.FirstUse = "k", test.first
			f := findEffect[effect.Forward](c, n.Request(e, nil))
			r := findEffect[effect.ReplyFromEntry](c, n.AttemptEnded(attemptEnded(f, test.verdict, test.reason), nil))
			c.Assert(r.Outcome, qt.Equals, test.want)
		})
	}
}

func TestVoidedReplayOfKeyIsUnknown(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	e := request("POST")
	e.Key = "k"
	f := findEffect[effect.Forward](c, n.Request(e, nil))
	findEffect[effect.QueryOutcome](c, n.AttemptEnded(attemptEnded(f, event.Broken, ""), nil))
	r := findEffect[effect.ReplyFromEntry](c, n.OutcomeReported(event.OutcomeReported{At: now, ID: 1, Ticket: f.Ticket, Verdict: event.NotRun}, nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}
