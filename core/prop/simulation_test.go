package prop

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"pgregory.net/rapid"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
)

const (
	// tickInterval is the time between two ticks of a node.
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a tick after which a node must treat its backend
	// server as cold.
	pauseThreshold = time.Second
	// maxTickInterval is the longest time between two ticks that does not count as a
	// pause.
	maxTickInterval = time.Second
	// instanceCount is the number of instances at any time.
	instanceCount = 5
)

var (
	// startTime is the virtual time at which each simulation starts.
	startTime = time.Unix(1_000_000, 0)
	// logsViewEvents reports whether the log includes events that only exchange documents
	// and versions. The environment variable PROOF_VIEWS sets it.
	logsViewEvents = os.Getenv("PROOF_VIEWS") != ""
)

// simulation holds all processes, the platform, the callers and the messages in flight.
type simulation struct {
	t      *rapid.T
	now    time.Time
	random uint64
	lastID uint64
	// processes holds the current process of each instance; allProcesses also holds the
	// earlier ones.
	processes    [instanceCount]*process
	allProcesses []*process
	inFlight     []*message
	linksDown    map[[2]string]bool
	rules        platform
	fleet        platform
	requests     []*request
	submissions  []*submission
	counts       [4]int
	forwards     int
}

// submission is one sending of a request by its caller to an entry.
type submission struct {
	request            *request
	entry              *process
	id                 uint64
	replies            int
	callerDisconnected bool
}

// message is a message or timer in flight. It is not delivered while its link is down or
// its receiver is paused.
type message struct {
	from, to *process
	due      time.Time
	// early reports whether the message can be delivered before it is due; it may be nil.
	early      func() bool
	onDelivery func()
	// onLoss handles the loss of the message. It is nil for a message that cannot be
	// lost.
	onLoss func()
}

// process is one incarnation of a node with its backend server.
type process struct {
	node            ticket.NodeID
	instance        fleet.Instance
	reducer         *node.Node
	server          *server
	alive           bool
	paused          bool
	leaving         bool
	lastTick        time.Time
	resumedAt       time.Time
	heldVersions    event.Versions
	submissions     map[uint64]*submission
	exchanges       map[ticket.Ticket]*exchange
	arrivals        map[uint64]*exchange
	outcomeQueries  map[uint64]func(effect.ReportOutcome)
	loadQueries     map[uint64]func(effect.ReportLoad)
	storedResponses map[uint64]*event.StoredResponse
	healthChecks    []time.Time
	probesSent      []time.Time
	probesAnswered  []time.Time
	platformReads   []time.Time
}

// server is the actual state of a backend server and the state that it last reported to
// its node.
type server struct {
	completed        int
	running          map[uint64]*exchange
	cold             bool
	reportedCold     bool
	reportedDraining bool
	draining         bool
	refuses          bool
	sheds            bool
	fails            bool
}

// exchange is one attempt on its own connection from the entry to the guard.
type exchange struct {
	entry     *process
	guard     *process
	forward   effect.Forward
	request   *request
	arrival   uint64
	startedAt time.Time
	// ended reports whether the entry received the end of the exchange or cancelled it.
	ended bool
	body  string
}

// newSimulation returns a simulation with the first rules and the first instance list
// published.
func newSimulation(t *rapid.T) *simulation {
	sm := &simulation{t: t, now: startTime, linksDown: make(map[[2]string]bool)}
	sm.random = rapid.Uint64().Draw(t, "seed")
	sm.rules.publications, sm.fleet.publications = map[uint64]publication{}, map[uint64]publication{}
	sm.publishRules(nil)
	for i := range instanceCount {
		sm.start(i, fmt.Sprintf("i%d", i), "ledger")
	}
	sm.publishFleet(nil)
	return sm
}

// rand returns the next pseudo-random number of a generator that is seeded by one rapid
// draw, for choices that need no draw of their own.
func (sm *simulation) rand() uint64 {
	sm.random += 0x9e3779b97f4a7c15
	z := sm.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// nextID returns a number that is unique in the simulation.
func (sm *simulation) nextID() uint64 { sm.lastID++; return sm.lastID }

// start starts a new process as the instance at the given index, with the address of that
// index.
func (sm *simulation) start(index int, name, service string) {
	centre := "north"
	if index == instanceCount-1 {
		centre = "south"
	}
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)})
	p := &process{
		node: ticket.NodeID{Instance: name, Incarnation: sm.nextID()},
		instance: fleet.Instance{
			Name: name, Centre: centre, Service: service,
			ForwardAddr: netip.AddrPortFrom(address, 1), ControlAddr: netip.AddrPortFrom(address, 2),
		},
		server:          &server{cold: true, running: map[uint64]*exchange{}},
		alive:           true,
		lastTick:        sm.now,
		submissions:     map[uint64]*submission{},
		exchanges:       map[ticket.Ticket]*exchange{},
		arrivals:        map[uint64]*exchange{},
		outcomeQueries:  map[uint64]func(effect.ReportOutcome){},
		loadQueries:     map[uint64]func(effect.ReportLoad){},
		storedResponses: map[uint64]*event.StoredResponse{},
	}
	config := node.Config{Instance: name, Incarnation: p.node.Incarnation, Centre: centre, Service: service, DrainTime: time.Second}
	p.reducer = node.New(config, pick.NewLoadAware())
	sm.processes[index] = p
	sm.allProcesses = append(sm.allProcesses, p)
	sm.execute(p, p.reducer.Start(event.Tick{At: sm.now, Random: sm.rand()}, nil))
}

// kill ends a process without a graceful shutdown.
func (sm *simulation) kill(p *process) {
	p.alive = false
	for _, s := range sm.submissions {
		if s.entry == p {
			s.callerDisconnected = true
		}
	}
	for _, q := range sm.allProcesses {
		for _, t := range sm.sortedTickets(q) {
			x := q.exchanges[t]
			switch {
			case x.entry == p:
				sm.disconnectSender(x)
			case x.guard == p && !x.ended:
				sm.enqueue(&message{to: x.entry, onDelivery: func() { sm.endExchange(x, event.AttemptEnded{Verdict: event.Broken}) }})
			}
		}
	}
}

// processAt returns the live process at an address, or nil.
func (sm *simulation) processAt(address netip.Addr) *process {
	for _, p := range sm.processes {
		if p.alive && p.instance.ForwardAddr.Addr() == address {
			return p
		}
	}
	return nil
}

// enqueue adds a message to those in flight.
func (sm *simulation) enqueue(m *message) { sm.inFlight = append(sm.inFlight, m) }

// canDeliver reports whether m can be delivered now.
func (sm *simulation) canDeliver(m *message) bool {
	waits := m.due.After(sm.now) && (m.early == nil || !m.early())
	if waits || m.to != nil && m.to.paused {
		return false
	}
	return !sm.isLinkDown(m.from, m.to)
}

// isLinkDown reports whether messages from p to q are blocked.
func (sm *simulation) isLinkDown(p, q *process) bool {
	return p != nil && q != nil && sm.linksDown[[2]string{p.node.Instance, q.node.Instance}]
}

// deliver delivers the i-th deliverable message. It reports false if there is none.
func (sm *simulation) deliver(i int) bool {
	for j, m := range sm.inFlight {
		if !sm.canDeliver(m) {
			continue
		}
		if i > 0 {
			i--
			continue
		}
		sm.inFlight = append(sm.inFlight[:j:j], sm.inFlight[j+1:]...)
		sm.handle(m)
		return true
	}
	return false
}

// handle delivers m, or loses it if its receiver is dead.
func (sm *simulation) handle(m *message) {
	switch {
	case m.to == nil || m.to.alive:
		m.onDelivery()
	case m.onLoss != nil:
		m.onLoss()
	}
}

// drop loses the i-th message that can be lost.
func (sm *simulation) drop(i int) {
	for j, m := range sm.inFlight {
		if m.onLoss == nil {
			continue
		}
		if i > 0 {
			i--
			continue
		}
		sm.inFlight = append(sm.inFlight[:j:j], sm.inFlight[j+1:]...)
		m.onLoss()
		return
	}
}

// step passes an event to the reducer of a live process, performs the effects and checks
// the versions.
func (sm *simulation) step(p *process, e event.Event) {
	if !p.alive {
		return
	}
	if sm.now.Sub(p.lastTick) > pauseThreshold {
		p.server.completed = 0
		p.resumedAt = sm.now
	}
	if _, ok := e.(event.Tick); ok || sm.now.Sub(p.lastTick) > pauseThreshold {
		p.lastTick = sm.now
	}
	effects := p.reducer.Step(e, nil)
	sm.log(p, e, effects)
	sm.execute(p, effects)
	sm.checkVersions(p)
}

// advance advances the time by d, in steps of tickInterval.
func (sm *simulation) advance(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		sm.tick(tickInterval)
	}
}

// tick advances the time by d and ticks all live processes that are not paused.
func (sm *simulation) tick(d time.Duration) {
	sm.now = sm.now.Add(d)
	for _, p := range sm.allProcesses {
		if p.alive && !p.paused {
			sm.step(p, event.Tick{At: sm.now, Random: sm.rand()})
		}
	}
}

// advanceAndDeliver advances the time by d, delivers every deliverable message and loses
// those that are due but cannot be delivered.
func (sm *simulation) advanceAndDeliver(d time.Duration) {
	for ; d > 0; d -= tickInterval {
		sm.advance(tickInterval)
		for range 10_000 {
			if !sm.deliver(0) {
				break
			}
		}
		for _, m := range sm.inFlight {
			if m.onLoss != nil && !m.due.After(sm.now) {
				m.onDelivery = m.onLoss
				m.from, m.to = nil, nil
			}
		}
	}
}

// sortedKeys returns the keys of m in sorted order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// log logs an event and its effects. It leaves out ticks and events about documents
// unless logsViewEvents is set.
func (sm *simulation) log(p *process, e event.Event, effects []effect.Effect) {
	switch e.(type) {
	case event.Tick, event.DocumentRead, event.VersionsReceived, event.DocumentUnchanged, event.DocumentReadFailed, event.PeerUnreachable:
		if !logsViewEvents {
			return
		}
	}
	sm.t.Logf("%v %v: %T%+v", sm.now.Sub(startTime), p.node, e, e)
	for _, e := range effects {
		sm.t.Logf("    %T%+v", e, e)
	}
}
