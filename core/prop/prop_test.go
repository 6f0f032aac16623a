package prop

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

// freshName is the environment variable that enables random seeds; fixedSeed is the seed
// without it.
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

// actions maps the names of the random actions to their functions.
type actions map[string]func(*rapid.T)

// drawProcess draws a live process that is not paused, or skips the action.
func (sm *simulation) drawProcess(t *rapid.T) *process {
	p := sm.processes[rapid.IntRange(0, instanceCount-1).Draw(t, "place")]
	if !p.alive || p.paused {
		t.Skip("the process is not running")
	}
	return p
}

// traffic returns the actions of callers and of a network without faults.
func (sm *simulation) traffic() actions {
	deliver := func(t *rapid.T) {
		for range rapid.IntRange(1, 20).Draw(t, "count") {
			sm.deliver(rapid.IntRange(0, 30).Draw(t, "message"))
		}
	}
	return actions{
		"request":  sm.submitNew,
		"request2": sm.submitNew,
		"again":    sm.resubmit,
		"deliver":  deliver,
		"deliver2": deliver,
		"deliver3": deliver,
		"flush": func(*rapid.T) {
			for range 200 {
				sm.deliver(0)
			}
		},
		"advance": func(t *rapid.T) { sm.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ticks")) * tickInterval) },
	}
}

// submitNew submits a new request.
func (sm *simulation) submitNew(t *rapid.T) {
	r := &request{number: len(sm.requests), firstSent: sm.now, idempotent: rapid.IntRange(0, 2).Draw(t, "kind") == 0}
	if rapid.Bool().Draw(t, "keyed") {
		r.key = fmt.Sprintf("key %d", r.number)
		r.firstUse = rapid.Bool().Draw(t, "first")
	}
	sm.submit(t, r)
}

// resubmit submits an earlier request again, identified by its key or its ticket.
func (sm *simulation) resubmit(t *rapid.T) {
	if len(sm.requests) == 0 {
		t.Skip("no earlier request")
	}
	r := sm.requests[max(0, len(sm.requests)-1-rapid.IntRange(0, 9).Draw(t, "request"))]
	if r.idempotent || r.key == "" && r.ticket == nil {
		t.Skip("the request is idempotent or has neither key nor ticket")
	}
	sm.submit(t, r)
}

// submit sends r to the entry of a random process.
func (sm *simulation) submit(t *rapid.T, r *request) {
	p := sm.drawProcess(t)
	ticketed := r.submissions > 0 && (r.key == "" || rapid.Bool().Draw(t, "ticketed"))
	if r.submissions == 0 {
		sm.requests = append(sm.requests, r)
	} else {
		r.firstUse = false
		// A caller may resubmit a request after it was told not-run.
		r.reportedNotRun = false
	}
	s := &submission{request: r, entry: p, id: sm.nextID()}
	sm.submissions = append(sm.submissions, s)
	p.submissions[s.id] = s
	e := event.Request{At: sm.now, ID: s.id, Method: "POST", Path: "/ledger", Key: r.key, FirstUse: r.firstUse, Random: sm.rand()}
	if r.idempotent {
		e.Method = "GET"
	}
	if ticketed {
		e.Ticket = r.ticket
	}
	r.submissions++
	sm.step(p, e)
}

// networkFaults returns the actions that inject network faults.
func (sm *simulation) networkFaults() actions {
	link := func(t *rapid.T) [2]string {
		ends := []string{platformName}
		for _, p := range sm.processes {
			ends = append(ends, p.node.Instance)
		}
		return [2]string{rapid.SampledFrom(ends).Draw(t, "from"), rapid.SampledFrom(ends).Draw(t, "to")}
	}
	return actions{
		"lose": func(t *rapid.T) { sm.drop(rapid.IntRange(0, 30).Draw(t, "message")) },
		// The entry sees a broken connection while the attempt is still in flight to the guard.
		"break": func(t *rapid.T) {
			p := sm.drawProcess(t)
			for _, k := range sm.sortedTickets(p) {
				sm.endExchange(p.exchanges[k], event.AttemptEnded{Verdict: event.Broken})
			}
		},
		"cut": func(t *rapid.T) {
			l := link(t)
			sm.linksDown[l] = true
			if rapid.Bool().Draw(t, "both") {
				sm.linksDown[[2]string{l[1], l[0]}] = true
			}
		},
		"heal": func(*rapid.T) { clear(sm.linksDown) },
	}
}

// processFaults returns the actions that inject faults into node processes.
func (sm *simulation) processFaults() actions {
	return actions{
		"kill": func(t *rapid.T) { sm.kill(sm.drawProcess(t)) },
		"replace": func(t *rapid.T) {
			index := rapid.IntRange(0, instanceCount-1).Draw(t, "place")
			old := sm.processes[index]
			keepsRunning := old.paused && rapid.Bool().Draw(t, "keeps running")
			if old.alive && !keepsRunning {
				sm.kill(old)
			}
			switch rapid.IntRange(0, 3).Draw(t, "as") {
			case 0:
				sm.start(index, fmt.Sprintf("j%d", sm.nextID()), "ledger")
			case 1:
				sm.start(index, fmt.Sprintf("j%d", sm.nextID()), "export")
			default:
				sm.start(index, old.instance.Name, old.instance.Service)
			}
		},
		"pause": func(t *rapid.T) { sm.drawProcess(t).paused = true },
		"wake": func(t *rapid.T) {
			p := sm.allProcesses[rapid.IntRange(0, len(sm.allProcesses)-1).Draw(t, "process")]
			p.paused = false
		},
		"leave": func(t *rapid.T) {
			p := sm.drawProcess(t)
			p.leaving = true
			sm.step(p, event.ShutdownRequested{At: sm.now})
		},
	}
}

// serverFaults returns the actions that inject faults into backend servers.
func (sm *simulation) serverFaults() actions {
	server := func(t *rapid.T) *server { return sm.drawProcess(t).server }
	return actions{
		"turn cold": func(t *rapid.T) { server(t).cold = true },
		"refuse":    func(t *rapid.T) { s := server(t); s.refuses = !s.refuses },
		"shed":      func(t *rapid.T) { s := server(t); s.sheds = !s.sheds },
		"fail":      func(t *rapid.T) { s := server(t); s.fails = !s.fails },
		"drain":     func(t *rapid.T) { s := server(t); s.draining = !s.draining },
		"reset": func(t *rapid.T) {
			p := sm.drawProcess(t)
			for _, n := range sortedKeys(p.server.running) {
				sm.endServing(p.server.running[n], event.ExchangeEnded{Failure: event.Reset})
			}
		},
	}
}

// operations returns the actions of operators and of the platform.
func (sm *simulation) operations() actions {
	centres := [][]string{nil, nil, {"north"}, {"south"}}
	return actions{
		"publish": func(t *rapid.T) { sm.publishRules(rapid.SampledFrom(centres).Draw(t, "out")) },
		"race": func(t *rapid.T) {
			sm.publishRules(rapid.SampledFrom(centres).Draw(t, "out"))
			sm.publishRules(rapid.SampledFrom(centres).Draw(t, "out"))
		},
		"invalid": func(*rapid.T) { sm.publishInvalid() },
		"list": func(t *rapid.T) {
			sm.publishFleet([]string{sm.processes[rapid.IntRange(0, instanceCount-1).Draw(t, "place")].node.Instance})
		},
		"list all": func(*rapid.T) { sm.publishFleet(nil) },
		"platform down": func(t *rapid.T) {
			sm.rules.down = rapid.Bool().Draw(t, "rules")
			sm.fleet.down = rapid.Bool().Draw(t, "fleet")
		},
		"stale": func(t *rapid.T) {
			sm.rules.setVisible(sm.now, uint64(rapid.IntRange(1, int(sm.rules.newest)).Draw(t, "rules")))
			sm.fleet.setVisible(sm.now, uint64(rapid.IntRange(1, int(sm.fleet.newest)).Draw(t, "fleet")))
		},
		"spread":  sm.checkPropagation,
		"restore": func(*rapid.T) { sm.restorePlatform() },
	}
}

// restorePlatform makes the platform available and its newest revisions visible.
func (sm *simulation) restorePlatform() {
	for _, p := range []*platform{&sm.rules, &sm.fleet} {
		p.down = false
		p.setVisible(sm.now, p.newest)
	}
}

// checkPropagation publishes a document and lets propagationTime pass without a new
// network or process fault; the platform may fail in the second half. Every node that can
// reach the platform, or a peer that reads it, must hold the document then.
func (sm *simulation) checkPropagation(t *rapid.T) {
	sm.restorePlatform()
	sm.advanceAndDeliver(tickInterval)
	list := rapid.Bool().Draw(t, "list")
	if list {
		sm.publishFleet([]string{sm.processes[rapid.IntRange(0, instanceCount-1).Draw(t, "place")].node.Instance})
	} else {
		sm.publishRules([]string{rapid.SampledFrom([]string{"north", "south"}).Draw(t, "out")})
	}
	readers := sm.reachableReaders()
	down := rapid.Bool().Draw(t, "down")
	sm.advanceAndDeliver(propagationTime / 2)
	sm.rules.down, sm.fleet.down = down, down
	sm.advanceAndDeliver(propagationTime / 2)
	for _, p := range sm.processes {
		if !p.alive || !readers[p] && !sm.hasReaderPeer(p, readers) {
			continue
		}
		v := p.reducer.Versions(sm.now)
		if list && v.Fleet.Revision < sm.fleet.newest || !list && v.Rules.Revision < sm.rules.newest {
			sm.t.Fatalf("%v holds versions %v, want rules revision %d or instance list revision %d", p.node, v, sm.rules.newest, sm.fleet.newest)
		}
	}
}

// reachableReaders returns the processes that read the platform, can reach it and are not
// leaving.
func (sm *simulation) reachableReaders() map[*process]bool {
	readers := map[*process]bool{}
	for _, p := range sm.processes {
		isReader := p.reducer.Status(sm.now).IsReader
		readers[p] = p.alive && !p.paused && !p.leaving && isReader && !sm.linksDown[[2]string{p.node.Instance, platformName}]
	}
	return readers
}

// hasReaderPeer reports whether p and one of readers can reach each other and list each
// other.
func (sm *simulation) hasReaderPeer(p *process, readers map[*process]bool) bool {
	if !p.alive || p.paused {
		return false
	}
	for _, q := range sm.processes {
		if readers[q] && q != p && !sm.isLinkDown(p, q) && !sm.isLinkDown(q, p) && sm.lists(p, q) && sm.lists(q, p) {
			return true
		}
	}
	return false
}

// lists reports whether the instance list that p holds names q.
func (sm *simulation) lists(p, q *process) bool {
	v := p.reducer.Versions(sm.now)
	return slices.Contains(sm.fleet.publications[v.Fleet.Revision].members, q.node)
}

// longWaits returns the action that lets up to 17 minutes pass.
func (sm *simulation) longWaits() actions {
	return actions{
		"wait": func(t *rapid.T) {
			for range rapid.IntRange(1, 17*60).Draw(t, "seconds") {
				sm.tick(maxTickInterval)
				for range 1000 {
					if !sm.deliver(0) {
						break
					}
				}
			}
		},
	}
}

// checkRecovery ends all faults and checks that every request gets a response and that every
// entry serves new ones.
func (sm *simulation) checkRecovery() {
	clear(sm.linksDown)
	for _, p := range sm.allProcesses {
		p.paused = false
	}
	for i, p := range sm.processes {
		if !p.alive || p.leaving || p.instance.Service != "ledger" {
			sm.kill(p)
			sm.start(i, fmt.Sprintf("k%d", sm.nextID()), "ledger")
			p = sm.processes[i]
		}
		s := p.server
		s.cold, s.draining, s.refuses, s.sheds, s.fails = false, false, false, false, false
	}
	sm.publishRules(nil)
	sm.publishFleet(nil)
	sm.restorePlatform()
	sm.advanceAndDeliver(20 * time.Second)
	for _, s := range sm.submissions {
		if s.replies == 0 && !s.callerDisconnected {
			sm.t.Fatalf("request %d was never answered", s.request.number)
		}
	}
	sm.checkService()
}

// checkService checks that every entry serves new requests.
func (sm *simulation) checkService() {
	for _, p := range sm.processes {
		for _, method := range []string{"GET", "POST"} {
			r := &request{number: len(sm.requests), idempotent: method == "GET", firstSent: sm.now, submissions: 1}
			s := &submission{request: r, entry: p, id: sm.nextID()}
			sm.requests = append(sm.requests, r)
			sm.submissions = append(sm.submissions, s)
			p.submissions[s.id] = s
			runsBefore := sm.counts[effect.Run]
			sm.step(p, event.Request{At: sm.now, ID: s.id, Method: method, Path: "/ledger", Random: sm.rand()})
			sm.advanceAndDeliver(tickInterval)
			if sm.counts[effect.Run] != runsBefore+1 {
				sm.t.Fatalf("%v does not serve %s after all faults have ended; replies by outcome: %v", p.node, method, sm.counts)
			}
		}
	}
}

// join returns the union of the given actions.
func join(all ...actions) actions {
	joined := actions{}
	for _, a := range all {
		maps.Copy(joined, a)
	}
	return joined
}

// check runs random sequences of traffic and of the given faults, then checks recovery.
func check(t *testing.T, faults ...func(*simulation) actions) {
	var s replyCounts
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(t)
		sm.advanceAndDeliver(2 * time.Second)
		all := []actions{sm.traffic()}
		for _, f := range faults {
			all = append(all, f(sm))
		}
		t.Repeat(join(all...))
		s.add(sm)
		sm.checkRecovery()
	})
	t.Logf("per 1,000 submissions: %v", s)
}

// replyCounts counts the replies that callers received while faults were active.
type replyCounts struct {
	sent     int
	forwards int
	counts   [4]int
}

// add adds the replies of one simulation.
func (s *replyCounts) add(sm *simulation) {
	s.sent += len(sm.submissions)
	s.forwards += sm.forwards
	for i, n := range sm.counts {
		s.counts[i] += n
	}
}

// String returns the counts per 1,000 submissions. Submissions without a reply before the
// faults ended are in none of them.
func (s replyCounts) String() string {
	of := func(n int) int { return n * 1000 / max(s.sent, 1) }
	return fmt.Sprintf("%d run, %d not-run, %d unknown, %d running, of %d; %d attempts",
		of(s.counts[effect.Run]), of(s.counts[effect.NotRun]), of(s.counts[effect.Unknown]),
		of(s.counts[effect.Running]), s.sent, of(s.forwards))
}

// subset restricts the actions that of returns to the given names.
func subset(of func(*simulation) actions, names ...string) func(*simulation) actions {
	return func(sm *simulation) actions {
		all, part := of(sm), actions{}
		for _, n := range names {
			part[n] = all[n]
		}
		return part
	}
}

func TestAllFaults(t *testing.T) {
	check(t, (*simulation).networkFaults, (*simulation).processFaults, (*simulation).serverFaults, (*simulation).operations)
}

func TestNetworkFaultsAndKills(t *testing.T) {
	check(t, (*simulation).networkFaults, subset((*simulation).processFaults, "kill", "replace"))
}

func TestServerFaults(t *testing.T) {
	check(t, (*simulation).serverFaults, subset((*simulation).processFaults, "replace", "pause", "wake"))
}

func TestPausedProcesses(t *testing.T) {
	check(t, subset((*simulation).processFaults, "pause", "wake"), subset((*simulation).operations, "publish", "list all"))
}

func TestDocumentPropagation(t *testing.T) {
	check(t, (*simulation).operations, (*simulation).networkFaults, subset((*simulation).processFaults, "replace", "leave"))
}

func TestIdempotencyKeys(t *testing.T) {
	check(t, (*simulation).longWaits, subset((*simulation).operations, "list", "list all", "publish"),
		subset((*simulation).processFaults, "pause", "wake", "replace"), subset((*simulation).networkFaults, "lose", "break"))
}
