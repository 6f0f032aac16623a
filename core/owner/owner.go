// Package owner assigns each idempotency key to one instance of a service.
//
// Instances that hold the same membership agree on the owner of a key; instances that hold
// different memberships may not. An owner therefore runs requests with a key only once the key
// is settled: the owner has owned it under every membership that it observed during the window given to New, which ends now.
//
// # Usage
//
//	name, ok := owner.Of(key, "ledger", instances)
//	h := owner.New(10 * time.Second)
//	h.Service = "ledger"
//	h.Observe(now, instances)
//	if h.Settled(now, key, self) {
//		run(key)
//	}
package owner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxMemberships is the number of memberships that a history keeps.
const maxMemberships = 32

// Of returns the owner of a key by rendezvous hashing; the result is false if instances is
// empty. The order of the instances and duplicates do not matter.
func Of(key string, service string, instances []string) (string, bool) {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	seed := d.Sum64()
	var name string
	var highest uint64
	for i, n := range instances {
		d.ResetWithSeed(seed)
		_, _ = d.WriteString(n)
		s := d.Sum64()
		if i == 0 || s > highest || s == highest && n < name {
			name = n
			highest = s
		}
	}
	return name, len(instances) > 0
}

// History keeps the memberships of one service within a window. It is not safe for concurrent
// use.
type History struct {
	// Service is the service of the memberships. Set it before the first call of Settled.
	Service      string
	window       time.Duration
	memberships  []membership
	lastObserved time.Time
}

// membership is a sorted set of instances, in force until the next one in the history.
type membership struct {
	from      time.Time
	instances []string
}

// New returns an empty history with the given window. No key is settled in it.
func New(window time.Duration) *History {
	return &History{window: window}
}

// Observe adds the membership observed at the given time. If the previous one was observed
// longer ago than the window, the history starts again. A time before the last one counts as
// the last one, because a process does not always handle events in the order of their
// timestamps.
func (h *History) Observe(now time.Time, instances []string) {
	now = h.notBeforeLastObserved(now)
	if h.isStale(now) {
		h.memberships = nil
	}
	h.lastObserved = now
	sorted := slices.Sorted(slices.Values(instances))
	sorted = slices.Compact(sorted)
	last := len(h.memberships) - 1
	if last >= 0 && slices.Equal(h.memberships[last].instances, sorted) {
		return
	}
	h.memberships = append(h.memberships, membership{from: now, instances: sorted})
	h.prune(now)
}

// Settled reports whether self owned the key under every membership of the whole window. It is
// false while the history does not cover the window: after the start, after a gap, or when
// memberships changed too often to be kept.
func (h *History) Settled(now time.Time, key, self string) bool {
	now = h.notBeforeLastObserved(now)
	if len(h.memberships) == 0 || h.isStale(now) {
		return false
	}
	start := now.Add(-h.window)
	if h.memberships[0].from.After(start) {
		return false
	}
	for i, m := range h.memberships {
		if h.endedBy(i, start) {
			continue
		}
		name, ok := Of(key, h.Service, m.instances)
		if !ok || name != self {
			return false
		}
	}
	return true
}

// Clear clears the history, for use when a membership may have been missed.
func (h *History) Clear() { h.memberships = nil }

// isStale reports whether the last membership was observed longer than the window before now.
func (h *History) isStale(now time.Time) bool { return now.Sub(h.lastObserved) > h.window }

// notBeforeLastObserved returns the later of now and the time of the last observation.
func (h *History) notBeforeLastObserved(now time.Time) time.Time {
	if now.Before(h.lastObserved) {
		return h.lastObserved
	}
	return now
}

// endedBy reports whether the i-th membership was replaced at or before start.
func (h *History) endedBy(i int, start time.Time) bool {
	return i+1 < len(h.memberships) && !h.memberships[i+1].from.After(start)
}

// prune drops memberships from before the window, and the oldest ones above maxMemberships. In
// the latter case the history starts later and no longer covers the window.
func (h *History) prune(now time.Time) {
	start := now.Add(-h.window)
	count := 0
	for h.endedBy(count, start) {
		count++
	}
	count = max(count, len(h.memberships)-maxMemberships)
	h.memberships = slices.Delete(h.memberships, 0, count)
}
