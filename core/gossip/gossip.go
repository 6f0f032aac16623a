// Package gossip keeps the views that a node has of the published documents:
// the rules and the list of instances. It decides when to ask the platform, when
// to exchange versions with a peer, and whether a view may be trusted.
//
// # Usage
//
//	g := gossip.New("ledger-1", "north")
//	out = g.Start(at, random, out)
//	change, out := g.Read(e, out)
//	if change.Rules {
//		apply(g.Rules())
//	}
package gossip

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

const (
	// roundTime is the time between two exchanges of versions with a random peer.
	roundTime = time.Second
	// watchTime is the time that a reader lets the platform hold a call. A change
	// that is missed by a reader that has just gone waits that much longer.
	watchTime = 800 * time.Millisecond
	// readTime is the age of a document from which it is read again.
	readTime = 800 * time.Millisecond
	// turnTime is the further age from which each next node reads a document that
	// the ones before it should have read. It covers the call and the word to all.
	turnTime = 200 * time.Millisecond
	// retryTime is the least mean time after which a failed read is tried again.
	retryTime = time.Second
	// castTime is the least time between two messages to all while nothing changes. It
	// is shorter than turnTime, so that each read is told before others read in vain.
	castTime = 100 * time.Millisecond
	// mostLate is the number of reads in a row by a node that knows no other one of
	// which the answer may be some seconds old.
	mostLate = 3
	// pushes is the number of peers that are told of a new version at once.
	pushes = 4
	// checks is the number of peers that are asked whether a view is still the newest.
	checks = 3
	// fetchTime is the time for which a version is not asked of a second peer.
	fetchTime = 800 * time.Millisecond
	// lapseAge is the age of the list of instances from which the platform may have
	// been away, so that entries of live instances have run out.
	lapseAge = 3 * time.Second
	// returnTime is the time within which such entries are back.
	returnTime = 2 * time.Second
	// documents is the number of published documents.
	documents = 2
)

// Change tells which documents an event has renewed.
type Change struct {
	Rules bool
	Fleet bool
	// Trust tells that the trust in the view has changed.
	Trust bool
}

// Gossip holds the views of one node.
type Gossip struct {
	instance string
	centre   string
	rules    *view.View[*rules.Set]
	fleet    *view.View[[]fleet.Instance]
	reads    [documents]reading
	// rank is the place of this node among those that may read the platform.
	rank  int
	began time.Time
	round time.Time
	cast  time.Time
	// casts is the number of times that this node has told all peers.
	casts  int
	trust  trust
	others []fleet.Instance
	// instances is the list with the entries that may have lapsed, which stay until lapsed.
	instances []fleet.Instance
	lapsed    time.Time
}

// New returns the empty views of the node of the given instance.
func New(instance, centre string) *Gossip {
	return &Gossip{
		instance: instance,
		centre:   centre,
		rules:    view.New(rules.Parse),
		fleet:    view.New(fleet.Parse),
	}
}

// Rules returns the rules in force; ok is false while there are none.
func (g *Gossip) Rules() (s *rules.Set, ok bool) { return g.rules.Value() }

// Fleet returns the list of instances; ok is false while there is none.
func (g *Gossip) Fleet() (instances []fleet.Instance, ok bool) {
	_, ok = g.fleet.Value()
	return g.instances, ok
}

// Text returns the text and the revision of a document, for a peer that asks.
func (g *Gossip) Text(d event.Document) (text string, revision uint64) {
	if d == event.Fleet {
		return g.fleet.Text(), g.fleet.Version().Revision
	}
	return g.rules.Text(), g.rules.Version().Revision
}

// Versions returns the versions that this node holds.
func (g *Gossip) Versions(now time.Time) event.Versions {
	return event.Versions{Rules: g.rules.Version(), Fleet: g.fleet.Version(), Age: g.Age(now), FleetAge: g.FleetAge(now)}
}

// Age returns the time since the rules were known to be the newest.
func (g *Gossip) Age(now time.Time) time.Duration { return g.rules.Age(now) }

// Watches reports whether this node is the one that reads the platform.
func (g *Gossip) Watches() bool {
	return g.rank == 0 || g.reads[event.Rules].reader || g.reads[event.Fleet].reader
}

// Start asks the platform for both documents. Any recent state of them does, as
// the node compares it with its peers before long.
func (g *Gossip) Start(at time.Time, out []effect.Effect) []effect.Effect {
	g.round = at
	g.began = at
	for d := range event.Document(documents) {
		g.reads[d].pending = true
		out = append(out, effect.Fetch{Document: d, Late: true})
	}
	return out
}

// version returns the version of a document that this node holds.
func (g *Gossip) version(d event.Document) view.Version {
	if d == event.Fleet {
		return g.fleet.Version()
	}
	return g.rules.Version()
}

// taken spreads a document that has just come into force here.
func (g *Gossip) taken(e event.Read, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	change := Change{Rules: e.Document == event.Rules, Fleet: e.Document == event.Fleet}
	kind := effect.KindRules
	if change.Fleet {
		kind = effect.KindFleet
	}
	out = append(out, effect.Note{Kind: kind, Text: fmt.Sprintf("revision %d from %s", e.Revision, sourceName(e.From))})
	confirmation, out := g.confirmed(e, out)
	change.Trust = confirmation.Trust
	return change, g.push(e.At, random, out)
}

// sourceName returns the name of a source for the time line.
func sourceName(s event.Source) string {
	if s.Peer == "" {
		return "the platform"
	}
	return s.Peer
}

// applyFleet derives the peers, and the place of this node among the readers, from
// a list of instances that was read when the one before it had the given age.
func (g *Gossip) applyFleet(at time.Time, age time.Duration) {
	listed, _ := g.fleet.Value()
	before := g.instances
	g.instances = listed
	g.lapsed = time.Time{}
	if age > lapseAge && len(before) > 0 {
		g.keepLapsed(at, before)
	}
	g.others = g.withoutSelf(g.instances)
	g.rank = rankOf(g.instance, listed)
}

// keepLapsed keeps the entries that the list has lost while the platform may have
// been away.
func (g *Gossip) keepLapsed(at time.Time, before []fleet.Instance) {
	names := make(map[string]bool, len(g.instances))
	for _, i := range g.instances {
		names[i.Name] = true
	}
	merged := slices.Clone(g.instances)
	for _, i := range before {
		if !names[i.Name] {
			merged = append(merged, i)
		}
	}
	if len(merged) > len(g.instances) {
		g.instances = merged
		g.lapsed = at.Add(returnTime)
	}
}

// rankOf returns the place of an instance among those that may read the platform,
// in an order that all nodes agree on and that favours no data centre. One that is
// not listed comes last.
func rankOf(instance string, listed []fleet.Instance) int {
	own := xxhash.Sum64String(instance)
	rank, found := 0, false
	for _, i := range listed {
		switch {
		case i.Name == instance:
			found = true
		case !i.Leaving && xxhash.Sum64String(i.Name) < own:
			rank++
		}
	}
	if !found {
		return len(listed)
	}
	return rank
}

// Tick starts the reads and exchanges that are due.
func (g *Gossip) Tick(e event.Tick, paused bool, out []effect.Effect) (Change, []effect.Effect) {
	var change Change
	switch {
	case paused:
		change.Trust = true
		out = g.check(e.At, e.Random, out)
	case g.Age(e.At) > doubtTime:
		change.Trust, out = g.doubt(e.At, e.Random, out)
	}
	if g.trust.expire(e.At) {
		change.Trust = true
	}
	if !g.lapsed.IsZero() && !e.At.Before(g.lapsed) {
		g.applyFleet(e.At, 0)
		change.Fleet = true
	}
	for d := range event.Document(documents) {
		out = g.readIfDue(d, e, out)
	}
	if e.At.Sub(g.round) >= roundTime {
		g.round = e.At
		out = g.tell(e.At, e.Random, 1, out)
	}
	return change, out
}

// FleetAge returns the time since the platform confirmed the list of instances.
func (g *Gossip) FleetAge(now time.Time) time.Duration { return g.fleet.Age(now) }
