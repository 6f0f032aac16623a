// Package carry carries out the effects that belong to no request: reads of the
// platform and of peers, exchanges of versions, looks and probes.
//
// # Usage
//
//	c := carry.New(carry.Options{Platform: reader, Looker: looker})
//	c.Start(l, w)
//	c.Do(effect.Look{})
package carry

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/serve"
	"bulrushlock/io/wire"
)

const (
	// readTime is the longest time of a read of the platform, besides the time that it may hold the call.
	readTime = 2 * time.Second
	// lookTime is the longest time of a look at the backend server, which answers at
	// once while it is sound.
	lookTime = 500 * time.Millisecond
	// bootstrapTime is the time between two reads of a peer by a node that lacks a document.
	bootstrapTime = 500 * time.Millisecond
)

// Options are what a Carrier works with.
type Options struct {
	Platform plat.Reader
	Looker   serve.Looker
	// Peers are the control listeners of a few other nodes that are asked at the start.
	Peers []netip.AddrPort
	// Caster tells many peers the versions of this node; nil tells nobody.
	Caster Caster
	// Finished is called when a leaving node has no work left.
	Finished func()
}

// Caster tells many peers the versions of this node. It must not block.
type Caster interface {
	Cast(e effect.Cast)
}

// Carrier carries out effects beside the loop that asks for them.
type Carrier struct {
	options Options
	ready   chan struct{}
	loop    *loop.Loop
	wire    *wire.Wire
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// looking tells that a look has not ended.
	looking atomic.Bool
	// mutex keeps effects from starting once Stop waits for those that run.
	mutex   sync.Mutex
	stopped bool
}

// New returns a carrier whose effects wait for Start.
func New(o Options) *Carrier {
	c := &Carrier{options: o, ready: make(chan struct{})}
	c.context, c.cancel = context.WithCancel(context.Background())
	return c
}

// Start gives the carrier the loop that takes its events and the calls to other
// nodes, and asks the nodes that the settings name for their versions.
func (c *Carrier) Start(l *loop.Loop, w *wire.Wire) {
	c.loop, c.wire = l, w
	close(c.ready)
	for _, p := range c.options.Peers {
		c.spawn(func() { c.bootstrap(p) })
	}
}

// Stop gives up what is under way and waits for its end.
func (c *Carrier) Stop() {
	c.mutex.Lock()
	c.stopped = true
	c.mutex.Unlock()
	c.cancel()
	c.running.Wait()
}

// Do carries out e without blocking the caller.
func (c *Carrier) Do(e effect.Effect) {
	switch e := e.(type) {
	case effect.Fetch:
		c.spawn(func() { c.fetch(e) })
	case effect.Tell:
		c.spawn(func() { c.tell(e) })
	case effect.Cast:
		c.cast(e)
	case effect.Look:
		if c.looking.CompareAndSwap(false, true) {
			c.spawn(func() { c.look(e) })
		}
	case effect.Probe:
		c.spawn(func() { c.probe(e) })
	case effect.Finished:
		c.spawn(c.options.Finished)
	}
}

// spawn runs f beside the caller, once the carrier is started.
func (c *Carrier) spawn(f func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped {
		return
	}
	c.running.Go(func() {
		select {
		case <-c.ready:
			f()
		case <-c.context.Done():
		}
	})
}

// fetch reads a document from the platform or from a peer.
func (c *Carrier) fetch(e effect.Fetch) {
	if e.Peer != nil {
		c.fetchFrom(e.Peer.Control, event.Source{Peer: e.Peer.Name}, e.Document)
		return
	}
	ctx, cancel := context.WithTimeout(c.context, e.Wait+readTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	read := c.options.Platform.Rules
	if e.Document == event.Fleet {
		read = c.options.Platform.Instances
	}
	asked := time.Now()
	d, err := read(ctx, plat.Query{After: e.After, Wait: e.Wait, Late: e.Late})
	now := time.Now()
	var unchanged *plat.UnchangedError
	switch {
	case now.After(deadline):
		// The process slept, so the answer tells what was true before.
		c.loop.Do(event.Unread{At: now, Document: e.Document})
	case errors.As(err, &unchanged):
		// A call that was held tells what was true when the platform let it go.
		if held := asked.Add(e.Wait); !held.After(now) {
			asked = held
		}
		c.loop.Do(event.Unchanged{At: now, Asked: asked, Document: e.Document, Revision: unchanged.Revision})
	case err != nil:
		c.loop.Do(event.Unread{At: now, Document: e.Document})
	default:
		c.loop.Do(event.Read{At: now, Asked: asked, Document: e.Document, Text: d.Text, Revision: d.Revision, Late: e.Late})
	}
}

// fetchFrom reads a document from the node at peer.
func (c *Carrier) fetchFrom(peer netip.AddrPort, from event.Source, d event.Document) {
	text, revision, err := c.wire.Fetch(c.context, peer, d)
	now := time.Now()
	if err != nil || revision == 0 {
		c.loop.Do(event.Unread{At: now, Document: d, From: from})
		return
	}
	c.loop.Do(event.Read{At: now, Document: d, From: from, Text: text, Revision: revision})
}

// tell exchanges versions with a peer.
func (c *Carrier) tell(e effect.Tell) {
	asked := time.Now()
	a, err := c.wire.Tell(c.context, e.Peer.Control, e.Versions)
	if err != nil {
		c.loop.Do(event.Silent{At: time.Now(), Peer: e.Peer.Name})
		return
	}
	c.loop.Do(event.Told{
		At:       time.Now(),
		Asked:    asked,
		Peer:     a.From.Instance,
		Control:  e.Peer.Control,
		Versions: a.Versions,
	})
}

// bootstrap reads both documents from a node that the settings name, and goes on
// until this node has both of them from any source: the peer may start later.
func (c *Carrier) bootstrap(peer netip.AddrPort) {
	from := event.Source{Peer: peer.String()}
	t := time.NewTicker(bootstrapTime)
	defer t.Stop()
	for {
		c.fetchFrom(peer, from, event.Rules)
		c.fetchFrom(peer, from, event.Fleet)
		if c.hasBoth() {
			return
		}
		select {
		case <-t.C:
		case <-c.context.Done():
			return
		}
	}
}

// hasBoth reports whether this node has rules and a list of instances.
func (c *Carrier) hasBoth() bool {
	_, v := c.loop.Load()
	return v.Rules.Revision > 0 && v.Fleet.Revision > 0
}

// cast tells many peers the versions of this node.
func (c *Carrier) cast(e effect.Cast) {
	if c.options.Caster != nil {
		c.options.Caster.Cast(e)
	}
}

// look looks at the backend server beside this node.
func (c *Carrier) look(e effect.Look) {
	defer c.looking.Store(false)
	ctx, cancel := context.WithTimeout(c.context, lookTime)
	defer cancel()
	s, err := c.options.Looker.Look(ctx, e.Path)
	if c.context.Err() != nil {
		return
	}
	c.loop.Do(looked(s, err))
}

// looked returns what a look has shown.
func looked(s serve.Sight, err error) event.Looked {
	e := event.Looked{At: time.Now(), Condition: conditionOf(s, err), Life: s.Life, ColdLeft: s.ColdLeft}
	if err == nil && s.Slots > 0 {
		e.Sight = &event.Sight{Busy: s.Busy, Queued: s.Queued, Slots: s.Slots, Slow: s.Slow}
	}
	return e
}

// conditionOf returns the condition that a look has shown.
func conditionOf(s serve.Sight, err error) event.Condition {
	if err != nil {
		return event.Unreachable
	}
	switch s.State {
	case serve.Cold:
		return event.Cold
	case serve.Draining:
		return event.Draining
	case serve.Failing:
		return event.Failing
	case serve.Warm, serve.Unknown:
	}
	return event.Warm
}

// probe asks for the load of a peer.
func (c *Carrier) probe(e effect.Probe) {
	a, err := c.wire.Probe(c.context, e.Peer.Control)
	if err != nil || a.Refused || a.From.Instance != e.Peer.Name {
		return
	}
	c.loop.Do(event.Loaded{At: time.Now(), Guard: a.From, Load: a.Load})
}
