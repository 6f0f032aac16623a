package bucket_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/bucket"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ExampleBucket() {
	b := bucket.New(10, 1)
	fmt.Println(b.Take(start, 1))
	fmt.Println(b.Take(start.Add(50*time.Millisecond), 1))
	fmt.Println(b.Take(start.Add(100*time.Millisecond), 1))
	// Output:
	// true
	// false
	// true
}

func TestTakeAfterClockJumps(t *testing.T) {
	c := qt.New(t)
	b := bucket.New(10, 2)
	c.Assert(b.Take(start, 2), qt.IsTrue)
	c.Assert(b.Take(start.Add(time.Hour), 3), qt.IsFalse)
	c.Assert(b.Take(start.Add(time.Hour), 2), qt.IsTrue)
	c.Assert(b.Take(start, 0), qt.IsFalse)
	c.Assert(b.Take(start.Add(time.Hour), 1), qt.IsFalse)
}

func TestTakeStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0, 1000).Draw(r, "rate")
		burst := rapid.Float64Range(0, 20).Draw(r, "burst")
		steps := rapid.SliceOfN(rapid.IntRange(-5, 100), 1, 200).Draw(r, "steps")
		b := bucket.New(rate, burst)
		now := start
		var at []time.Time
		for _, s := range steps {
			now = now.Add(time.Duration(s) * time.Millisecond)
			if b.Take(now, 1) {
				at = append(at, now)
			}
		}
		for i := range at {
			for j := i; j < len(at); j++ {
				bound := burst + rate*at[j].Sub(at[i]).Seconds()
				if float64(j-i+1) > bound+1e-6 {
					r.Fatalf("%d taken in %v, bound %v", j-i+1, at[j].Sub(at[i]), bound)
				}
			}
		}
	})
}
