package entry_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/entry"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/nested"
	"bulrushlock/core/pick"
	"bulrushlock/core/report"
	"bulrushlock/core/rules"
	"bulrushlock/core/ticket"
)

const probeRules = `
budget retry=100% hedge=100%                                                             # Asha: test
service ledger slots=9 rate=11                                                           # Asha: test
service archive slots=9 rate=11                                                          # Asha: test
route GET /lines service=ledger idempotent=yes aim=500ms time=2s tries=2                 # Asha: test
route POST /lines service=ledger idempotent=no aim=500ms time=2s tries=1                 # Asha: test
route GET /old split=ledger:75,archive:25 idempotent=yes aim=500ms time=2s tries=1       # Asha: test
`

// newProbingEntry returns an entry that probes three guards. It knows four guards of the
// service ledger in its own data centre, four in another one, and one guard of the
// service archive.
func newProbingEntry(c *qt.C) *entry.Entry {
	set, err := rules.Parse(probeRules)
	c.Assert(err, qt.IsNil)
	n := entry.New(entry.Config{Node: ticket.NodeID{Instance: "near-0", Incarnation: 1}, Centre: "near", ProbeCount: 3}, pick.NewLoadAware())
	n.SetRules(set, probedInstances())
	return n
}

// probedInstances returns the instances that such an entry knows.
func probedInstances() []fleet.Instance {
	var instances []fleet.Instance
	add := func(name, centre, service string) {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(instances) + 1)}), 1)
		instances = append(instances, fleet.Instance{Name: name, Centre: centre, Service: service, ForwardAddr: at, ControlAddr: at})
	}
	for i := range 4 {
		add(fmt.Sprintf("near-%d", i), "near", "ledger")
		add(fmt.Sprintf("far-%d", i), "far", "ledger")
	}
	add("old-0", "near", "archive")
	return instances
}

// getRequest returns a GET request for the given path.
func getRequest(id uint64, path string, at time.Time, left time.Duration) event.Request {
	return event.Request{At: at, ID: id, Name: fmt.Sprint(id), Method: "GET", Path: path, Call: nested.Limits{TimeLeft: left}, Random: id * 7919}
}

// reportLoads returns load probe results in which all peers report the same load.
func reportLoads(at time.Time, peers []fleet.Instance, load report.Load) []event.LoadReported {
	var loads []event.LoadReported
	for _, p := range peers {
		loads = append(loads, event.LoadReported{At: at, Guard: ticket.NodeID{Instance: p.Name, Incarnation: 5}, Load: load})
	}
	return loads
}

// finishAttempt ends the attempt of f with a successful response after the time spent.
func finishAttempt(n *entry.Entry, f effect.Forward, at time.Time, spent time.Duration) []effect.Effect {
	load := report.Load{Limit: 7, Slow: 100}
	return n.AttemptEnded(event.AttemptEnded{
		At: at, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 200, Latency: spent, Load: &load, Guard: f.Ticket.Guard,
	}, nil)
}

// learnServiceTime completes requests for GET /lines that take 150 ms, until the entry
// knows this service time. It returns the time after that.
func learnServiceTime(c *qt.C, n *entry.Entry) time.Time {
	at := now
	for id := range uint64(30) {
		at = at.Add(time.Second)
		s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1000+id, "/lines", at, 3*time.Second), nil))
		f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: s.ID, Loads: reportLoads(at, s.Peers, report.Load{Limit: 7, Slow: 100})}, nil))
		finishAttempt(n, f, at.Add(150*time.Millisecond), 150*time.Millisecond)
	}
	return at.Add(time.Second)
}

func TestLocalGuardsAreProbedFirst(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	for id := range uint64(20) {
		s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(id, "/lines", now, 3*time.Second), nil))
		c.Assert(s.Peers, qt.HasLen, 3)
		for _, p := range s.Peers {
			c.Check(p.Centre, qt.Equals, "near")
			c.Check(p.Name, qt.Not(qt.Equals), "near-0")
		}
	}
}

func TestFastestGuardIsSelected(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", now, 3*time.Second), nil))
	loads := reportLoads(now, s.Peers, report.Load{Limit: 7, Slow: 400})
	loads[1].Load = report.Load{Limit: 7, Slow: 100, InFlight: 5}
	f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: now, ID: 1, Loads: loads}, nil))
	c.Check(f.Peer.Name, qt.Equals, s.Peers[1].Name)
	c.Check(f.Ticket.Guard.Incarnation, qt.Equals, uint64(5))
	c.Check(f.TargetLeft, qt.Equals, 500*time.Millisecond)
}

// Under full load, no guard can meet the latency target. The entry probes other guards
// once more and then rejects the request immediately, with Retry-After delays that spread
// the retries of callers.
func TestRejectsWhenNoGuardMeetsTarget(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	full := report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: 400 * time.Millisecond}
	retries := make(map[time.Duration]bool)
	for id := range uint64(10) {
		at = at.Add(time.Second)
		s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(id, "/lines", at, 3*time.Second), nil))
		again := findEffect[effect.ProbeCandidates](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: id, Loads: reportLoads(at, s.Peers, full)}, nil))
		for _, p := range again.Peers {
			c.Check(p.Centre, qt.Equals, "far")
		}
		r := findEffect[effect.ReplyFromEntry](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: id, Loads: reportLoads(at, again.Peers, full)}, nil))
		c.Check(r.Outcome, qt.Equals, effect.NotRun)
		c.Check(r.Reason, qt.Equals, effect.ReasonOverloaded)
		c.Check(r.RetryAfter >= 400*time.Millisecond && r.RetryAfter <= time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
		retries[r.RetryAfter] = true
	}
	c.Check(len(retries) >= 8, qt.IsTrue)
}

func TestForwardsWhenGuardMeetsTarget(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil))
	load := report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: 100 * time.Millisecond}
	out := n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, s.Peers, load)}, nil)
	c.Check(hasEffect[effect.Forward](out), qt.IsTrue)
}

// The latency target counts from a caller's first request, so a retrying caller, which
// has less time left, has an earlier target. Callers also start with different timeouts:
// only one that lacks at least the shortest Retry-After delay counts as retrying.
func TestLatencyTargetOfRetryingCaller(t *testing.T) {
	tests := []struct {
		name   string
		left   time.Duration
		target time.Duration
	}{
		{"same timeout as others", 3 * time.Second, 500 * time.Millisecond},
		{"slightly shorter timeout", 2700 * time.Millisecond, 500 * time.Millisecond},
		{"retries after the shortest delay", 2504 * time.Millisecond, 4 * time.Millisecond},
		{"retries late", 2 * time.Second, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			at := learnServiceTime(c, n)
			s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", at, tt.left), nil))
			f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, s.Peers, report.Load{Limit: 7})}, nil))
			c.Check(f.TargetLeft, qt.Equals, tt.target)
		})
	}
}

func TestHedgeBeforeLatencyTarget(t *testing.T) {
	tests := []struct {
		name   string
		method string
		load   report.Load
		hedged bool
	}{
		{name: "fast guard with free slots", method: "GET", load: report.Load{Limit: 7, Slow: 100}, hedged: true},
		{name: "slow guard", method: "GET", load: report.Load{Limit: 7, Slow: 400}},
		{name: "nearly full guard", method: "GET", load: report.Load{Limit: 7, Slow: 100, InFlight: 6}},
		{name: "cold guard", method: "GET", load: report.Load{Limit: 7, Slow: 100, Cold: true}},
		{name: "not idempotent", method: "POST", load: report.Load{Limit: 7, Slow: 100}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			at := learnServiceTime(c, n)
			r := getRequest(1, "/lines", at, 3*time.Second)
			r.Method = tt.method
			s := findEffect[effect.ProbeCandidates](c, n.Request(r, nil))
			f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, s.Peers, report.Load{Limit: 7})}, nil))
			if tt.method == "POST" {
				c.Check(f.HedgeDelay, qt.Equals, time.Duration(0))
				return
			}
			c.Assert(f.HedgeDelay > 250*time.Millisecond && f.HedgeDelay < 350*time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.HedgeDelay))
			at = at.Add(f.HedgeDelay)
			again := findEffect[effect.ProbeCandidates](c, n.HedgeDelayPassed(event.HedgeDelayPassed{At: at, ID: 1}, nil))
			out := n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, again.Peers, tt.load)}, nil)
			c.Check(hasEffect[effect.Forward](out), qt.Equals, tt.hedged)
		})
	}
}

// A request reaches at most as many backend servers as its route allows. Rejections by
// guards do not count.
func TestTriesCountBackendServers(t *testing.T) {
	tests := []struct {
		name    string
		verdict event.Verdict
		reason  effect.Reason
		again   bool
	}{
		{"the guard rejects", event.NotRun, effect.ReasonOverloaded, true},
		{"the backend server rejects", event.NotRun, effect.ReasonShed, false},
		{"no connection", event.Unsent, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			r := getRequest(1, "/lines", now, 3*time.Second)
			r.Method = "POST"
			s := findEffect[effect.ProbeCandidates](c, n.Request(r, nil))
			f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: now, ID: 1, Loads: reportLoads(now, s.Peers, report.Load{Limit: 7})}, nil))
			out := n.AttemptEnded(event.AttemptEnded{At: now, ID: 1, Ticket: f.Ticket, Verdict: tt.verdict, Reason: string(tt.reason)}, nil)
			c.Check(hasEffect[effect.Forward](out), qt.Equals, tt.again)
		})
	}
}

func TestRouteSplitFollowsWeights(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	counts := make(map[string]int)
	for id := range uint64(400) {
		out := n.Request(getRequest(id, "/old", now, 3*time.Second), nil)
		if hasEffect[effect.ProbeCandidates](out) {
			s := findEffect[effect.ProbeCandidates](c, out)
			out = n.CandidatesProbed(event.CandidatesProbed{At: now, ID: id, Loads: reportLoads(now, s.Peers, report.Load{Limit: 1000})}, nil)
		}
		counts[findEffect[effect.Forward](c, out).Ticket.Service]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"ledger": 300, "archive": 100})
}

// A node that restarts beside its backend server reports that it is leaving. The entry
// must probe it again soon after, since it may be the only one of its service.
func TestLeavingGuardIsProbedAgain(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil))
	leaving := s.Peers[0].Name
	loads := reportLoads(at, s.Peers, report.Load{Limit: 7})
	loads[0].Load.Leaving = true
	n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: loads}, nil)
	isProbed := func(at time.Time) bool {
		for id := range uint64(40) {
			out := n.Request(getRequest(100+id, "/lines", at, 3*time.Second), nil)
			if !hasEffect[effect.ProbeCandidates](out) {
				continue
			}
			for _, p := range findEffect[effect.ProbeCandidates](c, out).Peers {
				if p.Name == leaving {
					return true
				}
			}
		}
		return false
	}
	c.Check(isProbed(at.Add(100*time.Millisecond)), qt.IsFalse)
	c.Check(isProbed(at.Add(time.Second)), qt.IsTrue)
}

// Under peak load during slow periods, the fast guards are full. A request that is
// expected to be late then goes to a slow guard with spare capacity instead of being
// rejected, and displaces no other work.
func TestLateRequestUsesSpareCapacity(t *testing.T) {
	tests := []struct {
		name string
		busy int
		slow bool
		sent bool
	}{
		{name: "many free slots", busy: 1, slow: true, sent: true},
		{name: "few free slots", busy: 5, slow: true},
		{name: "no free slot", busy: 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			at := learnServiceTime(c, n)
			full := report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: 20 * time.Millisecond}
			slow := report.Load{Limit: 7, Slow: 800, InFlight: tt.busy}
			if !tt.slow {
				slow = full
			}
			s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", at, 2400*time.Millisecond), nil))
			loads := reportLoads(at, s.Peers, full)
			loads[2].Load = slow
			out := n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: loads}, nil)
			if hasEffect[effect.ProbeCandidates](out) {
				again := findEffect[effect.ProbeCandidates](c, out)
				out = n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, again.Peers, full)}, nil)
			}
			c.Check(hasEffect[effect.Forward](out), qt.Equals, tt.sent)
			c.Check(hasEffect[effect.ReplyFromEntry](out), qt.Equals, !tt.sent)
		})
	}
}

// All entries of a fleet together stay within the retry budget of a failing service.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	for _, nodes := range []int{13, 59, 86} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := qt.New(t)
			set, err := rules.Parse("budget retry=10% hedge=8%  # a: b\nservice ledger slots=9 rate=11  # a: b\n" +
				"service archive slots=9 rate=11  # a: b\n" +
				"route GET /lines service=ledger idempotent=yes tries=9  # a: b\nroute GET /old service=archive idempotent=yes tries=9  # a: b\n")
			c.Assert(err, qt.IsNil)
			var instances []fleet.Instance
			for i := range nodes {
				at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 1)
				instances = append(instances, fleet.Instance{Name: fmt.Sprintf("i%d", i), Centre: "c", Service: "ledger", ForwardAddr: at, ControlAddr: at})
			}
			extra, first := 0, 0
			for i := range nodes {
				n := entry.New(entry.Config{Node: ticket.NodeID{Instance: fmt.Sprintf("i%d", i)}, Centre: "c"}, pick.NewLoadAware())
				n.SetRules(set, instances)
				// Traffic to another service must not add to the budget of this one.
				for id := range uint64(200) {
					n.Request(getRequest(id, "/old", now, time.Second), nil)
				}
				for id := range uint64(20) {
					first++
					out := n.Request(getRequest(1000+id, "/lines", now, time.Second), nil)
					for hasEffect[effect.Forward](out) {
						f := findEffect[effect.Forward](c, out)
						out = n.AttemptEnded(event.AttemptEnded{At: now, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 500}, nil)
						if hasEffect[effect.Forward](out) {
							extra++
						}
					}
				}
			}
			c.Check(extra <= 86+first/10, qt.IsTrue, qt.Commentf("%d of %d", extra, first))
		})
	}
}

// A guard that has restarted has forgotten the limit of its backend server, which the entry
// knows from earlier responses.
func TestKnownLimitIsSentWithAttempts(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	// send sends a request to the guard near-1, and returns the limit that its attempt carries.
	send := func(id uint64, at time.Time) effect.Forward {
		s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(id, "/lines", at, 3*time.Second), nil))
		loads := reportLoads(at, s.Peers, report.Load{Limit: 7, Slow: 1000})
		loads = append(loads, event.LoadReported{At: at, Guard: ticket.NodeID{Instance: "near-1", Incarnation: 5}, Load: report.Load{Limit: 7, Slow: 100}})
		f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: s.ID, Loads: loads}, nil))
		c.Assert(f.Peer.Name, qt.Equals, "near-1")
		return f
	}
	end := func(f effect.Forward, at time.Time, rate float64) {
		n.AttemptEnded(event.AttemptEnded{
			At: at, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 200, Guard: f.Ticket.Guard, Load: &report.Load{Limit: 7, Slow: 100, RateLimit: rate},
		}, nil)
	}
	at := now.Add(time.Minute)
	f := send(1, at)
	c.Check(f.RateLimit, qt.Equals, 0.0)
	end(f, at, 3.3)
	f = send(2, at.Add(time.Second))
	c.Check(f.RateLimit, qt.Equals, 3.3)
	end(f, at.Add(time.Second), 3.3)
	c.Check(send(3, at.Add(time.Minute)).RateLimit, qt.Equals, 0.0, qt.Commentf("too long ago"))
	f = send(4, at.Add(2*time.Second))
	end(f, at.Add(2*time.Second), 0)
	f = send(5, at.Add(3*time.Second))
	c.Check(f.RateLimit, qt.Equals, 0.0)
	end(f, at.Add(3*time.Second), 3.3)
	f = send(6, at.Add(4*time.Second))
	resent := findEffect[effect.Forward](c, n.AttemptEnded(event.AttemptEnded{
		At: at.Add(4 * time.Second), ID: f.ID, Ticket: f.Ticket, Verdict: event.NotRun, Reason: string(effect.ReasonIncarnation),
		Guard: ticket.NodeID{Instance: "near-1", Incarnation: 6}, Load: &report.Load{Limit: 7, Slow: 100},
	}, nil))
	c.Check(resent.Peer.Name, qt.Equals, "near-1")
	c.Check(resent.RateLimit, qt.Equals, 3.3, qt.Commentf("the guard has restarted"))
}

// A backend server that has announced that it is leaving gets no further request from an entry
// that has passed on such a response, also if the guard has restarted and does not know.
func TestLeavingServerIsNotSelectedAfterRestartOfItsGuard(t *testing.T) {
	const ended, restarted = 5, 6
	near1 := func(at time.Time, incarnation uint64, l report.Load) event.LoadReported {
		return event.LoadReported{At: at, Guard: ticket.NodeID{Instance: "near-1", Incarnation: incarnation}, Load: l}
	}
	idle, busy := report.Load{Limit: 7, Slow: 100}, report.Load{Limit: 7, Slow: 1000}
	tests := []struct {
		name        string
		incarnation uint64
		load        report.Load
		after       time.Duration
		relist      bool
		want        bool
	}{
		{name: "guard that still says so", incarnation: ended, load: report.Load{Limit: 7, Slow: 100, Leaving: true}, after: time.Second},
		{name: "guard that has restarted", incarnation: restarted, load: idle, after: time.Second},
		{name: "guard of a backend server that was started again", incarnation: ended, load: idle, after: time.Second, want: true},
		{name: "other incarnation in the instance list", incarnation: restarted, load: idle, after: time.Second, relist: true, want: true},
		{name: "long ago", incarnation: restarted, load: idle, after: 2 * time.Minute, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			at := now.Add(time.Minute)
			// target returns the guard that gets a request if near-1 reports the given load.
			target := func(id uint64, incarnation uint64, l report.Load) effect.Forward {
				s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(id, "/lines", at, 3*time.Second), nil))
				loads := append(reportLoads(at, s.Peers, busy), near1(at, incarnation, l))
				return findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: s.ID, Loads: loads}, nil))
			}
			f := target(1, ended, idle)
			c.Assert(f.Peer.Name, qt.Equals, "near-1")
			n.AttemptEnded(event.AttemptEnded{
				At: at, ID: f.ID, Ticket: f.Ticket, Verdict: event.Ran, Status: 200,
				Guard: ticket.NodeID{Instance: "near-1", Incarnation: ended}, Load: &report.Load{Limit: 7, Slow: 100, Leaving: true, Ending: true},
			}, nil)
			at = at.Add(tt.after)
			if tt.relist {
				set, err := rules.Parse(probeRules)
				c.Assert(err, qt.IsNil)
				instances := probedInstances()
				for i := range instances {
					if instances[i].Name == "near-1" {
						instances[i].Incarnation = "other"
					}
				}
				n.SetRules(set, instances)
			}
			c.Check(target(2, tt.incarnation, tt.load).Peer.Name == "near-1", qt.Equals, tt.want)
		})
	}
}

// An attempt that a restarted guard rejects goes to another backend server if its own is leaving.
func TestAttemptIsNotResentToLeavingServer(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", now, 3*time.Second), nil))
	f := findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: now, ID: s.ID, Loads: reportLoads(now, s.Peers, report.Load{Limit: 7, Slow: 100})}, nil))
	again := findEffect[effect.Forward](c, n.AttemptEnded(event.AttemptEnded{
		At: now, ID: f.ID, Ticket: f.Ticket, Verdict: event.NotRun, Reason: string(effect.ReasonIncarnation),
		Guard: ticket.NodeID{Instance: f.Peer.Name, Incarnation: 9}, Load: &report.Load{Limit: 7, Leaving: true, Ending: true},
	}, nil))
	c.Check(again.Peer.Name, qt.Not(qt.Equals), f.Peer.Name)
}

// A guard whose queue is full of work of lower priority reports a short wait for a request of a
// higher one. Its entry sends that request and still rejects the others at once.
func TestWaitTimeOfOwnPriorityCounts(t *testing.T) {
	c := qt.New(t)
	n := newProbingEntry(c)
	at := learnServiceTime(c, n)
	const priority, lower = 3, 5
	report := func(peers []fleet.Instance, priority int, wait time.Duration) []event.LoadReported {
		loads := reportLoads(at, peers, report.Load{Limit: 7, InFlight: 7, Queued: 12, Slow: 100, Wait: wait})
		for i := range loads {
			loads[i].Priority = priority
		}
		return loads
	}
	s := findEffect[effect.ProbeCandidates](c, n.Request(getRequest(1, "/lines", at, 3*time.Second), nil))
	c.Check(s.Priority, qt.Equals, priority)
	for _, l := range report(s.Peers, lower, time.Second) {
		n.LoadReported(l)
	}
	findEffect[effect.Forward](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: report(s.Peers, priority, 20*time.Millisecond)}, nil))

	at = at.Add(time.Second)
	s = findEffect[effect.ProbeCandidates](c, n.Request(getRequest(2, "/lines", at, 3*time.Second), nil))
	again := findEffect[effect.ProbeCandidates](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 2, Loads: report(s.Peers, priority, time.Second)}, nil))
	r := findEffect[effect.ReplyFromEntry](c, n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 2, Loads: report(again.Peers, priority, time.Second)}, nil))
	c.Check(r.Reason, qt.Equals, effect.ReasonOverloaded)
}
