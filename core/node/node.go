// Package node is the reducer of a node: it takes every event and returns what
// is to be done as data. It holds the entry, the guard and the views of the
// node, and reads no clock, opens no socket and starts no goroutine.
//
// # Usage
//
//	n := node.New(node.Identity{Instance: "ledger-1", Centre: "north", Service: "ledger"}, pick.NewAware())
//	out := n.Start(event.Tick{At: time.Now(), Random: rand.Uint64()}, nil)
//	out = n.Step(e, out[:0])
package node

import (
	"time"

	"bulrushlock/core/bucket"
	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/gossip"
	"bulrushlock/core/guard"
	"bulrushlock/core/owner"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

const (
	// pauseTime is the time without a tick after which a node takes it that it was paused.
	pauseTime = time.Second
	// lateTime is the time past its drain for which a leaving node still takes requests of
	// callers. Callers who never pause would keep it from ending.
	lateTime = time.Second
	// defaultLag is the lag of views that is allowed for where the identity has none.
	defaultLag = 2 * time.Minute
)

// Identity tells what a node stands for.
type Identity struct {
	Instance    string
	Incarnation uint64
	Centre      string
	Service     string
	// Refuse tells that new work is refused while nobody confirms an old view.
	Refuse bool
	// Drain is the time for which a leaving node stays to refuse late senders.
	Drain time.Duration
	// Lag is the longest lag of a view, and the longest flight of an attempt, for
	// which the owner of a key is certain; zero stands for two minutes.
	Lag time.Duration
	// Ask is the number of guards that are asked for their load before a request is
	// sent; at 0 the loads that ride on answers have to do.
	Ask int
	// Listed tells that a backend server which the list of instances does not name
	// gets no work.
	Listed bool
}

// Node is the reducer. It is not safe for use by several goroutines at once.
type Node struct {
	identity Identity
	entry    *entry.Entry
	guard    *guard.Guard
	gossip   *gossip.Gossip
	// settled and recent are the members of the service: those that are known
	// without a gap, and those that this node has seen.
	settled *owner.History
	recent  *owner.History
	// observed are the versions of the last membership in the history.
	observed event.Versions
	looks    *bucket.Bucket
	probes   *bucket.Bucket
	probed   *bucket.Bucket
	last     time.Time
	left     time.Time
	// leaving tells that the list of instances says that this one is leaving, and
	// missing that the list does not name it.
	leaving bool
	missing bool
	// members are the instances that may own keys of the service of this node.
	members  []string
	out      bool
	finished bool
}

// New returns the reducer of one life of a node.
func New(i Identity, p pick.Policy) *Node {
	self := ticket.Node{Instance: i.Instance, Incarnation: i.Incarnation}
	if i.Lag == 0 {
		i.Lag = defaultLag
	}
	settled := owner.New(guard.KeyWindow + 2*i.Lag)
	settled.Service = i.Service
	recent := owner.New(2 * i.Lag)
	recent.Service = i.Service
	return &Node{
		identity: i,
		entry:    entry.New(entry.Identity{Node: self, Centre: i.Centre, Ask: i.Ask}, p),
		guard:    guard.New(guard.Identity{Node: self, Centre: i.Centre, Service: i.Service}),
		gossip:   gossip.New(i.Instance, i.Centre),
		settled:  settled,
		recent:   recent,
		looks:    bucket.New(1, 1),
		probes:   bucket.New(0, 0),
		probed:   bucket.New(0, 0),
	}
}

// Start begins the life of the node.
func (n *Node) Start(e event.Tick, out []effect.Effect) []effect.Effect {
	n.last = e.At
	out = append(out, effect.Note{Kind: effect.KindStart})
	return n.gossip.Start(e.At, out)
}

// Step takes e and appends to out what is to be done.
func (n *Node) Step(e event.Event, out []effect.Effect) []effect.Effect {
	out = n.wake(e, out)
	switch e := e.(type) {
	case event.Request, event.Answered, event.Judged, event.Slow, event.Gone, event.Loaded, event.Surveyed:
		out = n.stepEntry(e, out)
	case event.Attempt, event.Withdrawn, event.Overdue, event.Served, event.Asked, event.Looked, event.Probed:
		out = n.stepGuard(e, out)
	case event.Read, event.Unchanged, event.Unread, event.Told, event.Silent:
		out = n.stepGossip(e, out)
	case event.Tick:
		out = n.tick(e, false, out)
		out = n.finish(e.At, out)
	case event.Leave:
		out = n.leave(e, out)
	case event.Changed:
		n.identity.Ask, n.identity.Refuse, n.identity.Drain = e.Ask, e.Refuse, e.Drain
		n.entry.SetAsk(e.Ask)
		out = append(out, effect.Note{Kind: effect.KindSettings})
	}
	return out
}

// wake notices that the node was paused before e came.
func (n *Node) wake(e event.Event, out []effect.Effect) []effect.Effect {
	at := e.Time()
	gap := at.Sub(n.last)
	if t, ok := e.(event.Tick); ok {
		gap += t.Slept
	}
	if gap <= pauseTime {
		return out
	}
	if gap > n.identity.Lag {
		n.settled.Forget()
		n.recent.Forget()
	}
	n.last = at
	// Senders that the node could not refuse while it was paused get their time now.
	n.left = at
	out = append(out, effect.Note{Kind: effect.KindPause})
	out = n.guard.TurnCold("the node was paused", out)
	return n.tick(event.Tick{At: at, Random: randomOf(e)}, true, out)
}

// randomOf returns the randomness that came with e, if any.
func randomOf(e event.Event) uint64 {
	switch e := e.(type) {
	case event.Tick:
		return e.Random
	case event.Request:
		return e.Random
	case event.Answered:
		return e.Random
	}
	return uint64(e.Time().UnixNano())
}

// stepEntry takes an event for the entry.
func (n *Node) stepEntry(e event.Event, out []effect.Effect) []effect.Effect {
	n.entry.SetVersions(n.gossip.Versions(e.Time()))
	switch e := e.(type) {
	case event.Request:
		if n.guard.Leaving() && e.At.Sub(n.left) > n.identity.Drain+lateTime {
			return n.entry.Refuse(e, effect.ReasonLeaving, out)
		}
		return n.entry.Request(e, out)
	case event.Answered:
		return n.entry.Answered(e, out)
	case event.Judged:
		return n.entry.Judged(e, out)
	case event.Slow:
		return n.entry.Slow(e, out)
	case event.Surveyed:
		n.entry.Loaded(event.Loaded{At: e.At, Guard: n.guard.Node(), Load: n.guard.Load(e.At)})
		return n.entry.Surveyed(e, out)
	case event.Gone:
		return n.entry.Gone(e, out)
	case event.Loaded:
		n.entry.Loaded(e)
	}
	return out
}

// stepGuard takes an event for the guard.
func (n *Node) stepGuard(e event.Event, out []effect.Effect) []effect.Effect {
	switch e := e.(type) {
	case event.Attempt:
		return n.attempt(e, out)
	case event.Withdrawn:
		return n.guard.Withdrawn(e, out)
	case event.Overdue:
		return n.guard.Overdue(e, out)
	case event.Served:
		return n.guard.Served(e, out)
	case event.Asked:
		return n.guard.Asked(e, out)
	case event.Looked:
		return n.guard.Looked(e, out)
	case event.Probed:
		refused := !n.probed.Take(e.At, 1)
		return append(out, effect.Load{Query: e.Query, Load: n.guard.Load(e.At), Refused: refused})
	}
	return out
}

// attempt takes an attempt that has arrived at the guard.
func (n *Node) attempt(e event.Attempt, out []effect.Effect) []effect.Effect {
	if n.gossip.Behind(e.Rules) {
		out = n.gossip.CatchUp(e.At, e.Ticket.Entry.Instance, e.Rules, out)
	}
	return n.guard.Attempt(e, n.gate(e), out)
}

// gate returns what the views say of an attempt.
func (n *Node) gate(e event.Attempt) guard.Gate {
	gate := guard.Gate{Closed: n.closed()}
	gate.Hold = n.gossip.Trust() == gossip.Checking || n.gossip.Behind(e.Rules)
	if e.Key == "" {
		return gate
	}
	name, ok := owner.Of(e.Key, n.identity.Service, n.members)
	gate.Owner = ok && name == n.identity.Instance
	if max(n.gossip.FleetAge(e.At), n.gossip.Age(e.At)) >= n.identity.Lag {
		return gate
	}
	gate.Recent = n.recent.Settled(e.At, e.Key, n.identity.Instance)
	gate.Settled = n.settled.Settled(e.At, e.Key, n.identity.Instance)
	return gate
}

// closed returns the reason for which the views forbid new work here, or an empty reason.
func (n *Node) closed() effect.Reason {
	s, ok := n.gossip.Rules()
	switch {
	case !ok:
		return effect.ReasonRules
	case s.IsOut(n.identity.Instance, n.identity.Centre):
		return effect.ReasonOut
	case n.leaving:
		return effect.ReasonLeaving
	case n.missing && n.identity.Listed:
		return effect.ReasonUnlisted
	case n.identity.Refuse && n.gossip.Trust() == gossip.Alone:
		return effect.ReasonOld
	}
	return ""
}

// Ready reports whether the node can serve callers: it knows the rules and the
// instances, and does not leave.
func (n *Node) Ready() bool {
	_, rules := n.gossip.Rules()
	_, list := n.gossip.Fleet()
	return rules && list && !n.guard.Leaving()
}

// Status is what operators see of a node.
type Status struct {
	Identity Identity
	Versions event.Versions
	Trust    gossip.Trust
	Watches  bool
	Load     report.Load
	Out      bool
	Closed   effect.Reason
	Requests int
}

// Status returns the state of the node at the given time.
func (n *Node) Status(at time.Time) Status {
	return Status{
		Identity: n.identity,
		Versions: n.gossip.Versions(at),
		Trust:    n.gossip.Trust(),
		Watches:  n.gossip.Watches(),
		Load:     n.guard.Load(at),
		Out:      n.out,
		Closed:   n.closed(),
		Requests: n.entry.Busy(),
	}
}

// Peers returns what the entry knows of each backend server of a service.
func (n *Node) Peers(at time.Time, service string) []entry.State { return n.entry.States(at, service) }

// Versions returns the versions of the documents that the node holds.
func (n *Node) Versions(at time.Time) event.Versions { return n.gossip.Versions(at) }

// Text returns the text and the revision of a document that the node holds.
func (n *Node) Text(d event.Document) (text string, revision uint64) { return n.gossip.Text(d) }

// Load returns the load that rides on the answers of the guard, as of the given time.
func (n *Node) Load(at time.Time) report.Load { return n.guard.Load(at) }
