// Package entry is the half of a node that takes a caller's request, chooses a
// backend server, and follows the request until its outcome is known.
//
// # Usage
//
//	n := entry.New(entry.Identity{Node: self, Centre: "north"}, pick.NewAware())
//	n.Apply(set, instances)
//	out = n.Request(e, out)
//	out = n.Answered(answered, out)
package entry

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/rules"
	"bulrushlock/core/share"
	"bulrushlock/core/span"
	"bulrushlock/core/ticket"
	"bulrushlock/core/usual"
)

const (
	// statusServerError is the first HTTP status of a failure of the server.
	statusServerError = 500
	// mostAttempts is the largest number of attempts of one request.
	mostAttempts = 4
	// budgetReserve is the largest number of extra attempts that a quiet entry may make
	// at once for one service, and fleetReserve that of all entries of a fleet together.
	budgetReserve = 10
	fleetReserve  = 40
)

// Identity tells what an entry stands for.
type Identity struct {
	Node   ticket.Node
	Centre string
	// Ask is the number of guards that are asked for their load before a request is
	// sent; at 0 the loads that ride on answers have to do.
	Ask int
}

// Entry follows the requests of its callers.
type Entry struct {
	identity Identity
	policy   pick.Policy
	// asked chooses among the guards that have just told their load.
	asked    pick.Policy
	set      *rules.Set
	peers    map[string]*peer
	order    []*peer
	services map[string][]*peer
	classes  map[route]int
	calls    map[uint64]*call
	sequence uint64
	extras   map[string]*extra
	delays   map[int]*delay
	versions event.Versions
	scratch  []pick.Candidate
	eligible []*peer
	// shares spread the requests of routes that have several services.
	shares map[int]*share.Share
	// usual is the time that the work of a class takes.
	usual *usual.Usual
	// refusals counts the requests that were not run.
	refusals uint64
	// spans learn the time that callers of a class give their requests.
	spans map[int]*span.Span
}

// route is the part of a rule that names a class of requests.
type route struct {
	host   string
	method string
	path   string
}

// New returns an entry that knows no rules and no backend servers.
func New(i Identity, p pick.Policy) *Entry {
	return &Entry{
		identity: i,
		policy:   p,
		asked:    pick.NewFresh(),
		peers:    make(map[string]*peer),
		services: make(map[string][]*peer),
		classes:  make(map[route]int),
		calls:    make(map[uint64]*call),
		extras:   make(map[string]*extra),
		delays:   make(map[int]*delay),
		shares:   make(map[int]*share.Share),
		spans:    make(map[int]*span.Span),
		usual:    usual.New(),
	}
}

// Apply takes over a set of rules and a list of instances.
func (n *Entry) Apply(s *rules.Set, instances []fleet.Instance) {
	n.set = s
	n.applyRoutes(s)
	n.applyPeers(instances)
	for _, e := range n.extras {
		e.retries.SetReserve(n.reserve())
	}
	clear(n.services)
	for _, i := range instances {
		if i.Leaving || s.IsOut(i.Name, i.Centre) {
			continue
		}
		n.services[i.Service] = append(n.services[i.Service], n.peers[i.Name])
	}
}

// applyRoutes takes over the classes and the budgets of s.
func (n *Entry) applyRoutes(s *rules.Set) {
	clear(n.classes)
	clear(n.delays)
	for _, r := range s.Routes {
		n.classes[route{host: r.Host, method: r.Method, path: r.Path}] = classOf(r)
	}
	clear(n.shares)
	alive := make(map[int]bool, len(n.classes))
	for _, class := range n.classes {
		alive[class] = true
	}
	maps.DeleteFunc(n.spans, func(class int, _ *span.Span) bool { return !alive[class] })
	maps.DeleteFunc(n.extras, func(name string, _ *extra) bool {
		_, ok := s.Service(name)
		return !ok
	})
	for _, e := range n.extras {
		e.setShares(s)
	}
}

// classOf returns the class of the requests of r, which is the same on every node
// and stays the same while other rules change.
func classOf(r rules.Route) int {
	return int(xxhash.Sum64String(r.Method+" "+r.Host+" "+r.Path) >> 2)
}

// applyPeers keeps what is known of the peers that are still listed.
func (n *Entry) applyPeers(instances []fleet.Instance) {
	peers := make(map[string]*peer, len(instances))
	n.order = n.order[:0]
	for _, i := range instances {
		p, ok := n.peers[i.Name]
		if !ok || p.instance.Nodes != i.Nodes {
			p = &peer{}
		}
		p.instance = i
		peers[i.Name] = p
		n.order = append(n.order, p)
	}
	n.peers = peers
}

// SetVersions sets the versions that ride on attempts.
func (n *Entry) SetVersions(v event.Versions) { n.versions = v }

// SetAsk sets the number of guards that are asked before a request is sent.
func (n *Entry) SetAsk(count int) { n.identity.Ask = count }

// Busy returns the number of requests that are not yet settled.
func (n *Entry) Busy() int { return len(n.calls) }

// Peer returns the instance of the given name.
func (n *Entry) Peer(name string) (fleet.Instance, bool) {
	p, ok := n.peers[name]
	if !ok {
		return fleet.Instance{}, false
	}
	return p.instance, true
}

// Learn takes over the present life of a peer.
func (n *Entry) Learn(node ticket.Node) {
	if p, ok := n.peers[node.Instance]; ok && node.Incarnation != 0 {
		p.incarnation = node.Incarnation
	}
}

// Loaded takes over the load that a peer told in answer to a probe.
func (n *Entry) Loaded(e event.Loaded) {
	n.Learn(e.Guard)
	if p, ok := n.peers[e.Guard.Instance]; ok {
		p.report(e.Load, e.At)
	}
}

// choose returns the peer that gets the next attempt of c, or nil where there is none.
func (n *Entry) choose(now time.Time, random uint64, c *call) *peer {
	if c.isKeyed() {
		return n.keyOwner(c)
	}
	n.eligible = n.eligible[:0]
	n.scratch = n.scratch[:0]
	for _, p := range n.services[c.service] {
		if c.hasTried(p.instance.Name) || p.isLeaving(now) {
			continue
		}
		n.eligible = append(n.eligible, p)
		k := p.candidate(n.identity.Node, n.identity.Centre)
		k.Usual = n.usualOf(c)
		n.scratch = append(n.scratch, k)
	}
	if i, ok := n.asked.Pick(now, random, n.scratch); ok && n.identity.Ask > 0 {
		return n.eligible[i]
	}
	i, ok := n.policy.Pick(now, random, n.scratch)
	if !ok {
		return nil
	}
	return n.eligible[i]
}

// reply settles c without an answer of a backend server.
func (n *Entry) reply(now time.Time, c *call, o effect.Outcome, r effect.Reason, out []effect.Effect) []effect.Effect {
	if o == effect.NotRun && c.mayHaveRun() {
		o = effect.Unknown
	}
	out = n.cancelAll(c, out)
	delete(n.calls, c.id)
	t := c.last
	if o == effect.Unknown {
		out = append(out, effect.Note{Kind: effect.KindUnknown, Text: string(r), Ticket: t})
	}
	reply := effect.Reply{ID: c.id, Outcome: o, Reason: r, Ticket: t, Retry: n.retryAfter(now, c, r)}
	return append(n.noteFailed(now, c, reply, out), reply)
}
