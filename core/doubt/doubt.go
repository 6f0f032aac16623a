// Package doubt decides what becomes of a request by its credential: whether it is served,
// refused, or held until the node knows whether its rules are current.
//
// It answers three loads. Callers begin to use a new credential as soon as the platform has
// acknowledged it, at all nodes at once and before each of them holds the rules that bring it. A
// caller does not repeat a refused request, so such a request waits until the rules are confirmed.
// Strangers try credentials that no rules ever held, in floods. Their requests wait as well, but
// only so many at once, and for a fixed time; they cause no message, as nodes ask each other
// anyway while their rules are older than usual. A node that was paused, or that nobody reaches,
// may know a credential that was withdrawn meanwhile.
//
// # Usage
//
//	d := doubt.Case{ArrivedAt: e.At, RulesAge: age, Known: ok}
//	switch d.Judge(now) {
//	case doubt.Serve:
//		...
//	case doubt.Hold:
//		held = append(held, e) // judge again when the rules change or are confirmed, and at each tick
//	}
package doubt

import "time"

const (
	// maxWait is the longest time for which a request is held. A published version usually reaches
	// all nodes in less.
	maxWait = 500 * time.Millisecond
	// maxWaitShare is the largest share of the time that its caller allows for which a request is
	// held.
	maxWaitShare = 0.25
	// recentAge is the largest age of rules that the readers of the platform confirm as usual. At a
	// greater age core/gossip asks several peers at short intervals.
	recentAge = 1200 * time.Millisecond
)

// Verdict says what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Serve means that the request is served.
	Serve Verdict = iota
	// Hold means that the request waits and is judged again.
	Hold
	// Refuse means that the rules are current and no customer holds the credential.
	Refuse
	// Unconfirmed means that nobody has confirmed the rules in time, so that the request can
	// neither be served nor refused for its credential.
	Unconfirmed
)

// Case is a request with a credential, at a node whose rules have customers.
type Case struct {
	ArrivedAt time.Time
	// TimeLeft is the time that the caller allowed for the request when it arrived; 0 means no
	// limit.
	TimeLeft time.Duration
	// RulesAge is the time since the rules of the node were last confirmed to be current.
	RulesAge time.Duration
	// Known is set if a customer holds the credential by the rules of the node.
	Known bool
	// MaxAge is the age of the rules up to which a known credential counts; 0 means any.
	MaxAge time.Duration
	// Checking is set while the node checks after a pause whether its rules are current.
	Checking bool
	// Full is set if no further request may be held.
	Full bool
}

// Judge returns what becomes of the request at the time now.
func (c Case) Judge(now time.Time) Verdict {
	waited := now.Sub(c.ArrivedAt)
	mayWait := !c.Full && waited < c.patience()
	if c.Known {
		return c.judgeKnown(mayWait)
	}
	return c.judgeUnknown(waited, mayWait)
}

// judgeKnown judges a request with a credential that the rules know.
func (c Case) judgeKnown(mayWait bool) Verdict {
	mayBeWithdrawn := c.Checking || c.MaxAge > 0 && c.RulesAge > c.MaxAge
	switch {
	case !mayBeWithdrawn:
		return Serve
	case mayWait:
		return Hold
	}
	return Unconfirmed
}

// judgeUnknown judges a request with a credential that the rules do not know.
func (c Case) judgeUnknown(waited time.Duration, mayWait bool) Verdict {
	switch {
	case c.RulesAge <= waited:
		// No version that was published before the request arrived brings the credential.
		return Refuse
	case mayWait:
		return Hold
	case c.RulesAge <= recentAge:
		return Refuse
	}
	return Unconfirmed
}

// patience returns the longest time for which the request is held.
func (c Case) patience() time.Duration {
	if c.TimeLeft == 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(maxWaitShare*float64(c.TimeLeft)))
}
