package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ledger"
	"bulrushlock/core/ticket"
)

// statusServerError is the lowest HTTP status that counts as a server failure.
const statusServerError = 500

// Attempt admits, queues, holds or rejects an attempt that has arrived.
func (g *Guard) Attempt(e event.Attempt, admission Admission, out []effect.Effect) []effect.Effect {
	g.lastAttemptAt = e.At
	if reason := g.misaddressedReason(e.Ticket); reason != "" {
		return appendRejection(e, effect.NotRun, reason, out)
	}
	g.quota.Suggest(e.RateLimit)
	if !e.Idempotent {
		var known bool
		if out, known = g.checkLedger(e, out); known {
			return out
		}
	}
	keyed := e.Key != "" && !e.Idempotent
	if keyed {
		var known bool
		if out, known = g.checkKey(e, out); known {
			return out
		}
	}
	if reason := g.closeReason(admission); reason != "" {
		return g.reject(e, reason, out)
	}
	if admission.Hold {
		return g.holdUntilConfirmed(e, out)
	}
	if keyed {
		var barred bool
		if out, barred = g.checkKeyOwner(e, admission, out); barred {
			return out
		}
	}
	return g.admit(e, out)
}

// misaddressedReason returns the reason why an attempt is not for this guard, or "" if it
// is.
func (g *Guard) misaddressedReason(t ticket.Ticket) effect.Reason {
	if t.Guard.Instance != g.config.Node.Instance || t.Service != g.config.Service {
		return effect.ReasonAddress
	}
	if t.Guard.Incarnation != g.config.Node.Incarnation {
		return effect.ReasonIncarnation
	}
	return ""
}

// closeReason returns the reason why the guard accepts no new work, or "" if it does.
func (g *Guard) closeReason(admission Admission) effect.Reason {
	switch {
	case g.leaving, g.draining, g.departure.announced:
		return effect.ReasonLeaving
	case admission.CloseReason != "":
		return admission.CloseReason
	case g.down, g.incarnationMismatch():
		return effect.ReasonServer
	}
	return ""
}

// checkLedger responds to an attempt that the ledger already knows. It reports whether
// it did.
func (g *Guard) checkLedger(e event.Attempt, out []effect.Effect) ([]effect.Effect, bool) {
	response, state, stored := g.ledger.Find(e.Ticket)
	return respondFromLedger(e, response, state, stored, out)
}

// respondFromLedger responds to e, whose state in the ledger is s. It reports false for
// an unseen attempt, to which it does not respond.
func respondFromLedger(e event.Attempt, response *event.StoredResponse, s ledger.State, stored bool, out []effect.Effect) ([]effect.Effect, bool) {
	switch s {
	case ledger.Unseen:
		return out, false
	case ledger.Running:
		return appendRejection(e, effect.Running, effect.ReasonDuplicate, out), true
	case ledger.Ran:
		if stored && response != nil {
			return append(out, effect.ReplayResponse{Arrival: e.Arrival, Response: response}), true
		}
		return appendRejection(e, effect.Unknown, effect.ReasonDuplicate, out), true
	case ledger.NotRun, ledger.Voided:
		return appendRejection(e, effect.NotRun, effect.ReasonVoid, out), true
	case ledger.Lost:
	}
	return appendRejection(e, effect.Unknown, effect.ReasonLost, out), true
}

// holdUntilConfirmed keeps e until the node's view is confirmed, at most for heldTime.
func (g *Guard) holdUntilConfirmed(e event.Attempt, out []effect.Effect) []effect.Effect {
	if len(g.held) >= heldCapacity {
		return g.reject(e, effect.ReasonStale, out)
	}
	g.held = append(g.held, e)
	return append(out, effect.StartQueueTimer{Arrival: e.Arrival, Timeout: min(heldTime, e.TimeLeft)})
}

// Resume decides again on the attempts that were held, each with the conditions that
// admissionOf returns for it.
func (g *Guard) Resume(at time.Time, admissionOf func(event.Attempt) Admission, out []effect.Effect) []effect.Effect {
	held := g.held
	g.held = nil
	for _, e := range held {
		e.At = at
		out = g.Attempt(e, admissionOf(e), out)
	}
	return out
}

// admit runs, queues or rejects e.
func (g *Guard) admit(e event.Attempt, out []effect.Effect) []effect.Effect {
	if e.TimeLeft <= 0 {
		return g.reject(e, effect.ReasonDeadline, out)
	}
	if g.deadlineQueue.Len() == 0 && g.hasFreeSlot(e) && !g.shouldWaitForSlowPeriodEnd(e.At, e) && g.mayStart(e.At, g.isLate(e.At, e)) {
		return g.run(e, g.logAdmitted(e, 0, out))
	}
	if e.TargetLeft > 0 {
		// Attempts that are already queued may start before e, or e before them.
		return g.startByDeadline(e.At, g.enqueue(e, out))
	}
	timeout := min(g.limits.QueueTimeout, e.TimeLeft)
	if g.quota.Wait(e.At, g.priorityQueue.Len()) > timeout {
		return g.reject(e, effect.ReasonOverloaded, out)
	}
	if !e.Idempotent {
		g.recordAccepted(e)
	}
	g.waiters[e.Arrival] = e
	rejected, hasRejected := g.priorityQueue.Push(e.Priority, e.Arrival)
	if hasRejected {
		out = g.reject(g.waiters[rejected], effect.ReasonOverloaded, out)
	}
	if hasRejected && rejected == e.Arrival {
		return out
	}
	return append(out, effect.StartQueueTimer{Arrival: e.Arrival, Timeout: timeout})
}

// run sends e to the backend server.
func (g *Guard) run(e event.Attempt, out []effect.Effect) []effect.Effect {
	if !e.Idempotent {
		g.recordAccepted(e)
	}
	w := runningAttempt{ticket: e.Ticket, idempotent: e.Idempotent, class: e.Class, name: e.Name, slownessPercent: g.serverLoad.Slow, began: e.At}
	w.short = g.isShort(e)
	if w.short {
		g.shortRunning++
	}
	g.updateShortMean()
	g.inFlight[e.Arrival] = w
	return append(out, effect.Admit{
		Arrival: e.Arrival, Ticket: e.Ticket, Shed: g.limits.ShedsBeforeRunning, Incarnation: g.listed.Incarnation, TimeLeft: e.TimeLeft,
	})
}

// recordAccepted records e and its key as accepted, so that e is never admitted twice.
func (g *Guard) recordAccepted(e event.Attempt) {
	g.ledger.Begin(e.Ticket, e.At)
	if e.Key != "" {
		g.keys.put(e.Key, e.Ticket, e.At)
	}
}

// reject rejects e and logs it. The rejection is permanent: a non-idempotent attempt
// will not run if it arrives again.
func (g *Guard) reject(e event.Attempt, r effect.Reason, out []effect.Effect) []effect.Effect {
	delete(g.waiters, e.Arrival)
	if !e.Idempotent {
		g.ledger.Begin(e.Ticket, e.At)
		g.ledger.MarkNotRun(e.Ticket, e.At)
	}
	return appendRejection(e, g.rejectionOutcome(e), r, g.logRejected(e, r, out))
}

// appendRejection appends the rejection of e with its outcome and reason.
func appendRejection(e event.Attempt, o effect.Outcome, r effect.Reason, out []effect.Effect) []effect.Effect {
	return append(out, effect.RejectAttempt{Arrival: e.Arrival, Outcome: o, Reason: r})
}

// startQueued runs queued attempts while the limits allow it.
func (g *Guard) startQueued(at time.Time, out []effect.Effect) []effect.Effect {
	out = g.startByDeadline(at, out)
	for {
		arrival, ok := g.priorityQueue.Peek()
		if !ok {
			return out
		}
		e := g.waiters[arrival]
		if !g.hasFreeSlot(e) || !g.mayStart(at, false) {
			return out
		}
		g.priorityQueue.Remove(arrival)
		out = g.runQueued(at, e, out)
	}
}

// Tick runs queued attempts that the cold start rate and the limit of the backend server allow
// by now.
func (g *Guard) Tick(at time.Time, out []effect.Effect) []effect.Effect {
	return g.startQueued(at, out)
}

// SenderDisconnected removes a waiting attempt whose sender has disconnected.
func (g *Guard) SenderDisconnected(e event.SenderDisconnected, out []effect.Effect) []effect.Effect {
	return g.removeWaiting(e.Arrival, effect.ReasonDisconnected, effect.ReasonDisconnected, out)
}

// QueueTimedOut rejects an attempt that has reached its maximum wait time.
func (g *Guard) QueueTimedOut(e event.QueueTimedOut, out []effect.Effect) []effect.Effect {
	return g.removeWaiting(e.Arrival, effect.ReasonOverloaded, effect.ReasonStale, out)
}

// removeWaiting rejects the attempt with the given arrival number if it still waits. The
// reason is queuedReason if it is queued for a slot, or heldReason if it waits for a
// confirmed view.
func (g *Guard) removeWaiting(arrival uint64, queuedReason, heldReason effect.Reason, out []effect.Effect) []effect.Effect {
	if g.priorityQueue.Remove(arrival) || g.deadlineQueue.Remove(arrival) {
		return g.reject(g.waiters[arrival], queuedReason, out)
	}
	for i, e := range g.held {
		if e.Arrival == arrival {
			g.held = append(g.held[:i], g.held[i+1:]...)
			return g.reject(e, heldReason, out)
		}
	}
	return out
}

// ExchangeEnded processes the end of an exchange with the backend server.
func (g *Guard) ExchangeEnded(e event.ExchangeEnded, out []effect.Effect) []effect.Effect {
	w, ok := g.inFlight[e.Arrival]
	if !ok {
		return out
	}
	inFlight := len(g.inFlight)
	// The load report on a response still counts that request as running.
	g.updateServerLoad(e.At, e.ServerLoad)
	delete(g.inFlight, e.Arrival)
	if w.short {
		g.shortRunning--
	}
	g.updateShortMean()
	if e.Failure == event.None && e.Status < statusServerError {
		g.lastSuccess = e.At
		g.serviceTimes.Observe(w.class, e.Latency, w.slownessPercent)
	}
	g.updateFailureRate(e)
	g.recordResult(w, e)
	out = logServed(w, e, out)
	out = g.updateLimits(w, e, inFlight, out)
	return g.startQueued(e.At, out)
}

// recordResult writes the result of an attempt to the ledger.
func (g *Guard) recordResult(w runningAttempt, e event.ExchangeEnded) {
	if w.idempotent {
		return
	}
	if e.Failure == event.Refused || e.Failure == event.WrongIncarnation || g.wasRejectedByServer(e) {
		g.ledger.MarkNotRun(w.ticket, e.At)
		return
	}
	g.storeResponse(w.ticket, e)
}

// wasRejectedByServer reports whether the backend server rejected the request before
// running it.
func (g *Guard) wasRejectedByServer(e event.ExchangeEnded) bool {
	return e.Failure == event.Declined || e.Failure == event.Shed && g.limits.ShedsBeforeRunning
}

// updateLimits updates the limits after an exchange has ended.
func (g *Guard) updateLimits(w runningAttempt, e event.ExchangeEnded, inFlight int, out []effect.Effect) []effect.Effect {
	switch e.Failure {
	case event.Refused:
		g.down = true
		g.departure.hasEnded = true
		out = appendRejection(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonServer, out)
		return g.MarkCold("connection refused", out)
	case event.Reset:
		out = appendRejection(event.Attempt{Arrival: e.Arrival}, effect.Unknown, effect.ReasonBroken, out)
		return g.MarkCold("connection reset", out)
	case event.WrongIncarnation:
		return appendRejection(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonServer, out)
	case event.Cancelled:
		return out
	case event.Shed, event.Declined:
		g.limit.Observe(e.At, w.class, e.Latency, inFlight, true)
		return appendRejection(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonShed, out)
	case event.None:
	}
	if g.isPaced() {
		return out
	}
	g.limit.Observe(e.At, w.class, e.Latency, inFlight, e.Status >= statusServerError)
	if g.limit.LatencyJumped() && !g.ramp.IsCold() {
		return g.MarkCold("latency jumped", out)
	}
	if e.Status < statusServerError {
		g.ramp.Complete()
	}
	if g.cold && !g.ramp.IsCold() {
		g.cold = false
		out = append(out, effect.LogEvent{Kind: effect.KindWarm})
	}
	return out
}
