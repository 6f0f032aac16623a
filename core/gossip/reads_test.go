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

// newGossip returns the views of an instance that does not watch the platform.
func newGossip(c *qt.C) *gossip.Gossip {
	var instances []fleet.Instance
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
		instances = append(instances, fleet.Instance{Name: name, Centre: "north", Service: "ledger", Nodes: at, Control: at})
	}
	text, err := fleet.Format(instances)
	c.Assert(err, qt.IsNil)
	for _, i := range instances {
		g := gossip.New(i.Name, i.Centre)
		g.Start(began, nil)
		read(g, began, event.Rules, 1, ruleText)
		read(g, began, event.Fleet, 1, text)
		if !g.Watches() {
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
	g := newGossip(c)
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
	g := newGossip(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	reads(g, 200*time.Millisecond, unchanged)
	read(g, began, event.Fleet, 2, "[]")
	c.Assert(reads(g, 100*time.Millisecond, unchanged), qt.Equals, 2)
}

// TestToldByStranger lets a peer that is not listed tell of a newer list.
func TestToldByStranger(t *testing.T) {
	c := qt.New(t)
	g := newGossip(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	reads(g, 200*time.Millisecond, unchanged)
	g.Told(event.Told{At: began, Peer: "z", Versions: event.Versions{Fleet: view.Version{Revision: 2}}}, nil)
	c.Assert(reads(g, 1500*time.Millisecond, unchanged), qt.Equals, 1)
}
