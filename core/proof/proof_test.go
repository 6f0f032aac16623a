package proof

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// The environment variable that asks for fresh seeds, and the seed in its absence.
const (
	freshName = "PROOF_FRESH"
	fixedSeed = "20"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv(freshName) == "" {
		for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.checks": "25", "rapid.nofailfile": "true", "rapid.shrinktime": "10s"} {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// actions are the names of what may happen, with what it does.
type actions map[string]func(*rapid.T)

// process draws a process that runs.
func (w *world) process(t *rapid.T) *process {
	p := w.processes[rapid.IntRange(0, places-1).Draw(t, "place")]
	if !p.alive || p.paused {
		t.Skip("the process does not run")
	}
	return p
}

// traffic returns the actions of callers and of a network without faults.
func (w *world) traffic() actions {
	deliver := func(t *rapid.T) {
		for range rapid.IntRange(1, 20).Draw(t, "count") {
			w.deliver(rapid.IntRange(0, 30).Draw(t, "message"))
		}
	}
	return actions{
		"request":  w.request,
		"request2": w.request,
		"again":    w.again,
		"deliver":  deliver,
		"deliver2": deliver,
		"deliver3": deliver,
		"flush": func(*rapid.T) {
			for range 200 {
				w.deliver(0)
			}
		},
		"advance": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tickTime) },
	}
}

// request lets a caller send a new request.
func (w *world) request(t *rapid.T) {
	r := &request{number: len(w.requests), sent: w.now, idempotent: rapid.IntRange(0, 2).Draw(t, "kind") == 0}
	if rapid.Bool().Draw(t, "keyed") {
		r.key = fmt.Sprintf("key %d", r.number)
		r.first = rapid.Bool().Draw(t, "first")
	}
	w.submit(t, r)
}

// again lets a caller send a request once more, by what it has of an earlier sending.
func (w *world) again(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip("no request")
	}
	r := w.requests[max(0, len(w.requests)-1-rapid.IntRange(0, 9).Draw(t, "request"))]
	if r.idempotent || r.key == "" && r.ticket == nil {
		t.Skip("the request cannot be sent again")
	}
	w.submit(t, r)
}

// submit sends r to an entry.
func (w *world) submit(t *rapid.T, r *request) {
	p := w.process(t)
	ticketed := r.sendings > 0 && (r.key == "" || rapid.Bool().Draw(t, "ticketed"))
	if r.sendings == 0 {
		w.requests = append(w.requests, r)
	} else {
		r.first = false
		// A caller may well send again what it was told did not run.
		r.refused = false
	}
	s := &sending{request: r, entry: p, id: w.number()}
	w.sendings = append(w.sendings, s)
	p.sendings[s.id] = s
	e := event.Request{At: w.now, ID: s.id, Method: "POST", Path: "/ledger", Key: r.key, First: r.first, Random: w.rand()}
	if r.idempotent {
		e.Method = "GET"
	}
	if ticketed {
		e.Ticket = r.ticket
	}
	r.sendings++
	w.step(p, e)
}

// networkFaults returns the actions that disturb the network.
func (w *world) networkFaults() actions {
	link := func(t *rapid.T) [2]string {
		ends := []string{platformName}
		for _, p := range w.processes {
			ends = append(ends, p.node.Instance)
		}
		return [2]string{rapid.SampledFrom(ends).Draw(t, "from"), rapid.SampledFrom(ends).Draw(t, "to")}
	}
	return actions{
		"lose": func(t *rapid.T) { w.lose(rapid.IntRange(0, 30).Draw(t, "message")) },
		// The connection breaks for the entry while its bytes still travel.
		"break": func(t *rapid.T) {
			p := w.process(t)
			for _, k := range w.order(p) {
				w.finish(p.exchanges[k], event.Answered{Verdict: event.Broken})
			}
		},
		"cut": func(t *rapid.T) {
			l := link(t)
			w.cut[l] = true
			if rapid.Bool().Draw(t, "both") {
				w.cut[[2]string{l[1], l[0]}] = true
			}
		},
		"heal": func(*rapid.T) { clear(w.cut) },
	}
}

// processFaults returns the actions that disturb processes.
func (w *world) processFaults() actions {
	return actions{
		"kill": func(t *rapid.T) { w.kill(w.process(t)) },
		"replace": func(t *rapid.T) {
			place := rapid.IntRange(0, places-1).Draw(t, "place")
			old := w.processes[place]
			if old.alive && (!old.paused || !rapid.Bool().Draw(t, "lives on")) {
				w.kill(old)
			}
			switch rapid.IntRange(0, 3).Draw(t, "as") {
			case 0:
				w.start(place, fmt.Sprintf("j%d", w.number()), "ledger")
			case 1:
				w.start(place, fmt.Sprintf("j%d", w.number()), "export")
			default:
				w.start(place, old.instance.Name, old.instance.Service)
			}
		},
		"pause": func(t *rapid.T) { w.process(t).paused = true },
		"wake": func(t *rapid.T) {
			p := w.all[rapid.IntRange(0, len(w.all)-1).Draw(t, "process")]
			p.paused = false
		},
		"leave": func(t *rapid.T) {
			p := w.process(t)
			p.left = true
			w.step(p, event.Leave{At: w.now})
		},
	}
}

// serverFaults returns the actions that disturb backend servers.
func (w *world) serverFaults() actions {
	server := func(t *rapid.T) *server { return w.process(t).server }
	return actions{
		"turn cold": func(t *rapid.T) { server(t).cold = true },
		"refuse":    func(t *rapid.T) { s := server(t); s.refuses = !s.refuses },
		"shed":      func(t *rapid.T) { s := server(t); s.sheds = !s.sheds },
		"fail":      func(t *rapid.T) { s := server(t); s.fails = !s.fails },
		"drain":     func(t *rapid.T) { s := server(t); s.draining = !s.draining },
		"reset": func(t *rapid.T) {
			p := w.process(t)
			for _, n := range sorted(p.server.running) {
				w.serve(p.server.running[n], event.Served{Failure: event.Reset})
			}
		},
	}
}

// operations returns the actions of operators and of the platform.
func (w *world) operations() actions {
	centres := [][]string{nil, nil, {"north"}, {"south"}}
	return actions{
		"publish": func(t *rapid.T) { w.publishRules(rapid.SampledFrom(centres).Draw(t, "out")) },
		"race": func(t *rapid.T) {
			w.publishRules(rapid.SampledFrom(centres).Draw(t, "out"))
			w.publishRules(rapid.SampledFrom(centres).Draw(t, "out"))
		},
		"invalid": func(*rapid.T) { w.publishInvalid() },
		"list": func(t *rapid.T) {
			w.publishFleet([]string{w.processes[rapid.IntRange(0, places-1).Draw(t, "place")].node.Instance})
		},
		"list all": func(*rapid.T) { w.publishFleet(nil) },
		"platform down": func(t *rapid.T) {
			w.rules.down = rapid.Bool().Draw(t, "rules")
			w.fleet.down = rapid.Bool().Draw(t, "fleet")
		},
		"stale": func(t *rapid.T) {
			w.rules.show(w.now, uint64(rapid.IntRange(1, int(w.rules.newest)).Draw(t, "rules")))
			w.fleet.show(w.now, uint64(rapid.IntRange(1, int(w.fleet.newest)).Draw(t, "fleet")))
		},
		"spread":  w.spread,
		"restore": func(*rapid.T) { w.restore() },
	}
}

// restore lets the platform show the newest documents.
func (w *world) restore() {
	for _, p := range []*platform{&w.rules, &w.fleet} {
		p.down = false
		p.show(w.now, p.newest)
	}
}

// spread publishes a document and lets three seconds pass without a new fault.
// Whoever can be reached from the platform must hold the document then.
func (w *world) spread(t *rapid.T) {
	w.restore()
	w.calm(tickTime)
	list := rapid.Bool().Draw(t, "list")
	if list {
		w.publishFleet([]string{w.processes[rapid.IntRange(0, places-1).Draw(t, "place")].node.Instance})
	} else {
		w.publishRules([]string{rapid.SampledFrom([]string{"north", "south"}).Draw(t, "out")})
	}
	near := w.direct()
	down := rapid.Bool().Draw(t, "down")
	w.calm(spreadTime / 2)
	w.rules.down, w.fleet.down = down, down
	w.calm(spreadTime / 2)
	for _, p := range w.processes {
		if !p.alive || !near[p] && !w.isBeside(p, near) {
			continue
		}
		v := p.reducer.Versions(w.now)
		if list && v.Fleet.Revision < w.fleet.newest || !list && v.Rules.Revision < w.rules.newest {
			w.t.Fatalf("%v holds %v, not %d or %d", p.node, v, w.rules.newest, w.fleet.newest)
		}
	}
}

// direct returns the processes that watch the platform, can reach it, and stay.
func (w *world) direct() map[*process]bool {
	near := map[*process]bool{}
	for _, p := range w.processes {
		watches := p.reducer.Status(w.now).Watches
		near[p] = p.alive && !p.paused && !p.left && watches && !w.cut[[2]string{p.node.Instance, platformName}]
	}
	return near
}

// isBeside reports whether p and one of near can reach each other and know each other.
func (w *world) isBeside(p *process, near map[*process]bool) bool {
	if !p.alive || p.paused {
		return false
	}
	for _, q := range w.processes {
		if near[q] && q != p && !w.isCut(p, q) && !w.isCut(q, p) && w.lists(p, q) && w.lists(q, p) {
			return true
		}
	}
	return false
}

// lists reports whether the list that p holds has q.
func (w *world) lists(p, q *process) bool {
	v := p.reducer.Versions(w.now)
	return slices.Contains(w.fleet.texts[v.Fleet.Revision].members, q.node)
}

// sleep returns the actions that let much time pass.
func (w *world) sleep() actions {
	return actions{
		"wait": func(t *rapid.T) {
			for range rapid.IntRange(1, 17*60).Draw(t, "seconds") {
				w.tick(longTick)
				for range 1000 {
					if !w.deliver(0) {
						break
					}
				}
			}
		},
	}
}

// recover ends all faults, and checks that all is well again.
func (w *world) recover() {
	clear(w.cut)
	for _, p := range w.all {
		p.paused = false
	}
	for i, p := range w.processes {
		if !p.alive || p.left || p.instance.Service != "ledger" {
			w.kill(p)
			w.start(i, fmt.Sprintf("k%d", w.number()), "ledger")
			p = w.processes[i]
		}
		s := p.server
		s.cold, s.draining, s.refuses, s.sheds, s.fails = false, false, false, false, false
	}
	w.publishRules(nil)
	w.publishFleet(nil)
	w.restore()
	w.calm(20 * time.Second)
	for _, s := range w.sendings {
		if s.settled == 0 && !s.gone {
			w.t.Fatalf("request %d was never answered", s.request.number)
		}
	}
	w.serveAgain()
}

// serveAgain checks that every entry serves new requests.
func (w *world) serveAgain() {
	for _, p := range w.processes {
		for _, method := range []string{"GET", "POST"} {
			r := &request{number: len(w.requests), idempotent: method == "GET", sent: w.now, sendings: 1}
			s := &sending{request: r, entry: p, id: w.number()}
			w.requests = append(w.requests, r)
			w.sendings = append(w.sendings, s)
			p.sendings[s.id] = s
			good := w.counts[effect.Run]
			w.step(p, event.Request{At: w.now, ID: s.id, Method: method, Path: "/ledger", Random: w.rand()})
			w.calm(tickTime)
			if w.counts[effect.Run] != good+1 {
				w.t.Fatalf("%v does not serve %s after all faults have ended: %v", p.node, method, w.counts)
			}
		}
	}
}

// join returns all of the given actions.
func join(all ...actions) actions {
	joined := actions{}
	for _, a := range all {
		maps.Copy(joined, a)
	}
	return joined
}

// check runs random sequences of the traffic and the given actions.
func check(t *testing.T, faults ...func(*world) actions) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.calm(2 * time.Second)
		all := []actions{w.traffic()}
		for _, f := range faults {
			all = append(all, f(w))
		}
		t.Repeat(join(all...))
		w.recover()
	})
}

// only returns a part of actions.
func only(of func(*world) actions, names ...string) func(*world) actions {
	return func(w *world) actions {
		all, part := of(w), actions{}
		for _, n := range names {
			part[n] = all[n]
		}
		return part
	}
}

func TestAnyFault(t *testing.T) {
	check(t, (*world).networkFaults, (*world).processFaults, (*world).serverFaults, (*world).operations)
}

func TestBrokenExchanges(t *testing.T) {
	check(t, (*world).networkFaults, only((*world).processFaults, "kill", "replace"))
}

func TestServersTurnBad(t *testing.T) {
	check(t, (*world).serverFaults, only((*world).processFaults, "replace", "pause", "wake"))
}

func TestSleepers(t *testing.T) {
	check(t, only((*world).processFaults, "pause", "wake"), only((*world).operations, "publish", "list all"))
}

func TestViews(t *testing.T) {
	check(t, (*world).operations, (*world).networkFaults, only((*world).processFaults, "replace", "leave"))
}

func TestKeys(t *testing.T) {
	check(t, (*world).sleep, only((*world).operations, "list", "list all", "publish"),
		only((*world).processFaults, "pause", "wake", "replace"), only((*world).networkFaults, "lose", "break"))
}
