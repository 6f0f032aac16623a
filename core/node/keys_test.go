package node_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
)

const ruleText = `
service ledger slots=4 # Asha: test
route POST /lines service=ledger idempotent=no # Asha: test
`

// harness drives one node step by step.
type harness struct {
	c        *qt.C
	node     *node.Node
	now      time.Time
	sequence uint64
}

// newHarness returns a node that has read the rules and an instance list with the given names.
func newHarness(c *qt.C, names ...string) *harness {
	b := &harness{c: c, now: time.Unix(0, 0)}
	b.node = node.New(node.Config{Instance: "a", Incarnation: 1, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
	b.node.Start(event.Tick{At: b.now}, nil)
	b.read(event.Rules, 1, ruleText)
	b.readInstances(1, names...)
	return b
}

// read delivers a document that was read from the platform.
func (b *harness) read(d event.Document, revision uint64, text string) {
	b.node.Step(event.DocumentRead{At: b.now, Document: d, Revision: revision, Text: text}, nil)
}

// readInstances delivers an instance list with the given names.
func (b *harness) readInstances(revision uint64, names ...string) {
	var instances []fleet.Instance
	for i, name := range names {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		instances = append(instances, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: at, ControlAddr: at})
	}
	text, err := fleet.Format(instances)
	b.c.Assert(err, qt.IsNil)
	b.read(event.Fleet, revision, text)
}

// advance advances the time by d while the platform confirms both documents.
func (b *harness) advance(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(500 * time.Millisecond)
		b.node.Step(event.Tick{At: b.now}, nil)
		for _, d := range []event.Document{event.Rules, event.Fleet} {
			b.node.Step(event.DocumentUnchanged{At: b.now, Document: d}, nil)
		}
	}
}

// attempt sends an attempt with a fixed key and returns the reason of its rejection, or "" if
// it is admitted.
func (b *harness) attempt(first bool) effect.Reason {
	b.sequence++
	out := b.node.Step(event.Attempt{
		At:       b.now,
		Arrival:  b.sequence,
		TimeLeft: time.Second,
		Key:      "k",
		FirstUse: first,
		Ticket: ticket.Ticket{
			Entry: ticket.NodeID{Instance: "b"}, Sequence: b.sequence,
			Guard: ticket.NodeID{Instance: "a", Incarnation: 1}, Service: "ledger",
		},
	}, nil)
	for _, e := range out {
		switch e := e.(type) {
		case effect.Admit:
			b.node.Step(event.ExchangeEnded{At: b.now, Arrival: e.Arrival, Status: 200}, nil)
			return ""
		case effect.RejectAttempt:
			return e.Reason
		}
	}
	b.c.Fatalf("no decision: %+v", out)
	return ""
}

func TestKeySettlesWhileNothingChanges(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "a")
	c.Assert(b.attempt(false), qt.Equals, effect.ReasonKey)
	b.advance(40 * time.Minute)
	c.Assert(b.attempt(false), qt.Equals, effect.Reason(""))
}

func TestFirstKeyAfterChangeOfOwner(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "a")
	c.Assert(b.attempt(true), qt.Equals, effect.ReasonKey)
	b.advance(5 * time.Minute)
	c.Assert(b.attempt(true), qt.Equals, effect.Reason(""))
}

func TestKeyIsNotSettledAfterMissedList(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "a")
	b.advance(20 * time.Minute)
	b.readInstances(3, "a")
	c.Assert(b.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(b.attempt(true), qt.Equals, effect.Reason(""))
}

func TestKeyIsNotSettledAfterLongPause(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "a")
	b.advance(20 * time.Minute)
	b.now = b.now.Add(5 * time.Minute)
	b.advance(time.Second)
	c.Assert(b.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(b.attempt(true), qt.Equals, effect.ReasonKey)
}

func TestKeyIsNotSettledWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	b := newHarness(c, "a")
	b.advance(20 * time.Minute)
	for range 3 * 60 * 2 {
		b.now = b.now.Add(500 * time.Millisecond)
		b.node.Step(event.Tick{At: b.now}, nil)
	}
	c.Assert(b.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(b.attempt(true), qt.Equals, effect.ReasonKey)
}
