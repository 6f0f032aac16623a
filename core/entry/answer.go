package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// mostAsks is the largest number of times that a guard which cannot be reached is asked.
	mostAsks = 4
	// askPause is the time between two questions about one attempt.
	askPause = 50 * time.Millisecond
	// askGrace is the time past the deadline in which an entry still asks what became of an attempt.
	askGrace = 250 * time.Millisecond
	// mostLives is the number of times that a request follows a guard to its present life.
	mostLives = 2
)

// Answered takes over how the exchange of an attempt has ended.
func (n *Entry) Answered(e event.Answered, out []effect.Effect) []effect.Effect {
	p, known := n.peers[e.Ticket.Guard.Instance]
	if known {
		p.observe(e)
	}
	c, ok := n.calls[e.ID]
	if !ok || !c.isActive(e.Ticket) {
		return append(out, effect.Cancel{ID: e.ID, Ticket: e.Ticket})
	}
	c.end(e.Ticket)
	if hasReached(e) {
		c.sent++
	}
	c.spent = c.once && !e.Unread
	if known {
		p.outstanding = max(0, p.outstanding-1)
	}
	if e.Verdict != event.Ran || e.Status >= statusServerError {
		out = noteBroken(c, e, out)
	}
	switch e.Verdict {
	case event.Ran:
		return n.ran(c, e, out)
	case event.NotRun, event.Unsent:
		return n.notRun(c, e, out)
	case event.Running:
		return n.running(c, e, out)
	case event.Unknown, event.Broken, event.Expired:
	}
	return n.broken(c, e, out)
}

// ran settles c with the answer of a backend server, or tries once more where a
// failed idempotent request may be repeated.
func (n *Entry) ran(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	if e.Status >= statusServerError && c.route.Idempotent && len(c.active) > 0 {
		// The other attempt may still be answered well.
		c.unsure = true
		return append(out, effect.Cancel{ID: c.id, Ticket: e.Ticket})
	}
	if e.Status >= statusServerError && n.mayRepeat(c, e.At) {
		c.unsure = true
		out = append(out, effect.Cancel{ID: c.id, Ticket: e.Ticket})
		return n.forward(e.At, e.Random, c, effect.ReasonServer, out)
	}
	n.learnDelay(c.class, e.Spent)
	n.learnUsual(c, e)
	out = noteDone(c, e, out)
	out = n.cancelAll(c, out)
	delete(n.calls, c.id)
	return append(out, effect.Relay{ID: c.id, Ticket: e.Ticket})
}

// learnUsual takes in how long the work of c took on its backend server.
func (n *Entry) learnUsual(c *call, e event.Answered) {
	if e.Status < statusServerError && e.Load != nil {
		n.usual.Learn(c.class, e.Spent, e.Load.Slow)
	}
}

// running goes on after the guard has said that the request runs: under the
// ticket of the attempt, or for an earlier sending of its key.
func (n *Entry) running(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	if effect.Reason(e.Reason) == effect.ReasonKey {
		c.last = nil
		return n.reply(e.At, c, effect.Running, effect.ReasonKey, out)
	}
	return n.ask(e.At, c, askPause, out)
}

// mayRepeat reports whether c may be sent once more although an attempt of it
// ran, and takes the repetition out of the budget.
func (n *Entry) mayRepeat(c *call, now time.Time) bool {
	if !c.route.Idempotent || c.depth.Final || c.depth.Depth > 1 {
		return false
	}
	return n.mayRetry(c, now)
}

// mayRetry reports whether c may be sent once more, and takes that out of the
// budget where an attempt has reached a backend server: what a guard refuses costs
// no backend server anything.
func (n *Entry) mayRetry(c *call, now time.Time) bool {
	if c.attempts >= mostAttempts || c.sent >= c.route.Tries || !now.Before(c.deadline) {
		return false
	}
	if c.spent || c.isKeyed() || !n.hasUntried(now, c) {
		return false
	}
	return c.sent == 0 || n.extraOf(c.service).retries.Spend()
}

// hasReached reports whether an attempt that ended so may have reached a backend server.
func hasReached(e event.Answered) bool {
	switch e.Verdict {
	case event.Unsent:
		return false
	case event.NotRun:
		return effect.Reason(e.Reason) == effect.ReasonShed
	}
	return true
}

// hasUntried reports whether there is a backend server that c can still be sent to.
func (n *Entry) hasUntried(now time.Time, c *call) bool {
	for _, p := range n.services[c.service] {
		if !c.hasTried(p.instance.Name) && !p.isLeaving(now) {
			return true
		}
	}
	return false
}

// notRun sends c elsewhere, or tells the caller that it did not run.
func (n *Entry) notRun(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	if len(c.active) > 0 {
		return out
	}
	if effect.Reason(e.Reason) == effect.ReasonLife && c.lives < mostLives && !c.spent {
		return n.follow(c, e, out)
	}
	reason := effect.Reason(e.Reason)
	if e.Verdict == event.Unsent {
		reason = effect.ReasonServer
	}
	if n.mayRetry(c, e.At) {
		return n.forward(e.At, e.Random, c, reason, out)
	}
	c.cleared = e.Verdict == event.NotRun && reason != effect.ReasonLife && reason != effect.ReasonAddress
	return n.reply(e.At, c, effect.NotRun, reason, out)
}

// follow sends c once more to the guard that has refused it for another life.
func (n *Entry) follow(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[e.Ticket.Guard.Instance]
	if !ok {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonLife, out)
	}
	c.lives++
	return n.send(e.At, e.Random, c, p, out)
}

// broken goes on after an exchange that has left open whether the attempt ran.
func (n *Entry) broken(c *call, e event.Answered, out []effect.Effect) []effect.Effect {
	c.unsure = c.route.Idempotent
	if len(c.active) > 0 {
		return out
	}
	if !c.route.Idempotent && e.Verdict != event.Unknown {
		return n.ask(e.At, c, 0, out)
	}
	if e.Verdict != event.Expired && n.mayRepeat(c, e.At) {
		return n.forward(e.At, e.Random, c, effect.ReasonBroken, out)
	}
	return n.reply(e.At, c, effect.Unknown, reasonOf(e), out)
}

// reasonOf returns the reason that a caller is given for an exchange that broke.
func reasonOf(e event.Answered) effect.Reason {
	switch {
	case e.Verdict == event.Expired:
		return effect.ReasonDeadline
	case e.Reason != "":
		return effect.Reason(e.Reason)
	}
	return effect.ReasonBroken
}

// Judged takes over what a guard says of an attempt that it was asked after.
func (n *Entry) Judged(e event.Judged, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok || c.last == nil || *c.last != e.Ticket {
		return out
	}
	switch e.Verdict {
	case event.Ran:
		return n.ranBefore(c, e, out)
	case event.NotRun:
		return n.voided(c, e, out)
	case event.Running:
		if e.At.Before(c.deadline) {
			return n.ask(e.At, c, askPause, out)
		}
		return n.reply(e.At, c, effect.Running, effect.ReasonDeadline, out)
	case event.Broken, event.Unsent, event.Expired:
		if c.asks < mostAsks && e.At.Before(c.deadline.Add(askGrace)) {
			return n.ask(e.At, c, askPause, out)
		}
	case event.Unknown:
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	return n.reply(e.At, c, effect.Unknown, effect.ReasonBroken, out)
}

// voided goes on after a guard has said that the last attempt of c did not run.
func (n *Entry) voided(c *call, e event.Judged, out []effect.Effect) []effect.Effect {
	if !c.recovers && n.mayRetry(c, e.At) {
		return n.forward(e.At, e.Random, c, effect.ReasonVoid, out)
	}
	return n.reply(e.At, c, effect.NotRun, effect.ReasonVoid, out)
}

// ranBefore gives the kept answer of an attempt to the caller, if it is still there.
func (n *Entry) ranBefore(c *call, e event.Judged, out []effect.Effect) []effect.Effect {
	if !e.Kept {
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	p, ok := n.peers[c.last.Guard.Instance]
	if !ok {
		return n.reply(e.At, c, effect.Unknown, effect.ReasonLost, out)
	}
	delete(n.calls, c.id)
	return append(out, effect.Recover{ID: c.id, Ticket: e.Ticket, Peer: p.instance})
}
