package shaper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/shaper"
)

var now = time.Unix(1000, 0)

func TestPart(t *testing.T) {
	tests := []struct {
		name string
		bits float64
		want int
	}{
		{"unknown link", 0, 32 << 10},
		{"very slow link", 1e6, 4 << 10},
		{"slow link", 10e6, 6375},
		{"fast link", 1e9, 32 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { qt.Check(t, shaper.New(tt.bits).PartSize(), qt.Equals, tt.want) })
	}
}

func TestUnknownLinkHasNoWaits(t *testing.T) {
	s := shaper.New(0)
	for range 100 {
		qt.Assert(t, s.Reserve(now, 1<<20), qt.Equals, time.Duration(0))
	}
}

// Long responses that start at any time must never use more than their share of the link,
// and must use all of that share while parts wait.
func TestLongResponsesStayWithinLinkShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bits = 10e6
		s := shaper.New(bits)
		at, sent, end := now, 0, now
		for range 200 {
			at = at.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "gap")) * time.Millisecond)
			n := rapid.IntRange(1, s.PartSize()).Draw(t, "bytes")
			begins := at.Add(s.Reserve(at, n))
			if begins.Before(end) {
				t.Fatalf("a part begins %v before the one ahead of it is sent", end.Sub(begins))
			}
			if begins.After(at) && begins.Sub(end) > time.Microsecond {
				t.Fatalf("the link is idle for %v while a part waits", begins.Sub(end))
			}
			sent += n
			end = begins.Add(time.Duration(float64(n) * 8 / (0.85 * bits) * float64(time.Second)))
		}
		if most := 0.85*bits/8*end.Sub(now).Seconds() + 1; float64(sent) > most {
			t.Fatalf("%d bytes sent, where %v fit", sent, most)
		}
	})
}
