package gossip_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
	"bulrushlock/core/view"
)

const ruleText = "service ledger slots=4 # Asha: test\n"

// instances are eight instances of one data centre.
var instances = listed("a", "b", "c", "d", "e", "f", "g", "h")

// listed returns instances of the given names.
func listed(names ...string) []fleet.Instance {
	var list []fleet.Instance
	for _, name := range names {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
		list = append(list, fleet.Instance{Name: name, Centre: "north", Service: "ledger", Nodes: at, Control: at})
	}
	return list
}

// newGossip returns the views of one of the listed instances, which has read both documents.
func newGossip(c *qt.C, name string, list []fleet.Instance) *gossip.Gossip {
	text, err := fleet.Format(list)
	c.Assert(err, qt.IsNil)
	g := gossip.New(name, "north")
	g.Start(began, nil)
	read(g, began, event.Rules, 1, ruleText)
	read(g, began, event.Fleet, 1, text)
	return g
}

// newOther returns the views of an instance that does not watch the platform.
func newOther(c *qt.C) *gossip.Gossip {
	for _, i := range instances {
		if g := newGossip(c, i.Name, instances); !g.Watches() {
			return g
		}
	}
	c.Fatal("every instance watches")
	return nil
}

var began = time.Unix(0, 0)

// read lets g read a document from the platform.
func read(g *gossip.Gossip, at time.Time, d event.Document, revision uint64, text string) {
	g.Read(event.Read{At: at, Document: d, Revision: revision, Text: text}, 0, nil)
}

// reads returns the number of reads of the platform within a time, each of which
// is answered at once by answer.
func reads(g *gossip.Gossip, during time.Duration, answer func(time.Time, event.Document)) int {
	count := 0
	for at := began; at.Before(began.Add(during)); at = at.Add(100 * time.Millisecond) {
		_, out := g.Tick(event.Tick{At: at}, false, nil)
		for _, e := range out {
			if f, ok := e.(effect.Fetch); ok && f.Peer == nil {
				count++
				answer(at, f.Document)
			}
		}
	}
	return count
}

func TestOtherNodesReadSeldom(t *testing.T) {
	c := qt.New(t)
	g := newOther(c)
	n := reads(g, 10*time.Second, func(at time.Time, d event.Document) {
		g.Unchanged(event.Unchanged{At: at, Document: d}, nil)
	})
	c.Assert(n <= 4, qt.IsTrue, qt.Commentf("%d reads", n))
}

func TestInvalidTextIsReadSeldom(t *testing.T) {
	c := qt.New(t)
	g := gossip.New("a", "north")
	g.Start(began, nil)
	read(g, began, event.Rules, 1, ruleText)
	read(g, began, event.Fleet, 1, "[]")
	n := reads(g, 10*time.Second, func(at time.Time, d event.Document) { read(g, at, d, 2, "nonsense") })
	c.Assert(n <= 50, qt.IsTrue, qt.Commentf("%d reads", n))
}

// TestNewWatcherReadsAtOnce lets a node become a watcher as most others go.
func TestNewWatcherReadsAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newOther(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	reads(g, 200*time.Millisecond, unchanged)
	read(g, began, event.Fleet, 2, "[]")
	c.Assert(reads(g, 100*time.Millisecond, unchanged), qt.Equals, 2)
}

// TestToldByStranger lets a peer that is not listed tell of a newer list.
func TestToldByStranger(t *testing.T) {
	c := qt.New(t)
	g := newOther(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	reads(g, 200*time.Millisecond, unchanged)
	g.Told(event.Told{At: began, Peer: "z", Versions: event.Versions{Fleet: view.Version{Revision: 2}}}, nil)
	c.Assert(reads(g, 1500*time.Millisecond, unchanged), qt.Equals, 1)
}

func TestNewTextIsPushedToDifferentPeers(t *testing.T) {
	c := qt.New(t)
	for random := range uint64(8) {
		g := newOther(c)
		e := event.Read{At: began, Document: event.Rules, Revision: 2, Text: ruleText}
		_, out := g.Read(e, random<<32, nil)
		told := map[string]bool{}
		for _, e := range out {
			if e, ok := e.(effect.Tell); ok {
				told[e.Peer.Name] = true
			}
		}
		c.Assert(told, qt.HasLen, 4)
	}
}

func TestThreeNodesWatch(t *testing.T) {
	c := qt.New(t)
	for size := range 5 {
		list := listed("i0", "j0", "k0", "l0", "m0", "n0", "o0")[size:]
		count := 0
		for _, i := range list {
			if newGossip(c, i.Name, list).Watches() {
				count++
			}
		}
		c.Assert(count, qt.Equals, 3)
	}
}
