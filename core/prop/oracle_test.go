package prop

import (
	"fmt"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/gossip"
	"bulrushlock/core/ticket"
)

const (
	// keyWindow is the time after the first submission in which a key may be reused.
	keyWindow = 12 * time.Minute
	// propagationTime is the time within which a published document takes effect on every
	// node that can obtain it.
	propagationTime = 3 * time.Second
	// budgetWindow is the longest window over which a budget is checked.
	budgetWindow = time.Minute
)

// request is a request of a caller. Unless it is idempotent it must run at most once,
// however often it is submitted.
type request struct {
	number      int
	idempotent  bool
	key         string
	firstUse    bool
	firstSent   time.Time
	submissions int
	runs        int
	// reportedNotRun reports whether the caller was told not-run and has not resubmitted
	// the request since.
	reportedNotRun bool
	// exempt reports whether the key was reused outside of keyWindow, so that at-most-once
	// execution is not guaranteed.
	exempt bool
	// ticket is the last ticket that the caller received.
	ticket *ticket.Ticket
}

// body returns the only correct response body for r.
func (r *request) body() string { return fmt.Sprintf("answer %d", r.number) }

// checkStart checks that r may run now, and counts the run.
func (sm *simulation) checkStart(r *request) {
	r.runs++
	switch {
	case r.idempotent || r.exempt:
	case r.runs > 1:
		sm.t.Fatalf("request %d (key %q) ran %d times", r.number, r.key, r.runs)
	}
	if r.reportedNotRun && !r.exempt {
		sm.t.Fatalf("request %d ran after its caller was told not-run", r.number)
	}
}

// checkReply checks the reply to the caller of s.
func (sm *simulation) checkReply(s *submission, o effect.Outcome, body string) {
	s.replies++
	if s.replies > 1 {
		sm.t.Fatalf("request %d received more than one reply", s.request.number)
	}
	sm.counts[o]++
	switch o {
	case effect.Run:
		if body != s.request.body() {
			sm.t.Fatalf("request %d received the wrong body %q", s.request.number, body)
		}
	case effect.NotRun:
		if s.request.runs > 0 && !s.request.exempt {
			sm.t.Fatalf("request %d ran, but its caller was told not-run", s.request.number)
		}
		s.request.reportedNotRun = true
	}
}

// checkAdmission checks that p may admit the request that it has just admitted.
func (sm *simulation) checkAdmission(p *process) {
	s := p.server
	capacity := slots
	if s.completed < warmupRequests {
		capacity = coldSlots + (slots-coldSlots)*s.completed/warmupRequests
	}
	if len(s.running) > capacity {
		sm.t.Fatalf("%v runs %d requests, above its capacity of %d after %d completed ones", p.node, len(s.running), capacity, s.completed)
	}
	if p.leaving || s.reportedDraining {
		sm.t.Fatalf("%v admits a request while it is leaving", p.node)
	}
	v := p.reducer.Versions(sm.now)
	if sm.rules.publications[v.Rules.Revision].out[p.instance.Centre] {
		sm.t.Fatalf("%v admits a request, but rules revision %d takes its data centre out of service", p.node, v.Rules.Revision)
	}
	if sm.fleet.publications[v.Fleet.Revision].leaving[p.instance.Name] {
		sm.t.Fatalf("%v admits a request, but instance list revision %d marks it as leaving", p.node, v.Fleet.Revision)
	}
	fresh := p.reducer.Status(sm.now).Freshness == gossip.Fresh
	if fresh && !sm.rules.wasNewest(v.Rules.Revision, p.resumedAt.Add(-propagationTime)) {
		sm.t.Fatalf("%v admits a request under rules revision %d, which was superseded before its pause ended", p.node, v.Rules.Revision)
	}
}

// checkVersions checks that p holds valid published rules and that its versions never
// regress.
func (sm *simulation) checkVersions(p *process) {
	v := p.reducer.Versions(sm.now)
	if v.Rules.Compare(p.heldVersions.Rules) < 0 || v.Fleet.Compare(p.heldVersions.Fleet) < 0 {
		sm.t.Fatalf("%v regressed from versions %v to %v", p.node, p.heldVersions, v)
	}
	p.heldVersions = v
	if v.Rules.Revision > 0 && !sm.rules.publications[v.Rules.Revision].valid {
		sm.t.Fatalf("%v holds the invalid rules revision %d", p.node, v.Rules.Revision)
	}
}

// checkRate records an event and checks that no window of up to a minute holds more
// events than rate and burst allow. The rate is in events per second.
func (sm *simulation) checkRate(what string, times *[]time.Time, rate, burst int) {
	*times = slices.DeleteFunc(*times, func(at time.Time) bool { return sm.now.Sub(at) > budgetWindow })
	*times = append(*times, sm.now)
	for i, at := range *times {
		allowed := float64(burst) + float64(rate)*sm.now.Sub(at).Seconds()
		if got := len(*times) - i; float64(got) > allowed+0.001 {
			sm.t.Fatalf("%d %s within %v", got, what, sm.now.Sub(at))
		}
	}
}
