// Package loop runs the reducer of a node: it takes events one at a time and
// hands each effect to the part that carries it out.
//
// # Usage
//
//	l := loop.New(reducer, loop.Options{Instance: "ledger-1", Centre: "north"})
//	id, box := l.Open()
//	defer l.Close(id)
//	l.Do(event.Request{At: time.Now(), ID: id})
//	e := <-box
package loop

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/clock"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/report"
	"bulrushlock/core/trace"
)

const (
	// tickTime is the time between two Tick events.
	tickTime = 50 * time.Millisecond
	// boxSize is the number of effects that a waiting part may have unread.
	boxSize = 32
	// ringSize is the number of events that the time line of a node holds.
	ringSize = 4096
)

// Record is one event of the time line.
type Record struct {
	Stamp    string    `json:"stamp"`
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Centre   string    `json:"centre"`
	Kind     string    `json:"kind"`
	Text     string    `json:"text,omitempty"`
	Ticket   string    `json:"ticket,omitempty"`
}

// Options are what a Loop works with besides its reducer.
type Options struct {
	Instance string
	Centre   string
	Logger   *slog.Logger
	Scope    tally.Scope
	// Diary writes down decisions; nil writes nothing.
	Diary Diary
	// Carry carries out an effect that belongs to no request or attempt. It must not block.
	Carry func(effect.Effect)
}

// Diary writes down decisions. It must not block.
type Diary interface {
	Decide(at time.Time, e effect.Decision)
}

// Loop is the only user of a reducer.
type Loop struct {
	options Options
	mutex   sync.Mutex
	node    *node.Node
	boxes   map[uint64]chan effect.Effect
	next    uint64
	effects []effect.Effect
	// counters hold the counters of decisions, of which there are few kinds.
	counters map[verdict]tally.Counter
	clock    *clock.Clock
	ring     *trace.Ring[Record]
	stop     chan struct{}
	stopped  sync.WaitGroup
}

// New starts n and its ticks.
func New(n *node.Node, o Options) *Loop {
	l := &Loop{
		options: o,
		node:    n,
		boxes:   make(map[uint64]chan effect.Effect),

		counters: make(map[verdict]tally.Counter),
		clock:    clock.New(),
		ring:     trace.New[Record](ringSize),
		stop:     make(chan struct{}),
	}
	l.mutex.Lock()
	l.dispatch(n.Start(tickNow(), nil))
	l.mutex.Unlock()
	l.stopped.Go(func() {
		t := time.NewTicker(tickTime)
		defer t.Stop()
		var sleep sleepClock
		for {
			select {
			case <-t.C:
				e := tickNow()
				e.Slept = sleep.since(e.At)
				l.Do(e)
			case <-l.stop:
				return
			}
		}
	})
	return l
}

// tickNow returns a Tick event of the present.
func tickNow() event.Tick { return event.Tick{At: time.Now(), Random: rand.Uint64()} }

// Stop ends the ticks.
func (l *Loop) Stop() {
	close(l.stop)
	l.stopped.Wait()
}

// Open returns a new number and the box into which the effects for it are put.
func (l *Loop) Open() (id uint64, box <-chan effect.Effect) {
	c := make(chan effect.Effect, boxSize)
	l.mutex.Lock()
	l.next++
	id = l.next
	l.boxes[id] = c
	l.mutex.Unlock()
	return id, c
}

// Close gives up the box of a number.
func (l *Loop) Close(id uint64) {
	l.mutex.Lock()
	delete(l.boxes, id)
	l.mutex.Unlock()
}

// Len returns the number of boxes that are open.
func (l *Loop) Len() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.boxes)
}

// Do takes e into the reducer and hands out the effects.
func (l *Loop) Do(e event.Event) {
	l.mutex.Lock()
	l.effects = l.node.Step(e, l.effects[:0])
	l.dispatch(l.effects)
	l.mutex.Unlock()
}

// View calls f with the reducer while no event is taken.
func (l *Loop) View(f func(n *node.Node)) {
	l.mutex.Lock()
	f(l.node)
	l.mutex.Unlock()
}

// Load returns the load that rides on answers, and the versions that the node holds.
func (l *Loop) Load() (report.Load, event.Versions) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	return l.node.Load(now), l.node.Versions(now)
}

// dispatch hands out effects. The mutex is held.
func (l *Loop) dispatch(effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Note:
			l.note(e)
		case effect.Decision:
			l.decided(e)
		case effect.Count:
			l.options.Scope.Counter(e.Name).Inc(1)
		default:
			l.deliver(e)
		}
	}
}

// verdict is what decisions are counted by.
type verdict struct {
	kind   effect.DecisionKind
	reason string
}

// decided counts a decision and writes it down. The mutex is held.
func (l *Loop) decided(e effect.Decision) {
	v := verdict{kind: e.Kind}
	for _, f := range e.Facts {
		if f.Key == "reason" {
			v.reason = f.Text
		}
	}
	c, ok := l.counters[v]
	if !ok {
		c = l.options.Scope.Tagged(map[string]string{"kind": string(v.kind), "reason": v.reason}).Counter("decisions")
		l.counters[v] = c
	}
	c.Inc(1)
	if l.options.Diary != nil {
		l.options.Diary.Decide(time.Now(), e)
	}
}

// deliver puts e into the box that it belongs to, or has it carried out.
func (l *Loop) deliver(e effect.Effect) {
	id, ok := target(e)
	if !ok {
		l.options.Carry(e)
		return
	}
	box, ok := l.boxes[id]
	if !ok {
		return
	}
	select {
	case box <- e:
	default:
		l.options.Scope.Counter("box_full").Inc(1)
	}
}

// target returns the number of the box that e belongs to.
func target(e effect.Effect) (id uint64, ok bool) {
	switch e := e.(type) {
	case effect.Forward:
		return e.ID, true
	case effect.Survey:
		return e.ID, true
	case effect.Relay:
		return e.ID, true
	case effect.Reply:
		return e.ID, true
	case effect.Cancel:
		return e.ID, true
	case effect.Ask:
		return e.ID, true
	case effect.Recover:
		return e.ID, true
	case effect.Admit:
		return e.Arrival, true
	case effect.Deny:
		return e.Arrival, true
	case effect.Wait:
		return e.Arrival, true
	case effect.Replay:
		return e.Arrival, true
	case effect.Verdict:
		return e.Query, true
	case effect.Load:
		return e.Query, true
	}
	return 0, false
}

// note puts an event into the time line and logs a change of state.
func (l *Loop) note(e effect.Note) {
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
	if isState(e.Kind) {
		l.options.Logger.Info(r.Kind, "text", r.Text)
	}
}

// isState reports whether an event of kind k is a change of state, and not one of a request.
func isState(k effect.Kind) bool {
	switch k {
	case effect.KindAttempt, effect.KindVoid, effect.KindUnknown:
		return false
	}
	return true
}

// Events returns up to limit events of the time line that follow sequence, the
// sequence to go on from, and the number of events that were lost before them.
func (l *Loop) Events(sequence uint64, limit int) (records []Record, next, dropped uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ring.Since(sequence, limit)
}

// Stamp returns the time of the hybrid logical clock, for a message that is sent.
func (l *Loop) Stamp() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.clock.Now(time.Now()).String()
}

// Merge takes over the stamp of a message that was received. A stamp that cannot be read is counted.
func (l *Loop) Merge(text string) {
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
