package scene

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times.
type clock struct {
	now     time.Duration
	order   uint64
	pending events
}

// event is an action at a virtual time. Events of the same time run in the order
// in which they were added.
type event struct {
	at    time.Duration
	order uint64
	act   func()
}

// events is a heap of events by time.
type events []event

var _ heap.Interface = (*events)(nil)

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less tells whether event i runs before event j.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event at the end.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the event at the end.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// after runs act when delay has passed.
func (c *clock) after(delay time.Duration, act func()) {
	c.order++
	heap.Push(&c.pending, event{at: c.now + delay, order: c.order, act: act})
}

// run runs events until none is left.
func (c *clock) run() {
	for len(c.pending) > 0 {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.act()
	}
}

// time returns the virtual time as a time of the calendar.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// epoch is the calendar time at which each run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
