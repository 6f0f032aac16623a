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

// newOther returns the views of an instance that has just heard of one that reads
// the platform before it.
func newOther(c *qt.C) *gossip.Gossip {
	for _, i := range instances {
		g := newGossip(c, i.Name, instances)
		hear(g, began.Add(time.Millisecond))
		if !g.Watches() {
			return g
		}
	}
	c.Fatal("every instance watches")
	return nil
}

// hear lets g hear of a reader that has just found its versions to be the newest.
func hear(g *gossip.Gossip, at time.Time) {
	v := g.Versions(at)
	v.Age, v.FleetAge = 0, 0
	g.Told(event.Told{At: at, Peer: "reader", Versions: v}, nil)
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
	count := 0
	for at := began; at.Before(began.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
		hear(g, at)
		_, out := g.Tick(event.Tick{At: at}, false, nil)
		for _, e := range out {
			if _, ok := e.(effect.Fetch); ok {
				count++
			}
		}
	}
	c.Assert(count, qt.Equals, 0)
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

// TestReaderOfAnOlderListReads lets a node come first in the order as the others go.
func TestReaderOfAnOlderListReads(t *testing.T) {
	c := qt.New(t)
	g := newOther(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	c.Assert(reads(g, 500*time.Millisecond, unchanged), qt.Equals, 0)
	read(g, began, event.Fleet, 2, "[]")
	c.Assert(reads(g, time.Second, unchanged) >= 2, qt.IsTrue)
}

// TestToldByStranger lets a peer that is not listed tell of a newer list: there is
// nobody to ask for it but the platform.
func TestToldByStranger(t *testing.T) {
	c := qt.New(t)
	g := newOther(c)
	unchanged := func(at time.Time, d event.Document) { g.Unchanged(event.Unchanged{At: at, Document: d}, nil) }
	g.Told(event.Told{At: began, Peer: "z", Versions: event.Versions{Fleet: view.Version{Revision: 2}}}, nil)
	c.Assert(reads(g, 1500*time.Millisecond, unchanged) >= 1, qt.IsTrue)
}

func TestNewTextIsPushedToDifferentPeers(t *testing.T) {
	c := qt.New(t)
	for random := range uint64(8) {
		g := newOther(c)
		e := event.Read{At: began, Document: event.Rules, Revision: 2, Text: ruleText + "# new\n", From: event.Source{Peer: "a"}}
		_, out := g.Read(e, random<<32, nil)
		told := map[string]bool{}
		for _, e := range out {
			if e, ok := e.(effect.Cast); ok {
				for _, p := range e.Peers {
					told[p.Name] = true
				}
			}
		}
		c.Assert(told, qt.HasLen, 4)
	}
}
