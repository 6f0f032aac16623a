package guard

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ledger"
	"bulrushlock/core/ticket"
)

// keys remembers for each key the last attempt that was let in under it.
type keys struct {
	records map[string]keyRecord
	order   []keyAge
	// blind is the time until which a key that is not remembered may have run.
	blind time.Time
}

// keyRecord is the last attempt of a key.
type keyRecord struct {
	ticket ticket.Ticket
	at     time.Time
}

// keyAge is an element of the order in which keys were put.
type keyAge struct {
	key string
	at  time.Time
}

// newKeys returns an empty memory of keys.
func newKeys() keys {
	return keys{records: make(map[string]keyRecord)}
}

// put remembers t as the last attempt of key.
func (k *keys) put(key string, t ticket.Ticket, at time.Time) {
	k.records[key] = keyRecord{ticket: t, at: at}
	k.order = append(k.order, keyAge{key: key, at: at})
	k.evict(at)
}

// evict forgets keys that are older than KeyWindow, and the oldest beyond keyCapacity.
func (k *keys) evict(now time.Time) {
	for len(k.order) > 0 {
		oldest := k.order[0]
		old := now.Sub(oldest.at) > KeyWindow
		if !old && len(k.order) <= keyCapacity {
			return
		}
		if !old {
			k.blind = now.Add(KeyWindow)
		}
		k.order = k.order[1:]
		if r, ok := k.records[oldest.key]; ok && r.at.Equal(oldest.at) {
			delete(k.records, oldest.key)
		}
	}
}

// judgeKey answers an attempt by what became of an earlier one of the same key.
func (g *Guard) judgeKey(e event.Attempt, out []effect.Effect) ([]effect.Effect, bool) {
	r, ok := g.keys.records[e.Key]
	if !ok {
		return out, false
	}
	answer, state, kept := g.ledger.Find(r.ticket)
	switch {
	case verdictOf(state) == event.NotRun:
		return out, false
	case state == ledger.Running:
		return deny(e, effect.Running, effect.ReasonKey, out), true
	}
	return judged(e, answer, state, kept, out)
}

// bar refuses an attempt of a key of which this guard cannot know whether it has
// run elsewhere, or may yet.
func (g *Guard) bar(e event.Attempt, gate Gate, out []effect.Effect) ([]effect.Effect, bool) {
	if !gate.Owner {
		return g.refuse(e, effect.ReasonKey, out), true
	}
	if _, ok := g.keys.records[e.Key]; ok {
		return out, false
	}
	known := gate.Settled && !e.At.Before(g.keys.blind)
	if known || e.First && gate.Recent {
		return out, false
	}
	return g.refuse(e, effect.ReasonKey, out), true
}

// refusal returns the outcome of an attempt that is refused: it has not run, but
// an earlier sending of its key may have.
func (g *Guard) refusal(e event.Attempt) effect.Outcome {
	if e.Idempotent || e.Key == "" {
		return effect.NotRun
	}
	_, known := g.keys.records[e.Key]
	if g.isTaken(e.Key) || !known && !e.First {
		return effect.Unknown
	}
	return effect.NotRun
}

// isTaken reports whether an attempt of key runs here, has run or may have run.
func (g *Guard) isTaken(key string) bool {
	r, ok := g.keys.records[key]
	if !ok {
		return false
	}
	_, state, _ := g.ledger.Find(r.ticket)
	return verdictOf(state) != event.NotRun
}
