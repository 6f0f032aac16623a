package proof

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
	// tickTime is the time between two ticks of a node.
	tickTime = 100 * time.Millisecond
	// pauseTime is the time without a tick after which a node must turn cold.
	pauseTime = time.Second
	// longTick is the longest time between two ticks that is no pause.
	longTick = time.Second
	// places is the number of instances that stand at any time.
	places = 5
)

var (
	// began is the time at which each world begins.
	began = time.Unix(1_000_000, 0)
	// tracesViews tells that the trace of a failure shows how views spread as well.
	tracesViews = os.Getenv("PROOF_VIEWS") != ""
)

// world holds all processes, the platform, the callers and what is in flight.
type world struct {
	t      *rapid.T
	now    time.Time
	random uint64
	next   uint64
	// processes holds the present process of each place, and all every one that ever was.
	processes [places]*process
	all       []*process
	bag       []*message
	cut       map[[2]string]bool
	rules     platform
	fleet     platform
	requests  []*request
	sendings  []*sending
	counts    [4]int
	forwards  int
}

// sending is one time that a caller sent a request to an entry.
type sending struct {
	request *request
	entry   *process
	id      uint64
	settled int
	gone    bool
}

// message is something in flight. A message with a cut link or a paused taker stays.
type message struct {
	from, to *process
	due      time.Time
	// early tells that the message is due at once, or is nil.
	early func() bool
	run   func()
	// lose does what the loss of the message leads to; it is nil for what cannot be lost.
	lose func()
}

// process is one life of a node and of the backend server beside it.
type process struct {
	node      ticket.Node
	instance  fleet.Instance
	reducer   *node.Node
	server    *server
	alive     bool
	paused    bool
	left      bool
	last      time.Time
	woken     time.Time
	held      event.Versions
	sendings  map[uint64]*sending
	exchanges map[ticket.Ticket]*exchange
	arrivals  map[uint64]*exchange
	verdicts  map[uint64]func(effect.Verdict)
	loads     map[uint64]func(effect.Load)
	recovered map[uint64]*event.Answer
	looks     []time.Time
	probes    []time.Time
	probed    []time.Time
	reads     []time.Time
}

// server is a backend server as it really is.
type server struct {
	completed    int
	running      map[uint64]*exchange
	cold         bool
	toldCold     bool
	toldDraining bool
	draining     bool
	refuses      bool
	sheds        bool
	fails        bool
}

// exchange is an attempt on its one connection to the guard.
type exchange struct {
	entry   *process
	guard   *process
	forward effect.Forward
	request *request
	arrival uint64
	began   time.Time
	// ended tells that the entry was told how the exchange ended, or gave it up.
	ended bool
	body  string
}

// newWorld returns a world whose nodes hold the first rules and the first list.
func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: began, cut: make(map[[2]string]bool)}
	w.random = rapid.Uint64().Draw(t, "seed")
	w.rules.texts, w.fleet.texts = map[uint64]text{}, map[uint64]text{}
	w.publishRules(nil)
	for i := range places {
		w.start(i, fmt.Sprintf("i%d", i), "ledger")
	}
	w.publishFleet(nil)
	return w
}

// rand returns the next random number of the world, which is not worth a draw.
func (w *world) rand() uint64 {
	w.random += 0x9e3779b97f4a7c15
	z := w.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// number returns a number that no one else has.
func (w *world) number() uint64 { w.next++; return w.next }

// start puts a new process in a place, at the address of that place.
func (w *world) start(place int, name, service string) {
	centre := "north"
	if place == places-1 {
		centre = "south"
	}
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(place + 1)})
	p := &process{
		node: ticket.Node{Instance: name, Incarnation: w.number()},
		instance: fleet.Instance{
			Name: name, Centre: centre, Service: service,
			Nodes: netip.AddrPortFrom(address, 1), Control: netip.AddrPortFrom(address, 2),
		},
		server:    &server{cold: true, running: map[uint64]*exchange{}},
		alive:     true,
		last:      w.now,
		sendings:  map[uint64]*sending{},
		exchanges: map[ticket.Ticket]*exchange{},
		arrivals:  map[uint64]*exchange{},
		verdicts:  map[uint64]func(effect.Verdict){},
		loads:     map[uint64]func(effect.Load){},
		recovered: map[uint64]*event.Answer{},
	}
	identity := node.Identity{Instance: name, Incarnation: p.node.Incarnation, Centre: centre, Service: service, Drain: time.Second}
	p.reducer = node.New(identity, pick.NewAware())
	w.processes[place] = p
	w.all = append(w.all, p)
	w.carry(p, p.reducer.Start(event.Tick{At: w.now, Random: w.rand()}, nil))
}

// kill ends a process without warning.
func (w *world) kill(p *process) {
	p.alive = false
	for _, s := range w.sendings {
		if s.entry == p {
			s.gone = true
		}
	}
	for _, q := range w.all {
		for _, t := range w.order(q) {
			x := q.exchanges[t]
			switch {
			case x.entry == p:
				w.withdraw(x)
			case x.guard == p && !x.ended:
				w.post(&message{to: x.entry, run: func() { w.finish(x, event.Answered{Verdict: event.Broken}) }})
			}
		}
	}
}

// at returns the living process that holds an address, or nil.
func (w *world) at(address netip.Addr) *process {
	for _, p := range w.processes {
		if p.alive && p.instance.Nodes.Addr() == address {
			return p
		}
	}
	return nil
}

// post puts a message in flight.
func (w *world) post(m *message) { w.bag = append(w.bag, m) }

// isDue reports whether m can be delivered now.
func (w *world) isDue(m *message) bool {
	waits := m.due.After(w.now) && (m.early == nil || !m.early())
	if waits || m.to != nil && m.to.paused {
		return false
	}
	return !w.isCut(m.from, m.to)
}

// isCut reports whether the link from p to q carries nothing.
func (w *world) isCut(p, q *process) bool {
	return p != nil && q != nil && w.cut[[2]string{p.node.Instance, q.node.Instance}]
}

// deliver delivers the i-th message that can be delivered, and reports whether there was one.
func (w *world) deliver(i int) bool {
	for j, m := range w.bag {
		if !w.isDue(m) {
			continue
		}
		if i > 0 {
			i--
			continue
		}
		w.bag = append(w.bag[:j:j], w.bag[j+1:]...)
		w.handle(m)
		return true
	}
	return false
}

// handle lets the taker of m take it, or loses m where the taker is dead.
func (w *world) handle(m *message) {
	switch {
	case m.to == nil || m.to.alive:
		m.run()
	case m.lose != nil:
		m.lose()
	}
}

// lose loses the i-th message that can be lost.
func (w *world) lose(i int) {
	for j, m := range w.bag {
		if m.lose == nil {
			continue
		}
		if i > 0 {
			i--
			continue
		}
		w.bag = append(w.bag[:j:j], w.bag[j+1:]...)
		m.lose()
		return
	}
}

// step lets a living process that is not paused take an event.
func (w *world) step(p *process, e event.Event) {
	if !p.alive {
		return
	}
	if w.now.Sub(p.last) > pauseTime {
		p.server.completed = 0
		p.woken = w.now
	}
	if _, ok := e.(event.Tick); ok || w.now.Sub(p.last) > pauseTime {
		p.last = w.now
	}
	effects := p.reducer.Step(e, nil)
	w.log(p, e, effects)
	w.carry(p, effects)
	w.versions(p)
}

// advance lets time pass, with the ticks of all that run.
func (w *world) advance(d time.Duration) {
	for ; d > 0; d -= tickTime {
		w.tick(tickTime)
	}
}

// tick lets time pass, and then one tick of all that run.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.all {
		if p.alive && !p.paused {
			w.step(p, event.Tick{At: w.now, Random: w.rand()})
		}
	}
}

// calm lets time pass while everything that can be delivered is, and what cannot is lost.
func (w *world) calm(d time.Duration) {
	for ; d > 0; d -= tickTime {
		w.advance(tickTime)
		for range 10_000 {
			if !w.deliver(0) {
				break
			}
		}
		for _, m := range w.bag {
			if m.lose != nil && !m.due.After(w.now) {
				m.run = m.lose
				m.from, m.to = nil, nil
			}
		}
	}
}

// sorted returns the keys of m in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// log writes an event and its effects down, unless they are only about views.
func (w *world) log(p *process, e event.Event, effects []effect.Effect) {
	switch e.(type) {
	case event.Tick, event.Read, event.Told, event.Unchanged, event.Unread, event.Silent:
		if !tracesViews {
			return
		}
	}
	w.t.Logf("%v %v: %T%+v", w.now.Sub(began), p.node, e, e)
	for _, e := range effects {
		w.t.Logf("    %T%+v", e, e)
	}
}
