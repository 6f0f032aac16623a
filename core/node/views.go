package node

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/gossip"
	"bulrushlock/core/guard"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

// stepGossip handles an event for the views.
func (n *Node) stepGossip(e event.Event, out []effect.Effect) []effect.Effect {
	var change gossip.Change
	random := n.randomOf(e)
	switch e := e.(type) {
	case event.DocumentRead:
		change, out = n.gossip.DocumentRead(e, random, out)
	case event.DocumentUnchanged:
		change, out = n.gossip.DocumentUnchanged(e, out)
	case event.DocumentReadFailed:
		change, out = n.gossip.DocumentReadFailed(e, random, out)
	case event.VersionsReceived:
		n.allot.HeardFrom(e.At, e.Peer)
		change, out = n.gossip.VersionsReceived(e, out)
	case event.PeerUnreachable:
		change = n.gossip.PeerUnreachable()
	}
	n.observeMembership(e.Time())
	out = n.apply(e.Time(), change, out)
	return n.resumeHeld(e.Time(), out)
}

// observeMembership adds the current members of the service to the histories. If a version was
// missed, its members are unknown and no key is settled.
func (n *Node) observeMembership(at time.Time) {
	_, rules := n.gossip.Rules()
	_, list := n.gossip.Fleet()
	if !rules || !list {
		return
	}
	v := n.gossip.Versions(at)
	if !follows(n.observedVersions.Rules, v.Rules) || !follows(n.observedVersions.Fleet, v.Fleet) {
		n.settled.Clear()
	}
	n.observedVersions = v
	members := n.members
	n.settled.Observe(at, members)
	n.recent.Observe(at, members)
}

// follows reports whether v equals old or is the next revision after it.
func follows(old, v view.Version) bool {
	return v == old || v.Epoch == old.Epoch && v.Revision == old.Revision+1
}

// apply passes a change of the views on to the entry and the guard.
func (n *Node) apply(at time.Time, change gossip.Change, out []effect.Effect) []effect.Effect {
	if change.Rules || change.Fleet {
		out = n.applyDocuments(at, change, out)
	}
	if change.Freshness {
		out = append(out, effect.LogEvent{Kind: kindOf(n.gossip.Freshness()), Text: n.gossip.Freshness().String()})
	}
	if change.Rules || change.Freshness {
		out = n.guard.Resume(at, func(e event.Attempt) guard.Admission { return n.admission(e) }, out)
	}
	return out
}

// kindOf returns the event kind under which a state of the view is logged.
func kindOf(state gossip.Freshness) effect.Kind {
	if state == gossip.Fresh {
		return effect.KindFresh
	}
	return effect.KindStale
}

// applyDocuments applies new rules or a new instance list.
func (n *Node) applyDocuments(at time.Time, change gossip.Change, out []effect.Effect) []effect.Effect {
	s, ok := n.gossip.Rules()
	if !ok {
		return out
	}
	instances, _ := n.gossip.Fleet()
	n.entry.SetRules(s, instances)
	out = n.applyLimits(at, s, instances, out)
	n.applyFleet(s, instances)
	if change.Rules {
		n.healthChecks.SetRate(float64(s.Budget.HealthCheckRate), 1)
		n.outboundProbes.SetRate(float64(s.Budget.ProbeRate), 1)
		n.inboundProbes.SetRate(float64(s.Budget.ProbeRate), 1)
		out = n.guard.SetRules(at, s, out)
	}
	return n.updateOutOfService(out)
}

// applyFleet derives from the instance list the state of this instance and the members of its
// service.
func (n *Node) applyFleet(s *rules.Set, instances []fleet.Instance) {
	n.leaving, n.unlisted = false, true
	n.members = nil
	for _, i := range instances {
		if i.Name == n.config.Instance {
			n.leaving, n.unlisted = i.Leaving, i.Service != n.config.Service
			n.guard.SetInstance(i)
		}
		if i.Service == n.config.Service && !i.Leaving && !s.IsOutOfService(i.Name, i.Centre) {
			n.members = append(n.members, i.Name)
		}
	}
}

// updateOutOfService logs when this instance goes out of service, because of the rules or because
// it is leaving or unlisted, and when it returns. When it goes out of service, the guard rejects
// the waiting work.
func (n *Node) updateOutOfService(out []effect.Effect) []effect.Effect {
	reason := n.closeReason()
	isOut := reason == effect.ReasonOutOfService || reason == effect.ReasonLeaving || reason == effect.ReasonUnlisted
	if isOut == n.outOfService {
		return out
	}
	n.outOfService = isOut
	if !isOut {
		return append(out, effect.LogEvent{Kind: effect.KindInService})
	}
	out = append(out, effect.LogEvent{Kind: effect.KindOutOfService, Text: string(reason)})
	return n.guard.RejectWaiting(reason, out)
}

// tick runs everything that is due. The argument paused reports that the node was paused
// before this tick.
func (n *Node) tick(e event.Tick, paused bool, out []effect.Effect) []effect.Effect {
	n.lastTick = e.At
	n.allot.SetListAge(e.At, n.gossip.FleetAge(e.At))
	change, out := n.gossip.Tick(e, paused, out)
	out = n.apply(e.At, change, out)
	out = n.resumeHeld(e.At, out)
	out = n.guard.Tick(e.At, out)
	if n.guard.NeedsHealthCheck(e.At) && n.healthChecks.Take(e.At, 1) {
		out = append(out, effect.CheckHealth{Path: n.guard.HealthPath()})
	}
	return n.probe(e, out)
}

// probe requests the load of a peer whose last response was a failure, within the probe
// budget.
func (n *Node) probe(e event.Tick, out []effect.Effect) []effect.Effect {
	p, ok := n.entry.NextProbe(e.At, e.Random)
	if !ok || !n.outboundProbes.Take(e.At, 1) {
		return out
	}
	return append(out, effect.ProbeLoad{Peer: p})
}

// startDrain starts to drain the node.
func (n *Node) startDrain(e event.ShutdownRequested, out []effect.Effect) []effect.Effect {
	if n.guard.Leaving() {
		return out
	}
	n.leaveStart, n.drainStart = e.At, e.At
	out = append(out, effect.LogEvent{Kind: effect.KindLeave})
	return n.guard.Drain(out)
}

// reportDrained reports, once, that a leaving node has passed its drain time and has no work left.
func (n *Node) reportDrained(at time.Time, out []effect.Effect) []effect.Effect {
	if !n.guard.Leaving() || n.drainReported || at.Sub(n.drainStart) < n.config.DrainTime {
		return out
	}
	if !n.guard.Idle() || n.entry.InFlight() > 0 {
		return out
	}
	n.drainReported = true
	out = append(out, effect.LogEvent{Kind: effect.KindEnd})
	return append(out, effect.ReportDrained{})
}
