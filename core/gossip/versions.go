package gossip

import (
	"fmt"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/stride"
	"bulrushlock/core/view"
)

// exchangeVersions exchanges versions with up to count random peers.
func (g *Gossip) exchangeVersions(at time.Time, random uint64, count int, out []effect.Effect) []effect.Effect {
	return g.exchangeWith(at, randomPeers(g.peers, random, count), out)
}

// exchangeWith exchanges versions with peers.
func (g *Gossip) exchangeWith(at time.Time, peers []fleet.Instance, out []effect.Effect) []effect.Effect {
	versions := g.Versions(at)
	for _, p := range peers {
		out = append(out, effect.ExchangeVersions{Peer: p, Versions: versions})
	}
	return out
}

// announceNewVersion announces a new version to a few random peers, which fetch it from this node
// and announce it in turn. If all peers were informed at once, they would all fetch a
// large document from one small instance. In contrast, broadcastVersions informs all peers.
func (g *Gossip) announceNewVersion(at time.Time, from event.DocumentSource, random uint64, out []effect.Effect) []effect.Effect {
	g.lastBroadcast = at
	if len(g.peers) == 0 {
		return out
	}
	peers := randomPeers(g.peers, random, announceFanout)
	if g.home.isActive() {
		peers = g.home.announcePeers(from, random)
	}
	return append(out, effect.BroadcastVersions{Peers: peers, Versions: g.Versions(at)})
}

// randomPeers returns up to count distinct random ones of peers.
func randomPeers(peers []fleet.Instance, random uint64, count int) []fleet.Instance {
	order := stride.New(random, len(peers))
	var selected []fleet.Instance
	for i := range min(count, len(peers)) {
		selected = append(selected, peers[order.At(i)])
	}
	return selected
}

// VersionsReceived handles the versions that a peer sent. Newer versions are fetched; equal ones
// confirm the view. A queried peer that holds no newer rules and does not confirm those of this
// node counts as a failure of the check.
func (g *Gossip) VersionsReceived(e event.VersionsReceived, out []effect.Effect) (Change, []effect.Effect) {
	change, out := g.compareVersions(e, out)
	followed, out := g.followEpoch(e.At, out)
	return change.or(followed), out
}

// compareVersions compares the versions that a peer sent with those of this node.
func (g *Gossip) compareVersions(e event.VersionsReceived, out []effect.Effect) (Change, []effect.Effect) {
	g.heardAt = e.At
	p := g.sender(e)
	if g.fleet.NeedsFetch(e.Versions.Fleet) {
		out = g.fetchAnnounced(e, event.Fleet, p, e.Versions.Fleet, out)
	}
	if g.rules.NeedsFetch(e.Versions.Rules) {
		return Change{}, g.fetchAnnounced(e, event.Rules, p, e.Versions.Rules, out)
	}
	becameFresh := g.confirmFromPeer(e)
	if e.Relay && g.rules.AdoptIfSameText(e.Versions.Rules) && g.fleet.AdoptIfSameText(e.Versions.Fleet) {
		out = g.relayVersions(e, out)
	}
	if e.QueriedAt.IsZero() {
		return Change{Freshness: becameFresh}, out
	}
	confirmedAt := e.QueriedAt.Add(-e.Versions.Age)
	if !g.rules.AdoptIfSameText(e.Versions.Rules) || e.Versions.Age > maxConfirmedAge || g.freshness.isTooOld(confirmedAt) {
		return Change{Freshness: g.freshness.fail()}, out
	}
	g.confirm(event.Rules, confirmedAt, e.Versions.RulesReader)
	return Change{Freshness: g.freshness.confirm() || becameFresh}, out
}

// confirmFromPeer applies the confirmations of a peer to the documents that both hold in the same
// version, and reports whether the view of the rules became fresh. Unsolicited messages may have
// been queued while this node was paused, so they do not count during a check after a pause. If
// that check ended unconfirmed, they do not count until unsolicitedIgnoreTime after its start.
func (g *Gossip) confirmFromPeer(e event.VersionsReceived) bool {
	at := requestTime(e.QueriedAt, e.At)
	if g.freshness.state == Checking || g.freshness.state == Unconfirmed && at.Sub(g.freshness.pauseCheckedAt) < unsolicitedIgnoreTime {
		return false
	}
	becameFresh := false
	if g.rules.AdoptIfSameText(e.Versions.Rules) {
		g.yieldReaderRole(event.Rules, at, e.Versions.RulesReader, e.Versions.Age)
		g.confirm(event.Rules, at.Add(-e.Versions.Age), e.Versions.RulesReader)
		becameFresh = e.Versions.Age < maxConfirmedAge && g.freshness.confirm()
	}
	if g.fleet.AdoptIfSameText(e.Versions.Fleet) {
		g.yieldReaderRole(event.Fleet, at, e.Versions.FleetReader, e.Versions.FleetAge)
		g.confirm(event.Fleet, at.Add(-e.Versions.FleetAge), e.Versions.FleetReader)
	}
	return becameFresh
}

// yieldReaderRole gives up the reader role for a document if the platform was read less than
// rereadAge ago by a node that precedes this one in the reading order. While a fleet starts and
// has many readers, a node yields to any that read later than itself.
func (g *Gossip) yieldReaderRole(d event.Document, at time.Time, reader uint32, age time.Duration) {
	own := readerID(g.instance)
	isLater := !g.isSettled(at) && reader != own && age < g.sinceConfirmed(d, at)
	isFirst := reader != 0 && reader < own && age < rereadAge
	if isLater || isFirst {
		g.reads[d].reader = false
		g.reads[d].yieldedAt = at
	}
}

// sender returns the peer that sent e. For a peer that is not listed yet, the result has only its
// name and the address that it sent; without an address the result is nil.
func (g *Gossip) sender(e event.VersionsReceived) *fleet.Instance {
	p := g.peerNamed(e.Peer)
	if p == nil && e.Control.IsValid() {
		return &fleet.Instance{Name: e.Peer, ControlAddr: e.Control}
	}
	return p
}

// peerNamed returns the listed peer of the given name, or nil.
func (g *Gossip) peerNamed(name string) *fleet.Instance {
	for i := range g.peers {
		if g.peers[i].Name == name {
			p := g.peers[i]
			return &p
		}
	}
	return nil
}

// NeedsRules reports whether v is newer than the rules of this node and worth fetching.
func (g *Gossip) NeedsRules(v view.Version) bool { return g.rules.NeedsFetch(v) }

// FetchRules fetches version v of the rules from the peer that holds it.
func (g *Gossip) FetchRules(at time.Time, name string, v view.Version, out []effect.Effect) []effect.Effect {
	return g.fetchFromPeer(at, event.Rules, g.peerNamed(name), v, out)
}

// fetchFromPeer fetches version v of a document from a peer, unless the same or a newer version
// was requested less than fetchTimeout ago; in that case p becomes the alternate. If p is nil, the
// platform is read after minRetryDelay.
func (g *Gossip) fetchFromPeer(at time.Time, d event.Document, p *fleet.Instance, v view.Version, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if p == nil {
		if r.fallbackAt.IsZero() {
			r.fallbackAt = at.Add(minRetryDelay)
		}
		return out
	}
	if r.requested.Compare(v) >= 0 && at.Sub(r.requestedAt) < fetchTimeout {
		r.alternate, r.alternateVersion = p, v
		return out
	}
	r.requested, r.requestedAt = v, at
	out = append(out, effect.LogEvent{Kind: effect.KindBehind, Text: fmt.Sprintf("%s %s announced by %s; %s", d, versionName(v), p.Name, g.heldText(at, d))})
	held := g.version(d)
	return append(out, effect.FetchDocument{Document: d, Peer: p, Epoch: held.Epoch, After: held.Revision})
}

// fetchFromAlternate requests from the second peer what the first one did not deliver.
func (g *Gossip) fetchFromAlternate(d event.Document, at time.Time, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	p, v := r.alternate, r.alternateVersion
	if p == nil || r.requested != (view.Version{}) && at.Sub(r.requestedAt) < fetchTimeout {
		return out
	}
	r.alternate = nil
	if !g.needsFetch(d, v) {
		return out
	}
	return g.fetchFromPeer(at, d, p, v, out)
}

// needsFetch reports whether v is a newer version of a document and worth fetching.
func (g *Gossip) needsFetch(d event.Document, v view.Version) bool {
	if d == event.Fleet {
		return g.fleet.NeedsFetch(v)
	}
	return g.rules.NeedsFetch(v)
}

// PeerUnreachable handles a peer that could not be reached.
func (g *Gossip) PeerUnreachable() Change { return Change{Freshness: g.freshness.fail()} }
