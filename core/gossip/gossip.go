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

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/owner"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

const (
	// roundTime is the time between two exchanges of versions with a random peer.
	roundTime = time.Second
	// watchTime is the time that a watcher lets the platform hold a call.
	watchTime = 2 * time.Second
	// pollTime is the mean time between two reads of a node that does not watch.
	pollTime = 30 * time.Second
	// pollShare is the part of that time that each node of a large fleet adds.
	pollShare = 50 * time.Millisecond
	// retryTime is the mean time after which a failed read is tried again.
	retryTime = time.Second
	// watchers is the number of nodes in each data centre that watch the platform.
	watchers = 3
	// pushes is the number of peers that are told of a new version at once.
	pushes = 4
	// checks is the number of peers that are asked whether a view is still the newest.
	checks = 3
	// fetchTime is the time for which a version is not asked of a second peer.
	fetchTime = 500 * time.Millisecond
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
	watches  bool
	round    time.Time
	trust    trust
	others   []fleet.Instance
}

// New returns the empty views of the node of the given instance.
func New(instance, centre string) *Gossip {
	return &Gossip{
		instance: instance,
		centre:   centre,
		rules:    view.New(rules.Parse),
		fleet:    view.New(fleet.Parse),
		watches:  true,
	}
}

// Rules returns the rules in force; ok is false while there are none.
func (g *Gossip) Rules() (s *rules.Set, ok bool) { return g.rules.Value() }

// Fleet returns the list of instances; ok is false while there is none.
func (g *Gossip) Fleet() (instances []fleet.Instance, ok bool) { return g.fleet.Value() }

// Text returns the text and the revision of a document, for a peer that asks.
func (g *Gossip) Text(d event.Document) (text string, revision uint64) {
	if d == event.Fleet {
		return g.fleet.Text(), g.fleet.Version().Revision
	}
	return g.rules.Text(), g.rules.Version().Revision
}

// Versions returns the versions that this node holds.
func (g *Gossip) Versions(now time.Time) event.Versions {
	return event.Versions{Rules: g.rules.Version(), Fleet: g.fleet.Version(), Age: g.Age(now)}
}

// Age returns the time since the rules were known to be the newest.
func (g *Gossip) Age(now time.Time) time.Duration { return g.rules.Age(now) }

// Watches reports whether this node watches the platform.
func (g *Gossip) Watches() bool { return g.watches }

// Start asks the platform for both documents.
func (g *Gossip) Start(at time.Time, out []effect.Effect) []effect.Effect {
	g.round = at
	out = g.fetch(event.Rules, out)
	return g.fetch(event.Fleet, out)
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
		g.applyFleet()
	}
	out = append(out, effect.Note{Kind: kind, Text: fmt.Sprintf("revision %d", e.Revision)})
	confirmation, out := g.confirmed(askedAt(e.Asked, e.At), e.Document, e.From, out)
	change.Trust = confirmation.Trust
	return change, g.tell(e.At, random, pushes, out)
}

// applyFleet derives the peers and the watchers from the list of instances.
func (g *Gossip) applyFleet() {
	instances, _ := g.fleet.Value()
	g.others = g.others[:0]
	var near []string
	for _, i := range instances {
		if i.Name != g.instance {
			g.others = append(g.others, i)
		}
		if i.Centre == g.centre && !i.Leaving {
			near = append(near, i.Name)
		}
	}
	watched := g.watches
	g.watches = watcher(g.instance, near)
	if g.watches && !watched {
		g.reads = [documents]reading{{pending: g.reads[0].pending}, {pending: g.reads[1].pending}}
	}
}

// watcher reports whether the instance is one of the watchers among near, or is not listed.
func watcher(instance string, near []string) bool {
	if !slices.Contains(near, instance) {
		return true
	}
	for range watchers {
		name, _ := owner.Of("watch", "platform", near)
		if name == instance {
			return true
		}
		near = slices.DeleteFunc(near, func(other string) bool { return other == name })
	}
	return false
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
