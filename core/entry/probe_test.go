package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

func TestProbesOfAllEntriesStayWithinBudget(t *testing.T) {
	c := qt.New(t)
	set, err := rules.Parse("service ledger slots=4 # Asha: test\nbudget probe=5 # Asha: test\n")
	c.Assert(err, qt.IsNil)
	for _, count := range []int{4, 820} {
		var instances []fleet.Instance
		for i := range count {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
			instances = append(instances, fleet.Instance{Name: fmt.Sprintf("i%d", i), Centre: "north", Service: "ledger", ForwardAddr: address, ControlAddr: address})
		}
		n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "i0"}, Centre: "north"}, pick.NewLoadAware())
		n.SetRules(set, instances)
		now := time.Unix(1000, 0)
		// One failed attempt makes i1 due for probes.
		n.AttemptEnded(event.AttemptEnded{At: now, Verdict: event.Unsent, Ticket: ticket.Ticket{Guard: ticket.NodeID{Instance: "i1"}}}, nil)
		probes := 0
		const minutes = 30
		for end := now.Add(minutes * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
			if _, ok := n.NextProbe(now, 0); ok {
				probes++
			}
		}
		c.Check(probes > 0, qt.IsTrue)
		c.Check(probes*count <= 5*60*minutes+count, qt.IsTrue, qt.Commentf("%d probes of each of %d entries", probes, count))
	}
}

// The instance list may hold the instances of a data centre in a row. Each guard of the
// entry's own data centre must be probed about equally often all the same, as otherwise a few
// get the requests of all entries.
func TestGuardsOfDataCentreAreProbedEvenly(t *testing.T) {
	c := qt.New(t)
	set, err := rules.Parse(probeRules)
	c.Assert(err, qt.IsNil)
	const centres, perCentre, own, probeCount, requests = 5, 30, 2, 3, 20_000
	var instances []fleet.Instance
	for i := range centres * perCentre {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i / perCentre), 0, byte(i % perCentre)}), 1)
		instances = append(instances, fleet.Instance{
			Name: fmt.Sprintf("%d-%02d", i/perCentre, i%perCentre), Centre: fmt.Sprintf("centre-%d", i/perCentre), Service: "ledger", ForwardAddr: address, ControlAddr: address,
		})
	}
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "desk"}, Centre: fmt.Sprintf("centre-%d", own), ProbeCount: probeCount}, pick.NewLoadAware())
	n.SetRules(set, instances)
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 1))
	probes := make(map[string]int)
	for id := range uint64(requests) {
		e := getRequest(id+1, "/lines", now, time.Second)
		e.Random = r.Uint64()
		for _, out := range n.Request(e, nil) {
			if p, ok := out.(effect.ProbeCandidates); ok {
				for _, peer := range p.Peers {
					probes[peer.Name]++
				}
			}
		}
		n.RequestEnded(event.RequestEnded{At: now, ID: id + 1}, nil)
	}
	c.Assert(probes, qt.HasLen, perCentre)
	for name, count := range probes {
		const mean = requests * probeCount / perCentre
		c.Check(count > mean*4/5 && count < mean*6/5, qt.IsTrue, qt.Commentf("%s: %d probes, %d on average", name, count, mean))
	}
}
