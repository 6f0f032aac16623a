// Package gossip keeps a node's views of the published documents: the rules and the instance
// list. It decides when to read the platform, when to exchange versions with peers, and whether
// a view is recent enough for the node to admit work. It does no I/O: its methods return the
// effects to carry out.
//
// # Usage
//
//	g := gossip.New("ledger-1", "north")
//	out = g.Start(at, out)
//	change, out := g.Read(e, random, out)
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
	// overdueAge is the age of the rules above which this node exchanges versions with
	// overdueFanout random peers every readStagger.
	overdueAge    = rereadAge + 2*readStagger
	overdueFanout = 4
	// isolationTime is the time without a message from any peer after which this node reads the
	// platform itself. It leaves time for the responses of a round at overdueAge.
	isolationTime = overdueAge + readStagger
	// startIsolationTime is the same for a node that has not settled yet.
	startIsolationTime = 2500 * time.Millisecond
	// outageInterval is the time between two such rounds, and outageFanout the number of peers in
	// each, once the rules are older than outageAge.
	outageInterval = 500 * time.Millisecond
	outageFanout   = 2
	// longPollTimeout is the maximum time for which the platform may hold a read of a reader
	// open. If the reader fails, a change reaches its peers later by up to this time.
	longPollTimeout = 800 * time.Millisecond
	// rereadAge is the age at which a document is read again.
	rereadAge = 800 * time.Millisecond
	// readStagger is added to rereadAge for each position in the reading order: a node reads a
	// document only if none of the nodes before it seems to have read it. It covers the read and
	// the broadcast of its result.
	readStagger = 200 * time.Millisecond
	// minUnlistedPosition is the lowest reading position of an instance that is not listed. While a
	// whole fleet starts, the list has few entries at first, and the listed nodes inform the others
	// once these are listed.
	minUnlistedPosition = 20
	// minRetryDelay is the mean of the shortest time between a failed read and its retry.
	minRetryDelay = time.Second
	// failedReadPause is the time for which a node whose read has failed leaves the reads to the
	// others, if one of them reads successfully: the platform may refuse this node alone.
	failedReadPause = 2 * time.Second
	// settleTime is the time after the start of a node within which the instance list may still
	// grow, so that nodes do not agree on the reading order yet.
	settleTime = 5 * time.Second
	// maxEarlyPosition is the last position in the reading order at which nodes take over early.
	maxEarlyPosition = 31
	// aloneDelay is the mean delay between two stale reads of a node that knows no peers.
	aloneDelay = 2 * time.Second
	// minBroadcastInterval is the minimum time between two broadcasts while nothing changes.
	// It is shorter than readStagger, so that peers learn of a read before they start a
	// redundant one.
	minBroadcastInterval = 100 * time.Millisecond
	// maxStaleTime is the time after its start for which a node that knows no peers accepts responses
	// of the platform that are a few seconds stale. It is below the time after which a node counts as
	// in contact with the platform and must act on current rules.
	maxStaleTime = 2500 * time.Millisecond
	// staleStagger and maxStaleSteps spread the ends of the stale reads of a fleet that starts.
	staleStagger  = 150 * time.Millisecond
	maxStaleSteps = 6
	// maxChangeReads is the number of consecutive reads that request only the changes of a
	// document. A fault in the changes that it applied lasts no longer.
	maxChangeReads = 32
	// announceFanout is the number of peers that are informed of a new version at once.
	announceFanout = 4
	// checkFanout is the number of peers that are queried whether a view is current.
	checkFanout = 3
	// fetchTimeout is how long to wait for a version from one peer before asking another one.
	fetchTimeout = 800 * time.Millisecond
	// outageAge is the age of a document above which the platform may be unavailable to all nodes,
	// so that the registrations of live instances may have expired.
	outageAge = 3 * time.Second
	// outageGrace is the time within which such instances are listed again.
	outageGrace = 2 * time.Second
	// documentCount is the number of published documents.
	documentCount = 2
)

// Change reports which of the results of Gossip.Rules, Gossip.Fleet and Gossip.Freshness an event
// may have changed.
type Change struct {
	Rules     bool
	Fleet     bool
	Freshness bool
}

// or returns the union of two changes.
func (c Change) or(o Change) Change {
	return Change{Rules: c.Rules || o.Rules, Fleet: c.Fleet || o.Fleet, Freshness: c.Freshness || o.Freshness}
}

// Gossip holds the views of one node. It is not safe for concurrent use.
type Gossip struct {
	instance string
	centre   string
	rules    *view.View[*rules.Set]
	fleet    *view.View[[]fleet.Instance]
	reads    [documentCount]readState
	// position is the position of this node in the reading order, which readingPosition defines.
	position      int
	started       time.Time
	lastRound     time.Time
	lastBroadcast time.Time
	// heardAt is the time of the last message from a peer.
	heardAt time.Time
	// broadcasts is the number of broadcasts this node has made.
	broadcasts int
	freshness  freshnessTracker
	peers      []fleet.Instance
	// instances is the instance list. Until keepMissingUntil it also contains the instances of
	// the previous list whose registrations may have expired during an outage of the platform.
	instances        []fleet.Instance
	keepMissingUntil time.Time
	home             homeState
	recovery         recoveryState
}

// New returns the empty views of the node of the given instance in the given data centre.
func New(instance, centre string) *Gossip {
	return &Gossip{
		instance: instance,
		centre:   centre,
		rules:    view.New(rules.Parse),
		fleet:    view.New(fleet.Parse),
		recovery: newRecoveryState(),
	}
}

// Rules returns the rules in force; ok is false if there are none yet.
func (g *Gossip) Rules() (s *rules.Set, ok bool) { return g.recovery.rules, g.recovery.rules != nil }

// Fleet returns the instance list; ok is false if there is none yet.
func (g *Gossip) Fleet() (instances []fleet.Instance, ok bool) {
	_, ok = g.fleet.Value()
	return g.instances, ok
}

// Text returns the text and the version of a document, for a peer that fetches it.
func (g *Gossip) Text(d event.Document) (text string, v view.Version) {
	if d == event.Fleet {
		return g.fleet.Text(), g.fleet.Version()
	}
	return g.rules.Text(), g.rules.Version()
}

// Versions returns the versions and ages of the documents that this node holds.
func (g *Gossip) Versions(now time.Time) event.Versions {
	return event.Versions{
		Rules:       g.rules.Version(),
		Fleet:       g.fleet.Version(),
		Age:         g.RulesAge(now),
		FleetAge:    g.FleetAge(now),
		RulesReader: g.reads[event.Rules].confirmedBy,
		FleetReader: g.reads[event.Fleet].confirmedBy,
	}
}

// RulesAge returns the time since the rules were last confirmed to be current.
func (g *Gossip) RulesAge(now time.Time) time.Duration { return g.rules.Age(now) }

// IsReader reports whether this node reads the platform on behalf of its peers.
func (g *Gossip) IsReader() bool {
	return g.position == 0 || g.reads[event.Rules].reader || g.reads[event.Fleet].reader
}

// Start reads both documents from the platform. Responses may be stale, because the node
// compares versions with its peers shortly afterwards.
func (g *Gossip) Start(at time.Time, out []effect.Effect) []effect.Effect {
	g.lastRound = at
	g.started = at
	for d := range event.Document(documentCount) {
		g.reads[d].startRead(at)
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

// recordAccepted logs an accepted document, confirms it if it was read from the platform, and
// announces its version to peers.
func (g *Gossip) recordAccepted(e event.DocumentRead, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	change := Change{Rules: e.Document == event.Rules, Fleet: e.Document == event.Fleet}
	kind := effect.KindRules
	if change.Fleet {
		kind = effect.KindFleet
	}
	text := fmt.Sprintf("%s from %s", versionName(e.Version()), sourceName(e.From))
	if e.MayBeStale {
		text += ", may be stale"
	}
	out = append(out, effect.LogEvent{Kind: kind, Text: text})
	confirmation, out := g.confirmFromPlatform(e, out)
	change.Freshness = confirmation.Freshness
	return change, g.announceNewVersion(e.At, e.From, random, out)
}

// versionName returns the revision of a version, and its epoch if the platform tells it.
func versionName(v view.Version) string {
	if v.Epoch == 0 {
		return fmt.Sprintf("revision %d", v.Revision)
	}
	return fmt.Sprintf("revision %d of epoch %d", v.Revision, v.Epoch)
}

// sourceName returns the name of a source for the event log.
func sourceName(s event.DocumentSource) string {
	if s.Peer == "" {
		return "the platform"
	}
	return s.Peer
}

// applyFleet derives the peers and the reading position of this node from the instance list. The
// argument age is the age of the previous list when this one was read.
func (g *Gossip) applyFleet(at time.Time, age time.Duration) {
	listed, _ := g.fleet.Value()
	before := g.instances
	g.instances = g.recoveredFleet(at, listed, before)
	g.keepMissingUntil = time.Time{}
	if age > outageAge && len(before) > 0 {
		g.retainUnlisted(at, before)
	}
	g.peers = g.withoutSelf(g.instances)
	g.position = readingPosition(g.instance, listed)
	g.home.applyFleet(g.instance, g.centre, g.instances)
}

// retainUnlisted retains the instances of the previous list that are missing from the current one
// after a possible outage of the platform. They are dropped after outageGrace.
func (g *Gossip) retainUnlisted(at time.Time, before []fleet.Instance) {
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
		g.keepMissingUntil = at.Add(outageGrace)
	}
}

// readingPosition returns the position of an instance in the reading order, the order in which
// nodes are to read the platform. All nodes compute the same order, and hashing the names favours
// no data centre. An unlisted instance comes last, at minUnlistedPosition or later.
func readingPosition(instance string, listed []fleet.Instance) int {
	own := xxhash.Sum64String(instance)
	position, found := 0, false
	for _, i := range listed {
		switch {
		case i.Name == instance:
			found = true
		case !i.Leaving && xxhash.Sum64String(i.Name) < own:
			position++
		}
	}
	if !found {
		return max(len(listed), minUnlistedPosition)
	}
	return position
}

// Tick starts the reads and version exchanges that are due. The argument paused reports that
// the node was paused, so that its view must be checked before new work is admitted.
func (g *Gossip) Tick(e event.Tick, paused bool, out []effect.Effect) (Change, []effect.Effect) {
	var change Change
	switch {
	case paused:
		change.Freshness = true
		out = g.checkAfterPause(e.At, e.Random, out)
	case g.RulesAge(e.At) > recheckAge:
		change.Freshness, out = g.recheck(e.At, e.Random, out)
	}
	if g.freshness.expire(e.At) {
		change.Freshness = true
	}
	if !g.keepMissingUntil.IsZero() && !e.At.Before(g.keepMissingUntil) {
		g.applyFleet(e.At, 0)
		change.Fleet = true
	}
	change = change.or(g.expireRecovery(e.At))
	for d := range event.Document(documentCount) {
		out = g.readIfDue(d, e, out)
	}
	if interval, fanout := g.exchangeRound(e.At); e.At.Sub(g.lastRound) >= interval {
		g.lastRound = e.At
		out = g.exchangeWith(e.At, g.roundPeers(e.Random, fanout), out)
	}
	return change, out
}

// exchangeRound returns the time between two rounds of version exchanges, and the number of random
// peers in each. Once the readers should have confirmed the rules, this node asks more peers, and
// more often: the broadcasts may not reach it, for example because the node that relays them to it
// is unavailable. While the platform is unavailable to all, it asks less often again.
func (g *Gossip) exchangeRound(now time.Time) (interval time.Duration, fanout int) {
	age := g.RulesAge(now)
	switch {
	case age <= overdueAge || g.freshness.state == Checking:
		return gossipInterval, 1
	case age <= outageAge:
		return readStagger, overdueFanout
	}
	return outageInterval, outageFanout
}

// FleetAge returns the time since the instance list was last confirmed to be current.
func (g *Gossip) FleetAge(now time.Time) time.Duration { return g.fleet.Age(now) }
