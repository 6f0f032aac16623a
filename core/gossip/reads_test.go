package gossip_test

import (
	"errors"
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

// instances are eight instances in one data centre.
var instances = instancesNamed("a", "b", "c", "d", "e", "f", "g", "h")

// instancesNamed returns instances with the given names.
func instancesNamed(names ...string) []fleet.Instance {
	var list []fleet.Instance
	for _, name := range names {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
		list = append(list, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: at, ControlAddr: at})
	}
	return list
}

// newGossip returns the views of the named instance after it has read both documents.
func newGossip(c *qt.C, name string, list []fleet.Instance) *gossip.Gossip {
	text, err := fleet.Format(list)
	c.Assert(err, qt.IsNil)
	g := gossip.New(name, "north")
	g.Start(startTime, nil)
	read(g, startTime, event.Rules, 1, ruleText)
	read(g, startTime, event.Fleet, 1, text)
	return g
}

// newNonReader returns the views of an instance that has just received the versions of a reader
// that precedes it in the reading order.
func newNonReader(c *qt.C) *gossip.Gossip {
	for _, i := range instances {
		g := newGossip(c, i.Name, instances)
		confirmFromReader(g, startTime.Add(time.Millisecond))
		if !g.IsReader() {
			return g
		}
	}
	c.Fatal("every instance is a reader")
	return nil
}

// confirmFromReader delivers a message in which a reader confirms the versions that g holds.
func confirmFromReader(g *gossip.Gossip, at time.Time) {
	v := g.Versions(at)
	v.Age, v.FleetAge = 0, 0
	v.RulesReader, v.FleetReader = 1, 1
	g.VersionsReceived(event.VersionsReceived{At: at, Peer: "reader", Versions: v}, nil)
}

var startTime = time.Unix(0, 0)

// read delivers a document that was read from the platform.
func read(g *gossip.Gossip, at time.Time, d event.Document, revision uint64, text string) {
	g.DocumentRead(event.DocumentRead{At: at, Document: d, Revision: revision, Text: text}, 0, nil)
}

// countReads returns the number of platform reads within the given time. It calls respond for
// each read at once.
func countReads(g *gossip.Gossip, during time.Duration, respond func(time.Time, event.Document)) int {
	count := 0
	for at := startTime; at.Before(startTime.Add(during)); at = at.Add(100 * time.Millisecond) {
		_, out := g.Tick(event.Tick{At: at}, false, nil)
		for _, e := range out {
			if f, ok := e.(effect.FetchDocument); ok && f.Peer == nil {
				count++
				respond(at, f.Document)
			}
		}
	}
	return count
}

func TestNonReaderDoesNotPoll(t *testing.T) {
	c := qt.New(t)
	g := newNonReader(c)
	count := 0
	for at := startTime; at.Before(startTime.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
		confirmFromReader(g, at)
		_, out := g.Tick(event.Tick{At: at}, false, nil)
		for _, e := range out {
			if _, ok := e.(effect.FetchDocument); ok {
				count++
			}
		}
	}
	c.Assert(count, qt.Equals, 0)
}

func TestInvalidRulesAreRereadWithBackoff(t *testing.T) {
	c := qt.New(t)
	g := gossip.New("a", "north")
	g.Start(startTime, nil)
	read(g, startTime, event.Rules, 1, ruleText)
	read(g, startTime, event.Fleet, 1, "[]")
	n := countReads(g, 10*time.Second, func(at time.Time, d event.Document) { read(g, at, d, 2, "nonsense") })
	c.Assert(n <= 50, qt.IsTrue, qt.Commentf("%d reads", n))
}

// TestNodeBecomesReaderWhenOthersLeave checks that a node starts to read the platform when the
// nodes before it leave the instance list.
func TestNodeBecomesReaderWhenOthersLeave(t *testing.T) {
	c := qt.New(t)
	g := newNonReader(c)
	unchanged := func(at time.Time, d event.Document) {
		g.DocumentUnchanged(event.DocumentUnchanged{At: at, Document: d}, nil)
	}
	c.Assert(countReads(g, 500*time.Millisecond, unchanged), qt.Equals, 0)
	read(g, startTime, event.Fleet, 2, "[]")
	c.Assert(countReads(g, time.Second, unchanged) >= 2, qt.IsTrue)
}

// TestUnlistedPeerTriggersPlatformRead checks that a newer version announced by an unlisted
// peer without an address is read from the platform, as there is no peer to fetch it from.
func TestUnlistedPeerTriggersPlatformRead(t *testing.T) {
	c := qt.New(t)
	g := newNonReader(c)
	unchanged := func(at time.Time, d event.Document) {
		g.DocumentUnchanged(event.DocumentUnchanged{At: at, Document: d}, nil)
	}
	g.VersionsReceived(event.VersionsReceived{At: startTime, Peer: "z", Versions: event.Versions{Fleet: view.Version{Revision: 2}}}, nil)
	c.Assert(countReads(g, 1500*time.Millisecond, unchanged) >= 1, qt.IsTrue)
}

func TestNewRulesArePushedToDifferentPeers(t *testing.T) {
	c := qt.New(t)
	for random := range uint64(8) {
		g := newNonReader(c)
		e := event.DocumentRead{At: startTime, Document: event.Rules, Revision: 2, Text: ruleText + "# new\n", From: event.DocumentSource{Peer: "a"}}
		_, out := g.DocumentRead(e, random<<32, nil)
		informed := map[string]bool{}
		for _, e := range out {
			if e, ok := e.(effect.BroadcastVersions); ok {
				for _, p := range e.Peers {
					informed[p.Name] = true
				}
			}
		}
		c.Assert(informed, qt.HasLen, 4)
	}
}

// An operator must see once that the platform is lost and once that it is back, each with what
// the node holds.
func TestLostAndRegainedPlatformIsLogged(t *testing.T) {
	c := qt.New(t)
	g := gossip.New("a", "north")
	read(g, startTime, event.Rules, 3, ruleText)
	var logged []effect.LogEvent
	record := func(out []effect.Effect) {
		for _, e := range out {
			if l, ok := e.(effect.LogEvent); ok && (l.Kind == effect.KindLost || l.Kind == effect.KindRegained || l.Kind == effect.KindUnread) {
				logged = append(logged, l)
			}
		}
	}
	cause := errors.New("refused")
	for _, from := range []string{"", "", "b"} {
		_, out := g.DocumentReadFailed(event.DocumentReadFailed{At: startTime.Add(time.Second), Document: event.Rules, From: event.DocumentSource{Peer: from}, Cause: cause}, 0, nil)
		record(out)
	}
	for range 2 {
		_, out := g.DocumentUnchanged(event.DocumentUnchanged{At: startTime.Add(2 * time.Second), Document: event.Rules}, nil)
		record(out)
	}
	c.Assert(logged, qt.DeepEquals, []effect.LogEvent{
		{Kind: effect.KindLost, Text: "rules from the platform: refused; holds revision 3, confirmed 1s ago"},
		{Kind: effect.KindUnread, Text: "rules from b: refused; holds revision 3, confirmed 1s ago"},
		{Kind: effect.KindRegained, Text: "rules from the platform; holds revision 3, confirmed 2s ago"},
	})
}
