package entry

import (
	"errors"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/nested"
	"bulrushlock/core/owner"
	"bulrushlock/core/rules"
	"bulrushlock/core/split"
	"bulrushlock/core/ticket"
)

// sampleEvery is the sampling interval of idempotent attempts: one in so many is written
// to the event log.
const sampleEvery = 128

// call is a request in progress.
type call struct {
	id   uint64
	name string
	// began is the time at which the request arrived.
	began time.Time
	route rules.Route
	// callerTimeout is the time that the caller allows for the request, or 0 if it names
	// none.
	callerTimeout time.Duration
	// waitedBefore is the time that the caller had already waited when the request
	// arrived.
	waitedBefore time.Duration
	// service is the service of the route that executes the request.
	service string
	// awaitingLoads is set while load probes for the request are in progress.
	awaitingLoads bool
	class         int
	key           string
	first         bool
	// bodyOnce is set if the body can be sent only once, and bodySent after it was sent.
	bodyOnce bool
	bodySent bool
	depth    nested.Limits
	deadline time.Time
	// last is the ticket of the last attempt, or of the attempt whose outcome the caller
	// queries.
	last *ticket.Ticket
	// isRecovery is set if the caller queries the outcome of an earlier attempt. Even if
	// that attempt was not executed, the entry that made it may have made another one
	// since, whose ticket the caller does not have. Therefore only the entry of an
	// attempt retries after a rejection.
	isRecovery bool
	// uncertain is set if an attempt of an idempotent request may have been executed.
	uncertain bool
	// confirmedNotRun is set after the owner of the idempotency key has stated that no
	// request with the key was executed.
	confirmedNotRun bool
	active          []ticket.Ticket
	tried           []string
	attempts        int
	// probeRounds is the number of times that guards were probed for the request.
	probeRounds int
	// sent is the number of attempts that may have reached a backend server.
	sent               int
	incarnationRetries int
	queries            int
}

// isKeyed reports whether c must be sent to the owner of its idempotency key.
func (c *call) isKeyed() bool { return c.key != "" && !c.route.Idempotent }

// mayHaveRun reports whether c may have been executed although its last attempt was not:
// by an earlier attempt, or by an earlier request with the same idempotency key or
// ticket.
func (c *call) mayHaveRun() bool {
	return c.uncertain || c.isRecovery || c.isKeyed() && !c.first && !c.confirmedNotRun
}

// hasTried reports whether an attempt of c was sent to the instance with the given name.
func (c *call) hasTried(name string) bool {
	for _, t := range c.tried {
		if t == name {
			return true
		}
	}
	return false
}

// isActive reports whether the exchange of t is still in progress.
func (c *call) isActive(t ticket.Ticket) bool {
	for _, a := range c.active {
		if a == t {
			return true
		}
	}
	return false
}

// removeActive removes t from the attempts in progress.
func (c *call) removeActive(t ticket.Ticket) {
	for i, a := range c.active {
		if a == t {
			c.active = append(c.active[:i], c.active[i+1:]...)
			return
		}
	}
}

// Request starts to process a caller's request.
func (n *Entry) Request(e event.Request, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, began: e.At, callerTimeout: e.Call.TimeLeft, key: e.Key, first: e.FirstUse, bodyOnce: e.SingleUseBody, last: e.Ticket, isRecovery: e.Ticket != nil}
	if n.rules == nil {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonRules, out)
	}
	r, ok := n.rules.Route(e.Method, e.Host, e.Path)
	if !ok {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonRoute, out)
	}
	c.route = r
	c.class = n.classes[route{host: r.Host, method: r.Method, path: r.Path}]
	c.service = n.serviceOf(c, e.Random)
	c.waitedBefore = n.waitedBeforeOf(c, e)
	if e.Size > r.MaxBodyBytes {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonBody, out)
	}
	limits, err := nested.Incoming(e.Call, r.HeaderTimeout)
	if err != nil {
		return n.reply(e.At, c, effect.NotRun, limitReason(err), out)
	}
	c.depth = limits
	c.deadline = e.At.Add(limits.TimeLeft)
	n.calls[c.id] = c
	// Guards keep no record of idempotent attempts, so these are sent again instead.
	if c.isRecovery && !r.Idempotent {
		return n.queryOutcome(e.At, c, 0, out)
	}
	x := n.attemptBudgetOf(c.service)
	x.retries.Deposit()
	x.hedges.Deposit()
	if probed := n.loadProbeTargets(e.At, e.Random, c); len(probed) > 0 {
		c.awaitingLoads = true
		return append(out, effect.ProbeLoads{ID: c.id, Peers: probed})
	}
	return n.forward(e.At, e.Random, c, effect.ReasonServers, out)
}

// serviceOf returns the service that executes c: the service of the route, or the next
// one by weight if the route is split.
func (n *Entry) serviceOf(c *call, random uint64) string {
	parts := c.route.Split
	if len(parts) == 0 {
		return c.route.Service
	}
	s, ok := n.shares[c.class]
	if !ok {
		weights := make([]int, len(parts))
		for i, p := range parts {
			weights[i] = p.Weight
		}
		s = split.New(weights, random)
		n.shares[c.class] = s
	}
	return parts[s.Next()].Service
}

// Reject tells the caller that its request was not executed, with reason r.
func (n *Entry) Reject(e event.Request, r effect.Reason, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, began: e.At, callerTimeout: e.Call.TimeLeft}
	return n.reply(e.At, c, effect.NotRun, r, out)
}

// limitReason returns the rejection reason for an error of nested.Incoming.
func limitReason(err error) effect.Reason {
	var nested *nested.DepthError
	if errors.As(err, &nested) {
		return effect.ReasonDepth
	}
	return effect.ReasonDeadline
}

// keyOwner returns the peer that owns the idempotency key of c, or nil if there is none.
func (n *Entry) keyOwner(c *call) *peer {
	if c.attempts > c.incarnationRetries {
		return nil
	}
	peers := n.services[c.service]
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.instance.Name
	}
	name, ok := owner.Of(c.key, c.service, names)
	if !ok {
		return nil
	}
	return n.peers[name]
}

// forward selects a peer and sends an attempt of c to it. If there is no peer, the
// caller gets the outcome that the request was not executed, with the given reason.
func (n *Entry) forward(now time.Time, random uint64, c *call, reason effect.Reason, out []effect.Effect) []effect.Effect {
	p := n.selectPeer(now, random, c)
	if p == nil {
		return n.reply(now, c, effect.NotRun, reason, out)
	}
	return n.send(now, random, c, p, out)
}

// send sends an attempt of c to p.
func (n *Entry) send(now time.Time, random uint64, c *call, p *peer, out []effect.Effect) []effect.Effect {
	n.sequence++
	t := ticket.Ticket{
		Entry:    n.config.Node,
		Sequence: n.sequence,
		Nonce:    random,
		Guard:    ticket.NodeID{Instance: p.instance.Name, Incarnation: p.incarnation},
		Service:  c.service,
	}
	c.last = &t
	c.attempts++
	c.active = append(c.active, t)
	c.tried = append(c.tried, p.instance.Name)
	p.outstanding++
	p.sent++
	if !c.route.Idempotent || t.Sequence%sampleEvery == 0 {
		out = append(out, effect.LogEvent{Kind: effect.KindAttempt, Ticket: &t})
	}
	out = n.logPlaced(now, c, t, out)
	call := c.depth
	call.TimeLeft = c.deadline.Sub(now)
	return append(out, effect.Forward{
		ID:         c.id,
		Ticket:     t,
		Peer:       p.instance,
		Route:      c.route,
		Call:       call,
		Class:      c.class,
		Key:        c.key,
		FirstUse:   c.first,
		Versions:   n.versions,
		Local:      p.instance.Name == n.config.Node.Instance,
		HedgeDelay: n.hedgeDelay(now, c),
		TargetLeft: c.targetTimeLeft(now),
		Nested:     c.isNested(),
	})
}

// queryOutcome queries the guard of the last attempt of c for the outcome.
func (n *Entry) queryOutcome(now time.Time, c *call, wait time.Duration, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[c.last.Guard.Instance]
	if !ok {
		return n.reply(now, c, effect.Unknown, effect.ReasonLost, out)
	}
	c.queries++
	return append(out, effect.QueryOutcome{ID: c.id, Ticket: *c.last, Peer: p.instance, Key: c.key, Void: !c.isRecovery, Delay: wait})
}

// cancelAll cancels the attempts of c that are still in progress.
func (n *Entry) cancelAll(c *call, out []effect.Effect) []effect.Effect {
	for _, t := range c.active {
		if p, ok := n.peers[t.Guard.Instance]; ok {
			p.outstanding = max(0, p.outstanding-1)
		}
		out = append(out, effect.Cancel{ID: c.id, Ticket: t})
	}
	c.active = c.active[:0]
	return out
}

// RequestEnded drops a request whose caller has disconnected or has its response.
func (n *Entry) RequestEnded(e event.RequestEnded, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok {
		return out
	}
	out = n.cancelAll(c, out)
	delete(n.calls, e.ID)
	return append(out, effect.Decision{Kind: effect.DecisionDisconnected, Name: c.name, Facts: []effect.Fact{
		{Key: "attempts", Value: int64(c.attempts)},
		{Key: "total_us", Value: e.At.Sub(c.began).Microseconds()},
	}})
}
