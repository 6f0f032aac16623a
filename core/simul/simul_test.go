package simul_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/simul"
)

// shortRun is the length of a run in tests.
const shortRun = 200 * time.Millisecond

// retryBound returns the largest number of retries per request: the retry fraction plus
// the reserve of each of 13 entries.
func retryBound(r simul.Result) float64 {
	const reserve = 13 * 10
	return 0.1 + reserve/float64(r.Offered)
}

func ExampleScenario_Run() {
	s := simul.Scenario{Name: "calm", Load: 0.2}
	r, err := s.Run(simul.Sizes()[0], "aware", simul.Options{Seed: 1, Length: time.Second})
	fmt.Println(r.SuccessRatio, r.Unknown, err)
	// Output: 1 0 <nil>
}

func TestRunUnknownPolicy(t *testing.T) {
	c := qt.New(t)
	_, err := simul.Scenarios()[0].Run(simul.Sizes()[0], "nothing", simul.Options{})
	var unknown *simul.PolicyError
	c.Assert(errors.As(err, &unknown), qt.IsTrue)
}

func TestRunIsRepeatable(t *testing.T) {
	c := qt.New(t)
	o := simul.Options{Seed: 7, Length: shortRun}
	all := simul.Scenarios()
	s := all[len(all)-1]
	first, err := s.Run(simul.Sizes()[0], "aware", o)
	c.Assert(err, qt.IsNil)
	second, err := s.Run(simul.Sizes()[0], "aware", o)
	c.Assert(err, qt.IsNil)
	c.Assert(second, qt.DeepEquals, first)
}

// TestInvariants checks in every scenario with two policies that each request ends once,
// that retries stay within their budget, and that no guard starts requests above the
// capacity of a cold backend server after it has detected the cold start.
func TestInvariants(t *testing.T) {
	for _, s := range simul.Scenarios() {
		for _, p := range []string{"aware", "robin"} {
			t.Run(s.Name+"/"+p, func(t *testing.T) {
				c := qt.New(t)
				r, err := s.Run(simul.Sizes()[0], p, simul.Options{Seed: 1, Length: shortRun})
				c.Assert(err, qt.IsNil)
				succeeded := int(r.SuccessRatio*float64(r.Offered) + 0.5)
				c.Assert(succeeded+r.Rejected+r.Unknown, qt.Equals, r.Offered)
				c.Assert(r.Retries <= retryBound(r), qt.IsTrue, qt.Commentf("retries %v", r.Retries))
				c.Assert(r.ExcessAfterDetection, qt.Equals, 0)
			})
		}
	}
}
