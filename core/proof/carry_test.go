package proof

import (
	"cmp"
	"slices"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// carry carries out the effects of p.
func (w *world) carry(p *process, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Forward:
			w.send(p, e)
		case effect.Relay:
			w.settle(p, effect.Reply{ID: e.ID, Outcome: effect.Run}, p.exchanges[e.Ticket].body)
		case effect.Recover:
			w.settle(p, effect.Reply{ID: e.ID, Outcome: effect.Run}, string(p.recovered[e.ID].Body))
		case effect.Reply:
			w.settle(p, e, "")
		case effect.Cancel:
			if x, ok := p.exchanges[e.Ticket]; ok && !x.ended {
				x.ended = true
				w.withdraw(x)
			}
		case effect.Ask:
			w.ask(p, e)
		case effect.Verdict:
			p.verdicts[e.Query](e)
		case effect.Load:
			p.loads[e.Query](e)
		case effect.Admit:
			w.admit(p, p.arrivals[e.Arrival], e.Shed)
		case effect.Deny:
			w.respond(p.arrivals[e.Arrival], verdictOf(e.Outcome), string(e.Reason), 0)
		case effect.Replay:
			x := p.arrivals[e.Arrival]
			x.body = string(e.Answer.Body)
			w.respond(x, event.Ran, "", e.Answer.Status)
		case effect.Wait:
			run := func() { w.step(p, event.Overdue{At: w.now, Arrival: e.Arrival}) }
			w.post(&message{to: p, due: w.now.Add(e.Longest), run: run})
		default:
			w.carryViews(p, e)
		}
	}
}

// verdictOf returns how an exchange ends that a guard answers with o.
func verdictOf(o effect.Outcome) event.Verdict {
	return [...]event.Verdict{event.Ran, event.NotRun, event.Unknown, event.Running}[o]
}

// send sends an attempt on a connection to whoever holds the address now.
func (w *world) send(p *process, e effect.Forward) {
	w.forwards++
	s := p.sendings[e.ID]
	x := &exchange{entry: p, forward: e, request: s.request, began: w.now, guard: w.at(e.Peer.Nodes.Addr())}
	p.exchanges[e.Ticket] = x
	if !s.gone && w.rand()%4 > 0 {
		t := e.Ticket
		s.request.ticket = &t
	}
	end := func(v event.Verdict) func() { return func() { w.finish(x, event.Answered{Verdict: v}) } }
	w.post(&message{to: p, due: w.now.Add(e.Call.Left), run: end(event.Expired)})
	if e.Hedge > 0 {
		run := func() { w.step(p, event.Slow{At: w.now, ID: e.ID, Random: w.rand()}) }
		w.post(&message{to: p, due: w.now.Add(e.Hedge), run: run})
	}
	if x.guard == nil || w.isCut(p, x.guard) {
		w.post(&message{to: p, run: end(event.Unsent)})
		return
	}
	w.post(&message{from: p, to: x.guard, run: func() { w.arrive(x) }, lose: end(event.Broken)})
}

// arrive lets the guard take an attempt.
func (w *world) arrive(x *exchange) {
	p := x.guard
	x.arrival = w.number()
	p.arrivals[x.arrival] = x
	w.condition(x)
	w.step(p, event.Attempt{
		At: w.now, Ticket: x.forward.Ticket, Arrival: x.arrival, Idempotent: x.forward.Route.Idempotent,
		Rank: x.forward.Route.Rank, Class: x.forward.Class, Left: x.forward.Call.Left,
		Key: x.forward.Key, First: x.forward.First, Rules: x.forward.Versions.Rules,
	})
}

// condition notes whether an attempt falls outside of the condition for keys.
func (w *world) condition(x *exchange) {
	r := x.request
	if r.key == "" || r.sendings < 2 {
		return
	}
	if w.now.Sub(r.sent) > keyTime {
		r.excused = true
	}
}

// respond sends the answer of the guard to the entry.
func (w *world) respond(x *exchange, v event.Verdict, reason string, status int) {
	load := x.guard.reducer.Load(w.now)
	a := event.Answered{Verdict: v, Reason: reason, Guard: x.guard.node, Load: &load, Status: status}
	lose := func() { w.finish(x, event.Answered{Verdict: event.Broken}) }
	w.post(&message{from: x.guard, to: x.entry, run: func() { w.finish(x, a) }, lose: lose})
}

// finish tells the entry once how an exchange ended.
func (w *world) finish(x *exchange, a event.Answered) {
	if x.ended || !x.entry.alive {
		return
	}
	if x.entry.paused {
		w.post(&message{to: x.entry, run: func() { w.finish(x, a) }})
		return
	}
	x.ended = true
	if a.Guard == (ticket.Node{}) {
		w.withdraw(x)
	}
	a.At, a.ID, a.Ticket, a.Spent, a.Random = w.now, x.forward.ID, x.forward.Ticket, w.now.Sub(x.began), w.rand()
	w.step(x.entry, a)
}

// withdraw lets the guard notice that the sender of an attempt has gone.
func (w *world) withdraw(x *exchange) {
	if x.guard == nil {
		return
	}
	w.post(&message{from: x.entry, to: x.guard, lose: func() {}, run: func() {
		if x.arrival == 0 {
			return
		}
		w.step(x.guard, event.Withdrawn{At: w.now, Arrival: x.arrival})
		if x.forward.Route.Idempotent {
			w.serve(x, event.Served{Failure: event.Cancelled})
		}
	}})
}

// settle tells the caller what became of a sending.
func (w *world) settle(p *process, e effect.Reply, body string) {
	s := p.sendings[e.ID]
	w.t.Logf("%v: request %d: %v %q %v", p.node, s.request.number, e.Outcome, e.Reason, s.gone)
	if s.gone {
		return
	}
	w.answered(s, e.Outcome, body)
	if e.Ticket != nil {
		s.request.ticket = e.Ticket
	}
	w.post(&message{to: p, run: func() { w.step(p, event.Gone{At: w.now, ID: e.ID}) }})
}

// ask asks a guard what became of an attempt.
func (w *world) ask(p *process, e effect.Ask) {
	judge := func(v event.Verdict, a *event.Answer) {
		p.recovered[e.ID] = a
		w.step(p, event.Judged{At: w.now, ID: e.ID, Ticket: e.Ticket, Verdict: v, Kept: a != nil, Random: w.rand()})
	}
	lose := func() { w.post(&message{to: p, run: func() { judge(event.Broken, nil) }}) }
	g := w.at(e.Peer.Control.Addr())
	if g == nil {
		lose()
		return
	}
	w.post(&message{from: p, to: g, due: w.now.Add(e.Wait), lose: lose, run: func() {
		q := w.number()
		g.verdicts[q] = func(v effect.Verdict) {
			w.post(&message{from: g, to: p, lose: lose, run: func() { judge(v.Verdict, v.Answer) }})
		}
		w.step(g, event.Asked{At: w.now, Ticket: e.Ticket, Query: q, Key: e.Key, Void: e.Void})
	}})
}

// admit starts an attempt at the backend server of p, unless that refuses it.
func (w *world) admit(p *process, x *exchange, sheds bool) {
	s := p.server
	s.running[x.arrival] = x
	w.admitted(p)
	end := event.Served{Status: 200}
	switch {
	case s.refuses:
		end.Failure = event.Refused
	case s.sheds && sheds:
		end.Failure = event.Shed
	default:
		w.started(x.request)
		if s.fails {
			end.Status = 500
		}
		if !x.forward.Route.Idempotent {
			end.Answer = &event.Answer{Status: end.Status, Body: []byte(x.request.body())}
		}
	}
	w.post(&message{to: p, run: func() { w.serve(x, end) }})
}

// serve ends an exchange with the backend server.
func (w *world) serve(x *exchange, e event.Served) {
	p := x.guard
	s := p.server
	if s.running[x.arrival] == nil || !p.alive {
		return
	}
	delete(s.running, x.arrival)
	switch e.Failure {
	case event.None:
		if e.Status < 500 {
			s.completed++
		}
		s.cold = s.cold && s.completed < warm
		x.body = x.request.body()
	case event.Refused, event.Reset:
		s.completed = 0
	}
	e.At, e.Arrival, e.Spent = w.now, x.arrival, w.now.Sub(x.began)
	w.step(p, e)
	if e.Failure == event.None {
		w.respond(x, event.Ran, "", e.Status)
	}
}

// look lets p see what its backend server tells of itself, which may be out of date.
func (w *world) look(p *process) {
	s := p.server
	c := event.Warm
	switch {
	case s.refuses:
		c = event.Unreachable
	case s.draining:
		c = event.Draining
	case s.cold:
		c = event.Cold
	}
	w.post(&message{to: p, run: func() {
		if c == event.Cold && !s.toldCold {
			s.completed = 0
		}
		if c != event.Unreachable {
			s.toldCold = c == event.Cold
			s.toldDraining = c == event.Draining
		}
		w.step(p, event.Looked{At: w.now, Condition: c})
	}})
}

// carryViews carries out the effects that measure and that keep views.
func (w *world) carryViews(p *process, e effect.Effect) {
	switch e := e.(type) {
	case effect.Look:
		w.spent("looks", &p.looks, lookRate, 1)
		w.look(p)
	case effect.Probe:
		w.spent("probes", &p.probes, probeRate, 1)
		w.probe(p, w.at(e.Peer.Control.Addr()))
	case effect.Fetch:
		w.fetch(p, e)
	case effect.Tell:
		w.tell(p, e)
	case effect.Finished:
		if len(p.server.running) > 0 {
			w.t.Fatalf("%v ends with %d requests in flight", p.node, len(p.server.running))
		}
		for _, s := range w.sendings {
			if s.entry == p && s.settled == 0 && !s.gone {
				w.t.Fatalf("%v ends with request %d open", p.node, s.request.number)
			}
		}
		w.kill(p)
	}
}

// probe asks g for its load.
func (w *world) probe(p, g *process) {
	if g == nil {
		return
	}
	w.post(&message{from: p, to: g, lose: func() {}, run: func() {
		q := w.number()
		g.loads[q] = func(l effect.Load) {
			if l.Refused {
				return
			}
			w.spent("answered probes", &g.probed, probeRate, 1)
			run := func() { w.step(p, event.Loaded{At: w.now, Guard: g.node, Load: l.Load}) }
			w.post(&message{from: g, to: p, lose: func() {}, run: run})
		}
		w.step(g, event.Probed{At: w.now, Query: q})
	}})
}

// fetch reads a document from the platform or from a peer.
func (w *world) fetch(p *process, e effect.Fetch) {
	from := event.Source{}
	var g *process
	read := func() (string, uint64, bool) {
		text, revision, ok := w.document(e.Document).read()
		return text, revision, ok && !w.cut[[2]string{p.node.Instance, platformName}]
	}
	if e.Peer != nil {
		from.Peer = e.Peer.Name
		g = w.at(e.Peer.Control.Addr())
		read = func() (string, uint64, bool) {
			text, revision := g.reducer.Text(e.Document)
			return text, revision, true
		}
	}
	lose := func() {
		w.post(&message{to: p, run: func() { w.step(p, event.Unread{At: w.now, Document: e.Document, From: from}) }})
	}
	if e.Peer != nil && g == nil {
		lose()
		return
	}
	if e.Peer == nil {
		w.spent("reads of the platform", &p.reads, readRate, readBurst)
	}
	asked := w.now
	newer := func() bool {
		_, revision, ok := read()
		return revision > e.After || !ok
	}
	w.post(&message{from: p, to: g, due: w.now.Add(e.Wait), early: newer, lose: lose, run: func() {
		text, revision, ok := read()
		if !ok {
			lose()
			return
		}
		w.post(&message{from: g, to: p, lose: lose, run: func() {
			if w.now.Sub(asked) > e.Wait+readTime {
				w.step(p, event.Unread{At: w.now, Document: e.Document, From: from})
				return
			}
			if revision <= e.After {
				w.step(p, event.Unchanged{At: w.now, Asked: asked, Document: e.Document, From: from})
				return
			}
			w.step(p, event.Read{At: w.now, Asked: asked, Document: e.Document, From: from, Text: text, Revision: revision})
		}})
	}})
}

// tell exchanges versions with a peer.
func (w *world) tell(p *process, e effect.Tell) {
	g := w.at(e.Peer.Control.Addr())
	lose := func() {
		w.post(&message{to: p, run: func() { w.step(p, event.Silent{At: w.now, Peer: e.Peer.Name}) }})
	}
	if g == nil {
		lose()
		return
	}
	asked := w.now
	w.post(&message{from: p, to: g, lose: lose, run: func() {
		w.step(g, event.Told{At: w.now, Peer: p.node.Instance, Control: p.instance.Control, Versions: e.Versions})
		v := g.reducer.Versions(w.now)
		w.post(&message{from: g, to: p, lose: lose, run: func() {
			if w.now.Sub(asked) > callTime {
				w.step(p, event.Silent{At: w.now, Peer: e.Peer.Name})
				return
			}
			w.step(p, event.Told{At: w.now, Asked: asked, Peer: g.node.Instance, Control: g.instance.Control, Versions: v})
		}})
	}})
}

// order returns the tickets of the exchanges of p in the order in which they were made.
func (w *world) order(p *process) []ticket.Ticket {
	var tickets []ticket.Ticket
	for t := range p.exchanges {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b ticket.Ticket) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return tickets
}
