package allot_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/fleet"
)

const (
	// window is the time over which the sum of all nodes is bounded, by overage and slack.
	window  = 5 * time.Second
	overage = 0.25
	slack   = 20
	// askTimeout is the time after which an ask counts as lost.
	askTimeout = 25 * time.Millisecond
	// listLag is the longest time after which a node in touch holds a new list or new limits.
	listLag = 2 * time.Second
	// checkTime is the time between two looks of a node at its list.
	checkTime = 100 * time.Millisecond
)

// startTime is the time at which the simulated fleets start.
var startTime = time.Unix(1000, 0)

// entry is something that happens at a time.
type entry struct {
	at       time.Time
	sequence int
	do       func()
}

// entries is a heap of entries by time.
type entries []entry

func (e entries) Len() int { return len(e) }
func (e entries) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].sequence < e[k].sequence
}
func (e entries) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *entries) Push(x any)   { *e = append(*e, x.(entry)) }
func (e *entries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is one instance of a simulated fleet.
type simNode struct {
	instance fleet.Instance
	allot    *allot.Allot
	start    int
	down     bool
	frozen   time.Time
	// deaf and mute are one-way cuts from all others and the platform, cut is both.
	deaf, mute bool
	isolated   bool
	// listed is the state at the platform; unreachedAt is the time since which the platform has
	// not heard of the instance.
	unlisted    bool
	unreachedAt time.Time
	lapse       time.Duration
	// list is the number of the list that the node holds, confirmedAt the time of its last look.
	list        int
	limit       int
	confirmedAt time.Time
	lag         time.Duration
}

// simFleet is a fleet that shares limits, in virtual time.
type simFleet struct {
	now      time.Time
	random   *rand.Rand
	queue    entries
	sequence int
	nodes    []*simNode
	byName   map[string]*simNode
	// cutCentres are cut off from the others; blindCentres also from the platform.
	cutCentres   map[string]bool
	blindCentres map[string]bool
	platformDown bool
	lists        []published[[]fleet.Instance]
	limits       []published[[]allot.Limit]
	lossPercent  int
	lastID       uint64

	admitted map[string][]time.Time
	refused  map[string]int
	silent   map[string]int
	offered  map[string]int
	lent     map[*simNode]int
	sent     map[*simNode]int
	asks     int
	waited   []time.Duration
	pending  map[uint64]pendingRequest
}

// published is a value that was published at a time.
type published[T any] struct {
	at    time.Time
	value T
}

// pendingRequest is a request that waits for a token.
type pendingRequest struct {
	customer string
	since    time.Time
}

// newSimFleet returns a fleet of count nodes in the given number of data centres.
func newSimFleet(count, centres int, limits []allot.Limit, seed uint64) *simFleet {
	f := &simFleet{
		now: startTime, random: rand.New(rand.NewPCG(seed, 36)), byName: make(map[string]*simNode),
		cutCentres: make(map[string]bool), blindCentres: make(map[string]bool),
		admitted: make(map[string][]time.Time), refused: make(map[string]int), silent: make(map[string]int),
		lent: make(map[*simNode]int), sent: make(map[*simNode]int), offered: make(map[string]int), pending: make(map[uint64]pendingRequest),
	}
	for i := range count {
		in := fleet.Instance{Name: fmt.Sprintf("i-%d-%d", seed%1000, i), Centre: fmt.Sprintf("c%d", i%centres), Service: "ledger"}
		n := &simNode{instance: in, unreachedAt: f.now, lapse: 1500*time.Millisecond + f.upTo(3*time.Second)}
		f.nodes = append(f.nodes, n)
		f.byName[in.Name] = n
	}
	f.limits = []published[[]allot.Limit]{{f.now, limits}}
	f.publishList()
	for _, n := range f.nodes {
		f.startNode(n)
		f.check(n)
	}
	f.watch()
	return f
}

// upTo returns a random duration below most.
func (f *simFleet) upTo(most time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(most)))
}

// after calls do after a delay.
func (f *simFleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.queue, entry{at: f.now.Add(d), sequence: f.sequence, do: do})
}

// advance runs the fleet for a time.
func (f *simFleet) advance(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(entry)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// publishList publishes the instances that the platform knows.
func (f *simFleet) publishList() {
	var list []fleet.Instance
	for _, n := range f.nodes {
		if !n.unlisted {
			list = append(list, n.instance)
		}
	}
	f.lists = append(f.lists, published[[]fleet.Instance]{f.now, list})
}

// watch makes the platform drop instances that it has not heard of, and list them again.
func (f *simFleet) watch() {
	f.after(checkTime, func() {
		f.watch()
		changed := false
		for _, n := range f.nodes {
			reaches := !n.down && !n.isFrozen(f.now) && !n.mute && !n.isolated && !f.blindCentres[n.instance.Centre]
			switch {
			case f.platformDown:
				n.unreachedAt = f.now
				continue
			case reaches:
				n.unreachedAt = f.now
				changed = changed || n.unlisted
				n.unlisted = false
			case !n.unlisted && f.now.Sub(n.unreachedAt) > n.lapse:
				n.unlisted, changed = true, true
			}
		}
		if changed {
			f.publishList()
		}
	})
}

// isFrozen reports whether the processes of n are stopped.
func (n *simNode) isFrozen(now time.Time) bool { return now.Before(n.frozen) }

// startNode starts n with nothing. It reads the list at once if it reaches the platform or a peer.
func (f *simFleet) startNode(n *simNode) {
	n.start++
	n.down = false
	n.allot = allot.New(n.instance.Name, n.instance.Centre)
	n.list, n.limit, n.confirmedAt = -1, -1, f.now
	n.lag = f.upTo(listLag)
	if f.learns(n) {
		f.look(n, 0)
	}
}

// seesPlatform reports whether n reads the platform.
func (f *simFleet) seesPlatform(n *simNode) bool {
	return !f.platformDown && !n.down && !n.isFrozen(f.now) && !n.deaf && !n.mute && !n.isolated && !f.blindCentres[n.instance.Centre]
}

// check makes n look at the platform, or at a peer that does, and record whether it is in touch.
func (f *simFleet) check(n *simNode) {
	f.after(checkTime, func() {
		f.check(n)
		if n.down || n.isFrozen(f.now) {
			return
		}
		if f.learns(n) {
			n.confirmedAt = f.now
			f.look(n, n.lag)
		}
		if f.now.Sub(n.confirmedAt) > 0 {
			f.hear(n)
		}
		n.allot.SetListAge(f.now, f.now.Sub(n.confirmedAt))
	})
}

// hear makes n hear of all nodes that reach it.
func (f *simFleet) hear(n *simNode) {
	for _, o := range f.nodes {
		if o != n && f.delivers(o, n) {
			n.allot.HeardFrom(f.now, o.instance.Name)
		}
	}
}

// learns reports whether n gets the published documents, by itself or from a peer.
func (f *simFleet) learns(n *simNode) bool {
	if f.seesPlatform(n) {
		return true
	}
	return slices.ContainsFunc(f.nodes, func(o *simNode) bool { return f.seesPlatform(o) && f.delivers(o, n) })
}

// look hands n the documents that were published longer ago than lag.
func (f *simFleet) look(n *simNode, lag time.Duration) {
	list, limit := n.list, n.limit
	for i := range f.lists {
		if !f.lists[i].at.After(f.now.Add(-lag)) {
			list = max(list, i)
		}
	}
	for i := range f.limits {
		if !f.limits[i].at.After(f.now.Add(-lag)) {
			limit = max(limit, i)
		}
	}
	if list != n.list || limit != n.limit {
		n.list, n.limit = list, limit
		for _, id := range n.allot.SetView(f.now, f.limits[limit].value, f.lists[list].value) {
			f.finish(id, true)
		}
	}
}

// delivers reports whether messages from a reach b.
func (f *simFleet) delivers(a, b *simNode) bool {
	if a.down || b.down || a.isFrozen(f.now) || b.isFrozen(f.now) || a.isolated || b.isolated || a.mute || b.deaf {
		return false
	}
	ca, cb := a.instance.Centre, b.instance.Centre
	return ca == cb || !f.cutCentres[ca] && !f.cutCentres[cb]
}

// hop returns the time that a message takes.
func (f *simFleet) hop(a, b *simNode) time.Duration {
	if a.instance.Centre == b.instance.Centre {
		return 200*time.Microsecond + f.upTo(200*time.Microsecond)
	}
	return 900*time.Microsecond + f.upTo(400*time.Microsecond)
}

// request makes a request of a customer arrive at n. A node without rules takes none.
func (f *simFleet) request(n *simNode, customer string) {
	if n.down || n.isFrozen(f.now) || n.limit < 0 {
		return
	}
	f.offered[customer]++
	f.lastID++
	id := f.lastID
	d := n.allot.Claim(f.now, customer, id)
	switch d.Verdict {
	case allot.Free, allot.Granted:
		f.admitted[customer] = append(f.admitted[customer], f.now)
		f.waited = append(f.waited, 0)
	case allot.Refused:
		f.refused[customer]++
		if d.Refusal.Silent {
			f.silent[customer]++
		}
	case allot.Waiting:
		f.pending[id] = pendingRequest{customer, f.now}
	}
	f.ask(n, d.Ask)
}

// finish settles a request that waited.
func (f *simFleet) finish(id uint64, granted bool) {
	p := f.pending[id]
	delete(f.pending, id)
	f.waited = append(f.waited, f.now.Sub(p.since))
	if granted {
		f.admitted[p.customer] = append(f.admitted[p.customer], f.now)
		return
	}
	f.refused[p.customer]++
}

// messageBytes is about the size of an ask or its answer with its headers.
const messageBytes = 75

// ask sends an ask and its answer.
func (f *simFleet) ask(n *simNode, ask *allot.Ask) {
	if ask == nil {
		return
	}
	f.asks++
	f.sent[n]++
	owner, askedAt, start, done, known := f.byName[ask.Owner.Name], f.now, n.start, false, n.allot.Centres()
	answered := func(e allot.Answer) {
		if done || n.start != start || n.down {
			return
		}
		done = true
		s := n.allot.Answered(f.now, e)
		for _, id := range s.Granted {
			f.finish(id, true)
		}
		for _, id := range s.Refused {
			if s.Refusal.Silent {
				f.silent[ask.Customer]++
			}
			f.finish(id, false)
		}
		f.ask(n, s.Ask)
	}
	timeout := func() { answered(allot.Answer{Ask: *ask, AskedAt: askedAt}) }
	f.after(askTimeout, func() { f.whenAwake(n, timeout) })
	if f.random.IntN(100) < f.lossPercent {
		return
	}
	f.after(f.hop(n, owner), func() {
		if !f.delivers(n, owner) {
			return
		}
		owner.allot.Heard(f.now, known)
		g, known := owner.allot.Lend(f.now, ask.Customer, ask.Shard, ask.Count), owner.allot.Centres()
		f.lent[owner] += g.Count
		f.sent[owner]++
		if f.random.IntN(100) < f.lossPercent || !f.delivers(owner, n) {
			return
		}
		f.after(f.hop(owner, n), func() {
			n.allot.Heard(f.now, known)
			f.whenAwake(n, func() { answered(allot.Answer{Ask: *ask, AskedAt: askedAt, Responded: true, Grant: g}) })
		})
	})
}

// whenAwake calls do now, or when n is no longer frozen.
func (f *simFleet) whenAwake(n *simNode, do func()) {
	if n.isFrozen(f.now) {
		f.after(n.frozen.Sub(f.now), do)
		return
	}
	do()
}

// load makes requests of a customer arrive at random nodes, rate a second in all.
func (f *simFleet) load(customer string, rate float64, until time.Time) {
	if rate <= 0 {
		return
	}
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.After(until) {
			return
		}
		f.request(f.nodes[f.random.IntN(len(f.nodes))], customer)
		f.load(customer, rate, until)
	})
}

// mostInWindow returns the largest number of admitted requests in any window, and when it ends.
func mostInWindow(times []time.Time) (most int, at time.Time) {
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, t
		}
	}
	return most, at
}

// boundOf returns the largest number of requests that may be admitted in a window.
func boundOf(l allot.Limit) int {
	return int(math.Floor((l.Rate*window.Seconds()+float64(l.Burst))*(1+overage) + slack))
}

// customers returns limits like those of a fleet that serves rate requests a second: a few large
// ones and many small ones, each with a burst of one second and 1.6 times what it asks.
func customers(count int, rate float64, seed uint64) (limits []allot.Limit, demand []float64) {
	random := rand.New(rand.NewPCG(seed, 81))
	sum := 0.0
	for i := range count {
		weight := math.Pow(float64(i+1), -0.9) * (0.8 + 0.4*random.Float64())
		demand = append(demand, weight)
		sum += weight
	}
	for i := range demand {
		demand[i] *= rate / sum
		limit := math.Ceil(1.6 * demand[i])
		limits = append(limits, allot.Limit{Customer: fmt.Sprintf("c%d", i), Rate: limit, Burst: int(limit)})
	}
	return limits, demand
}

// TestCustomersBelowTheirLimitsAreServed replays many small customers and a few large ones that
// each ask for five eighths of their limit at random nodes.
func TestCustomersBelowTheirLimitsAreServed(t *testing.T) {
	const nodes, count, rate = 78, 81, 840
	limits, demand := customers(count, rate, 1)
	f := newSimFleet(nodes, 3, limits, 1)
	f.lossPercent = 1
	f.advance(10 * time.Second)
	for i, l := range limits {
		f.load(l.Customer, demand[i], f.now.Add(30*time.Second))
	}
	f.advance(31 * time.Second)
	offered, refused, worst := 0, 0, 0.0
	for _, l := range limits {
		offered += f.offered[l.Customer]
		refused += f.refused[l.Customer]
		worst = max(worst, float64(f.refused[l.Customer])/float64(max(f.offered[l.Customer], 1)))
		if most, _ := mostInWindow(f.admitted[l.Customer]); most > boundOf(l) {
			t.Errorf("%+v: %d requests in a window, at most %d allowed", l, most, boundOf(l))
		}
	}
	slices.Sort(f.waited)
	t.Logf("%d offered, %d refused (worst customer %.4f), asks a node and second %.1f, bytes sent %.0f, waited p50 %v p99 %v",
		offered, refused, worst, float64(f.asks)/nodes/30, float64(2*messageBytes*f.asks)/nodes/30,
		f.waited[len(f.waited)/2], f.waited[len(f.waited)*99/100])
	if refused*100 > offered {
		t.Errorf("%d of %d requests below the limit were refused", refused, offered)
	}
}
