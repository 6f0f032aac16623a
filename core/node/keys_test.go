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
	h := &harness{c: c, now: time.Unix(0, 0)}
	h.node = node.New(node.Config{Instance: "a", Incarnation: 1, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
	h.node.Start(event.Tick{At: h.now}, nil)
	h.read(event.Rules, 1, ruleText)
	h.readInstances(1, names...)
	return h
}

// read delivers a document that was read from the platform.
func (h *harness) read(d event.Document, revision uint64, text string) {
	h.node.Step(event.DocumentRead{At: h.now, Document: d, Revision: revision, Text: text}, nil)
}

// readInstances delivers an instance list with the given names.
func (h *harness) readInstances(revision uint64, names ...string) {
	var instances []fleet.Instance
	for i, name := range names {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		instances = append(instances, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: at, ControlAddr: at})
	}
	text, err := fleet.Format(instances)
	h.c.Assert(err, qt.IsNil)
	h.read(event.Fleet, revision, text)
}

// advance advances the time by d while the platform confirms both documents.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(500 * time.Millisecond)
		h.node.Step(event.Tick{At: h.now}, nil)
		for _, d := range []event.Document{event.Rules, event.Fleet} {
			h.node.Step(event.DocumentUnchanged{At: h.now, Document: d}, nil)
		}
	}
}

// attempt sends an attempt with a fixed key and returns the reason of its rejection, or "" if
// it is admitted.
func (h *harness) attempt(first bool) effect.Reason {
	h.sequence++
	out := h.node.Step(event.Attempt{
		At:       h.now,
		Arrival:  h.sequence,
		TimeLeft: time.Second,
		Key:      "k",
		FirstUse: first,
		Ticket: ticket.Ticket{
			Entry: ticket.NodeID{Instance: "b"}, Sequence: h.sequence,
			Guard: ticket.NodeID{Instance: "a", Incarnation: 1}, Service: "ledger",
		},
	}, nil)
	for _, e := range out {
		switch e := e.(type) {
		case effect.Admit:
			h.node.Step(event.ExchangeEnded{At: h.now, Arrival: e.Arrival, Status: 200}, nil)
			return ""
		case effect.RejectAttempt:
			return e.Reason
		}
	}
	h.c.Fatalf("no decision: %+v", out)
	return ""
}

func TestKeySettlesWhileNothingChanges(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	c.Assert(h.attempt(false), qt.Equals, effect.ReasonKey)
	h.advance(40 * time.Minute)
	c.Assert(h.attempt(false), qt.Equals, effect.Reason(""))
}

func TestFirstKeyAfterChangeOfOwner(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	c.Assert(h.attempt(true), qt.Equals, effect.ReasonKey)
	h.advance(5 * time.Minute)
	c.Assert(h.attempt(true), qt.Equals, effect.Reason(""))
}

func TestKeyIsNotSettledAfterMissedList(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	h.advance(20 * time.Minute)
	h.readInstances(3, "a")
	c.Assert(h.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(h.attempt(true), qt.Equals, effect.Reason(""))
}

func TestKeyIsNotSettledAfterLongPause(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	h.advance(20 * time.Minute)
	h.now = h.now.Add(5 * time.Minute)
	h.advance(time.Second)
	c.Assert(h.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(h.attempt(true), qt.Equals, effect.ReasonKey)
}

func TestKeyIsNotSettledWithoutPlatform(t *testing.T) {
	c := qt.New(t)
	h := newHarness(c, "a")
	h.advance(20 * time.Minute)
	for range 3 * 60 * 2 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.node.Step(event.Tick{At: h.now}, nil)
	}
	c.Assert(h.attempt(false), qt.Equals, effect.ReasonKey)
	c.Assert(h.attempt(true), qt.Equals, effect.ReasonKey)
}
