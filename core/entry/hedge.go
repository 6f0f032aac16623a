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
func (n *Entry) hedgeDelay(c *call) time.Duration {
	if !c.route.Idempotent || c.attempts > 1 || c.depth.Final || n.set.Budget.Hedge == 0 {
		return 0
	}
	d, ok := n.delays[c.class]
	if !ok || d.samples < hedgeSamples {
		return 0
	}
	return max(d.estimate, hedgeLeast)
}

// Slow sends a second attempt of a request that has waited for its hedge delay.
func (n *Entry) Slow(e event.Slow, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok || c.once || !c.route.Idempotent || len(c.active) != 1 {
		return out
	}
	p := n.choose(e.At, e.Random, c)
	if p == nil {
		return out
	}
	if !n.hedges.Spend() {
		return append(out, effect.Count{Name: "hedge_denied"})
	}
	out = append(out, effect.Count{Name: "hedge"})
	return n.send(e.At, e.Random, c, p, out)
}
