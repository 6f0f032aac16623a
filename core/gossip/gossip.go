// Package gossip keeps a node's copies of the published documents: the rules and the instance
// list. It decides when to read the configuration store, when to exchange versions with peers,
// and whether a copy is recent enough to accept work on. It does no I/O: its methods return
// the effects to carry out.
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
	// gossipInterval is the time between two version exchanges with a random peer.
	gossipInterval = time.Second
	// longPollTimeout is how long a reader lets the platform hold a read open. If a reader
	// fails, a change it missed is delayed by up to this much longer.
	longPollTimeout = 800 * time.Millisecond
	// rereadAge is the age at which a document is read again.
	rereadAge = 800 * time.Millisecond
	// readStagger is the extra age that each further node in the reading order waits before it
	// reads a document that the nodes before it should have read. It covers the read and the
	// broadcast of its result.
	readStagger = 200 * time.Millisecond
	// minRetryDelay is the lower bound of the mean delay before a failed read is retried.
	minRetryDelay = time.Second
	// minBroadcastInterval is the minimum time between two broadcasts while nothing changes.
	// It is shorter than readStagger, so that peers learn of a read before they start a
	// redundant one.
	minBroadcastInterval = 100 * time.Millisecond
	// maxStaleReads is the number of reads by a node that knows no peers for which a response
	// that is some seconds old is acceptable.
	maxStaleReads = 3
	// pushFanout is the number of peers that are informed of a new version at once.
	pushFanout = 4
	// checkFanout is the number of peers that are queried whether a view is current.
	checkFanout = 3
	// fetchTimeout is how long to wait for a version from one peer before asking another one.
	fetchTimeout = 800 * time.Millisecond
	// outageAge is the age of the instance list above which the platform may have been
	// unavailable, so that entries of live instances may have expired.
	outageAge = 3 * time.Second
	// outageGrace is the time within which such entries are listed again.
	outageGrace = 2 * time.Second
	// documentCount is the number of published documents.
	documentCount = 2
)

// Change reports which documents an event has replaced.
type Change struct {
	Rules bool
	Fleet bool
	// Freshness reports that the result of Gossip.Freshness has changed.
	Freshness bool
}

// Gossip holds the views of one node. It is not safe for concurrent use.
type Gossip struct {
	instance string
	centre   string
	rules    *view.View[*rules.Set]
	fleet    *view.View[[]fleet.Instance]
	reads    [documentCount]readState
	// rank is the position of this node in the order of platform readers.
	rank          int
	started       time.Time
	lastRound     time.Time
	lastBroadcast time.Time
	// broadcasts is the number of broadcasts this node has made.
	broadcasts int
	freshness  freshness
	peers      []fleet.Instance
	// instances is the instance list. Until expiredUntil it also contains entries that may
	// have expired during an outage of the platform.
	instances    []fleet.Instance
	expiredUntil time.Time
}

// New returns the empty views of the node of the given instance in the given data centre.
func New(instance, centre string) *Gossip {
	return &Gossip{
		instance: instance,
		centre:   centre,
		rules:    view.New(rules.Parse),
		fleet:    view.New(fleet.Parse),
	}
}

// Rules returns the rules in force; ok is false if there are none yet.
func (g *Gossip) Rules() (s *rules.Set, ok bool) { return g.rules.Value() }

// Fleet returns the instance list; ok is false if there is none yet.
func (g *Gossip) Fleet() (instances []fleet.Instance, ok bool) {
	_, ok = g.fleet.Value()
	return g.instances, ok
}

// Text returns the text and the revision of a document, for a peer that fetches it.
func (g *Gossip) Text(d event.Document) (text string, revision uint64) {
	if d == event.Fleet {
		return g.fleet.Text(), g.fleet.Version().Revision
	}
	return g.rules.Text(), g.rules.Version().Revision
}

// Versions returns the versions and ages of the documents that this node holds.
func (g *Gossip) Versions(now time.Time) event.Versions {
	return event.Versions{Rules: g.rules.Version(), Fleet: g.fleet.Version(), Age: g.Age(now), FleetAge: g.FleetAge(now)}
}

// Age returns the time since the rules were last confirmed to be current.
func (g *Gossip) Age(now time.Time) time.Duration { return g.rules.Age(now) }

// IsReader reports whether this node reads the platform on behalf of its peers.
func (g *Gossip) IsReader() bool {
	return g.rank == 0 || g.reads[event.Rules].reader || g.reads[event.Fleet].reader
}

// Start reads both documents from the platform. Responses may be stale, because the node
// compares versions with its peers shortly afterwards.
func (g *Gossip) Start(at time.Time, out []effect.Effect) []effect.Effect {
	g.lastRound = at
	g.started = at
	for d := range event.Document(documentCount) {
		g.reads[d].pending = true
		out = append(out, effect.FetchDocument{Document: d, AllowStale: true})
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

// accepted records an accepted document and pushes its version to peers.
func (g *Gossip) accepted(e event.DocumentRead, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	change := Change{Rules: e.Document == event.Rules, Fleet: e.Document == event.Fleet}
	kind := effect.KindRules
	if change.Fleet {
		kind = effect.KindFleet
	}
	out = append(out, effect.LogEvent{Kind: kind, Text: fmt.Sprintf("revision %d from %s", e.Revision, sourceName(e.From))})
	confirmation, out := g.confirmed(e, out)
	change.Freshness = confirmation.Freshness
	return change, g.push(e.At, random, out)
}

// sourceName returns the name of a source for the event log.
func sourceName(s event.DocumentSource) string {
	if s.Peer == "" {
		return "the platform"
	}
	return s.Peer
}

// applyFleet derives the peers and the rank of this node from the instance list. The argument
// age is the age of the previous list when this one was read.
func (g *Gossip) applyFleet(at time.Time, age time.Duration) {
	listed, _ := g.fleet.Value()
	before := g.instances
	g.instances = listed
	g.expiredUntil = time.Time{}
	if age > outageAge && len(before) > 0 {
		g.keepExpired(at, before)
	}
	g.peers = g.withoutSelf(g.instances)
	g.rank = rankOf(g.instance, listed)
}

// keepExpired retains entries that are missing from the list after a possible outage of the
// platform. They are dropped after outageGrace.
func (g *Gossip) keepExpired(at time.Time, before []fleet.Instance) {
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
		g.expiredUntil = at.Add(outageGrace)
	}
}

// rankOf returns the position of an instance in the order of platform readers. All nodes
// compute the same order, and hashing the names favours no data centre. An unlisted instance
// comes last.
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

// Tick starts the reads and version exchanges that are due. The argument paused reports that
// the node was suspended, so that its view must be checked before new work is admitted.
func (g *Gossip) Tick(e event.Tick, paused bool, out []effect.Effect) (Change, []effect.Effect) {
	var change Change
	switch {
	case paused:
		change.Freshness = true
		out = g.check(e.At, e.Random, out)
	case g.Age(e.At) > verifyAge:
		change.Freshness, out = g.verify(e.At, e.Random, out)
	}
	if g.freshness.expire(e.At) {
		change.Freshness = true
	}
	if !g.expiredUntil.IsZero() && !e.At.Before(g.expiredUntil) {
		g.applyFleet(e.At, 0)
		change.Fleet = true
	}
	for d := range event.Document(documentCount) {
		out = g.readIfDue(d, e, out)
	}
	if e.At.Sub(g.lastRound) >= gossipInterval {
		g.lastRound = e.At
		out = g.exchangeVersions(e.At, e.Random, 1, out)
	}
	return change, out
}

// FleetAge returns the time since the instance list was last confirmed to be current.
func (g *Gossip) FleetAge(now time.Time) time.Duration { return g.fleet.Age(now) }
