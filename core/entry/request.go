package entry

import (
	"errors"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/cross"
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

// request is a caller's request in progress.
type request struct {
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
	// credential is the digest of the caller's credential, and customer the name of the customer
	// that holds it. Both may be empty, and are if the rules have no customers.
	credential string
	customer   string
	// claim says whether req has a token of its customer's limit.
	claim claim
	// chosen is the guard to which req is sent once it has a token.
	chosen string
	// refusal says why there is no token.
	refusal allot.Refusal
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
	// size is the length of the body in bytes, or -1 if it is unknown.
	size int64
	// crossing is the last decision whether to leave the data centre, and hasCrossed is set
	// after an attempt has left it.
	crossing   cross.Decision
	hasCrossed bool
	// probedAt is the time at which the load probes in progress were sent.
	probedAt time.Time
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

// isKeyed reports whether r must be sent to the owner of its idempotency key.
func (r *request) isKeyed() bool { return r.key != "" && !r.route.Idempotent }

// mayHaveRun reports whether r may have run although its last attempt has not: by an
// earlier attempt, or by an earlier request with the same idempotency key or ticket.
func (r *request) mayHaveRun() bool {
	return r.uncertain || r.isOutcomeQuery || r.isKeyed() && !r.firstUse && !r.confirmedNotRun
}

// hasTried reports whether an attempt of r was sent to the instance with the given name.
func (r *request) hasTried(name string) bool {
	for _, t := range r.triedInstances {
		if t == name {
			return true
		}
	}
	return false
}

// isActive reports whether attempt t is still in progress.
func (r *request) isActive(t ticket.Ticket) bool {
	for _, a := range r.activeTickets {
		if a == t {
			return true
		}
	}
	return false
}

// removeActive removes t from the attempts in progress.
func (r *request) removeActive(t ticket.Ticket) {
	for i, a := range r.activeTickets {
		if a == t {
			r.activeTickets = append(r.activeTickets[:i], r.activeTickets[i+1:]...)
			return
		}
	}
}

// Request starts to process a caller's request.
func (n *Entry) Request(e event.Request, out []effect.Effect) []effect.Effect {
	return n.start(e.At, e, out)
}

// start starts to process a request that has arrived at the time now or was held until then.
func (n *Entry) start(now time.Time, e event.Request, out []effect.Effect) []effect.Effect {
	req := &request{id: e.ID, name: e.Name, arrivedAt: e.At.Add(-e.Waited), callerTimeout: e.Call.TimeLeft, key: e.Key, firstUse: e.FirstUse, size: e.Size, bodyOnce: e.SingleUseBody, last: e.Ticket, isOutcomeQuery: e.Ticket != nil}
	if n.rules == nil {
		return n.reply(now, req, effect.NotRun, effect.ReasonRules, out)
	}
	r, ok := n.rules.Route(e.Method, e.Host, e.Path)
	if !ok {
		return n.reply(now, req, effect.NotRun, effect.ReasonRoute, out)
	}
	req.route = r
	if r.Refused {
		return n.reply(now, req, effect.NotRun, effect.ReasonKind, out)
	}
	if n.rules.HasCustomers() {
		var isServed bool
		if isServed, out = n.checkCredential(now, e, req, out); !isServed {
			return out
		}
	}
	req.class = n.classes[route{host: r.Host, method: r.Method, path: r.Path}]
	req.service = n.serviceOf(req, e.Random)
	req.waitedBefore = n.priorWait(req, e)
	if e.Size > r.MaxBodyBytes {
		return n.reply(now, req, effect.NotRun, effect.ReasonBody, out)
	}
	limits, err := nested.Incoming(e.Call, r.HeaderTimeout)
	if err != nil {
		return n.reply(now, req, effect.NotRun, limitReason(err), out)
	}
	req.limits = limits
	req.deadline = req.arrivedAt.Add(limits.TimeLeft)
	if !now.Before(req.deadline) {
		return n.reply(now, req, effect.NotRun, effect.ReasonDeadline, out)
	}
	n.requests[req.id] = req
	// Guards keep no record of idempotent attempts, so an idempotent request is sent
	// again instead.
	if req.isOutcomeQuery && !r.Idempotent {
		return n.queryOutcome(now, req, 0, out)
	}
	if n.isExhausted(now, req) {
		return n.refuse(now, req, out)
	}
	budgets := n.attemptBudgetOf(req.service)
	budgets.retries.Deposit()
	budgets.hedges.Deposit()
	if probed := n.loadProbeTargets(now, e.Random, req); len(probed) > 0 {
		return probeLoads(now, req, probed, out)
	}
	return n.forward(now, e.Random, req, effect.ReasonServers, out)
}

// serviceOf returns the service that executes req: the service of the route or, if the
// route splits its requests among several services, the next one by weight.
func (n *Entry) serviceOf(req *request, random uint64) string {
	parts := req.route.Split
	if len(parts) == 0 {
		return req.route.Service
	}
	s, ok := n.splitters[req.class]
	if !ok {
		weights := make([]int, len(parts))
		for i, p := range parts {
			weights[i] = p.Weight
		}
		s = split.New(weights, random)
		n.splitters[req.class] = s
	}
	return parts[s.Next()].Service
}

// Reject tells the caller that its request has not run, with reason r.
func (n *Entry) Reject(e event.Request, r effect.Reason, out []effect.Effect) []effect.Effect {
	req := &request{id: e.ID, name: e.Name, arrivedAt: e.At.Add(-e.Waited), callerTimeout: e.Call.TimeLeft}
	return n.reply(e.At, req, effect.NotRun, r, out)
}

// limitReason returns the rejection reason for an error of nested.Incoming.
func limitReason(err error) effect.Reason {
	var nested *nested.DepthError
	if errors.As(err, &nested) {
		return effect.ReasonDepth
	}
	return effect.ReasonDeadline
}

// keyOwner returns the peer that owns the idempotency key of req. It returns nil if there
// is none, or if req was already sent, not counting attempts resent to a new incarnation.
func (n *Entry) keyOwner(req *request) *peer {
	if req.attempts > req.incarnationRetries {
		return nil
	}
	peers := n.services[req.service]
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.instance.Name
	}
	name, ok := owner.Of(req.key, req.service, names)
	if !ok {
		return nil
	}
	return n.peers[name]
}

// forward selects a peer and sends an attempt of req to it. If there is no peer, the
// caller gets the outcome that the request has not run, with the given reason.
func (n *Entry) forward(now time.Time, random uint64, req *request, reason effect.Reason, out []effect.Effect) []effect.Effect {
	p := n.selectPeer(now, random, req)
	if p == nil {
		return n.reply(now, req, effect.NotRun, reason, out)
	}
	return n.send(now, random, req, p, out)
}

// send sends an attempt of req to p. The first one waits for a token if the customer has a limit.
func (n *Entry) send(now time.Time, random uint64, req *request, p *peer, out []effect.Effect) []effect.Effect {
	if req.customer != "" && req.claim != claimGranted {
		var isGranted bool
		if isGranted, out = n.claimToken(now, req, p, out); !isGranted {
			return out
		}
	}
	n.sequence++
	t := ticket.Ticket{
		Entry:    n.config.Node,
		Sequence: n.sequence,
		Nonce:    random,
		Guard:    ticket.NodeID{Instance: p.instance.Name, Incarnation: p.incarnation},
		Service:  req.service,
	}
	req.last = &t
	req.attempts++
	req.activeTickets = append(req.activeTickets, t)
	req.triedInstances = append(req.triedInstances, p.instance.Name)
	p.outstanding++
	p.sent++
	if !req.route.Idempotent || t.Sequence%sampleEvery == 0 {
		out = append(out, effect.LogEvent{Kind: effect.KindAttempt, Ticket: &t})
	}
	out = n.logSelected(now, req, t, out)
	out = n.countCrossing(req, p, out)
	limits := req.limits
	limits.TimeLeft = req.deadline.Sub(now)
	return append(out, effect.Forward{
		ID:         req.id,
		Ticket:     t,
		Peer:       p.instance,
		Route:      req.route,
		Call:       limits,
		Class:      req.class,
		Customer:   req.customer,
		Key:        req.key,
		FirstUse:   req.firstUse,
		Versions:   n.versions,
		Local:      p.instance.Name == n.config.Node.Instance,
		HedgeDelay: n.hedgeDelay(now, req),
		TargetLeft: req.targetTimeLeft(now),
		Nested:     req.isNested(),
		RateLimit:  p.knownRateLimit(now),

		WithholdCredential: n.rules.HasCustomers(),
	})
}

// queryOutcome queries, after the delay wait, the guard of the last attempt of req for its
// outcome. Unless the caller asked for the outcome, the query also voids the attempt. An
// unresponsive guard does not delay the response to the caller past queryGrace after the
// deadline.
func (n *Entry) queryOutcome(now time.Time, req *request, wait time.Duration, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[req.last.Guard.Instance]
	if !ok {
		return n.reply(now, req, effect.Unknown, effect.ReasonLost, out)
	}
	timeout := req.deadline.Add(queryGrace).Sub(now) - wait
	if timeout <= 0 {
		return n.reply(now, req, effect.Unknown, effect.ReasonDeadline, out)
	}
	req.queries++
	return append(out, effect.QueryOutcome{
		ID:      req.id,
		Ticket:  *req.last,
		Peer:    p.instance,
		Key:     req.key,
		Void:    !req.isOutcomeQuery,
		Delay:   wait,
		Timeout: timeout,
	})
}

// cancelAll cancels the attempts of req that are still in progress.
func (n *Entry) cancelAll(req *request, out []effect.Effect) []effect.Effect {
	for _, t := range req.activeTickets {
		if p, ok := n.peers[t.Guard.Instance]; ok {
			p.outstanding = max(0, p.outstanding-1)
		}
		out = append(out, effect.Cancel{ID: req.id, Ticket: t})
	}
	req.activeTickets = req.activeTickets[:0]
	return out
}

// RequestEnded drops a request whose caller has disconnected or has received its
// response.
func (n *Entry) RequestEnded(e event.RequestEnded, out []effect.Effect) []effect.Effect {
	req, ok := n.requests[e.ID]
	if !ok {
		return n.dropHeld(e, out)
	}
	if req.claim == claimWaiting {
		n.config.Allot.Withdraw(req.customer, req.id)
	}
	out = n.cancelAll(req, out)
	delete(n.requests, e.ID)
	return append(out, effect.Decision{Kind: effect.DecisionDisconnected, Name: req.name, Facts: []effect.Fact{
		{Key: "attempts", Value: int64(req.attempts)},
		{Key: "total_us", Value: e.At.Sub(req.arrivedAt).Microseconds()},
	}})
}
