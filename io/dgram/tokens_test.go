package dgram

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/allot"
	"bulrushlock/core/creds"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
	"bulrushlock/io/loop"
)

// tokenRules are rules with a customer that has a limit.
var tokenRules = "service ledger slots=4   # Test: one service\n" +
	"route GET /lines service=ledger idempotent=yes   # Test: lookups\n" +
	"customer acme keys=" + creds.Digest("one") + " rate=1000 burst=1000   # Test: one customer\n"

// newTokenNode returns the loop of a node and its instance list entry. The effects that it returns for nobody
// are executed, except that asks are also counted in asked.
func newTokenNode(c *qt.C, name string, asked chan effect.AskTokens) (*loop.Loop, fleet.Instance) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	c.Assert(err, qt.IsNil)
	var tr *Transport
	ready := make(chan struct{})
	n := node.New(node.Config{Instance: name, Incarnation: 7, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(e effect.Effect) {
		select {
		case <-ready:
		default:
			return
		}
		switch e := e.(type) {
		case effect.AskTokens:
			asked <- e
			tr.AskTokens(e)
		case effect.LendTokens:
			tr.LendTokens(e)
		}
	}})
	tr = New(l, Options{Node: ticket.NodeID{Instance: name, Incarnation: 7}, Conn: conn, Logger: slog.New(slog.DiscardHandler)})
	close(ready)
	c.Cleanup(func() {
		tr.Close()
		l.Stop()
	})
	address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return l, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: address, ControlAddr: address}
}

// TestRequestGetsTokenOfPeer sends a request at a node whose peer owns the parts of the limit.
func TestRequestGetsTokenOfPeer(t *testing.T) {
	c := qt.New(t)
	asked := make(chan effect.AskTokens, 4096)
	asker, _ := newTokenNode(c, "desk-1", asked)
	owner, peer := newTokenNode(c, "ledger-1", asked)
	list, err := fleet.Format([]fleet.Instance{peer})
	c.Assert(err, qt.IsNil)
	for _, l := range []*loop.Loop{asker, owner} {
		l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: tokenRules, Revision: 3})
		l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: list, Revision: 3})
	}
	id, mailbox := asker.OpenMailbox()
	defer asker.CloseMailbox(id)
	// The buckets of a new owner are empty.
	for range 1000 {
		e := event.Request{At: time.Now(), ID: id, Method: "GET", Path: "/lines", Credential: creds.Digest("one")}
		e.Call.TimeLeft = time.Second
		asker.Process(e)
		switch got := (<-mailbox).(type) {
		case effect.Forward:
			c.Check(got.Customer, qt.Equals, "acme")
			c.Check((<-asked).Ask.Owner.Name, qt.Equals, "ledger-1")
			return
		case effect.ReplyFromEntry:
			c.Assert(got.Reason, qt.Equals, effect.ReasonAllotment)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the request got no token")
}

// pendingAsks returns the number of asks without a response.
func (tr *Transport) pendingAsks() int {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	return len(tr.asks)
}

// TestUnansweredAskIsReported checks that an ask which nobody answers, or another node than the one
// that was asked, is settled after the timeout.
func TestUnansweredAskIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tr := &Transport{asks: make(map[uint64]*tokenAsk), options: Options{Logger: slog.New(slog.DiscardHandler)}}
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		tr.options.Conn = conn
		n := node.New(node.Config{Instance: "desk-1", Centre: "north", Service: "ledger"}, pick.NewLoadAware())
		tr.loop = loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
		defer tr.loop.Stop()
		ask := allot.Ask{Customer: "acme", Owner: fleet.Instance{Name: "ledger-1", ControlAddr: netip.MustParseAddrPort("127.0.0.1:1")}, Count: 1}
		tr.AskTokens(effect.AskTokens{Ask: ask})
		tr.tokensReceived(message{Kind: kindTokens, Number: 1, From: ticket.NodeID{Instance: "other"}})
		c.Check(tr.pendingAsks(), qt.Equals, 1)
		time.Sleep(askTimeout + time.Millisecond)
		synctest.Wait()
		c.Check(tr.pendingAsks(), qt.Equals, 0)
	})
}

// TestForeignAskIsAnswered checks that a node which owns nothing says so.
func TestForeignAskIsAnswered(t *testing.T) {
	c := qt.New(t)
	asked := make(chan effect.AskTokens, 4096)
	_, peer := newTokenNode(c, "ledger-1", asked)
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(peer.ControlAddr))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	m := message{Kind: kindAskTokens, Number: 5, From: ticket.NodeID{Instance: "desk-1"}, Tokens: tokens{Customer: "acme", Count: 1 << 29, Shard: 1 << 29, Centres: 1 << 29}}
	_, err = conn.Write(m.append(nil))
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	b := make([]byte, maxDatagramSize)
	size, err := conn.Read(b)
	c.Assert(err, qt.IsNil)
	got, err := parse(b[:size])
	c.Assert(err, qt.IsNil)
	c.Check(got.Kind, qt.Equals, kindTokens)
	c.Check(got.Number, qt.Equals, uint64(5))
	c.Check(got.Tokens, qt.Equals, tokens{})
	c.Check(got.From.Instance, qt.Equals, "ledger-1")
}
