package dgram

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
)

// newTransport returns the Transport and the loop of a new node, and its instance list entry.
func newTransport(c *qt.C, name string) (*Transport, *loop.Loop, fleet.Instance) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	self := ticket.NodeID{Instance: name, Incarnation: 7}
	n := node.New(node.Config{Instance: name, Incarnation: 7, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
	g := New(l, Options{Node: self, Conn: conn, Logger: slog.New(slog.DiscardHandler)})
	c.Cleanup(func() {
		g.Close()
		l.Stop()
	})
	return g, l, fleet.Instance{Name: name, ControlAddr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
}

func TestProbeLoads(t *testing.T) {
	c := qt.New(t)
	g, _, _ := newTransport(c, "desk-1")
	_, _, first := newTransport(c, "ledger-1")
	_, _, second := newTransport(c, "ledger-2")
	gone := fleet.Instance{Name: "ledger-3", ControlAddr: netip.MustParseAddrPort("127.0.0.1:1")}
	loads := g.ProbeLoads(context.Background(), []fleet.Instance{first, second, gone}, 2)
	names := make(map[string]bool)
	for _, l := range loads {
		names[l.Guard.Instance] = true
		c.Check(l.Guard.Incarnation, qt.Equals, uint64(7))
		c.Check(l.Priority, qt.Equals, 2)
	}
	c.Check(names, qt.DeepEquals, map[string]bool{"ledger-1": true, "ledger-2": true})
	c.Check(g.probes, qt.HasLen, 0)
}

func TestBroadcastVersions(t *testing.T) {
	c := qt.New(t)
	g, _, _ := newTransport(c, "desk-1")
	_, l, peer := newTransport(c, "ledger-1")
	const rule = "service ledger slots=4   # Test: one service\n"
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: rule, Revision: 3})
	_, held := l.LoadReport()
	v := event.Versions{Rules: view.Version{Revision: 9, Digest: held.Rules.Digest}}
	for range 1000 {
		g.BroadcastVersions(effect.BroadcastVersions{Peers: []fleet.Instance{peer}, Versions: v})
		if _, now := l.LoadReport(); now.Rules.Revision == 9 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatal("the versions were not received")
}

// A node that starts while the platform is unreachable gets the versions from any node
// that probes its load.
func TestNodeWithoutRulesReceivesVersions(t *testing.T) {
	c := qt.New(t)
	g, l, _ := newTransport(c, "desk-1")
	const rule = "service ledger slots=4   # Test: one service\n"
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: rule, Revision: 3})
	fetched := make(chan effect.FetchDocument, 8)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	n := node.New(node.Config{Instance: "ledger-1", Incarnation: 7, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
	blank := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(e effect.Effect) {
		if f, ok := e.(effect.FetchDocument); ok && f.Peer != nil {
			select {
			case fetched <- f:
			default:
			}
		}
	}})
	defer blank.Stop()
	other := New(blank, Options{Node: ticket.NodeID{Instance: "ledger-1", Incarnation: 7}, Conn: conn, Logger: slog.New(slog.DiscardHandler)})
	defer other.Close()
	peer := fleet.Instance{Name: "ledger-1", ControlAddr: conn.LocalAddr().(*net.UDPAddr).AddrPort()}
	loads := g.ProbeLoads(context.Background(), []fleet.Instance{peer}, 0)
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Load.Blank, qt.IsTrue)
	f := <-fetched
	c.Check(f.Peer.Name, qt.Equals, "desk-1")
	c.Check(f.Peer.ControlAddr, qt.Equals, g.options.Conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// An encoded message decodes to itself, and truncated or extended datagrams are rejected.
func TestDatagramRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 1<<20)
		m := message{Kind: kind(rapid.IntRange(int(kindLoadRequest), int(kindTokens)).Draw(t, "kind"))}
		if m.Kind != kindVersions && m.Kind != kindRelayVersions {
			m.Number = rapid.Uint64().Draw(t, "number")
		}
		if m.Kind != kindLoadRequest {
			m.From = ticket.NodeID{Instance: rapid.StringMatching(`[a-z0-9-]{1,32}`).Draw(t, "name"), Incarnation: rapid.Uint64().Draw(t, "life")}
		}
		if m.Kind == kindLoad {
			m.Load = report.Load{
				InFlight: count.Draw(t, "busy"), Queued: count.Draw(t, "queued"), Limit: count.Draw(t, "limit"), Slow: count.Draw(t, "slow"),
				Wait: time.Duration(count.Draw(t, "wait")) * time.Microsecond,
				Cold: rapid.Bool().Draw(t, "cold"), Ill: rapid.Bool().Draw(t, "ill"), Leaving: rapid.Bool().Draw(t, "leaving"), Blank: rapid.Bool().Draw(t, "blank"),
			}
		}
		switch m.Kind {
		case kindAskTokens:
			m.Tokens = tokens{Customer: rapid.StringMatching(`[a-z0-9-]{1,32}`).Draw(t, "customer"), Shard: count.Draw(t, "shard")}
		case kindTokens:
			m.Tokens = tokens{IsOwner: rapid.Bool().Draw(t, "owner"), Wait: time.Duration(count.Draw(t, "wait")) * time.Microsecond}
		}
		if m.Kind == kindAskTokens || m.Kind == kindTokens {
			m.Tokens.Count, m.Tokens.Centres = count.Draw(t, "count"), count.Draw(t, "centres")
		}
		if m.Kind == kindVersions || m.Kind == kindRelayVersions {
			m.Versions.Rules = view.Version{Revision: rapid.Uint64().Draw(t, "rules"), Digest: rapid.Uint64().Draw(t, "digest")}
			m.Versions.Fleet = view.Version{Revision: rapid.Uint64().Draw(t, "fleet"), Digest: rapid.Uint64().Draw(t, "fleet digest")}
			m.Versions.Rules.Edition = rapid.Uint64().Draw(t, "edition")
			m.Versions.Rules.Epoch = rapid.Uint64().Draw(t, "rules epoch")
			m.Versions.Fleet.Epoch = rapid.Uint64().Draw(t, "fleet epoch")
			m.Versions.Age = time.Duration(count.Draw(t, "age"))
			m.Versions.FleetAge = time.Duration(count.Draw(t, "fleet age"))
			m.Versions.RulesReader = rapid.Uint32().Draw(t, "rules reader")
			m.Versions.FleetReader = rapid.Uint32().Draw(t, "fleet reader")
		}
		b := m.append(nil)
		got, err := parse(b)
		if err != nil || got != m {
			t.Fatalf("%+v, %v", got, err)
		}
		for cut := range b {
			if _, err := parse(b[:cut]); err == nil {
				t.Fatalf("a datagram cut to %d of %d bytes was parsed", cut, len(b))
			}
		}
		var fault *FormatError
		if _, err := parse(append(b, 0)); !errors.As(err, &fault) {
			t.Fatal("a datagram with a trailing byte was parsed")
		}
	})
}

// FuzzParse parses arbitrary bytes.
func FuzzParse(f *testing.F) {
	f.Add(message{Kind: kindLoadRequest, Number: 1}.append(nil))
	f.Add([]byte{formatVersion, byte(kindVersions)})
	f.Add(message{Kind: kindAskTokens, Number: 1, Tokens: tokens{Customer: "acme", Count: 1}}.append(nil))
	f.Add(message{Kind: kindTokens, Number: 1, Tokens: tokens{Count: 1, IsOwner: true}}.append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := parse(b)
		if err == nil && m.Kind == 0 {
			t.Fatal("no kind")
		}
	})
}

func TestProbeWaitsForEachGuardThatWasAsked(t *testing.T) {
	c := qt.New(t)
	p := &loadProbe{pending: []string{"ledger-1", "ledger-2"}, done: make(chan struct{})}
	for _, name := range []string{"ledger-1", "ledger-1", "ledger-9"} {
		p.received(event.LoadReported{Guard: ticket.NodeID{Instance: name}})
	}
	c.Check(p.loads, qt.HasLen, 1)
	select {
	case <-p.done:
		c.Fatal("the probe ended before the second guard has responded")
	default:
	}
	p.received(event.LoadReported{Guard: ticket.NodeID{Instance: "ledger-2"}})
	<-p.done
	c.Check(p.loads, qt.HasLen, 2)
}

func TestProbeOfNoGuardDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		qt.Check(t, (&Transport{}).ProbeLoads(t.Context(), nil, 0), qt.HasLen, 0)
		qt.Check(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}
