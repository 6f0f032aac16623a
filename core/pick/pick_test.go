package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/pick"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// policies returns an instance of each baseline policy and of LoadAware, by name.
func policies() map[string]pick.Policy {
	return map[string]pick.Policy{
		"aware":    pick.NewLoadAware(),
		"robin":    pick.NewRoundRobin(),
		"least":    pick.NewLeastOutstanding(),
		"local":    pick.NewTwoChoices(),
		"reported": pick.NewTwoChoicesByReport(),
		"probing":  pick.NewHotCold(),
	}
}

func ExampleLoadAware() {
	p := pick.NewLoadAware()
	candidates := []pick.Candidate{
		{SameCentre: true, Limit: 10, InFlight: 9, ReportedAt: now},
		{SameCentre: true, Limit: 10, InFlight: 2, ReportedAt: now},
		{SameCentre: false, Limit: 10, InFlight: 0, ReportedAt: now},
	}
	i, ok := p.Pick(now, 7, candidates)
	fmt.Println(i, ok)
	// Output: 1 true
}

func TestLoadAware(t *testing.T) {
	idle := pick.Candidate{SameCentre: true, Limit: 10, ReportedAt: now}
	full := pick.Candidate{SameCentre: true, Limit: 10, InFlight: 10, ReportedAt: now}
	queued := pick.Candidate{SameCentre: true, Limit: 10, InFlight: 10, Queued: 3, ReportedAt: now}
	far := pick.Candidate{Limit: 10, ReportedAt: now}
	failing := pick.Candidate{SameCentre: true, Limit: 10, ReportedAt: now, FailedAt: now, Failures: 1}
	broken := pick.Candidate{SameCentre: true, Limit: 10, ReportedAt: now, FailedAt: now, Failures: 5}
	slow := pick.Candidate{SameCentre: true, Limit: 10, Latency: 50 * time.Millisecond, ReportedAt: now}
	fast := pick.Candidate{SameCentre: true, Limit: 10, InFlight: 9, Latency: 5 * time.Millisecond, ReportedAt: now}
	cold := pick.Candidate{SameCentre: true, Limit: 1, Outstanding: 1, Cold: true, ReportedAt: now}
	beside := pick.Candidate{SameCentre: true, SameInstance: true, Limit: 10, ReportedAt: now}
	fullBeside := pick.Candidate{SameCentre: true, SameInstance: true, Limit: 10, InFlight: 10, ReportedAt: now}
	busy := pick.Candidate{SameCentre: true, Limit: 10, InFlight: 5, ReportedAt: now}
	tests := []struct {
		name       string
		candidates []pick.Candidate
		want       int
	}{
		{name: "less loaded", candidates: []pick.Candidate{full, idle}, want: 1},
		{name: "own data centre first", candidates: []pick.Candidate{far, busy}, want: 1},
		{name: "spill by load", candidates: []pick.Candidate{far, queued}, want: 0},
		{name: "no spill without a queue", candidates: []pick.Candidate{far, full}, want: 1},
		{name: "slow candidate", candidates: []pick.Candidate{slow, fast}, want: 1},
		{name: "two failing candidates", candidates: []pick.Candidate{broken, failing}, want: 1},
		{name: "failing candidate", candidates: []pick.Candidate{failing, busy}, want: 1},
		{name: "cold candidate without a free slot", candidates: []pick.Candidate{cold, full}, want: 1},
		{name: "same instance", candidates: []pick.Candidate{idle, idle, beside}, want: 2},
		{name: "same instance is full", candidates: []pick.Candidate{idle, idle, fullBeside}, want: -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			p := pick.NewLoadAware()
			for range 100 {
				i, ok := p.Pick(now, random.Uint64(), tt.candidates)
				c.Assert(ok, qt.IsTrue)
				if tt.want < 0 {
					c.Assert(i, qt.Not(qt.Equals), 2)
				} else {
					c.Assert(i, qt.Equals, tt.want)
				}
			}
		})
	}
}

func TestPickIsInRange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) pick.Candidate {
			return pick.Candidate{
				SameCentre:   rapid.Bool().Draw(r, "near"),
				SameInstance: rapid.Bool().Draw(r, "beside"),
				Limit:        rapid.IntRange(0, 20).Draw(r, "limit"),
				InFlight:     rapid.IntRange(0, 20).Draw(r, "in flight"),
				Outstanding:  rapid.IntRange(0, 20).Draw(r, "outstanding"),
				Cold:         rapid.Bool().Draw(r, "cold"),
				ReportedAt:   now.Add(time.Duration(rapid.IntRange(-2000, 10).Draw(r, "reported")) * time.Millisecond),
				Failures:     rapid.IntRange(0, 100).Draw(r, "failures"),
			}
		}), 0, 20).Draw(r, "candidates")
		random := rapid.Uint64().Draw(r, "random")
		for name, p := range policies() {
			i, ok := p.Pick(now, random, candidates)
			if ok != (len(candidates) > 0) || ok && (i < 0 || i >= len(candidates)) {
				r.Fatalf("%s picked %d, %v of %d", name, i, ok, len(candidates))
			}
		}
	})
}

// LeastExpectedTime selects only among candidates with a recent load report.
func TestLeastExpectedTimeNeedsRecentReport(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) pick.Candidate {
			return pick.Candidate{
				Limit:      rapid.IntRange(0, 10).Draw(r, "limit"),
				InFlight:   rapid.IntRange(0, 20).Draw(r, "in flight"),
				ReportedAt: now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(r, "reported")) * time.Millisecond),
			}
		}), 0, 20).Draw(r, "candidates")
		recent := 0
		for _, k := range candidates {
			if now.Sub(k.ReportedAt) <= 60*time.Millisecond {
				recent++
			}
		}
		p := pick.NewLeastExpectedTime()
		random := rapid.Uint64().Draw(r, "random")
		i, ok := p.Pick(now, random, candidates)
		if ok != (recent > 0) || ok && now.Sub(candidates[i].ReportedAt) > 60*time.Millisecond {
			r.Fatalf("picked %d, %v; %d recent", i, ok, recent)
		}
		if n := testing.AllocsPerRun(10, func() { p.Pick(now, random, candidates) }); n != 0 {
			r.Fatalf("%v allocations", n)
		}
	})
}

func TestPickDoesNotAllocate(t *testing.T) {
	candidates := make([]pick.Candidate, 13)
	for name, p := range policies() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			count := testing.AllocsPerRun(100, func() { p.Pick(now, 12345, candidates) })
			c.Assert(count, qt.Equals, 0.0)
		})
	}
}

func BenchmarkPick(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]pick.Candidate, 13)
	for i := range candidates {
		candidates[i] = pick.Candidate{SameCentre: i < 4, Limit: 10, InFlight: random.IntN(10), ReportedAt: now}
	}
	for name, p := range policies() {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(now, random.Uint64(), candidates)
			}
		})
	}
}
