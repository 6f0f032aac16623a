// Package guard implements the half of a node that decides which attempts the node's own
// backend server runs.
//
// A guard is the only part of the system that may admit or reject work for its
// backend server. It decides from its own state and never from what another
// node reports.
//
// # Usage
//
//	g := guard.New(guard.Config{Node: self, Centre: "north", Service: "ledger"})
//	out = g.SetRules(now, set, out)
//	out = g.Attempt(e, admission, out)
package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ledger"
	"bulrushlock/core/limit"
	"bulrushlock/core/noisy"
	"bulrushlock/core/pacer"
	"bulrushlock/core/queue"
	"bulrushlock/core/quota"
	"bulrushlock/core/ramp"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/sched"
	"bulrushlock/core/ticket"
	"bulrushlock/core/timing"
)

const (
	// KeyRetention is how long an idempotency key is remembered.
	KeyRetention = 12 * time.Minute
	// recordRetention is how long the ledger remembers a finished attempt.
	recordRetention = KeyRetention
	// recordCapacity is the maximum number of finished attempts in the ledger.
	recordCapacity = 16384
	// keyCapacity is the maximum number of remembered idempotency keys.
	keyCapacity = 8192
	// heldCapacity is the maximum number of attempts that wait for the node's
	// view to be confirmed.
	heldCapacity = 256
	// heldTime is the longest time that an attempt waits for that confirmation.
	heldTime = 500 * time.Millisecond
)

// Config names the node, data centre and service of a guard.
type Config struct {
	Node    ticket.NodeID
	Centre  string
	Service string
}

// Admission holds the conditions on new work that follow from the node's views.
type Admission struct {
	// CloseReason is the reason to reject all new work, or empty.
	CloseReason effect.Reason
	// Hold means that the view must be confirmed before new work is admitted.
	Hold bool
	// Owner means that this guard owns the idempotency key of the attempt.
	Owner bool
	// OwnedPastViewLag means that this guard has owned the key for longer than any
	// other node's view can lag.
	OwnedPastViewLag bool
	// Settled means that this guard has owned the key long enough to know
	// whether it has run.
	Settled bool
}

// Guard admits, queues or rejects attempts for one backend server. It is not
// safe for concurrent use.
type Guard struct {
	config        Config
	limits        rules.Service
	ramp          *ramp.Ramp
	limit         *limit.Limit
	ledger        *ledger.Ledger[*event.StoredResponse]
	keys          keys
	responses     responseCache
	inFlight      map[uint64]runningAttempt
	priorityQueue *queue.Queue[uint64]
	// waiters holds the queued attempts by arrival number.
	waiters map[uint64]event.Attempt
	// deadlineQueue holds the queued attempts that have a latency target. priorityQueue
	// holds the others.
	deadlineQueue *sched.Queue[uint64]
	// slowPeriod decides whether work should wait for the end of a slow period.
	slowPeriod *noisy.Detector
	// serviceTimes holds the typical service time of each class.
	serviceTimes *timing.Estimator
	// shortRunning is the number of running attempts that count as short. shortMean is
	// its moving mean.
	shortRunning int
	shortMean    float64
	// failureRate is the moving mean of the share of exchanges that failed.
	failureRate float64
	// held holds the attempts that wait for the node's view to be confirmed.
	held []event.Attempt
	// cold is set at first and after each logged cold start, until the log has its end.
	cold bool
	// leaving is set after Drain was called. draining means that the last health check
	// with a response reported a draining backend server.
	leaving  bool
	draining bool
	// down means that the backend server refused a connection and that no health check
	// has got a response since.
	down bool
	// reportedCold means that the last health check reported a cold start.
	reportedCold bool
	// pacer limits the rate of starts on a cold backend server whose rate is configured.
	pacer *pacer.Pacer
	// quota limits the rate of starts while the backend server states a limit.
	quota *quota.Quota
	// departure tells whether the backend server has announced that it is leaving.
	departure departure
	// announcementLoggedAt is the time of the last log line on an announcement.
	announcementLoggedAt time.Time
	// listed is this instance's record in the instance list.
	listed fleet.Instance
	// incarnation is the incarnation of the backend server at the last health check.
	incarnation string
	// serverLoad is the last load that the backend server reported, at serverLoadAt.
	serverLoad   event.ServerLoad
	serverLoadAt time.Time
	// checkedAt is the time of the last health check that got a response, and
	// lastAttemptAt that of the last attempt.
	checkedAt     time.Time
	lastAttemptAt time.Time
	// foreign is the number of requests on the backend server that this guard
	// did not admit.
	foreign int
	// reportsFailing means that the last health check reported a failing backend
	// server, and lastSuccess is the time of its last successful response.
	reportsFailing bool
	lastSuccess    time.Time
}

// runningAttempt is an attempt that the backend server is running.
type runningAttempt struct {
	ticket     ticket.Ticket
	idempotent bool
	class      int
	name       string
	// slownessPercent is the slowness of the backend server when the attempt began, in
	// percent.
	slownessPercent int
	// short means that the attempt counts in shortRunning.
	short bool
	// began is the time at which the attempt was sent to the backend server.
	began time.Time
}

// New returns a Guard that treats its backend server as cold.
func New(c Config) *Guard {
	return &Guard{
		config:        c,
		ramp:          ramp.New(1, 1, 1),
		limit:         limit.New(1),
		ledger:        ledger.New[*event.StoredResponse](recordCapacity, recordRetention),
		keys:          newKeys(),
		inFlight:      make(map[uint64]runningAttempt),
		priorityQueue: queue.New[uint64](0),
		waiters:       make(map[uint64]event.Attempt),
		cold:          true,
		pacer:         pacer.New(),
		quota:         quota.New(),
		deadlineQueue: sched.New[uint64](0),
		slowPeriod:    noisy.New(),
		serviceTimes:  timing.New(),
	}
}

// SetRules adopts the limits that s sets for the guard's service, and starts
// queued attempts that they allow.
func (g *Guard) SetRules(at time.Time, s *rules.Set, out []effect.Effect) []effect.Effect {
	limits, ok := s.Service(g.config.Service)
	if !ok {
		return out
	}
	g.limits = limits
	g.pacer.SetLimits(float64(limits.ColdRate), s.Budget.ColdRateFactor, s.Budget.ColdRateSlack)
	g.resize()
	return g.startQueued(at, out)
}

// SetInstance adopts this instance's record from the instance list.
func (g *Guard) SetInstance(i fleet.Instance) {
	g.listed = i
	g.resize()
}

// resize applies the number of slots to the limits and queues.
func (g *Guard) resize() {
	slots := g.slots()
	g.ramp.Resize(g.limits.ColdSlots, slots, g.limits.WarmupRequests)
	g.limit.Resize(slots)
	g.deadlineQueue.Resize(queuedPerSlot * slots)
	g.priorityQueue.Resize(slots)
	if g.limits.QueueTimeout == 0 {
		g.priorityQueue.Resize(0)
	}
}

// slots returns the number of requests that the backend server runs concurrently:
// from the rules, else from its load report, else from the instance list.
func (g *Guard) slots() int {
	switch {
	case g.limits.Slots > 0:
		return g.limits.Slots
	case g.serverLoad.Slots > 0:
		return g.serverLoad.Slots
	}
	return g.listed.Slots
}

// Load returns the load report that is attached to responses. Its wait time is that of the whole
// queue.
func (g *Guard) Load(now time.Time) report.Load { return g.LoadFor(now, 0) }

// LoadFor returns the load report whose wait time holds for attempts of the given priority, or for
// the whole queue if that is 0.
func (g *Guard) LoadFor(now time.Time, priority int) report.Load {
	rate, _ := g.quota.Rate()
	return report.Load{
		InFlight: g.running(),
		Queued:   g.priorityQueue.Len() + g.deadlineQueue.Len(),
		Wait:     g.expectedWait(now, priority),
		Limit:    g.concurrencyLimit(),
		Slow:     g.slownessPercent(now),
		Cold:     g.isCold(now),
		Ill:      g.isUnhealthy(now),
		Blank:    g.limits.Name == "",
		Leaving:  g.leaving || g.draining || g.departure.announced,

		RateLimit: rate,
		Ending:    g.departure.announced,
	}
}

// Node returns the instance and incarnation of the guard's node.
func (g *Guard) Node() ticket.NodeID { return g.config.Node }

// HealthPath returns the path of the health check, or an empty string if the rules
// set none.
func (g *Guard) HealthPath() string { return g.limits.HealthPath }

// isPaced reports whether the rules set the rate, in requests per second, that a cold
// backend server sustains.
func (g *Guard) isPaced() bool { return g.limits.ColdRate > 0 }

// isCold reports whether the backend server must be treated as cold.
func (g *Guard) isCold(now time.Time) bool {
	if g.isPaced() {
		return g.pacer.IsCold(now)
	}
	return g.ramp.IsCold()
}

// healthGrace is the time after a successful response during which a failing health
// check is ignored, because the health endpoint can be wrong.
const healthGrace = 2 * time.Second

// isUnhealthy reports whether the health check fails and there was no successful
// response within healthGrace.
func (g *Guard) isUnhealthy(now time.Time) bool {
	return g.reportsFailing && now.Sub(g.lastSuccess) > healthGrace
}

// usableSlotShare is the share of its slots that a backend server can use at normal
// speed. With nearly all slots in use, every request on it becomes slow.
const usableSlotShare = 0.8

// concurrencyLimit returns the current concurrency limit.
func (g *Guard) concurrencyLimit() int {
	switch {
	case g.limits.Name == "" || g.down:
		return 0
	case g.isPaced():
		return max(int(usableSlotShare*float64(g.slots())), 1)
	case g.limits.Slots == 0 && g.slots() == 0:
		return 0
	}
	return min(g.limit.Limit(), g.ramp.Limit())
}

// mayStart reports whether the cold start rate and the limit that the backend server states
// allow another attempt to begin now, and counts the start if they do. An attempt that will be
// late in any case may use only capacity that is not needed by attempts that can still be on
// time.
func (g *Guard) mayStart(now time.Time, isLate bool) bool {
	if g.quota.Wait(now, 0) > 0 || isLate && !g.quota.HasSpareCapacity(now) {
		return false
	}
	if g.isPaced() && (isLate && !g.pacer.HasSpareCapacity(now) || !g.pacer.Take(now)) {
		return false
	}
	return g.quota.Take(now)
}

// running returns the number of requests on the backend server.
func (g *Guard) running() int { return len(g.inFlight) + g.foreign }

// isShort reports whether e is a nested call of a running request, or belongs to a
// class of short requests.
func (g *Guard) isShort(e event.Attempt) bool { return e.Nested || g.serviceTimes.IsShort(e.Class) }

// hasFreeSlot reports whether there is a slot in which e may run now. Short attempts and
// nested calls of running requests may use all slots. Other attempts leave slots free for
// them, because the requests that wait for such attempts hold slots elsewhere.
func (g *Guard) hasFreeSlot(e event.Attempt) bool {
	concurrencyLimit := g.concurrencyLimit()
	running := g.running()
	if !g.isPaced() || concurrencyLimit == 0 {
		return running < concurrencyLimit
	}
	if g.isShort(e) {
		return running < max(g.slots(), 1)
	}
	reserved := max(0, int(g.shortMean+shortRounding)-g.shortRunning)
	return running+reserved < concurrencyLimit
}

// Idle reports whether no attempt is running or waiting.
func (g *Guard) Idle() bool {
	return len(g.inFlight) == 0 && g.priorityQueue.Len() == 0 && g.deadlineQueue.Len() == 0 && len(g.held) == 0
}

// Leaving reports whether the guard has stopped admitting work permanently.
func (g *Guard) Leaving() bool { return g.leaving }

// Drain rejects the waiting attempts and makes the guard reject all new work from now on.
func (g *Guard) Drain(out []effect.Effect) []effect.Effect {
	if g.leaving {
		return out
	}
	g.leaving = true
	return g.rejectWaiting(effect.ReasonLeaving, out)
}

// RejectWaiting rejects the waiting attempts for reason r. It is called when admission
// closes.
func (g *Guard) RejectWaiting(r effect.Reason, out []effect.Effect) []effect.Effect {
	return g.rejectWaiting(r, out)
}

// rejectWaiting rejects every queued or held attempt.
func (g *Guard) rejectWaiting(r effect.Reason, out []effect.Effect) []effect.Effect {
	for {
		arrival, ok := g.priorityQueue.Pop()
		if !ok {
			break
		}
		out = g.reject(g.waiters[arrival], r, out)
	}
	for {
		arrival, ok := g.deadlineQueue.Next(time.Time{}, 1, func(uint64) bool { return true })
		if !ok {
			break
		}
		g.deadlineQueue.Remove(arrival)
		out = g.reject(g.waiters[arrival], r, out)
	}
	for _, e := range g.held {
		out = g.reject(e, r, out)
	}
	g.held = g.held[:0]
	return out
}

// MarkCold makes the guard treat its backend server as cold. The text why states the
// reason in the event log.
func (g *Guard) MarkCold(why string, out []effect.Effect) []effect.Effect {
	g.ramp.Reset()
	g.pacer.MarkUnknown()
	if g.cold {
		return out
	}
	g.cold = true
	return append(out, effect.LogEvent{Kind: effect.KindCold, Text: why})
}

// OutcomeQueried handles an entry's query for the outcome of an attempt. The verdict is
// Unknown if the query is for another guard or incarnation.
func (g *Guard) OutcomeQueried(e event.OutcomeQueried, out []effect.Effect) []effect.Effect {
	if e.Ticket.Guard != g.config.Node {
		return append(out, effect.ReportOutcome{Query: e.Query, Verdict: event.Unknown})
	}
	response, state, _ := g.ledger.Find(e.Ticket)
	if e.Void {
		state = g.ledger.Void(e.Ticket, e.At)
	}
	if verdictOf(state) == event.NotRun && g.mayHaveRun(e.Key) {
		response, state, _ = g.ledger.Find(g.keys.records[e.Key].ticket)
	}
	v := effect.ReportOutcome{Query: e.Query, Verdict: verdictOf(state), Response: response}
	if state == ledger.Voided {
		t := e.Ticket
		out = append(out, effect.LogEvent{Kind: effect.KindVoid, Ticket: &t})
	}
	return append(out, v)
}

// verdictOf returns the verdict that an entry receives for an attempt in state s.
func verdictOf(s ledger.State) event.Verdict {
	switch s {
	case ledger.Running:
		return event.Running
	case ledger.Ran:
		return event.Ran
	case ledger.NotRun, ledger.Voided:
		return event.NotRun
	case ledger.Unseen, ledger.Lost:
	}
	return event.Unknown
}
