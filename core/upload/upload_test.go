package upload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestMemoryIsReservedBeforeTheBody(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	h := New(Options{Budget: 1000, Each: 400})

	d := h.Begin(Arrival{At: start, ID: 1, Length: 360, TimeLeft: 2 * time.Second})
	c.Assert(d, qt.Equals, Decision{Bytes: 360, Until: start.Add(2 * time.Second)})
	d = h.Begin(Arrival{At: start, ID: 2, Length: 5000, TimeLeft: time.Second})
	c.Assert(d, qt.Equals, Decision{Bytes: 400, Until: start.Add(time.Second)})
	d = h.Begin(Arrival{At: start, ID: 3, Length: 300, TimeLeft: time.Second})
	c.Assert(d.Refused, qt.IsTrue)
	c.Assert(d.RetryAfter, qt.Equals, initialHold/2)
	c.Assert(h.Reserved(), qt.Equals, int64(760))

	h.End(start.Add(time.Second), 1)
	h.End(start.Add(time.Second), 1)
	d = h.Begin(Arrival{At: start, ID: 3, Length: 300, TimeLeft: time.Second})
	c.Assert(d.Refused, qt.IsFalse)
	c.Assert(h.Reserved(), qt.Equals, int64(700))
}

func TestBodyOfUnknownLengthGrowsWithinItsBound(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	h := New(Options{Budget: 400 << 10, Each: 300 << 10})
	c.Assert(h.Begin(Arrival{At: start, ID: 1, Length: -1, TimeLeft: time.Second}).Bytes, qt.Equals, int64(64<<10))
	c.Assert(h.Extend(start, 1).Bytes, qt.Equals, int64(128<<10))
	c.Assert(h.Extend(start, 1).Bytes, qt.Equals, int64(256<<10))
	c.Assert(h.Extend(start, 1).Bytes, qt.Equals, int64(300<<10))
	c.Assert(h.Begin(Arrival{At: start, ID: 2, Length: -1, TimeLeft: time.Second}).Bytes, qt.Equals, int64(64<<10))
	c.Assert(h.Extend(start, 2).Refused, qt.IsTrue)
	h.End(start, 2)
	h.End(start, 1)
	c.Assert(h.Reserved(), qt.Equals, int64(0))
}

func TestReservedNeverExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := Options{Budget: rapid.Int64Range(0, 1<<20).Draw(r, "budget"), Each: rapid.Int64Range(1, 1<<20).Draw(r, "each")}
		h := New(o)
		now := time.Unix(0, 0)
		held := make(map[uint64]int64)
		for id := range uint64(rapid.IntRange(1, 60).Draw(r, "steps")) {
			now = now.Add(time.Duration(rapid.Int64Range(0, 1e9).Draw(r, "pause")))
			switch rapid.IntRange(0, 2).Draw(r, "step") {
			case 0:
				d := h.Begin(Arrival{At: now, ID: id, Length: rapid.Int64Range(-1, 2<<20).Draw(r, "length"), TimeLeft: time.Second})
				if !d.Refused {
					held[id] = d.Bytes
				}
			case 1:
				for other := range held {
					if d := h.Extend(now, other); !d.Refused {
						held[other] = d.Bytes
					}
					break
				}
			case 2:
				for other := range held {
					h.End(now, other)
					delete(held, other)
					break
				}
			}
			sum := int64(0)
			for _, bytes := range held {
				if bytes > o.Each {
					r.Fatalf("%d bytes of one body, at most %d", bytes, o.Each)
				}
				sum += bytes
			}
			if sum != h.Reserved() || sum > o.Budget {
				r.Fatalf("%d bytes held, %d reserved, budget %d", sum, h.Reserved(), o.Budget)
			}
		}
	})
}

const (
	// slots is the number of requests that a backend server runs at once.
	slots = 6
	// uploadWork and lookupWork are the times that it works on an upload and on a lookup, and lookupAim
	// is the latency target of a lookup.
	uploadWork = 150 * time.Millisecond
	lookupWork = 49 * time.Millisecond
	lookupAim  = 150 * time.Millisecond
	// linkRate is the rate in bytes per second at which callers send, and meanBody the mean length of
	// their bodies in bytes.
	linkRate = 60_000.0
	meanBody = 60_000.0
	maxBody  = 360_000.0
	// requestRate is the number of uploads per second, and that of lookups. Their work takes two thirds
	// of the slots.
	requestRate = 20.0
	// simulatedTime is the time that is simulated.
	simulatedTime = 5 * time.Minute
)

// work is one request to the backend server.
type work struct {
	// begins is the time at which it asks for a slot, and ready the time at which its body is complete.
	begins, ready time.Duration
	takes         time.Duration
	isLookup      bool
}

// simulateWork returns uploads and lookups in the order in which they ask for a slot. If held is set,
// an upload asks once its body is complete, otherwise with its head.
func simulateWork(c *qt.C, held bool) []work {
	random := rand.New(rand.NewPCG(1, 2))
	h := New(Options{Budget: 16 << 20, Each: 1 << 20})
	var all []work
	ends := make(map[uint64]time.Duration)
	step := func() time.Duration {
		return time.Duration(random.ExpFloat64() / requestRate * float64(time.Second))
	}
	id := uint64(0)
	for at := step(); at < simulatedTime; at += step() {
		now := time.Unix(0, int64(at))
		length := min(random.ExpFloat64()*meanBody, maxBody)
		for other, end := range ends {
			if end < at {
				h.End(now, other)
				delete(ends, other)
			}
		}
		id++
		c.Assert(h.Begin(Arrival{At: now, ID: id, Length: int64(length), TimeLeft: time.Minute}).Refused, qt.IsFalse)
		u := work{begins: at, ready: at + time.Duration(length/linkRate*float64(time.Second)), takes: uploadWork}
		ends[id] = u.ready + uploadWork
		if held {
			u.begins = u.ready
		}
		all = append(all, u)
	}
	for at := step(); at < simulatedTime; at += step() {
		all = append(all, work{begins: at, ready: at, takes: lookupWork, isLookup: true})
	}
	slices.SortFunc(all, func(a, b work) int { return cmp.Compare(a.begins, b.begins) })
	return all
}

// lookupsOnTime returns the share of lookups that end within their latency target.
func lookupsOnTime(all []work) float64 {
	var free [slots]time.Duration
	onTime, count := 0.0, 0.0
	for _, w := range all {
		first := 0
		for i, at := range free {
			if at < free[first] {
				first = i
			}
		}
		end := max(free[first], w.ready) + w.takes
		free[first] = end
		if !w.isLookup {
			continue
		}
		count++
		if end-w.begins <= lookupAim {
			onTime++
		}
	}
	return onTime / count
}

// Slow bodies leave the slots to work, so that lookups on the same backend server stay on time.
func TestSlowBodiesTakeNoSlots(t *testing.T) {
	c := qt.New(t)
	held, unheld := lookupsOnTime(simulateWork(c, true)), lookupsOnTime(simulateWork(c, false))
	c.Check(held > 0.9, qt.IsTrue, qt.Commentf("%.3f of lookups on time", held))
	c.Check(unheld < 0.1, qt.IsTrue, qt.Commentf("%.3f of lookups on time where a slot is taken with the head", unheld))
}
