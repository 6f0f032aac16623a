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
	// queryGrace is the time after the deadline within which a guard must respond to an
	// outcome query. It covers several round trips.
	queryGrace = 200 * time.Millisecond
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
	req, ok := n.requests[e.ID]
	if !ok || !req.isActive(e.Ticket) {
		return append(out, effect.Cancel{ID: e.ID, Ticket: e.Ticket})
	}
	req.removeActive(e.Ticket)
	if mayHaveReachedServer(e) {
		req.sent++
	}
	req.bodySent = req.bodyOnce && !e.BodyUnread
	if known {
		p.outstanding = max(0, p.outstanding-1)
	}
	if e.Verdict != event.Ran || e.Status >= statusServerError {
		out = logBroken(req, e, out)
	}
	switch e.Verdict {
	case event.Ran:
		return n.handleResponse(req, e, out)
	case event.NotRun, event.Unsent:
		return n.handleNotRun(req, e, out)
	case event.Running:
		return n.handleRunning(req, e, out)
	case event.Unknown, event.Broken, event.Expired:
	}
	return n.handleBroken(req, e, out)
}

// handleResponse relays the response of a backend server to the caller, or retries an
// idempotent request that failed with a server error.
func (n *Entry) handleResponse(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if e.Status >= statusServerError && req.route.Idempotent && len(req.activeTickets) > 0 {
		// The other attempt may still succeed.
		req.uncertain = true
		return append(out, effect.Cancel{ID: req.id, Ticket: e.Ticket})
	}
	if e.Status >= statusServerError && n.mayRetryAfterRun(req, e.At) {
		req.uncertain = true
		out = append(out, effect.Cancel{ID: req.id, Ticket: e.Ticket})
		return n.forward(e.At, e.Random, req, effect.ReasonServer, out)
	}
	n.observeLatency(req.class, e.Latency)
	n.observeServiceTime(req, e)
	n.observeResponseSize(req, e)
	out = logDone(req, e, out)
	out = n.cancelAll(req, out)
	delete(n.requests, req.id)
	return append(out, effect.RelayResponse{ID: req.id, Ticket: e.Ticket})
}

// observeServiceTime records the latency of a successful attempt as a service time of its
// class.
func (n *Entry) observeServiceTime(req *request, e event.AttemptEnded) {
	if e.Status < statusServerError && e.Load != nil {
		n.serviceTimes.Observe(req.class, e.Latency, e.Load.Slow)
	}
}

// handleRunning handles a guard's report that the attempt, or an earlier request with the
// same idempotency key, is still running.
func (n *Entry) handleRunning(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if effect.Reason(e.Reason) == effect.ReasonKey {
		req.last = nil
		return n.reply(e.At, req, effect.Running, effect.ReasonKey, out)
	}
	return n.queryOutcome(e.At, req, queryInterval, out)
}

// mayRetryAfterRun reports whether req may be retried although an attempt of it may have
// run. If so, it spends the retry budget.
func (n *Entry) mayRetryAfterRun(req *request, now time.Time) bool {
	if !req.route.Idempotent || req.limits.RetryForbidden || req.limits.Depth > 1 {
		return false
	}
	return n.mayRetry(req, now)
}

// mayRetry reports whether req may be retried. It spends the retry budget if an attempt may
// have reached a backend server. A rejection by a guard costs no budget, since it puts no
// load on the backend server.
func (n *Entry) mayRetry(req *request, now time.Time) bool {
	if req.attempts >= maxAttempts || req.sent >= req.route.MaxAttempts || !now.Before(req.deadline) {
		return false
	}
	if req.bodySent || req.isKeyed() || !n.hasUntriedPeer(now, req) {
		return false
	}
	return req.sent == 0 || n.attemptBudgetOf(req.service).retries.Spend()
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

// hasUntriedPeer reports whether there is a peer that is not leaving and to which req has
// not been sent.
func (n *Entry) hasUntriedPeer(now time.Time, req *request) bool {
	for _, p := range n.services[req.service] {
		if !req.hasTried(p.instance.Name) && !p.isLeaving(now) {
			return true
		}
	}
	return false
}

// handleNotRun sends req to another guard, or tells the caller that req has not run.
func (n *Entry) handleNotRun(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	if len(req.activeTickets) > 0 {
		return out
	}
	if effect.Reason(e.Reason) == effect.ReasonIncarnation && req.incarnationRetries < maxIncarnationRetries && !req.bodySent && !n.isEnding(e) {
		return n.resendToIncarnation(req, e, out)
	}
	reason := effect.Reason(e.Reason)
	if e.Verdict == event.Unsent {
		reason = effect.ReasonServer
	}
	if n.mayRetry(req, e.At) {
		return n.forward(e.At, e.Random, req, reason, out)
	}
	req.confirmedNotRun = e.Verdict == event.NotRun && reason != effect.ReasonIncarnation && reason != effect.ReasonAddress
	return n.reply(e.At, req, effect.NotRun, reason, out)
}

// isEnding reports whether the backend server of the guard that ended an attempt has announced
// that it is leaving.
func (n *Entry) isEnding(e event.AttemptEnded) bool {
	p, ok := n.peers[e.Ticket.Guard.Instance]
	return ok && p.isEnding(e.At)
}

// resendToIncarnation resends req to a guard that rejected it because the ticket names
// another incarnation.
func (n *Entry) resendToIncarnation(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[e.Ticket.Guard.Instance]
	if !ok {
		return n.reply(e.At, req, effect.NotRun, effect.ReasonIncarnation, out)
	}
	req.incarnationRetries++
	return n.send(e.At, e.Random, req, p, out)
}

// handleBroken handles an exchange that ended with an unknown outcome: the attempt may
// have run.
func (n *Entry) handleBroken(req *request, e event.AttemptEnded, out []effect.Effect) []effect.Effect {
	req.uncertain = req.route.Idempotent
	if len(req.activeTickets) > 0 {
		return out
	}
	if !req.route.Idempotent && e.Verdict != event.Unknown {
		return n.queryOutcome(e.At, req, 0, out)
	}
	if e.Verdict != event.Expired && n.mayRetryAfterRun(req, e.At) {
		return n.forward(e.At, e.Random, req, effect.ReasonBroken, out)
	}
	return n.reply(e.At, req, effect.Unknown, brokenReason(e), out)
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
	req, ok := n.requests[e.ID]
	if !ok || req.last == nil || *req.last != e.Ticket {
		return out
	}
	switch e.Verdict {
	case event.Ran:
		return n.recoverResponse(req, e, out)
	case event.NotRun:
		return n.handleVoided(req, e, out)
	case event.Running:
		if e.At.Before(req.deadline) {
			return n.queryOutcome(e.At, req, queryInterval, out)
		}
		return n.reply(e.At, req, effect.Running, effect.ReasonDeadline, out)
	case event.Broken, event.Unsent, event.Expired:
		if req.queries < maxQueries && e.At.Before(req.deadline.Add(queryGrace)) {
			return n.queryOutcome(e.At, req, queryInterval, out)
		}
	case event.Unknown:
		return n.reply(e.At, req, effect.Unknown, effect.ReasonLost, out)
	}
	return n.reply(e.At, req, effect.Unknown, effect.ReasonBroken, out)
}

// handleVoided handles a guard's statement that the last attempt of req has not run.
func (n *Entry) handleVoided(req *request, e event.OutcomeReported, out []effect.Effect) []effect.Effect {
	if !req.isOutcomeQuery && n.mayRetry(req, e.At) {
		return n.forward(e.At, e.Random, req, effect.ReasonVoid, out)
	}
	return n.reply(e.At, req, effect.NotRun, effect.ReasonVoid, out)
}

// recoverResponse fetches the stored response of an attempt for the caller, if the guard
// still has it.
func (n *Entry) recoverResponse(req *request, e event.OutcomeReported, out []effect.Effect) []effect.Effect {
	if !e.ResponseStored {
		return n.reply(e.At, req, effect.Unknown, effect.ReasonLost, out)
	}
	p, ok := n.peers[req.last.Guard.Instance]
	if !ok {
		return n.reply(e.At, req, effect.Unknown, effect.ReasonLost, out)
	}
	delete(n.requests, req.id)
	return append(out, effect.FetchResponse{ID: req.id, Ticket: e.Ticket, Peer: p.instance})
}
