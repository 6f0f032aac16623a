package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
)

const (
	// startTick is the time between two ticks of a node, and the time of a read.
	startTick = 50 * time.Millisecond
	// staleLag is the age of a stale response of the platform.
	staleLag = 1500 * time.Millisecond
	// rulesDelay is the time after the start of the fleet at which the rules are published.
	rulesDelay = 3 * time.Second
	// registrationStep and registrationSteps are the times at which backend servers register.
	registrationStep  = 250 * time.Millisecond
	registrationSteps = 8
	// staleCost is the cost of a stale read, of that of a read.
	staleCost = 0.1
)

// fleetStart is a fleet that starts on a platform that holds nothing yet.
type fleetStart struct {
	began time.Time
	now   time.Time
	nodes []*gossip.Gossip
	// startsAt is the time at which each node starts.
	startsAt []time.Time
	index    map[string]int
	lists    []string
	random   *rand.Rand
	cost     float64
	// refused reports the nodes whose reads fail, and gone those that do nothing and get nothing;
	// nil means none.
	refused, gone func(node int) bool
	// storm are the times at which further rules are published.
	storm []time.Time
	next  []func()
	// later are responses that the platform holds.
	later []heldResponse
}

// heldResponse is the response to a held read.
type heldResponse struct {
	at      time.Time
	deliver func()
}

// newFleetStart returns the start of count nodes within 0.3 seconds.
func newFleetStart(c *qt.C, count int) *fleetStart {
	f := &fleetStart{began: time.Unix(1000, 0), index: make(map[string]int), random: rand.New(rand.NewPCG(1, uint64(count)))}
	f.now = f.began
	var all []fleet.Instance
	for i := range count {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 1)
		in := fleet.Instance{Name: fmt.Sprintf("i%d", i), Centre: "north", Service: "ledger", ForwardAddr: a, ControlAddr: a}
		f.index[in.Name] = i
		all = append(all, in)
		f.nodes = append(f.nodes, gossip.New(in.Name, "north"))
		f.startsAt = append(f.startsAt, f.began.Add(time.Duration(f.random.Int64N(int64(300*time.Millisecond)))))
	}
	f.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	for n := range registrationSteps + 1 {
		// Few backend servers register at first.
		listed := len(all) * n * n * n / (registrationSteps * registrationSteps * registrationSteps)
		text, err := fleet.Format(all[:listed])
		c.Assert(err, qt.IsNil)
		f.lists = append(f.lists, text)
	}
	return f
}

// document returns a document as the platform holds it at a time; the revision is 0 if it
// holds none.
func (f *fleetStart) document(d event.Document, at time.Time) (text string, revision uint64) {
	if d == event.Rules {
		if at.Before(f.began.Add(rulesDelay)) {
			return "", 0
		}
		revision := uint64(1)
		for _, t := range f.storm {
			if !at.Before(t) {
				revision++
			}
		}
		return ruleText + fmt.Sprintf("# revision %d\n", revision), revision
	}
	n := min(max(int(at.Sub(f.began)/registrationStep), 0), registrationSteps)
	return f.lists[n], uint64(n + 1)
}

// read serves a read of the platform.
func (f *fleetStart) read(node int, e effect.FetchDocument) {
	g, at := f.nodes[node], f.now
	if e.AllowStale {
		f.cost += staleCost
		at = at.Add(-staleLag)
	} else {
		f.cost++
	}
	queried := f.now
	deliver := func() {
		text, revision := f.document(e.Document, at)
		switch {
		case f.isGone(node):
		case f.refused != nil && f.refused(node) || revision == 0:
			g.DocumentReadFailed(event.DocumentReadFailed{At: f.now, Document: e.Document}, f.random.Uint64(), nil)
		case revision == e.After && e.Document == event.Rules && e.MaxHold > 0:
			_, out := g.DocumentUnchanged(event.DocumentUnchanged{At: f.now, QueriedAt: f.now, Document: e.Document, Revision: revision}, nil)
			f.run(node, out)
		default:
			_, out := g.DocumentRead(event.DocumentRead{At: f.now, QueriedAt: queried, Document: e.Document, Text: text, Revision: revision, MayBeStale: e.AllowStale}, f.random.Uint64(), nil)
			f.run(node, out)
		}
	}
	if e.Document == event.Rules && e.MaxHold > 0 {
		f.later = append(f.later, heldResponse{at: f.now.Add(e.MaxHold), deliver: deliver})
		return
	}
	f.next = append(f.next, deliver)
}

// run executes effects of a node. What they cause happens at the next tick.
func (f *fleetStart) run(node int, out []effect.Effect) {
	g := f.nodes[node]
	for _, e := range out {
		switch e := e.(type) {
		case effect.FetchDocument:
			if e.Peer == nil {
				f.read(node, e)
				continue
			}
			peer := f.index[e.Peer.Name]
			f.next = append(f.next, func() {
				if f.isGone(peer) {
					g.DocumentReadFailed(event.DocumentReadFailed{At: f.now, Document: e.Document, From: event.DocumentSource{Peer: e.Peer.Name}}, f.random.Uint64(), nil)
					return
				}
				text, v := f.nodes[peer].Text(e.Document)
				_, out := g.DocumentRead(event.DocumentRead{At: f.now, Document: e.Document, Text: text, Revision: v.Revision, From: event.DocumentSource{Peer: e.Peer.Name}}, f.random.Uint64(), nil)
				f.run(node, out)
			})
		case effect.BroadcastVersions:
			for _, p := range e.Peers {
				f.tell(node, f.index[p.Name], event.VersionsReceived{Versions: e.Versions, Relay: e.Relay})
			}
		case effect.ExchangeVersions:
			peer := f.index[e.Peer.Name]
			f.tell(node, peer, event.VersionsReceived{Versions: e.Versions})
			f.tell(peer, node, event.VersionsReceived{Versions: f.nodes[peer].Versions(f.now), QueriedAt: f.now})
		}
	}
}

// tell delivers the versions of one node to another at the next tick, if that has started.
func (f *fleetStart) tell(from, to int, e event.VersionsReceived) {
	f.next = append(f.next, func() {
		if f.now.Before(f.startsAt[to]) || f.isGone(to) {
			return
		}
		e.At, e.Peer, e.Control = f.now, fmt.Sprintf("i%d", from), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(from / 200), byte(from % 200)}), 1)
		_, out := f.nodes[to].VersionsReceived(e, nil)
		f.run(to, out)
	})
}

// advance runs the fleet for a time.
func (f *fleetStart) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(startTick) {
		due := f.next
		f.next = nil
		var held []heldResponse
		for _, r := range f.later {
			if r.at.After(f.now) {
				held = append(held, r)
				continue
			}
			due = append(due, r.deliver)
		}
		f.later = held
		for _, deliver := range due {
			deliver()
		}
		for i, g := range f.nodes {
			started := f.now.Sub(f.startsAt[i])
			switch {
			case started < 0 || f.isGone(i):
			case started < startTick:
				f.run(i, g.Start(f.now, nil))
			default:
				_, out := g.Tick(event.Tick{At: f.now, Random: f.random.Uint64()}, false, nil)
				f.run(i, out)
			}
		}
	}
}

// isGone reports whether a node does nothing.
func (f *fleetStart) isGone(node int) bool { return f.gone != nil && f.gone(node) }

// holders returns the number of nodes that hold the newest documents.
func (f *fleetStart) holders() int {
	count := 0
	want, _ := f.document(event.Rules, f.now)
	for i, g := range f.nodes {
		rules, _ := g.Text(event.Rules)
		if text, _ := g.Text(event.Fleet); !f.isGone(i) && rules == want && text == f.lists[registrationSteps] {
			count++
		}
	}
	return count
}

// oldest returns the highest age of a document at a node.
func (f *fleetStart) oldest() time.Duration {
	oldest := time.Duration(0)
	for i, g := range f.nodes {
		if !f.isGone(i) {
			oldest = max(oldest, g.RulesAge(f.now), g.FleetAge(f.now))
		}
	}
	return oldest
}

// A fleet that starts with nothing, while backend servers register and before the rules are
// published, must neither ask the platform much nor be slow to hold the documents.
func TestFleetStartNeedsFewCalls(t *testing.T) {
	for _, count := range []int{1, 14, 60, 296} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			c := qt.New(t)
			f := newFleetStart(c, count)
			f.advance(rulesDelay + 3*time.Second)
			c.Check(f.holders(), qt.Equals, count)
			// As long as nobody has found rules, the nodes read in turn, five times a second. Then a
			// reader makes two and a half calls a second. Beside them a node may cost half a call.
			const missing, steady, perNode = 5, 2.5, 0.5
			most := missing*rulesDelay.Seconds() + steady*(f.now.Sub(f.began)-rulesDelay).Seconds() + perNode*float64(count) + 10
			c.Check(f.cost <= most, qt.IsTrue, qt.Commentf("%.1f calls of at most %.1f", f.cost, most))
			t.Logf("%d nodes: %.1f calls", count, f.cost)
		})
	}
}

// Nodes that start one by one beside a fleet hold the documents soon, although those before
// them in the reading order do not know them yet.
func TestRestartedNodeHoldsDocumentsSoon(t *testing.T) {
	c := qt.New(t)
	f := newFleetStart(c, 60)
	f.advance(rulesDelay + 3*time.Second)
	before, began := f.cost, f.now
	for _, node := range []int{0, 7, 33, 59} {
		f.nodes[node] = gossip.New(fmt.Sprintf("i%d", node), "north")
		f.startsAt[node] = f.now
		f.advance(time.Second)
		c.Check(f.holders(), qt.Equals, 60, qt.Commentf("node %d", node))
		c.Check(f.nodes[node].FleetAge(f.now) < 2*time.Second, qt.IsTrue, qt.Commentf("node %d", node))
	}
	// The reader makes two and a half calls a second. A node that starts reads each document once
	// stale, and once more if it is the first in the reading order.
	const steady, perNode = 2.5, 2.2
	most := steady*f.now.Sub(began).Seconds() + 4*perNode
	c.Check(f.cost-before <= most, qt.IsTrue, qt.Commentf("%.1f calls of at most %.1f", f.cost-before, most))
}

// Only changes to a document that this node has read whole from the platform may be requested.
func TestChangesAreRequestedOnlyAfterOwnRead(t *testing.T) {
	c := qt.New(t)
	text, err := fleet.Format(instances)
	c.Assert(err, qt.IsNil)
	g := gossip.New("a", "north")
	g.Start(startTime, nil)
	read(g, startTime, event.Rules, 1, ruleText)
	now := startTime
	// changesOnly reports whether the next read of the instance list requests only changes.
	changesOnly := func() bool {
		for range 1000 {
			now = now.Add(startTick)
			_, out := g.Tick(event.Tick{At: now}, false, nil)
			for _, e := range out {
				if f, ok := e.(effect.FetchDocument); ok && f.Peer == nil && f.Document == event.Fleet && !f.AllowStale {
					return f.ChangesOnly
				}
			}
		}
		c.Fatal("the list is not read")
		return false
	}
	revision := uint64(1)
	deliver := func(e event.DocumentRead) {
		revision++
		e.At, e.QueriedAt, e.Document, e.Text, e.Revision = now, now, event.Fleet, text, revision
		g.DocumentRead(e, 0, nil)
	}
	deliver(event.DocumentRead{MayBeStale: true})
	c.Check(changesOnly(), qt.IsFalse)
	deliver(event.DocumentRead{})
	whole := 0
	for range 100 {
		if !changesOnly() {
			whole++
		}
		deliver(event.DocumentRead{})
	}
	c.Check(whole, qt.Equals, 3, qt.Commentf("whole reads of 100"))
	text, err = fleet.Format(instances[:4])
	c.Assert(err, qt.IsNil)
	deliver(event.DocumentRead{From: event.DocumentSource{Peer: "b"}})
	c.Check(changesOnly(), qt.IsFalse)
}

// fleetSizes are the sizes of fleets after their start that faults are injected into.
var fleetSizes = []int{60, 300}

// startedFleet returns a fleet whose nodes hold all documents.
func startedFleet(c *qt.C, count int) *fleetStart {
	f := newFleetStart(c, count)
	f.advance(rulesDelay + 5*time.Second)
	c.Assert(f.holders(), qt.Equals, count)
	return f
}

// advanceAndCheckAge runs the fleet and checks at each moment that no view gets older than most.
func (f *fleetStart) advanceAndCheckAge(c *qt.C, d, most time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(startTick)
		c.Assert(f.oldest() <= most, qt.IsTrue, qt.Commentf("%v at %v", f.oldest(), f.now.Sub(f.began)))
	}
}

// The platform refuses a third of the nodes. The others keep the views of all nodes young, at
// the same cost.
func TestThirdOfFleetIsRefused(t *testing.T) {
	for _, count := range fleetSizes {
		c := qt.New(t)
		f := startedFleet(c, count)
		before, began := f.cost, f.now
		f.refused = func(node int) bool { return node%3 == 0 }
		f.advanceAndCheckAge(c, 10*time.Second, 3*time.Second)
		// Two readers may overlap, and those that are refused try again rarely.
		rate := (f.cost - before) / f.now.Sub(began).Seconds()
		c.Check(rate <= 8, qt.IsTrue, qt.Commentf("%d nodes: %.1f calls a second", count, rate))
	}
}

// Twenty configurations in quick succession: all nodes hold the last one within the three
// seconds that an operator may expect, and no node reads each of them from the platform.
func TestStormOfConfigurations(t *testing.T) {
	for _, count := range fleetSizes {
		c := qt.New(t)
		f := startedFleet(c, count)
		before := f.cost
		const versions, interval = 20, 150 * time.Millisecond
		for i := range versions {
			f.storm = append(f.storm, f.now.Add(time.Duration(i)*interval))
		}
		f.advance(versions * interval)
		f.advance(3 * time.Second)
		c.Check(f.holders(), qt.Equals, count)
		c.Check(f.cost-before <= 80, qt.IsTrue, qt.Commentf("%d nodes: %.1f calls", count, f.cost-before))
	}
}

// A fifth of the fleet loses power, and returns at once with nothing while all is listed as
// before.
func TestDataCentreReturns(t *testing.T) {
	for _, count := range fleetSizes {
		c := qt.New(t)
		f := startedFleet(c, count)
		isLost := func(node int) bool { return node%5 == 2 }
		f.gone = isLost
		f.advanceAndCheckAge(c, 4*time.Second, 4*time.Second)
		f.gone = nil
		for i := range f.nodes {
			if isLost(i) {
				f.nodes[i] = gossip.New(fmt.Sprintf("i%d", i), "north")
				f.startsAt[i] = f.now
			}
		}
		before := f.cost
		f.advance(2 * time.Second)
		c.Check(f.holders(), qt.Equals, count)
		// Each node that returns reads two documents stale; some may read again in their turn.
		most := 0.2*float64(count/5) + 5*2.5
		c.Check(f.cost-before <= most, qt.IsTrue, qt.Commentf("%d nodes: %.1f calls of at most %.1f", count, f.cost-before, most))
	}
}
