package allot_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushlock/core/allot"
)

// inject makes a random fault begin now and end later.
func (f *simFleet) inject(t *rapid.T) string {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	length := time.Duration(rapid.IntRange(100, 12000).Draw(t, "length")) * time.Millisecond
	kind := rapid.SampledFrom([]string{"kill", "killMany", "freeze", "isolate", "deaf", "mute", "cut", "blind", "platform", "loss"}).Draw(t, "fault")
	f.apply(n, kind, length)
	return kind
}

// apply makes a fault begin now and end after length.
func (f *simFleet) apply(n *simNode, kind string, length time.Duration) {
	centre := n.instance.Centre
	switch kind {
	case "kill":
		f.kill(n, length)
	case "killMany":
		for i, o := range f.nodes {
			if i%2 == f.random.IntN(2) {
				f.kill(o, length)
			}
		}
	case "freeze":
		n.frozen = f.now.Add(length)
	case "isolate":
		n.isolated = true
		f.after(length, func() { n.isolated = false })
	case "deaf":
		n.deaf = true
		f.after(length, func() { n.deaf = false })
	case "mute":
		n.mute = true
		f.after(length, func() { n.mute = false })
	case "cut", "blind":
		f.cutCentres[centre] = true
		f.blindCentres[centre] = kind == "blind"
		f.after(length, func() { delete(f.cutCentres, centre); delete(f.blindCentres, centre) })
	case "platform":
		f.platformDown = true
		f.after(length, func() { f.platformDown = false })
	case "loss":
		f.lossPercent = 10
		f.after(length, func() { f.lossPercent = 0 })
	}
}

// kill ends the processes of n and starts them again after length.
func (f *simFleet) kill(n *simNode, length time.Duration) {
	if n.down {
		return
	}
	n.down = true
	n.start++
	f.after(length, func() { f.startNode(n) })
}

// press makes more requests of a customer arrive than its limit allows: at all nodes, at one node
// and in bursts.
func (f *simFleet) press(l allot.Limit, until time.Time) {
	f.load(l.Customer, 3*l.Rate+20, until)
	var burst func()
	burst = func() {
		if f.now.After(until) {
			return
		}
		for range l.Burst + 20 {
			f.request(f.nodes[f.random.IntN(len(f.nodes))], l.Customer)
		}
		f.after(f.upTo(4*time.Second), burst)
	}
	f.after(f.upTo(20*time.Second), burst)
}

// TestSumStaysBelowBound checks that all nodes together admit no more than the bound in any window,
// with random fleets, limits, restarts, pauses and cuts.
func TestSumStaysBelowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := allot.Limit{
			Customer: "acme",
			Rate:     float64(rapid.IntRange(1, 400).Draw(t, "rate")) / 2,
			Burst:    rapid.IntRange(0, 200).Draw(t, "burst"),
		}
		count, centres := rapid.IntRange(1, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "centres")
		f := newSimFleet(count, centres, []allot.Limit{l}, rapid.Uint64().Draw(t, "seed"))
		f.advance(time.Duration(rapid.IntRange(0, 15000).Draw(t, "quiet")) * time.Millisecond)
		f.press(l, f.now.Add(40*time.Second))
		var faults []string
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			f.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
			faults = append(faults, f.now.Sub(startTime).String()+" "+f.inject(t))
		}
		f.advance(20 * time.Second)
		if most, at := mostInWindow(f.admitted[l.Customer]); most > boundOf(l) {
			t.Fatalf("%d requests within %v before %v, at most %d allowed: %v", most, window, at.Sub(startTime), boundOf(l), faults)
		}
	})
}

// TestSumStaysBelowBoundWhenAllOwnersFail makes the same fault hit all owners of a large limit at
// once, or a whole data centre, for longer than it takes to replace them.
func TestSumStaysBelowBoundWhenAllOwnersFail(t *testing.T) {
	t.Parallel()
	kinds := []string{"kill", "freeze", "isolate", "deaf", "mute", "cut", "blind", "platform", "loss", "restart", "cutAndRestart"}
	for _, kind := range kinds {
		for _, l := range []allot.Limit{{Customer: "acme", Rate: 150, Burst: 0}, {Customer: "acme", Rate: 150, Burst: 150}, {Customer: "acme", Rate: 3, Burst: 3}} {
			for seed := range uint64(6) {
				f := newSimFleet(12, 1+int(seed%3), []allot.Limit{l}, seed)
				f.advance(5 * time.Second)
				f.press(l, f.now.Add(40*time.Second))
				f.advance(6 * time.Second)
				f.strike(kind)
				f.advance(35 * time.Second)
				if most, at := mostInWindow(f.admitted[l.Customer]); most > boundOf(l) {
					t.Errorf("%s, seed %d, %+v: %d requests within %v before %v, at most %d allowed", kind, seed, l, most, window, at.Sub(startTime), boundOf(l))
				}
			}
		}
	}
}

// strike makes a fault begin at all owners.
func (f *simFleet) strike(kind string) {
	const length = 25 * time.Second
	first := f.nodes[0]
	switch kind {
	case "cut", "blind", "platform", "loss":
		f.apply(first, kind, length)
		return
	case "cutAndRestart":
		f.apply(first, "blind", length)
		f.after(7*time.Second, func() {
			for _, n := range f.nodes {
				if f.lent[n] > 0 && n.instance.Centre != first.instance.Centre {
					f.kill(n, time.Second)
				}
			}
		})
		return
	case "restart":
		for _, n := range f.nodes {
			if f.lent[n] > 0 {
				f.kill(n, 300*time.Millisecond)
			}
		}
		return
	}
	for _, n := range f.nodes {
		if f.lent[n] > 0 {
			f.apply(n, kind, length)
		}
	}
}

// TestLoweredLimitBinds checks that a lower limit binds once all nodes have learned of it.
func TestLoweredLimitBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := allot.Limit{Customer: "acme", Rate: float64(rapid.IntRange(20, 200).Draw(t, "rate")), Burst: rapid.IntRange(0, 200).Draw(t, "burst")}
		lower := allot.Limit{Customer: "acme", Rate: float64(rapid.IntRange(1, int(before.Rate)).Draw(t, "lower")), Burst: rapid.IntRange(0, before.Burst).Draw(t, "lower burst")}
		f := newSimFleet(rapid.IntRange(1, 14).Draw(t, "nodes"), rapid.IntRange(1, 3).Draw(t, "centres"), []allot.Limit{before}, rapid.Uint64().Draw(t, "seed"))
		f.advance(8 * time.Second)
		f.press(before, f.now.Add(20*time.Second))
		f.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
		f.limits = append(f.limits, published[[]allot.Limit]{f.now, []allot.Limit{lower}})
		binds := f.now.Add(listLag + 2*checkTime + leaseOverlap)
		f.advance(20 * time.Second)
		var after []time.Time
		for _, at := range f.admitted["acme"] {
			if at.After(binds) {
				after = append(after, at)
			}
		}
		if most, at := mostInWindow(after); most > boundOf(lower) {
			t.Fatalf("%d requests within %v before %v, at most %d allowed", most, window, at.Sub(startTime), boundOf(lower))
		}
	})
}

// leaseOverlap is the time for which tokens lent under an earlier limit are good.
const leaseOverlap = 250 * time.Millisecond
