package node_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/allot"
	"bulrushlock/core/creds"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
)

// limitRules are rules whose customer has a limit.
var limitRules = ruleText + "customer patan keys=" + creds.Digest("one") + " rate=6 burst=6 # Asha: test\n"

// newLimitFleet returns nodes with limitRules that know each other.
func newLimitFleet(c *qt.C, names ...string) map[string]*harness {
	fleet := make(map[string]*harness)
	for _, name := range names {
		h := &harness{c: c, now: time.Unix(0, 0)}
		h.node = node.New(node.Config{Instance: name, Incarnation: 1, Centre: "north", Service: "ledger"}, pick.NewLoadAware())
		h.node.Start(event.Tick{At: h.now}, nil)
		h.read(event.Rules, 1, limitRules)
		h.readInstances(1, names...)
		h.advance(10 * time.Second)
		fleet[name] = h
	}
	return fleet
}

// settle carries out the asks in out between the nodes of fleet and returns all other effects.
func settle(fleet map[string]*harness, h *harness, out []effect.Effect) []effect.Effect {
	var rest []effect.Effect
	for len(out) > 0 {
		e := out[0]
		out = out[1:]
		ask, ok := e.(effect.AskTokens)
		if !ok {
			rest = append(rest, e)
			continue
		}
		owner, answer := fleet[ask.Ask.Owner.Name], allot.Answer{Ask: ask.Ask, AskedAt: h.now}
		asked := event.TokensAsked{
			At: h.now, Number: 1, ReplyTo: netip.MustParseAddrPort("10.0.0.1:1"), Peer: "a",
			Customer: ask.Ask.Customer, Shard: ask.Ask.Shard, Count: ask.Ask.Count, Centres: ask.Centres,
		}
		centres := 0
		for _, lent := range owner.node.Step(asked, nil) {
			if lent, ok := lent.(effect.LendTokens); ok {
				answer.Responded, answer.Grant, centres = true, lent.Grant, lent.Centres
			}
		}
		out = append(out, h.node.Step(event.TokensAnswered{At: h.now, Answer: answer, Centres: centres}, nil)...)
	}
	return rest
}

// TestNodesShareLimit checks that the nodes together admit the burst, whichever is called, and that
// the rest is told that it did not run.
func TestNodesShareLimit(t *testing.T) {
	c := qt.New(t)
	fleet := newLimitFleet(c, "a", "b", "c", "d")
	forwarded, refused := 0, 0
	for range 10 {
		for _, name := range []string{"a", "b", "c", "d"} {
			h := fleet[name]
			out := settle(fleet, h, h.request("one"))
			forwarded += countForwards(out)
			for _, r := range replies(out) {
				c.Check(r, qt.Equals, effect.ReasonAllotment)
				refused++
			}
		}
	}
	c.Check(forwarded, qt.Equals, 12)
	c.Check(refused, qt.Equals, 28)
}

// TestRulesWithoutLimitsAskNobody checks that nothing is sent or held where no customer has a rate.
func TestRulesWithoutLimitsAskNobody(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	out := h.request("one")
	c.Check(countForwards(out), qt.Equals, 1)
	for _, e := range out {
		_, isAsk := e.(effect.AskTokens)
		c.Check(isAsk, qt.IsFalse)
	}
}

// TestRequestIsSentOnceItsCustomerHasNoLimit checks that a request which waits for a token does not
// wait on when new rules drop the limit.
func TestRequestIsSentOnceItsCustomerHasNoLimit(t *testing.T) {
	c := qt.New(t)
	fleet := newLimitFleet(c, "a", "b", "c", "d", "e", "f", "g", "h")
	for _, h := range fleet {
		out := h.request("one")
		if countForwards(out) > 0 {
			continue
		}
		h.sequence++
		after := h.node.Step(event.DocumentRead{At: h.now, Document: event.Rules, Text: customerRules, Revision: 2}, nil)
		c.Check(countForwards(after), qt.Equals, 1)
		return
	}
	c.Fatal("no request waited")
}
