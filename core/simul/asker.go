package simul

import (
	"math/rand/v2"
	"time"

	"bulrushlock/core/cross"
	"bulrushlock/core/pick"
	"bulrushlock/core/toll"
)

const (
	// askedGuards is the number of guards that are asked for their load before a request is
	// sent, under the policies for leaving a data centre.
	askedGuards = 3
	// maxAskRounds is the number of rounds of such questions per request.
	maxAskRounds = 3
	// freshAge is the age up to which a load report makes a question unnecessary.
	freshAge = 5 * time.Millisecond
	// targetFactor is the ratio of the latency target of a class to its mean service time.
	targetFactor = 3
	// crossPrice is the waiting time that a megabyte between data centres is worth.
	crossPrice = 1600 * time.Millisecond
	// attemptBytes is the size of the heads of an attempt and its response, and probeBytes that
	// of a question and its answer.
	attemptBytes = 1500
	probeBytes   = 150
	// homeName and awayName are the data centres as an entry sees them: its own, and the prefix of
	// the others.
	homeName = "home"
	awayName = "away-"
)

// Names of the policies for leaving a data centre.
const (
	// stayHome never leaves while there is a backend server at home.
	stayHome = "home"
	// constantCost leaves by a constant share of the service time.
	constantCost = "constant"
	// leastTime takes all data centres alike.
	leastTime = "time"
	// decideCrossing leaves by core/cross.
	decideCrossing = "cross"
)

// asker selects backend servers after it has asked a few guards for their load.
type asker struct {
	policy   string
	entry    *entry
	stretch  float64
	random   *rand.Rand
	aware    *pick.LoadAware
	expected *pick.LeastExpectedTime
	crossing []*cross.Policy // The policy of each service.
	toll     *toll.Toll
}

// newAsker returns the asker of e for the named policy, or nil if it is another kind of policy.
func newAsker(policy string, e *entry, size Size) *asker {
	switch policy {
	case stayHome, constantCost, leastTime, decideCrossing:
	default:
		return nil
	}
	a := &asker{policy: policy, entry: e, stretch: size.stretch(), random: e.random, aware: pick.NewLoadAware(), expected: pick.NewLeastExpectedTime(), toll: toll.New(crossPrice)}
	for range size.Services {
		a.crossing = append(a.crossing, cross.New())
	}
	return a
}

// target returns the latency target of the class of r.
func (a *asker) target(r *request) time.Duration {
	return time.Duration(targetFactor * a.stretch * float64(classes[r.class].mean))
}

// timeLeft returns the time left until the latency target of r, and at least 1 ns.
func (a *asker) timeLeft(r *request) time.Duration {
	return max(a.target(r)-(a.entry.clock.now-r.arrived), 1)
}

// prepare adds what the policy knows about r to a candidate, and reports whether the candidate
// may be selected.
func (a *asker) prepare(r *request, c *pick.Candidate) bool {
	c.TypicalTime = time.Duration(a.stretch * float64(classes[r.class].mean))
	switch a.policy {
	case stayHome:
		return c.SameCentre
	case leastTime:
		c.SameCentre = true
	case decideCrossing:
		if !c.SameCentre {
			c.CrossCost = a.toll.Cost(r.class, 0, homeName, c.Centre)
			c.CrossTime = a.toll.Time(homeName, c.Centre)
		}
	}
	return true
}

// pick selects one of the candidates for r.
func (a *asker) pick(r *request, candidates []pick.Candidate) (int, bool) {
	now, random := a.entry.clock.time(), a.random.Uint64()
	if a.policy == decideCrossing {
		d := a.crossing[r.service].Decide(now, random, candidates, a.timeLeft(r))
		if d.Index >= 0 {
			return d.Index, true
		}
	} else if i, ok := a.expected.Pick(now, random, candidates); ok {
		return i, true
	}
	return a.aware.Pick(now, random, candidates)
}

// ask asks guards for their load in rounds, and then sends r.
func (a *asker) ask(r *request, round int) {
	targets := a.targets(r, round)
	if len(targets) == 0 {
		a.entry.send(r)
		return
	}
	e := a.entry
	asked := e.clock.now
	longest := time.Duration(0)
	for _, v := range targets {
		longest = max(longest, 2*v.delay)
		e.result.probes++
		e.result.countCrossing(v, probeBytes)
		e.clock.after(v.delay, func() {
			p := v.guard.newResponse(ran)
			e.clock.after(v.delay+e.reportDelay, func() {
				e.updateLoad(v, p)
				a.toll.ObserveRoundTrip(v.candidate.Centre, e.clock.now-asked)
			})
		})
	}
	// The answers that take longest come first.
	e.clock.after(longest+1, func() { a.ask(r, round+1) })
}

// targets returns the guards to ask in a round.
func (a *asker) targets(r *request, round int) []*serverState {
	if round > maxAskRounds {
		return nil
	}
	if a.policy == leastTime && round == 1 {
		return a.draw(r, askedGuards, func(*serverState) bool { return true })
	}
	atHome := a.draw(r, askedGuards, func(v *serverState) bool { return v.candidate.SameCentre })
	if round == 1 {
		return atHome
	}
	a.entry.collectCandidates(r)
	switch a.policy {
	case constantCost:
		if round > 2 || !a.missesAtHome(r) {
			return nil
		}
	case decideCrossing:
		if !a.crossing[r.service].MayPay(a.entry.clock.time(), a.entry.candidates, a.timeLeft(r)) {
			return nil
		}
	default:
		return nil
	}
	if len(atHome) > 0 && round < maxAskRounds {
		return atHome
	}
	return a.draw(r, askedGuards, func(v *serverState) bool { return !v.candidate.SameCentre })
}

// missesAtHome reports whether r waits at the best backend server at home and misses its target.
func (a *asker) missesAtHome(r *request) bool {
	now := a.entry.clock.time()
	i, ok := a.expected.Pick(now, 0, a.entry.candidates)
	if !ok {
		return true
	}
	c := &a.entry.candidates[i]
	return c.Wait > 0 && time.Duration(c.ExpectedTime(now)*float64(c.TypicalTime)) > a.timeLeft(r)
}

// draw returns up to count random backend servers in service for which is holds and whose
// load is not known.
func (a *asker) draw(r *request, count int, is func(*serverState) bool) []*serverState {
	servers := a.entry.servers[r.service]
	var drawn []*serverState
	for _, i := range a.random.Perm(len(servers)) {
		v := servers[i]
		if len(drawn) == count {
			break
		}
		if !v.outOfService && is(v) && a.entry.clock.time().Sub(v.candidate.ReportedAt) > freshAge {
			drawn = append(drawn, v)
		}
	}
	return drawn
}
