package gossip_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/gossip"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

func TestVersionIsFetchedOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := gossip.New("i0", "north")
	read(g, now, event.Rules, 1, ruleText)
	read(g, now, event.Fleet, 1, listText(c, 4))
	newer := event.Versions{Rules: view.Version{Revision: 2, Digest: 7}, Fleet: g.Versions(now).Fleet}
	receive := func(at time.Time, peer string) int {
		_, out := g.VersionsReceived(event.VersionsReceived{At: at, Peer: peer, Versions: newer}, nil)
		fetches := 0
		for _, e := range out {
			if _, ok := e.(effect.FetchDocument); ok {
				fetches++
			}
		}
		return fetches
	}
	c.Assert(receive(now, "i1"), qt.Equals, 1)
	c.Assert(receive(now, "i2"), qt.Equals, 0)
	g.DocumentReadFailed(event.DocumentReadFailed{At: now, Document: event.Rules, From: event.DocumentSource{Peer: "i1"}}, 0, nil)
	c.Assert(receive(now, "i3"), qt.Equals, 1)
	c.Assert(receive(now.Add(time.Second), "i2"), qt.Equals, 1)
}

// TestFetchFallsBackToSecondPeer checks that a version is fetched from a second peer if the
// first one that announced it fails to deliver it.
func TestFetchFallsBackToSecondPeer(t *testing.T) {
	c := qt.New(t)
	g := newGossip(c, "a", instances)
	newer := event.Versions{Rules: view.Version{Revision: 2, Digest: 7}, Fleet: g.Versions(startTime).Fleet}
	for _, peer := range []string{"b", "c"} {
		g.VersionsReceived(event.VersionsReceived{At: startTime, Peer: peer, Versions: newer}, nil)
	}
	g.DocumentReadFailed(event.DocumentReadFailed{At: startTime, Document: event.Rules, From: event.DocumentSource{Peer: "b"}}, 0, nil)
	_, out := g.Tick(event.Tick{At: startTime}, false, nil)
	var fetched []string
	for _, e := range out {
		if f, ok := e.(effect.FetchDocument); ok && f.Peer != nil {
			fetched = append(fetched, f.Peer.Name)
		}
	}
	c.Assert(fetched, qt.DeepEquals, []string{"c"})
}

func TestFetchFromUnlistedPeerUsesItsAddress(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := gossip.New("i0", "north")
	read(g, now, event.Rules, 1, ruleText)
	read(g, now, event.Fleet, 1, listText(c, 4))
	newer := event.Versions{Rules: view.Version{Revision: 2, Digest: 7}, Fleet: g.Versions(now).Fleet}
	control := netip.MustParseAddrPort("10.0.0.9:2")
	_, out := g.VersionsReceived(event.VersionsReceived{At: now, Peer: "new", Control: control, Versions: newer}, nil)
	c.Assert(out, qt.HasLen, 2)
	c.Assert(out[0].(effect.LogEvent).Kind, qt.Equals, effect.KindBehind)
	c.Assert(out[1].(effect.FetchDocument).Peer.ControlAddr, qt.Equals, control)
}

// TestInvalidRulesTakeCentreOutOfService guards against data centres that stay in service because the
// rules published beside them can't be used.
func TestInvalidRulesTakeCentreOutOfService(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	g := gossip.New("i0", "north")
	publish := func(edition, revision uint64, text string) gossip.Change {
		now = now.Add(time.Minute)
		change, _ := g.DocumentRead(event.DocumentRead{At: now, Document: event.Rules, Text: text, Edition: edition, Epoch: 1, Revision: revision}, 1, nil)
		return change
	}
	isOut := func() bool {
		s, ok := g.Rules()
		c.Assert(ok, qt.IsTrue)
		return s.IsOutOfService("", "north")
	}
	const out = "out centre=north   # operator: evacuation\n"
	tooLong := strings.Repeat("# nothing\n", rules.MaxTextBytes/10) + out
	publish(1, 10, ruleText)
	c.Check(isOut(), qt.IsFalse)
	c.Check(publish(2, 20, tooLong).Rules, qt.IsTrue)
	c.Check(isOut(), qt.IsTrue)
	c.Check(g.RulesAge(now), qt.Equals, time.Duration(0))
	c.Check(publish(2, 30, "nonsense\n"+out).Rules, qt.IsFalse)
	c.Check(isOut(), qt.IsTrue)
	publish(2, 40, "nonsense\n")
	c.Check(isOut(), qt.IsFalse)
	c.Check(g.Versions(now).Rules.Edition, qt.Equals, uint64(1))
	publish(3, 50, ruleText+"# third\n")
	c.Check(g.Versions(now).Rules.Edition, qt.Equals, uint64(3))
}

func TestInvalidRevisionConfirmsPreviousRules(t *testing.T) {
	tests := []struct {
		name    string
		invalid []uint64
		fresh   bool
	}{
		{name: "the next revision", invalid: []uint64{2}, fresh: true},
		{name: "two in a row", invalid: []uint64{2, 3}, fresh: true},
		{name: "read twice", invalid: []uint64{2, 2}, fresh: true},
		{name: "a revision may have been missed", invalid: []uint64{3}, fresh: false},
		{name: "missed after the first", invalid: []uint64{2, 4}, fresh: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			g := gossip.New("i0", "north")
			read(g, now, event.Rules, 1, ruleText)
			for _, revision := range tt.invalid {
				now = now.Add(time.Minute)
				read(g, now, event.Rules, revision, "nonsense")
			}
			c.Assert(g.RulesAge(now) == 0, qt.Equals, tt.fresh)
			v := g.Versions(now)
			c.Assert(v.Rules.Revision, qt.Equals, uint64(1))
		})
	}
}
