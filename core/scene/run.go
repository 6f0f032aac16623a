package scene

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bulrushlock/core/budget"
	"bulrushlock/core/pick"
)

const (
	// warmUp is the part of a run before results count.
	warmUp = 8
	// usualLength is the length of a run.
	usualLength = 4 * time.Second
	// usualQueue is the longest time that a request waits at a guard.
	usualQueue = 5 * time.Millisecond
	// callerLag is the time in which callers notice that a data centre is out.
	callerLag = 200 * time.Millisecond
	// leaveLag is the longest time in which a guard learns that it is out.
	leaveLag = 300 * time.Millisecond

	// jumpEvery, jumpRise and jumpHold shape the jumps of the load.
	jumpEvery = 500 * time.Millisecond
	jumpRise  = 5 * time.Millisecond
	jumpHold  = 50 * time.Millisecond
	// jumpFactor is the load within a jump over the usual load.
	jumpFactor = 3
	// slowFactor is the factor on the service time of a slow server.
	slowFactor = 10
	// sharedFactor is the factor on the service time of all servers while a
	// dependency is slow.
	sharedFactor = 2.5
	// noiseEvery, noiseHold and noiseFactor shape the noise of neighbours.
	noiseEvery  = 50 * time.Millisecond
	noiseHold   = 20 * time.Millisecond
	noiseFactor = 3
	// coldEvery is the time between the cold starts of a server.
	coldEvery = time.Second
)

// The servers of the first service that the faults hit.
const (
	slowServer = 0
	coldServer = 1
	failServer = 2
)

// class is a kind of request.
type class struct {
	share      float64
	mean       time.Duration
	idempotent bool
}

// classes are the kinds of requests; their shares add up to 1.
var classes = []class{
	{share: 0.9, mean: 4 * time.Millisecond, idempotent: true},
	{share: 0.1, mean: 12 * time.Millisecond},
}

// Options change a run.
type Options struct {
	// Seed is the seed of all randomness.
	Seed uint64
	// Length is the virtual length of the run; zero stands for 4 s.
	Length time.Duration
	// Queue is the longest wait at a guard; zero stands for 5 ms and a negative
	// one refuses at once.
	Queue time.Duration
	// Plain leaves the adaptive limit and the ramp out of the guards, so that they
	// admit by slots alone.
	Plain bool
}

// PolicyError is the name of an unknown policy.
type PolicyError struct {
	Name string
}

// Error names the policy.
func (e *PolicyError) Error() string { return fmt.Sprintf("no policy is called %q", e.Name) }

// Policies returns the names of the policies in the order of the report.
func Policies() []string {
	return []string{"aware", "robin", "least", "local", "reported", "probing"}
}

// newPolicy returns the policy called name. It fails with a *PolicyError.
func newPolicy(name string) (pick.Policy, error) {
	switch name {
	case "aware":
		return pick.NewAware(), nil
	case "robin":
		return pick.NewRoundRobin(), nil
	case "least":
		return pick.NewLeastOutstanding(), nil
	case "local":
		return pick.NewTwoLocal(), nil
	case "reported":
		return pick.NewTwoReported(), nil
	case "probing":
		return pick.NewProbing(), nil
	}
	return nil, &PolicyError{Name: name}
}

// world is one run of a scene.
type world struct {
	scene    Scene
	size     Size
	options  Options
	clock    *clock
	guards   [][]*guard // The guards of each service.
	entries  []*entry
	centres  []int // The data centre of each entry.
	out      int   // The data centre that is out, or -1.
	arrivals *rand.Rand
	faults   *rand.Rand
	result   *recorder
}

// Run runs the scene at a size with the named policy. It fails with a
// *PolicyError if there is no such policy.
func (s Scene) Run(size Size, policy string, o Options) (Result, error) {
	if _, err := newPolicy(policy); err != nil {
		return Result{}, fmt.Errorf("scene %s: %w", s.Name, err)
	}
	if o.Length == 0 {
		o.Length = usualLength
	}
	if o.Queue == 0 {
		o.Queue = usualQueue
	}
	c := &clock{}
	w := &world{
		scene: s, size: size, options: o, clock: c, out: -1,
		arrivals: rand.New(rand.NewPCG(o.Seed, 1)),
		faults:   rand.New(rand.NewPCG(o.Seed, 2)),
	}
	from, to := o.Length/warmUp, o.Length
	if s.Slow || s.Shared || s.Cold || s.Fail || s.Centre {
		from, to = w.window()
	}
	if s.Cold || s.Centre {
		to = o.Length
	}
	w.result = newRecorder(c, from, to)
	w.build(policy)
	w.schedule()
	w.arrive()
	c.run()
	return w.conclude(policy), nil
}

// build makes the guards and one entry beside each of them.
func (w *world) build(policy string) {
	for _, count := range w.size.Services {
		guards := make([]*guard, count)
		for i := range guards {
			guards[i] = newGuard(w.clock, newServer(w.clock, w.size.Slots), w.options)
		}
		w.guards = append(w.guards, guards)
	}
	for _, guards := range w.guards {
		for i, g := range guards {
			w.addEntry(policy, g, i%w.size.Centres)
		}
	}
}

// addEntry adds the entry beside g.
func (w *world) addEntry(policy string, g *guard, centre int) {
	e := &entry{
		clock:   w.clock,
		random:  rand.New(rand.NewPCG(w.options.Seed, uint64(100+len(w.entries)))),
		late:    w.scene.Late,
		probing: policy == "probing",
		budget:  budget.New(retryShare, retryReserve),
		result:  w.result,
	}
	e.lag = time.Duration(e.random.Int64N(int64(listLag)))
	for _, guards := range w.guards {
		views := make([]*view, len(guards))
		for i, other := range guards {
			views[i] = newView(w.size, other, i%w.size.Centres == centre, other == g)
		}
		e.views = append(e.views, views)
		p, _ := newPolicy(policy) // Run has checked the name.
		e.policies = append(e.policies, p)
	}
	w.entries = append(w.entries, e)
	w.centres = append(w.centres, centre)
}

// newView returns the view of a guard before any report.
func newView(size Size, g *guard, near, beside bool) *view {
	v := &view{guard: g, delay: size.Delay}
	v.known = pick.Candidate{Near: near, Beside: beside, Limit: size.Slots}
	switch {
	case beside:
		v.delay = besideDelay
	case near:
		v.delay = centreDelay
	}
	return v
}

// arrive lets the next request arrive, and those after it.
func (w *world) arrive() {
	gap := w.arrivals.ExpFloat64() / (w.rate() * w.factor(w.clock.now))
	w.clock.after(time.Duration(gap*float64(time.Second)), func() {
		if w.clock.now > w.options.Length {
			return
		}
		r := w.newRequest()
		e := w.arrivals.IntN(len(w.entries))
		for w.centres[e] == w.out {
			e = w.arrivals.IntN(len(w.entries))
		}
		w.result.offer(r)
		w.entries[e].serve(r)
		w.arrive()
	})
}

// rate returns the usual number of requests a second.
func (w *world) rate() float64 {
	servers, mean := 0, 0.0
	for _, n := range w.size.Services {
		servers += n
	}
	for _, k := range classes {
		mean += k.share * k.mean.Seconds()
	}
	return w.scene.Load * float64(servers*w.size.Slots) / mean
}

// factor returns the load at a time over the usual load.
func (w *world) factor(at time.Duration) float64 {
	if !w.scene.Jump {
		return 1
	}
	phase := at % jumpEvery
	switch {
	case phase < jumpRise:
		return 1 + (jumpFactor-1)*float64(phase)/float64(jumpRise)
	case phase < jumpRise+jumpHold:
		return jumpFactor
	}
	return 1
}

// newRequest draws a request. A service gets requests by its number of servers.
func (w *world) newRequest() *request {
	r := &request{arrived: w.clock.now}
	servers := 0
	for _, n := range w.size.Services {
		servers += n
	}
	at := w.arrivals.IntN(servers)
	for at >= w.size.Services[r.service] {
		at -= w.size.Services[r.service]
		r.service++
	}
	share := w.arrivals.Float64()
	for r.class < len(classes)-1 && share >= classes[r.class].share {
		share -= classes[r.class].share
		r.class++
	}
	k := classes[r.class]
	r.idempotent = k.idempotent
	r.work = time.Duration((0.5 + 0.5*w.arrivals.ExpFloat64()) * float64(k.mean))
	return r
}
