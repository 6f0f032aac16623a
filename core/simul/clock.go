package simul

import (
	"container/heap"
	"time"
)

// clock runs events in order of their virtual times.
type clock struct {
	now      time.Duration
	sequence uint64
	pending  events
}

// event is an action at a virtual time. Events at the same time run in the order in which
// they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a min-heap of events, ordered by time.
type events []event

var _ heap.Interface = (*events)(nil)

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less reports whether event i runs before event j.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap swaps two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; it is called by package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event; it is called by package heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// after schedules act to run after delay.
func (c *clock) after(delay time.Duration, act func()) {
	c.sequence++
	heap.Push(&c.pending, event{at: c.now + delay, sequence: c.sequence, run: act})
}

// run runs events until none is pending.
func (c *clock) run() {
	for len(c.pending) > 0 {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.run()
	}
}

// time returns the virtual time as a calendar time.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// epoch is the calendar time at which each run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
