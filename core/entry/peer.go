package entry

import (
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

// latencyWeight is the weight of a new sample in the moving average of a peer's latency.
const latencyWeight = 0.2

// leavingTTL is the time for which a guard's report that it is leaving stays valid. A
// node that is restarted beside its backend server is usually available again after
// about this time. An attempt sent to a guard that is still leaving is rejected and puts
// no load on its backend server.
const leavingTTL = 500 * time.Millisecond

// peer is the state that an entry holds about one guard and its backend server.
type peer struct {
	instance    fleet.Instance
	incarnation uint64
	load        report.Load
	reportedAt  time.Time
	// outstanding is the number of attempts of this entry that are in progress.
	outstanding int
	// sent is the number of attempts sent since the last load report.
	sent int
	// failures is the number of rejections and failures since the last success, and
	// failedAt the time of the last one.
	failedAt time.Time
	failures int
	// latency is the moving average over all successful requests, of any cost.
	latency time.Duration
	// rateLimit is the limit of the backend server in requests per second that the guard
	// reported with the last response, or 0. rateLimitAt is the time of that response.
	rateLimit   float64
	rateLimitAt time.Time
	// ending means that the backend server has announced that it is leaving. endingGuard is the
	// incarnation of the guard that reported it, at the time endingAt.
	ending      bool
	endingGuard uint64
	endingAt    time.Time
	// waits holds the last wait time that the guard reported for each priority, and for the whole
	// queue at wholeQueue.
	waits [wholeQueue + 1]rankedWait
	// probedAt is the time at which this entry last probed the peer after a failure.
	probedAt time.Time
}

// wholeQueue is the index of the wait time behind the whole queue, which is that of the lowest
// priority.
const wholeQueue = rules.MaxPriority + 1

// rankOf returns the index of the wait time for a priority. A priority of 0 stands for the whole queue.
func rankOf(priority int) int {
	if priority <= 0 || priority > rules.MaxPriority {
		return wholeQueue
	}
	return priority
}

// rankedWait is a wait time that a guard reported for one priority.
type rankedWait struct {
	wait time.Duration
	at   time.Time
}

// isRecent reports whether the wait time is known and still tells what a request has to expect.
func (w rankedWait) isRecent(now time.Time) bool {
	return !w.at.IsZero() && now.Sub(w.at) <= recentLoadAge
}

// waitOf returns the expected time in the queue of the guard for a request of the given priority: the
// last one that was reported for it, within the bounds of later reports for other priorities. A
// higher priority waits no longer, and a lower one no shorter. Without a report for it, that for the
// whole queue counts, or else the newest one.
func (p *peer) waitOf(priority int, now time.Time) time.Duration {
	rank := rankOf(priority)
	known := p.waits[rank]
	if !known.isRecent(now) {
		known = p.waits[wholeQueue]
	}
	if !known.isRecent(now) {
		for _, w := range p.waits {
			if w.at.After(known.at) {
				known = w
			}
		}
	}
	if !known.isRecent(now) {
		return p.load.Wait
	}
	wait := known.wait
	for i, w := range p.waits {
		switch {
		case !w.isRecent(now) || w.at.Before(known.at):
		case i >= rank:
			wait = min(wait, w.wait)
		default:
			wait = max(wait, w.wait)
		}
	}
	return wait
}

// candidate returns the peer in the form that a selection policy takes.
func (p *peer) candidate(self ticket.NodeID, centre string) pick.Candidate {
	return pick.Candidate{
		SameCentre:   p.instance.Centre == centre,
		Centre:       p.instance.Centre,
		SameInstance: p.instance.Name == self.Instance,
		Limit:        p.load.Limit,
		InFlight:     p.load.InFlight,
		Queued:       p.load.Queued,
		Outstanding:  p.outstanding,
		Cold:         p.load.Cold,
		ReportedAt:   p.reportedAt,
		FailedAt:     p.failedAt,
		Failures:     p.failures,
		SlowPercent:  p.load.Slow,
		Unhealthy:    p.load.Ill,
		Sent:         p.sent,
		Wait:         p.load.Wait,
		Latency:      p.latency,
	}
}

// isLeaving reports whether the guard has recently reported that it accepts no new work, or
// the backend server has announced that it is leaving.
func (p *peer) isLeaving(now time.Time) bool {
	return p.isEnding(now) || p.load.Leaving && now.Sub(p.reportedAt) < leavingTTL
}

// isEnding reports whether the backend server has announced that it is leaving.
func (p *peer) isEnding(now time.Time) bool { return p.ending && now.Sub(p.endingAt) < endingTTL }

// needsEndingProbe reports whether a load probe is due that can show whether another incarnation
// of a backend server that was leaving has started.
func (p *peer) needsEndingProbe(now time.Time) bool {
	return p.isEnding(now) && now.Sub(p.reportedAt) > probeDelay
}

// updateEnding records whether a guard reports that its backend server is leaving. That it is not
// counts only from the guard that reported the opposite: one that has restarted since does not
// know.
func (p *peer) updateEnding(guard uint64, isEnding bool, at time.Time) {
	switch {
	case isEnding:
		p.ending, p.endingGuard, p.endingAt = true, guard, at
	case guard == p.endingGuard:
		p.ending = false
	}
}

// announcementTTL is the time for which this entry remembers what a backend server announced in
// its responses.
const announcementTTL = 10 * time.Second

// endingTTL is the time after which a backend server that was leaving is used again if its guard
// has restarted and cannot tell.
const endingTTL = time.Minute

// knownRateLimit returns the limit of the backend server in requests per second, or 0 if none is
// known.
func (p *peer) knownRateLimit(now time.Time) float64 {
	if now.Sub(p.rateLimitAt) > announcementTTL {
		return 0
	}
	return p.rateLimit
}

// observe updates the peer from the result of an attempt.
func (p *peer) observe(e event.AttemptEnded) {
	if e.Load != nil {
		p.recordLoad(*e.Load, e.At)
		if e.Load.RateLimit > 0 || e.Verdict == event.Ran {
			// A guard that rejects an attempt may have restarted and not know the limit.
			p.rateLimit, p.rateLimitAt = e.Load.RateLimit, e.At
		}
		p.updateEnding(e.Guard.Incarnation, e.Load.Ending, e.At)
	}
	if e.Guard.Instance == p.instance.Name && e.Guard.Incarnation != 0 {
		p.incarnation = e.Guard.Incarnation
	}
	switch {
	case e.Verdict == event.Ran && e.Status < statusServerError:
		p.failures = 0
		p.updateLatency(e.Latency)
	case e.Verdict == event.NotRun && e.Reason == "life":
		// A rejection because of another incarnation is no failure of the peer.
	default:
		p.failures++
		p.failedAt = e.At
	}
}

// recordLoad records a load report of the guard and resets sent.
func (p *peer) recordLoad(l report.Load, at time.Time) { p.recordRankedLoad(l, 0, at) }

// recordRankedLoad records a load report whose wait time holds for one priority, or for the whole
// queue if that is 0, and resets sent. A report for the whole queue replaces those for priorities.
func (p *peer) recordRankedLoad(l report.Load, priority int, at time.Time) {
	rank := rankOf(priority)
	if rank == wholeQueue {
		clear(p.waits[:])
	}
	p.load = l
	p.reportedAt = at
	p.sent = 0
	p.waits[rank] = rankedWait{wait: l.Wait, at: at}
	p.load.Wait = p.waitOf(0, at)
}

// updateLatency adds a sample to the moving average of the latency.
func (p *peer) updateLatency(spent time.Duration) {
	if p.latency == 0 {
		p.latency = spent
		return
	}
	p.latency += time.Duration(latencyWeight * float64(spent-p.latency))
}

// probeDelay is the time after a failure or a load report during which a peer is not
// probed, and the shortest time between two probes.
const probeDelay = time.Second

// needsProbe reports whether the last observation of the peer was a failure, so that a
// probe can show whether it has recovered. Two probes are at least interval apart.
func (p *peer) needsProbe(now time.Time, interval time.Duration) bool {
	return p.failures > 0 && now.Sub(p.probedAt) > interval && now.Sub(p.failedAt) > probeDelay && now.Sub(p.reportedAt) > probeDelay
}

// NextProbe returns a peer that failed and may have recovered, for a probe, and records
// the time of the probe. The result is false if there is no such peer.
func (n *Entry) NextProbe(now time.Time, random uint64) (fleet.Instance, bool) {
	var found *peer
	interval := n.probeInterval()
	seen := uint64(0)
	for _, p := range n.peerOrder {
		if !p.needsProbe(now, interval) {
			continue
		}
		seen++
		if found == nil || random%seen == 0 {
			found = p
		}
	}
	if found == nil {
		return fleet.Instance{}, false
	}
	found.probedAt = now
	return found.instance, true
}

// probeInterval returns the time between two probes of one peer by this entry. It grows
// with the size of the fleet, so that all entries together stay within the probe budget
// of each guard.
func (n *Entry) probeInterval() time.Duration {
	if n.rules == nil || n.rules.Budget.ProbeRate == 0 {
		return probeDelay
	}
	share := time.Duration(len(n.peerOrder)) * time.Second / time.Duration(n.rules.Budget.ProbeRate)
	return max(probeDelay, share)
}
