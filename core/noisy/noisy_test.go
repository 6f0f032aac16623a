package noisy_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/noisy"
)

var now = time.Unix(1000, 0)

// at returns the time ms milliseconds after now.
func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// sample is a slowness in percent that is reported from ms milliseconds after now.
type sample struct{ ms, slow int }

// observe returns a Detector that has received the slowness every 10 ms until end, in
// milliseconds after now.
func observe(end int, of ...sample) *noisy.Detector {
	s := noisy.New()
	for ms := 0; ms <= end; ms += 10 {
		slow := 0
		for _, o := range of {
			if o.ms <= ms {
				slow = o.slow
			}
		}
		s.Observe(at(ms), slow)
	}
	return s
}

func TestShouldWait(t *testing.T) {
	tests := []struct {
		name  string
		end   int
		of    []sample
		takes time.Duration
		want  bool
	}{
		{"nothing is known", 100, nil, time.Second, false},
		{"normal speed", 100, []sample{{0, 100}}, time.Second, false},
		{"slightly slow", 100, []sample{{0, 100}, {50, 140}}, time.Second, false},
		{"long work in a slow period", 100, []sample{{0, 100}, {50, 400}}, 160 * time.Millisecond, true},
		{"short work in a slow period", 100, []sample{{0, 100}, {50, 400}}, 40 * time.Millisecond, false},
		{"after the slow period", 200, []sample{{0, 100}, {50, 400}, {150, 100}}, 160 * time.Millisecond, false},
		{"a slow period that has lasted long", 1300, []sample{{0, 100}, {50, 400}}, 160 * time.Millisecond, false},
		{"slow from the start", 100, []sample{{0, 400}}, 160 * time.Millisecond, true},
		{"cold from the start", 100, []sample{{0, 200}}, 400 * time.Millisecond, false},
		{"a slow period late in a cold start", 1900, []sample{{0, 200}, {1850, 800}}, 160 * time.Millisecond, true},
		{"slow permanently", 9000, []sample{{0, 100}, {50, 400}}, 10 * time.Second, false},
		{"a slow period in a cold start", 100, []sample{{0, 200}, {50, 800}}, 320 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := observe(tt.end, tt.of...)
			qt.Check(t, s.ShouldWait(at(tt.end), tt.takes), qt.Equals, tt.want)
		})
	}
}

func TestLeftFollowsMeanLength(t *testing.T) {
	c := qt.New(t)
	s := noisy.New()
	c.Check(s.Remaining(now), qt.Equals, time.Duration(0))
	ms := 0
	for range 40 {
		s.Observe(at(ms), 100)
		s.Observe(at(ms+500), 400)
		s.Observe(at(ms+600), 100)
		ms += 1000
	}
	s.Observe(at(ms), 400)
	left := s.Remaining(at(ms))
	c.Check(left > 90*time.Millisecond && left < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%v", left))
	c.Check(s.BaseSlowness(), qt.Equals, 100)
}

// All work is slow during a cold start. After its end, a slowness that was normal before
// must count as slow.
func TestResetAfterAColdStart(t *testing.T) {
	c := qt.New(t)
	s := observe(9000, sample{0, 200})
	s.Observe(at(9010), 400)
	c.Check(s.ShouldWait(at(9020), 160*time.Millisecond), qt.IsFalse)
	s.Reset(at(9020))
	s.Observe(at(9030), 400)
	c.Check(s.ShouldWait(at(9040), 160*time.Millisecond), qt.IsTrue)
}
