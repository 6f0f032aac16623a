package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/allot"
	"bulrushlock/core/creds"
	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// tokenRules are rules with a customer with a limit, one without, and one whose limit is never
// enough.
var tokenRules = `
service ledger slots=4 # Asha: test
route GET /lines service=ledger idempotent=yes # Asha: test
route GET /open service=ledger idempotent=yes public=yes # Asha: test
customer patan keys=` + creds.Digest("one") + ` rate=10 burst=10 # Asha: test
customer lalit keys=` + creds.Digest("two") + ` # Asha: test
`

// newTokenEntry returns an entry with the limits of tokenRules, beside an owner of parts if self is
// "b", and the instances that are listed.
func newTokenEntry(c *qt.C, self string) *entry.Entry {
	set, err := rules.Parse(tokenRules)
	c.Assert(err, qt.IsNil)
	var instances []fleet.Instance
	for i, name := range []string{"b", "d"} {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		instances = append(instances, fleet.Instance{Name: name, Centre: "north", Service: "ledger", ForwardAddr: address, ControlAddr: address})
	}
	if self == "b" {
		instances = instances[:1]
	}
	a := allot.New(self, "north")
	a.SetView(now.Add(-time.Minute), []allot.Limit{{Customer: "patan", Rate: 10, Burst: 10}}, instances)
	a.SetListAge(now, 0)
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: self}, Centre: "north", Allot: a}, pick.NewLoadAware())
	n.SetRules(set, instances)
	n.SetVersions(event.Versions{})
	return n
}

// tokenRequest returns a request with a credential.
func tokenRequest(id uint64, credential string) event.Request {
	e := credentialRequest(id, "/lines", credential)
	e.Call.TimeLeft = time.Second
	return e
}

func TestRequestWaitsForToken(t *testing.T) {
	c := qt.New(t)
	n := newTokenEntry(c, "self")
	out := n.Request(tokenRequest(1, "one"), nil)
	ask := findEffect[effect.AskTokens](c, out)
	c.Check(ask.Ask.Customer, qt.Equals, "patan")
	c.Check(ask.Ask.Count, qt.Equals, 1)
	c.Check(ask.Centres, qt.Equals, 1)
	for _, e := range out {
		_, isForward := e.(effect.Forward)
		c.Check(isForward, qt.IsFalse)
	}
	// A second request waits for the same answer.
	c.Check(n.Request(tokenRequest(2, "one"), nil), qt.HasLen, 0)
	answer := allot.Answer{Ask: ask.Ask, AskedAt: now, Responded: true, Grant: allot.Grant{Owner: true, Count: 2}}
	out = n.TokensAnswered(event.TokensAnswered{At: now, Answer: answer}, nil)
	forwarded := make(map[uint64]bool)
	for _, e := range out {
		if f, ok := e.(effect.Forward); ok {
			forwarded[f.ID] = true
		}
	}
	c.Check(forwarded, qt.DeepEquals, map[uint64]bool{1: true, 2: true})
}

func TestRequestWithoutLimitWaitsForNoToken(t *testing.T) {
	c := qt.New(t)
	n := newTokenEntry(c, "self")
	findEffect[effect.Forward](c, n.Request(tokenRequest(1, "two"), nil))
	e := tokenRequest(2, "")
	e.Path = "/open"
	findEffect[effect.Forward](c, n.Request(e, nil))
}

func TestRequestBeyondLimitGetsAllotment(t *testing.T) {
	c := qt.New(t)
	n := newTokenEntry(c, "b")
	forwarded, refused := 0, 0
	for id := range uint64(40) {
		out := n.Request(tokenRequest(id+1, "one"), nil)
		for _, e := range out {
			switch e := e.(type) {
			case effect.Forward:
				forwarded++
			case effect.ReplyFromEntry:
				refused++
				c.Check(e.Outcome, qt.Equals, effect.NotRun)
				c.Check(e.Reason, qt.Equals, effect.ReasonAllotment)
				c.Check(e.RetryAfter > 0 && e.RetryAfter < time.Second, qt.IsTrue, qt.Commentf("%v", e.RetryAfter))
				facts := make(map[string]effect.Fact)
				for _, f := range findEffect[effect.Decision](c, out).Facts {
					facts[f.Key] = f
				}
				c.Check(facts["customer"].Text, qt.Equals, "patan")
				c.Check(facts["limit_mhz"].Value, qt.Equals, int64(10000))
				c.Check(facts["burst"].Value, qt.Equals, int64(10))
				c.Check(facts["owner"].Text, qt.Equals, "b")
				c.Check(facts["lent"].Value > 0, qt.IsTrue)
			}
		}
	}
	// The buckets of the parts hold the burst and up to two tokens each.
	c.Check(forwarded, qt.Equals, 15)
	c.Check(refused, qt.Equals, 25)
}

func TestRequestWithoutResponseOfOwnersIsNotCalledExhausted(t *testing.T) {
	c := qt.New(t)
	n := newTokenEntry(c, "self")
	out := n.Request(tokenRequest(1, "one"), nil)
	at := now
	for range 5 {
		var ask *effect.AskTokens
		for _, e := range out {
			switch e := e.(type) {
			case effect.AskTokens:
				ask = &e
			case effect.ReplyFromEntry:
				c.Check(e.Outcome, qt.Equals, effect.NotRun)
				c.Check(e.Reason, qt.Equals, effect.ReasonOwners)
				return
			}
		}
		c.Assert(ask, qt.IsNotNil)
		at = at.Add(25 * time.Millisecond)
		out = n.TokensAnswered(event.TokensAnswered{At: at, Answer: allot.Answer{Ask: ask.Ask, AskedAt: at}}, nil)
	}
	c.Fatal("the request was not settled")
}

func TestRequestThatEndedLeavesItsToken(t *testing.T) {
	c := qt.New(t)
	n := newTokenEntry(c, "self")
	ask := findEffect[effect.AskTokens](c, n.Request(tokenRequest(1, "one"), nil))
	n.RequestEnded(event.RequestEnded{At: now, ID: 1}, nil)
	answer := allot.Answer{Ask: ask.Ask, AskedAt: now, Responded: true, Grant: allot.Grant{Owner: true, Count: 1}}
	c.Check(n.TokensAnswered(event.TokensAnswered{At: now, Answer: answer}, nil), qt.HasLen, 0)
	findEffect[effect.Forward](c, n.Request(tokenRequest(2, "one"), nil))
}
