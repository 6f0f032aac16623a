package allot

import (
	"math"
	"slices"
	"time"

	"bulrushlock/core/fleet"
)

const (
	// leaseTime is the time for which lent tokens are good, from the moment at which they were
	// asked for.
	leaseTime = 250 * time.Millisecond
	// aheadTime is the time whose requests a node asks tokens for ahead.
	aheadTime = 100 * time.Millisecond
	// maxWaiting is the maximum number of requests of a customer that wait for tokens.
	maxWaiting = 256
	// maxClaimTime is the longest time for which a request waits for tokens.
	maxClaimTime = 150 * time.Millisecond
	// maxAnswerTime is the time after which an answer counts as lost.
	maxAnswerTime = time.Second
	// silentTime is the time for which an owner that did not respond is not asked.
	silentTime = 500 * time.Millisecond
	// foreignTime is the same for a node that does not take itself for the owner.
	foreignTime = 100 * time.Millisecond
	// demandTime is the time constant of the demand of a customer at this node.
	demandTime = time.Second
)

// Verdict says what becomes of a request.
type Verdict uint8

// The verdicts on a request.
const (
	// Free means that the customer has no limit.
	Free Verdict = iota
	// Granted means that the request has taken a token.
	Granted
	// Waiting means that Answered will settle the request.
	Waiting
	// Refused means that there is no token.
	Refused
)

// Ask asks the owner of a part for tokens.
type Ask struct {
	Customer string
	Shard    int
	Owner    fleet.Instance
	Count    int
}

// Decision is the verdict on a request.
type Decision struct {
	Verdict Verdict
	// Ask is sent if it is not nil.
	Ask *Ask
	// Refusal is set if the request is refused.
	Refusal Refusal
}

// Refusal says why there is no token.
type Refusal struct {
	Limit Limit
	// Wait is the time until there may be one.
	Wait time.Duration
	// Silent is set if no owner responded, so that nothing is known about the use of the limit.
	Silent bool
	// Owner is the owner whose answer has decided, and Age the age of that answer.
	Owner string
	Age   time.Duration
	// Lent is about the number of tokens that were lent to this node within a second.
	Lent int
}

// Answer is what became of an Ask.
type Answer struct {
	Ask     Ask
	AskedAt time.Time
	// Responded is set if the owner has responded with Grant.
	Responded bool
	Grant     Grant
}

// Settled are the results of an Answer.
type Settled struct {
	// Granted and Refused are the requests whose wait is over.
	Granted []uint64
	Refused []uint64
	Refusal Refusal
	// Ask is sent if it is not nil.
	Ask *Ask
}

// lease is a number of lent tokens.
type lease struct {
	count int
	until time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	id    uint64
	since time.Time
}

// demand estimates how many requests arrive, or tokens are lent, a second.
type demand struct {
	rate float64
	at   time.Time
}

// observe adds a number of requests or tokens.
func (d *demand) observe(now time.Time, count int) {
	if now.After(d.at) {
		d.rate *= math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
		d.at = now
	}
	d.rate += float64(count) / demandTime.Seconds()
}

// Claim takes a token for a request of a customer. The id is one that no other waiting request
// has.
func (a *Allot) Claim(now time.Time, name string, id uint64) Decision {
	c, ok := a.customers[name]
	if !ok {
		return Decision{}
	}
	c.demand.observe(now, 1)
	if len(c.waiting) == 0 && c.take(now) {
		return Decision{Verdict: Granted}
	}
	if len(c.waiting) >= maxWaiting {
		return Decision{Verdict: Refused, Refusal: a.refusal(now, c)}
	}
	c.waiting = append(c.waiting, waiter{id: id, since: now})
	if c.asking && now.Sub(c.askedAt) < maxAnswerTime {
		return Decision{Verdict: Waiting}
	}
	s := a.settle(now, c)
	switch {
	case slices.Contains(s.Granted, id):
		return Decision{Verdict: Granted}
	case slices.Contains(s.Refused, id):
		return Decision{Verdict: Refused, Refusal: s.Refusal}
	}
	return Decision{Verdict: Waiting, Ask: s.Ask}
}

// IsExhausted reports whether a request of a customer would be refused at once, and why.
func (a *Allot) IsExhausted(now time.Time, name string) (Refusal, bool) {
	c, ok := a.customers[name]
	if !ok || c.asking || len(c.waiting) > 0 || c.holds(now) || a.nextPart(now, c) >= 0 {
		return Refusal{}, false
	}
	c.demand.observe(now, 1)
	return a.refusal(now, c), true
}

// Answered settles the requests that waited for an answer.
func (a *Allot) Answered(now time.Time, e Answer) Settled {
	c, ok := a.customers[e.Ask.Customer]
	if !ok {
		return Settled{}
	}
	c.asking = false
	i := slices.IndexFunc(c.parts, func(p part) bool { return p.centre == e.Ask.Owner.Centre && p.shard == e.Ask.Shard })
	if !e.Responded {
		a.silentUntil[e.Ask.Owner.Name] = now.Add(silentTime)
	}
	if i >= 0 {
		c.record(now, &c.parts[i], e)
	}
	return a.settle(now, c)
}

// record records the answer of the owner of p.
func (c *customer) record(now time.Time, p *part, e Answer) {
	switch {
	case !e.Responded:
		return
	case !e.Grant.Owner:
		p.skipUntil, p.isEmpty = now.Add(foreignTime), false
		return
	case e.Grant.Wait > 0:
		p.skipUntil, p.isEmpty, p.toldAt = now.Add(min(e.Grant.Wait, maxWait)), true, now
	}
	if count := min(e.Grant.Count, maxCount); count > 0 {
		c.lent.observe(now, count)
		c.tokens = append(c.tokens, lease{count: count, until: e.AskedAt.Add(leaseTime)})
	}
}

// Withdraw drops a waiting request.
func (a *Allot) Withdraw(name string, id uint64) {
	if c, ok := a.customers[name]; ok {
		c.waiting = slices.DeleteFunc(c.waiting, func(w waiter) bool { return w.id == id })
	}
}

// holds reports whether there are lent tokens.
func (c *customer) holds(now time.Time) bool {
	for len(c.tokens) > 0 && (c.tokens[0].count == 0 || !now.Before(c.tokens[0].until)) {
		c.tokens = slices.Delete(c.tokens, 0, 1)
	}
	return len(c.tokens) > 0
}

// take takes a lent token.
func (c *customer) take(now time.Time) bool {
	if !c.holds(now) {
		return false
	}
	c.tokens[0].count--
	return true
}

// settle gives lent tokens to waiting requests, and asks for more or refuses the rest.
func (a *Allot) settle(now time.Time, c *customer) Settled {
	var s Settled
	for {
		for len(c.waiting) > 0 && c.take(now) {
			s.Granted = append(s.Granted, c.waiting[0].id)
			c.waiting = slices.Delete(c.waiting, 0, 1)
		}
		if len(c.waiting) == 0 {
			return s
		}
		i := a.nextPart(now, c)
		if i < 0 || now.Sub(c.waiting[0].since) > maxClaimTime {
			s.Refusal = a.refusal(now, c)
			for _, w := range c.waiting {
				s.Refused = append(s.Refused, w.id)
			}
			c.waiting = c.waiting[:0]
			return s
		}
		p := &c.parts[i]
		ask := Ask{Customer: c.limit.Customer, Shard: p.shard, Owner: a.instances[p.owner], Count: c.askCount()}
		if p.bucket == nil {
			c.asking, c.askedAt = true, now
			s.Ask = &ask
			return s
		}
		c.record(now, p, Answer{Ask: ask, AskedAt: now, Responded: true, Grant: a.lend(now, p.bucket, ask.Count)})
	}
}

// askCount returns the number of tokens to ask for.
func (c *customer) askCount() int {
	return min(len(c.waiting)+int(c.demand.rate*aheadTime.Seconds()), maxCount)
}

// nextPart returns the index of the part to ask next, or -1 if there is none.
func (a *Allot) nextPart(now time.Time, c *customer) int {
	for _, i := range c.order {
		p := &c.parts[i]
		if p.owner != "" && !now.Before(p.skipUntil) && !now.Before(a.silentUntil[p.owner]) {
			return i
		}
	}
	return -1
}

// refusal returns why no part of c has a token.
func (a *Allot) refusal(now time.Time, c *customer) Refusal {
	c.lent.observe(now, 0)
	r := Refusal{Limit: c.limit, Silent: true, Wait: silentTime, Lent: int(math.Round(c.lent.rate))}
	for _, i := range c.order {
		p := &c.parts[i]
		left := p.skipUntil.Sub(now)
		if !p.isEmpty || left <= 0 || !r.Silent && left >= r.Wait {
			continue
		}
		r.Silent, r.Wait, r.Owner, r.Age = false, left, p.owner, now.Sub(p.toldAt)
	}
	return r
}
