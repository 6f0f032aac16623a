package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
)

// listText returns the list of count instances of one data centre.
func listText(c *qt.C, count int) string {
	var list []fleet.Instance
	for i := range count {
		list = append(list, fleet.Instance{
			Name: fmt.Sprintf("i%d", i), Centre: "north", Service: "ledger",
			Nodes:   netip.MustParseAddrPort("10.0.0.1:1"),
			Control: netip.MustParseAddrPort("10.0.0.1:2"),
		})
	}
	text, err := fleet.Format(list)
	c.Assert(err, qt.IsNil)
	return text
}

// platformCalls runs one node for length and returns the calls that it makes on
// the platform, which answers at once that nothing has changed or, when down, fails.
func platformCalls(c *qt.C, name string, count int, length time.Duration, down bool) int {
	g := gossip.New(name, "north")
	now := time.Unix(1000, 0)
	_, _ = g.Read(event.Read{At: now, Document: event.Rules, Text: ruleText, Revision: 1}, 1, nil)
	_, _ = g.Read(event.Read{At: now, Document: event.Fleet, Text: listText(c, count), Revision: 1}, 1, nil)
	calls := 0
	for end := now.Add(length); now.Before(end); now = now.Add(100 * time.Millisecond) {
		_, out := g.Tick(event.Tick{At: now, Random: uint64(calls) * 977}, false, nil)
		for _, e := range out {
			f, ok := e.(effect.Fetch)
			if !ok || f.Peer != nil {
				continue
			}
			calls++
			if down {
				g.Unread(event.Unread{At: now, Document: f.Document}, 0)
				continue
			}
			_, _ = g.Unchanged(event.Unchanged{At: now.Add(f.Wait), Document: f.Document}, nil)
		}
	}
	return calls
}

func TestPlatformCallsOfANodeThatDoesNotWatch(t *testing.T) {
	tests := []struct {
		name string
		down bool
	}{
		{name: "nothing changes"},
		{name: "platform down", down: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			quiet := 0
			for i := range 20 {
				calls := platformCalls(c, fmt.Sprintf("i%d", i), 20, time.Minute, tt.down)
				// Two documents, each read at most every 15 seconds, and once at the start.
				if calls <= 2*(60/15+1) {
					quiet++
				}
			}
			c.Assert(quiet, qt.Equals, 17)
		})
	}
}
