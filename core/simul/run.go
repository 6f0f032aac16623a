package simul

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"bulrushlock/core/budget"
	"bulrushlock/core/pick"
)

const (
	// warmUpDivisor is the ratio of the length of a run to that of its warm-up, which is not
	// part of the results.
	warmUpDivisor = 8
	// defaultLength is the default length of a run.
	defaultLength = 4 * time.Second
	// defaultQueueTimeout is the default for the longest time that a request waits at a
	// guard.
	defaultQueueTimeout = 5 * time.Millisecond
	// callerDelay is the time until callers stop using a data centre that is out of
	// service.
	callerDelay = 200 * time.Millisecond
	// maxDrainDelay is the longest time until a guard learns that its data centre is out
	// of service.
	maxDrainDelay = 300 * time.Millisecond

	// spikeInterval, spikeRiseTime and spikeDuration define the load spikes: the time
	// between their starts, the time in which the load rises and the time for which it
	// stays high.
	spikeInterval = 500 * time.Millisecond
	spikeRiseTime = 5 * time.Millisecond
	spikeDuration = 50 * time.Millisecond
	// spikeFactor is the ratio of the load in a spike to the normal load.
	spikeFactor = 3
	// slowFactor is the factor on the service time of a slow backend server.
	slowFactor = 10
	// slowDependencyFactor is the factor on the service time of all backend servers while a
	// dependency is slow.
	slowDependencyFactor = 2.5
	// noiseInterval, noiseDuration and noiseFactor define the slowdowns by neighbours:
	// the time between them, their length and the factor on the service time.
	noiseInterval = 50 * time.Millisecond
	noiseDuration = 20 * time.Millisecond
	noiseFactor   = 3
	// coldInterval is the time between the cold starts of a backend server.
	coldInterval = time.Second
)

// Indices of the backend servers of the first service that the faults affect.
const (
	slowServer = 0
	coldServer = 1
	failServer = 2
)

// class is a class of requests with similar cost.
type class struct {
	share      float64
	mean       time.Duration
	idempotent bool
	// response is the size of a response in bytes.
	response int64
}

// classes lists the request classes; their shares add up to 1.
var classes = []class{
	{share: 0.9, mean: 4 * time.Millisecond, idempotent: true, response: 5000},
	{share: 0.1, mean: 12 * time.Millisecond, response: 400},
}

// Options configures a run.
type Options struct {
	// Seed is the seed of all random generators.
	Seed uint64
	// Length is the virtual length of the run; zero means 4 s.
	Length time.Duration
	// QueueTimeout is the longest wait time at a guard; zero means 5 ms, and a negative value
	// rejects requests without queueing.
	QueueTimeout time.Duration
	// SlotsOnly disables the adaptive limit and the warm-up ramp of the guards, so that they
	// admit by slots alone.
	SlotsOnly bool
}

// PolicyError reports an unknown policy.
type PolicyError struct {
	Name string
}

// Error returns a message with the name of the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("unknown policy %q", e.Name) }

// Policies returns the names of the policies in the order in which reports list them.
func Policies() []string {
	return []string{"aware", "robin", "least", "local", "reported", "probing"}
}

// newPolicy returns the policy with the given name, or a *PolicyError.
func newPolicy(name string) (pick.Policy, error) {
	switch name {
	case "aware":
		return pick.NewLoadAware(), nil
	case "robin":
		return pick.NewRoundRobin(), nil
	case "least":
		return pick.NewLeastOutstanding(), nil
	case "local":
		return pick.NewTwoChoices(), nil
	case "reported":
		return pick.NewTwoChoicesByReport(), nil
	case "probing":
		return pick.NewHotCold(), nil
	case stayHome, constantCost, leastTime, decideCrossing:
		return pick.NewLoadAware(), nil
	}
	return nil, &PolicyError{Name: name}
}

// simulation is one run of a scenario.
type simulation struct {
	scenario      Scenario
	size          Size
	options       Options
	clock         *clock
	guards        [][]*guard // The guards of each service.
	entries       []*entry
	centres       []int // The data centre of each entry.
	centreOut     int   // The data centre that is out of service, or -1.
	arrivalRandom *rand.Rand
	faultRandom   *rand.Rand
	result        *recorder
}

// Run runs the scenario with the named policy on a fleet of the given size. It returns a
// *PolicyError if there is no such policy.
func (s Scenario) Run(size Size, policy string, o Options) (Result, error) {
	if _, err := newPolicy(policy); err != nil {
		return Result{}, fmt.Errorf("scene %s: %w", s.Name, err)
	}
	if o.Length == 0 {
		o.Length = defaultLength
	}
	if o.QueueTimeout == 0 {
		o.QueueTimeout = time.Duration(size.stretch() * float64(defaultQueueTimeout))
	}
	c := &clock{}
	sm := &simulation{
		scenario: s, size: size, options: o, clock: c, centreOut: -1,
		arrivalRandom: rand.New(rand.NewPCG(o.Seed, 1)),
		faultRandom:   rand.New(rand.NewPCG(o.Seed, 2)),
	}
	from, to := o.Length/warmUpDivisor, o.Length
	if s.SlowServer || s.SlowDependency || s.ColdStarts || s.FailingServer || s.CentreOutage || s.SlowCentre {
		from, to = sm.faultWindow()
	}
	if s.ColdStarts || s.CentreOutage {
		to = o.Length
	}
	sm.result = newRecorder(c, from, to, size.stretch())
	sm.build(policy)
	sm.scheduleFaults()
	sm.scheduleArrival()
	c.run()
	return sm.summarize(policy), nil
}

// build creates the guards and an entry on the instance of each.
func (sm *simulation) build(policy string) {
	for _, count := range sm.size.Services {
		guards := make([]*guard, count)
		for i := range guards {
			guards[i] = newGuard(sm.clock, newServer(sm.clock, sm.size.Slots), sm.options)
		}
		sm.guards = append(sm.guards, guards)
	}
	for service, guards := range sm.guards {
		for i, g := range guards {
			sm.addEntry(policy, g, sm.size.centreOf(service, i))
		}
	}
}

// addEntry adds the entry on the instance of g.
func (sm *simulation) addEntry(policy string, g *guard, centre int) {
	e := &entry{
		clock:       sm.clock,
		random:      rand.New(rand.NewPCG(sm.options.Seed, uint64(100+len(sm.entries)))),
		reportDelay: sm.scenario.ReportDelay,
		probing:     policy == "probing",
		budget:      budget.New(retryFraction, retryReserve),
		result:      sm.result,
	}
	e.listDelay = time.Duration(e.random.Int64N(int64(maxListDelay)))
	e.asker = newAsker(policy, e, sm.size)
	for service, guards := range sm.guards {
		servers := make([]*serverState, len(guards))
		for i, other := range guards {
			away := (sm.size.centreOf(service, i) - centre + sm.size.Centres) % sm.size.Centres
			servers[i] = newServerState(sm.size, other, away, other == g)
		}
		e.servers = append(e.servers, servers)
		p, _ := newPolicy(policy) // Run has checked the name.
		e.policies = append(e.policies, p)
	}
	sm.entries = append(sm.entries, e)
	sm.centres = append(sm.centres, centre)
}

// newServerState returns the state of a backend server before any load report. The argument away
// numbers its data centre as seen from the entry, whose own is 0.
func newServerState(size Size, g *guard, away int, sameInstance bool) *serverState {
	v := &serverState{guard: g, delay: size.Delay}
	sameCentre := away == 0
	v.candidate = pick.Candidate{SameCentre: sameCentre, Centre: homeName, SameInstance: sameInstance, Limit: size.Slots}
	if !sameCentre {
		v.candidate.Centre = awayName + strconv.Itoa(away)
	}
	switch {
	case sameInstance:
		v.delay = sameInstanceDelay
	case sameCentre:
		v.delay = sameCentreDelay
	}
	return v
}

// scheduleArrival schedules the next request, which in turn schedules the one after it.
func (sm *simulation) scheduleArrival() {
	gap := sm.arrivalRandom.ExpFloat64() / (sm.arrivalRate() * sm.loadFactor(sm.clock.now))
	sm.clock.after(time.Duration(gap*float64(time.Second)), func() {
		if sm.clock.now > sm.options.Length {
			return
		}
		r := sm.newRequest()
		e := sm.drawEntry()
		sm.result.recordArrival(r)
		sm.entries[e].serve(r)
		sm.scheduleArrival()
	})
}

// arrivalRate returns the normal number of requests per second.
func (sm *simulation) arrivalRate() float64 {
	servers, mean := 0, 0.0
	for _, n := range sm.size.Services {
		servers += n
	}
	for _, k := range classes {
		mean += k.share * k.mean.Seconds()
	}
	return sm.scenario.Load * float64(servers*sm.size.Slots) / (mean * sm.size.stretch())
}

// loadFactor returns the ratio of the load at the given time to the normal load.
func (sm *simulation) loadFactor(at time.Duration) float64 {
	if !sm.scenario.LoadSpikes {
		return 1
	}
	phase := at % spikeInterval
	switch {
	case phase < spikeRiseTime:
		return 1 + (spikeFactor-1)*float64(phase)/float64(spikeRiseTime)
	case phase < spikeRiseTime+spikeDuration:
		return spikeFactor
	}
	return 1
}

// newRequest draws a request. The share of a service is proportional to its number of
// backend servers.
func (sm *simulation) newRequest() *request {
	r := &request{arrived: sm.clock.now}
	servers := 0
	for _, n := range sm.size.Services {
		servers += n
	}
	at := sm.arrivalRandom.IntN(servers)
	for at >= sm.size.Services[r.service] {
		at -= sm.size.Services[r.service]
		r.service++
	}
	share := sm.arrivalRandom.Float64()
	for r.class < len(classes)-1 && share >= classes[r.class].share {
		share -= classes[r.class].share
		r.class++
	}
	k := classes[r.class]
	r.idempotent = k.idempotent
	r.work = time.Duration((0.5 + 0.5*sm.arrivalRandom.ExpFloat64()) * sm.size.stretch() * float64(k.mean))
	return r
}
