// Package guard is the half of a node that admits work to its own backend
// server or refuses it. It is the only part that may do so, and it decides by
// what it knows of itself, never by what another node believes.
//
// # Usage
//
//	g := guard.New(guard.Identity{Node: self, Centre: "north", Service: "ledger"})
//	g.Apply(set, out)
//	out = g.Attempt(e, gate, out)
package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ledger"
	"bulrushlock/core/limit"
	"bulrushlock/core/line"
	"bulrushlock/core/pace"
	"bulrushlock/core/queue"
	"bulrushlock/core/ramp"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/spell"
	"bulrushlock/core/ticket"
	"bulrushlock/core/usual"
)

const (
	// KeyWindow is the time for which a key is remembered.
	KeyWindow = 12 * time.Minute
	// recordKeep is the time for which the ledger remembers an ended attempt.
	recordKeep = KeyWindow
	// recordCapacity is the number of attempts that the ledger remembers.
	recordCapacity = 16384
	// keyCapacity is the number of keys that are remembered.
	keyCapacity = 8192
	// heldCapacity is the number of attempts that wait for a view to be confirmed.
	heldCapacity = 256
	// heldTime is the longest time that an attempt waits for a view to be confirmed.
	heldTime = 500 * time.Millisecond
)

// Identity tells what a guard stands for.
type Identity struct {
	Node    ticket.Node
	Centre  string
	Service string
}

// Gate is what the views of a node say of new work for its guard.
type Gate struct {
	// Closed is the reason for which all new work is refused, or empty.
	Closed effect.Reason
	// Hold tells that the view has to be confirmed before new work is taken.
	Hold bool
	// Owner tells that this guard owns the key of the attempt.
	Owner bool
	// Recent tells that this guard has owned the key for longer than any other view lags.
	Recent bool
	// Settled tells that this guard has owned the key long enough to know whether it ran.
	Settled bool
}

// Guard decides what its backend server runs.
type Guard struct {
	identity Identity
	limits   rules.Service
	ramp     *ramp.Ramp
	limit    *limit.Limit
	ledger   *ledger.Ledger[*event.Answer]
	keys     keys
	kept     kept
	busy     map[uint64]work
	waiting  *queue.Queue[uint64]
	waiters  map[uint64]event.Attempt
	// line holds the waiting attempts whose answers are due at a time.
	line *line.Line[uint64]
	// spell tells whether work should wait for its machine to turn fast again.
	spell *spell.Spell
	// usual is the time that work takes.
	usual *usual.Usual
	// short is the number of running attempts whose work is short, and shorts its
	// moving mean.
	short  int
	shorts float64
	// failed is the moving share of exchanges that failed.
	failed   float64
	held     []event.Attempt
	cold     bool
	leaving  bool
	draining bool
	down     bool
	// toldCold tells that the backend server called itself cold when it was last looked at.
	toldCold bool
	// pace bounds the starts of a cold backend server whose rate is known.
	pace *pace.Pace
	// listed is the entry of this instance in the list of instances.
	listed fleet.Instance
	// life is the life of the backend server that was last looked at.
	life string
	// sight is the load that the backend server told last, at the time sighted.
	sight   event.Sight
	sighted time.Time
	// looked is the time of the last look, and worked that of the last attempt.
	looked time.Time
	worked time.Time
	// foreign is the number of requests that run there and were not admitted here.
	foreign int
	// failing tells that the backend server called itself unfit when it was last
	// looked at, and served is the time of its last good answer.
	failing bool
	served  time.Time
}

// work is an attempt that the backend server runs now.
type work struct {
	ticket     ticket.Ticket
	idempotent bool
	class      int
	name       string
	// slow is the slowness of the backend server when the work began, in percent.
	slow int
	// short tells that the work was counted as short.
	short bool
	// began is the time at which the work was sent.
	began time.Time
}

// New returns the guard of a backend server that is in cold start.
func New(i Identity) *Guard {
	return &Guard{
		identity: i,
		ramp:     ramp.New(1, 1, 1),
		limit:    limit.New(1),
		ledger:   ledger.New[*event.Answer](recordCapacity, recordKeep),
		keys:     newKeys(),
		busy:     make(map[uint64]work),
		waiting:  queue.New[uint64](0),
		waiters:  make(map[uint64]event.Attempt),
		cold:     true,
		pace:     pace.New(),
		line:     line.New[uint64](0),
		spell:    spell.New(),
		usual:    usual.New(),
	}
}

// Apply takes over the limits that s sets for the service of this guard.
func (g *Guard) Apply(at time.Time, s *rules.Set, out []effect.Effect) []effect.Effect {
	limits, ok := s.Service(g.identity.Service)
	if !ok {
		return out
	}
	g.limits = limits
	g.pace.SetBound(float64(limits.Rate), s.Budget.Over, s.Budget.Slack)
	g.resize()
	return g.grant(at, out)
}

// SetListed takes over what the list of instances tells of this one.
func (g *Guard) SetListed(i fleet.Instance) {
	g.listed = i
	g.resize()
}

// resize takes over the number of slots.
func (g *Guard) resize() {
	slots := g.slots()
	g.ramp.Resize(g.limits.Cold, slots, g.limits.Warm)
	g.limit.Resize(slots)
	g.line.Resize(lineShare * slots)
	g.waiting.Resize(slots)
	if g.limits.Queue == 0 {
		g.waiting.Resize(0)
	}
}

// slots returns the number of requests that the backend server runs at once.
func (g *Guard) slots() int {
	switch {
	case g.limits.Slots > 0:
		return g.limits.Slots
	case g.sight.Slots > 0:
		return g.sight.Slots
	}
	return g.listed.Slots
}

// Load returns the load report that rides on answers.
func (g *Guard) Load(now time.Time) report.Load {
	return report.Load{
		InFlight: g.running(),
		Queued:   g.waiting.Len() + g.line.Len(),
		Wait:     g.wait(now),
		Limit:    g.bound(),
		Slow:     g.slowness(now),
		Cold:     g.isCold(now),
		Ill:      g.isIll(now),
		Blank:    g.limits.Name == "",
		Leaving:  g.leaving || g.draining,
	}
}

// Node returns the life of the node of this guard.
func (g *Guard) Node() ticket.Node { return g.identity.Node }

// LookPath returns the path of the health endpoint, or an empty text where the
// rules name none.
func (g *Guard) LookPath() string { return g.limits.Look }

// isPaced reports whether the rules tell how many requests a second a cold
// backend server bears.
func (g *Guard) isPaced() bool { return g.limits.Rate > 0 }

// isCold reports whether the backend server has to be taken for cold.
func (g *Guard) isCold(now time.Time) bool {
	if g.isPaced() {
		return g.pace.IsCold(now)
	}
	return g.ramp.IsCold()
}

// illTime is the time after a good answer for which the backend server's own word
// that it is unfit is not believed: its health endpoint may mislead.
const illTime = 2 * time.Second

// isIll reports whether the backend server calls itself unfit and no answer has
// shown otherwise.
func (g *Guard) isIll(now time.Time) bool { return g.failing && now.Sub(g.served) > illTime }

// fullShare is the share of its slots up to which a backend server works at its
// usual speed: near the last of them it turns slow for all that it runs.
const fullShare = 0.8

// bound returns the number of attempts that may run at once now.
func (g *Guard) bound() int {
	switch {
	case g.limits.Name == "" || g.down:
		return 0
	case g.isPaced():
		return max(int(fullShare*float64(g.slots())), 1)
	case g.limits.Slots == 0 && g.slots() == 0:
		return 0
	}
	return min(g.limit.Limit(), g.ramp.Bound())
}

// mayStart reports whether a cold start lets another attempt begin now, and counts
// it where it does. An attempt that is late in any case leaves its turn to one that
// can still be in time.
func (g *Guard) mayStart(now time.Time, isLate bool) bool {
	if !g.isPaced() {
		return true
	}
	if isLate && !g.pace.IsSpare(now) {
		return false
	}
	return g.pace.Take(now)
}

// running returns the number of requests that the backend server runs.
func (g *Guard) running() int { return len(g.busy) + g.foreign }

// isShort reports whether e is a call of a running request, or as short as one.
func (g *Guard) isShort(e event.Attempt) bool { return e.Inner || g.usual.IsShort(e.Class) }

// hasRoom reports whether e may run now. Short work and calls of running requests may
// take the last slots, and are left room by the rest: what waits for them holds a slot
// elsewhere.
func (g *Guard) hasRoom(e event.Attempt) bool {
	bound := g.bound()
	running := g.running()
	if !g.isPaced() || bound == 0 {
		return running < bound
	}
	if g.isShort(e) {
		return running < max(g.slots(), 1)
	}
	kept := max(0, int(g.shorts+shortRounding)-g.short)
	return running+kept < bound
}

// Idle reports whether no attempt runs or waits here.
func (g *Guard) Idle() bool {
	return len(g.busy) == 0 && g.waiting.Len() == 0 && g.line.Len() == 0 && len(g.held) == 0
}

// Leaving reports whether this guard takes no new work for good.
func (g *Guard) Leaving() bool { return g.leaving }

// Leave makes the guard refuse all new work from now on.
func (g *Guard) Leave(out []effect.Effect) []effect.Effect {
	if g.leaving {
		return out
	}
	g.leaving = true
	return g.refuseWaiting(effect.ReasonLeaving, out)
}

// Close refuses the attempts that wait, for a guard whose gate has closed.
func (g *Guard) Close(r effect.Reason, out []effect.Effect) []effect.Effect {
	return g.refuseWaiting(r, out)
}

// refuseWaiting refuses every attempt that has been let in to wait.
func (g *Guard) refuseWaiting(r effect.Reason, out []effect.Effect) []effect.Effect {
	for {
		arrival, ok := g.waiting.Pop()
		if !ok {
			break
		}
		out = g.refuse(g.waiters[arrival], r, out)
	}
	for {
		arrival, ok := g.line.Next(time.Time{}, 1, func(uint64) bool { return true })
		if !ok {
			break
		}
		g.line.Remove(arrival)
		out = g.refuse(g.waiters[arrival], r, out)
	}
	for _, e := range g.held {
		out = g.refuse(e, r, out)
	}
	g.held = g.held[:0]
	return out
}

// TurnCold makes the guard treat its backend server as one in cold start.
func (g *Guard) TurnCold(why string, out []effect.Effect) []effect.Effect {
	g.ramp.Cold()
	g.pace.Doubt()
	if g.cold {
		return out
	}
	g.cold = true
	return append(out, effect.Note{Kind: effect.KindCold, Text: why})
}

// Asked answers an entry that asks what became of an attempt.
func (g *Guard) Asked(e event.Asked, out []effect.Effect) []effect.Effect {
	if e.Ticket.Guard != g.identity.Node {
		return append(out, effect.Verdict{Query: e.Query, Verdict: event.Unknown})
	}
	answer, state, _ := g.ledger.Find(e.Ticket)
	if e.Void {
		state = g.ledger.Void(e.Ticket, e.At)
	}
	if verdictOf(state) == event.NotRun && g.isTaken(e.Key) {
		answer, state, _ = g.ledger.Find(g.keys.records[e.Key].ticket)
	}
	v := effect.Verdict{Query: e.Query, Verdict: verdictOf(state), Answer: answer}
	if state == ledger.Voided {
		t := e.Ticket
		out = append(out, effect.Note{Kind: effect.KindVoid, Ticket: &t})
	}
	return append(out, v)
}

// verdictOf returns what an entry is told of an attempt in state s.
func verdictOf(s ledger.State) event.Verdict {
	switch s {
	case ledger.Running:
		return event.Running
	case ledger.Ran:
		return event.Ran
	case ledger.Refused, ledger.Voided:
		return event.NotRun
	case ledger.Unseen, ledger.Lost:
	}
	return event.Unknown
}
