package pace_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/pace"
)

func TestUnknownBackendServerIsTakenForCold(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := pace.New()
	p.SetRate(10)
	c.Check(p.IsCold(now), qt.IsTrue)
	p.Warm()
	c.Check(p.IsCold(now), qt.IsFalse)
	p.Cold(now.Add(time.Second))
	c.Check(p.IsCold(now), qt.IsTrue)
	c.Check(p.IsCold(now.Add(time.Second)), qt.IsFalse)
	p.Doubt()
	c.Check(p.IsCold(now.Add(time.Minute)), qt.IsTrue)
}

// A load far above what a cold backend server bears is replayed: no second of it has
// more starts than its rate and the burst.
func TestNoSecondHasMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 11
		now := time.Unix(1000, 0)
		p := pace.New()
		p.SetRate(rate)
		var starts []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			if p.Take(now) {
				starts = append(starts, now)
			}
		}
		for i, first := range starts {
			n := 0
			for _, s := range starts[i:] {
				if s.Sub(first) < time.Second {
					n++
				}
			}
			if n > rate+3 {
				t.Fatalf("%d starts within a second", n)
			}
		}
	})
}

func TestWaitTellsWhenATurnComes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := pace.New()
	p.SetRate(10)
	c.Check(p.IsSpare(now), qt.IsTrue)
	for p.Take(now) {
	}
	c.Check(p.IsSpare(now), qt.IsFalse)
	for ahead := range 3 {
		w := p.Wait(now, ahead)
		c.Check(w > 0 && w <= time.Duration(ahead+1)*110*time.Millisecond, qt.IsTrue, qt.Commentf("%v", w))
	}
	p.Warm()
	c.Check(p.Wait(now, 5), qt.Equals, time.Duration(0))
}
