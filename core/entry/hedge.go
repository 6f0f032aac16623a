package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

const (
	// hedgeQuantile is the share of requests that complete before their hedge delay.
	hedgeQuantile = 0.98
	// hedgeStep is the relative step by which a sample moves the estimated quantile.
	hedgeStep = 0.05
	// hedgeSamples is the number of responses needed before the first hedge of a class.
	hedgeSamples = 50
	// minHedgeDelay is the shortest hedge delay.
	minHedgeDelay = time.Millisecond
)

// latencyQuantile estimates a high latency quantile of one class of requests.
type latencyQuantile struct {
	estimate time.Duration
	samples  int
}

// observe moves the estimate towards the quantile by one sample.
func (d *latencyQuantile) observe(spent time.Duration) {
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

// observeLatency adds the latency of a response to the quantile estimate of its class.
func (n *Entry) observeLatency(class int, spent time.Duration) {
	d, ok := n.latencyQuantiles[class]
	if !ok {
		d = &latencyQuantile{}
		n.latencyQuantiles[class] = d
	}
	d.observe(spent)
}

// hedgeDelay returns the time after which req is hedged, or 0 if it is not hedged.
func (n *Entry) hedgeDelay(now time.Time, req *request) time.Duration {
	if !req.route.Idempotent || req.attempts > 1 || req.limits.RetryForbidden || n.rules.Budget.HedgeFraction == 0 || req.route.MaxAttempts < 2 {
		return 0
	}
	if n.config.ProbeCount > 0 && req.route.LatencyTarget > 0 {
		return n.latestHedgeDelay(now, req)
	}
	d, ok := n.latencyQuantiles[req.class]
	if !ok || d.samples < hedgeSamples {
		return 0
	}
	return max(d.estimate, minHedgeDelay)
}

const (
	// hedgeMargin is the factor on the typical service time of a request that must fit
	// between the start of the hedge and the latency target.
	hedgeMargin = 1.25
	// hedgeEarliestFactor is the shortest hedge delay, in multiples of the typical
	// service time.
	hedgeEarliestFactor = 1.1
	// hedgeMaxLoad is the share of its concurrency limit up to which a backend server
	// gets hedges. Above it, hedges would displace first attempts.
	hedgeMaxLoad = 0.7
)

// latestHedgeDelay returns the longest delay after which a hedge of req can still meet the
// latency target, or 0 if that delay is too short for a typical response to arrive
// first.
func (n *Entry) latestHedgeDelay(now time.Time, req *request) time.Duration {
	takes, ok := n.serviceTimes.ExpectedTime(req.class, 0)
	delay := req.targetTimeLeft(now) - time.Duration(hedgeMargin*float64(takes))
	if !ok || delay < time.Duration(hedgeEarliestFactor*float64(takes)) {
		return 0
	}
	return delay
}

// HedgeDelayPassed hedges a request whose hedge delay has passed.
func (n *Entry) HedgeDelayPassed(e event.HedgeDelayPassed, out []effect.Effect) []effect.Effect {
	req, ok := n.requests[e.ID]
	if !ok || req.bodyOnce || !req.route.Idempotent || len(req.activeTickets) != 1 || req.sent+1 >= req.route.MaxAttempts {
		return out
	}
	if probed := n.loadProbeTargets(e.At, e.Random, req); len(probed) > 0 {
		return probeLoads(e.At, req, probed, out)
	}
	return n.hedge(e.At, e.Random, req, out)
}

// hedge sends a second attempt of req if the budget allows it and, with load probes, if
// isHedgeUseful.
func (n *Entry) hedge(now time.Time, random uint64, req *request, out []effect.Effect) []effect.Effect {
	p := n.selectPeer(now, random, req)
	if p == nil || n.config.ProbeCount > 0 && !n.isHedgeUseful(now, req, p) {
		return out
	}
	if !n.attemptBudgetOf(req.service).hedges.Spend() {
		return append(out, effect.IncrementCounter{Name: "hedge_denied"})
	}
	out = append(out, effect.IncrementCounter{Name: "hedge"})
	return n.send(now, random, req, p, out)
}

// isHedgeUseful reports whether a hedge of req at p is expected to meet the latency target
// without displacing other work.
func (n *Entry) isHedgeUseful(now time.Time, req *request, p *peer) bool {
	l := p.load
	if l.Cold || l.Ill || l.Wait > 0 || float64(l.InFlight+p.sent) > hedgeMaxLoad*float64(l.Limit) {
		return false
	}
	takes, ok := n.serviceTimes.ExpectedTime(req.class, l.Slow)
	return ok && takes <= req.targetTimeLeft(now)
}
