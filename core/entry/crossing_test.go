package entry_test

import (
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// Loads of guards in these tests.
var (
	freeLoad = report.Load{Limit: 7, Slow: 100}
	busyLoad = report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: 200 * time.Millisecond}
	lateLoad = report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: 400 * time.Millisecond}
)

// newCrossingEntry returns an entry like newProbingEntry for which a megabyte between data
// centres is worth a second.
func newCrossingEntry(c *qt.C, extra string) *entry.Entry {
	set, err := rules.Parse(probeRules + extra)
	c.Assert(err, qt.IsNil)
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "near-0", Incarnation: 1}, Centre: "near", ProbeCount: 3, CrossPrice: time.Second}, pick.NewLoadAware())
	n.SetRules(set, probedInstances())
	return n
}

// counters returns the names of the counters that out increments.
func counters(out []effect.Effect) []string {
	var names []string
	for _, e := range out {
		if i, ok := e.(effect.IncrementCounter); ok {
			names = append(names, i.Name)
		}
	}
	return names
}

// probeWith answers the load probes of out until there are no more: with near from guards of
// the data centre near, and with far from others. It returns the effects after the last
// probes, and the data centres that each round asked.
func probeWith(n *entry.Entry, at time.Time, random uint64, out []effect.Effect, near, far report.Load) (last []effect.Effect, asked []string) {
	for {
		i := slices.IndexFunc(out, func(e effect.Effect) bool { _, ok := e.(effect.ProbeCandidates); return ok })
		if i < 0 {
			return out, asked
		}
		s := out[i].(effect.ProbeCandidates)
		load := near
		if s.Peers[0].Centre == "far" {
			load = far
		}
		asked = append(asked, s.Peers[0].Centre)
		out = n.CandidatesProbed(event.CandidatesProbed{At: at, ID: s.ID, Loads: reportLoads(at, s.Peers, load), Random: random}, nil)
	}
}

// Other data centres are asked only if the own one is busy, and are used if that pays, by
// the share.
func TestRequestLeavesBusyDataCentre(t *testing.T) {
	tests := []struct {
		name      string
		near, far report.Load
		random    uint64
		asked     []string
		centre    string
		counters  []string
	}{
		{name: "free at home", near: freeLoad, far: freeLoad, asked: []string{"near"}, centre: "near"},
		{name: "free elsewhere", near: busyLoad, far: freeLoad, asked: []string{"near", "far"}, centre: "far", counters: []string{"cross_pays"}},
		{name: "beyond the share", near: busyLoad, far: freeLoad, random: math.MaxUint64, asked: []string{"near", "far"}, centre: "near", counters: []string{"cross_held"}},
		{name: "only elsewhere in time", near: lateLoad, far: freeLoad, random: math.MaxUint64, asked: []string{"near", "far"}, centre: "far", counters: []string{"cross_target"}},
		{name: "busy everywhere", near: busyLoad, far: busyLoad, asked: []string{"near", "far"}, centre: "near"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newCrossingEntry(c, "")
			at := learnServiceTime(c, n)
			out, asked := probeWith(n, at, tt.random, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil), tt.near, tt.far)
			c.Check(asked, qt.DeepEquals, tt.asked)
			c.Check(findEffect[effect.Forward](c, out).Peer.Centre, qt.Equals, tt.centre)
			c.Check(counters(out), qt.DeepEquals, tt.counters)
			d := findEffect[effect.Decision](c, out)
			explained := slices.ContainsFunc(d.Facts, func(f effect.Fact) bool { return f.Key == "cross" })
			c.Check(explained, qt.Equals, len(tt.counters) > 0)
		})
	}
}

// A data centre that is out of service leaves no choice.
func TestRequestLeavesDataCentreThatIsOut(t *testing.T) {
	c := qt.New(t)
	n := newCrossingEntry(c, "out centre=near # Asha: test\n")
	out, asked := probeWith(n, now, math.MaxUint64, n.Request(getRequest(1, "/lines", now, 3*time.Second), nil), freeLoad, busyLoad)
	c.Check(asked[0], qt.Equals, "far")
	c.Check(findEffect[effect.Forward](c, out).Peer.Centre, qt.Equals, "far")
	c.Check(counters(out), qt.DeepEquals, []string{"cross_forced"})
}

// A body that has left the data centre does not do so again while a guard at home can take it.
func TestBodyLeavesOnce(t *testing.T) {
	for size, centre := range map[int64]string{0: "far", 100: "near", -1: "near"} {
		c := qt.New(t)
		n := newCrossingEntry(c, "")
		at := learnServiceTime(c, n)
		r := getRequest(1, "/lines", at, 3*time.Second)
		r.Size = size
		out, _ := probeWith(n, at, 0, n.Request(r, nil), busyLoad, freeLoad)
		f := findEffect[effect.Forward](c, out)
		c.Assert(f.Peer.Centre, qt.Equals, "far")
		out = n.AttemptEnded(event.AttemptEnded{At: at, ID: 1, Ticket: f.Ticket, Verdict: event.NotRun, Reason: string(effect.ReasonOverloaded)}, nil)
		c.Check(findEffect[effect.Forward](c, out).Peer.Centre, qt.Equals, centre, qt.Commentf("size %d", size))
	}
}

// A response that is large for the gain keeps its class at home, whatever the share, unless it
// would be late there.
func TestLargeResponsesStayHome(t *testing.T) {
	c := qt.New(t)
	n := newCrossingEntry(c, "")
	at := learnServiceTime(c, n)
	for id := range uint64(20) {
		out, _ := probeWith(n, at, 0, n.Request(getRequest(100+id, "/lines", at, 3*time.Second), nil), freeLoad, freeLoad)
		f := findEffect[effect.Forward](c, out)
		n.AttemptEnded(event.AttemptEnded{
			At: at, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 200, Latency: 150 * time.Millisecond, Load: &freeLoad, Guard: f.Ticket.Guard, Size: 1e6,
		}, nil)
	}
	at = at.Add(time.Second)
	out, asked := probeWith(n, at, 0, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil), busyLoad, freeLoad)
	c.Check(asked, qt.DeepEquals, []string{"near"})
	c.Check(findEffect[effect.Forward](c, out).Peer.Centre, qt.Equals, "near")
	at = at.Add(time.Second)
	out, _ = probeWith(n, at, math.MaxUint64, n.Request(getRequest(2, "/lines", at, 3*time.Second), nil), lateLoad, freeLoad)
	c.Check(findEffect[effect.Forward](c, out).Peer.Centre, qt.Equals, "far")
}
