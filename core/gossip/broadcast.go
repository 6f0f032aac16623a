package gossip

import (
	"math"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
)

// maxDirectPeers is the largest number of peers that a reader informs directly. At 60 bytes
// per message this keeps a reader below 5 KB/s, the bandwidth allowed for control traffic.
const maxDirectPeers = 32

// broadcastVersions sends the versions that this node holds to all peers: directly if there are at
// most maxDirectPeers, otherwise through one relay per group of the instance list. The relay
// of a group changes with every broadcast, so a group misses only the broadcasts that go to its
// failed relay.
func (g *Gossip) broadcastVersions(at time.Time, out []effect.Effect) []effect.Effect {
	if len(g.peers) == 0 {
		return out
	}
	g.lastBroadcast = at
	g.broadcasts++
	if len(g.peers) <= maxDirectPeers {
		return append(out, effect.BroadcastVersions{Peers: slices.Clone(g.peers), Versions: g.Versions(at)})
	}
	c := effect.BroadcastVersions{Versions: g.Versions(at), Relay: true}
	for first := 0; first < len(g.instances); first += g.groupSize() {
		if group := g.groupOf(first); len(group) > 0 {
			c.Peers = append(c.Peers, group[g.broadcasts%len(group)])
		}
	}
	return append(out, c)
}

// relayVersions passes the versions that a reader sent on to the other members of this node's
// relay group.
func (g *Gossip) relayVersions(e event.VersionsReceived, out []effect.Effect) []effect.Effect {
	self := slices.IndexFunc(g.instances, func(i fleet.Instance) bool { return i.Name == g.instance })
	if self < 0 {
		return out
	}
	group := g.groupOf(self)
	if len(group) == 0 {
		return out
	}
	return append(out, effect.BroadcastVersions{Peers: group, Versions: g.Versions(e.At)})
}

// groupSize returns the number of instances per relay group. It is the square root of the list
// length, so that the reader and each relay send about the same number of messages.
func (g *Gossip) groupSize() int { return max(int(math.Sqrt(float64(len(g.instances)))), 1) }

// groupOf returns the relay group that contains the instance at index, without the instance of
// this node.
func (g *Gossip) groupOf(index int) []fleet.Instance {
	size := g.groupSize()
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
