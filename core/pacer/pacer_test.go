package pacer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/pacer"
)

func TestUnknownServerCountsAsCold(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := pacer.New()
	p.SetLimits(10, 1, 2)
	c.Check(p.IsCold(now), qt.IsTrue)
	p.MarkWarm()
	c.Check(p.IsCold(now), qt.IsFalse)
	p.MarkCold(now.Add(time.Second))
	c.Check(p.IsCold(now), qt.IsTrue)
	c.Check(p.IsCold(now.Add(time.Second)), qt.IsFalse)
	p.MarkUnknown()
	c.Check(p.IsCold(now.Add(time.Minute)), qt.IsTrue)
}

// Under a load far above the rate of a cold backend server, no second may have more starts
// than configured, and the starts must at least reach the rate.
func TestStartsPerSecondStayBounded(t *testing.T) {
	tests := []struct {
		name              string
		rate, over, slack float64
	}{
		{"rate plus two", 11, 1, 2},
		{"small deployment", 11, 1.5, 5},
		{"large deployment", 6, 1.5, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				now := time.Unix(1000, 0)
				p := pacer.New()
				p.SetLimits(tt.rate, tt.over, tt.slack)
				began := now
				var starts []time.Time
				for range 400 {
					now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
					if p.Take(now) {
						starts = append(starts, now)
					}
				}
				most := int(tt.rate*tt.over + tt.slack)
				for i, first := range starts {
					if i+most < len(starts) && starts[i+most].Sub(first) < time.Second {
						t.Fatalf("more than %d starts within a second", most)
					}
				}
				if least := int(tt.rate * now.Sub(began).Seconds()); len(starts) < least {
					t.Fatalf("%d starts, where the rate alone allows %d", len(starts), least)
				}
			})
		})
	}
}

func TestWaitUntilNextStart(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := pacer.New()
	p.SetLimits(10, 1, 2)
	c.Check(p.HasSpareCapacity(now), qt.IsTrue)
	for p.Take(now) {
	}
	c.Check(p.HasSpareCapacity(now), qt.IsFalse)
	before := time.Duration(0)
	for ahead := range 3 {
		w := p.Wait(now, ahead)
		c.Check(w > before, qt.IsTrue, qt.Commentf("%v with %d ahead, %v with one less", w, ahead, before))
		before = w
		c.Check(w > 0 && w <= time.Duration(ahead+1)*110*time.Millisecond, qt.IsTrue, qt.Commentf("%v", w))
	}
	p.MarkWarm()
	c.Check(p.Wait(now, 5), qt.Equals, time.Duration(0))
}

// A backend server at full load becomes cold, which is detected 100 ms later. The second
// from the start of the cold start must still stay within the limit.
func TestColdStartDetectedLate(t *testing.T) {
	const rate, over, slack = 11, 1.5, 5
	const noticed = 100 * time.Millisecond
	for _, load := range []time.Duration{20 * time.Millisecond, 40 * time.Millisecond} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		p := pacer.New()
		p.SetLimits(rate, over, slack)
		p.Take(now)
		p.MarkWarm()
		now = now.Add(time.Second)
		for range 100 {
			c.Assert(p.Take(now), qt.IsTrue)
			now = now.Add(load)
		}
		starts := 0
		for cold := time.Duration(0); cold < time.Second; cold += load {
			if cold >= noticed {
				p.MarkCold(now.Add(time.Second))
			}
			if p.Take(now.Add(cold)) {
				starts++
			}
		}
		c.Check(float64(starts) <= rate*over+slack, qt.IsTrue, qt.Commentf("%d starts", starts))
	}
}
