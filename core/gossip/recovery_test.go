package gossip_test

import (
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

const (
	// outBound is the time after its publication within which a data centre must be out of service,
	// and backBound that after its end, or after a later return of the platform, within which it must be
	// back, the time for which it may be kept included.
	outBound, backBound = 5 * time.Second, 13 * time.Second
	// leaveBound is the time after which a backend server that announced its departure gets nothing.
	leaveBound = 2 * time.Second
)

// returnSeeds is the number of seeds of TestRulesHoldWhilePlatformReturnsFromCopies.
var returnSeeds = flag.Int("gossip.returnseeds", 40, "number of seeds of the returns from copies")

// contents is what a copyingPlatform holds at some time.
type contents struct {
	edition uint64
	out     map[string]bool
	// leaving are the incarnations of backend servers that are leaving, and gone those that have left.
	leaving, gone map[string]bool
}

// clone returns a copy of c.
func (c contents) clone() contents {
	return contents{c.edition, maps.Clone(c.out), maps.Clone(c.leaving), maps.Clone(c.gone)}
}

// write is a change of the contents.
type write struct {
	at time.Time
	do func(c *contents)
}

// state is the contents from a time on.
type state struct {
	at       time.Time
	revision uint64
	contents contents
	write    write
}

// copyingPlatform is a platform that loses its last seconds at times, after which the same writes are made
// again.
type copyingPlatform struct {
	epoch  uint64
	states []state
	// wanted is what was written last, whatever was lost, and since is the time of each of its parts.
	wanted contents
	since  map[string]time.Time
	// away is the time until which nothing is answered, and returned that of the last return.
	away, returned time.Time
	// editions are the highest editions that each start of a node had in force.
	editions map[[2]int]uint64
}

// publish makes a change that its author wants.
func (p *copyingPlatform) publish(now time.Time, part string, do func(c *contents)) {
	do(&p.wanted)
	p.since[part] = now
	p.apply(write{at: now, do: do})
}

// apply makes a change of the contents.
func (p *copyingPlatform) apply(w write) {
	last := p.states[len(p.states)-1]
	next := state{at: w.at, revision: last.revision + uint64(w.at.Sub(last.at)/(100*time.Millisecond)) + 1, contents: last.contents.clone(), write: w}
	w.do(&next.contents)
	p.states = append(p.states, next)
}

// returnFrom comes back from a copy of some time ago. It returns the writes that are lost.
func (p *copyingPlatform) returnFrom(now time.Time, age time.Duration) []write {
	p.epoch++
	p.returned = now
	n := len(p.states)
	for n > 1 && p.states[n-1].at.After(now.Add(-age)) {
		n--
	}
	var lost []write
	for _, s := range p.states[n:] {
		lost = append(lost, s.write)
	}
	kept := p.states[n-1]
	kept.at, kept.revision = now, kept.revision+uint64(now.Add(-age).Sub(kept.at)/(100*time.Millisecond))
	p.states = append(slices.Clone(p.states[:n-1]), kept)
	return lost
}

// text returns the text of a document that holds c.
func (p *copyingPlatform) text(f *contactFleet, d event.Document, c contents) string {
	if d == event.Rules {
		text := ruleText + fmt.Sprintf("# version %d\n", c.edition)
		for _, centre := range slices.Sorted(maps.Keys(c.out)) {
			text += fmt.Sprintf("out centre=%s   # operator: evacuation\n", centre)
		}
		return text
	}
	var list []fleet.Instance
	for _, i := range f.instances {
		i.Leaving = c.leaving[i.Incarnation]
		if !c.gone[i.Incarnation] {
			list = append(list, i)
		}
	}
	text, err := fleet.Format(list)
	if err != nil {
		panic(err)
	}
	return text
}

// read serves a read by a node. A read that waits ends when the platform goes away.
func (p *copyingPlatform) read(f *contactFleet, node int, e effect.FetchDocument) {
	if f.now.Before(p.away) {
		f.onNode(node, hop, func(g *gossip.Gossip) []effect.Effect { return f.readFailed(g, e) })
		return
	}
	queried, asked := f.now, p.epoch
	var poll func(g *gossip.Gossip) []effect.Effect
	poll = func(g *gossip.Gossip) []effect.Effect {
		last := p.states[len(p.states)-1]
		revision := last.revision + uint64(f.now.Sub(last.at)/(100*time.Millisecond))
		isUnchanged := e.Document == event.Rules && e.MaxHold > 0 && e.Epoch == p.epoch && e.After >= last.revision
		switch {
		case asked != p.epoch:
			return f.readFailed(g, e)
		case isUnchanged && f.now.Sub(queried) < e.MaxHold:
			f.onNode(node, hop, poll)
			return nil
		case isUnchanged:
			_, out := g.DocumentUnchanged(event.DocumentUnchanged{At: f.now, QueriedAt: f.now.Add(-hop), Document: e.Document, Epoch: p.epoch, Revision: revision}, nil)
			return out
		}
		read := event.DocumentRead{At: f.now, QueriedAt: queried, Document: e.Document, Text: p.text(f, e.Document, last.contents), Epoch: p.epoch, Revision: revision, MayBeStale: e.AllowStale}
		if e.Document == event.Rules {
			read.Edition = last.contents.edition
		}
		_, out := g.DocumentRead(read, f.random.Uint64(), nil)
		return out
	}
	f.onNode(node, hop, poll)
}

// late returns the first node that breaks what must hold, or an empty text.
func (p *copyingPlatform) late(f *contactFleet) string {
	for n, g := range f.nodes {
		set, ok := g.Rules()
		if !ok || !f.isUp(n) {
			continue
		}
		edition := g.Versions(f.now).Rules.Edition
		start := [2]int{n, f.starts[n]}
		if edition < p.editions[start] {
			return fmt.Sprintf("node %d at %v: edition %d after %d", n, f.now.Sub(contactStart), edition, p.editions[start])
		}
		p.editions[start] = edition
		if f.isInContact(n) {
			if late := p.lateIn(f, g, set); late != "" {
				return fmt.Sprintf("node %d at %v, epoch %d: %s", n, f.now.Sub(contactStart), p.epoch, late)
			}
		}
	}
	return ""
}

// lateIn returns what a node in contact misses, or an empty text.
func (p *copyingPlatform) lateIn(f *contactFleet, g *gossip.Gossip, set *rules.Set) string {
	wrote := p.states[len(p.states)-1].contents.edition == p.wanted.edition
	if v := g.Versions(f.now).Rules; wrote && f.now.Sub(p.since["edition"]) > rulesBound && v.Edition < p.wanted.edition {
		return fmt.Sprintf("%+v in place of edition %d, written %v ago", v, p.wanted.edition, f.now.Sub(p.since["edition"]))
	}
	for part, since := range p.since {
		name, isCentre := strings.CutPrefix(part, "out ")
		age := f.now.Sub(since)
		if isCentre && p.wanted.out[name] && age > outBound && !set.IsOutOfService("", name) {
			return fmt.Sprintf("%s is in service, taken out %v ago", name, age)
		}
		if isCentre && !p.wanted.out[name] && min(age, f.now.Sub(p.returned)) > backBound && set.IsOutOfService("", name) {
			return fmt.Sprintf("%s is out of service, taken back %v ago", name, age)
		}
	}
	list, _ := g.Fleet()
	for _, i := range list {
		since, ok := p.since["leave "+i.Incarnation]
		if ok && f.now.Sub(since) > leaveBound+outageBoundOf(f, p) && !i.Leaving {
			return fmt.Sprintf("%s is in use, left %v ago", i.Incarnation, f.now.Sub(since))
		}
	}
	return ""
}

// outageBoundOf returns the time by which departures may be known later, as reads fail while the
// platform is away and for the first contactTime after that.
func outageBoundOf(f *contactFleet, p *copyingPlatform) time.Duration {
	if f.now.Sub(p.away) < contactTime {
		return contactTime
	}
	return 0
}

// runReturns runs a fleet whose platform returns from copies, with restarts of nodes between, and returns
// the first case in which a node breaks what must hold.
func runReturns(c *qt.C, seed uint64) string {
	f := newSpreadFleet(c, smallFleet, 3, false, seed)
	for n := range f.instances {
		f.instances[n].Incarnation = fmt.Sprintf("life-%d", n)
	}
	first := contents{edition: 1, out: map[string]bool{}, leaving: map[string]bool{}, gone: map[string]bool{}}
	p := &copyingPlatform{epoch: 1, wanted: first.clone(), since: map[string]time.Time{"edition": contactStart}, editions: map[[2]int]uint64{}}
	p.states = []state{{at: contactStart.Add(-time.Second), revision: 100, contents: first}}
	f.copies = p
	leaving := 0
	for range 12 {
		if late := f.advance(f.now.Add(time.Duration(1 + f.random.Int64N(int64(4*time.Second))))); late != "" {
			return late
		}
		switch f.random.IntN(6) {
		case 0, 1:
			p.publish(f.now, "edition", func(c *contents) { c.edition = p.wanted.edition + 1 })
			edition := p.wanted.edition
			p.states[len(p.states)-1].write.do = func(c *contents) { c.edition = edition }
		case 2:
			centre := fmt.Sprintf("centre-%d", f.random.IntN(3))
			if p.wanted.out[centre] {
				p.publish(f.now, "out "+centre, func(c *contents) { delete(c.out, centre) })
			} else {
				p.publish(f.now, "out "+centre, func(c *contents) { c.out[centre] = true })
			}
		case 3:
			if leaving < 3 {
				id := f.instances[leaving].Incarnation
				leaving++
				p.publish(f.now, "leave "+id, func(c *contents) { c.leaving[id] = true })
			}
		case 4:
			node := f.random.IntN(len(f.nodes))
			f.inject(outage{from: f.now, to: f.now.Add(time.Duration(f.random.Int64N(int64(2 * time.Second)))), nodes: map[int]bool{node: true}, down: true})
		}
		if f.random.IntN(3) == 0 {
			if late := p.playReturn(f); late != "" {
				return late
			}
		}
	}
	return f.advance(f.now.Add(15 * time.Second))
}

// playReturn takes the platform away for a moment, brings a copy back and makes the lost writes again.
func (p *copyingPlatform) playReturn(f *contactFleet) string {
	p.away = f.now.Add(time.Duration(1 + f.random.Int64N(int64(time.Second))))
	if late := f.advance(p.away); late != "" {
		return late
	}
	lost := p.returnFrom(f.now, time.Duration(f.random.Int64N(int64(6*time.Second))))
	if late := f.advance(f.now.Add(time.Duration(1 + f.random.Int64N(int64(time.Second))))); late != "" {
		return late
	}
	for _, w := range lost {
		w.at = f.now
		p.apply(w)
		if p.states[len(p.states)-1].contents.edition == p.wanted.edition {
			p.since["edition"] = f.now
		}
	}
	return ""
}

// TestRulesHoldWhilePlatformReturnsFromCopies guards against a platform whose return from an older copy
// takes back what is in force, or keeps nodes from following what is written after it.
func TestRulesHoldWhilePlatformReturnsFromCopies(t *testing.T) {
	for seed := range uint64(*returnSeeds) {
		if late := runReturns(qt.New(t), seed); late != "" {
			t.Errorf("seed %d: %s", seed, late)
		}
	}
}

// TestServersWithoutIncarnationAreToldApart guards against one departure that takes all instances out of
// use after a return, where the list has no incarnations.
func TestServersWithoutIncarnationAreToldApart(t *testing.T) {
	c := qt.New(t)
	g := gossip.New("i0", "north")
	now := time.Unix(1000, 0)
	list := func(epoch, revision uint64, leaving string) []fleet.Instance {
		var all []fleet.Instance
		for n := range 3 {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1)
			name := fmt.Sprintf("i%d", n)
			all = append(all, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: a, ControlAddr: a, Leaving: name == leaving})
		}
		text, err := fleet.Format(all)
		c.Assert(err, qt.IsNil)
		g.DocumentRead(event.DocumentRead{At: now, Document: event.Fleet, Text: text, Epoch: epoch, Revision: revision}, 1, nil)
		instances, _ := g.Fleet()
		return instances
	}
	list(1, 1, "")
	list(1, 2, "i1")
	for _, i := range list(2, 1, "") {
		c.Check(i.Leaving, qt.Equals, i.Name == "i1", qt.Commentf("%s", i.Name))
	}
}

// TestOlderEditionIsLoggedOnce reads a copy with an older edition several times.
func TestOlderEditionIsLoggedOnce(t *testing.T) {
	c := qt.New(t)
	g := gossip.New("i0", "north")
	now := time.Unix(1000, 0)
	logged := 0
	for n, v := range []view.Version{{Edition: 5, Epoch: 1, Revision: 50}, {Edition: 4, Epoch: 2, Revision: 40}, {Edition: 4, Epoch: 2, Revision: 41}, {Edition: 5, Epoch: 2, Revision: 42}} {
		text := ruleText + fmt.Sprintf("# edition %d\n", v.Edition)
		_, out := g.DocumentRead(event.DocumentRead{At: now.Add(time.Duration(n) * time.Second), Document: event.Rules, Text: text, Edition: v.Edition, Epoch: v.Epoch, Revision: v.Revision}, 1, nil)
		for _, e := range out {
			if e, ok := e.(effect.LogEvent); ok && strings.Contains(e.Text, "edition 4 is older than 5") {
				logged++
			}
		}
	}
	c.Check(logged, qt.Equals, 1)
	c.Check(g.Versions(now).Rules.Edition, qt.Equals, uint64(5))
}
