// Package runner executes the effects that belong to no request: document reads from the
// platform and from peers, version exchanges, health checks of the backend server, and
// load probes. It reports each result to the loop as an event.
//
// # Usage
//
//	r := runner.New(runner.Options{Platform: reader, HealthChecker: checker})
//	r.Start(l, w)
//	r.Do(effect.CheckHealth{})
package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushlock/core/allot"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/io/health"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/wire"
)

const (
	// readTimeout is added to the time for which the platform may hold a read. The sum is the
	// timeout of the read.
	readTimeout = 2 * time.Second
	// healthCheckTimeout limits a health check. A healthy backend server responds at once.
	healthCheckTimeout = 500 * time.Millisecond
	// bootstrapInterval is the time between two reads of a peer by a node that lacks a
	// document.
	bootstrapInterval = 500 * time.Millisecond
)

// Options configure a Runner.
type Options struct {
	Platform      plat.Reader
	HealthChecker health.Checker
	// Peers are the control addresses of a few other nodes, from which the node reads the
	// documents at startup.
	Peers []netip.AddrPort
	// Broadcaster sends the versions of this node to many peers; nil disables that.
	Broadcaster Broadcaster
	// Lender asks peers for tokens of the limits of customers, and responds to them. If it is nil,
	// no ask is answered.
	Lender Lender
	// Drained is called when a leaving node has finished all its work.
	Drained func()
}

// Broadcaster sends the versions of this node to many peers. It must not block.
type Broadcaster interface {
	BroadcastVersions(e effect.BroadcastVersions)
}

// Lender asks peers for tokens and responds to their asks. It must not block.
type Lender interface {
	AskTokens(e effect.AskTokens)
	LendTokens(e effect.LendTokens)
}

// Runner executes effects without blocking the loop that emits them.
type Runner struct {
	options Options
	ready   chan struct{}
	loop    *loop.Loop
	wire    *wire.Endpoint
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// checkingHealth is set while a health check is in progress.
	checkingHealth atomic.Bool
	// mutex prevents effects from starting once Stop waits for the running ones.
	mutex   sync.Mutex
	stopped bool
}

// New returns a Runner that executes no effect until Start is called.
func New(o Options) *Runner {
	r := &Runner{options: o, ready: make(chan struct{})}
	r.context, r.cancel = context.WithCancel(context.Background())
	return r
}

// InterruptedError reports a read that a suspension of the process or a panic has interrupted.
type InterruptedError struct{}

// Error returns a fixed message.
func (*InterruptedError) Error() string { return "the read was interrupted" }

// MissingError reports a peer that does not hold a document.
type MissingError struct {
	Document event.Document
}

// Error returns a message that names the document.
func (e *MissingError) Error() string { return fmt.Sprintf("the peer holds no %s", e.Document) }

// Start sets the loop that receives events and the RPC client, and reads the documents
// from the configured peers.
func (r *Runner) Start(l *loop.Loop, w *wire.Endpoint) {
	r.loop, r.wire = l, w
	close(r.ready)
	for _, p := range r.options.Peers {
		r.spawn(func() { r.bootstrap(p) })
	}
}

// Stop cancels the effects in progress and waits for them to end.
func (r *Runner) Stop() {
	r.mutex.Lock()
	r.stopped = true
	r.mutex.Unlock()
	r.cancel()
	r.running.Wait()
}

// Do executes e without blocking. A health check is skipped while another is in progress.
func (r *Runner) Do(e effect.Effect) {
	switch e := e.(type) {
	case effect.FetchDocument:
		r.spawn(func() { r.fetch(e) })
	case effect.ExchangeVersions:
		r.spawn(func() { r.exchangeVersions(e) })
	case effect.BroadcastVersions:
		r.broadcastVersions(e)
	case effect.AskTokens:
		r.askTokens(e)
	case effect.LendTokens:
		if r.options.Lender != nil {
			r.options.Lender.LendTokens(e)
		}
	case effect.CheckHealth:
		if r.checkingHealth.CompareAndSwap(false, true) {
			r.spawn(func() { r.checkHealth(e) })
		}
	case effect.ProbeLoad:
		r.spawn(func() { r.probeLoad(e) })
	case effect.ReportDrained:
		r.spawn(r.options.Drained)
	}
}

// spawn runs f in a goroutine once the Runner has started, unless it has been stopped.
func (r *Runner) spawn(f func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stopped {
		return
	}
	r.running.Go(func() {
		select {
		case <-r.ready:
			defer r.loop.Recover("background work")
			f()
		case <-r.context.Done():
		}
	})
}

// processOnPanic recovers from a panic of the goroutine that defers it. In place of the event
// that the panic has prevented it processes failed, so that the reducer does not wait for it.
func (r *Runner) processOnPanic(failed func() event.Event) {
	if p := recover(); p != nil {
		r.loop.ReportPanic("background work", p)
		r.loop.Process(failed())
	}
}

// fetch reads a document from the platform or from a peer.
func (r *Runner) fetch(e effect.FetchDocument) {
	defer r.processOnPanic(func() event.Event {
		failed := event.DocumentReadFailed{At: time.Now(), Document: e.Document, Cause: &InterruptedError{}}
		if e.Peer != nil {
			failed.From.Peer = e.Peer.Name
		}
		return failed
	})
	if e.Peer != nil {
		r.fetchFromPeer(e.Peer.ControlAddr, event.DocumentSource{Peer: e.Peer.Name}, e.Document)
		return
	}
	ctx, cancel := context.WithTimeout(r.context, e.MaxHold+readTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	query := plat.Query{Epoch: e.Epoch, After: e.After, MaxHold: e.MaxHold, AllowStale: e.AllowStale}
	if e.ChangesOnly {
		r.loop.View(func(n *node.Node) {
			if text, v := n.Text(e.Document); v.Epoch == e.Epoch && v.Revision == e.After {
				query.Held = text
			}
		})
	}
	read := r.options.Platform.Rules
	if e.Document == event.Fleet {
		read = r.options.Platform.Instances
	}
	queriedAt := time.Now()
	d, err := read(ctx, query)
	now := time.Now()
	var unchanged *plat.UnchangedError
	switch {
	case now.After(deadline):
		// The process was suspended, so the response may be out of date.
		r.loop.Process(event.DocumentReadFailed{At: now, Document: e.Document, Cause: &InterruptedError{}})
	case errors.As(err, &unchanged):
		// If the platform held the call, the response is current as of the end of the hold.
		if held := queriedAt.Add(e.MaxHold); !held.After(now) {
			queriedAt = held
		}
		r.loop.Process(event.DocumentUnchanged{At: now, QueriedAt: queriedAt, Document: e.Document, Epoch: e.Epoch, Revision: unchanged.Revision})
	case err != nil:
		r.loop.Process(event.DocumentReadFailed{At: now, Document: e.Document, Cause: err})
	default:
		r.loop.Process(event.DocumentRead{At: now, QueriedAt: queriedAt, Document: e.Document, Text: d.Text, Edition: d.Edition, Epoch: d.Epoch, Revision: d.Revision, MayBeStale: e.AllowStale})
	}
}

// fetchFromPeer reads a document from the node at peer.
func (r *Runner) fetchFromPeer(peer netip.AddrPort, from event.DocumentSource, d event.Document) {
	text, v, err := r.wire.FetchDocument(r.context, peer, d)
	now := time.Now()
	if err == nil && v.Revision == 0 {
		err = &MissingError{Document: d}
	}
	if err != nil {
		r.loop.Process(event.DocumentReadFailed{At: now, Document: d, From: from, Cause: err})
		return
	}
	r.loop.Process(event.DocumentRead{At: now, Document: d, From: from, Text: text, Edition: v.Edition, Epoch: v.Epoch, Revision: v.Revision})
}

// exchangeVersions exchanges versions with a peer.
func (r *Runner) exchangeVersions(e effect.ExchangeVersions) {
	defer r.processOnPanic(func() event.Event { return event.PeerUnreachable{At: time.Now(), Peer: e.Peer.Name} })
	queriedAt := time.Now()
	response, err := r.wire.ExchangeVersions(r.context, e.Peer.ControlAddr, e.Versions)
	if err != nil {
		r.loop.Process(event.PeerUnreachable{At: time.Now(), Peer: e.Peer.Name})
		return
	}
	r.loop.Process(event.VersionsReceived{
		At:        time.Now(),
		QueriedAt: queriedAt,
		Peer:      response.From.Instance,
		Control:   e.Peer.ControlAddr,
		Versions:  response.Versions,
	})
}

// bootstrap reads both documents from a configured peer. It retries until
// this node has both of them from any source, because the peer may start later.
func (r *Runner) bootstrap(peer netip.AddrPort) {
	from := event.DocumentSource{Peer: peer.String()}
	t := time.NewTicker(bootstrapInterval)
	defer t.Stop()
	for {
		r.fetchFromPeer(peer, from, event.Rules)
		r.fetchFromPeer(peer, from, event.Fleet)
		if r.hasDocuments() {
			return
		}
		select {
		case <-t.C:
		case <-r.context.Done():
			return
		}
	}
}

// hasDocuments reports whether this node has rules and an instance list.
func (r *Runner) hasDocuments() bool {
	_, v := r.loop.LoadReport()
	return v.Rules.Revision > 0 && v.Fleet.Revision > 0
}

// broadcastVersions sends the versions of this node to many peers.
func (r *Runner) broadcastVersions(e effect.BroadcastVersions) {
	if r.options.Broadcaster != nil {
		r.options.Broadcaster.BroadcastVersions(e)
	}
}

// askTokens asks a peer for tokens.
func (r *Runner) askTokens(e effect.AskTokens) {
	if r.options.Lender != nil {
		r.options.Lender.AskTokens(e)
		return
	}
	r.spawn(func() {
		now := time.Now()
		r.loop.Process(event.TokensAnswered{At: now, Answer: allot.Answer{Ask: e.Ask, AskedAt: now}, Random: rand.Uint64()})
	})
}

// checkHealth checks the health of this node's backend server.
func (r *Runner) checkHealth(e effect.CheckHealth) {
	defer r.checkingHealth.Store(false)
	defer r.processOnPanic(func() event.Event { return event.HealthChecked{At: time.Now(), State: event.Unreachable} })
	ctx, cancel := context.WithTimeout(r.context, healthCheckTimeout)
	defer cancel()
	s, err := r.options.HealthChecker.Check(ctx, e.Path)
	if r.context.Err() != nil {
		return
	}
	r.loop.Process(healthChecked(s, err))
}

// healthChecked returns the event that reports the result of a health check.
func healthChecked(s health.Result, err error) event.HealthChecked {
	e := event.HealthChecked{At: time.Now(), State: serverState(s, err), Incarnation: s.Incarnation, ColdLeft: s.ColdLeft, Announcement: s.Announcement}
	e.Refused = errors.Is(err, syscall.ECONNREFUSED)
	if err == nil && s.Slots > 0 {
		e.ServerLoad = &event.ServerLoad{Busy: s.Running, Queued: s.Queued, Slots: s.Slots, Slow: s.SlowPercent}
	}
	return e
}

// serverState returns the state of the backend server according to a health check.
func serverState(s health.Result, err error) event.ServerState {
	if err != nil {
		return event.Unreachable
	}
	switch s.State {
	case health.Cold:
		return event.Cold
	case health.Draining:
		return event.Draining
	case health.Failing:
		return event.Failing
	case health.Warm, health.Unknown:
	}
	return event.Warm
}

// probeLoad queries a peer for its load. A response from another instance is ignored.
func (r *Runner) probeLoad(e effect.ProbeLoad) {
	response, err := r.wire.ProbeLoad(r.context, e.Peer.ControlAddr)
	if err != nil || response.Refused || response.From.Instance != e.Peer.Name {
		return
	}
	r.loop.Process(event.LoadReported{At: time.Now(), Guard: response.From, Load: response.Load})
}
