package ramp_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/ramp"
)

func ExampleRamp() {
	r := ramp.New(2, 10, 4)
	for range 7 {
		fmt.Println(r.Limit(), r.IsCold())
		r.Complete()
	}
	// Output:
	// 2 true
	// 2 true
	// 2 true
	// 2 true
	// 2 false
	// 3 false
	// 4 false
}

func TestResizeKeepsWarm(t *testing.T) {
	c := qt.New(t)
	r := ramp.New(1, 10, 2)
	r.Complete()
	r.Complete()
	r.Resize(1, 20, 100)
	c.Assert(r.Limit(), qt.Equals, 20)
	r.Reset()
	c.Assert(r.Limit(), qt.Equals, 1)
}

func TestLimitGrowsOnlyWithCompletedWork(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		full := rapid.IntRange(1, 50).Draw(r, "full")
		cold := rapid.IntRange(1, full).Draw(r, "cold")
		warm := rapid.IntRange(0, 100).Draw(r, "warm")
		m := ramp.New(cold, full, warm)
		done := 0
		for _, complete := range rapid.SliceOf(rapid.Bool()).Draw(r, "steps") {
			if complete {
				m.Complete()
				done++
			} else {
				m.Reset()
				done = 0
			}
			want := min(full, cold+max(0, done-warm))
			if m.Limit() != want {
				r.Fatalf("bound %d after %d of %d, want %d", m.Limit(), done, warm, want)
			}
		}
	})
}
