// Package entry implements the half of a node that takes requests from callers, selects a
// backend server for each attempt and tracks the request until its outcome is known.
//
// # Usage
//
//	n := entry.New(entry.Config{Node: self, Centre: "north"}, pick.NewLoadAware())
//	n.SetRules(set, instances)
//	out = n.Request(e, out)
//	out = n.AttemptEnded(ended, out)
package entry

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/allot"
	"bulrushlock/core/cross"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/rules"
	"bulrushlock/core/split"
	"bulrushlock/core/ticket"
	"bulrushlock/core/timing"
	"bulrushlock/core/toll"
	"bulrushlock/core/waited"
)

const (
	// statusServerError is the lowest HTTP status of a server error.
	statusServerError = 500
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 4
	// budgetReserve is the largest number of extra attempts that one entry may make in a
	// burst for one service after an idle time. fleetReserve is the same limit for all
	// entries together.
	budgetReserve = 10
	fleetReserve  = 40
)

// Config identifies an entry and sets how it probes guards.
type Config struct {
	Node   ticket.NodeID
	Centre string
	// ProbeCount is the number of guards whose load the entry probes before it sends a
	// request. At 0 it relies on the load reports that arrive with responses.
	ProbeCount int
	// Allot keeps the limits of customers; nil means that there are none.
	Allot *allot.Allot
	// MaxCredentialAge is the age of the rules up to which a credential that they know counts; 0
	// means any.
	MaxCredentialAge time.Duration
	// CrossPrice is the waiting time that is as bad as one megabyte sent to another data
	// centre. At 0 bytes have no price, and requests leave the data centre at a fixed cost.
	CrossPrice time.Duration
}

// Entry tracks the requests of its callers. It is a reducer: its methods take events and
// append effects.
type Entry struct {
	config Config
	policy pick.Policy
	// freshPolicy selects among guards whose load was just probed. It is used if
	// ProbeCount is above 0, and policy if no load report is recent enough for it.
	freshPolicy pick.Policy
	rules       *rules.Set
	peers       map[string]*peer
	peerOrder   []*peer
	services    map[string][]*peer
	// probeOrder holds the peers of each service whose loads are probed: those in the
	// entry's own data centre, and those in others.
	probeOrder       map[string][2][]*peer
	classes          map[route]int
	requests         map[uint64]*request
	sequence         uint64
	attemptBudgets   map[string]*attemptBudget
	latencyQuantiles map[int]*latencyQuantile
	versions         event.Versions
	// candidates and eligible are buffers of selectPeer.
	candidates []pick.Candidate
	eligible   []*peer
	// splitters distribute the requests of routes that have several services, by class.
	splitters map[int]*split.Splitter
	// serviceTimes learns the typical service time of each class of requests.
	serviceTimes *timing.Estimator
	// rejections counts the requests that got no response of a backend server.
	rejections uint64
	// callerTimeouts learns, for each class, the time that callers allow for their
	// requests.
	callerTimeouts map[int]*waited.Estimator
	// checking is set while the node checks after a pause whether the rules are current.
	checking bool
	// held are the requests whose credential is in doubt, in the order of their arrival.
	held []event.Request
	// toll estimates the cost of crossing to other data centres, and crossings decide for
	// each service who crosses. Without a price, toll is nil.
	toll      *toll.Toll
	crossings map[string]*cross.Policy
}

// route is the part of a routing rule that identifies a class of requests.
type route struct {
	host   string
	method string
	path   string
}

// New returns an Entry without rules and without backend servers.
func New(c Config, p pick.Policy) *Entry {
	n := &Entry{
		config:           c,
		policy:           p,
		freshPolicy:      pick.NewLeastExpectedTime(),
		peers:            make(map[string]*peer),
		services:         make(map[string][]*peer),
		probeOrder:       make(map[string][2][]*peer),
		classes:          make(map[route]int),
		requests:         make(map[uint64]*request),
		attemptBudgets:   make(map[string]*attemptBudget),
		latencyQuantiles: make(map[int]*latencyQuantile),
		splitters:        make(map[int]*split.Splitter),
		callerTimeouts:   make(map[int]*waited.Estimator),
		serviceTimes:     timing.New(),
		crossings:        make(map[string]*cross.Policy),
	}
	if c.CrossPrice > 0 {
		n.toll = toll.New(c.CrossPrice)
	}
	return n
}

// SetRules replaces the rules and the instance list.
func (n *Entry) SetRules(s *rules.Set, instances []fleet.Instance) {
	n.rules = s
	n.applyRoutes(s)
	n.applyPeers(instances)
	for _, e := range n.attemptBudgets {
		e.retries.SetReserve(n.extraAttemptReserve())
	}
	clear(n.services)
	clear(n.probeOrder)
	for _, i := range instances {
		if i.Leaving || s.IsOutOfService(i.Name, i.Centre) {
			continue
		}
		n.addToService(n.peers[i.Name])
	}
	n.retainCrossings()
}

// addToService adds a peer to those that may get requests for its service.
func (n *Entry) addToService(p *peer) {
	service := p.instance.Service
	n.services[service] = append(n.services[service], p)
	if p.instance.Name == n.config.Node.Instance {
		return
	}
	distance := 0
	if p.instance.Centre != n.config.Centre {
		distance = 1
	}
	order := n.probeOrder[service]
	order[distance] = append(order[distance], p)
	n.probeOrder[service] = order
}

// applyRoutes adopts the request classes and budgets of s. It drops the state of classes
// and services that s no longer names.
func (n *Entry) applyRoutes(s *rules.Set) {
	clear(n.classes)
	clear(n.latencyQuantiles)
	for _, r := range s.Routes {
		n.classes[route{host: r.Host, method: r.Method, path: r.Path}] = classOf(r)
	}
	clear(n.splitters)
	currentClasses := make(map[int]bool, len(n.classes))
	for _, class := range n.classes {
		currentClasses[class] = true
	}
	maps.DeleteFunc(n.callerTimeouts, func(class int, _ *waited.Estimator) bool { return !currentClasses[class] })
	maps.DeleteFunc(n.attemptBudgets, func(name string, _ *attemptBudget) bool {
		_, ok := s.Service(name)
		return !ok
	})
	for _, e := range n.attemptBudgets {
		e.setShares(s)
	}
}

// classOf returns the class of the requests of r. The class is equal on every node and
// does not change when other rules change.
func classOf(r rules.Route) int {
	return int(xxhash.Sum64String(r.Method+" "+r.Host+" "+r.Path) >> 2)
}

// applyPeers replaces the peers. It keeps the state of those that are still listed at
// the same address.
func (n *Entry) applyPeers(instances []fleet.Instance) {
	peers := make(map[string]*peer, len(instances))
	n.peerOrder = n.peerOrder[:0]
	for _, i := range instances {
		p, ok := n.peers[i.Name]
		if !ok || p.instance.ForwardAddr != i.ForwardAddr {
			p = &peer{}
		}
		if p.instance.Incarnation != i.Incarnation {
			p.rateLimit, p.ending = 0, false
		}
		p.instance = i
		peers[i.Name] = p
		n.peerOrder = append(n.peerOrder, p)
	}
	n.peers = peers
}

// SetVersions sets the versions that are sent with attempts.
func (n *Entry) SetVersions(v event.Versions) { n.versions = v }

// SetChecking sets whether the node checks after a pause whether the rules are current.
func (n *Entry) SetChecking(checking bool) { n.checking = checking }

// SetProbeCount sets the number of guards that are probed before a request is sent.
func (n *Entry) SetProbeCount(count int) { n.config.ProbeCount = count }

// InFlight returns the number of requests that are still in progress.
func (n *Entry) InFlight() int { return len(n.requests) + len(n.held) }

// Peer returns the instance with the given name. The result is false if the instance is
// not listed.
func (n *Entry) Peer(name string) (fleet.Instance, bool) {
	p, ok := n.peers[name]
	if !ok {
		return fleet.Instance{}, false
	}
	return p.instance, true
}

// SetIncarnation records the current incarnation of a peer.
func (n *Entry) SetIncarnation(node ticket.NodeID) {
	if p, ok := n.peers[node.Instance]; ok && node.Incarnation != 0 {
		p.incarnation = node.Incarnation
	}
}

// PriorityOf returns the priority of a request that is being processed, or 0 if there is none of that
// ID.
func (n *Entry) PriorityOf(id uint64) int {
	if req, ok := n.requests[id]; ok {
		return req.route.Priority
	}
	return 0
}

// LoadReported records the load that a peer returned for a load probe.
func (n *Entry) LoadReported(e event.LoadReported) {
	n.SetIncarnation(e.Guard)
	if p, ok := n.peers[e.Guard.Instance]; ok {
		p.recordRankedLoad(e.Load, e.Priority, e.At)
		if !e.Load.Leaving {
			p.updateEnding(e.Guard.Incarnation, false, e.At)
		}
	}
}

// selectPeer returns the peer for the next attempt of req, or nil if there is none.
func (n *Entry) selectPeer(now time.Time, random uint64, req *request) *peer {
	if req.isKeyed() {
		return n.keyOwner(req)
	}
	n.collectCandidates(now, req)
	if n.config.ProbeCount > 0 {
		if i, ok := n.pickProbed(now, random, req); ok {
			return n.eligible[i]
		}
	}
	i, ok := n.policy.Pick(now, random, n.candidates)
	if !ok {
		return nil
	}
	return n.eligible[i]
}

// pickProbed selects among the candidates with a recent load report.
func (n *Entry) pickProbed(now time.Time, random uint64, req *request) (int, bool) {
	if n.toll != nil {
		return n.pickCrossing(now, random, req)
	}
	return n.freshPolicy.Pick(now, random, n.candidates)
}

// collectCandidates collects the peers that the next attempt of req may be sent to.
func (n *Entry) collectCandidates(now time.Time, req *request) {
	n.eligible = n.eligible[:0]
	n.candidates = n.candidates[:0]
	centre, cost, onTheWay := "", time.Duration(0), time.Duration(0)
	for _, p := range n.services[req.service] {
		if req.hasTried(p.instance.Name) || p.isLeaving(now) {
			continue
		}
		n.eligible = append(n.eligible, p)
		k := p.candidate(n.config.Node, n.config.Centre)
		k.TypicalTime = n.typicalTimeOf(req)
		k.Wait = p.waitOf(req.route.Priority, now)
		if n.toll != nil && !k.SameCentre {
			if k.Centre != centre {
				centre, cost = k.Centre, n.toll.Cost(req.class, req.size, n.config.Centre, k.Centre)
				onTheWay = n.toll.Time(n.config.Centre, k.Centre)
			}
			k.CrossCost, k.CrossTime = cost, onTheWay
		}
		n.candidates = append(n.candidates, k)
	}
	// A body leaves the data centre once only.
	if n.toll != nil && req.hasCrossed && req.size != 0 {
		n.keepHome()
	}
}

// reply completes req without a response of a backend server.
func (n *Entry) reply(now time.Time, req *request, o effect.Outcome, r effect.Reason, out []effect.Effect) []effect.Effect {
	if o == effect.NotRun && req.mayHaveRun() {
		o = effect.Unknown
	}
	out = n.cancelAll(req, out)
	delete(n.requests, req.id)
	t := req.last
	if o == effect.Unknown {
		out = append(out, effect.LogEvent{Kind: effect.KindUnknown, Text: string(r), Ticket: t})
	}
	reply := effect.ReplyFromEntry{ID: req.id, Outcome: o, Reason: r, Ticket: t, RetryAfter: n.retryAfter(now, req, r)}
	return append(n.logFailed(now, req, reply, out), reply)
}
