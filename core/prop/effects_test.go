package prop

import (
	"cmp"
	"slices"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// execute performs the effects that the reducer of p returned.
func (sm *simulation) execute(p *process, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.Forward:
			sm.send(p, e)
		case effect.RelayResponse:
			sm.replyToCaller(p, effect.ReplyFromEntry{ID: e.ID, Outcome: effect.Run}, p.exchanges[e.Ticket].body)
		case effect.FetchResponse:
			sm.replyToCaller(p, effect.ReplyFromEntry{ID: e.ID, Outcome: effect.Run}, string(p.storedResponses[e.ID].Body))
		case effect.ReplyFromEntry:
			sm.replyToCaller(p, e, "")
		case effect.Cancel:
			if x, ok := p.exchanges[e.Ticket]; ok && !x.ended {
				x.ended = true
				sm.disconnectSender(x)
			}
		case effect.QueryOutcome:
			sm.queryOutcome(p, e)
		case effect.ReportOutcome:
			p.outcomeQueries[e.Query](e)
		case effect.ReportLoad:
			p.loadQueries[e.Query](e)
		case effect.Admit:
			sm.sendToServer(p, p.arrivals[e.Arrival], e.Shed)
		case effect.RejectAttempt:
			sm.respond(p.arrivals[e.Arrival], verdictOf(e.Outcome), string(e.Reason), 0)
		case effect.ReplayResponse:
			x := p.arrivals[e.Arrival]
			x.body = string(e.Response.Body)
			sm.respond(x, event.Ran, "", e.Response.Status)
		case effect.StartQueueTimer:
			run := func() { sm.step(p, event.QueueTimedOut{At: sm.now, Arrival: e.Arrival}) }
			sm.enqueue(&message{to: p, due: sm.now.Add(e.Timeout), onDelivery: run})
		default:
			sm.executeViewEffect(p, e)
		}
	}
}

// verdictOf returns the verdict with which an exchange ends if the guard responds with
// outcome o.
func verdictOf(o effect.Outcome) event.Verdict {
	return [...]event.Verdict{event.Ran, event.NotRun, event.Unknown, event.Running}[o]
}

// send forwards an attempt to the process that now holds the address of the selected
// peer.
func (sm *simulation) send(p *process, e effect.Forward) {
	sm.forwards++
	s := p.submissions[e.ID]
	x := &exchange{entry: p, forward: e, request: s.request, startedAt: sm.now, guard: sm.processAt(e.Peer.ForwardAddr.Addr())}
	p.exchanges[e.Ticket] = x
	if !s.callerDisconnected && sm.rand()%4 > 0 {
		t := e.Ticket
		s.request.ticket = &t
	}
	end := func(v event.Verdict) func() { return func() { sm.endExchange(x, event.AttemptEnded{Verdict: v}) } }
	sm.enqueue(&message{to: p, due: sm.now.Add(e.Call.TimeLeft), onDelivery: end(event.Expired)})
	if e.HedgeDelay > 0 {
		run := func() { sm.step(p, event.HedgeDelayPassed{At: sm.now, ID: e.ID, Random: sm.rand()}) }
		sm.enqueue(&message{to: p, due: sm.now.Add(e.HedgeDelay), onDelivery: run})
	}
	if x.guard == nil || sm.isLinkDown(p, x.guard) {
		sm.enqueue(&message{to: p, onDelivery: end(event.Unsent)})
		return
	}
	sm.enqueue(&message{from: p, to: x.guard, onDelivery: func() { sm.deliverAttempt(x) }, onLoss: end(event.Broken)})
}

// deliverAttempt passes an attempt to the reducer of its guard.
func (sm *simulation) deliverAttempt(x *exchange) {
	p := x.guard
	x.arrival = sm.nextID()
	p.arrivals[x.arrival] = x
	sm.markLateReuse(x)
	sm.step(p, event.Attempt{
		At: sm.now, Ticket: x.forward.Ticket, Arrival: x.arrival, Idempotent: x.forward.Route.Idempotent,
		Priority: x.forward.Route.Priority, Class: x.forward.Class, TimeLeft: x.forward.Call.TimeLeft,
		Key: x.forward.Key, FirstUse: x.forward.FirstUse, Rules: x.forward.Versions.Rules,
	})
}

// markLateReuse exempts a request from the at-most-once checks if its key is reused later
// than keyWindow after the first submission.
func (sm *simulation) markLateReuse(x *exchange) {
	r := x.request
	if r.key == "" || r.submissions < 2 {
		return
	}
	if sm.now.Sub(r.firstSent) > keyWindow {
		r.exempt = true
	}
}

// respond sends the response of the guard, with its load report, to the entry.
func (sm *simulation) respond(x *exchange, v event.Verdict, reason string, status int) {
	load := x.guard.reducer.Load(sm.now)
	a := event.AttemptEnded{Verdict: v, Reason: reason, Guard: x.guard.node, Load: &load, Status: status}
	lose := func() { sm.endExchange(x, event.AttemptEnded{Verdict: event.Broken}) }
	sm.enqueue(&message{from: x.guard, to: x.entry, onDelivery: func() { sm.endExchange(x, a) }, onLoss: lose})
}

// endExchange reports the end of an exchange to the entry, at most once. A paused entry
// receives the report after it resumes.
func (sm *simulation) endExchange(x *exchange, a event.AttemptEnded) {
	if x.ended || !x.entry.alive {
		return
	}
	if x.entry.paused {
		sm.enqueue(&message{to: x.entry, onDelivery: func() { sm.endExchange(x, a) }})
		return
	}
	x.ended = true
	if a.Guard == (ticket.NodeID{}) {
		sm.disconnectSender(x)
	}
	a.At, a.ID, a.Ticket, a.Latency, a.Random = sm.now, x.forward.ID, x.forward.Ticket, sm.now.Sub(x.startedAt), sm.rand()
	sm.step(x.entry, a)
}

// disconnectSender tells the guard that the sender of an attempt has disconnected.
func (sm *simulation) disconnectSender(x *exchange) {
	if x.guard == nil {
		return
	}
	sm.enqueue(&message{from: x.entry, to: x.guard, onLoss: func() {}, onDelivery: func() {
		if x.arrival == 0 {
			return
		}
		sm.step(x.guard, event.SenderDisconnected{At: sm.now, Arrival: x.arrival})
		if x.forward.Route.Idempotent {
			sm.endServing(x, event.ExchangeEnded{Failure: event.Cancelled})
		}
	}})
}

// replyToCaller checks and records the reply to a submission.
func (sm *simulation) replyToCaller(p *process, e effect.ReplyFromEntry, body string) {
	s := p.submissions[e.ID]
	sm.t.Logf("%v: request %d: %v %q %v", p.node, s.request.number, e.Outcome, e.Reason, s.callerDisconnected)
	if s.callerDisconnected {
		return
	}
	sm.checkReply(s, e.Outcome, body)
	if e.Ticket != nil {
		s.request.ticket = e.Ticket
	}
	sm.enqueue(&message{to: p, onDelivery: func() { sm.step(p, event.RequestEnded{At: sm.now, ID: e.ID}) }})
}

// queryOutcome asks a guard for the outcome of an attempt.
func (sm *simulation) queryOutcome(p *process, e effect.QueryOutcome) {
	report := func(v event.Verdict, response *event.StoredResponse) {
		p.storedResponses[e.ID] = response
		sm.step(p, event.OutcomeReported{At: sm.now, ID: e.ID, Ticket: e.Ticket, Verdict: v, ResponseStored: response != nil, Random: sm.rand()})
	}
	lose := func() { sm.enqueue(&message{to: p, onDelivery: func() { report(event.Broken, nil) }}) }
	g := sm.processAt(e.Peer.ControlAddr.Addr())
	if g == nil {
		lose()
		return
	}
	sm.enqueue(&message{from: p, to: g, due: sm.now.Add(e.Delay), onLoss: lose, onDelivery: func() {
		q := sm.nextID()
		g.outcomeQueries[q] = func(v effect.ReportOutcome) {
			sm.enqueue(&message{from: g, to: p, onLoss: lose, onDelivery: func() { report(v.Verdict, v.Response) }})
		}
		sm.step(g, event.OutcomeQueried{At: sm.now, Ticket: e.Ticket, Query: q, Key: e.Key, Void: e.Void})
	}})
}

// sendToServer sends an admitted attempt to the backend server of p, which may refuse the
// connection or shed the request.
func (sm *simulation) sendToServer(p *process, x *exchange, sheds bool) {
	s := p.server
	s.running[x.arrival] = x
	sm.checkAdmission(p)
	end := event.ExchangeEnded{Status: 200}
	switch {
	case s.refuses:
		end.Failure = event.Refused
	case s.sheds && sheds:
		end.Failure = event.Shed
	default:
		sm.checkStart(x.request)
		if s.fails {
			end.Status = 500
		}
		if !x.forward.Route.Idempotent {
			end.Response = &event.StoredResponse{Status: end.Status, Body: []byte(x.request.body())}
		}
	}
	sm.enqueue(&message{to: p, onDelivery: func() { sm.endServing(x, end) }})
}

// endServing reports the end of an exchange with the backend server to the guard, which
// responds to the entry if the request ran.
func (sm *simulation) endServing(x *exchange, e event.ExchangeEnded) {
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
		s.cold = s.cold && s.completed < warmupRequests
		x.body = x.request.body()
	case event.Refused, event.Reset:
		s.completed = 0
	}
	e.At, e.Arrival, e.Latency = sm.now, x.arrival, sm.now.Sub(x.startedAt)
	sm.step(p, e)
	if e.Failure == event.None {
		sm.respond(x, event.Ran, "", e.Status)
	}
}

// checkHealth runs a health check of the backend server of p. The result is taken at once
// and delivered later, so that it may be stale.
func (sm *simulation) checkHealth(p *process) {
	s := p.server
	state := event.Warm
	switch {
	case s.refuses:
		state = event.Unreachable
	case s.draining:
		state = event.Draining
	case s.cold:
		state = event.Cold
	}
	sm.enqueue(&message{to: p, onDelivery: func() {
		if state == event.Cold && !s.reportedCold {
			s.completed = 0
		}
		if state != event.Unreachable {
			s.reportedCold = state == event.Cold
			s.reportedDraining = state == event.Draining
		}
		sm.step(p, event.HealthChecked{At: sm.now, State: state})
	}})
}

// executeViewEffect performs an effect that checks health, probes load, reads or compares
// documents, or ends the process.
func (sm *simulation) executeViewEffect(p *process, e effect.Effect) {
	switch e := e.(type) {
	case effect.CheckHealth:
		sm.checkRate("health checks", &p.healthChecks, healthCheckRate, 1)
		sm.checkHealth(p)
	case effect.ProbeLoad:
		sm.checkRate("load probes", &p.probesSent, probeRate, 1)
		sm.probeLoad(p, sm.processAt(e.Peer.ControlAddr.Addr()))
	case effect.FetchDocument:
		sm.fetchDocument(p, e)
	case effect.ExchangeVersions:
		sm.exchangeVersions(p, e)
	case effect.ReportDrained:
		if len(p.server.running) > 0 {
			sm.t.Fatalf("%v shut down with %d requests in flight", p.node, len(p.server.running))
		}
		for _, s := range sm.submissions {
			if s.entry == p && s.replies == 0 && !s.callerDisconnected {
				sm.t.Fatalf("%v shut down before it answered request %d", p.node, s.request.number)
			}
		}
		sm.kill(p)
	}
}

// probeLoad requests the load report of g.
func (sm *simulation) probeLoad(p, g *process) {
	if g == nil {
		return
	}
	sm.enqueue(&message{from: p, to: g, onLoss: func() {}, onDelivery: func() {
		q := sm.nextID()
		g.loadQueries[q] = func(l effect.ReportLoad) {
			if l.Refused {
				return
			}
			sm.checkRate("answered load probes", &g.probesAnswered, probeRate, 1)
			run := func() { sm.step(p, event.LoadReported{At: sm.now, Guard: g.node, Load: l.Load}) }
			sm.enqueue(&message{from: g, to: p, onLoss: func() {}, onDelivery: run})
		}
		sm.step(g, event.LoadRequested{At: sm.now, Query: q})
	}})
}

// fetchDocument reads a document from the platform or from a peer.
func (sm *simulation) fetchDocument(p *process, e effect.FetchDocument) {
	from := event.DocumentSource{}
	var g *process
	read := func() (string, uint64, bool) {
		text, revision, ok := sm.platformOf(e.Document).read()
		return text, revision, ok && !sm.linksDown[[2]string{p.node.Instance, platformName}]
	}
	if e.Peer != nil {
		from.Peer = e.Peer.Name
		g = sm.processAt(e.Peer.ControlAddr.Addr())
		read = func() (string, uint64, bool) {
			text, v := g.reducer.Text(e.Document)
			return text, v.Revision, true
		}
	}
	lose := func() {
		sm.enqueue(&message{to: p, onDelivery: func() { sm.step(p, event.DocumentReadFailed{At: sm.now, Document: e.Document, From: from}) }})
	}
	if e.Peer != nil && g == nil {
		lose()
		return
	}
	if e.Peer == nil {
		sm.checkRate("platform reads", &p.platformReads, readRate, readBurst)
	}
	queriedAt := sm.now
	newer := func() bool {
		_, revision, ok := read()
		return revision > e.After || !ok
	}
	sm.enqueue(&message{from: p, to: g, due: sm.now.Add(e.MaxHold), early: newer, onLoss: lose, onDelivery: func() {
		text, revision, ok := read()
		if !ok {
			lose()
			return
		}
		sm.enqueue(&message{from: g, to: p, onLoss: lose, onDelivery: func() {
			if sm.now.Sub(queriedAt) > e.MaxHold+platformTimeout {
				sm.step(p, event.DocumentReadFailed{At: sm.now, Document: e.Document, From: from})
				return
			}
			if revision <= e.After {
				sm.step(p, event.DocumentUnchanged{At: sm.now, QueriedAt: queriedAt, Document: e.Document, From: from})
				return
			}
			sm.step(p, event.DocumentRead{At: sm.now, QueriedAt: queriedAt, Document: e.Document, From: from, Text: text, Revision: revision})
		}})
	}})
}

// exchangeVersions exchanges document versions with a peer.
func (sm *simulation) exchangeVersions(p *process, e effect.ExchangeVersions) {
	g := sm.processAt(e.Peer.ControlAddr.Addr())
	lose := func() {
		sm.enqueue(&message{to: p, onDelivery: func() { sm.step(p, event.PeerUnreachable{At: sm.now, Peer: e.Peer.Name}) }})
	}
	if g == nil {
		lose()
		return
	}
	queriedAt := sm.now
	sm.enqueue(&message{from: p, to: g, onLoss: lose, onDelivery: func() {
		sm.step(g, event.VersionsReceived{At: sm.now, Peer: p.node.Instance, Control: p.instance.ControlAddr, Versions: e.Versions})
		v := g.reducer.Versions(sm.now)
		sm.enqueue(&message{from: g, to: p, onLoss: lose, onDelivery: func() {
			if sm.now.Sub(queriedAt) > peerTimeout {
				sm.step(p, event.PeerUnreachable{At: sm.now, Peer: e.Peer.Name})
				return
			}
			sm.step(p, event.VersionsReceived{At: sm.now, QueriedAt: queriedAt, Peer: g.node.Instance, Control: g.instance.ControlAddr, Versions: v})
		}})
	}})
}

// sortedTickets returns the tickets of the exchanges of p, sorted by sequence number.
func (sm *simulation) sortedTickets(p *process) []ticket.Ticket {
	var tickets []ticket.Ticket
	for t := range p.exchanges {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b ticket.Ticket) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return tickets
}
