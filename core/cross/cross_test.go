package cross

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/pick"
)

// typicalTime is the typical service time of the requests of these tests, and target their
// latency target.
const (
	typicalTime = 100 * time.Millisecond
	target      = 300 * time.Millisecond
)

// start is the time at which these tests start.
var start = time.Unix(1000, 0)

// candidate returns a backend server with the given wait time that has just reported it.
func candidate(now time.Time, centre string, wait time.Duration) pick.Candidate {
	return pick.Candidate{
		SameCentre: centre == "home", Centre: centre, Limit: 10, ReportedAt: now, Wait: wait, TypicalTime: typicalTime, CrossCost: 10 * time.Millisecond,
	}
}

// between returns a backend server at home and one elsewhere with the given wait times.
func between(now time.Time, home, away time.Duration) []pick.Candidate {
	return []pick.Candidate{candidate(now, "home", home), candidate(now, "away", away)}
}

// priced returns candidates to which a request costs more than any gain.
func priced(candidates []pick.Candidate) []pick.Candidate {
	for i := range candidates {
		candidates[i].CrossCost = time.Hour
	}
	return candidates
}

func TestReasons(t *testing.T) {
	old := candidate(start.Add(-time.Second), "home", 0)
	busy := candidate(start, "away", time.Second)
	tests := []struct {
		name       string
		candidates []pick.Candidate
		target     time.Duration
		want       int
		reason     Reason
	}{
		{name: "nobody", want: -1, reason: Home},
		{name: "no recent report", candidates: []pick.Candidate{old}, want: -1, reason: Home},
		{name: "nobody elsewhere", candidates: []pick.Candidate{candidate(start, "home", time.Second)}, want: 0, reason: Home},
		{name: "nobody at home", candidates: []pick.Candidate{old, busy}, want: 1, reason: Forced},
		{name: "gain below the cost", candidates: between(start, 20*time.Millisecond, 0), want: 0, reason: Home},
		{name: "home has ample time", candidates: between(start, 40*time.Millisecond, 0), target: target, want: 0, reason: Home},
		{name: "gain above the cost", candidates: between(start, 500*time.Millisecond, 0), want: 1, reason: Pays},
		{name: "only elsewhere in time", candidates: between(start, 250*time.Millisecond, 0), target: target, want: 1, reason: Target},
		{name: "only elsewhere in time at any price", candidates: priced(between(start, 250*time.Millisecond, 0)), target: target, want: 1, reason: Target},
		{name: "too dear", candidates: priced(between(start, 250*time.Millisecond, 0)), want: 0, reason: Home},
		{name: "nowhere in time", candidates: between(start, 900*time.Millisecond, 800*time.Millisecond), target: target, want: 1, reason: Pays},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := New().Decide(start, 0, tt.candidates, tt.target)
			c.Check(d.Index, qt.Equals, tt.want)
			c.Check(d.Reason, qt.Equals, tt.reason)
		})
	}
}

// A random number above the share keeps a request at home, although leaving pays.
func TestRequestsAboveTheShareAreHeld(t *testing.T) {
	c := qt.New(t)
	d := New().Decide(start, 1<<63, between(start, 500*time.Millisecond, 0), 0)
	c.Check(d.Index, qt.Equals, 0)
	c.Check(d.Reason, qt.Equals, Held)
	c.Check(d.Share, qt.Equals, minShare)
	c.Check(d.Gain, qt.Equals, 500*time.Millisecond)
	c.Check(d.Cost, qt.Equals, 25*time.Millisecond)
}

// sentShare returns the share of the requests that leave within an interval, of a thousand
// requests a second whose wait times at home and elsewhere are given.
func sentShare(p *Policy, from time.Time, length, home, away time.Duration) float64 {
	r := rand.New(rand.NewPCG(1, uint64(from.UnixNano())))
	all, left := 0, 0
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		all++
		if d := p.Decide(now, r.Uint64(), between(now, home, away), 0); d.Index == 1 {
			left++
		}
	}
	return float64(left) / float64(all)
}

// A wave that fills the own data centre is shed step by step, and its end takes all requests
// home at once.
func TestShareFollowsAWave(t *testing.T) {
	c := qt.New(t)
	p := New()
	const wait, most = time.Second, 0.7
	first := sentShare(p, start, 100*time.Millisecond, wait, 0)
	c.Check(first < most, qt.IsTrue, qt.Commentf("%v at first", first))
	sentShare(p, start.Add(100*time.Millisecond), 900*time.Millisecond, wait, 0)
	high := sentShare(p, start.Add(time.Second), time.Second, wait, 0)
	c.Check(high > 0.9, qt.IsTrue, qt.Commentf("%v in the wave", high))
	after := sentShare(p, start.Add(2*time.Second), 3*time.Second, 0, 0)
	c.Check(after, qt.Equals, 0.0)
	again := sentShare(p, start.Add(5*time.Second), 100*time.Millisecond, wait, 0)
	c.Check(again < most, qt.IsTrue, qt.Commentf("%v in the next wave", again))
}

// The share falls with the gain, before leaving ceases to pay.
func TestShareIsSmoothInTheGain(t *testing.T) {
	c := qt.New(t)
	last := 1.0
	for _, away := range []time.Duration{0, 300, 600, 800, 900, 960, 980} {
		p := New()
		sentShare(p, start, time.Second, time.Second, 0)
		share := sentShare(p, start.Add(time.Second), 10*time.Second, time.Second, away*time.Millisecond)
		c.Check(share <= last+0.05, qt.IsTrue, qt.Commentf("%v after %v at %v", share, last, away))
		last = share
	}
	c.Check(last, qt.Equals, 0.0)
}

// A data centre that has left the list and returns gets the smallest share at first.
func TestReturningDataCentreIsFilledStepByStep(t *testing.T) {
	c := qt.New(t)
	p := New()
	sentShare(p, start, 2*time.Second, time.Second, 0)
	c.Check(p.Decide(start.Add(2*time.Second), 0, between(start.Add(2*time.Second), time.Second, 0), 0).Share > 0.9, qt.IsTrue)
	p.Retain(func(centre string) bool { return centre != "away" })
	now := start.Add(2*time.Second + 10*time.Millisecond)
	c.Check(p.Decide(now, 0, between(now, time.Second, 0), 0).Share, qt.Equals, minShare)
}

// Guards elsewhere are not probed for a request that gains nothing, also by what the last
// reports from elsewhere said.
func TestMayPay(t *testing.T) {
	c := qt.New(t)
	p := New()
	c.Check(p.MayPay(start, nil, 0), qt.IsFalse)
	c.Check(p.MayPay(start, between(start, 20*time.Millisecond, 0), 0), qt.IsFalse)
	c.Check(p.MayPay(start, between(start, 200*time.Millisecond, 0), 0), qt.IsTrue)
	c.Check(p.MayPay(start, between(start, 40*time.Millisecond, 0), target), qt.IsFalse)
	p.Decide(start, 0, between(start, 200*time.Millisecond, 190*time.Millisecond), 0)
	c.Check(p.MayPay(start, between(start, 200*time.Millisecond, 0), 0), qt.IsFalse)
	c.Check(p.MayPay(start, between(start, 250*time.Millisecond, 0), target), qt.IsTrue)
	later := start.Add(2 * forgetTime)
	c.Check(p.MayPay(later, between(later, 200*time.Millisecond, 0), 0), qt.IsTrue)
}

// The share stays within its bounds and never more than doubles in a doublingTime, whatever is
// decided.
func TestShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		now, last := start, minShare
		for range rapid.IntRange(1, 50).Draw(t, "decisions") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(doublingTime)).Draw(t, "gap")))
			wait := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
			d := p.Decide(now, rapid.Uint64().Draw(t, "random"), between(now, wait, 0), 0)
			if d.Reason == Home {
				continue
			}
			if d.Share < minShare || d.Share > 1 || d.Share > 2*last*1.0001 {
				t.Fatalf("share %v after %v", d.Share, last)
			}
			last = d.Share
		}
	})
}
