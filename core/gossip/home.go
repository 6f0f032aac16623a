package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/view"
)

const (
	// gatewayCount is the number of nodes of each data centre that fetch a new version from
	// another data centre at once, so that one of them may be unavailable.
	gatewayCount = 2
	// homeWait is the time for which the other nodes wait until a new version can be fetched
	// within their data centre. It covers two fetches.
	homeWait = 200 * time.Millisecond
	// awayInterval is the mean number of exchanges or announcements of which one goes to a
	// node elsewhere.
	awayInterval = 4
)

// homeState is what a node that prefers its own data centre derives from the instance list.
type homeState struct {
	// isPreferred is set if traffic between data centres has a price.
	isPreferred bool
	// peers are the peers in the own data centre, and away those in others.
	peers []fleet.Instance
	away  []fleet.Instance
	// gateways are the gateways of the other data centres, and isGateway tells whether this
	// node is one of its own.
	gateways  []fleet.Instance
	isGateway bool
}

// PreferHome makes g exchange versions and fetch documents within its own data centre where
// it can: a new version enters a data centre through its gateways and spreads from there.
func (g *Gossip) PreferHome() { g.home.isPreferred = true }

// applyFleet derives the state from the instance list.
func (h *homeState) applyFleet(instance, centre string, instances []fleet.Instance) {
	if !h.isPreferred {
		return
	}
	*h = homeState{isPreferred: true}
	ordered := slices.Clone(instances)
	slices.SortFunc(ordered, func(a, b fleet.Instance) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	gateways := make(map[string]int)
	for _, i := range ordered {
		isGateway := !i.Leaving && gateways[i.Centre] < gatewayCount
		if isGateway {
			gateways[i.Centre]++
		}
		switch {
		case i.Name == instance:
			h.isGateway = isGateway
		case i.Centre == centre:
			h.peers = append(h.peers, i)
		default:
			h.away = append(h.away, i)
			if isGateway {
				h.gateways = append(h.gateways, i)
			}
		}
	}
}

// isActive reports whether there is a peer at home to prefer.
func (h *homeState) isActive() bool { return h.isPreferred && len(h.peers) > 0 }

// goesAway reports whether one exchange or announcement goes to a node elsewhere.
func (h *homeState) goesAway(random uint64) bool { return random>>32%awayInterval == 0 }

// roundPeers returns the peers of a round of version exchanges. One of them is elsewhere now and
// then, so that a data centre learns what no announcement has brought.
func (g *Gossip) roundPeers(random uint64, count int) []fleet.Instance {
	h := &g.home
	switch {
	case !h.isActive():
		return randomPeers(g.peers, random, count)
	case h.goesAway(random):
		return append(randomPeers(h.peers, random, count-1), randomPeers(h.away, random, 1)...)
	}
	return randomPeers(h.peers, random, count)
}

// announcePeers returns the peers that a new version is announced to. A node that read it from
// the platform informs the gateways of all other data centres. The others inform a node
// elsewhere now and then, in case the gateways are unavailable.
func (h *homeState) announcePeers(from event.DocumentSource, random uint64) []fleet.Instance {
	peers := randomPeers(h.peers, random, announceFanout)
	if from.Peer == "" {
		return append(peers, h.gateways...)
	}
	if h.goesAway(random) {
		return append(peers, randomPeers(h.away, random, 1)...)
	}
	return peers
}

// waitsForHome reports whether a document that p announced in e is not fetched yet because a
// peer at home is likely to announce it too. An announcement in response to a query counts at
// once.
func (g *Gossip) waitsForHome(e event.VersionsReceived, d event.Document, p *fleet.Instance) bool {
	return g.home.isActive() && !g.home.isGateway && e.QueriedAt.IsZero() && p != nil && p.Centre != "" && p.Centre != g.centre &&
		g.version(d).Revision > 0
}

// fetchAnnounced fetches version v of a document that p announced in e, at once or after
// homeWait.
func (g *Gossip) fetchAnnounced(e event.VersionsReceived, d event.Document, p *fleet.Instance, v view.Version, out []effect.Effect) []effect.Effect {
	if !g.waitsForHome(e, d, p) {
		return g.fetchFromPeer(e.At, d, p, v, out)
	}
	if r := &g.reads[d]; r.away == nil {
		r.away, r.awayVersion, r.awayAt = p, v, e.At.Add(homeWait)
	}
	return out
}

// fetchFromAway fetches what a peer elsewhere announced and no peer at home has delivered.
func (g *Gossip) fetchFromAway(d event.Document, at time.Time, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if r.away == nil || at.Before(r.awayAt) {
		return out
	}
	p, v := r.away, r.awayVersion
	r.away = nil
	if !g.needsFetch(d, v) {
		return out
	}
	return g.fetchFromPeer(at, d, p, v, out)
}
