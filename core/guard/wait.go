package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/sched"
	"bulrushlock/core/timing"
)

const (
	// queuedPerSlot is the maximum number of waiting attempts per slot. More could not
	// be on time in any order.
	queuedPerSlot = 2
	// lateWaitShare is the share of its time left until the latency target for which an
	// attempt may wait if it can no longer be on time. It gets only slots that no other
	// attempt can use.
	lateWaitShare = 0.125
	// lateStartShare is the share of the concurrency limit up to which a guard starts
	// attempts in a slow period that are late in any case. Such attempts hold their
	// slots far beyond the end of the slow period.
	lateStartShare = 0.4
	// waitMargin is the factor on the expected service time that must fit into the time
	// left until the latency target, as half of all work takes longer than expected.
	waitMargin = 1.25
	// deadlineMargin is the same factor for the caller's deadline.
	deadlineMargin = 1.0
	// shortRounding is the fraction of a slot from which a whole slot is kept free for
	// short attempts.
	shortRounding = 0.5
	// shortWeight is the weight of a new sample in shortMean.
	shortWeight = 0.05
)

// expectedTime returns the expected service time of e if it begins now.
func (g *Guard) expectedTime(e event.Attempt) time.Duration {
	return time.Duration(float64(g.typicalTime(e)) * g.expectedSlowdown(e.At, g.slownessPercent(e.At)))
}

// typicalTime returns the service time of e on a backend server at normal speed.
func (g *Guard) typicalTime(e event.Attempt) time.Duration {
	return g.serviceTimes.TypicalTime(e.Class, e.TargetLeft)
}

// expectedSlowdown returns the factor on the service time of work that begins now. A cold
// start outlasts the work, while a slow period may end before the work does.
func (g *Guard) expectedSlowdown(now time.Time, slownessPercent int) float64 {
	if g.isPaced() && g.pacer.IsCold(now) {
		return float64(max(slownessPercent, normalSlowness)) / normalSlowness
	}
	return timing.Slowdown(slownessPercent)
}

// expectedWait returns the expected wait time of one more attempt of the given priority, or of any if
// that is 0.
func (g *Guard) expectedWait(now time.Time, priority int) time.Duration {
	concurrencyLimit := g.concurrencyLimit()
	if concurrencyLimit == 0 {
		return 0
	}
	ahead := g.deadlineQueue.Len()
	if priority > 0 {
		ahead = g.deadlineQueue.CountTo(priority)
	}
	return g.waitBehind(now, ahead, concurrencyLimit)
}

// waitBehind returns the expected wait time of an attempt that has the given number of
// attempts ahead of it, at the given concurrency limit.
func (g *Guard) waitBehind(now time.Time, ahead, concurrencyLimit int) time.Duration {
	wait := g.serviceTimes.Mean(g.slownessPercent(now)) * time.Duration(ahead+1) / time.Duration(concurrencyLimit)
	if g.running()+ahead < concurrencyLimit {
		wait = 0
	}
	wait = max(wait, g.quota.Wait(now, ahead))
	if !g.isPaced() {
		return wait
	}
	return max(wait, g.pacer.Wait(now, ahead))
}

// enqueue queues e until it would miss its latency target, or rejects it at once if the
// queue is full or it has no time to wait.
func (g *Guard) enqueue(e event.Attempt, out []effect.Effect) []effect.Effect {
	concurrencyLimit := g.concurrencyLimit()
	if concurrencyLimit == 0 {
		return g.reject(e, effect.ReasonOverloaded, out)
	}
	takes, typical := g.expectedTime(e), g.typicalTime(e)
	if g.shouldWaitForSlowPeriodEnd(e.At, e) {
		takes = g.timeOutsideSlowPeriods(typical)
	}
	due := e.At.Add(e.TargetLeft)
	fits := time.Duration(waitMargin * float64(takes))
	i := sched.Item[uint64]{Value: e.Arrival, Priority: e.Priority, Due: due, ServiceTime: typical, Expires: due.Add(-fits)}
	begins := e.At.Add(g.waitBehind(e.At, g.deadlineQueue.Ahead(e.Priority, due), concurrencyLimit))
	isLate := begins.After(i.Expires)
	if isLate {
		i.Expires = e.At.Add(time.Duration(lateWaitShare * float64(e.TargetLeft)))
	}
	if last := e.At.Add(e.TimeLeft - time.Duration(deadlineMargin*float64(takes))); i.Expires.After(last) {
		i.Expires = last
	}
	if !e.At.Before(i.Expires) {
		return g.reject(e, effect.ReasonOverloaded, out)
	}
	if !g.deadlineQueue.Push(i) {
		if isLate {
			return g.reject(e, effect.ReasonOverloaded, out)
		}
		displaced, ok := g.deadlineQueue.Displace(e.At, g.expectedSlowdown(e.At, g.slownessPercent(e.At)), i)
		if !ok {
			return g.reject(e, effect.ReasonOverloaded, out)
		}
		out = g.reject(g.waiters[displaced], effect.ReasonOverloaded, out)
	}
	if !e.Idempotent {
		g.recordAccepted(e)
	}
	g.waiters[e.Arrival] = e
	return append(out, effect.StartQueueTimer{Arrival: e.Arrival, Timeout: i.Expires.Sub(e.At)})
}

// startByDeadline rejects the expired attempts of deadlineQueue and runs others while
// there are free slots.
func (g *Guard) startByDeadline(at time.Time, out []effect.Effect) []effect.Effect {
	for _, arrival := range g.deadlineQueue.Expire(at) {
		out = g.reject(g.waiters[arrival], effect.ReasonOverloaded, out)
	}
	for {
		arrival, ok := g.deadlineQueue.Next(at, g.expectedSlowdown(at, g.slownessPercent(at)), func(arrival uint64) bool {
			e := g.waiters[arrival]
			return g.hasFreeSlot(e) && !g.shouldWaitForSlowPeriodEnd(at, e)
		})
		if !ok {
			return out
		}
		e := g.waiters[arrival]
		if !g.mayStart(at, g.isLate(at, e)) {
			return out
		}
		g.deadlineQueue.Remove(arrival)
		out = g.runQueued(at, e, out)
	}
}

// shouldWaitForSlowPeriodEnd reports whether e should wait for the end of a slow period
// although a slot is free. An attempt that is late in any case starts within the slow
// period only while few slots are in use. Nested calls do not wait, because a running
// request waits for them.
func (g *Guard) shouldWaitForSlowPeriodEnd(now time.Time, e event.Attempt) bool {
	if e.TargetLeft == 0 || e.Nested {
		return false
	}
	takes := g.timeOutsideSlowPeriods(g.typicalTime(e))
	if !g.slowPeriod.ShouldWait(now, takes) {
		return false
	}
	left := e.TargetLeft - now.Sub(e.At)
	isInTime := time.Duration(waitMargin*float64(takes)) < left
	return isInTime || float64(g.running()) >= lateStartShare*float64(g.concurrencyLimit())
}

// timeOutsideSlowPeriods returns the service time outside of slow periods, given the
// typical service time.
func (g *Guard) timeOutsideSlowPeriods(typical time.Duration) time.Duration {
	return time.Duration(float64(typical) * float64(max(g.slowPeriod.BaseSlowness(), normalSlowness)) / normalSlowness)
}

// isLate reports whether e misses its latency target even at normal speed.
func (g *Guard) isLate(now time.Time, e event.Attempt) bool {
	takes, ok := g.serviceTimes.ExpectedTime(e.Class, 0)
	return ok && e.TargetLeft > 0 && now.Sub(e.At)+takes > e.TargetLeft
}

// runQueued runs an attempt that was queued, or rejects it if its deadline has passed.
func (g *Guard) runQueued(at time.Time, e event.Attempt, out []effect.Effect) []effect.Effect {
	delete(g.waiters, e.Arrival)
	waited := at.Sub(e.At)
	e.TimeLeft -= waited
	e.At = at
	if e.TimeLeft <= 0 {
		return g.reject(e, effect.ReasonDeadline, out)
	}
	return g.run(e, g.logAdmitted(e, waited, out))
}

// updateShortMean adds the current shortRunning to its moving mean.
func (g *Guard) updateShortMean() {
	g.shortMean += shortWeight * (float64(g.shortRunning) - g.shortMean)
}

const (
	// normalSlowness is the slowness of a backend server at normal speed, in percent.
	normalSlowness = 100
	// elapsedThreshold is the meanElapsedRatio above which the backend server counts as
	// slow, whatever it reports. The ratio is about one half at normal speed, and about
	// two within a slow period, which the backend server reports itself.
	elapsedThreshold = 3.0
	// maxSlowness is the highest slowness that is reported, in percent.
	maxSlowness = 5000
	// failureWeight is the weight of one exchange in failureRate.
	failureWeight = 0.1
	// failurePenalty scales the slowness with failureRate: the slowness of a backend
	// server that fails every request is multiplied by one plus this factor.
	failurePenalty = 8
)

// slownessPercent returns the current service time in percent of the typical one. It
// combines the load report of the backend server, the elapsed time of running attempts
// and the failure rate. It is 0 if nothing is known.
func (g *Guard) slownessPercent(now time.Time) int {
	percent := float64(g.serverLoad.Slow)
	if d := g.meanElapsedRatio(now); d > elapsedThreshold {
		percent = max(percent, normalSlowness*d)
	}
	if g.failureRate > failureThreshold {
		percent = max(percent, normalSlowness) * (1 + failurePenalty*g.failureRate)
	}
	return int(min(percent, maxSlowness))
}

// failureThreshold is the failure rate up to which failures count as chance.
const failureThreshold = 0.2

// meanElapsedRatio returns the mean elapsed time of the running attempts, as a multiple
// of their typical service times.
func (g *Guard) meanElapsedRatio(now time.Time) float64 {
	sum, count := 0.0, 0
	for _, w := range g.inFlight {
		takes, ok := g.serviceTimes.ExpectedTime(w.class, 0)
		if !ok || takes <= 0 {
			continue
		}
		sum += float64(now.Sub(w.began)) / float64(takes)
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// updateFailureRate adds the end of an exchange to the failure rate.
func (g *Guard) updateFailureRate(e event.ExchangeEnded) {
	outcome := 0.0
	switch {
	case e.Failure == event.Cancelled:
		return
	case e.Failure != event.None, e.Status >= statusServerError:
		outcome = 1
	}
	g.failureRate += failureWeight * (outcome - g.failureRate)
}
