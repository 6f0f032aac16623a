// Package node implements the reducer of a node. The reducer handles each event of the node and
// returns the effects to carry out. It combines the entry, the guard and the views of the node.
// It reads no clock, opens no socket and starts no goroutine.
//
// # Usage
//
//	n := node.New(node.Config{Instance: "ledger-1", Centre: "north", Service: "ledger"}, pick.NewLoadAware())
//	out := n.Start(event.Tick{At: time.Now(), Random: rand.Uint64()}, nil)
//	out = n.Step(e, out[:0])
package node

import (
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/bucket"
	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/gossip"
	"bulrushlock/core/guard"
	"bulrushlock/core/owner"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
	"bulrushlock/core/view"
)

const (
	// pauseThreshold is the time without a tick after which a node assumes that it was paused.
	pauseThreshold = time.Second
	// callerGrace is the time after its drain time for which a leaving node still accepts
	// requests from callers. Without this bound, callers that send continuously would keep it
	// from shutting down, and requests would still run when the platform kills it. A pause
	// does not extend the time.
	callerGrace = time.Second
	// defaultMaxStaleness is the value of Config.MaxStaleness if that is zero.
	defaultMaxStaleness = 2 * time.Minute
)

// Config identifies a node and holds its settings.
type Config struct {
	Instance    string
	Incarnation uint64
	Centre      string
	Service     string
	// RejectStale makes the node reject new work while its view is stale and nobody confirms it.
	RejectStale bool
	// DrainTime is the minimum time for which a leaving node keeps running, so that it can reject
	// attempts from nodes that do not know yet that it is leaving.
	DrainTime time.Duration
	// MaxStaleness is an upper bound on both the staleness of a view and the time that an attempt is
	// in transit. The owner of a key is certain only within this bound. Zero means two minutes.
	MaxStaleness time.Duration
	// ProbeCount is the number of guards that are probed for their load before a request is sent. If
	// it is 0, the entry relies on the load reports in earlier responses.
	ProbeCount int
	// CrossPrice is the waiting time that is as bad as one megabyte sent to another data centre.
	// If it is 0, requests leave the data centre by fixed costs, and versions are exchanged
	// with all nodes alike.
	CrossPrice time.Duration
	// RequireListed makes the node reject new work while the instance list does not contain its
	// backend server.
	RequireListed bool
	// MaxCredentialAge is the age of the rules up to which a credential that they know counts. If
	// it is 0, a credential counts until rules without it arrive.
	MaxCredentialAge time.Duration
}

// Node is the reducer. It is not safe for concurrent use.
type Node struct {
	config Config
	entry  *entry.Entry
	guard  *guard.Guard
	gossip *gossip.Gossip
	allot  *allot.Allot
	// settled and recent are histories of the members of the service. settled is cleared when
	// a published version was missed; recent keeps what this node has seen. A pause longer
	// than Config.MaxStaleness clears both.
	settled *owner.History
	recent  *owner.History
	// observedVersions are the document versions of the last membership in the histories.
	observedVersions event.Versions
	healthChecks     *bucket.Bucket
	outboundProbes   *bucket.Bucket
	inboundProbes    *bucket.Bucket
	lastTick         time.Time
	// leaveStart is the time at which a leaving node was asked to shut down, and drainStart that
	// from which its drain time counts.
	leaveStart time.Time
	drainStart time.Time
	// leaving reports that the instance list marks this instance as leaving, and unlisted that
	// the list does not contain it.
	leaving  bool
	unlisted bool
	// members are the instances that may own keys of the service of this node.
	members       []string
	outOfService  bool
	drainReported bool
}

// New returns the reducer of one incarnation of a node.
func New(c Config, p pick.Policy) *Node {
	self := ticket.NodeID{Instance: c.Instance, Incarnation: c.Incarnation}
	if c.MaxStaleness == 0 {
		c.MaxStaleness = defaultMaxStaleness
	}
	settled := owner.New(guard.KeyRetention + 2*c.MaxStaleness)
	settled.Service = c.Service
	recent := owner.New(2 * c.MaxStaleness)
	recent.Service = c.Service
	limits := allot.New(c.Instance, c.Centre)
	n := &Node{
		config:         c,
		entry:          entry.New(entry.Config{Node: self, Centre: c.Centre, ProbeCount: c.ProbeCount, CrossPrice: c.CrossPrice, Allot: limits, MaxCredentialAge: c.MaxCredentialAge}, p),
		allot:          limits,
		guard:          guard.New(guard.Config{Node: self, Centre: c.Centre, Service: c.Service}),
		gossip:         gossip.New(c.Instance, c.Centre),
		settled:        settled,
		recent:         recent,
		healthChecks:   bucket.New(1, 1),
		outboundProbes: bucket.New(0, 0),
		inboundProbes:  bucket.New(0, 0),
	}
	if c.CrossPrice > 0 {
		n.gossip.PreferHome()
	}
	return n
}

// Start starts the node and reads the published documents.
func (n *Node) Start(e event.Tick, out []effect.Effect) []effect.Effect {
	n.lastTick = e.At
	out = append(out, effect.LogEvent{Kind: effect.KindStart})
	return n.gossip.Start(e.At, out)
}

// Step handles e and appends the resulting effects to out.
func (n *Node) Step(e event.Event, out []effect.Effect) []effect.Effect {
	out = n.detectPause(e, out)
	switch e := e.(type) {
	case event.Request, event.AttemptEnded, event.OutcomeReported, event.HedgeDelayPassed, event.RequestEnded, event.LoadReported, event.CandidatesProbed, event.TokensAnswered:
		out = n.stepEntry(e, out)
	case event.Attempt, event.SenderDisconnected, event.QueueTimedOut, event.ExchangeEnded, event.OutcomeQueried, event.HealthChecked, event.ServerAnnounced, event.LoadRequested:
		out = n.stepGuard(e, out)
	case event.DocumentRead, event.DocumentUnchanged, event.DocumentReadFailed, event.VersionsReceived, event.PeerUnreachable:
		out = n.stepGossip(e, out)
	case event.TokensAsked:
		out = n.lendTokens(e, out)
	case event.Tick:
		out = n.tick(e, false, out)
		out = n.reportDrained(e.At, out)
	case event.ShutdownRequested:
		out = n.startDrain(e, out)
	case event.SettingsChanged:
		n.config.ProbeCount, n.config.RejectStale, n.config.DrainTime = e.ProbeCount, e.RejectWhenStale, e.DrainTime
		n.entry.SetProbeCount(e.ProbeCount)
		out = append(out, effect.LogEvent{Kind: effect.KindSettings})
	}
	return out
}

// detectPause detects that the node was paused before e arrived. It then turns the guard cold
// and checks the view. After a pause longer than Config.MaxStaleness no key is settled.
func (n *Node) detectPause(e event.Event, out []effect.Effect) []effect.Effect {
	at := e.Time()
	gap := at.Sub(n.lastTick)
	if t, ok := e.(event.Tick); ok {
		gap += t.SuspendedFor
	}
	if gap <= pauseThreshold {
		return out
	}
	if gap > n.config.MaxStaleness {
		n.settled.Clear()
		n.recent.Clear()
	}
	n.lastTick = at
	// The drain time starts again, because the node could not reject attempts while it was
	// paused.
	n.drainStart = at
	out = append(out, effect.LogEvent{Kind: effect.KindPaused})
	out = n.guard.MarkCold("the node was paused", out)
	return n.tick(event.Tick{At: at, Random: n.randomOf(e)}, true, out)
}

// randomOf returns the random value of e. For an event without one it derives a value from the
// time of the event and the incarnation of this node, as nodes that start together see the same
// events at nearly the same time.
func (n *Node) randomOf(e event.Event) uint64 {
	switch e := e.(type) {
	case event.Tick:
		return e.Random
	case event.Request:
		return e.Random
	case event.AttemptEnded:
		return e.Random
	case event.TokensAnswered:
		return e.Random
	}
	return mix(uint64(e.Time().UnixNano()) + n.config.Incarnation)
}

// mix returns a hash of x, the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// stepEntry handles an event for the entry.
func (n *Node) stepEntry(e event.Event, out []effect.Effect) []effect.Effect {
	n.updateEntry(e.Time())
	switch e := e.(type) {
	case event.Request:
		if n.guard.Leaving() && e.At.Sub(n.leaveStart) > n.config.DrainTime+callerGrace {
			return n.entry.Reject(e, effect.ReasonLeaving, out)
		}
		return n.entry.Request(e, out)
	case event.AttemptEnded:
		return n.entry.AttemptEnded(e, out)
	case event.OutcomeReported:
		return n.entry.OutcomeReported(e, out)
	case event.HedgeDelayPassed:
		return n.entry.HedgeDelayPassed(e, out)
	case event.CandidatesProbed:
		priority := n.entry.PriorityOf(e.ID)
		n.entry.LoadReported(event.LoadReported{At: e.At, Guard: n.guard.Node(), Load: n.guard.LoadFor(e.At, priority), Priority: priority})
		return n.entry.CandidatesProbed(e, out)
	case event.TokensAnswered:
		if e.Answer.Responded {
			n.allot.HeardFrom(e.At, e.Answer.Ask.Owner.Name)
			n.allot.Heard(e.At, e.Centres)
		}
		return n.entry.TokensAnswered(e, out)
	case event.RequestEnded:
		return n.entry.RequestEnded(e, out)
	case event.LoadReported:
		n.entry.LoadReported(e)
	}
	return out
}

// updateEntry passes on to the entry what this node knows of its documents.
func (n *Node) updateEntry(at time.Time) {
	n.entry.SetVersions(n.gossip.Versions(at))
	n.entry.SetChecking(n.gossip.Freshness() == gossip.Checking)
}

// resumeHeld judges again the requests whose credentials are in doubt.
func (n *Node) resumeHeld(at time.Time, out []effect.Effect) []effect.Effect {
	if !n.entry.HasHeld() {
		return out
	}
	n.updateEntry(at)
	return n.entry.ResumeHeld(at, out)
}

// stepGuard handles an event for the guard.
func (n *Node) stepGuard(e event.Event, out []effect.Effect) []effect.Effect {
	switch e := e.(type) {
	case event.Attempt:
		return n.attempt(e, out)
	case event.SenderDisconnected:
		return n.guard.SenderDisconnected(e, out)
	case event.QueueTimedOut:
		return n.guard.QueueTimedOut(e, out)
	case event.ExchangeEnded:
		return n.guard.ExchangeEnded(e, out)
	case event.OutcomeQueried:
		return n.guard.OutcomeQueried(e, out)
	case event.HealthChecked:
		return n.guard.HealthChecked(e, out)
	case event.ServerAnnounced:
		return n.guard.ServerAnnounced(e, out)
	case event.LoadRequested:
		refused := !n.inboundProbes.Take(e.At, 1)
		return append(out, effect.ReportLoad{Query: e.Query, Load: n.guard.Load(e.At), Refused: refused})
	}
	return out
}

// attempt handles an attempt that has arrived at the guard.
func (n *Node) attempt(e event.Attempt, out []effect.Effect) []effect.Effect {
	if n.gossip.NeedsRules(e.Rules) {
		out = n.gossip.FetchRules(e.At, e.Ticket.Entry.Instance, e.Rules, out)
	}
	return n.guard.Attempt(e, n.admission(e), out)
}

// admission returns the conditions that the views set for the admission of an attempt.
func (n *Node) admission(e event.Attempt) guard.Admission {
	admission := guard.Admission{CloseReason: n.closeReason()}
	admission.Hold = n.gossip.Freshness() == gossip.Checking || n.gossip.NeedsRules(e.Rules)
	if e.Key == "" {
		return admission
	}
	name, ok := owner.Of(e.Key, n.config.Service, n.members)
	admission.Owner = ok && name == n.config.Instance
	if max(n.gossip.FleetAge(e.At), n.gossip.RulesAge(e.At)) >= n.config.MaxStaleness {
		return admission
	}
	admission.OwnedPastViewLag = n.recent.Settled(e.At, e.Key, n.config.Instance)
	admission.Settled = n.settled.Settled(e.At, e.Key, n.config.Instance)
	return admission
}

// closeReason returns the reason why the views forbid new work on this instance, or an empty
// reason.
func (n *Node) closeReason() effect.Reason {
	s, ok := n.gossip.Rules()
	switch {
	case !ok:
		return effect.ReasonRules
	case s.IsOutOfService(n.config.Instance, n.config.Centre):
		return effect.ReasonOutOfService
	case n.leaving:
		return effect.ReasonLeaving
	case n.unlisted && n.config.RequireListed:
		return effect.ReasonUnlisted
	case n.config.RejectStale && n.gossip.Freshness() == gossip.Unconfirmed:
		return effect.ReasonStale
	}
	return ""
}

// Rules returns the rules in force, or nil if the node holds none yet.
func (n *Node) Rules() *rules.Set {
	s, _ := n.gossip.Rules()
	return s
}

// Ready reports whether the node can serve callers: it holds the rules and the instance list,
// and is not leaving.
func (n *Node) Ready() bool {
	_, list := n.gossip.Fleet()
	return n.Rules() != nil && list && !n.guard.Leaving()
}

// Status is the state of a node as reported to operators.
type Status struct {
	Config       Config
	Versions     event.Versions
	Freshness    gossip.Freshness
	IsReader     bool
	Load         report.Load
	OutOfService bool
	CloseReason  effect.Reason
	Requests     int
}

// Status returns the state of the node at the given time.
func (n *Node) Status(at time.Time) Status {
	return Status{
		Config:       n.config,
		Versions:     n.gossip.Versions(at),
		Freshness:    n.gossip.Freshness(),
		IsReader:     n.gossip.IsReader(),
		Load:         n.guard.Load(at),
		OutOfService: n.outOfService,
		CloseReason:  n.closeReason(),
		Requests:     n.entry.InFlight(),
	}
}

// Peers returns the state that the entry keeps for each backend server of a service.
func (n *Node) Peers(at time.Time, service string) []entry.State { return n.entry.States(at, service) }

// Versions returns the versions and ages of the documents that the node holds.
func (n *Node) Versions(at time.Time) event.Versions { return n.gossip.Versions(at) }

// Text returns the text and the revision of a document that the node holds.
func (n *Node) Text(d event.Document) (text string, v view.Version) { return n.gossip.Text(d) }

// Load returns the load report that the guard adds to its responses at the given time.
func (n *Node) Load(at time.Time) report.Load { return n.guard.Load(at) }

// LoadFor returns the load report whose wait time holds for attempts of the given priority.
func (n *Node) LoadFor(at time.Time, priority int) report.Load { return n.guard.LoadFor(at, priority) }
