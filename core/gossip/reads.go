package gossip

import (
	"errors"
	"fmt"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/view"
)

// readState is the state of the platform and peer reads of one document.
type readState struct {
	// platformReadPending is set while a read from the platform is in progress.
	platformReadPending bool
	// readAt is the time at which the last read from the platform started.
	readAt time.Time
	// retryAt is the earliest time at which the last read is retried, if it returned nothing
	// usable; zero if it did.
	retryAt time.Time
	// aloneUntil is the time until which a node that knows no peers waits after a stale read. While
	// a whole fleet starts, its instance list grows within seconds.
	aloneUntil time.Time
	// staleUntil is the time from which a node that knows no peers accepts no stale responses; zero
	// stands for maxStaleTime after the start of the node.
	staleUntil time.Time
	// fallbackAt is the time at which the platform is read instead of a peer that announced a newer
	// version but cannot be queried; zero if no such read is planned.
	fallbackAt time.Time
	// platformLost reports that the last read from the platform failed.
	platformLost bool
	// reader reports that this node read the document from the platform and has not given up the
	// reader role to a peer since.
	reader bool
	// yieldedAt is the time at which this node last heard of a node that reads in its place.
	yieldedAt time.Time
	// confirmedBy identifies the node whose read of the platform last confirmed the document.
	confirmedBy uint32
	// isOwnRead reports that the held document stems from a read of the platform by this node that
	// was not stale, so that changes may be applied to it.
	isOwnRead bool
	// changeReads is the number of reads since the last one of the whole document for which only
	// the changes were requested.
	changeReads int
	// requested is the version last requested from a peer, at the time requestedAt.
	requested   view.Version
	requestedAt time.Time
	// skippedRevision is the last of the consecutive invalid revisions that directly follow
	// the held one.
	skippedRevision uint64
	// rejectedRevision is the last revision that was rejected as invalid.
	rejectedRevision uint64
	// alternate is a second peer, which announced alternateVersion while a request to the first
	// one was pending, or nil.
	alternate        *fleet.Instance
	alternateVersion view.Version
	// away is a peer in another data centre that announced awayVersion, which is fetched from it
	// at awayAt unless a peer at home has delivered it, or nil.
	away        *fleet.Instance
	awayVersion view.Version
	awayAt      time.Time
}

// fetchFromPlatform reads a document from the platform, unless a read is pending.
func (g *Gossip) fetchFromPlatform(at time.Time, d event.Document, out []effect.Effect) []effect.Effect {
	r := &g.reads[d]
	if r.platformReadPending {
		return out
	}
	r.startRead(at)
	held := g.version(d)
	f := effect.FetchDocument{Document: d, Epoch: held.Epoch, After: held.Revision}
	switch {
	case g.acceptsStale(d, at):
		f.AllowStale = true
	case f.After > 0:
		f.MaxHold = longPollTimeout
		f.ChangesOnly = r.readsChanges()
	}
	return append(out, f)
}

// acceptsStale reports whether a read of a document may return a response that is a few seconds
// stale. A node without peers that could inform it of newer versions accepts one only while its
// whole fleet may be starting, and only until the document is confirmed.
func (g *Gossip) acceptsStale(d event.Document, at time.Time) bool {
	end := g.reads[d].staleUntil
	if end.IsZero() {
		end = g.started.Add(maxStaleTime)
	}
	return len(g.peers) == 0 && !g.isConfirmed(d) && at.Before(end)
}

// pauseAfterStaleRead delays the next read of a node that knows no peers after a stale one. In a
// fleet, half of the nodes end their stale reads after maxStaleTime, a quarter of them one
// staleStagger earlier, and so on: the few first ones inform the others.
func (g *Gossip) pauseAfterStaleRead(at time.Time, d event.Document, random uint64) {
	r := &g.reads[d]
	if r.staleUntil.IsZero() {
		steps := min(bits.TrailingZeros64(random), maxStaleSteps)
		r.staleUntil = g.started.Add(maxStaleTime - time.Duration(steps)*staleStagger)
	}
	r.aloneUntil = earlierOf(at.Add(jitter(aloneDelay, random)), r.staleUntil)
}

// startRead records that a read from the platform starts.
func (r *readState) startRead(at time.Time) {
	r.platformReadPending = true
	r.readAt = at
}

// readsChanges reports whether the next read requests only the changes, and counts it. The whole
// document is read again from time to time.
func (r *readState) readsChanges() bool {
	if !r.isOwnRead || r.changeReads >= maxChangeReads {
		r.changeReads = 0
		return false
	}
	r.changeReads++
	return true
}

// readIfDue reads a document from the platform if its next read is due. The first node in the
// reading order reads at rereadAge. The others read only if no node before them seems to have
// done so.
func (g *Gossip) readIfDue(d event.Document, e event.Tick, out []effect.Effect) []effect.Effect {
	out = g.fetchFromAlternate(d, e.At, out)
	out = g.fetchFromAway(d, e.At, out)
	r := &g.reads[d]
	if r.platformReadPending || e.At.Before(r.retryAt) || len(g.peers) == 0 && e.At.Before(r.aloneUntil) {
		return out
	}
	isFallbackDue := !r.fallbackAt.IsZero() && !e.At.Before(r.fallbackAt)
	if !isFallbackDue && e.At.Before(g.nextReadAt(d, e.At)) {
		return out
	}
	return g.fetchFromPlatform(e.At, d, out)
}

// nextReadAt returns the time at which the next read of a document is due. While no node gets a
// usable response, each node retries in its own turn, so that one of them reads the platform in
// each readStagger, and soon after the end of an outage. As soon as a node has got one, the
// others take over from it in the reading order again.
func (g *Gossip) nextReadAt(d event.Document, now time.Time) time.Time {
	r := &g.reads[d]
	confirmedAt := now.Add(-g.sinceConfirmed(d, now))
	due := confirmedAt.Add(g.readDueAge(d, now))
	switch {
	case r.retryAt.IsZero() && r.reader && r.confirmedBy == readerID(g.instance):
		// The platform holds a read for as long, so that the reader learns of a change at once.
		return r.readAt.Add(rereadAge)
	case g.isIsolated(now):
		return laterOf(confirmedAt.Add(rereadAge), r.retryAt)
	case r.retryAt.IsZero():
		return due
	case confirmedAt.After(r.readAt) && g.isSettled(now):
		return laterOf(due, r.readAt.Add(failedReadPause))
	case confirmedAt.After(r.readAt):
		return laterOf(due, g.started.Add(settleTime))
	case !g.isConfirmed(d):
		// Nodes that start do not agree on the reading order yet.
		return laterOf(due, r.retryAt)
	}
	turn := confirmedAt.Add(rereadAge + time.Duration(g.position)*readStagger)
	round := time.Duration(len(g.peers)+1) * readStagger
	if missed := r.retryAt.Sub(turn); missed > 0 {
		turn = turn.Add((missed + round - 1) / round * round)
	}
	return turn
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierOf returns the earlier of two times.
func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sinceConfirmed returns the time since a document was last confirmed. If it never was, it
// counts from the start of the node and adds rereadAge, so that the first read is due at once.
func (g *Gossip) sinceConfirmed(d event.Document, now time.Time) time.Duration {
	age := g.RulesAge(now)
	if d == event.Fleet {
		age = g.FleetAge(now)
	}
	return min(age, rereadAge+now.Sub(g.started))
}

// readDueAge returns the age of a document at which this node reads it. A node that knows peers
// leaves the read to those before it also while it holds no document: they inform it once they
// hold one.
func (g *Gossip) readDueAge(d event.Document, now time.Time) time.Duration {
	if g.reads[d].reader || len(g.peers) == 0 {
		return rereadAge
	}
	return rereadAge + g.takeoverDelay(d, now)
}

// takeoverDelay returns the time that this node leaves to the nodes before it in the reading
// order. Once this node has settled, the number of nodes that take over doubles with each
// readStagger, so that a view stays young also where most of the first nodes are unavailable. The
// nodes after maxEarlyPosition follow one by one, which bounds the reads of a large fleet.
func (g *Gossip) takeoverDelay(d event.Document, now time.Time) time.Duration {
	steps := g.position
	if g.position > 0 && g.isConfirmed(d) && g.isSettled(now) {
		early := min(g.position, maxEarlyPosition)
		steps = 1 + bits.Len(uint(early-1)) + g.position - early
	}
	return time.Duration(steps) * readStagger
}

// isSettled reports whether nodes that started with this one agree on the reading order.
func (g *Gossip) isSettled(now time.Time) bool { return now.Sub(g.started) > settleTime }

// isIsolated reports whether this node has got no message from any of its peers lately, so that it
// must read the platform itself. A node that has just started leaves its peers more time, as it may
// be the first of its fleet.
func (g *Gossip) isIsolated(now time.Time) bool {
	limit := startIsolationTime
	if g.isSettled(now) {
		limit = isolationTime
	}
	return len(g.peers) > 0 && now.Sub(laterOf(g.heardAt, g.started)) > limit
}

// isConfirmed reports whether a document was ever confirmed.
func (g *Gossip) isConfirmed(d event.Document) bool {
	if d == event.Fleet {
		return g.fleet.IsConfirmed()
	}
	return g.rules.IsConfirmed()
}

// DocumentRead handles a document that was read. The version of a new document is announced to
// peers; an invalid or older document delays the next read.
func (g *Gossip) DocumentRead(e event.DocumentRead, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	change, out := g.takeDocument(e, random, out)
	followed, out := g.followEpoch(e.At, out)
	return change.or(followed), out
}

// takeDocument offers a document that was read to the view of its kind.
func (g *Gossip) takeDocument(e event.DocumentRead, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	out = g.recordReadable(e.At, e.Document, e.From, out)
	g.finishRead(e.Document, e.From)
	out = g.logOlderEdition(e, out)
	verdict, err := g.offer(e)
	if e.MayBeStale {
		g.pauseAfterStaleRead(e.At, e.Document, random)
	}
	if err != nil {
		g.backOff(e.Document, e.From, random)
		out = g.logInvalid(e, err, out)
		if change, out, ok := g.takeCentresOut(e, random, out); ok {
			return change, out
		}
		return g.skipInvalid(e, out)
	}
	switch verdict {
	case view.Accepted:
		g.reads[e.Document].isOwnRead = e.From.Peer == "" && !e.MayBeStale
		return g.recordAccepted(e, random, out)
	case view.Known:
		if e.From.Peer == "" && !e.MayBeStale {
			g.reads[e.Document].isOwnRead = true
		}
		return g.confirmFromPlatform(e, out)
	case view.Invalid:
		g.backOff(e.Document, e.From, random)
		return g.skipInvalid(e, out)
	case view.Older:
	}
	g.backOff(e.Document, e.From, random)
	return Change{}, append(out, effect.IncrementCounter{Name: "older_document"})
}

// skipInvalid confirms the document that this node holds if every revision after it, up to the
// one of e, is known to be invalid.
func (g *Gossip) skipInvalid(e event.DocumentRead, out []effect.Effect) (Change, []effect.Effect) {
	r := &g.reads[e.Document]
	version := g.version(e.Document)
	held := version.Revision
	if held == 0 || e.Epoch != version.Epoch {
		return Change{}, out
	}
	if e.Revision == max(held, r.skippedRevision)+1 {
		r.skippedRevision = e.Revision
	}
	if e.Revision != r.skippedRevision {
		return Change{}, out
	}
	return g.confirmFromPlatform(e, out)
}

// offer offers a document to the view that holds documents of its kind.
func (g *Gossip) offer(e event.DocumentRead) (view.Verdict, error) {
	if e.Document == event.Fleet {
		age := g.FleetAge(e.At)
		v, err := g.fleet.Offer(e.Text, e.Version(), e.At)
		if v == view.Accepted {
			g.applyFleet(e.At, age)
		}
		return v, err
	}
	v, err := g.offerRules(e)
	if v == view.Accepted {
		g.applyRules(e.At)
	}
	return v, err
}

// logInvalid counts an invalid document and logs it the first time its revision is read.
func (g *Gossip) logInvalid(e event.DocumentRead, err error, out []effect.Effect) []effect.Effect {
	out = append(out, effect.IncrementCounter{Name: "invalid_document"})
	if g.reads[e.Document].rejectedRevision == e.Revision {
		return out
	}
	g.reads[e.Document].rejectedRevision = e.Revision
	return append(out, effect.LogEvent{Kind: effect.KindInvalid, Text: invalidText(e, err)})
}

// invalidText returns the log text for an invalid document.
func invalidText(e event.DocumentRead, err error) string {
	var i *view.InvalidError
	if errors.As(err, &i) {
		return fmt.Sprintf("%v %d: %v", e.Document, e.Revision, i)
	}
	return fmt.Sprintf("%v %d: %v", e.Document, e.Revision, err)
}

// DocumentUnchanged handles the response of a source that holds no newer document.
func (g *Gossip) DocumentUnchanged(e event.DocumentUnchanged, out []effect.Effect) (Change, []effect.Effect) {
	out = g.recordReadable(e.At, e.Document, e.From, out)
	g.finishRead(e.Document, e.From)
	advance := g.rules.AdvanceRevision
	if e.Document == event.Fleet {
		advance = g.fleet.AdvanceRevision
	}
	if !advance(e.Epoch, e.Revision) {
		// A peer told of a newer epoch while the read was under way.
		return Change{Freshness: g.freshness.fail()}, out
	}
	return g.confirmFromPlatform(event.DocumentRead{At: e.At, QueriedAt: e.QueriedAt, Document: e.Document, From: e.From}, out)
}

// confirmFromPlatform records that the platform holds no newer document than this node. Reads
// from a peer and reads that may be stale confirm nothing. The versions are broadcast unless a
// broadcast was made within minBroadcastInterval.
func (g *Gossip) confirmFromPlatform(e event.DocumentRead, out []effect.Effect) (Change, []effect.Effect) {
	if e.From.Peer != "" || e.MayBeStale {
		return Change{}, out
	}
	at := requestTime(e.QueriedAt, e.At)
	if g.freshness.isTooOld(at) {
		return Change{Freshness: g.freshness.fail()}, out
	}
	// A node that has yielded during the read leaves the next one to others.
	r := &g.reads[e.Document]
	r.reader = !r.yieldedAt.After(r.readAt)
	var change Change
	g.confirm(e.Document, at, readerID(g.instance))
	if e.Document == event.Rules {
		change.Freshness = g.freshness.confirm()
	}
	if e.At.Sub(g.lastBroadcast) < minBroadcastInterval {
		return change, out
	}
	// Peers that do not hold this version yet fetch it from this node.
	return change, g.broadcastVersions(e.At, out)
}

// confirm records that a node read the platform at the given time, and that the held document was
// current then.
func (g *Gossip) confirm(d event.Document, at time.Time, reader uint32) {
	confirm := g.rules.Confirm
	if d == event.Fleet {
		confirm = g.fleet.Confirm
	}
	if confirm(at) {
		g.reads[d].confirmedBy = reader
	}
}

// readerID returns the number that identifies the node of an instance as a reader. Nodes with
// lower numbers precede others in the reading order.
func readerID(instance string) uint32 { return uint32(xxhash.Sum64String(instance) >> 32) }

// requestTime returns the time at which the node sent its request, or at if that is not known.
func requestTime(queriedAt, at time.Time) time.Time {
	if queriedAt.IsZero() {
		return at
	}
	return queriedAt
}

// DocumentReadFailed handles a failed read.
func (g *Gossip) DocumentReadFailed(e event.DocumentReadFailed, random uint64, out []effect.Effect) (Change, []effect.Effect) {
	out = g.logReadFailed(e, out)
	g.finishRead(e.Document, e.From)
	g.backOff(e.Document, e.From, random)
	return Change{Freshness: g.freshness.fail()}, out
}

// logReadFailed logs a failed read from a peer, and the first of consecutive failed reads from the
// platform.
func (g *Gossip) logReadFailed(e event.DocumentReadFailed, out []effect.Effect) []effect.Effect {
	kind := effect.KindUnread
	if e.From.Peer == "" {
		r := &g.reads[e.Document]
		if r.platformLost {
			return out
		}
		r.platformLost = true
		kind = effect.KindLost
	}
	return append(out, effect.LogEvent{Kind: kind, Text: fmt.Sprintf("%s from %s: %v; %s", e.Document, sourceName(e.From), e.Cause, g.heldText(e.At, e.Document))})
}

// recordReadable logs that the platform can be read again after a failed read.
func (g *Gossip) recordReadable(at time.Time, d event.Document, from event.DocumentSource, out []effect.Effect) []effect.Effect {
	if r := &g.reads[d]; from.Peer != "" || !r.platformLost {
		return out
	}
	g.reads[d].platformLost = false
	return append(out, effect.LogEvent{Kind: effect.KindRegained, Text: fmt.Sprintf("%s from the platform; %s", d, g.heldText(at, d))})
}

// heldText returns the revision and the age of a document that this node holds, for the event log.
func (g *Gossip) heldText(at time.Time, d event.Document) string {
	age := g.RulesAge(at)
	if d == event.Fleet {
		age = g.FleetAge(at)
	}
	if age == view.UnknownAge {
		return fmt.Sprintf("holds %s, never confirmed", versionName(g.version(d)))
	}
	return fmt.Sprintf("holds %s, confirmed %v ago", versionName(g.version(d)), age.Round(time.Millisecond))
}

// finishRead clears the pending read of the platform or of a peer.
func (g *Gossip) finishRead(d event.Document, from event.DocumentSource) {
	if from.Peer == "" {
		g.reads[d].platformReadPending = false
		g.reads[d].fallbackAt = time.Time{}
		g.reads[d].retryAt = time.Time{}
		return
	}
	g.reads[d].requested = view.Version{}
}

// backOff delays the next platform read of a document after one that returned nothing usable. The
// delay counts from the start of that read, so that one that has timed out is retried soon. Until
// a first confirmation the mean delay grows with the number of peers, so that if the reads of all
// nodes fail, they make together no more than about one read per readStagger.
func (g *Gossip) backOff(d event.Document, from event.DocumentSource, random uint64) {
	if from.Peer != "" {
		return
	}
	mean := minRetryDelay
	if !g.isConfirmed(d) {
		mean = max(mean, time.Duration(len(g.peers))*readStagger)
	}
	g.reads[d].retryAt = g.reads[d].readAt.Add(jitter(mean, random))
}

// jitter returns a duration between 0.5 and 1.5 times d.
func jitter(d time.Duration, random uint64) time.Duration {
	return d/2 + time.Duration(random%uint64(d))
}
