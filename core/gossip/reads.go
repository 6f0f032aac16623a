package gossip

import (
	"errors"
	"fmt"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/view"
)

// reading is the state of the reads of one document from the platform.
type reading struct {
	pending bool
	// next is the time before which a failed read is not tried again.
	next time.Time
	// soon is the time at which a version is read that a peer told of who cannot be
	// asked for it; it is zero where there is none.
	soon time.Time
	// lates is the number of reads whose answer might be some seconds old.
	lates int
	// reader tells that this node read the document from the platform and has heard
	// of nobody who did so since.
	reader bool
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

// fetch asks the platform for a document, unless a read is pending.
func (g *Gossip) fetch(d event.Document, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if r.pending {
		return out
	}
	r.pending = true
	f := effect.Fetch{Document: d, After: g.version(d).Revision}
	switch {
	case len(g.others) == 0 && r.lates < mostLate:
		r.lates++
		f.Late = true
	case f.After > 0:
		f.Wait = watchTime
	}
	return append(out, f)
}

// readIfDue asks the platform for a document whose next read is due. The first
// node in the order reads as soon as the document has the age for it, the others
// only when nobody before them seems to have done so.
func (g *Gossip) readIfDue(d event.Document, e event.Tick, out []effect.Effect) []effect.Effect {
	out = g.askOther(d, e.At, out)
	r := &g.reads[d]
	if r.pending || e.At.Before(r.next) {
		return out
	}
	isSoon := !r.soon.IsZero() && !e.At.Before(r.soon)
	if !isSoon && g.since(d, e.At) < g.turn(d) {
		return out
	}
	return g.fetch(d, out)
}

// since returns the time since a document was known to be the newest, or since
// the start of the node where it never was.
func (g *Gossip) since(d event.Document, now time.Time) time.Duration {
	age := g.Age(now)
	if d == event.Fleet {
		age = g.FleetAge(now)
	}
	return min(age, readTime+now.Sub(g.began))
}

// turn returns the age of a document from which this node reads it.
func (g *Gossip) turn(d event.Document) time.Duration {
	if g.reads[d].reader || g.version(d).Revision == 0 {
		return readTime
	}
	return readTime + time.Duration(g.rank)*turnTime
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
		return g.confirmed(e, out)
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
	return g.confirmed(e, out)
}

// offer offers a document to its view.
func (g *Gossip) offer(e event.Read) (view.Verdict, error) {
	if e.Document == event.Fleet {
		age := g.FleetAge(e.At)
		v, err := g.fleet.Offer(e.Text, e.Revision, e.At)
		if v == view.Taken {
			g.applyFleet(e.At, age)
		}
		return v, err
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

// Unchanged takes over that a source holds nothing newer.
func (g *Gossip) Unchanged(e event.Unchanged, out []effect.Effect) (Change, []effect.Effect) {
	g.done(e.Document, e.From)
	if e.Document == event.Fleet {
		g.fleet.Advance(e.Revision)
	} else {
		g.rules.Advance(e.Revision)
	}
	return g.confirmed(event.Read{At: e.At, Asked: e.Asked, Document: e.Document, From: e.From}, out)
}

// confirmed takes over that the platform holds no newer document, as e tells.
func (g *Gossip) confirmed(e event.Read, out []effect.Effect) (Change, []effect.Effect) {
	if e.From.Peer != "" || e.Late {
		return Change{}, out
	}
	at := askedAt(e.Asked, e.At)
	if g.trust.isTooOld(at) {
		return Change{Trust: g.trust.fail()}, out
	}
	g.reads[e.Document].reader = true
	var change Change
	if e.Document == event.Fleet {
		g.fleet.Confirm(at)
	} else {
		g.rules.Confirm(at)
		change.Trust = g.trust.confirm()
	}
	if e.At.Sub(g.cast) < castTime {
		return change, out
	}
	// Peers who do not hold the document by now read it here.
	return change, g.castAll(e.At, out)
}

// askedAt returns the time at which a node asked, which is at where it is not told.
func askedAt(asked, at time.Time) time.Time {
	if asked.IsZero() {
		return at
	}
	return asked
}

// Unread takes over that a read has failed.
func (g *Gossip) Unread(e event.Unread, random uint64) Change {
	g.done(e.Document, e.From)
	g.delay(e, e.Document, e.From, random)
	return Change{Trust: g.trust.fail()}
}

// done ends a read of the platform or of a peer.
func (g *Gossip) done(d event.Document, from event.Source) {
	if from.Peer == "" {
		g.reads[d].pending = false
		g.reads[d].soon = time.Time{}
		return
	}
	g.reads[d].wanted = view.Version{}
}

// delay lets the next read of a document wait after one that gave nothing to use.
// Where many nodes fail, their tries together grow no faster than with one of them
// in each turn.
func (g *Gossip) delay(e event.Event, d event.Document, from event.Source, random uint64) {
	if from.Peer != "" {
		return
	}
	mean := max(retryTime, time.Duration(len(g.others))*turnTime)
	if next := e.Time().Add(spread(mean, random)); g.reads[d].next.Before(next) {
		g.reads[d].next = next
	}
}

// spread returns a time between half of d and one and a half of d.
func spread(d time.Duration, random uint64) time.Duration {
	return d/2 + time.Duration(random%uint64(d))
}
