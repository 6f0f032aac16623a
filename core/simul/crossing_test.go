package simul_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/simul"
)

// crossingRun is the length of a run of the tests for leaving a data centre: more than a wave.
const crossingRun = 6 * time.Second

// runCrossing runs a scenario with each policy for leaving a data centre.
func runCrossing(c *qt.C, s simul.Scenario, seed uint64) map[string]simul.Result {
	results := make(map[string]simul.Result)
	for _, p := range simul.CrossingPolicies() {
		r, err := s.Run(simul.CrossingSize(), p, simul.Options{Seed: seed, Length: crossingRun})
		c.Assert(err, qt.IsNil)
		results[p] = r
	}
	return results
}

// lateShare returns the share of the requests of a class that were not served on time.
func lateShare(r simul.Result, class int) float64 { return 1 - r.OnTime[class] }

// TestCrossingServesCallersWithFewBytes checks that deciding when leaving a data centre pays
// serves no class worse than staying at home or than a constant cost, that at least half of what
// is late at home in a wave, without a data centre or with a slow one is on time, and that two
// thirds of the bytes that the least time sends are enough for it. In calm, nothing leaves.
func TestCrossingServesCallersWithFewBytes(t *testing.T) {
	// noise is the difference between two shares that says nothing.
	const noise = 0.005
	for _, s := range simul.CrossingScenarios() {
		t.Run(s.Name, func(t *testing.T) {
			c := qt.New(t)
			r := runCrossing(c, s, 1)
			for class := range r["cross"].OnTime {
				late := lateShare(r["cross"], class)
				about := qt.Commentf("class %d: late %v, home %v, constant %v, time %v", class, late, lateShare(r["home"], class), lateShare(r["constant"], class), lateShare(r["time"], class))
				c.Check(late <= lateShare(r["home"], class)+noise, qt.IsTrue, about)
				c.Check(late <= lateShare(r["constant"], class)+noise, qt.IsTrue, about)
				c.Check(s.Name == "even" || 2*late <= lateShare(r["home"], class), qt.IsTrue, about)
			}
			about := qt.Commentf("%d bytes, %d by the least time", r["cross"].CrossBytes, r["time"].CrossBytes)
			c.Check(r["cross"].CrossBytes*3 <= r["time"].CrossBytes*2, qt.IsTrue, about)
			c.Check(s.Name != "even" || r["cross"].Crossings*200 <= r["cross"].Offered, qt.IsTrue, about)
			c.Check(r["cross"].SuccessRatio >= r["constant"].SuccessRatio-noise, qt.IsTrue)
		})
	}
}
