package gossip_test

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
)

// listText returns the list of count instances in one data centre.
func listText(c *qt.C, count int) string {
	var list []fleet.Instance
	for i := range count {
		list = append(list, fleet.Instance{
			Name: fmt.Sprintf("i%d", i), Centre: "north", Service: "ledger",
			ForwardAddr: netip.MustParseAddrPort("10.0.0.1:1"),
			ControlAddr: netip.MustParseAddrPort("10.0.0.1:2"),
		})
	}
	text, err := fleet.Format(list)
	c.Assert(err, qt.IsNil)
	return text
}

// simulateCalls runs count nodes for a minute and returns the number of platform calls.
// Broadcasts arrive immediately. Platform calls of the nodes for which down is true fail; the
// nodes for which gone is true are listed but do nothing. simulateCalls also returns the highest
// age of the rules at any node in the last half minute, and the messages per second sent by the
// busiest node.
func simulateCalls(c *qt.C, count int, down, gone func(node int) bool) (calls int, oldest time.Duration, busiest float64) {
	now := time.Unix(1000, 0)
	end := now.Add(time.Minute)
	nodes := make([]*gossip.Gossip, count)
	index := make(map[string]int, count)
	sent := make([]int, count)
	for i := range nodes {
		nodes[i] = gossip.New(fmt.Sprintf("i%d", i), "north")
		index[fmt.Sprintf("i%d", i)] = i
		nodes[i].Start(now, nil)
		for d, text := range map[event.Document]string{event.Rules: ruleText, event.Fleet: listText(c, count)} {
			nodes[i].DocumentRead(event.DocumentRead{At: now, Document: d, Revision: 1, Text: text, MayBeStale: true}, 0, nil)
		}
	}
	type response struct {
		node int
		at   time.Time
		d    event.Document
	}
	var pending []response
	var run func(from int, out []effect.Effect)
	run = func(from int, out []effect.Effect) {
		for _, e := range out {
			switch e := e.(type) {
			case effect.FetchDocument:
				calls++
				pending = append(pending, response{from, now.Add(e.MaxHold), e.Document})
			case effect.BroadcastVersions:
				sent[from] += len(e.Peers)
				for _, p := range e.Peers {
					to := index[p.Name]
					if gone(to) {
						continue
					}
					_, received := nodes[to].VersionsReceived(event.VersionsReceived{At: now, Peer: fmt.Sprintf("i%d", from), Versions: e.Versions, Relay: e.Relay}, nil)
					run(to, received)
				}
			}
		}
	}
	for ; now.Before(end); now = now.Add(50 * time.Millisecond) {
		due := pending
		pending = nil
		for _, a := range due {
			switch {
			case down(a.node):
				nodes[a.node].DocumentReadFailed(event.DocumentReadFailed{At: now, Document: a.d}, uint64(calls)*977_777_777, nil)
			case a.at.After(now):
				pending = append(pending, a)
			default:
				_, out := nodes[a.node].DocumentUnchanged(event.DocumentUnchanged{At: now, QueriedAt: now, Document: a.d}, nil)
				run(a.node, out)
			}
		}
		for i, g := range nodes {
			if gone(i) {
				continue
			}
			_, out := g.Tick(event.Tick{At: now, Random: uint64(calls)*977 + uint64(i)}, false, nil)
			run(i, out)
			if now.After(end.Add(-30 * time.Second)) {
				oldest = max(oldest, g.RulesAge(now))
			}
		}
	}
	return calls, oldest, float64(slices.Max(sent)) / time.Minute.Seconds()
}

func TestPlatformCallsDoNotGrowWithInstanceCount(t *testing.T) {
	const documents, seconds = 2, 60 // Each node reads each document once at startup.
	tests := []struct {
		name  string
		count int
		down  func(node int) bool
		// gone is n if one in n listed nodes does nothing, or 0 if all work.
		gone int
		// most is the largest number of calls per second.
		most float64
		// oldest is the highest age of a view.
		oldest time.Duration
	}{
		{name: "one data centre", count: 13, down: func(int) bool { return false }, most: documents * 2, oldest: 2 * time.Second},
		{name: "large", count: 86, down: func(int) bool { return false }, most: documents * 2, oldest: 2 * time.Second},
		{name: "the design size", count: 820, down: func(int) bool { return false }, most: documents * 2, oldest: 2 * time.Second},
		{name: "a tenth is gone", count: 86, down: func(int) bool { return false }, gone: 10, most: documents * 4, oldest: 2 * time.Second},
		{name: "a third is rejected", count: 13, down: func(n int) bool { return n%3 == 0 }, most: documents * 4, oldest: 2 * time.Second},
		{name: "all but one are rejected", count: 13, down: func(n int) bool { return n != 7 }, most: documents * 8, oldest: 2 * time.Second},
		{name: "down for all", count: 86, down: func(int) bool { return true }, most: documents * 8, oldest: math.MaxInt64},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			calls, oldest, busiest := simulateCalls(c, tt.count, tt.down, func(n int) bool { return tt.gone > 0 && n%tt.gone == 1 })
			c.Assert(float64(calls-documents*tt.count)/seconds <= tt.most, qt.IsTrue, qt.Commentf("%d calls", calls))
			c.Assert(oldest <= tt.oldest, qt.IsTrue, qt.Commentf("%v", oldest))
			const bytes, mostBytes = 60, 5_000
			c.Assert(busiest*bytes <= mostBytes, qt.IsTrue, qt.Commentf("%v messages per second", busiest))
		})
	}
}
