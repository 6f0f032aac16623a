// Package loop runs the reducer of a node. It passes events to the reducer one at a time
// and hands each resulting effect to the component that executes it: effects of a request
// or an attempt go to a mailbox, all others to Options.Execute. It also holds the event log
// of the node.
//
// # Usage
//
//	o := loop.Options{Instance: "claims-1", Logger: logger, Scope: scope, Execute: execute}
//	l := loop.New(reducer, o)
//	defer l.Stop()
//	id, mailbox := l.OpenMailbox()
//	defer l.CloseMailbox(id)
//	l.Process(event.Request{At: time.Now(), ID: id})
//	e := <-mailbox
package loop

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/clock"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/report"
	"bulrushlock/core/ring"
	"bulrushlock/core/rules"
)

const (
	// tickInterval is the time between two Tick events.
	tickInterval = 50 * time.Millisecond
	// mailboxSize is the number of unread effects that a mailbox holds.
	mailboxSize = 32
	// eventLogSize is the number of events that the event log of a node holds.
	eventLogSize = 4096
)

// Record is one event of the event log.
type Record struct {
	Stamp    string    `json:"stamp"`
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Centre   string    `json:"centre"`
	Kind     string    `json:"kind"`
	Text     string    `json:"text,omitempty"`
	Ticket   string    `json:"ticket,omitempty"`
}

// Options configure a Loop.
type Options struct {
	Instance string
	Centre   string
	Logger   *slog.Logger
	Scope    tally.Scope
	// DecisionLog logs decisions; nil disables the decision log.
	DecisionLog DecisionLog
	// Execute executes an effect that belongs to no request or attempt. It must not block.
	Execute func(effect.Effect)
}

// DecisionLog logs decisions. It must not block.
type DecisionLog interface {
	LogDecision(at time.Time, e effect.Decision)
}

// Loop owns a reducer and serialises all access to it. It is safe for concurrent use.
type Loop struct {
	options   Options
	mutex     sync.Mutex
	node      *node.Node
	mailboxes map[uint64]chan effect.Effect
	next      uint64
	effects   []effect.Effect
	// rules are the rules in force after the last event.
	rules atomic.Pointer[rules.Set]
	// decisionCounters caches one counter for each combination of kind and reason. There are
	// few of them.
	decisionCounters map[decisionLabels]tally.Counter
	clock            *clock.Clock
	ring             *ring.Ring[Record]
	stop             chan struct{}
	stopped          sync.WaitGroup
}

// New starts the reducer n and sends it Tick events at a fixed interval until Stop is called.
func New(n *node.Node, o Options) *Loop {
	l := &Loop{
		options:   o,
		node:      n,
		mailboxes: make(map[uint64]chan effect.Effect),

		decisionCounters: make(map[decisionLabels]tally.Counter),
		clock:            clock.New(),
		ring:             ring.New[Record](eventLogSize),
		stop:             make(chan struct{}),
	}
	l.mutex.Lock()
	l.dispatch(n.Start(tickNow(), nil))
	l.mutex.Unlock()
	l.stopped.Go(func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		var detector suspendDetector
		for {
			select {
			case <-t.C:
				e := tickNow()
				e.SuspendedFor = detector.suspended(e.At)
				l.Process(e)
			case <-l.stop:
				return
			}
		}
	})
	return l
}

// tickNow returns a Tick event with the current time.
func tickNow() event.Tick { return event.Tick{At: time.Now(), Random: rand.Uint64()} }

// Stop ends the Tick events and waits for the last one.
func (l *Loop) Stop() {
	close(l.stop)
	l.stopped.Wait()
}

// OpenMailbox registers a mailbox and returns its ID and the channel that receives its effects.
func (l *Loop) OpenMailbox() (id uint64, mailbox <-chan effect.Effect) {
	c := make(chan effect.Effect, mailboxSize)
	l.mutex.Lock()
	l.next++
	id = l.next
	l.mailboxes[id] = c
	l.mutex.Unlock()
	return id, c
}

// CloseMailbox removes the mailbox with the given ID. Later effects for it are discarded.
func (l *Loop) CloseMailbox(id uint64) {
	l.mutex.Lock()
	delete(l.mailboxes, id)
	l.mutex.Unlock()
}

// OpenMailboxes returns the number of open mailboxes.
func (l *Loop) OpenMailboxes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.mailboxes)
}

// Process passes e to the reducer and dispatches the resulting effects. A panic of the
// reducer is counted and logged, and loses the effects of this event only.
func (l *Loop) Process(e event.Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	defer l.recoverStep(e)
	l.effects = l.node.Step(e, l.effects[:0])
	if s := l.node.Rules(); s != l.rules.Load() {
		l.rules.Store(s)
	}
	l.dispatch(l.effects)
}

// Rules returns the rules in force, or nil if there are none yet. It does not wait for an event
// that is being processed.
func (l *Loop) Rules() *rules.Set { return l.rules.Load() }

// Record counts and logs a decision that is made outside the reducer.
func (l *Loop) Record(d effect.Decision) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recordDecision(d)
}

// View calls f with the reducer. No event is processed until f returns.
func (l *Loop) View(f func(n *node.Node)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f(l.node)
}

// LoadReport returns the load report that responses carry and the versions that the node holds.
func (l *Loop) LoadReport() (report.Load, event.Versions) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	return l.node.Load(now), l.node.Versions(now)
}

// LoadFor returns the load report whose wait time holds for attempts of the given priority.
func (l *Loop) LoadFor(priority int) report.Load {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.node.LoadFor(time.Now(), priority)
}

// dispatch executes or delivers effects. The mutex must be held.
func (l *Loop) dispatch(effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.LogEvent:
			l.recordEvent(e)
		case effect.Decision:
			l.recordDecision(e)
		case effect.IncrementCounter:
			l.options.Scope.Counter(e.Name).Inc(1)
		default:
			l.deliver(e)
		}
	}
}

// decisionLabels are the metric labels by which decisions are counted.
type decisionLabels struct {
	kind   effect.DecisionKind
	reason string
}

// recordDecision counts a decision and logs it. The mutex must be held.
func (l *Loop) recordDecision(e effect.Decision) {
	v := decisionLabels{kind: e.Kind}
	for _, f := range e.Facts {
		if f.Key == "reason" {
			v.reason = f.Text
		}
	}
	c, ok := l.decisionCounters[v]
	if !ok {
		c = l.options.Scope.Tagged(map[string]string{"kind": string(v.kind), "reason": v.reason}).Counter("decisions")
		l.decisionCounters[v] = c
	}
	c.Inc(1)
	if l.options.DecisionLog != nil {
		l.options.DecisionLog.LogDecision(time.Now(), e)
	}
}

// deliver sends e to its mailbox, or to Options.Execute if it belongs to none. An effect for
// a full mailbox is dropped and counted. The mutex must be held.
func (l *Loop) deliver(e effect.Effect) {
	id, ok := mailboxOf(e)
	if !ok {
		l.options.Execute(e)
		return
	}
	mailbox, ok := l.mailboxes[id]
	if !ok {
		return
	}
	select {
	case mailbox <- e:
	default:
		l.options.Scope.Counter("box_full").Inc(1)
	}
}

// mailboxOf returns the ID of the mailbox that e belongs to; ok is false if there is none.
func mailboxOf(e effect.Effect) (id uint64, ok bool) {
	switch e := e.(type) {
	case effect.Forward:
		return e.ID, true
	case effect.ProbeCandidates:
		return e.ID, true
	case effect.RelayResponse:
		return e.ID, true
	case effect.ReplyFromEntry:
		return e.ID, true
	case effect.Cancel:
		return e.ID, true
	case effect.QueryOutcome:
		return e.ID, true
	case effect.FetchResponse:
		return e.ID, true
	case effect.Admit:
		return e.Arrival, true
	case effect.RejectAttempt:
		return e.Arrival, true
	case effect.StartQueueTimer:
		return e.Arrival, true
	case effect.ReplayResponse:
		return e.Arrival, true
	case effect.ReportOutcome:
		return e.Query, true
	case effect.ReportLoad:
		return e.Query, true
	}
	return 0, false
}

// recordEvent adds an event to the event log, counts it, and logs it if it is a state
// change. The mutex must be held.
func (l *Loop) recordEvent(e effect.LogEvent) {
	now := time.Now()
	r := Record{
		Stamp:    l.clock.Now(now).String(),
		At:       now,
		Instance: l.options.Instance,
		Centre:   l.options.Centre,
		Kind:     string(e.Kind),
		Text:     e.Text,
	}
	if e.Ticket != nil {
		r.Ticket = e.Ticket.String()
	}
	l.ring.Add(r)
	l.options.Scope.Counter("event_" + r.Kind).Inc(1)
	if isStateChange(e.Kind) {
		l.options.Logger.Info(r.Kind, "text", r.Text)
	}
}

// isStateChange reports whether an event of kind k is a change of the node's state rather
// than an event of a single request.
func isStateChange(k effect.Kind) bool {
	switch k {
	case effect.KindAttempt, effect.KindVoid, effect.KindUnknown:
		return false
	}
	return true
}

// Events returns up to limit events of the event log starting at sequence, the sequence to
// continue from, and the number of events that were dropped before the first one returned.
func (l *Loop) Events(sequence uint64, limit int) (records []Record, next, dropped uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ring.Since(sequence, limit)
}

// Stamp returns a hybrid logical clock stamp for an outgoing message.
func (l *Loop) Stamp() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.Now(time.Now()).String()
}

// MergeStamp advances the hybrid logical clock by the stamp of a received message. An empty
// text is ignored; an invalid stamp is counted and ignored.
func (l *Loop) MergeStamp(text string) {
	if text == "" {
		return
	}
	s, err := clock.Parse(text)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.options.Scope.Counter("bad_stamp").Inc(1)
		return
	}
	l.clock.Merge(time.Now(), s)
}
