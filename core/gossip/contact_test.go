package gossip_test

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
)

const (
	// rulesBound is the time after the publication of rules within which each node in contact
	// with the platform must hold them, and unstableBound the same while the platform refuses
	// some of the nodes.
	rulesBound    = 2 * time.Second
	unstableBound = 7 * time.Second
	// contactTime is the time without a fault of its own after which a node counts as in contact.
	contactTime = 3 * time.Second
	// contactTick is the time between two ticks of a node.
	contactTick = 50 * time.Millisecond
	// hop is the time that a message or a response takes.
	hop = 4 * time.Millisecond
	// hungRead and hungCall are the timeouts of reads of the platform, beyond their hold, and of
	// calls to peers.
	hungRead, hungFetch, hungCall = 2 * time.Second, 1500 * time.Millisecond, 400 * time.Millisecond
	// lossPercent is the share of the datagrams that are lost.
	lossPercent = 2
)

// seeds is the number of seeds of TestPublishedRulesReachNodesInContact, and relaySeeds that of
// TestPublishedRulesReachNodesWhoseRelaysAreGone for each size.
var (
	seeds      = flag.Int("gossip.seeds", 60, "number of seeds of the mixed faults")
	relaySeeds = flag.Int("gossip.relayseeds", 2, "number of seeds of the mixed faults in larger fleets")
)

// smallFleet is a number of nodes that inform each other directly.
const smallFleet = 13

// contactStart is the time at which the fleets of these tests start.
var contactStart = time.Unix(1000, 0)

// errFault is the cause of reads that fail in these tests.
var errFault = errors.New("fault")

// access is how the platform treats a node.
type access uint8

const (
	reachable access = iota
	refused
	silent
)

// outage is a fault that holds for some nodes between two times.
type outage struct {
	from, to time.Time
	nodes    map[int]bool
	// down takes the nodes down; they start again with nothing.
	down bool
	// access is how the platform treats the nodes.
	access access
	// isolated cuts the nodes off from the others.
	isolated bool
}

// contactFleet is a fleet under faults, whose messages and responses take time.
type contactFleet struct {
	now       time.Time
	random    *rand.Rand
	nodes     []*gossip.Gossip
	starts    []int
	instances []fleet.Instance
	index     map[string]int
	list      string
	published []time.Time
	outages   []outage
	staleLag  time.Duration
	queue     deliveries
	sequence  int
	// prefersHome makes the nodes prefer their own data centres.
	prefersHome bool
	// crossed is the number of documents that were fetched from another data centre.
	crossed int
	// copies replaces the platform, unless it is nil.
	copies *copyingPlatform
}

// delivery is something that happens at a time.
type delivery struct {
	at       time.Time
	sequence int
	do       func()
}

// deliveries is a heap of deliveries by time.
type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, k int) bool {
	return d[i].at.Before(d[k].at) || d[i].at.Equal(d[k].at) && d[i].sequence < d[k].sequence
}
func (d deliveries) Swap(i, k int) { d[i], d[k] = d[k], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// newContactFleet returns a fleet of count nodes in one data centre that start together.
func newContactFleet(c *qt.C, count int, seed uint64) *contactFleet {
	return newSpreadFleet(c, count, 1, false, seed)
}

// newSpreadFleet returns a fleet of count nodes in several data centres that start together.
func newSpreadFleet(c *qt.C, count, centres int, prefersHome bool, seed uint64) *contactFleet {
	f := &contactFleet{now: contactStart, random: rand.New(rand.NewPCG(seed, 25)), index: make(map[string]int), prefersHome: prefersHome}
	f.published = []time.Time{f.now.Add(-time.Minute)}
	f.staleLag = time.Duration(f.random.Int64N(int64(6 * time.Second)))
	for i := range count {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 1)
		in := fleet.Instance{Name: fmt.Sprintf("s%d-i%d", seed, i), Centre: fmt.Sprintf("centre-%d", i*centres/count), Service: "ledger", ForwardAddr: a, ControlAddr: a}
		f.index[in.Name] = i
		f.instances = append(f.instances, in)
		f.nodes = append(f.nodes, nil)
		f.starts = append(f.starts, 0)
	}
	text, err := fleet.Format(f.instances)
	c.Assert(err, qt.IsNil)
	f.list = text
	for i := range count {
		f.start(i)
	}
	return f
}

// after calls do after a delay.
func (f *contactFleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, delivery{at: f.now.Add(d), sequence: f.sequence, do: do})
}

// onNode calls do after a delay if the node has not been started again and is up.
func (f *contactFleet) onNode(node int, d time.Duration, do func(g *gossip.Gossip) []effect.Effect) {
	start := f.starts[node]
	f.after(d, func() {
		if f.starts[node] == start && f.isUp(node) {
			f.run(node, do(f.nodes[node]))
		}
	})
}

// start starts a node with nothing.
func (f *contactFleet) start(node int) {
	f.starts[node]++
	f.nodes[node] = gossip.New(f.instances[node].Name, f.instances[node].Centre)
	if f.prefersHome {
		f.nodes[node].PreferHome()
	}
	f.onNode(node, 0, func(g *gossip.Gossip) []effect.Effect { return g.Start(f.now, nil) })
	f.tick(node)
}

// tick makes a node tick until it ends.
func (f *contactFleet) tick(node int) {
	f.onNode(node, contactTick, func(g *gossip.Gossip) []effect.Effect {
		f.tick(node)
		_, out := g.Tick(event.Tick{At: f.now, Random: f.random.Uint64()}, false, nil)
		return out
	})
}

// inject injects a fault. Nodes that it takes down start again when it ends.
func (f *contactFleet) inject(o outage) {
	f.outages = append(f.outages, o)
	if !o.down {
		return
	}
	for node := range f.nodes {
		if o.nodes[node] {
			f.after(o.to.Sub(f.now), func() {
				if f.isUp(node) {
					f.start(node)
				}
			})
		}
	}
}

// holds reports whether a fault holds for a node at some time between from and to.
func (f *contactFleet) holds(node int, from, to time.Time, is func(o outage) bool) bool {
	for _, o := range f.outages {
		if o.nodes[node] && is(o) && o.from.Before(to) && from.Before(o.to) {
			return true
		}
	}
	return false
}

// isUp reports whether a node is up.
func (f *contactFleet) isUp(node int) bool {
	return !f.holds(node, f.now, f.now.Add(1), func(o outage) bool { return o.down })
}

// isInContact reports whether a node was up and reached the platform for contactTime.
func (f *contactFleet) isInContact(node int) bool {
	if f.now.Sub(contactStart) < contactTime {
		return false
	}
	return !f.holds(node, f.now.Add(-contactTime), f.now.Add(1), func(o outage) bool { return o.down || o.access != reachable })
}

// isStable reports whether the platform refused no node for contactTime, so that rulesBound holds.
func (f *contactFleet) isStable() bool {
	for node := range f.nodes {
		if f.holds(node, f.now.Add(-contactTime), f.now.Add(1), func(o outage) bool { return o.access == refused }) {
			return false
		}
	}
	return true
}

// accessOf returns how the platform treats a node between now and a later time.
func (f *contactFleet) accessOf(node int, until time.Time) access {
	for _, a := range []access{silent, refused} {
		if f.holds(node, f.now, until, func(o outage) bool { return o.access == a }) {
			return a
		}
	}
	return reachable
}

// areConnected reports whether messages between two nodes arrive.
func (f *contactFleet) areConnected(a, b int) bool {
	for _, o := range f.outages {
		if o.isolated && o.nodes[a] != o.nodes[b] && !f.now.Before(o.from) && f.now.Before(o.to) {
			return false
		}
	}
	return true
}

// rulesAt returns the rules as of a time, the revision of the platform then, and that of the last
// change. Other keys of the platform change ten times a second.
func (f *contactFleet) rulesAt(at time.Time) (text string, revision, changed uint64) {
	const others = 100 * time.Millisecond
	of := func(t time.Time, version int) uint64 {
		return uint64(t.Sub(time.Unix(900, 0))/others) + uint64(version)
	}
	version := 0
	for version < len(f.published) && !at.Before(f.published[version]) {
		version++
	}
	return ruleText + fmt.Sprintf("# version %d\n", version), of(at, version), of(f.published[version-1], version)
}

// read serves a read of the platform by a node.
func (f *contactFleet) read(node int, e effect.FetchDocument) {
	if f.copies != nil {
		f.copies.read(f, node, e)
		return
	}
	if f.accessOf(node, f.now.Add(1)) == refused {
		f.onNode(node, hop, func(g *gossip.Gossip) []effect.Effect { return f.readFailed(g, e) })
		return
	}
	hold := time.Duration(0)
	if e.Document == event.Rules && e.After > 0 {
		hold = e.MaxHold
		for _, p := range f.published {
			if _, _, changed := f.rulesAt(p); changed > e.After {
				hold = min(hold, max(p.Sub(f.now), 0))
			}
		}
	}
	if f.accessOf(node, f.now.Add(hold+hop)) != reachable {
		f.onNode(node, e.MaxHold+hungRead, func(g *gossip.Gossip) []effect.Effect { return f.readFailed(g, e) })
		return
	}
	queried := f.now
	f.onNode(node, hold+hop, func(g *gossip.Gossip) []effect.Effect { return f.answer(g, e, queried) })
}

// answer delivers the response of the platform to a read.
func (f *contactFleet) answer(g *gossip.Gossip, e effect.FetchDocument, queried time.Time) []effect.Effect {
	at := f.now.Add(-hop / 2)
	if e.AllowStale {
		at = at.Add(-f.staleLag)
	}
	text, revision, changed := f.rulesAt(at)
	if e.Document == event.Fleet {
		text = f.list
	} else if e.MaxHold > 0 && e.After >= changed {
		_, out := g.DocumentUnchanged(event.DocumentUnchanged{At: f.now, QueriedAt: f.now.Add(-hop), Document: e.Document, Revision: revision}, nil)
		return out
	}
	_, out := g.DocumentRead(event.DocumentRead{At: f.now, QueriedAt: queried, Document: e.Document, Text: text, Revision: revision, MayBeStale: e.AllowStale}, f.random.Uint64(), nil)
	return out
}

// readFailed delivers the failure of a read.
func (f *contactFleet) readFailed(g *gossip.Gossip, e effect.FetchDocument) []effect.Effect {
	failed := event.DocumentReadFailed{At: f.now, Document: e.Document, Cause: errFault}
	if e.Peer != nil {
		failed.From.Peer = e.Peer.Name
	}
	_, out := g.DocumentReadFailed(failed, f.random.Uint64(), nil)
	return out
}

// run executes effects of a node.
func (f *contactFleet) run(node int, out []effect.Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case effect.FetchDocument:
			if e.Peer == nil {
				f.read(node, e)
			} else {
				f.fetch(node, e)
			}
		case effect.BroadcastVersions:
			for _, p := range e.Peers {
				if f.random.IntN(100) >= lossPercent {
					f.tell(node, f.index[p.Name], e.Versions, e.Relay)
				}
			}
		case effect.ExchangeVersions:
			f.exchange(node, e)
		}
	}
}

// fetch serves a read of a document from a peer.
func (f *contactFleet) fetch(node int, e effect.FetchDocument) {
	peer := f.index[e.Peer.Name]
	if !f.isUp(peer) || !f.areConnected(node, peer) {
		f.onNode(node, hungFetch, func(g *gossip.Gossip) []effect.Effect { return f.readFailed(g, e) })
		return
	}
	f.onNode(node, 2*hop, func(g *gossip.Gossip) []effect.Effect {
		text, v := f.nodes[peer].Text(e.Document)
		if v.Revision == 0 {
			return f.readFailed(g, e)
		}
		if f.instances[peer].Centre != f.instances[node].Centre {
			f.crossed++
		}
		_, out := g.DocumentRead(event.DocumentRead{At: f.now, Document: e.Document, Text: text, Edition: v.Edition, Epoch: v.Epoch, Revision: v.Revision, From: event.DocumentSource{Peer: e.Peer.Name}}, f.random.Uint64(), nil)
		return out
	})
}

// tell delivers the versions of one node to another.
func (f *contactFleet) tell(from, to int, v event.Versions, relay bool) {
	if !f.areConnected(from, to) {
		return
	}
	f.onNode(to, hop, func(g *gossip.Gossip) []effect.Effect {
		_, out := g.VersionsReceived(event.VersionsReceived{At: f.now, Peer: f.instances[from].Name, Control: f.instances[from].ControlAddr, Versions: v, Relay: relay}, nil)
		return out
	})
}

// exchange serves an exchange of versions with a peer.
func (f *contactFleet) exchange(node int, e effect.ExchangeVersions) {
	peer, queried := f.index[e.Peer.Name], f.now
	if !f.isUp(peer) || !f.areConnected(node, peer) {
		f.onNode(node, hungCall, func(g *gossip.Gossip) []effect.Effect {
			g.PeerUnreachable()
			return nil
		})
		return
	}
	f.tell(node, peer, e.Versions, false)
	f.onNode(node, 2*hop, func(g *gossip.Gossip) []effect.Effect {
		_, out := g.VersionsReceived(event.VersionsReceived{
			At: f.now, QueriedAt: queried, Peer: e.Peer.Name, Control: e.Peer.ControlAddr, Versions: f.nodes[peer].Versions(f.now),
		}, nil)
		return out
	})
}

// advance runs the fleet until a time, and returns the first case of a node in contact that does
// not hold rules which were published rulesBound earlier, or an empty text.
func (f *contactFleet) advance(until time.Time) string {
	for check := f.now; f.now.Before(until); {
		if len(f.queue) == 0 || f.queue[0].at.After(check) {
			f.now = check
			if late := f.late(); late != "" {
				return late
			}
			check = check.Add(contactTick)
			continue
		}
		d := heap.Pop(&f.queue).(delivery)
		f.now = d.at
		d.do()
	}
	return ""
}

// late returns the first node in contact without the rules that it must hold.
func (f *contactFleet) late() string {
	if f.copies != nil {
		return f.copies.late(f)
	}
	bound := rulesBound
	if !f.isStable() {
		bound = unstableBound
	}
	_, _, due := f.rulesAt(f.now.Add(-bound))
	for i, g := range f.nodes {
		if !f.isInContact(i) {
			continue
		}
		if _, v := g.Text(event.Rules); v.Revision < due {
			return fmt.Sprintf("node %d at %v: revision %d, rules of revision %d were published %v earlier or more", i, f.now.Sub(contactStart), v.Revision, due, bound)
		}
	}
	return ""
}

// nodesWhere returns the nodes for which is holds.
func (f *contactFleet) nodesWhere(is func(node int) bool) map[int]bool {
	nodes := make(map[int]bool)
	for i := range f.nodes {
		if is(i) {
			nodes[i] = true
		}
	}
	return nodes
}

// lateSeeds are further seeds whose rules were in force late once.
var lateSeeds = []uint64{
	61, 87, 89, 242, 402, 425, 466, 562, 570, 844, 887, 1000,
	1020, 1030, 1111, 1152, 1290, 1419, 1474, 1671, 1675, 1811, 1843, 1954,
	2007, 2190, 2251, 2290, 2374, 2454, 2506, 2551, 2646, 2704, 2755, 2828,
	2849, 3083, 3085, 3262, 3309, 3380, 3419, 3442, 3451, 3535, 3625, 3767,
	3920, 3948, 3975,
}

// Rules that are published at any moment of a mix of faults must be in force within the bound at
// each node that is up and reaches the platform.
func TestPublishedRulesReachNodesInContact(t *testing.T) {
	tested := slices.Clone(lateSeeds)
	for seed := range uint64(*seeds) {
		tested = append(tested, seed)
	}
	for _, seed := range tested {
		if late := runMixedFaults(qt.New(t), smallFleet, seed); late != "" {
			t.Errorf("seed %d: %s", seed, late)
		}
	}
}

// lateRelaySeeds are the seeds whose rules were in force late once in a fleet of a given size,
// because most relays of the broadcasts were unavailable.
var lateRelaySeeds = map[int][]uint64{
	40: {136, 239, 319, 324},
	60: {131, 174, 218},
}

// Rules must also reach nodes whose peers are too many for direct broadcasts, where most of the
// nodes that relay these are unavailable.
func TestPublishedRulesReachNodesWhoseRelaysAreGone(t *testing.T) {
	for nodes, late := range lateRelaySeeds {
		tested := slices.Clone(late)
		for seed := range uint64(*relaySeeds) {
			tested = append(tested, seed)
		}
		for _, seed := range tested {
			if late := runMixedFaults(qt.New(t), nodes, seed); late != "" {
				t.Errorf("%d nodes, seed %d: %s", nodes, seed, late)
			}
		}
	}
}

// A node that no peer reaches must read the platform itself in time, wherever it stands in the
// reading order.
func TestPublishedRulesReachNodesWithoutPeers(t *testing.T) {
	for _, nodes := range []int{smallFleet, 60} {
		for seed := range uint64(4) {
			f := newContactFleet(qt.New(t), nodes, seed)
			from := contactStart.Add(8 * time.Second)
			f.advance(from)
			for node := range nodes {
				if f.random.IntN(4) == 0 {
					f.inject(outage{from: from, to: from.Add(6 * time.Second), nodes: map[int]bool{node: true}, isolated: true})
				}
			}
			for at := from; at.Before(from.Add(6 * time.Second)); at = at.Add(700 * time.Millisecond) {
				f.published = append(f.published, at)
			}
			if late := f.advance(from.Add(10 * time.Second)); late != "" {
				t.Errorf("%d nodes, seed %d: %s", nodes, seed, late)
			}
		}
	}
}

// A node that is left without peers must have new rules in force as soon as any other: a stale
// response of the platform must not keep it on old ones.
func TestPublishedRulesReachLastNode(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes int
		// restarts makes the last node start again when the others are lost.
		restarts bool
		// delisted removes the others from the instance list soon after they are lost.
		delisted bool
	}{
		{"alone from the start", 1, false, false},
		{"peers leave the list", 2, false, true},
		{"many peers leave the list", smallFleet, false, true},
		{"starts again and peers leave the list", smallFleet, true, true},
		{"starts again beside listed peers", smallFleet, true, false},
		{"starts again beside many listed peers", 60, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(8) {
				if late := runLastNode(qt.New(t), seed, test.nodes, test.restarts, test.delisted); late != "" {
					t.Errorf("seed %d: %s", seed, late)
				}
			}
		})
	}
}

// runLastNode runs a fleet whose nodes but one are lost for good while rules are published. It
// returns the first case of late rules, or an empty text.
func runLastNode(c *qt.C, seed uint64, nodes int, restarts, delisted bool) string {
	const restartTime, listingTime, length = time.Second, 4 * time.Second, 25 * time.Second
	f := newContactFleet(c, nodes, seed)
	lost := contactStart
	if nodes > 1 {
		lost = lost.Add(8 * time.Second)
		f.advance(lost)
	}
	last := f.random.IntN(nodes)
	f.inject(outage{from: lost, to: lost.Add(2 * length), nodes: f.nodesWhere(func(i int) bool { return i != last }), down: true})
	if restarts {
		f.inject(outage{from: lost, to: lost.Add(restartTime), nodes: map[int]bool{last: true}, down: true})
	}
	if delisted {
		f.after(listingTime, func() {
			text, err := fleet.Format(f.instances[last : last+1])
			c.Assert(err, qt.IsNil)
			f.list = text
		})
	}
	for at := lost; at.Before(lost.Add(length)); at = at.Add(700 * time.Millisecond) {
		f.published = append(f.published, at)
	}
	return f.advance(lost.Add(length))
}

// runMixedFaults runs a fleet through random faults and publications of rules. It returns the
// first node in contact that is late, or an empty text.
func runMixedFaults(c *qt.C, nodes int, seed uint64) string {
	return newContactFleet(c, nodes, seed).runMixedFaults()
}

// runMixedFaults runs the fleet, which has just started, as the function of this name does.
func (f *contactFleet) runMixedFaults() string {
	const faults, changes, settling, length = 6, 8, 5 * time.Second, 30 * time.Second
	from := contactStart.Add(settling)
	if late := f.advance(from); late != "" {
		return late
	}
	for range faults {
		f.inject(f.drawOutage(from, length))
	}
	for range changes {
		at := from.Add(time.Duration(f.random.Int64N(int64(length))))
		if o := f.outages[f.random.IntN(len(f.outages))]; f.random.IntN(2) == 0 {
			// Many changes come at the start or the end of a fault.
			at = []time.Time{o.from, o.to}[f.random.IntN(2)].Add(time.Duration(f.random.Int64N(int64(time.Second))))
		}
		f.published = append(f.published, at)
	}
	slices.SortFunc(f.published, time.Time.Compare)
	return f.advance(from.Add(length + 2*settling))
}

// drawOutage returns a random fault of a random share of the nodes.
func (f *contactFleet) drawOutage(from time.Time, within time.Duration) outage {
	o := outage{from: from.Add(time.Duration(f.random.Int64N(int64(within))))}
	share := 0.1 + 0.5*f.random.Float64()
	o.nodes = f.nodesWhere(func(int) bool { return f.random.Float64() < share })
	o.to = o.from.Add(time.Second + time.Duration(f.random.Int64N(int64(8*time.Second))))
	switch f.random.IntN(5) {
	case 0:
		o.down = true
	case 1:
		o.access = refused
	case 2:
		o.access = silent
	case 3:
		o.access, o.isolated = silent, true
	case 4:
		o.nodes = f.nodesWhere(func(int) bool { return true })
		o.access = []access{refused, silent}[f.random.IntN(2)]
	}
	return o
}
