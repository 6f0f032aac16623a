package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ledger"
	"bulrushlock/core/ticket"
)

// statusServerError is the first HTTP status of a failure of the server.
const statusServerError = 500

// Attempt decides on an attempt that has arrived.
func (g *Guard) Attempt(e event.Attempt, gate Gate, out []effect.Effect) []effect.Effect {
	g.worked = e.At
	if reason := g.misaddressed(e.Ticket); reason != "" {
		return deny(e, effect.NotRun, reason, out)
	}
	if !e.Idempotent {
		var known bool
		if out, known = g.judge(e, out); known {
			return out
		}
	}
	keyed := e.Key != "" && !e.Idempotent
	if keyed {
		var known bool
		if out, known = g.judgeKey(e, out); known {
			return out
		}
	}
	if reason := g.closed(gate); reason != "" {
		return g.refuse(e, reason, out)
	}
	if gate.Hold {
		return g.hold(e, out)
	}
	if keyed {
		var barred bool
		if out, barred = g.bar(e, gate, out); barred {
			return out
		}
	}
	return g.admit(e, out)
}

// misaddressed returns the reason for which an attempt is not for this guard, or an empty reason.
func (g *Guard) misaddressed(t ticket.Ticket) effect.Reason {
	if t.Guard.Instance != g.identity.Node.Instance || t.Service != g.identity.Service {
		return effect.ReasonAddress
	}
	if t.Guard.Incarnation != g.identity.Node.Incarnation {
		return effect.ReasonLife
	}
	return ""
}

// closed returns the reason for which this guard takes no new work, or an empty reason.
func (g *Guard) closed(gate Gate) effect.Reason {
	switch {
	case g.leaving, g.draining:
		return effect.ReasonLeaving
	case gate.Closed != "":
		return gate.Closed
	case g.down, g.isAnother():
		return effect.ReasonServer
	}
	return ""
}

// judge answers an attempt that the ledger knows already.
func (g *Guard) judge(e event.Attempt, out []effect.Effect) ([]effect.Effect, bool) {
	answer, state, kept := g.ledger.Find(e.Ticket)
	return judged(e, answer, state, kept, out)
}

// judged turns the state of an attempt that was seen before into the answer to e.
func judged(e event.Attempt, answer *event.Answer, s ledger.State, kept bool, out []effect.Effect) ([]effect.Effect, bool) {
	switch s {
	case ledger.Unseen:
		return out, false
	case ledger.Running:
		return deny(e, effect.Running, effect.ReasonRepeat, out), true
	case ledger.Ran:
		if kept && answer != nil {
			return append(out, effect.Replay{Arrival: e.Arrival, Answer: answer}), true
		}
		return deny(e, effect.Unknown, effect.ReasonRepeat, out), true
	case ledger.Refused, ledger.Voided:
		return deny(e, effect.NotRun, effect.ReasonVoid, out), true
	case ledger.Lost:
	}
	return deny(e, effect.Unknown, effect.ReasonLost, out), true
}

// hold keeps e until the view of the node is confirmed.
func (g *Guard) hold(e event.Attempt, out []effect.Effect) []effect.Effect {
	if len(g.held) >= heldCapacity {
		return g.refuse(e, effect.ReasonOld, out)
	}
	g.held = append(g.held, e)
	return append(out, effect.Wait{Arrival: e.Arrival, Longest: min(heldTime, e.Left)})
}

// Resume decides again on the attempts that were held. The gate of each is made by gateOf.
func (g *Guard) Resume(at time.Time, gateOf func(event.Attempt) Gate, out []effect.Effect) []effect.Effect {
	held := g.held
	g.held = nil
	for _, e := range held {
		e.At = at
		out = g.Attempt(e, gateOf(e), out)
	}
	return out
}

// admit runs e, lets it wait, or refuses it.
func (g *Guard) admit(e event.Attempt, out []effect.Effect) []effect.Effect {
	if e.Left <= 0 {
		return g.refuse(e, effect.ReasonDeadline, out)
	}
	if g.line.Len() == 0 && g.hasRoom(e) && !g.isHeld(e.At, e) && g.mayStart(e.At, g.isLate(e.At, e)) {
		return g.run(e, g.noteAdmitted(e, 0, out))
	}
	if e.Aim > 0 {
		// Those who wait may go before it, and it before them.
		return g.grantLine(e.At, g.queue(e, out))
	}
	if !e.Idempotent {
		g.begin(e)
	}
	g.waiters[e.Arrival] = e
	displaced, full := g.waiting.Push(e.Rank, e.Arrival)
	if full {
		out = g.refuse(g.waiters[displaced], effect.ReasonBusy, out)
	}
	if full && displaced == e.Arrival {
		return out
	}
	return append(out, effect.Wait{Arrival: e.Arrival, Longest: min(g.limits.Queue, e.Left)})
}

// run sends e to the backend server.
func (g *Guard) run(e event.Attempt, out []effect.Effect) []effect.Effect {
	if !e.Idempotent {
		g.begin(e)
	}
	w := work{ticket: e.Ticket, idempotent: e.Idempotent, class: e.Class, name: e.Name, slow: g.sight.Slow, began: e.At}
	w.short = g.isShort(e)
	if w.short {
		g.short++
	}
	g.countShort()
	g.busy[e.Arrival] = w
	return append(out, effect.Admit{
		Arrival: e.Arrival, Ticket: e.Ticket, Shed: g.limits.Shed, Life: g.listed.Life, Left: e.Left,
	})
}

// begin records that e has been let in, so that it cannot be let in again.
func (g *Guard) begin(e event.Attempt) {
	g.ledger.Begin(e.Ticket, e.At)
	if e.Key != "" {
		g.keys.put(e.Key, e.Ticket, e.At)
	}
}

// refuse refuses e for good: should it arrive again it will not run either.
func (g *Guard) refuse(e event.Attempt, r effect.Reason, out []effect.Effect) []effect.Effect {
	delete(g.waiters, e.Arrival)
	if !e.Idempotent {
		g.ledger.Begin(e.Ticket, e.At)
		g.ledger.Refuse(e.Ticket, e.At)
	}
	return deny(e, g.refusal(e), r, g.noteRefused(e, r, out))
}

// deny appends the refusal of e.
func deny(e event.Attempt, o effect.Outcome, r effect.Reason, out []effect.Effect) []effect.Effect {
	return append(out, effect.Deny{Arrival: e.Arrival, Outcome: o, Reason: r})
}

// grant runs waiting attempts while the bound allows.
func (g *Guard) grant(at time.Time, out []effect.Effect) []effect.Effect {
	out = g.grantLine(at, out)
	for {
		arrival, ok := g.waiting.Peek()
		if !ok {
			return out
		}
		e := g.waiters[arrival]
		if !g.hasRoom(e) || !g.mayStart(at, false) {
			return out
		}
		g.waiting.Remove(arrival)
		out = g.runWaiter(at, e, out)
	}
}

// Tick lets waiting attempts run that a cold start has held back.
func (g *Guard) Tick(at time.Time, out []effect.Effect) []effect.Effect { return g.grant(at, out) }

// Withdrawn takes out an attempt whose sender has gone.
func (g *Guard) Withdrawn(e event.Withdrawn, out []effect.Effect) []effect.Effect {
	return g.takeOut(e.Arrival, effect.ReasonGone, effect.ReasonGone, out)
}

// Overdue refuses an attempt that has waited as long as it may.
func (g *Guard) Overdue(e event.Overdue, out []effect.Effect) []effect.Effect {
	return g.takeOut(e.Arrival, effect.ReasonBusy, effect.ReasonOld, out)
}

// takeOut refuses the attempt of the given arrival if it still waits here: for
// reason waiting where it waits for a slot, for reason held where it waits for a view.
func (g *Guard) takeOut(arrival uint64, waiting, held effect.Reason, out []effect.Effect) []effect.Effect {
	if g.waiting.Remove(arrival) || g.line.Remove(arrival) {
		return g.refuse(g.waiters[arrival], waiting, out)
	}
	for i, e := range g.held {
		if e.Arrival == arrival {
			g.held = append(g.held[:i], g.held[i+1:]...)
			return g.refuse(e, held, out)
		}
	}
	return out
}

// Served takes over how an exchange with the backend server has ended.
func (g *Guard) Served(e event.Served, out []effect.Effect) []effect.Effect {
	w, ok := g.busy[e.Arrival]
	if !ok {
		return out
	}
	inFlight := len(g.busy)
	// What rides on an answer still counts its own request as running.
	g.see(e.At, e.Sight)
	delete(g.busy, e.Arrival)
	if w.short {
		g.short--
	}
	g.countShort()
	if e.Failure == event.None && e.Status < statusServerError {
		g.served = e.At
		g.usual.Learn(w.class, e.Spent, w.slow)
	}
	g.countFailed(e)
	g.record(w, e)
	out = noteServed(w, e, out)
	out = g.learn(w, e, inFlight, out)
	return g.grant(e.At, out)
}

// record writes the end of an attempt into the ledger.
func (g *Guard) record(w work, e event.Served) {
	if w.idempotent {
		return
	}
	if e.Failure == event.Refused || e.Failure == event.Moved || g.shed(e) {
		g.ledger.Refuse(w.ticket, e.At)
		return
	}
	g.keep(w.ticket, e)
}

// shed reports whether the backend server refused the request before it ran.
func (g *Guard) shed(e event.Served) bool {
	return e.Failure == event.Declined || e.Failure == event.Shed && g.limits.Shed
}

// learn adapts the limits to how an exchange has ended.
func (g *Guard) learn(w work, e event.Served, inFlight int, out []effect.Effect) []effect.Effect {
	switch e.Failure {
	case event.Refused:
		g.down = true
		out = deny(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonServer, out)
		return g.TurnCold("connection refused", out)
	case event.Reset:
		out = deny(event.Attempt{Arrival: e.Arrival}, effect.Unknown, effect.ReasonBroken, out)
		return g.TurnCold("connection reset", out)
	case event.Moved:
		return deny(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonServer, out)
	case event.Cancelled:
		return out
	case event.Shed, event.Declined:
		g.limit.Observe(e.At, w.class, e.Spent, inFlight, true)
		return deny(event.Attempt{Arrival: e.Arrival}, effect.NotRun, effect.ReasonShed, out)
	case event.None:
	}
	if g.isPaced() {
		return out
	}
	g.limit.Observe(e.At, w.class, e.Spent, inFlight, e.Status >= statusServerError)
	if g.limit.Jumped() && !g.ramp.IsCold() {
		return g.TurnCold("latency jumped", out)
	}
	if e.Status < statusServerError {
		g.ramp.Complete()
	}
	if g.cold && !g.ramp.IsCold() {
		g.cold = false
		out = append(out, effect.Note{Kind: effect.KindWarm})
	}
	return out
}
