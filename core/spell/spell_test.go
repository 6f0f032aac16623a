package spell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/spell"
)

var now = time.Unix(1000, 0)

// at returns a time in milliseconds from now.
func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// told is a slowness in percent that is told from a time in milliseconds on.
type told struct{ ms, slow int }

// observed returns a Spell that was told its slowness every 10 ms until the given time.
func observed(end int, of ...told) *spell.Spell {
	s := spell.New()
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

func TestIsWorthWaiting(t *testing.T) {
	tests := []struct {
		name  string
		end   int
		of    []told
		takes time.Duration
		want  bool
	}{
		{"nothing is known", 100, nil, time.Second, false},
		{"as usual", 100, []told{{0, 100}}, time.Second, false},
		{"a little slow", 100, []told{{0, 100}, {50, 140}}, time.Second, false},
		{"long work in a slow spell", 100, []told{{0, 100}, {50, 400}}, 160 * time.Millisecond, true},
		{"short work in a slow spell", 100, []told{{0, 100}, {50, 400}}, 40 * time.Millisecond, false},
		{"after the spell", 200, []told{{0, 100}, {50, 400}, {150, 100}}, 160 * time.Millisecond, false},
		{"a spell that has lasted long", 1300, []told{{0, 100}, {50, 400}}, 160 * time.Millisecond, false},
		{"slow from the start", 100, []told{{0, 400}}, 160 * time.Millisecond, true},
		{"cold from the start", 100, []told{{0, 200}}, 400 * time.Millisecond, false},
		{"a spell late in a cold start", 1900, []told{{0, 200}, {1850, 800}}, 160 * time.Millisecond, true},
		{"slow for good", 9000, []told{{0, 100}, {50, 400}}, 10 * time.Second, false},
		{"a spell in a cold start", 100, []told{{0, 200}, {50, 800}}, 320 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := observed(tt.end, tt.of...)
			qt.Check(t, s.IsWorthWaiting(at(tt.end), tt.takes), qt.Equals, tt.want)
		})
	}
}

func TestLeftIsLearnedFromSpells(t *testing.T) {
	c := qt.New(t)
	s := spell.New()
	c.Check(s.Left(now), qt.Equals, time.Duration(0))
	ms := 0
	for range 40 {
		s.Observe(at(ms), 100)
		s.Observe(at(ms+500), 400)
		s.Observe(at(ms+600), 100)
		ms += 1000
	}
	s.Observe(at(ms), 400)
	left := s.Left(at(ms))
	c.Check(left > 90*time.Millisecond && left < 110*time.Millisecond, qt.IsTrue, qt.Commentf("%v", left))
	c.Check(s.Base(), qt.Equals, 100)
}

// A cold start is slow throughout, so that its end makes slow what was not before.
func TestResetAfterAColdStart(t *testing.T) {
	c := qt.New(t)
	s := observed(9000, told{0, 200})
	s.Observe(at(9010), 400)
	c.Check(s.IsWorthWaiting(at(9020), 160*time.Millisecond), qt.IsFalse)
	s.Reset(at(9020))
	s.Observe(at(9030), 400)
	c.Check(s.IsWorthWaiting(at(9040), 160*time.Millisecond), qt.IsTrue)
}
