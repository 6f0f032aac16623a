package entry_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/creds"
	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/rules"
)

// customerRules are rules with a customer that holds the credential "one" and a public route.
var customerRules = `
service ledger slots=4 # Asha: test
route GET /lines service=ledger idempotent=yes rank=3 # Asha: test
route GET /open service=ledger idempotent=yes public=yes # Asha: test
customer patan keys=` + creds.Digest("one") + ` rank=1 # Asha: test
customer lalit keys=` + creds.Digest("two") + ` # Asha: test
`

// setRules gives n rules that were confirmed at the given age.
func setRules(c *qt.C, n *entry.Entry, text string, age time.Duration) {
	set, err := rules.Parse(text)
	c.Assert(err, qt.IsNil)
	n.SetRules(set, []fleet.Instance{{Name: "b", Centre: "north", Service: "ledger"}})
	n.SetVersions(event.Versions{Age: age})
}

// credentialRequest returns a request with a credential, which may be empty.
func credentialRequest(id uint64, path, credential string) event.Request {
	e := event.Request{At: now, ID: id, Method: "GET", Path: path}
	if credential != "" {
		e.Credential = creds.Digest(credential)
	}
	return e
}

func TestCustomerOfRequest(t *testing.T) {
	tests := []struct {
		name, path, credential string
		customer               string
		priority               int
	}{
		{"priority of the customer", "/lines", "one", "patan", 1},
		{"priority of the route", "/lines", "two", "lalit", 3},
		{"public", "/open", "", "", 3},
		{"public, with a credential", "/open", "one", "patan", 1},
		{"public, with an unknown credential", "/open", "three", "", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newEntry(c)
			setRules(c, n, customerRules, 0)
			f := findEffect[effect.Forward](c, n.Request(credentialRequest(1, tt.path, tt.credential), nil))
			c.Check(f.Customer, qt.Equals, tt.customer)
			c.Check(f.Route.Priority, qt.Equals, tt.priority)
			c.Check(f.WithholdCredential, qt.IsTrue)
		})
	}
}

func TestUnknownCredentialIsRefused(t *testing.T) {
	for _, credential := range []string{"", "three"} {
		c := qt.New(t)
		n := newEntry(c)
		setRules(c, n, customerRules, 0)
		out := n.Request(credentialRequest(1, "/lines", credential), nil)
		r := findEffect[effect.ReplyFromEntry](c, out)
		c.Check(r.Outcome, qt.Equals, effect.NotRun)
		c.Check(r.Reason, qt.Equals, effect.ReasonCredential)
		d := findEffect[effect.Decision](c, out)
		for _, f := range d.Facts {
			c.Check(strings.Contains(f.Text, creds.Digest("three")), qt.IsFalse)
		}
		out = n.Request(credentialRequest(2, "/nowhere", credential), nil)
		c.Check(findEffect[effect.ReplyFromEntry](c, out).Reason, qt.Equals, effect.ReasonRoute)
	}
}

func TestRulesWithoutCustomersIgnoreCredentials(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c, "b")
	e := request("GET")
	e.Credential = creds.Digest("one")
	out := n.Request(e, nil)
	f := findEffect[effect.Forward](c, out)
	c.Check(f.Customer, qt.Equals, "")
	c.Check(f.WithholdCredential, qt.IsFalse)
	for _, fact := range findEffect[effect.Decision](c, out).Facts {
		c.Check(fact.Key, qt.Not(qt.Equals), "credential")
	}
}

// A caller uses a credential before this node holds the rules that bring it. The request waits for
// them and is sent with the time that is left.
func TestNewCredentialWaitsForItsRules(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c)
	setRules(c, n, customerRules, 600*time.Millisecond)
	e := credentialRequest(1, "/lines", "new")
	e.Call.TimeLeft = 2 * time.Second
	out := n.Request(e, nil)
	c.Check(hasEffect[effect.ReplyFromEntry](out), qt.IsFalse)
	c.Check(n.InFlight(), qt.Equals, 1)
	at := now.Add(120 * time.Millisecond)
	n.SetVersions(event.Versions{Age: 720 * time.Millisecond})
	c.Check(n.ResumeHeld(at, nil), qt.HasLen, 0)
	setRules(c, n, customerRules+"customer new keys="+creds.Digest("new")+" # Asha: test\n", 0)
	f := findEffect[effect.Forward](c, n.ResumeHeld(at, nil))
	c.Check(f.Customer, qt.Equals, "new")
	c.Check(f.Call.TimeLeft, qt.Equals, 1880*time.Millisecond)
	c.Check(n.HasHeld(), qt.IsFalse)
}

// Nobody confirms the rules. A refusal could be wrong, so the caller is told to come again.
func TestUnknownCredentialIsNotRefusedByOldRules(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c)
	setRules(c, n, customerRules, 4*time.Second)
	c.Check(hasEffect[effect.ReplyFromEntry](n.Request(credentialRequest(1, "/lines", "new"), nil)), qt.IsFalse)
	r := findEffect[effect.ReplyFromEntry](c, n.ResumeHeld(now.Add(500*time.Millisecond), nil))
	c.Check(r.Outcome, qt.Equals, effect.NotRun)
	c.Check(r.Reason, qt.Equals, effect.ReasonStale)
}

func TestHeldRequestOfDisconnectedCallerIsDropped(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c)
	setRules(c, n, customerRules, 4*time.Second)
	n.Request(credentialRequest(1, "/lines", "new"), nil)
	n.Request(credentialRequest(2, "/lines", "new"), nil)
	d := findEffect[effect.Decision](c, n.RequestEnded(event.RequestEnded{At: now, ID: 1}, nil))
	c.Check(d.Kind, qt.Equals, effect.DecisionDisconnected)
	c.Check(n.InFlight(), qt.Equals, 1)
	setRules(c, n, customerRules+"customer new keys="+creds.Digest("new")+" # Asha: test\n", 0)
	c.Check(findEffect[effect.Forward](c, n.ResumeHeld(now, nil)).ID, qt.Equals, uint64(2))
}

// A flood of unknown credentials may hold only so many requests, and known ones do not wait
// behind it.
func TestFloodOfUnknownCredentials(t *testing.T) {
	c := qt.New(t)
	n := newEntry(c)
	setRules(c, n, customerRules, 4*time.Second)
	for id := range uint64(10_000) {
		n.Request(credentialRequest(id+2, "/lines", "bad"), nil)
	}
	c.Check(n.InFlight(), qt.Equals, 256)
	c.Check(hasEffect[effect.Forward](n.Request(credentialRequest(1, "/lines", "one"), nil)), qt.IsTrue)
	out := n.ResumeHeld(now.Add(500*time.Millisecond), nil)
	c.Check(n.HasHeld(), qt.IsFalse)
	replies := 0
	for _, e := range out {
		if _, ok := e.(effect.ReplyFromEntry); ok {
			replies++
		}
	}
	c.Check(replies, qt.Equals, 256)
}
