package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ledger"
	"bulrushlock/core/ticket"
)

// keys maps each idempotency key to the last attempt that was accepted under it.
type keys struct {
	records map[string]keyRecord
	order   []evictionEntry
	// unknownUntil is the time until which a key without a record may still have run,
	// because records were evicted to stay within keyCapacity.
	unknownUntil time.Time
}

// keyRecord is the last attempt of a key.
type keyRecord struct {
	ticket ticket.Ticket
	at     time.Time
}

// evictionEntry is a key in the eviction order, with the time at which it was added.
type evictionEntry struct {
	key string
	at  time.Time
}

// newKeys returns an empty key map.
func newKeys() keys {
	return keys{records: make(map[string]keyRecord)}
}

// put records t as the last attempt of key.
func (k *keys) put(key string, t ticket.Ticket, at time.Time) {
	k.records[key] = keyRecord{ticket: t, at: at}
	k.order = append(k.order, evictionEntry{key: key, at: at})
	k.evict(at)
}

// evict removes keys older than KeyRetention, and the oldest ones beyond keyCapacity.
func (k *keys) evict(now time.Time) {
	for len(k.order) > 0 {
		oldest := k.order[0]
		old := now.Sub(oldest.at) > KeyRetention
		if !old && len(k.order) <= keyCapacity {
			return
		}
		if !old {
			k.unknownUntil = now.Add(KeyRetention)
		}
		k.order = k.order[1:]
		if r, ok := k.records[oldest.key]; ok && r.at.Equal(oldest.at) {
			delete(k.records, oldest.key)
		}
	}
}

// checkKey responds to an attempt if another one with its key is running or may have run.
// It reports whether it did.
func (g *Guard) checkKey(e event.Attempt, out []effect.Effect) ([]effect.Effect, bool) {
	r, ok := g.keys.records[e.Key]
	if !ok {
		return out, false
	}
	response, state, stored := g.ledger.Find(r.ticket)
	switch {
	case verdictOf(state) == event.NotRun:
		return out, false
	case state == ledger.Running:
		return appendRejection(e, effect.Running, effect.ReasonKey, out), true
	}
	return respondFromLedger(e, response, state, stored, out)
}

// checkKeyOwner rejects an attempt if this guard cannot rule out that its key has run,
// or may yet run, on another backend server. It reports whether it did.
func (g *Guard) checkKeyOwner(e event.Attempt, admission Admission, out []effect.Effect) ([]effect.Effect, bool) {
	if !admission.Owner {
		return g.reject(e, effect.ReasonKey, out), true
	}
	if _, ok := g.keys.records[e.Key]; ok {
		return out, false
	}
	isOutcomeKnown := admission.Settled && !e.At.Before(g.keys.unknownUntil)
	if isOutcomeKnown || e.FirstUse && admission.OwnedPastViewLag {
		return out, false
	}
	return g.reject(e, effect.ReasonKey, out), true
}

// rejectionOutcome returns the outcome of a rejected attempt. The attempt itself has not
// run, but an earlier attempt with the same key may have.
func (g *Guard) rejectionOutcome(e event.Attempt) effect.Outcome {
	if e.Idempotent || e.Key == "" {
		return effect.NotRun
	}
	_, hasRecord := g.keys.records[e.Key]
	if g.mayHaveRun(e.Key) || !hasRecord && !e.FirstUse {
		return effect.Unknown
	}
	return effect.NotRun
}

// mayHaveRun reports whether an attempt with this key is running here, has run or may
// have run.
func (g *Guard) mayHaveRun(key string) bool {
	r, ok := g.keys.records[key]
	if !ok {
		return false
	}
	_, state, _ := g.ledger.Find(r.ticket)
	return verdictOf(state) != event.NotRun
}
