package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
)

// largeInstanceList returns a list of 820 instances in 39 services and the rules for them.
func largeInstanceList(b *testing.B) (list, text string) {
	var instances []fleet.Instance
	var rules strings.Builder
	for i := range 820 {
		instances = append(instances, fleet.Instance{
			Name:        fmt.Sprintf("n%d", i),
			Centre:      fmt.Sprintf("c%d", i%5),
			Service:     fmt.Sprintf("s%d", i%39),
			ForwardAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
			ControlAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 2),
		})
	}
	for i := range 39 {
		_, _ = fmt.Fprintf(&rules, "service s%d slots=20 cold=20 warm=1 # Asha: bench\n", i)
		_, _ = fmt.Fprintf(&rules, "route GET /s%d/* service=s%d idempotent=yes # Asha: bench\n", i, i)
		_, _ = fmt.Fprintf(&rules, "route POST /s%d/* service=s%d idempotent=no # Asha: bench\n", i, i)
	}
	list, err := fleet.Format(instances)
	if err != nil {
		b.Fatal(err)
	}
	return list, rules.String()
}

// newLargeNode returns a node that holds the large instance list and its rules.
func newLargeNode(b *testing.B, now time.Time) *node.Node {
	list, text := largeInstanceList(b)
	n := node.New(node.Config{Instance: "n0", Incarnation: 1, Centre: "c0", Service: "s0"}, pick.NewLoadAware())
	n.Start(event.Tick{At: now}, nil)
	n.Step(event.DocumentRead{At: now, Document: event.Rules, Text: text, Revision: 1}, nil)
	n.Step(event.DocumentRead{At: now, Document: event.Fleet, Text: list, Revision: 1}, nil)
	return n
}

// BenchmarkEntry measures a request and its response at the entry, in three steps.
func BenchmarkEntry(b *testing.B) {
	now := time.Unix(1000, 0)
	n := newLargeNode(b, now)
	random := rand.New(rand.NewPCG(1, 2))
	load := &report.Load{InFlight: 3, Limit: 20}
	var out []effect.Effect
	b.ReportAllocs()
	id := uint64(0)
	for b.Loop() {
		id++
		out = n.Step(event.Request{At: now, ID: id, Method: "GET", Path: "/s7/x", Random: random.Uint64()}, out[:0])
		f, ok := out[len(out)-1].(effect.Forward)
		if !ok {
			b.Fatalf("%#v", out)
		}
		out = n.Step(event.AttemptEnded{
			At: now, ID: id, Ticket: f.Ticket, Verdict: event.Ran, Guard: f.Ticket.Guard, Load: load, Status: 200,
		}, out[:0])
		out = n.Step(event.RequestEnded{At: now, ID: id}, out[:0])
	}
}

// BenchmarkGuard measures a non-idempotent attempt at the guard, in two steps.
func BenchmarkGuard(b *testing.B) {
	now := time.Unix(1000, 0)
	n := newLargeNode(b, now)
	var out []effect.Effect
	b.ReportAllocs()
	e := event.Attempt{At: now, Priority: 1, TimeLeft: time.Second}
	e.Ticket.Entry.Instance, e.Ticket.Entry.Incarnation = "n1", 5
	e.Ticket.Guard.Instance, e.Ticket.Guard.Incarnation = "n0", 1
	e.Ticket.Service = "s0"
	for b.Loop() {
		e.Arrival++
		e.Ticket.Sequence++
		out = n.Step(e, out[:0])
		if _, ok := out[len(out)-1].(effect.Admit); !ok {
			b.Fatalf("%#v", out)
		}
		out = n.Step(event.ExchangeEnded{At: now, Arrival: e.Arrival, Status: 200, Latency: time.Millisecond}, out[:0])
	}
}
