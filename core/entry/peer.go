package entry

import (
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// latencyWeight is the weight of a new latency in the average of a peer.
const latencyWeight = 0.2

// leavingTime is the time for which a guard's word that it is leaving is believed. A
// node that is started again beside its backend server is back after about as long, and
// asking one that is still leaving costs its backend server nothing.
const leavingTime = 500 * time.Millisecond

// peer is what an entry knows of one guard and its backend server.
type peer struct {
	instance    fleet.Instance
	incarnation uint64
	load        report.Load
	reported    time.Time
	outstanding int
	// sent is the number of attempts that were sent since the load was reported.
	sent     int
	failed   time.Time
	failures int
	latency  time.Duration
	// probed is the time of the last probe that this entry chose the peer for.
	probed time.Time
}

// candidate returns the peer as a policy sees it.
func (p *peer) candidate(self ticket.Node, centre string) pick.Candidate {
	return pick.Candidate{
		Near:        p.instance.Centre == centre,
		Beside:      p.instance.Name == self.Instance,
		Limit:       p.load.Limit,
		InFlight:    p.load.InFlight,
		Queued:      p.load.Queued,
		Outstanding: p.outstanding,
		Cold:        p.load.Cold,
		Reported:    p.reported,
		Failed:      p.failed,
		Failures:    p.failures,
		Slow:        p.load.Slow,
		Ill:         p.load.Ill,
		Sent:        p.sent,
		Wait:        p.load.Wait,
		Latency:     p.latency,
	}
}

// isLeaving reports whether the guard has told lately that it takes no new work.
func (p *peer) isLeaving(now time.Time) bool {
	return p.load.Leaving && now.Sub(p.reported) < leavingTime
}

// observe takes over what an ended attempt shows of the peer.
func (p *peer) observe(e event.Answered) {
	if e.Load != nil {
		p.report(*e.Load, e.At)
	}
	if e.Guard.Instance == p.instance.Name && e.Guard.Incarnation != 0 {
		p.incarnation = e.Guard.Incarnation
	}
	switch {
	case e.Verdict == event.Ran && e.Status < statusServerError:
		p.failures = 0
		p.average(e.Spent)
	case e.Verdict == event.NotRun && e.Reason == "life":
	default:
		p.failures++
		p.failed = e.At
	}
}

// report takes over a load that the guard has told.
func (p *peer) report(l report.Load, at time.Time) {
	p.load = l
	p.reported = at
	p.sent = 0
}

// average moves the latency of the peer towards spent.
func (p *peer) average(spent time.Duration) {
	if p.latency == 0 {
		p.latency = spent
		return
	}
	p.latency += time.Duration(latencyWeight * float64(spent-p.latency))
}

// doubtTime is the time after a failure in which a peer is not probed.
const doubtTime = time.Second

// isDoubtful reports whether the last that the entry saw of the peer was a
// failure, so that a probe may show that it has recovered. A peer is probed again
// after the time again.
func (p *peer) isDoubtful(now time.Time, again time.Duration) bool {
	return p.failures > 0 && now.Sub(p.probed) > again && now.Sub(p.failed) > doubtTime && now.Sub(p.reported) > doubtTime
}

// Doubtful returns a peer that may have recovered from a failure.
func (n *Entry) Doubtful(now time.Time, random uint64) (fleet.Instance, bool) {
	var found *peer
	again := n.probeInterval()
	seen := uint64(0)
	for _, p := range n.order {
		if !p.isDoubtful(now, again) {
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
	found.probed = now
	return found.instance, true
}

// probeInterval returns the time between two probes of one peer by this entry.
// It grows with the fleet, so that all entries together send one guard no more
// probes than it answers.
func (n *Entry) probeInterval() time.Duration {
	if n.set == nil || n.set.Budget.Probe == 0 {
		return doubtTime
	}
	share := time.Duration(len(n.order)) * time.Second / time.Duration(n.set.Budget.Probe)
	return max(doubtTime, share)
}
