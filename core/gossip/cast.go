package gossip

import (
	"math"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
)

// directMost is the largest number of peers that a reader tells itself. With 60 bytes to
// each of them every castTime that stays below 5 KB a second, which is what control may
// send.
const directMost = 32

// castAll tells all peers the versions that this node holds: itself where they are few,
// else through one relay in each part of the list. Each time it is another member of the
// part, so that a part misses one turn at most where a relay is gone.
func (g *Gossip) castAll(at time.Time, out []effect.Effect) []effect.Effect {
	if len(g.others) == 0 {
		return out
	}
	g.cast = at
	g.casts++
	if len(g.others) <= directMost {
		return append(out, effect.Cast{Peers: slices.Clone(g.others), Versions: g.Versions(at)})
	}
	c := effect.Cast{Versions: g.Versions(at), Relay: true}
	for first := 0; first < len(g.instances); first += g.partSize() {
		if part := g.partOf(first); len(part) > 0 {
			c.Peers = append(c.Peers, part[g.casts%len(part)])
		}
	}
	return append(out, c)
}

// relay passes the word of a reader on to the part of the list that this node is in.
func (g *Gossip) relay(e event.Told, out []effect.Effect) []effect.Effect {
	self := slices.IndexFunc(g.instances, func(i fleet.Instance) bool { return i.Name == g.instance })
	if self < 0 {
		return out
	}
	part := g.partOf(self)
	if len(part) == 0 {
		return out
	}
	return append(out, effect.Cast{Peers: part, Versions: g.Versions(e.At)})
}

// partSize returns the number of instances in each part of the list, with which reader
// and relays have the same number of peers to tell.
func (g *Gossip) partSize() int { return max(int(math.Sqrt(float64(len(g.instances)))), 1) }

// partOf returns the part of the list that holds the instance at an index, without the
// one of this node.
func (g *Gossip) partOf(index int) []fleet.Instance {
	size := g.partSize()
	first := index - index%size
	return g.withoutSelf(g.instances[first:min(first+size, len(g.instances))])
}

// withoutSelf returns instances without the one of this node.
func (g *Gossip) withoutSelf(instances []fleet.Instance) []fleet.Instance {
	others := make([]fleet.Instance, 0, len(instances))
	for _, i := range instances {
		if i.Name != g.instance {
			others = append(others, i)
		}
	}
	return others
}
