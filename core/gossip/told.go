package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/view"
)

// tell exchanges versions with up to count random peers.
func (g *Gossip) tell(at time.Time, random uint64, count int, out []effect.Effect) []effect.Effect {
	versions := g.Versions(at)
	for _, p := range g.some(random, count) {
		out = append(out, effect.Tell{Peer: p, Versions: versions})
	}
	return out
}

// push tells a few random peers of a new version, who read it here and tell others in
// turn. Told at once, all would read a large document from one small instance.
func (g *Gossip) push(at time.Time, random uint64, out []effect.Effect) []effect.Effect {
	g.cast = at
	if len(g.others) == 0 {
		return out
	}
	return append(out, effect.Cast{Peers: g.some(random, pushes), Versions: g.Versions(at)})
}

// some returns up to count different random peers.
func (g *Gossip) some(random uint64, count int) []fleet.Instance {
	total := uint64(len(g.others))
	if total == 0 {
		return nil
	}
	stride := 1 + (random>>32)%total
	for hasCommonFactor(stride, total) {
		stride++
	}
	peers := make([]fleet.Instance, 0, count)
	for i := range min(uint64(count), total) {
		peers = append(peers, g.others[(random+i*stride)%total])
	}
	return peers
}

// hasCommonFactor reports whether steps of a visit less than all of b peers.
func hasCommonFactor(a, b uint64) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a != 1
}

// Told takes over the versions of a peer.
func (g *Gossip) Told(e event.Told, out []effect.Effect) (Change, []effect.Effect) {
	p := g.teller(e)
	if g.fleet.Wants(e.Versions.Fleet) {
		out = g.fetchFrom(e.At, event.Fleet, p, e.Versions.Fleet, out)
	}
	if g.rules.Wants(e.Versions.Rules) {
		return Change{}, g.fetchFrom(e.At, event.Rules, p, e.Versions.Rules, out)
	}
	ends := g.hear(e)
	if e.Relay && g.rules.Holds(e.Versions.Rules) && g.fleet.Holds(e.Versions.Fleet) {
		out = g.relay(e, out)
	}
	if e.Asked.IsZero() {
		return Change{Trust: ends}, out
	}
	learned := e.Asked.Add(-e.Versions.Age)
	if !g.rules.Holds(e.Versions.Rules) || e.Versions.Age > trustTime || g.trust.isTooOld(learned) {
		return Change{Trust: g.trust.fail()}, out
	}
	g.rules.Confirm(learned)
	return Change{Trust: g.trust.confirm() || ends}, out
}

// hear takes over what a peer knows to be the newest, and reports whether that ends
// the doubt in the rules. What it told unasked may have waited while this node slept,
// so it does not count during a check after a pause, nor shortly after it.
func (g *Gossip) hear(e event.Told) bool {
	at := askedAt(e.Asked, e.At)
	if g.trust.degree == Checking || g.trust.degree == Alone && at.Sub(g.trust.checked) < settleTime {
		return false
	}
	ends := false
	if g.rules.Holds(e.Versions.Rules) {
		g.yield(event.Rules, e, e.Versions.Age, g.Age(at))
		g.rules.Confirm(at.Add(-e.Versions.Age))
		ends = e.Versions.Age < trustTime && g.trust.confirm()
	}
	if g.fleet.Holds(e.Versions.Fleet) {
		g.yield(event.Fleet, e, e.Versions.FleetAge, g.FleetAge(at))
		g.fleet.Confirm(at.Add(-e.Versions.FleetAge))
	}
	return ends
}

// yield leaves the reading of a document to the peer of e where it has read later,
// or at about the same time and comes first in the order.
func (g *Gossip) yield(d event.Document, e event.Told, age, own time.Duration) {
	isFirst := age < readTime && xxhash.Sum64String(e.Peer) < xxhash.Sum64String(g.instance)
	if age < own || isFirst {
		g.reads[d].reader = false
	}
}

// teller returns the peer that told its versions. One that is not yet listed is
// known by the address that it told; the result is nil where it told none.
func (g *Gossip) teller(e event.Told) *fleet.Instance {
	p := g.other(e.Peer)
	if p == nil && e.Control.IsValid() {
		return &fleet.Instance{Name: e.Peer, Control: e.Control}
	}
	return p
}

// other returns the listed peer of the given name, or nil.
func (g *Gossip) other(name string) *fleet.Instance {
	for i := range g.others {
		if g.others[i].Name == name {
			p := g.others[i]
			return &p
		}
	}
	return nil
}

// Behind reports whether v is newer than the rules of this node.
func (g *Gossip) Behind(v view.Version) bool { return g.rules.Wants(v) }

// CatchUp asks the peer that holds the version v of the rules for them.
func (g *Gossip) CatchUp(at time.Time, name string, v view.Version, out []effect.Effect) []effect.Effect {
	return g.fetchFrom(at, event.Rules, g.other(name), v, out)
}

// fetchFrom asks a peer for the version v of a document, unless another peer
// was asked for it, or for a newer one, a moment ago. Where p is nil the platform
// is read soon.
func (g *Gossip) fetchFrom(at time.Time, d event.Document, p *fleet.Instance, v view.Version, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if p == nil {
		if r.soon.IsZero() {
			r.soon = at.Add(retryTime)
		}
		return out
	}
	if r.wanted.Compare(v) >= 0 && at.Sub(r.asked) < fetchTime {
		r.other, r.spare = p, v
		return out
	}
	r.wanted, r.asked = v, at
	return append(out, effect.Fetch{Document: d, Peer: p, After: g.version(d).Revision})
}

// askOther asks the second peer for what the first one did not give.
func (g *Gossip) askOther(d event.Document, at time.Time, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	p, v := r.other, r.spare
	if p == nil || r.wanted != (view.Version{}) && at.Sub(r.asked) < fetchTime {
		return out
	}
	r.other = nil
	isWanted := g.rules.Wants(v)
	if d == event.Fleet {
		isWanted = g.fleet.Wants(v)
	}
	if !isWanted {
		return out
	}
	return g.fetchFrom(at, d, p, v, out)
}

// Silent takes over that a peer could not be reached.
func (g *Gossip) Silent() Change { return Change{Trust: g.trust.fail()} }
