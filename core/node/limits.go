package node

import (
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/rules"
)

// applyLimits adopts the limits of the customers. Requests that wait for tokens of customers which
// have no limit any more are sent.
func (n *Node) applyLimits(at time.Time, s *rules.Set, instances []fleet.Instance, out []effect.Effect) []effect.Effect {
	var limits []allot.Limit
	for _, c := range s.Customers {
		if c.Rate > 0 {
			limits = append(limits, allot.Limit{Customer: c.Name, Rate: c.Rate, Burst: c.Burst})
		}
	}
	if len(limits) == 0 && !n.allot.HasLimits() {
		return out
	}
	freed := n.allot.SetView(at, limits, instances)
	return n.entry.GrantTokens(at, mix(uint64(at.UnixNano())), freed, out)
}

// lendTokens lends tokens to a peer.
func (n *Node) lendTokens(e event.TokensAsked, out []effect.Effect) []effect.Effect {
	n.allot.HeardFrom(e.At, e.Peer)
	n.allot.Heard(e.At, e.Centres)
	g := n.allot.Lend(e.At, e.Customer, e.Shard, e.Count)
	out = append(out, effect.IncrementCounter{Name: "allotment_lent"})
	return append(out, effect.LendTokens{Number: e.Number, To: e.ReplyTo, Grant: g, Centres: n.allot.Centres()})
}
