package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
