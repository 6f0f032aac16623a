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
func (g *Guard) judgeKey(e event.Attempt, gate Gate, out []effect.Effect) ([]effect.Effect, bool) {
	if !gate.Owner {
		return g.refuse(e, effect.ReasonKey, out), true
	}
	if r, ok := g.keys.records[e.Key]; ok {
		answer, state, kept := g.ledger.Find(r.ticket)
		if verdictOf(state) == event.NotRun {
			return out, false
		}
		g.endUnknown(e)
		if state == ledger.Running {
			return deny(e, effect.Running, effect.ReasonKey, out), true
		}
		return judged(e, answer, state, kept, out)
	}
	if e.First || (gate.Settled && !e.At.Before(g.keys.blind)) {
		return out, false
	}
	g.endUnknown(e)
	return deny(e, effect.Unknown, effect.ReasonKey, out), true
}

// endUnknown records an attempt whose key may have run in an earlier attempt. Who
// asks after its ticket is never told that it has not run, since that says
// nothing of the request.
func (g *Guard) endUnknown(e event.Attempt) {
	g.ledger.Begin(e.Ticket, e.At)
	g.ledger.Finish(e.Ticket, nil, e.At)
}
