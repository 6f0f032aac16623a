// Package gossip keeps the views that a node has of the published documents:
// the rules and the list of instances. It decides when to ask the platform, when
// to exchange versions with a peer, and whether a view may be trusted.
//
// # Usage
//
//	g := gossip.New("ledger-1", "north")
//	out = g.Start(at, random, out)
//	change, out := g.Read(e, out)
//	if change.Rules {
//		apply(g.Rules())
//	}
package gossip

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/owner"
	"bulrushlock/core/rules"
	"bulrushlock/core/view"
)

const (
	// roundTime is the time between two exchanges of versions with a random peer.
	roundTime = time.Second
	// watchTime is the time that a watcher lets the platform hold a call.
	watchTime = 2 * time.Second
	// pollTime is the mean time between two reads of a node that does not watch.
	pollTime = 30 * time.Second
	// retryTime is the mean time after which a failed read is tried again.
	retryTime = time.Second
	// watchers is the number of nodes in each data centre that watch the platform.
	watchers = 3
	// pushes is the number of peers that are told of a new version at once.
	pushes = 4
	// checks is the number of peers that are asked whether a view is still the newest.
	checks = 3
	// fetchTime is the time for which a version is not asked of a second peer.
	fetchTime = 500 * time.Millisecond
	// documents is the number of published documents.
	documents = 2
)

// Change tells which documents an event has renewed.
type Change struct {
	Rules bool
	Fleet bool
	// Trust tells that the trust in the view has changed.
	Trust bool
}

// Gossip holds the views of one node.
type Gossip struct {
	instance string
	centre   string
	rules    *view.View[*rules.Set]
	fleet    *view.View[[]fleet.Instance]
	reads    [documents]reading
	watches  bool
	round    time.Time
	trust    trust
	others   []fleet.Instance
}

// reading is the state of the reads of one document from the platform.
type reading struct {
	pending bool
	next    time.Time
	// wanted is the version that a peer was asked for at the time asked.
	wanted view.Version
	asked  time.Time
	// passed is the last of the invalid revisions that follow the held one without a gap.
	passed uint64
	// refused is the last revision that was refused.
	refused uint64
	// other is a second peer that told of the version spare meanwhile, or is nil.
	other *fleet.Instance
	spare view.Version
}

// New returns the empty views of the node of the given instance.
func New(instance, centre string) *Gossip {
	return &Gossip{
		instance: instance,
		centre:   centre,
		rules:    view.New(rules.Parse),
		fleet:    view.New(fleet.Parse),
		watches:  true,
	}
}

// Rules returns the rules in force; ok is false while there are none.
func (g *Gossip) Rules() (s *rules.Set, ok bool) { return g.rules.Value() }

// Fleet returns the list of instances; ok is false while there is none.
func (g *Gossip) Fleet() (instances []fleet.Instance, ok bool) { return g.fleet.Value() }

// Text returns the text and the revision of a document, for a peer that asks.
func (g *Gossip) Text(d event.Document) (text string, revision uint64) {
	if d == event.Fleet {
		return g.fleet.Text(), g.fleet.Version().Revision
	}
	return g.rules.Text(), g.rules.Version().Revision
}

// Versions returns the versions that this node holds.
func (g *Gossip) Versions(now time.Time) event.Versions {
	return event.Versions{Rules: g.rules.Version(), Fleet: g.fleet.Version(), Age: g.Age(now)}
}

// Age returns the time since the rules were known to be the newest.
func (g *Gossip) Age(now time.Time) time.Duration { return g.rules.Age(now) }

// Watches reports whether this node watches the platform.
func (g *Gossip) Watches() bool { return g.watches }

// Start asks the platform for both documents.
func (g *Gossip) Start(at time.Time, out []effect.Effect) []effect.Effect {
	g.round = at
	out = g.fetch(event.Rules, out)
	return g.fetch(event.Fleet, out)
}

// fetch asks the platform for a document, unless a read is pending.
func (g *Gossip) fetch(d event.Document, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if r.pending {
		return out
	}
	r.pending = true
	f := effect.Fetch{Document: d, After: g.version(d).Revision}
	if g.watches && f.After > 0 {
		f.Wait = watchTime
	}
	return append(out, f)
}

// version returns the version of a document that this node holds.
func (g *Gossip) version(d event.Document) view.Version {
	if d == event.Fleet {
		return g.fleet.Version()
	}
	return g.rules.Version()
}

// Read takes over a document that was read.
func (g *Gossip) Read(e event.Read, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	g.done(e.Document, e.From)
	verdict, err := g.offer(e)
	if err != nil {
		g.delay(e, e.Document, e.From, random)
		return g.passOver(e, g.noteInvalid(e, err, out))
	}
	switch verdict {
	case view.Taken:
		return g.taken(e, random, out)
	case view.Known:
		return g.confirmed(e.At, e.Document, e.From, out)
	case view.Invalid:
		g.delay(e, e.Document, e.From, random)
		return g.passOver(e, out)
	case view.Older:
	}
	g.delay(e, e.Document, e.From, random)
	return Change{}, append(out, effect.Count{Name: "older_document"})
}

// passOver confirms the document that this node holds where every revision from
// it to the invalid one of e is known to be invalid.
func (g *Gossip) passOver(e event.Read, out []effect.Effect) (Change, []effect.Effect) {
	r := &g.reads[e.Document]
	held := g.version(e.Document).Revision
	if held == 0 {
		return Change{}, out
	}
	if e.Revision == max(held, r.passed)+1 {
		r.passed = e.Revision
	}
	if e.Revision != r.passed {
		return Change{}, out
	}
	return g.confirmed(e.At, e.Document, e.From, out)
}

// offer offers a document to its view.
func (g *Gossip) offer(e event.Read) (view.Verdict, error) {
	if e.Document == event.Fleet {
		return g.fleet.Offer(e.Text, e.Revision, e.At)
	}
	return g.rules.Offer(e.Text, e.Revision, e.At)
}

// noteInvalid counts a document that was refused, and notes it when its revision is read first.
func (g *Gossip) noteInvalid(e event.Read, err error, out []effect.Effect) []effect.Effect {
	out = append(out, effect.Count{Name: "invalid_document"})
	if g.reads[e.Document].refused == e.Revision {
		return out
	}
	g.reads[e.Document].refused = e.Revision
	return append(out, effect.Note{Kind: effect.KindInvalid, Text: invalidText(e, err)})
}

// invalidText describes a document that was refused.
func invalidText(e event.Read, err error) string {
	var i *view.InvalidError
	if errors.As(err, &i) {
		return fmt.Sprintf("%v %d: %v", e.Document, e.Revision, i)
	}
	return fmt.Sprintf("%v %d: %v", e.Document, e.Revision, err)
}

// taken spreads a document that has just come into force here.
func (g *Gossip) taken(e event.Read, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	change := Change{Rules: e.Document == event.Rules, Fleet: e.Document == event.Fleet}
	kind := effect.KindRules
	if change.Fleet {
		kind = effect.KindFleet
		g.applyFleet()
	}
	out = append(out, effect.Note{Kind: kind, Text: fmt.Sprintf("revision %d", e.Revision)})
	confirmation, out := g.confirmed(e.At, e.Document, e.From, out)
	change.Trust = confirmation.Trust
	return change, g.tell(e.At, random, pushes, out)
}

// applyFleet derives the peers and the watchers from the list of instances.
func (g *Gossip) applyFleet() {
	instances, _ := g.fleet.Value()
	g.others = g.others[:0]
	var near []string
	for _, i := range instances {
		if i.Name != g.instance {
			g.others = append(g.others, i)
		}
		if i.Centre == g.centre && !i.Leaving {
			near = append(near, i.Name)
		}
	}
	watched := g.watches
	g.watches = watcher(g.instance, near)
	if g.watches && !watched {
		g.reads = [documents]reading{{pending: g.reads[0].pending}, {pending: g.reads[1].pending}}
	}
}

// watcher reports whether the instance is one of the watchers among near, or is not listed.
func watcher(instance string, near []string) bool {
	if !slices.Contains(near, instance) {
		return true
	}
	for range watchers {
		name, _ := owner.Of("watch", "platform", near)
		if name == instance {
			return true
		}
		near = slices.DeleteFunc(near, func(other string) bool { return other == name })
	}
	return false
}

// tell exchanges versions with up to count random peers.
func (g *Gossip) tell(at time.Time, random uint64, count int, out []effect.Effect) []effect.Effect {
	total := uint64(len(g.others))
	if total == 0 {
		return out
	}
	versions := g.Versions(at)
	stride := 1 + (random>>32)%total
	for hasCommonFactor(stride, total) {
		stride++
	}
	for i := range min(uint64(count), total) {
		p := g.others[(random+i*stride)%total]
		out = append(out, effect.Tell{Peer: p, Versions: versions})
	}
	return out
}

// hasCommonFactor reports whether steps of a visit less than all of b peers.
func hasCommonFactor(a, b uint64) bool {
	for b != 0 {
		a, b = b, a%b
	}
	return a != 1
}

// Told takes over the versions of a peer.
func (g *Gossip) Told(e event.Told, out []effect.Effect) (Change, []effect.Effect) {
	p := g.teller(e)
	if g.fleet.Wants(e.Versions.Fleet) {
		out = g.fetchFrom(e.At, event.Fleet, p, e.Versions.Fleet, out)
	}
	if g.rules.Wants(e.Versions.Rules) {
		return Change{}, g.fetchFrom(e.At, event.Rules, p, e.Versions.Rules, out)
	}
	if e.Asked.IsZero() {
		return Change{}, out
	}
	learned := e.Asked.Add(-e.Versions.Age)
	if e.Versions.Rules != g.rules.Version() || e.Versions.Age > trustTime || g.trust.isTooOld(learned) {
		return Change{Trust: g.trust.fail()}, out
	}
	g.rules.Confirm(learned)
	return Change{Trust: g.trust.confirm()}, out
}

// teller returns the peer that told its versions. One that is not yet listed is
// known by the address that it told; the result is nil where it told none.
func (g *Gossip) teller(e event.Told) *fleet.Instance {
	p := g.other(e.Peer)
	if p == nil && e.Control.IsValid() {
		return &fleet.Instance{Name: e.Peer, Control: e.Control}
	}
	return p
}

// other returns the listed peer of the given name, or nil.
func (g *Gossip) other(name string) *fleet.Instance {
	for i := range g.others {
		if g.others[i].Name == name {
			p := g.others[i]
			return &p
		}
	}
	return nil
}

// Behind reports whether v is newer than the rules of this node.
func (g *Gossip) Behind(v view.Version) bool { return g.rules.Wants(v) }

// CatchUp asks the peer that holds the version v of the rules for them.
func (g *Gossip) CatchUp(at time.Time, name string, v view.Version, out []effect.Effect) []effect.Effect {
	return g.fetchFrom(at, event.Rules, g.other(name), v, out)
}

// fetchFrom asks a peer for the version v of a document, unless another peer
// was asked for it, or for a newer one, a moment ago. Where p is nil the platform
// is read soon.
func (g *Gossip) fetchFrom(at time.Time, d event.Document, p *fleet.Instance, v view.Version, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if p == nil {
		if soon := at.Add(retryTime); r.next.After(soon) {
			r.next = soon
		}
		return out
	}
	if r.wanted.Compare(v) >= 0 && at.Sub(r.asked) < fetchTime {
		r.other, r.spare = p, v
		return out
	}
	r.wanted, r.asked = v, at
	return append(out, effect.Fetch{Document: d, Peer: p, After: g.version(d).Revision})
}

// askOther asks the second peer for what the first one did not give.
func (g *Gossip) askOther(d event.Document, at time.Time, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	p, v := r.other, r.spare
	if p == nil || r.wanted != (view.Version{}) && at.Sub(r.asked) < fetchTime {
		return out
	}
	r.other = nil
	isWanted := g.rules.Wants(v)
	if d == event.Fleet {
		isWanted = g.fleet.Wants(v)
	}
	if !isWanted {
		return out
	}
	return g.fetchFrom(at, d, p, v, out)
}

// Unchanged takes over that a source holds nothing newer.
func (g *Gossip) Unchanged(e event.Unchanged, out []effect.Effect) (Change, []effect.Effect) {
	g.done(e.Document, e.From)
	return g.confirmed(e.At, e.Document, e.From, out)
}

// confirmed takes over that the platform holds no newer document.
func (g *Gossip) confirmed(at time.Time, d event.Document, from event.Source, out []effect.Effect) (Change, []effect.Effect) {
	if from.Peer != "" {
		return Change{}, out
	}
	if d == event.Fleet {
		g.fleet.Confirm(at)
		return Change{}, out
	}
	g.rules.Confirm(at)
	return Change{Trust: g.trust.confirm()}, out
}

// Unread takes over that a read has failed.
func (g *Gossip) Unread(e event.Unread, random uint64) Change {
	g.done(e.Document, e.From)
	g.delay(e, e.Document, e.From, random)
	return Change{Trust: g.trust.fail()}
}

// Silent takes over that a peer could not be reached.
func (g *Gossip) Silent() Change { return Change{Trust: g.trust.fail()} }

// done ends a read of the platform or of a peer.
func (g *Gossip) done(d event.Document, from event.Source) {
	if from.Peer == "" {
		g.reads[d].pending = false
		return
	}
	g.reads[d].wanted = view.Version{}
}

// delay lets the next read of a document wait after one that gave nothing to
// use, as an invalid text is given again at once.
func (g *Gossip) delay(e event.Event, d event.Document, from event.Source, random uint64) {
	if from.Peer != "" {
		return
	}
	if next := e.Time().Add(spread(retryTime, random)); g.reads[d].next.Before(next) {
		g.reads[d].next = next
	}
}

// spread returns a time between half of d and one and a half of d.
func spread(d time.Duration, random uint64) time.Duration {
	return d/2 + time.Duration(random%uint64(d))
}

// Tick starts the reads and exchanges that are due.
func (g *Gossip) Tick(e event.Tick, paused bool, out []effect.Effect) (Change, []effect.Effect) {
	var change Change
	switch {
	case paused:
		change.Trust = true
		out = g.check(e.At, e.Random, out)
	case g.Age(e.At) > doubtTime:
		change.Trust, out = g.doubt(e.At, e.Random, out)
	}
	if g.trust.expire(e.At) {
		change.Trust = true
	}
	for d := range event.Document(documents) {
		out = g.readIfDue(d, e, out)
	}
	if e.At.Sub(g.round) >= roundTime {
		g.round = e.At
		out = g.tell(e.At, e.Random, 1, out)
	}
	return change, out
}

// readIfDue asks the platform for a document whose next read is due.
func (g *Gossip) readIfDue(d event.Document, e event.Tick, out []effect.Effect) []effect.Effect {
	out = g.askOther(d, e.At, out)
	r := &g.reads[d]
	if r.pending || e.At.Before(r.next) {
		return out
	}
	if !g.watches {
		r.next = e.At.Add(spread(pollTime, e.Random))
	}
	return g.fetch(d, out)
}

// FleetAge returns the time since the platform confirmed the list of instances.
func (g *Gossip) FleetAge(now time.Time) time.Duration { return g.fleet.Age(now) }
