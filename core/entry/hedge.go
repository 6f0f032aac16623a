package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// hedgeQuantile is the share of requests that are answered before their hedge delay.
	hedgeQuantile = 0.98
	// hedgeStep is the relative step by which the estimate of the quantile moves.
	hedgeStep = 0.05
	// hedgeSamples is the number of answers before the first hedge of a class.
	hedgeSamples = 50
	// hedgeLeast is the shortest hedge delay.
	hedgeLeast = time.Millisecond
)

// delay estimates a high quantile of the latency of a class of requests.
type delay struct {
	estimate time.Duration
	samples  int
}

// learn moves the estimate towards the quantile by one sample.
func (d *delay) learn(spent time.Duration) {
	d.samples++
	if d.estimate == 0 {
		d.estimate = spent
		return
	}
	step := hedgeStep * float64(d.estimate)
	if spent > d.estimate {
		d.estimate += time.Duration(step * hedgeQuantile)
		return
	}
	d.estimate -= time.Duration(step * (1 - hedgeQuantile))
}

// learnDelay takes the latency of an answer into the estimate of its class.
func (n *Entry) learnDelay(class int, spent time.Duration) {
	d, ok := n.delays[class]
	if !ok {
		d = &delay{}
		n.delays[class] = d
	}
	d.learn(spent)
}

// hedgeDelay returns the time after which c is to be hedged, or zero.
func (n *Entry) hedgeDelay(now time.Time, c *call) time.Duration {
	if !c.route.Idempotent || c.attempts > 1 || c.depth.Final || n.set.Budget.Hedge == 0 || c.route.Tries < 2 {
		return 0
	}
	if n.identity.Ask > 0 && c.route.Aim > 0 {
		return n.lastMoment(now, c)
	}
	d, ok := n.delays[c.class]
	if !ok || d.samples < hedgeSamples {
		return 0
	}
	return max(d.estimate, hedgeLeast)
}

const (
	// hedgeMargin is the factor on the usual time of a request by which its hedge has
	// to fit before the time at which the answer is due.
	hedgeMargin = 1.25
	// hedgeEarliest is the time, in usual times of the request, before which it is not hedged.
	hedgeEarliest = 1.1
	// hedgeRoom is the share of its limit up to which a backend server takes a hedge:
	// at higher load a second sending would take the place of a first one.
	hedgeRoom = 0.7
)

// lastMoment returns the time after which c can be sent once more just early enough
// to be answered in time, or zero where that would be before a usual answer.
func (n *Entry) lastMoment(now time.Time, c *call) time.Duration {
	takes, ok := n.usual.Takes(c.class, 0)
	delay := c.aimLeft(now) - time.Duration(hedgeMargin*float64(takes))
	if !ok || delay < time.Duration(hedgeEarliest*float64(takes)) {
		return 0
	}
	return delay
}

// Slow sends a second attempt of a request that has waited for its hedge delay.
func (n *Entry) Slow(e event.Slow, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok || c.once || !c.route.Idempotent || len(c.active) != 1 || c.sent+1 >= c.route.Tries {
		return out
	}
	if asked := n.survey(e.At, e.Random, c); len(asked) > 0 {
		c.asking = true
		return append(out, effect.Survey{ID: c.id, Peers: asked})
	}
	return n.hedge(e.At, e.Random, c, out)
}

// hedge sends a second attempt of c where that is within the budget and helps.
func (n *Entry) hedge(now time.Time, random uint64, c *call, out []effect.Effect) []effect.Effect {
	p := n.choose(now, random, c)
	if p == nil || n.identity.Ask > 0 && !n.helps(now, c, p) {
		return out
	}
	if !n.extraOf(c.service).hedges.Spend() {
		return append(out, effect.Count{Name: "hedge_denied"})
	}
	out = append(out, effect.Count{Name: "hedge"})
	return n.send(now, random, c, p, out)
}

// helps reports whether a second attempt of c at p is expected to be answered in time
// and takes no room that others need.
func (n *Entry) helps(now time.Time, c *call, p *peer) bool {
	l := p.load
	if l.Cold || l.Ill || l.Wait > 0 || float64(l.InFlight+p.sent) > hedgeRoom*float64(l.Limit) {
		return false
	}
	takes, ok := n.usual.Takes(c.class, l.Slow)
	return ok && takes <= c.aimLeft(now)
}
