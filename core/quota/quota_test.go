package quota_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/quota"
)

const (
	// window, allowedFactor and allowedExtra say how much a backend server may get beyond its
	// limit: in any window, allowedFactor times what the limit allows and allowedExtra requests.
	window        = 4 * time.Second
	allowedFactor = 1.5
	allowedExtra  = 5
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

// checkStarts fails if more requests started within a window than a limit of rate requests per
// second allows.
func checkStarts(t interface{ Fatalf(string, ...any) }, starts []time.Time, rate float64) {
	most := int(allowedFactor*rate*window.Seconds() + allowedExtra)
	for i, first := range starts {
		if i+most < len(starts) && starts[i+most].Sub(first) < window {
			t.Fatalf("more than %d starts within %v at a limit of %g per second", most, window, rate)
		}
	}
}

// A backend server must not get more than it states, however the requests come, and must get
// about as much as it states if there is always one waiting.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.25, 0.9, 1, 3.3, 7.7, 40, 600}).Draw(t, "rate")
		longest := rapid.SampledFrom([]int{2, 20, 3000}).Draw(t, "longest gap")
		q := quota.New()
		now := start
		var starts []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, longest).Draw(t, "gap")) * time.Millisecond)
			q.Observe(now, now, rapid.Bool().Draw(t, "health check"), rate, true)
			if q.Take(now) {
				starts = append(starts, now)
			}
		}
		checkStarts(t, starts, rate)
		if longest == 2 {
			if least := int(rate*now.Sub(start).Seconds()) - 1; len(starts) < min(least, 400) {
				t.Fatalf("%d starts, where the limit allows %d", len(starts), least)
			}
		}
	})
}

// A backend server that states another number with each response must not get more than the
// highest of them allows.
func TestChangingLimitAllowsNoBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const highest = 10
		q := quota.New()
		now := start
		var starts []time.Time
		for range 1000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond)
			q.Observe(now, now, false, rapid.Float64Range(0, highest).Draw(t, "rate"), true)
			if q.Take(now) {
				starts = append(starts, now)
			}
		}
		checkStarts(t, starts, highest)
	})
}

func TestEndOfLimit(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name  string
		state func(q *quota.Quota)
		want  bool
	}{
		{"no response", func(*quota.Quota) {}, false},
		{"response with a limit", func(q *quota.Quota) { q.Observe(at(10), at(0), false, 3, true) }, true},
		{"later request without one", func(q *quota.Quota) {
			q.Observe(at(10), at(0), false, 3, true)
			q.Observe(at(30), at(20), false, 0, false)
		}, false},
		{"earlier request without one", func(q *quota.Quota) {
			q.Observe(at(10), at(0), false, 3, true)
			q.Observe(at(30), at(5), false, 0, false)
		}, true},
		{"health checks that never state it", func(q *quota.Quota) {
			q.Observe(at(10), at(0), false, 3, true)
			q.Observe(at(30), at(30), true, 0, false)
		}, true},
		{"health checks that no longer state it", func(q *quota.Quota) {
			q.Observe(at(10), at(0), false, 0, true)
			q.Observe(at(20), at(20), true, 0, true)
			q.Observe(at(30), at(30), true, 0, false)
		}, false},
		{"suggestion before the first response", func(q *quota.Quota) { q.Suggest(3) }, true},
		{"response after a suggestion", func(q *quota.Quota) {
			q.Suggest(3)
			q.Observe(at(30), at(20), false, 0, false)
		}, false},
		{"suggestion after a response", func(q *quota.Quota) {
			q.Observe(at(30), at(20), false, 0, false)
			q.Suggest(3)
		}, false},
		{"suggestion after a health check that states none", func(q *quota.Quota) {
			q.Observe(at(30), at(20), true, 0, false)
			q.Suggest(3)
		}, true},
		{"suggestion of none", func(q *quota.Quota) { q.Suggest(0) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quota.New()
			tt.state(q)
			_, isLimited := q.Rate()
			qt.Check(t, isLimited, qt.Equals, tt.want)
		})
	}
}

// A limit of zero must not keep its own end from being heard.
func TestZeroLimitLetsARequestThroughNowAndThen(t *testing.T) {
	c := qt.New(t)
	q := quota.New()
	q.Observe(start, start, false, 0, true)
	c.Check(q.Take(start), qt.IsTrue)
	c.Check(q.Take(start.Add(time.Second)), qt.IsFalse)
	c.Check(q.Take(start.Add(5*time.Second)), qt.IsTrue)
}

func TestWaitCountsThoseAhead(t *testing.T) {
	c := qt.New(t)
	q := quota.New()
	c.Check(q.Wait(start, 100), qt.Equals, time.Duration(0))
	q.Observe(start, start, false, 4, true)
	c.Assert(q.Take(start), qt.IsTrue)
	c.Check(q.Wait(start, 0), qt.Equals, 250*time.Millisecond)
	c.Check(q.Wait(start, 3), qt.Equals, time.Second)
	c.Check(q.HasSpareCapacity(start.Add(250*time.Millisecond)), qt.IsFalse)
	c.Check(q.HasSpareCapacity(start.Add(500*time.Millisecond)), qt.IsTrue)
}
