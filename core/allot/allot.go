// Package allot keeps the limits of customers over all nodes together, without a store: in any
// few seconds all nodes admit little more than a customer's rate and burst allow, and a customer
// that stays below its limit is hardly ever refused.
//
// It answers a load in which most customers are small: at 78 nodes an equal share of a limit is
// less than one request, so that shares alone refuse what they should admit.
//
// A limit is cut into parts: a few for each data centre, always the same number, whether the
// data centre can be reached or not. Each part is a token bucket with an equal share of the rate
// and of the burst. The part's owner, an instance of its data centre found by rendezvous
// hashing, lends tokens to the nodes that ask. A node asks the owner of a part of its own data
// centre when a request arrives and it holds no token, for as many tokens as requests wait and a
// few more if it sees many; it asks the owners of other parts where that one has none or does
// not respond. Lent tokens are good for leaseTime.
//
// An owner that may not be the only one lends at uncertainShare of the rate: for holdTime after
// it has become the owner, and while it is out of touch. Buckets start empty. The sum over all
// nodes therefore stays below a quarter more than the limit; docs/design/allotments.md has the
// account.
//
// One request takes one token, when it is first sent to a guard. Later attempts of the same
// request and calls of running requests take none.
//
// # Usage
//
//	a := allot.New("ledger-1", "north")
//	a.SetView(now, limits, instances)
//	d := a.Claim(now, "acme", id)
//	if d.Verdict == allot.Waiting && d.Ask != nil {
//		send(*d.Ask)
//	}
//	settled := a.Answered(now, answer)
//
// An Allot is not safe for concurrent use.
package allot

import (
	"maps"
	"math"
	"slices"
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/core/owner"
)

const (
	// minParts is the minimum number of parts of a limit. While the owner of one part does not
	// respond, the others lend.
	minParts = 3
	// maxPartRate is the rate in tokens per second above which a part is cut into more, so that
	// its owner answers few messages.
	maxPartRate = 16.0
	// maxParts is the maximum number of parts of one data centre.
	maxParts = 64
	// spareBurst is the number of tokens that all buckets of a limit may hold beyond its burst, and
	// maxPartSpare that of one bucket. It lets a small share hold whole tokens.
	spareBurst   = 6.0
	maxPartSpare = 2.0
	// minBurstTime is the time whose tokens a bucket can hold at least, besides one token.
	minBurstTime = 100 * time.Millisecond
	// heardMemory is the time for which a node believes another one that knows more data centres,
	// and maxHeard the largest number that it believes.
	heardMemory = 10 * time.Second
	maxHeard    = 64
	// touchTime is the age of the instance list up to which an owner is in touch, and the time
	// within which it must have heard of minHeard peers of its data centre if the list is older.
	touchTime = 3 * time.Second
	minHeard  = 3
	// centreMemory is the time for which a data centre without listed instances keeps its parts:
	// it may be cut off and still lend.
	centreMemory = time.Minute
	// holdTime is the time for which the new owner of a part is uncertain. Within it the owner
	// before either holds the same instance list or is out of touch.
	holdTime = 1500 * time.Millisecond
	// startTime and startBurst are the parts of a second's rate and of the burst that the bucket of
	// an owner holds that starts without another one before it. The nodes may all have restarted,
	// and what was lent before is lost.
	startTime  = 400 * time.Millisecond
	startBurst = 0.1
	// uncertainShare is the share of rate and burst at which an uncertain owner lends.
	uncertainShare = 0.15
)

// Limit is the limit of one customer over all nodes together.
type Limit struct {
	Customer string
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of requests that may come at the same moment after a quiet time.
	Burst int
}

// Allot holds the parts that this node owns and the tokens that it was lent.
type Allot struct {
	instance string
	centre   string
	// centres are the times at which data centres were last listed.
	centres map[string]time.Time
	// heardCentres is the largest number of data centres that another node knows, heard at heardAt.
	// A node that has restarted does not know those that have no listed instances.
	heardCentres int
	heardAt      time.Time
	// centreCount is the number of data centres by which limits are cut.
	centreCount int
	// members are the names of the instances of each data centre that may own parts, sorted.
	members   map[string][]string
	instances map[string]fleet.Instance
	customers map[string]*customer
	// heardFrom holds the times of the last messages of other instances.
	heardFrom map[string]time.Time
	// silentUntil holds the owners that did not respond, and when to ask them again.
	silentUntil map[string]time.Time
	inTouch     bool
}

// customer is the state of one customer with a limit.
type customer struct {
	limit Limit
	// parts are those of the known data centres; count includes those of others.
	parts []part
	count int
	// order holds the indexes of the parts that this node asks, in that order.
	order   []int
	tokens  []lease
	waiting []waiter
	// asking is set while an answer is due, since askedAt.
	asking  bool
	askedAt time.Time
	// isNew is set until the first instance list.
	isNew bool
	// demand estimates the requests that arrive at this node, and lent the tokens that it gets.
	demand demand
	lent   demand
}

// part is one part of a limit.
type part struct {
	centre string
	shard  int
	// owner is the name of the instance that lends, or empty if none is listed.
	owner string
	// bucket is not nil while this node is the owner.
	bucket *bucket
	// skipUntil is the time until which the part is not asked. isEmpty is set if the owner said
	// that it has no tokens, at toldAt.
	skipUntil time.Time
	isEmpty   bool
	toldAt    time.Time
}

// New returns an Allot without limits for the node of the given instance and data centre.
func New(instance, centre string) *Allot {
	return &Allot{
		instance:    instance,
		centre:      centre,
		centres:     make(map[string]time.Time),
		members:     make(map[string][]string),
		instances:   make(map[string]fleet.Instance),
		customers:   make(map[string]*customer),
		heardFrom:   make(map[string]time.Time),
		silentUntil: make(map[string]time.Time),
		inTouch:     true,
	}
}

// HasLimits reports whether any customer has a limit.
func (a *Allot) HasLimits() bool { return len(a.customers) > 0 }

// SetView adopts the limits and the instance list. Limits without a rate do not count. What is
// known about a customer that keeps a limit stays; a bucket above a lower burst loses the rest. It
// returns the waiting requests of customers that no longer have a limit.
func (a *Allot) SetView(now time.Time, limits []Limit, instances []fleet.Instance) (freed []uint64) {
	a.refillAll(now)
	before := a.members
	a.applyInstances(now, instances)
	customers := make(map[string]*customer, len(limits))
	for _, l := range limits {
		if l.Rate <= 0 {
			continue
		}
		c, ok := a.customers[l.Customer]
		if !ok {
			c = &customer{isNew: true}
		}
		c.limit = l
		customers[l.Customer] = c
	}
	for name, c := range a.customers {
		if _, ok := customers[name]; !ok {
			for _, w := range c.waiting {
				freed = append(freed, w.id)
			}
		}
	}
	a.customers = customers
	a.cut(now, before)
	if len(instances) > 0 {
		for _, c := range a.customers {
			c.isNew = false
		}
	}
	return freed
}

// Centres returns the number of data centres that this node knows, for other nodes.
func (a *Allot) Centres() int { return len(a.centres) }

// Heard records the number of data centres that another node knows.
func (a *Allot) Heard(now time.Time, count int) {
	if count < a.heardCentres && now.Sub(a.heardAt) < heardMemory {
		return
	}
	a.heardCentres, a.heardAt = min(count, maxHeard), now
	if max(a.heardCentres, len(a.centres)) != a.centreCount {
		a.cut(now, a.members)
	}
}

// cut cuts the limits into parts. The argument before holds the members of the previous list.
func (a *Allot) cut(now time.Time, before map[string][]string) {
	a.refillAll(now)
	a.centreCount = len(a.centres)
	if now.Sub(a.heardAt) < heardMemory {
		a.centreCount = max(a.centreCount, a.heardCentres)
	}
	centres := slices.Sorted(maps.Keys(a.centres))
	added := a.addedSince(before)
	for _, c := range a.customers {
		a.applyParts(now, c, centres, added)
	}
}

// addedSince returns the members of each data centre that the previous list did not hold.
func (a *Allot) addedSince(before map[string][]string) map[string][]string {
	added := make(map[string][]string)
	for centre, names := range a.members {
		for _, name := range names {
			if _, known := slices.BinarySearch(before[centre], name); !known {
				added[centre] = append(added[centre], name)
			}
		}
	}
	return added
}

// applyInstances adopts the instance list.
func (a *Allot) applyInstances(now time.Time, instances []fleet.Instance) {
	a.members = make(map[string][]string)
	clear(a.instances)
	for _, i := range instances {
		a.centres[i.Centre] = now
		if !i.Leaving {
			a.members[i.Centre] = append(a.members[i.Centre], i.Name)
			a.instances[i.Name] = i
		}
	}
	for _, names := range a.members {
		slices.Sort(names)
	}
	maps.DeleteFunc(a.centres, func(_ string, listedAt time.Time) bool { return now.Sub(listedAt) > centreMemory })
	maps.DeleteFunc(a.heardFrom, func(_ string, at time.Time) bool { return now.Sub(at) > touchTime })
	maps.DeleteFunc(a.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// shardsOf returns the number of parts of each data centre for a limit.
func shardsOf(l Limit, centres int) int {
	least := float64(minParts) / float64(centres)
	return int(min(math.Ceil(max(least, l.Rate/(maxPartRate*float64(centres)))), maxParts))
}

// applyParts derives the parts of c and their owners. The argument added holds the members that the
// previous list did not hold.
func (a *Allot) applyParts(now time.Time, c *customer, centres []string, added map[string][]string) {
	if len(centres) == 0 {
		c.parts, c.order = nil, nil
		return
	}
	shards := shardsOf(c.limit, a.centreCount)
	old := c.parts
	c.parts = make([]part, 0, len(centres)*shards)
	for _, centre := range centres {
		for shard := range shards {
			i := slices.IndexFunc(old, func(p part) bool { return p.centre == centre && p.shard == shard })
			if i < 0 {
				c.parts = append(c.parts, part{centre: centre, shard: shard, owner: a.ownerOf(c, centre, shard)})
				continue
			}
			p := old[i]
			p.owner = a.nextOwner(c, p, added[centre])
			c.parts = append(c.parts, p)
		}
	}
	c.count = a.centreCount * shards
	for i := range c.parts {
		a.applyOwner(now, c, &c.parts[i])
	}
	c.order = a.askOrder(c, shards)
}

// applyOwner gives a part that this node owns a bucket, and takes it from the others. If the node
// knew no instance list or no limit of the customer before, no other instance lends in its place: the
// list has contained it at least since it started. Otherwise the owner before may still lend.
func (a *Allot) applyOwner(now time.Time, c *customer, p *part) {
	switch {
	case p.owner != a.instance:
		p.bucket = nil
		return
	case p.bucket == nil:
		p.bucket = &bucket{last: now, certainAt: now.Add(holdTime)}
		if c.isNew {
			p.bucket.certainAt = now
			p.bucket.tokens = (c.limit.Rate*startTime.Seconds() + float64(c.limit.Burst)*startBurst) / float64(c.count)
		}
	}
	p.bucket.rate, p.bucket.size = c.share()
	a.refill(now, p.bucket)
}

// share returns the rate and the size of the bucket of one part of c.
func (c *customer) share() (rate, size float64) {
	count := float64(c.count)
	rate = c.limit.Rate / count
	size = float64(c.limit.Burst)/count + min(maxPartSpare, spareBurst/count)
	return rate, max(size, 1+rate*minBurstTime.Seconds())
}

// partKey returns the key by which the owner of a part is found.
func partKey(c *customer, shard int) string {
	return c.limit.Customer + "\x00" + string(rune('a'+shard))
}

// ownerOf returns the name of the owner of a part, or an empty name if no instance of the data
// centre is listed.
func (a *Allot) ownerOf(c *customer, centre string, shard int) string {
	name, _ := owner.Of(partKey(c, shard), centre, a.members[centre])
	return name
}

// nextOwner returns the owner of p after a change of the members of its data centre. While the
// owner stays, only the instances that were added may take its place.
func (a *Allot) nextOwner(c *customer, p part, added []string) string {
	if _, listed := slices.BinarySearch(a.members[p.centre], p.owner); !listed {
		return a.ownerOf(c, p.centre, p.shard)
	}
	if len(added) == 0 {
		return p.owner
	}
	name, _ := owner.Of(partKey(c, p.shard), p.centre, append(slices.Clone(added), p.owner))
	return name
}

const (
	// minAsked is the number of parts that a node asks for tokens. Where there are few nodes, it asks
	// so many that minAskers ask each part on average.
	minAsked  = 6
	minAskers = 4
)

// askOrder returns the parts that this node asks: one of its own data centre, which spreads the
// nodes over the parts, then the same one of each other data centre, then others.
func (a *Allot) askOrder(c *customer, shards int) []int {
	start := int(hashOf(a.instance, c.limit.Customer) % uint64(shards))
	others := int(hashOf(c.limit.Customer, a.instance) % uint64(len(c.parts)))
	var own, same, rest []int
	for i := range c.parts {
		i = (i + others) % len(c.parts)
		p := &c.parts[i]
		switch {
		case p.shard == start && p.centre == a.centre:
			own = append(own, i)
		case p.shard == start:
			same = append(same, i)
		default:
			rest = append(rest, i)
		}
	}
	order := slices.Concat(own, same, rest)
	asked := max(minAsked, minAskers*len(order)/max(len(a.instances), 1))
	return order[:min(len(order), asked)]
}
