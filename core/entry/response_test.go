package entry_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

const ruleText = `
budget retry=100% hedge=100% # Asha: test
service ledger slots=3 # Asha: test
route GET /lines service=ledger idempotent=yes # Asha: test
route POST /lines service=ledger idempotent=no # Asha: test
`

var now = time.Unix(0, 0)

// newEntry returns an entry with the given instances of the service ledger.
func newEntry(c *qt.C, names ...string) *entry.Entry {
	set, err := rules.Parse(ruleText)
	c.Assert(err, qt.IsNil)
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "a", Incarnation: 1}, Centre: "north"}, pick.NewLoadAware())
	var instances []fleet.Instance
	for i, name := range names {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		instances = append(instances, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: at, ControlAddr: at})
	}
	n.SetRules(set, instances)
	return n
}

// findEffect returns the only effect of type T in out.
func findEffect[T any](c *qt.C, out []effect.Effect) T {
	var found []T
	for _, e := range out {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	c.Assert(found, qt.HasLen, 1, qt.Commentf("%+v", out))
	return found[0]
}

// hasEffect reports whether out contains an effect of type T.
func hasEffect[T any](out []effect.Effect) bool {
	for _, e := range out {
		if _, ok := e.(T); ok {
			return true
		}
	}
	return false
}

// request returns a request event with the given method.
func request(method string) event.Request {
	return event.Request{At: now, ID: 1, Method: method, Path: "/lines"}
}

// attemptEnded returns the event that ends the exchange of f.
func attemptEnded(f effect.Forward, v event.Verdict, reason string) event.AttemptEnded {
	return event.AttemptEnded{At: now, ID: 1, Ticket: f.Ticket, Verdict: v, Reason: reason, Guard: f.Ticket.Guard}
}

func TestBrokenThenRejectedIsUnknown(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	f := findEffect[effect.Forward](c, n.Request(request("GET"), nil))
	f = findEffect[effect.Forward](c, n.AttemptEnded(attemptEnded(f, event.Broken, ""), nil))
	r := findEffect[effect.ReplyFromEntry](c, n.AttemptEnded(attemptEnded(f, event.NotRun, "busy"), nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}

func TestFailedThenRejectedIsUnknown(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	f := findEffect[effect.Forward](c, n.Request(request("GET"), nil))
	failed := attemptEnded(f, event.Ran, "")
	failed.Status = 500
	f = findEffect[effect.Forward](c, n.AttemptEnded(failed, nil))
	r := findEffect[effect.ReplyFromEntry](c, n.AttemptEnded(attemptEnded(f, event.NotRun, "busy"), nil))
	c.Assert(r.Outcome, qt.Equals, effect.Unknown)
}

func TestRejectedTwiceIsNotRun(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b", "c")
	f := findEffect[effect.Forward](c, n.Request(request("GET"), nil))
	f = findEffect[effect.Forward](c, n.AttemptEnded(attemptEnded(f, event.NotRun, "busy"), nil))
	r := findEffect[effect.ReplyFromEntry](c, n.AttemptEnded(attemptEnded(f, event.NotRun, "busy"), nil))
	c.Assert(r.Outcome, qt.Equals, effect.NotRun)
}
