// Package dgram exchanges datagrams between nodes: load probes (a request waits for their
// responses before its backend server is selected), asks for tokens of the limits of customers
// (a request waits for them too), and announcements of the document versions that a node holds.
// All are worthless once late, so lost datagrams are not retransmitted.
//
// # Usage
//
//	g := dgram.New(l, dgram.Options{Node: self, Conn: conn, Logger: logger})
//	defer g.Close()
//	loads := g.ProbeLoads(ctx, peers, priority)
//	g.BroadcastVersions(effect.BroadcastVersions{Peers: peers, Versions: v})
package dgram

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ticket"
	"bulrushlock/io/loop"
)

const (
	// probeTimeout is the longest time that a request waits for the loads of guards. It covers
	// several round trips between data centres and is short compared with any work.
	probeTimeout = 12 * time.Millisecond
	// maxDatagramSize is the size in bytes of the largest datagram.
	maxDatagramSize = 512
)

// Options configure a Transport.
type Options struct {
	// Node identifies the incarnation of the node that the loop belongs to.
	Node ticket.NodeID
	Conn *net.UDPConn
	// Control is the address at which the node serves RPCs.
	Control netip.AddrPort
	Logger  *slog.Logger
}

// Transport sends and receives the datagrams of a node.
type Transport struct {
	loop    *loop.Loop
	options Options
	mutex   sync.Mutex
	next    uint64
	probes  map[uint64]*loadProbe
	asks    map[uint64]*tokenAsk
	ended   sync.WaitGroup
}

// loadProbe collects the responses to one round of load probes.
type loadProbe struct {
	loads []event.LoadReported
	// pending are the names of the guards that have not responded.
	pending []string
	done    chan struct{}
}

// received records the response of a guard. It ignores a guard that was not asked and a second
// response.
func (l *loadProbe) received(e event.LoadReported) {
	i := slices.Index(l.pending, e.Guard.Instance)
	if i < 0 {
		return
	}
	l.loads = append(l.loads, e)
	l.pending = slices.Delete(l.pending, i, i+1)
	if len(l.pending) == 0 {
		close(l.done)
	}
}

// New returns a Transport and starts to process the datagrams that arrive on o.Conn.
func New(l *loop.Loop, o Options) *Transport {
	tr := &Transport{loop: l, options: o, probes: make(map[uint64]*loadProbe), asks: make(map[uint64]*tokenAsk)}
	tr.ended.Go(func() {
		b := make([]byte, maxDatagramSize)
		for {
			n, from, err := o.Conn.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Other errors report that nothing listened at the destination of an earlier
			// datagram.
			if err == nil {
				tr.receive(b[:n], from)
			}
		}
	})
	return tr
}

// Close closes the connection and waits for a datagram that is being processed.
func (tr *Transport) Close() {
	_ = tr.options.Conn.Close()
	tr.ended.Wait()
}

// ProbeLoads queries the guards of peers for their loads, with the wait times of the given priority,
// and returns those that arrive within a few milliseconds and before ctx ends.
func (tr *Transport) ProbeLoads(ctx context.Context, peers []fleet.Instance, priority int) []event.LoadReported {
	if len(peers) == 0 {
		return nil
	}
	probe := &loadProbe{done: make(chan struct{})}
	for _, p := range peers {
		probe.pending = append(probe.pending, p.Name)
	}
	tr.mutex.Lock()
	tr.next++
	number := rankedNumber(tr.next, priority)
	tr.probes[number] = probe
	tr.mutex.Unlock()
	m := message{Kind: kindLoadRequest, Number: number}
	for _, p := range peers {
		tr.send(m, p.ControlAddr)
	}
	t := time.NewTimer(probeTimeout)
	defer t.Stop()
	select {
	case <-probe.done:
	case <-t.C:
	case <-ctx.Done():
	}
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	delete(tr.probes, number)
	return probe.loads
}

// BroadcastVersions sends the versions that the node holds to peers.
func (tr *Transport) BroadcastVersions(e effect.BroadcastVersions) {
	m := message{Kind: kindVersions, From: tr.options.Node, Versions: e.Versions}
	if e.Relay {
		m.Kind = kindRelayVersions
	}
	for _, p := range e.Peers {
		tr.send(m, p.ControlAddr)
	}
}

// send sends m. A datagram that cannot be sent is treated as lost.
func (tr *Transport) send(m message, to netip.AddrPort) {
	if _, err := tr.options.Conn.WriteToUDPAddrPort(m.append(make([]byte, 0, maxDatagramSize)), to); err != nil {
		tr.options.Logger.Debug("datagram not sent", "to", to, "error", err)
	}
}

// receive processes a datagram.
func (tr *Transport) receive(b []byte, from netip.AddrPort) {
	defer tr.loop.Recover("datagram")
	m, err := parse(b)
	if err != nil {
		tr.options.Logger.Debug("datagram not parsed", "from", from, "error", err)
		return
	}
	switch m.Kind {
	case kindLoadRequest:
		load := tr.loop.LoadFor(priorityOf(m.Number))
		tr.send(message{Kind: kindLoad, Number: m.Number, From: tr.options.Node, Load: load}, from)
	case kindLoad:
		tr.loadReceived(m)
		if m.Load.Blank {
			tr.sendVersions(from)
		}
	case kindAskTokens:
		tr.tokensAsked(m, from)
	case kindTokens:
		tr.tokensReceived(m)
	case kindVersions, kindRelayVersions:
		tr.loop.Process(event.VersionsReceived{
			At: time.Now(), Peer: m.From.Instance, Control: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
			Versions: m.Versions, Relay: m.Kind == kindRelayVersions,
		})
	}
}

// sendVersions sends the versions that this node holds to a node that holds none. Such a
// node knows no other node, and the platform may be unreachable.
func (tr *Transport) sendVersions(to netip.AddrPort) {
	_, v := tr.loop.LoadReport()
	if v.Rules.Revision > 0 {
		tr.send(message{Kind: kindVersions, From: tr.options.Node, Versions: v}, to)
	}
}

// loadReceived processes the response to a load probe.
func (tr *Transport) loadReceived(m message) {
	tr.mutex.Lock()
	defer tr.mutex.Unlock()
	if probe, ok := tr.probes[m.Number]; ok {
		probe.received(event.LoadReported{At: time.Now(), Guard: m.From, Load: m.Load, Priority: priorityOf(m.Number)})
	}
}
