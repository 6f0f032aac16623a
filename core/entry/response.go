package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// maxQueries is the largest number of outcome queries to an unreachable guard.
	maxQueries = 4
	// queryInterval is the time between two outcome queries for one attempt.
	queryInterval = 50 * time.Millisecond
	// queryGrace is the time after the deadline during which the entry still queries the
	// outcome of an attempt.
	queryGrace = 250 * time.Millisecond
	// maxIncarnationRetries is the number of times that a request is resent to a guard
	// because the guard has a new incarnation.
	maxIncarnationRetries = 2
)

// AttemptEnded handles the end of the exchange of an attempt.
func (n *Entry) AttemptEnded(e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	p, known := n.peers[e.Ticket.Guard.Instance]
	if known {
		p.observe(e)
	}
	c, ok := n.calls[e.ID]
	if !ok || !c.isActive(e.Ticket) {
		return append(out, effect.Cancel{ID: e.ID, Ticket: e.Ticket})
	}
	c.removeActive(e.Ticket)
	if mayHaveReachedServer(e) {
		c.sent++
	}
	c.bodySent = c.bodyOnce && !e.BodyUnread
	if known {
		p.outstanding = max(0, p.outstanding-1)
	}
	if e.Verdict != event.Ran || e.Status >= statusServerError {
		out = logBroken(c, e, out)
	}
	switch e.Verdict {
	case event.Ran:
		return n.handleResponse(c, e, out)
	case event.NotRun, event.Unsent:
		return n.handleNotRun(c, e, out)
	case event.Running:
		return n.handleRunning(c, e, out)
	case event.Unknown, event.Broken, event.Expired:
	}
	return n.handleBroken(c, e, out)
}

// handleResponse relays the response of a backend server to the caller, or retries an
// idempotent request that failed with a server error.
func (n *Entry) handleResponse(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if e.Status >= statusServerError && c.route.Idempotent && len(c.activeTickets) > 0 {
		// The other attempt may still succeed.
		c.uncertain = true
		return append(out, effect.Cancel{ID: c.id, Ticket: e.Ticket})
	}
	if e.Status >= statusServerError && n.mayRetryAfterRun(c, e.At) {
		c.uncertain = true
		out = append(out, effect.Cancel{ID: c.id, Ticket: e.Ticket})
		return n.forward(e.At, e.Random, c, effect.ReasonServer, out)
	}
	n.observeLatency(c.class, e.Latency)
	n.observeServiceTime(c, e)
	out = logDone(c, e, out)
	out = n.cancelAll(c, out)
	delete(n.calls, c.id)
	return append(out, effect.RelayResponse{ID: c.id, Ticket: e.Ticket})
}

// observeServiceTime records the latency of a successful attempt as a service time of its
// class.
func (n *Entry) observeServiceTime(c *call, e event.AttemptEnded) {
	if e.Status < statusServerError && e.Load != nil {
		n.serviceTimes.Observe(c.class, e.Latency, e.Load.Slow)
	}
}

// handleRunning handles a guard's report that the attempt, or an earlier request with the
// same idempotency key, is still running.
func (n *Entry) handleRunning(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if effect.Reason(e.Reason) == effect.ReasonKey {
		c.last = nil
		return n.reply(e.At, c, effect.Running, effect.ReasonKey, out)
	}
	return n.queryOutcome(e.At, c, queryInterval, out)
}

// mayRetryAfterRun reports whether c may be retried although an attempt of it may have
// run. If so, it spends the retry budget.
func (n *Entry) mayRetryAfterRun(c *call, now time.Time) bool {
	if !c.route.Idempotent || c.limits.RetryForbidden || c.limits.Depth > 1 {
		return false
	}
	return n.mayRetry(c, now)
}

// mayRetry reports whether c may be retried. It spends the retry budget if an attempt may
// have reached a backend server. A rejection by a guard costs no budget, since it puts no
// load on the backend server.
func (n *Entry) mayRetry(c *call, now time.Time) bool {
	if c.attempts >= maxAttempts || c.sent >= c.route.MaxAttempts || !now.Before(c.deadline) {
		return false
	}
	if c.bodySent || c.isKeyed() || !n.hasUntriedPeer(now, c) {
		return false
	}
	return c.sent == 0 || n.attemptBudgetOf(c.service).retries.Spend()
}

// mayHaveReachedServer reports whether an attempt that ended with e may have reached a
// backend server.
func mayHaveReachedServer(e event.AttemptEnded) bool {
	switch e.Verdict {
	case event.Unsent:
		return false
	case event.NotRun:
		return effect.Reason(e.Reason) == effect.ReasonShed
	}
	return true
}

// hasUntriedPeer reports whether there is a peer that is not leaving and to which c has
// not been sent.
func (n *Entry) hasUntriedPeer(now time.Time, c *call) bool {
	for _, p := range n.services[c.service] {
		if !c.hasTried(p.instance.Name) && !p.isLeaving(now) {
			return true
		}
	}
	return false
}

// handleNotRun sends c to another guard, or tells the caller that c has not run.
func (n *Entry) handleNotRun(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if len(c.activeTickets) > 0 {
		return out
	}
	if effect.Reason(e.Reason) == effect.ReasonIncarnation && c.incarnationRetries < maxIncarnationRetries && !c.bodySent {
		return n.resendToIncarnation(c, e, out)
	}
	reason := effect.Reason(e.Reason)
	if e.Verdict == event.Unsent {
		reason = effect.ReasonServer
	}
	if n.mayRetry(c, e.At) {
		return n.forward(e.At, e.Random, c, reason, out)
	}
	c.confirmedNotRun = e.Verdict == event.NotRun && reason != effect.ReasonIncarnation && reason != effect.ReasonAddress
	return n.reply(e.At, c, effect.NotRun, reason, out)
}

// resendToIncarnation resends c to a guard that rejected it because the ticket names
// another incarnation.
func (n *Entry) resendToIncarnation(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[e.Ticket.Guard.Instance]
	if !ok {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonIncarnation, out)
	}
	c.incarnationRetries++
	return n.send(e.At, e.Random, c, p, out)
}

// handleBroken handles an exchange that ended with an unknown outcome: the attempt may
// have run.
func (n *Entry) handleBroken(c *call, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	c.uncertain = c.route.Idempotent
	if len(c.activeTickets) > 0 {
		return out
	}
	if !c.route.Idempotent && e.Verdict != event.Unknown {
		return n.queryOutcome(e.At, c, 0, out)
	}
	if e.Verdict != event.Expired && n.mayRetryAfterRun(c, e.At) {
		return n.forward(e.At, e.Random, c, effect.ReasonBroken, out)
	}
	return n.reply(e.At, c, effect.Unknown, brokenReason(e), out)
}

// brokenReason returns the reason that the caller gets for a broken exchange.
func brokenReason(e event.AttemptEnded) effect.Reason {
	switch {
	case e.Verdict == event.Expired:
		return effect.ReasonDeadline
	case e.Reason != "":
		return effect.Reason(e.Reason)
	}
	return effect.ReasonBroken
}

// OutcomeReported handles a guard's reply to an outcome query.
func (n *Entry) OutcomeReported(e event.OutcomeReported, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok || c.last == nil || *c.last != e.Ticket {
		return out
	}
	switch e.Verdict {
	case event.Ran:
		return n.recoverResponse(c, e, out)
	case event.NotRun:
		return n.handleVoided(c, e, out)
	case event.Running:
		if e.At.Before(c.deadline) {
			return n.queryOutcome(e.At, c, queryInterval, out)
		}
		return n.reply(e.At, c, effect.Running, effect.ReasonDeadline, out)
	case event.Broken, event.Unsent, event.Expired:
		if c.queries < maxQueries && e.At.Before(c.deadline.Add(queryGrace)) {
			return n.queryOutcome(e.At, c, queryInterval, out)
		}
	case event.Unknown:
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	return n.reply(e.At, c, effect.Unknown, effect.ReasonBroken, out)
}

// handleVoided handles a guard's statement that the last attempt of c has not run.
func (n *Entry) handleVoided(c *call, e event.OutcomeReported, out []effect.Effect) []effect.Effect {
	if !c.isOutcomeQuery && n.mayRetry(c, e.At) {
		return n.forward(e.At, e.Random, c, effect.ReasonVoid, out)
	}
	return n.reply(e.At, c, effect.NotRun, effect.ReasonVoid, out)
}

// recoverResponse fetches the stored response of an attempt for the caller, if the guard
// still has it.
func (n *Entry) recoverResponse(c *call, e event.OutcomeReported, out []effect.Effect) []effect.Effect {
	if !e.ResponseStored {
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	p, ok := n.peers[c.last.Guard.Instance]
	if !ok {
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	delete(n.calls, c.id)
	return append(out, effect.FetchResponse{ID: c.id, Ticket: e.Ticket, Peer: p.instance})
}
