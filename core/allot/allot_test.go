package allot_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/allot"
	"bulrushlock/core/fleet"
)

// acme is a customer with a limit.
var acme = allot.Limit{Customer: "acme", Rate: 30, Burst: 30}

// instances returns count instances of one data centre.
func instances(count int) []fleet.Instance {
	var list []fleet.Instance
	for i := range count {
		list = append(list, fleet.Instance{Name: fmt.Sprintf("ledger-%d", i), Centre: "north", Service: "ledger"})
	}
	return list
}

func ExampleAllot() {
	now := time.Unix(0, 0)
	a := allot.New("ledger-0", "north")
	a.SetView(now, []allot.Limit{{Customer: "acme", Rate: 3, Burst: 3}}, instances(1))
	granted := 0
	for id := range uint64(20) {
		if a.Claim(now.Add(time.Minute), "acme", id).Verdict == allot.Granted {
			granted++
		}
	}
	fmt.Println(granted)
	// Output: 9
}

func TestCustomerWithoutLimitIsFree(t *testing.T) {
	c := qt.New(t)
	a := allot.New("ledger-0", "north")
	c.Check(a.HasLimits(), qt.IsFalse)
	c.Check(a.Claim(startTime, "acme", 1).Verdict, qt.Equals, allot.Free)
	a.SetView(startTime, []allot.Limit{{Customer: "acme", Burst: 5}}, instances(1))
	c.Check(a.HasLimits(), qt.IsFalse)
	c.Check(a.Claim(startTime, "acme", 1).Verdict, qt.Equals, allot.Free)
	_, isExhausted := a.IsExhausted(startTime, "acme")
	c.Check(isExhausted, qt.IsFalse)
}

// askOf returns the ask of a request at a node that owns nothing.
func askOf(c *qt.C, a *allot.Allot, now time.Time, id uint64) allot.Ask {
	d := a.Claim(now, "acme", id)
	c.Assert(d.Verdict, qt.Equals, allot.Waiting)
	c.Assert(d.Ask, qt.IsNotNil)
	return *d.Ask
}

func TestLentTokensExpire(t *testing.T) {
	tests := []struct {
		name    string
		after   time.Duration
		granted bool
	}{
		{"within the lease", 249 * time.Millisecond, true},
		{"after the lease", 250 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := allot.New("desk", "north")
			a.SetView(startTime, []allot.Limit{acme}, instances(3))
			ask := askOf(c, a, startTime, 1)
			// The lease counts from the ask, not from the answer.
			answered := startTime.Add(20 * time.Millisecond)
			s := a.Answered(answered, allot.Answer{Ask: ask, AskedAt: startTime, Responded: true, Grant: allot.Grant{Owner: true, Count: 2}})
			c.Check(s.Granted, qt.DeepEquals, []uint64{1})
			d := a.Claim(startTime.Add(tt.after), "acme", 2)
			c.Check(d.Verdict == allot.Granted, qt.Equals, tt.granted)
		})
	}
}

func TestRequestsWaitForOneAnswer(t *testing.T) {
	c := qt.New(t)
	a := allot.New("desk", "north")
	a.SetView(startTime, []allot.Limit{acme}, instances(3))
	ask := askOf(c, a, startTime, 1)
	for id := uint64(2); id <= 4; id++ {
		d := a.Claim(startTime, "acme", id)
		c.Check(d.Verdict, qt.Equals, allot.Waiting)
		c.Check(d.Ask, qt.IsNil)
	}
	a.Withdraw("acme", 2)
	s := a.Answered(startTime, allot.Answer{Ask: ask, AskedAt: startTime, Responded: true, Grant: allot.Grant{Owner: true, Count: 1}})
	c.Check(s.Granted, qt.DeepEquals, []uint64{1})
	c.Assert(s.Ask, qt.IsNotNil)
	c.Check(s.Ask.Count, qt.Equals, 2)
}

// TestSilentOwnersAreNotAskedAgainAtOnce checks that a request asks each owner once and is then
// refused, and that the next one is refused without a message until the owners may be back.
func TestSilentOwnersAreNotAskedAgainAtOnce(t *testing.T) {
	c := qt.New(t)
	a := allot.New("desk", "north")
	a.SetView(startTime, []allot.Limit{acme}, instances(3))
	now := startTime
	ask := askOf(c, a, now, 1)
	asked := map[string]bool{ask.Owner.Name: true}
	for {
		now = now.Add(25 * time.Millisecond)
		s := a.Answered(now, allot.Answer{Ask: ask, AskedAt: now.Add(-25 * time.Millisecond)})
		if s.Ask == nil {
			c.Check(s.Refused, qt.DeepEquals, []uint64{1})
			c.Check(s.Refusal.Silent, qt.IsTrue)
			break
		}
		c.Check(asked[s.Ask.Owner.Name], qt.IsFalse)
		asked[s.Ask.Owner.Name] = true
		ask = *s.Ask
	}
	r, isExhausted := a.IsExhausted(now, "acme")
	c.Check(isExhausted, qt.IsTrue)
	c.Check(r.Silent, qt.IsTrue)
	askOf(c, a, now.Add(time.Second), 2)
}

func TestWaitingRequestsOfCustomerWithoutLimitAreFreed(t *testing.T) {
	c := qt.New(t)
	a := allot.New("desk", "north")
	a.SetView(startTime, []allot.Limit{acme}, instances(3))
	askOf(c, a, startTime, 7)
	c.Check(a.SetView(startTime, nil, instances(3)), qt.DeepEquals, []uint64{7})
	c.Check(a.HasLimits(), qt.IsFalse)
}

// TestOwnersAgree checks that nodes with the same list agree on who owns which part, whatever lists
// they held before.
func TestOwnersAgree(t *testing.T) {
	c := qt.New(t)
	all := instances(9)
	limits := []allot.Limit{{Customer: "acme", Rate: 400, Burst: 400}}
	nodes := make(map[string]*allot.Allot)
	for i, in := range all {
		a := allot.New(in.Name, "north")
		a.SetView(startTime, limits, all[:1+i])
		a.SetView(startTime, limits, all[i/2:])
		a.SetView(startTime, limits, all)
		nodes[in.Name] = a
	}
	owners := make(map[int]int)
	for _, a := range nodes {
		for shard := range 64 {
			if a.Lend(startTime, "acme", shard, 0).Owner {
				owners[shard]++
			}
		}
	}
	c.Check(owners, qt.HasLen, 25)
	for shard, count := range owners {
		c.Check(count, qt.Equals, 1, qt.Commentf("part %d", shard))
	}
}

// TestOwnerOutOfTouchLendsLittle checks what an owner lends a second while its list is old.
func TestOwnerOutOfTouchLendsLittle(t *testing.T) {
	tests := []struct {
		name  string
		age   time.Duration
		heard int
		least int
		most  int
	}{
		{"recent list", time.Second, 0, 28, 32},
		{"old list, hears its peers", time.Minute, 3, 28, 32},
		{"old list, hears too few", time.Minute, 2, 0, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			all := instances(8)
			lent := 0
			for _, in := range all {
				a := allot.New(in.Name, "north")
				a.SetView(startTime, []allot.Limit{acme}, all)
				now := startTime.Add(time.Minute)
				for range 40 {
					now = now.Add(50 * time.Millisecond)
					others := slices.DeleteFunc(slices.Clone(all), func(o fleet.Instance) bool { return o.Name == in.Name })
					for _, peer := range others[:tt.heard] {
						a.HeardFrom(now, peer.Name)
					}
					a.SetListAge(now, tt.age)
					for shard := range 3 {
						count := a.Lend(now, "acme", shard, 64).Count
						if now.Sub(startTime) > time.Minute+time.Second {
							lent += count
						}
					}
				}
			}
			c.Check(lent >= tt.least && lent <= tt.most, qt.IsTrue, qt.Commentf("%d lent", lent))
		})
	}
}

// TestMalformedAsks checks that asks of any content lend no more than there is.
func TestMalformedAsks(t *testing.T) {
	c := qt.New(t)
	a := allot.New("ledger-0", "north")
	a.SetView(startTime, []allot.Limit{acme}, instances(1))
	now := startTime.Add(time.Minute)
	c.Check(a.Lend(now, "other", 0, 1), qt.Equals, allot.Grant{})
	c.Check(a.Lend(now, "acme", 1<<30, 1), qt.Equals, allot.Grant{})
	c.Check(a.Lend(now, "acme", -1, 1), qt.Equals, allot.Grant{})
	c.Check(a.Lend(now, "acme", 0, -5).Count, qt.Equals, 0)
	c.Check(a.Lend(now, "acme", 0, 1<<30).Count, qt.Equals, 12)
	a.Heard(now, 1<<30)
	c.Check(a.Centres(), qt.Equals, 1)
}
