package entry

import (
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// claim says whether a request has a token of its customer's limit.
type claim uint8

// The states of a claim.
const (
	claimNone claim = iota
	claimWaiting
	claimGranted
)

// minTokenRetryAfter is the shortest Retry-After delay of a request without a token.
const minTokenRetryAfter = 50 * time.Millisecond

// isExhausted reports whether the limit of req's customer is known to be used up.
func (n *Entry) isExhausted(now time.Time, req *request) bool {
	if req.customer == "" || n.config.Allot == nil {
		return false
	}
	var isExhausted bool
	req.refusal, isExhausted = n.config.Allot.IsExhausted(now, req.customer)
	return isExhausted
}

// claimToken takes a token for req before it is first sent, to p. If the result is false, req waits
// for a token or has got its reply.
func (n *Entry) claimToken(now time.Time, req *request, p *peer, out []effect.Effect) (bool, []effect.Effect) {
	if n.config.Allot == nil {
		return true, out
	}
	d := n.config.Allot.Claim(now, req.customer, req.id)
	switch d.Verdict {
	case allot.Free, allot.Granted:
		req.claim = claimGranted
		return true, out
	case allot.Refused:
		req.refusal = d.Refusal
		return false, n.refuse(now, req, out)
	case allot.Waiting:
	}
	req.claim, req.chosen = claimWaiting, p.instance.Name
	return false, n.ask(d.Ask, out)
}

// ask sends an ask for tokens, if it is not nil.
func (n *Entry) ask(a *allot.Ask, out []effect.Effect) []effect.Effect {
	if a == nil {
		return out
	}
	out = append(out, effect.IncrementCounter{Name: "allotment_asked"})
	return append(out, effect.AskTokens{Ask: *a, Centres: n.config.Allot.Centres()})
}

// refuse tells the caller that there is no token for req.
func (n *Entry) refuse(now time.Time, req *request, out []effect.Effect) []effect.Effect {
	if req.refusal.Silent {
		return n.reply(now, req, effect.NotRun, effect.ReasonOwners, out)
	}
	return n.reply(now, req, effect.NotRun, effect.ReasonAllotment, out)
}

// tokenRetryAfter returns the time after which there may be a token. Callers that were refused
// together do not return together.
func tokenRetryAfter(r allot.Refusal, turn float64) time.Duration {
	wait := max(r.Wait, minTokenRetryAfter)
	return wait + time.Duration(turn*float64(wait))
}

// TokensAnswered settles the requests that waited for tokens.
func (n *Entry) TokensAnswered(e event.TokensAnswered, out []effect.Effect) []effect.Effect {
	if !e.Answer.Responded {
		out = append(out, effect.IncrementCounter{Name: "allotment_unanswered"})
	}
	s := n.config.Allot.Answered(e.At, e.Answer)
	out = n.ask(s.Ask, out)
	out = n.GrantTokens(e.At, e.Random, s.Granted, out)
	for _, id := range s.Refused {
		if req, ok := n.requests[id]; ok && req.claim == claimWaiting {
			req.refusal = s.Refusal
			out = n.refuse(e.At, req, out)
		}
	}
	return out
}

// GrantTokens sends requests that waited for tokens and have got them, or need them no longer.
func (n *Entry) GrantTokens(now time.Time, random uint64, ids []uint64, out []effect.Effect) []effect.Effect {
	for _, id := range ids {
		req, ok := n.requests[id]
		if !ok || req.claim != claimWaiting {
			continue
		}
		req.claim = claimGranted
		random++
		p, ok := n.peers[req.chosen]
		switch {
		case !now.Before(req.deadline):
			out = n.reply(now, req, effect.NotRun, effect.ReasonDeadline, out)
		case ok && !p.isLeaving(now) && !n.rules.IsOutOfService(p.instance.Name, p.instance.Centre):
			out = n.send(now, random, req, p, out)
		default:
			out = n.forward(now, random, req, effect.ReasonServers, out)
		}
	}
	return out
}
