package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// TestWaitOfHigherPriorityDoesNotHideWholeQueue lets all guards report the wait of the whole queue,
// long on near-1 and short on the others. A guard then reports to a request of the highest priority
// that it need not wait. That tells nothing about the wait of a request of a lower priority.
func TestWaitOfHigherPriorityDoesNotHideWholeQueue(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	load := func(wait time.Duration) report.Load {
		return report.Load{Limit: 7, InFlight: 7, Queued: 12, Slow: 100, Wait: wait}
	}
	reported := func(name string, wait time.Duration, priority int) {
		n.LoadReported(event.LoadReported{At: at, Guard: ticket.NodeID{Instance: name, Incarnation: 5}, Load: load(wait), Priority: priority})
	}
	for _, centre := range []string{"near", "far"} {
		for i := range 4 {
			wait := 200 * time.Millisecond
			if centre == "near" && i == 1 {
				wait = 2 * time.Second
			}
			reported(fmt.Sprintf("%s-%d", centre, i), wait, 0)
		}
	}
	const highest = 1
	reported("near-1", 0, highest)
	// All reports are fresh, so that none of the guards is probed for this request of priority 3.
	for id := range uint64(20) {
		f := findEffect[effect.Forward](c, n.Request(getRequest(id+1, "/lines", at, 3*time.Second), nil))
		c.Check(f.Peer.Name, qt.Not(qt.Equals), "near-1")
	}
}

// TestWaitOfLowerPriorityBoundsOlderReports lets a guard report a long wait for requests of priority 3
// and, 50 ms later, none for requests of priority 5. These go last, so that those of priority 3 do not
// wait either.
func TestWaitOfLowerPriorityBoundsOlderReports(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	reported := func(name string, wait time.Duration, priority int) {
		n.LoadReported(event.LoadReported{
			At: at, Guard: ticket.NodeID{Instance: name, Incarnation: 5}, Priority: priority,
			Load: report.Load{Limit: 7, InFlight: 3, Slow: 100, Wait: wait},
		})
	}
	const own, lower = 3, 5
	reported("near-1", 2*time.Second, own)
	at = at.Add(50 * time.Millisecond)
	reported("near-1", 0, lower)
	for _, name := range []string{"near-0", "near-2", "near-3", "far-0", "far-1", "far-2", "far-3"} {
		reported(name, time.Second, own)
	}
	f := findEffect[effect.Forward](c, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil))
	c.Check(f.Peer.Name, qt.Equals, "near-1")
}
