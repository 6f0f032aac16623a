package node_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/creds"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
)

// newRules are rules that bring the credential "new".
var newRules = customerRules + "customer new keys=" + creds.Digest("new") + " # Asha: test\n"

// customerRules are rules with a customer that holds the credential "one".
var customerRules = ruleText + "customer patan keys=" + creds.Digest("one") + " # Asha: test\n"

// newCustomerHarness returns a node with customers that knows the peers b, c, d and e.
func newCustomerHarness(c *qt.C, maxAge time.Duration) *harness {
	h := &harness{c: c, now: time.Unix(0, 0)}
	h.node = node.New(node.Config{Instance: "a", Incarnation: 1, Centre: "north", Service: "ledger", MaxCredentialAge: maxAge}, pick.NewLoadAware())
	h.node.Start(event.Tick{At: h.now}, nil)
	h.read(event.Rules, 1, customerRules)
	h.readInstances(1, "a", "b", "c", "d", "e")
	h.advance(10 * time.Second)
	return h
}

// request sends a request with a credential and returns the effects.
func (h *harness) request(credential string) []effect.Effect {
	h.sequence++
	return h.node.Step(event.Request{At: h.now, ID: h.sequence, Method: "POST", Path: "/lines", Credential: creds.Digest(credential)}, nil)
}

// tick advances the time by d in steps of 50 ms while nobody confirms anything, and returns the
// effects.
func (h *harness) tick(d time.Duration) []effect.Effect {
	var out []effect.Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(50 * time.Millisecond)
		out = append(out, h.node.Step(event.Tick{At: h.now}, nil)...)
	}
	return out
}

// replies returns the reasons of the replies in out.
func replies(out []effect.Effect) []effect.Reason {
	var reasons []effect.Reason
	for _, e := range out {
		if r, ok := e.(effect.ReplyFromEntry); ok {
			reasons = append(reasons, r.Reason)
		}
	}
	return reasons
}

// countForwards returns the number of attempts in out.
func countForwards(out []effect.Effect) int {
	n := 0
	for _, e := range out {
		if _, ok := e.(effect.Forward); ok {
			n++
		}
	}
	return n
}

func TestCredentialOfNewerRulesIsServed(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	h.tick(100 * time.Millisecond)
	out := h.request("new")
	out = append(out, h.tick(100*time.Millisecond)...)
	c.Assert(replies(out), qt.HasLen, 0)
	out = h.node.Step(event.DocumentRead{At: h.now, Document: event.Rules, Revision: 2, Text: newRules}, nil)
	c.Check(countForwards(out), qt.Equals, 1)
}

func TestUnknownCredentialIsRefusedSoon(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	h.tick(100 * time.Millisecond)
	out := h.request("bad")
	out = append(out, h.tick(500*time.Millisecond)...)
	c.Check(replies(out), qt.DeepEquals, []effect.Reason{effect.ReasonCredential})
}

// A peer that confirms overdue rules lets the node decide at once.
func TestPeerConfirmsRulesForCredential(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	h.tick(4 * time.Second)
	c.Assert(replies(h.request("bad")), qt.HasLen, 0)
	h.now = h.now.Add(20 * time.Millisecond)
	versions := h.node.Versions(h.now)
	versions.Age = 5 * time.Millisecond
	out := h.node.Step(event.VersionsReceived{At: h.now, Peer: "b", Versions: versions}, nil)
	c.Check(replies(out), qt.DeepEquals, []effect.Reason{effect.ReasonCredential})
}

// messages returns the number of effects in out that send something to a peer or to the platform.
func messages(out []effect.Effect) int {
	n := 0
	for _, e := range out {
		switch e.(type) {
		case effect.ExchangeVersions, effect.FetchDocument, effect.BroadcastVersions:
			n++
		}
	}
	return n
}

// A flood of unknown credentials must not become a flood of reads and messages, whether the rules
// are current or overdue.
func TestFloodOfUnknownCredentialsCausesNoMessages(t *testing.T) {
	c := qt.New(t)
	for _, age := range []time.Duration{100 * time.Millisecond, 2 * time.Second, 20 * time.Second} {
		calm, flooded := newCustomerHarness(c, 0), newCustomerHarness(c, 0)
		calm.tick(age)
		flooded.tick(age)
		want, got := 0, 0
		for range 100 {
			want += messages(calm.tick(50 * time.Millisecond))
			for range 50 {
				got += messages(flooded.request("bad"))
			}
			got += messages(flooded.tick(50 * time.Millisecond))
		}
		c.Check(got, qt.Equals, want, qt.Commentf("age %v", age))
	}
}

// A credential may have been withdrawn while the node was paused.
func TestCredentialWaitsForCheckAfterPause(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	h.now = h.now.Add(time.Minute)
	out := h.request("one")
	c.Assert(countForwards(out), qt.Equals, 0)
	out = h.node.Step(event.DocumentRead{At: h.now.Add(30 * time.Millisecond), Document: event.Rules, Revision: 2, Text: newRules[:len(ruleText)] + "customer patan keys=none # Asha: test\n"}, nil)
	c.Check(replies(out), qt.DeepEquals, []effect.Reason{effect.ReasonCredential})
	c.Check(countForwards(out), qt.Equals, 0)
}

// Without contact a node goes on with the credentials that it knows, unless the setting bounds the
// age of its rules.
func TestKnownCredentialOfIsolatedNode(t *testing.T) {
	c := qt.New(t)
	h := newCustomerHarness(c, 0)
	h.tick(time.Minute)
	c.Check(countForwards(h.request("one")), qt.Equals, 1)
	h = newCustomerHarness(c, 5*time.Second)
	h.tick(4 * time.Second)
	c.Check(countForwards(h.request("one")), qt.Equals, 1)
	h.tick(2 * time.Second)
	out := h.request("one")
	c.Check(countForwards(out), qt.Equals, 0)
	c.Check(replies(h.tick(500*time.Millisecond)), qt.DeepEquals, []effect.Reason{effect.ReasonStale})
}

// credentialModel drives a node by random events and knows what its callers may see.
type credentialModel struct {
	*harness
	t *rapid.T
	// revision is the newest one that was published; held is the one that the node has read.
	revision, held uint64
	// withdrawn maps each version to the credential that it lacks, of 0 to 3.
	withdrawn map[uint64]int
	// open maps the requests without a reply to their credentials, and arrivedAt to their times.
	open      map[uint64]int
	arrivedAt map[uint64]time.Time
}

// text returns the rules of a version: the credentials 0 to 3, except the one that is withdrawn.
func (m *credentialModel) text(revision uint64) string {
	text := ruleText
	for credential := range 4 {
		keys := creds.Digest(fmt.Sprint(credential))
		if credential == m.withdrawn[revision] {
			keys = "none"
		}
		text += fmt.Sprintf("customer c%d keys=%s # Asha: test\n", credential, keys)
	}
	return text
}

// step passes an event to the node and checks the effects: a request is sent only by rules that hold
// its credential and for the customer of it, and refused for its credential only by rules that do not.
func (m *credentialModel) step(e event.Event) {
	if read, ok := e.(event.DocumentRead); ok {
		m.held = read.Revision
	}
	for _, e := range m.node.Step(e, nil) {
		switch e := e.(type) {
		case effect.Forward:
			credential := m.open[e.ID]
			if m.withdrawn[m.held] == credential || e.Customer != fmt.Sprintf("c%d", credential) {
				m.t.Fatalf("request with credential %d is sent for %q by revision %d, which withdraws %d", credential, e.Customer, m.held, m.withdrawn[m.held])
			}
			delete(m.open, e.ID)
		case effect.ReplyFromEntry:
			if e.Reason == effect.ReasonCredential && m.withdrawn[m.held] != m.open[e.ID] {
				m.t.Fatalf("request with credential %d is refused by revision %d", m.open[e.ID], m.held)
			}
			delete(m.open, e.ID)
		}
	}
	for id := range m.open {
		if waited := m.now.Sub(m.arrivedAt[id]); waited > 600*time.Millisecond {
			m.t.Fatalf("request %d waits for %v", id, waited)
		}
	}
}

// Whatever versions come, and however long nobody confirms them, each request is soon sent or
// answered, by the rules that the node holds at that moment.
func TestCredentialsUnderRandomEvents(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newCustomerHarness(c, time.Duration(rapid.SampledFrom([]int{0, 5}).Draw(t, "max"))*time.Second)
		m := &credentialModel{harness: h, t: t, revision: 1, held: 1, withdrawn: map[uint64]int{}, open: make(map[uint64]int), arrivedAt: make(map[uint64]time.Time)}
		publish := func(t *rapid.T) {
			m.revision++
			m.withdrawn[m.revision] = rapid.IntRange(0, 4).Draw(t, "withdrawn")
		}
		read := func(*rapid.T) {
			m.step(event.DocumentRead{At: m.now, Document: event.Rules, Revision: m.revision, Text: m.text(m.revision)})
		}
		publish(t)
		read(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": publish,
			"read":    read,
			"confirm": func(*rapid.T) {
				if m.held == m.revision {
					m.step(event.DocumentUnchanged{At: m.now, Document: event.Rules, Revision: m.revision})
				}
			},
			"peer": func(t *rapid.T) {
				versions := m.node.Versions(m.now)
				versions.Age = time.Duration(rapid.IntRange(0, 30_000).Draw(t, "age")) * time.Millisecond
				m.step(event.VersionsReceived{At: m.now, Peer: "b", Versions: versions, QueriedAt: m.now})
			},
			"tick": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "ticks") {
					m.now = m.now.Add(50 * time.Millisecond)
					m.step(event.Tick{At: m.now})
				}
			},
			"request": func(t *rapid.T) {
				m.sequence++
				credential := rapid.IntRange(0, 3).Draw(t, "credential")
				m.open[m.sequence], m.arrivedAt[m.sequence] = credential, m.now
				m.step(event.Request{At: m.now, ID: m.sequence, Method: "POST", Path: "/lines", Credential: creds.Digest(fmt.Sprint(credential))})
			},
			"pause": func(*rapid.T) {
				m.now = m.now.Add(time.Minute)
				for id := range m.open {
					m.arrivedAt[id] = m.now
				}
				// The node holds the same rules until after its first event.
				m.step(event.Tick{At: m.now})
			},
		})
	})
}
