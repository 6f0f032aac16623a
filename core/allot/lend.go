package allot

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minWait and maxWait bound the time after which a node asks an empty part again.
	minWait = 10 * time.Millisecond
	maxWait = time.Second
	// maxCount is the maximum number of tokens lent at once.
	maxCount = 64
	// roundingError is added to tokens before they are rounded down.
	roundingError = 1e-9
)

// bucket is the token bucket of one part at its owner.
type bucket struct {
	// rate is in tokens per second, size in tokens.
	rate   float64
	size   float64
	tokens float64
	last   time.Time
	// certainAt is the time from which this node is the only owner.
	certainAt time.Time
}

// Grant is the response of an owner.
type Grant struct {
	// Owner is set if the node owns the part by its own view.
	Owner bool
	// Count is the number of tokens that are lent.
	Count int
	// Wait is the time until the part has a token again. It is 0 if the part lent all that it
	// was asked for.
	Wait time.Duration
}

// Lend lends up to count tokens of a part of this node's data centre.
func (a *Allot) Lend(now time.Time, name string, shard, count int) Grant {
	c, ok := a.customers[name]
	if !ok {
		return Grant{}
	}
	for i := range c.parts {
		p := &c.parts[i]
		if p.centre == a.centre && p.shard == shard && p.bucket != nil {
			return a.lend(now, p.bucket, min(max(count, 0), maxCount))
		}
	}
	return Grant{}
}

// lend lends up to count tokens of b.
func (a *Allot) lend(now time.Time, b *bucket, count int) Grant {
	a.refill(now, b)
	n := min(count, int(b.tokens+roundingError))
	b.tokens -= float64(n)
	g := Grant{Owner: true, Count: n}
	if n < count {
		missing := (1 - b.tokens) / (b.rate * a.shareOf(now, b))
		g.Wait = min(max(time.Duration(missing*float64(time.Second)), minWait), maxWait)
	}
	return g
}

// HeardFrom records a message of another instance. One that is not listed does not count.
func (a *Allot) HeardFrom(now time.Time, instance string) {
	if _, listed := a.instances[instance]; listed && len(a.customers) > 0 {
		a.heardFrom[instance] = now
	}
}

// SetListAge records the age of the instance list. An owner whose list is old and that does not
// hear of its peers may have been replaced, so it lends as an uncertain one.
func (a *Allot) SetListAge(now time.Time, age time.Duration) {
	if len(a.customers) == 0 {
		return
	}
	inTouch := age <= touchTime || a.hearsPeers(now)
	if inTouch == a.inTouch {
		return
	}
	a.refillAll(now)
	a.inTouch = inTouch
	a.refillAll(now)
}

// hearsPeers reports whether this node hears of the other instances of its data centre: of minHeard
// of them, or of half if they are few. One that is alone in its data centre must hear of any other.
func (a *Allot) hearsPeers(now time.Time) bool {
	heard, all := 0, 0
	for _, name := range a.members[a.centre] {
		if name == a.instance {
			continue
		}
		all++
		if at, ok := a.heardFrom[name]; ok && now.Sub(at) <= touchTime {
			heard++
		}
	}
	if all == 0 && len(a.instances) > 1 {
		for _, at := range a.heardFrom {
			if now.Sub(at) <= touchTime {
				return true
			}
		}
		return false
	}
	return heard >= min(minHeard, (all+1)/2)
}

// refillAll refills the buckets of all parts that this node owns.
func (a *Allot) refillAll(now time.Time) {
	for _, c := range a.customers {
		for i := range c.parts {
			if b := c.parts[i].bucket; b != nil {
				a.refill(now, b)
			}
		}
	}
}

// shareOf returns the share of its rate and size that b has at the given time.
func (a *Allot) shareOf(now time.Time, b *bucket) float64 {
	if a.inTouch && !now.Before(b.certainAt) {
		return 1
	}
	return uncertainShare
}

// refill adds the tokens for the time since the last call.
func (a *Allot) refill(now time.Time, b *bucket) {
	if now.After(b.last) {
		added := now.Sub(b.last).Seconds() * uncertainShare
		if full := now.Sub(latest(b.last, b.certainAt)).Seconds(); a.inTouch && full > 0 {
			added += full * (1 - uncertainShare)
		}
		b.tokens += b.rate * added
		b.last = now
	}
	b.tokens = min(b.tokens, max(b.size*a.shareOf(now, b), 1))
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hashOf returns a hash of two names.
func hashOf(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
