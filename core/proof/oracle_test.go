package proof

import (
	"fmt"
	"slices"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/gossip"
	"bulrushlock/core/ticket"
)

const (
	// keyTime is the time after its first sending in which a key may be sent again.
	keyTime = 12 * time.Minute
	// spreadTime is the time within which a document is in force wherever it can be read.
	spreadTime = 3 * time.Second
	// windowTime is the longest window over which a budget is checked.
	windowTime = time.Minute
)

// request is what a caller wants to have done once, however often it sends it.
type request struct {
	number     int
	idempotent bool
	key        string
	first      bool
	sent       time.Time
	sendings   int
	runs       int
	// refused tells that the caller was told that the request did not run.
	refused bool
	// excused tells that a sending of the key falls outside of the condition for keys.
	excused bool
	// ticket is the last ticket that reached the caller.
	ticket *ticket.Ticket
}

// body returns the only right answer to r.
func (r *request) body() string { return fmt.Sprintf("answer %d", r.number) }

// started checks that r may run once more.
func (w *world) started(r *request) {
	r.runs++
	switch {
	case r.idempotent || r.excused:
	case r.runs > 1:
		w.t.Fatalf("request %d (key %q) ran %d times", r.number, r.key, r.runs)
	}
	if r.refused && !r.excused {
		w.t.Fatalf("request %d runs after it was answered not-run", r.number)
	}
}

// answered checks what the caller of s was told.
func (w *world) answered(s *sending, o effect.Outcome, body string) {
	s.settled++
	if s.settled > 1 {
		w.t.Fatalf("request %d was answered twice", s.request.number)
	}
	w.counts[o]++
	switch o {
	case effect.Run:
		if body != s.request.body() {
			w.t.Fatalf("request %d got %q", s.request.number, body)
		}
	case effect.NotRun:
		if s.request.runs > 0 && !s.request.excused {
			w.t.Fatalf("request %d was answered not-run after it ran", s.request.number)
		}
		s.request.refused = true
	}
}

// admitted checks that the backend server of p may bear one more request.
func (w *world) admitted(p *process) {
	s := p.server
	bound := slots
	if s.completed < warm {
		bound = cold + (slots-cold)*s.completed/warm
	}
	if len(s.running) > bound {
		w.t.Fatalf("%v runs %d requests, but bears %d after %d", p.node, len(s.running), bound, s.completed)
	}
	if p.left || s.toldDraining {
		w.t.Fatalf("%v is leaving and admits a request", p.node)
	}
	v := p.reducer.Versions(w.now)
	if w.rules.texts[v.Rules.Revision].out[p.instance.Centre] {
		w.t.Fatalf("%v is out by revision %d and admits a request", p.node, v.Rules.Revision)
	}
	if w.fleet.texts[v.Fleet.Revision].leaving[p.instance.Name] {
		w.t.Fatalf("%v leaves by the list %d and admits a request", p.node, v.Fleet.Revision)
	}
	fresh := p.reducer.Status(w.now).Trust == gossip.Fresh
	if fresh && !w.rules.wasNewest(v.Rules.Revision, p.woken.Add(-spreadTime)) {
		w.t.Fatalf("%v admits a request on revision %d from before its pause", p.node, v.Rules.Revision)
	}
}

// versions checks that the documents of p are published ones and never go back.
func (w *world) versions(p *process) {
	v := p.reducer.Versions(w.now)
	if v.Rules.Compare(p.held.Rules) < 0 || v.Fleet.Compare(p.held.Fleet) < 0 {
		w.t.Fatalf("%v went back from %v to %v", p.node, p.held, v)
	}
	p.held = v
	if v.Rules.Revision > 0 && !w.rules.texts[v.Rules.Revision].valid {
		w.t.Fatalf("%v holds the invalid revision %d", p.node, v.Rules.Revision)
	}
}

// spent checks that no window of up to a minute holds more events than the rate and the burst allow.
func (w *world) spent(what string, times *[]time.Time, rate, burst int) {
	*times = slices.DeleteFunc(*times, func(at time.Time) bool { return w.now.Sub(at) > windowTime })
	*times = append(*times, w.now)
	for i, at := range *times {
		allowed := float64(burst) + float64(rate)*w.now.Sub(at).Seconds()
		if got := len(*times) - i; float64(got) > allowed+0.001 {
			w.t.Fatalf("%d %s within %v", got, what, w.now.Sub(at))
		}
	}
}
