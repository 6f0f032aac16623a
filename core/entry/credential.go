package entry

import (
	"slices"
	"time"

	"bulrushlock/core/creds"
	"bulrushlock/core/doubt"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// maxHeld is the largest number of requests that are held for their credentials. Each of them may
// hold a body in memory.
const maxHeld = 256

// checkCredential finds the customer whose credential e bears, for rules that have customers. The
// customer's priority takes precedence over that of the route. If isServed is false, the request
// is held or has got its reply.
func (n *Entry) checkCredential(now time.Time, e event.Request, req *request, out []effect.Effect) (isServed bool, _ []effect.Effect) {
	req.credential = e.Credential
	customer, ok := n.rules.CustomerOf(e.Credential)
	if ok {
		req.customer = customer.Name
		if customer.Priority > 0 {
			req.route.Priority = customer.Priority
		}
	}
	if req.route.Public {
		return true, out
	}
	d := doubt.Case{
		ArrivedAt: e.At,
		TimeLeft:  e.Call.TimeLeft,
		RulesAge:  n.versions.Age,
		Known:     ok,
		MaxAge:    n.config.MaxCredentialAge,
		Checking:  n.checking,
		Full:      len(n.held) >= maxHeld,
	}
	switch d.Judge(now) {
	case doubt.Serve:
		return true, out
	case doubt.Hold:
		n.held = append(n.held, e)
		if now.Equal(e.At) {
			out = append(out, effect.IncrementCounter{Name: "credential_held"})
		}
		return false, out
	case doubt.Refuse:
		return false, n.reply(now, req, effect.NotRun, effect.ReasonCredential, out)
	case doubt.Unconfirmed:
	}
	return false, n.reply(now, req, effect.NotRun, effect.ReasonStale, out)
}

// HasHeld reports whether requests are held for their credentials.
func (n *Entry) HasHeld() bool { return len(n.held) > 0 }

// ResumeHeld judges the held requests again. It is called when the rules have changed, may have
// been confirmed, or a moment has passed.
func (n *Entry) ResumeHeld(now time.Time, out []effect.Effect) []effect.Effect {
	held := n.held
	n.held = nil
	for _, e := range held {
		out = n.start(now, e, out)
	}
	return out
}

// dropHeld drops a held request whose caller has disconnected.
func (n *Entry) dropHeld(e event.RequestEnded, out []effect.Effect) []effect.Effect {
	at := slices.IndexFunc(n.held, func(held event.Request) bool { return held.ID == e.ID })
	if at < 0 {
		return out
	}
	held := n.held[at]
	n.held = slices.Delete(n.held, at, at+1)
	facts := []effect.Fact{{Key: "total_us", Value: e.At.Sub(held.At).Microseconds()}}
	return append(out, effect.Decision{
		Kind: effect.DecisionDisconnected, Name: held.Name,
		Facts: appendCustomer(facts, &request{credential: held.Credential}),
	})
}

// appendCustomer appends to the facts of a decision who sent req: the customer, or else the start of
// the digest of the credential. It appends nothing if the rules have no customers.
func appendCustomer(facts []effect.Fact, req *request) []effect.Fact {
	switch {
	case req.customer != "":
		return append(facts, effect.Fact{Key: "customer", Text: req.customer})
	case req.credential != "":
		return append(facts, effect.Fact{Key: "credential", Text: creds.Short(req.credential)})
	}
	return facts
}
