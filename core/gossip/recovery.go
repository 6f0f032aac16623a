package gossip

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/recall"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

const (
	// centreKeepTime is the time for which a data centre stays out of service that an older copy
	// doesn't name. Its operator publishes that again within this time.
	centreKeepTime = 10 * time.Second
	// centreIgnoreTime is the time for which a data centre stays in service that an older copy names
	// again. A new request to take it out is met in time after that.
	centreIgnoreTime = 3 * time.Second
	// serverIgnoreTime is the time for which a backend server gets nothing that had left or was
	// leaving, and that an older copy lists as if it weren't. Its entry is written again, or lapses,
	// within this time.
	serverIgnoreTime = 10 * time.Second
	// removalMemory is longer than the time that an older copy lacks.
	removalMemory = time.Minute
)

// recoveryState is what holds on after the platform came back from an older copy.
type recoveryState struct {
	// epoch is the newest epoch that was logged, once one is known.
	epoch   uint64
	isKnown bool
	// centresOut are the data centres that are out of service.
	centresOut *recall.Set[string]
	// servers are the backend servers that aren't leaving, by serverKey.
	servers *recall.Set[string]
	// older is the last version that was read from the platform and not taken because of its edition.
	older view.Version
	// rules are the rules in force: the held ones, with the data centres of centresOut.
	rules *rules.Set
}

// newRecoveryState returns the state of a node that holds no documents.
func newRecoveryState() recoveryState {
	return recoveryState{
		centresOut: recall.New[string](recall.Options{Keep: centreKeepTime, Ignore: centreIgnoreTime, Memory: removalMemory}),
		servers:    recall.New[string](recall.Options{Keep: outageGrace, Ignore: serverIgnoreTime, Memory: removalMemory}),
	}
}

// offerRules offers rules to the view. If the platform came back with an older edition than the one
// that is held, its author publishes the newer one again. Until then the held edition stays, and only the
// data centres out of service are taken over, which have no edition.
func (g *Gossip) offerRules(e event.DocumentRead) (view.Verdict, error) {
	v, held := e.Version(), g.rules.Version()
	if isCurrent(e, held) && v.IsOlderEdition(held) {
		return g.offerCentresOut(e)
	}
	return g.rules.Offer(e.Text, v, e.At)
}

// isCurrent reports whether e is what the platform holds now, and not older than the held version.
func isCurrent(e event.DocumentRead, held view.Version) bool {
	return e.From.Peer == "" && !e.MayBeStale && e.Version().CompareRevision(held) >= 0
}

// offerCentresOut offers the held rules with the data centres that are out of service by e.
func (g *Gossip) offerCentresOut(e event.DocumentRead) (view.Verdict, error) {
	set, _ := g.rules.Value()
	text, out := g.rules.Text(), rules.ParseCentresOut(e.Text)
	if !slices.Equal(centreNames(out), centreNames(set.CentresOut)) {
		text = set.WithCentresOut(out).String()
	}
	v := e.Version()
	v.Edition = g.rules.Version().Edition
	return g.rules.Offer(text, v, e.At)
}

// takeCentresOut takes the data centres out of service from rules that are invalid otherwise, and reports
// whether it did. Without editions, the rules that nodes hold beside them couldn't be ordered.
func (g *Gossip) takeCentresOut(e event.DocumentRead, random uint64, out []effect.Effect) (Change, []effect.Effect, bool) {
	held := g.rules.Version()
	if e.Document != event.Rules || held.Edition == 0 || !isCurrent(e, held) {
		return Change{}, out, false
	}
	switch verdict, _ := g.offerCentresOut(e); verdict {
	case view.Accepted:
		g.applyRules(e.At)
		change, out := g.recordAccepted(e, random, out)
		return change, out, true
	case view.Known:
		change, out := g.confirmFromPlatform(e, out)
		return change, out, true
	case view.Older, view.Invalid:
	}
	return Change{}, out, false
}

// centreNames returns the names of data centres.
func centreNames(list []rules.OutOfService) []string {
	names := make([]string, 0, len(list))
	for _, o := range list {
		names = append(names, o.Name)
	}
	return names
}

// applyRules derives the rules in force from those that are held.
func (g *Gossip) applyRules(at time.Time) {
	set, _ := g.rules.Value()
	g.recovery.centresOut.Observe(at, g.rules.Version().Epoch, centreNames(set.CentresOut), nil)
	g.recoverCentres(set)
}

// recoverCentres sets the rules in force to set, with the data centres out of service that hold on.
func (g *Gossip) recoverCentres(set *rules.Set) {
	r := &g.recovery
	before := r.rules
	r.rules = set
	kept := r.centresOut.Kept()
	isIgnored := func(o rules.OutOfService) bool { return r.centresOut.IsIgnored(o.Name) }
	if len(kept) == 0 && !slices.ContainsFunc(set.CentresOut, isIgnored) {
		return
	}
	out := slices.DeleteFunc(slices.Clone(set.CentresOut), isIgnored)
	for _, o := range before.CentresOut {
		if slices.Contains(kept, o.Name) {
			out = append(out, o)
		}
	}
	r.rules = set.WithCentresOut(out)
}

// logOlderEdition logs, once, rules of an older edition than the held one that the platform holds.
func (g *Gossip) logOlderEdition(e event.DocumentRead, out []effect.Effect) []effect.Effect {
	held, older := g.rules.Version(), view.Version{Edition: e.Edition, Epoch: e.Epoch}
	if e.Document != event.Rules || !isCurrent(e, held) || !older.IsOlderEdition(held) || older == g.recovery.older {
		return out
	}
	g.recovery.older = older
	return append(out, effect.LogEvent{Kind: effect.KindInvalid, Text: fmt.Sprintf("rules %s: edition %d is older than %d, which stays in force; only data centres out of service are followed",
		versionName(e.Version()), e.Edition, held.Edition)})
}

// serverKey returns what tells a backend server from a later one at its address, as far as that is known.
func serverKey(i fleet.Instance) string { return cmp.Or(i.Incarnation, i.Name) }

// recoveredFleet returns the listed instances, with those of the list before that hold on. An
// instance that is listed again after it has left is shown as leaving.
func (g *Gossip) recoveredFleet(at time.Time, listed, before []fleet.Instance) []fleet.Instance {
	s := g.recovery.servers
	var serving, leaving []string
	for _, i := range listed {
		if i.Leaving {
			leaving = append(leaving, serverKey(i))
		} else {
			serving = append(serving, serverKey(i))
		}
	}
	s.Observe(at, g.fleet.Version().Epoch, serving, leaving)
	result := listed
	if slices.ContainsFunc(listed, func(i fleet.Instance) bool { return s.IsIgnored(serverKey(i)) }) {
		result = slices.Clone(listed)
		for n := range result {
			result[n].Leaving = result[n].Leaving || s.IsIgnored(serverKey(result[n]))
		}
	}
	for _, key := range s.Kept() {
		n := slices.IndexFunc(before, func(i fleet.Instance) bool { return serverKey(i) == key })
		isListed := func(i fleet.Instance) bool { return i.Name == before[n].Name || serverKey(i) == key }
		if n >= 0 && !slices.ContainsFunc(result, isListed) {
			result = append(slices.Clip(result), before[n])
		}
	}
	return result
}

// expireRecovery ends what has held on for long enough.
func (g *Gossip) expireRecovery(at time.Time) Change {
	var change Change
	if g.recovery.centresOut.Expire(at) {
		set, _ := g.rules.Value()
		g.recoverCentres(set)
		change.Rules = true
	}
	if g.recovery.servers.Expire(at) {
		g.applyFleet(at, 0)
		change.Fleet = true
	}
	return change
}

// followEpoch applies documents whose text a newer epoch shares, and logs a newer epoch once.
func (g *Gossip) followEpoch(at time.Time, out []effect.Effect) (Change, []effect.Effect) {
	r := &g.recovery
	var change Change
	if _, ok := g.rules.Value(); ok && g.rules.Version().Epoch > r.centresOut.Epoch() {
		g.applyRules(at)
		change.Rules = true
	}
	if _, ok := g.fleet.Value(); ok && g.fleet.Version().Epoch > r.servers.Epoch() {
		g.applyFleet(at, 0)
		change.Fleet = true
	}
	epoch := max(g.rules.Version().Epoch, g.fleet.Version().Epoch)
	if r.isKnown && epoch > r.epoch {
		out = append(out, effect.LogEvent{Kind: effect.KindEpoch, Text: fmt.Sprintf("the platform came back from an older copy: epoch %d after %d; rules %s; fleet %s",
			epoch, r.epoch, g.heldText(at, event.Rules), g.heldText(at, event.Fleet))})
	}
	if epoch > 0 {
		r.epoch, r.isKnown = max(r.epoch, epoch), true
	}
	return change, out
}
