// Package owner assigns each idempotency key to one instance of a service.
//
// Instances with the same membership agree on the owner of a key. Those with
// different memberships may not, so an owner acts for a key only once it is
// settled: it has owned the key by every membership that it saw during a window.
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

// maxMemberships is the number of memberships that a history remembers.
const maxMemberships = 32

// Of returns the owner of a key by rendezvous hashing, and whether there is one.
// The order of the instances and repeated ones do not matter.
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

// History remembers the memberships of one service within a window. It is not
// safe for concurrent use.
type History struct {
	// Service is the service of the memberships. Set it before the first Settled.
	Service     string
	window      time.Duration
	memberships []membership
	seen        time.Time
}

// membership is a set of instances, in force until the next one of the history.
type membership struct {
	from      time.Time
	instances []string
}

// New returns an empty history, in which no key is settled.
func New(window time.Duration) *History {
	return &History{window: window}
}

// Observe adds the membership seen at a time. The history starts anew if the
// membership before is older than the window. A time before the last one counts
// as the last one: the events of a process are not always taken in the order of
// the times that they were given.
func (h *History) Observe(now time.Time, instances []string) {
	now = h.latest(now)
	if h.gap(now) {
		h.memberships = nil
	}
	h.seen = now
	sorted := slices.Sorted(slices.Values(instances))
	sorted = slices.Compact(sorted)
	last := len(h.memberships) - 1
	if last >= 0 && slices.Equal(h.memberships[last].instances, sorted) {
		return
	}
	h.memberships = append(h.memberships, membership{from: now, instances: sorted})
	h.prune(now)
}

// Settled reports whether self owned the key by every membership of the whole
// window. It is false while the history does not cover the window: after the
// start, after a gap, or when memberships changed too often to be remembered.
func (h *History) Settled(now time.Time, key, self string) bool {
	now = h.latest(now)
	if len(h.memberships) == 0 || h.gap(now) {
		return false
	}
	start := now.Add(-h.window)
	if h.memberships[0].from.After(start) {
		return false
	}
	for i, m := range h.memberships {
		if h.endsBy(i, start) {
			continue
		}
		name, ok := Of(key, h.Service, m.instances)
		if !ok || name != self {
			return false
		}
	}
	return true
}

// Forget empties the history, for an observer that may have missed a membership.
func (h *History) Forget() { h.memberships = nil }

// gap reports whether the last membership seen says nothing about now.
func (h *History) gap(now time.Time) bool { return now.Sub(h.seen) > h.window }

// latest returns the later one of now and the time of the last membership seen.
func (h *History) latest(now time.Time) time.Time {
	if now.Before(h.seen) {
		return h.seen
	}
	return now
}

// endsBy reports whether another membership replaced the i-th by the start.
func (h *History) endsBy(i int, start time.Time) bool {
	return i+1 < len(h.memberships) && !h.memberships[i+1].from.After(start)
}

// prune forgets memberships from before the window, and the oldest if there are
// too many. The history then begins later and covers the window no more.
func (h *History) prune(now time.Time) {
	start := now.Add(-h.window)
	count := 0
	for h.endsBy(count, start) {
		count++
	}
	count = max(count, len(h.memberships)-maxMemberships)
	h.memberships = slices.Delete(h.memberships, 0, count)
}
