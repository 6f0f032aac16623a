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

// sampleEvery is the sampling rate of idempotent attempts in the event log: about one in
// sampleEvery is written. All non-idempotent attempts are written.
const sampleEvery = 128

// call is a request in progress.
type call struct {
	id uint64
	// name is the name that the caller gave the request, or empty.
	name string
	// arrivedAt is the time at which the request arrived.
	arrivedAt time.Time
	route     rules.Route
	// callerTimeout is the time that the caller allows for the request, or 0 if it sets
	// none.
	callerTimeout time.Duration
	// waitedBefore is the time that the caller had already waited when the request
	// arrived.
	waitedBefore time.Duration
	// service is the service of the route that executes the request.
	service string
	// awaitingLoads is set while load probes for the request are in progress.
	awaitingLoads bool
	// class groups requests of similar cost: those of one route.
	class int
	key   string
	// firstUse is set if the caller states that it has not sent the key before.
	firstUse bool
	// bodyOnce is set if the body can be sent only once, and bodySent after it was sent.
	bodyOnce bool
	bodySent bool
	limits   nested.Limits
	deadline time.Time
	// last is the ticket of the last attempt, or of the attempt whose outcome the caller
	// queries.
	last *ticket.Ticket
	// isOutcomeQuery is set if the caller queries the outcome of an earlier attempt.
	// Even if that attempt has not run, the entry that made it may have made another one
	// since, whose ticket the caller does not have. Therefore only the entry that made
	// an attempt may retry it after learning that it has not run.
	isOutcomeQuery bool
	// uncertain is set if an attempt of an idempotent request may have run.
	uncertain bool
	// confirmedNotRun is set after the owner of the idempotency key has stated that no
	// request with the key has run.
	confirmedNotRun bool
	activeTickets   []ticket.Ticket
	triedInstances  []string
	attempts        int
	// probeRounds is the number of times that guards were probed for the request.
	probeRounds int
	// sent is the number of attempts that may have reached a backend server.
	sent               int
	incarnationRetries int
	// queries is the number of outcome queries sent, at most maxQueries to an
	// unreachable guard.
	queries int
}

// isKeyed reports whether c must be sent to the owner of its idempotency key.
func (c *call) isKeyed() bool { return c.key != "" && !c.route.Idempotent }

// mayHaveRun reports whether c may have run although its last attempt has not: by an
// earlier attempt, or by an earlier request with the same idempotency key or ticket.
func (c *call) mayHaveRun() bool {
	return c.uncertain || c.isOutcomeQuery || c.isKeyed() && !c.firstUse && !c.confirmedNotRun
}

// hasTried reports whether an attempt of c was sent to the instance with the given name.
func (c *call) hasTried(name string) bool {
	for _, t := range c.triedInstances {
		if t == name {
			return true
		}
	}
	return false
}

// isActive reports whether attempt t is still in progress.
func (c *call) isActive(t ticket.Ticket) bool {
	for _, a := range c.activeTickets {
		if a == t {
			return true
		}
	}
	return false
}

// removeActive removes t from the attempts in progress.
func (c *call) removeActive(t ticket.Ticket) {
	for i, a := range c.activeTickets {
		if a == t {
			c.activeTickets = append(c.activeTickets[:i], c.activeTickets[i+1:]...)
			return
		}
	}
}

// Request starts to process a caller's request.
func (n *Entry) Request(e event.Request, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, arrivedAt: e.At, callerTimeout: e.Call.TimeLeft, key: e.Key, firstUse: e.FirstUse, bodyOnce: e.SingleUseBody, last: e.Ticket, isOutcomeQuery: e.Ticket != nil}
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
	c.waitedBefore = n.priorWait(c, e)
	if e.Size > r.MaxBodyBytes {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonBody, out)
	}
	limits, err := nested.Incoming(e.Call, r.HeaderTimeout)
	if err != nil {
		return n.reply(e.At, c, effect.NotRun, limitReason(err), out)
	}
	c.limits = limits
	c.deadline = e.At.Add(limits.TimeLeft)
	n.calls[c.id] = c
	// Guards keep no record of idempotent attempts, so an idempotent request is sent
	// again instead.
	if c.isOutcomeQuery && !r.Idempotent {
		return n.queryOutcome(e.At, c, 0, out)
	}
	budgets := n.attemptBudgetOf(c.service)
	budgets.retries.Deposit()
	budgets.hedges.Deposit()
	if probed := n.loadProbeTargets(e.At, e.Random, c); len(probed) > 0 {
		c.awaitingLoads = true
		return append(out, effect.ProbeCandidates{ID: c.id, Peers: probed})
	}
	return n.forward(e.At, e.Random, c, effect.ReasonServers, out)
}

// serviceOf returns the service that executes c: the service of the route or, if the
// route splits its requests among several services, the next one by weight.
func (n *Entry) serviceOf(c *call, random uint64) string {
	parts := c.route.Split
	if len(parts) == 0 {
		return c.route.Service
	}
	s, ok := n.splitters[c.class]
	if !ok {
		weights := make([]int, len(parts))
		for i, p := range parts {
			weights[i] = p.Weight
		}
		s = split.New(weights, random)
		n.splitters[c.class] = s
	}
	return parts[s.Next()].Service
}

// Reject tells the caller that its request has not run, with reason r.
func (n *Entry) Reject(e event.Request, r effect.Reason, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, arrivedAt: e.At, callerTimeout: e.Call.TimeLeft}
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

// keyOwner returns the peer that owns the idempotency key of c. It returns nil if there
// is none, or if c was already sent, not counting attempts resent to a new incarnation.
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
// caller gets the outcome that the request has not run, with the given reason.
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
	c.activeTickets = append(c.activeTickets, t)
	c.triedInstances = append(c.triedInstances, p.instance.Name)
	p.outstanding++
	p.sent++
	if !c.route.Idempotent || t.Sequence%sampleEvery == 0 {
		out = append(out, effect.LogEvent{Kind: effect.KindAttempt, Ticket: &t})
	}
	out = n.logSelected(now, c, t, out)
	limits := c.limits
	limits.TimeLeft = c.deadline.Sub(now)
	return append(out, effect.Forward{
		ID:         c.id,
		Ticket:     t,
		Peer:       p.instance,
		Route:      c.route,
		Call:       limits,
		Class:      c.class,
		Key:        c.key,
		FirstUse:   c.firstUse,
		Versions:   n.versions,
		Local:      p.instance.Name == n.config.Node.Instance,
		HedgeDelay: n.hedgeDelay(now, c),
		TargetLeft: c.targetTimeLeft(now),
		Nested:     c.isNested(),
	})
}

// queryOutcome queries, after the delay wait, the guard of the last attempt of c for its
// outcome. Unless the caller asked for the outcome, the query also voids the attempt.
func (n *Entry) queryOutcome(now time.Time, c *call, wait time.Duration, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[c.last.Guard.Instance]
	if !ok {
		return n.reply(now, c, effect.Unknown, effect.ReasonLost, out)
	}
	c.queries++
	return append(out, effect.QueryOutcome{ID: c.id, Ticket: *c.last, Peer: p.instance, Key: c.key, Void: !c.isOutcomeQuery, Delay: wait})
}

// cancelAll cancels the attempts of c that are still in progress.
func (n *Entry) cancelAll(c *call, out []effect.Effect) []effect.Effect {
	for _, t := range c.activeTickets {
		if p, ok := n.peers[t.Guard.Instance]; ok {
			p.outstanding = max(0, p.outstanding-1)
		}
		out = append(out, effect.Cancel{ID: c.id, Ticket: t})
	}
	c.activeTickets = c.activeTickets[:0]
	return out
}

// RequestEnded drops a request whose caller has disconnected or has received its
// response.
func (n *Entry) RequestEnded(e event.RequestEnded, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok {
		return out
	}
	out = n.cancelAll(c, out)
	delete(n.calls, e.ID)
	return append(out, effect.Decision{Kind: effect.DecisionDisconnected, Name: c.name, Facts: []effect.Fact{
		{Key: "attempts", Value: int64(c.attempts)},
		{Key: "total_us", Value: e.At.Sub(c.arrivedAt).Microseconds()},
	}})
}
