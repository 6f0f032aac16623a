package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/limit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleLimit() {
	l := limit.New(10)
	now := start
	observe := func(n int, latency time.Duration) {
		for range n {
			now = now.Add(latency)
			l.Observe(now, 0, latency, 8, false)
		}
		fmt.Println(l.Limit(), l.LatencyJumped())
	}
	observe(200, 5*time.Millisecond)
	observe(20, 50*time.Millisecond) // A noisy neighbour starts
	observe(400, 5*time.Millisecond) // and stops.
	// Output:
	// 10 false
	// 5 true
	// 10 false
}

// Simulates an overload, in which the latency grows with the square of the concurrency.
// The limit must fall until the latency is near the baseline.
func TestLimitFallsUnderOverload(t *testing.T) {
	c := qt.New(t)
	l := limit.New(16)
	for range 100 {
		l.Observe(start, 0, 5*time.Millisecond, 16, false)
	}
	for range 400 {
		n := l.Limit()
		l.Observe(start, 0, time.Duration(n*n)*5*time.Millisecond, n, false)
		if n == 1 {
			return
		}
	}
	c.Fatalf("limit %d", l.Limit())
}

// Simulates a slow dependency, which makes the latency ten times as high at any
// concurrency. The limit must stay up and return to its ceiling.
func TestLimitRecoversFromSlowDependency(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	l := limit.New(16)
	observe := func(n int, mean float64) (low int) {
		low = l.Limit()
		for range n {
			latency := time.Duration((0.5 + 0.5*random.ExpFloat64()) * mean)
			l.Observe(start, 0, latency, l.Limit(), false)
			low = min(low, l.Limit())
		}
		return low
	}
	observe(1000, 5e6)
	low := observe(1000, 50e6)
	c.Assert(low >= 4, qt.IsTrue, qt.Commentf("lowest limit %d", low))
	c.Assert(l.Limit(), qt.Equals, 16)
}

// Routes of very different cost, with exponentially distributed service times, must not
// lower the limit.
func TestSteadyLoadKeepsLimit(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			l := limit.New(20)
			low := 20
			for i := range 20_000 {
				class := random.IntN(3)
				mean := []float64{1e6, 5e6, 80e6}[class]
				latency := time.Duration(random.ExpFloat64() * mean)
				l.Observe(start.Add(time.Duration(i)*time.Millisecond), class, latency, 18, false)
				low = min(low, l.Limit())
				c.Assert(l.LatencyJumped(), qt.IsFalse)
			}
			c.Assert(low >= 10, qt.IsTrue, qt.Commentf("lowest limit %d", low))
		})
	}
}

func TestFailuresLowerLimit(t *testing.T) {
	c := qt.New(t)
	l := limit.New(10)
	observe := func(n int, failed bool) {
		for range n {
			l.Observe(start, 0, time.Millisecond, 10, failed)
		}
	}
	observe(100, false)
	observe(100, true)
	c.Assert(l.Limit(), qt.Equals, 1)
	observe(400, false)
	c.Assert(l.Limit(), qt.Equals, 10)
}

func TestLimitStaysInRange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		ceiling := rapid.IntRange(1, 40).Draw(r, "ceiling")
		l := limit.New(ceiling)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		for i := range 300 {
			latency := time.Duration(random.Int64N(int64(time.Second)))
			l.Observe(start.Add(time.Duration(i)*latency), random.IntN(3), latency, random.IntN(50), random.IntN(4) == 0)
			if i == 150 {
				ceiling = rapid.IntRange(1, 40).Draw(r, "new ceiling")
				l.Resize(ceiling)
			}
			if l.Limit() < 1 || l.Limit() > ceiling {
				r.Fatalf("limit %d, ceiling %d", l.Limit(), ceiling)
			}
		}
	})
}
