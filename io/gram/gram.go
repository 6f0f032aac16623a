// Package gram exchanges datagrams between nodes: the question for the load of a
// guard, which is asked while a request waits, and the word which versions of the
// documents a node holds. Both are worth nothing once they are late, so a lost
// datagram is not sent again.
//
// # Usage
//
//	g := gram.New(l, gram.Options{Node: self, Conn: conn})
//	defer g.Close()
//	loads := g.Survey(ctx, peers)
//	g.Cast(effect.Cast{Peers: peers, Versions: v})
package gram

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ticket"
	"bulrushlock/io/loop"
)

const (
	// surveyTime is the longest time that a request waits for the loads of guards. It
	// is several round trips between data centres and little against any work.
	surveyTime = 12 * time.Millisecond
	// largest is the size in bytes of the largest datagram.
	largest = 512
)

// Options are what a Gram works with besides its loop.
type Options struct {
	// Node is the life of the node that the loop belongs to.
	Node ticket.Node
	Conn *net.UDPConn
	// Control is the address at which the node answers calls.
	Control netip.AddrPort
	Logger  *slog.Logger
}

// Gram sends and answers datagrams.
type Gram struct {
	loop    *loop.Loop
	options Options
	mutex   sync.Mutex
	next    uint64
	surveys map[uint64]*survey
	ended   sync.WaitGroup
}

// survey gathers the answers to one question.
type survey struct {
	loads []event.Loaded
	want  int
	done  chan struct{}
}

// New starts to answer the datagrams that come in on the connection of o.
func New(l *loop.Loop, o Options) *Gram {
	g := &Gram{loop: l, options: o, surveys: make(map[uint64]*survey)}
	g.ended.Go(func() {
		b := make([]byte, largest)
		for {
			n, from, err := o.Conn.ReadFromUDPAddrPort(b)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// Other errors tell of an earlier datagram that found no listener.
			if err == nil {
				g.receive(b[:n], from)
			}
		}
	})
	return g
}

// Close ends the use of the connection.
func (g *Gram) Close() {
	_ = g.options.Conn.Close()
	g.ended.Wait()
}

// Survey returns the loads that the guards of peers tell within a few milliseconds.
func (g *Gram) Survey(ctx context.Context, peers []fleet.Instance) []event.Loaded {
	s := &survey{want: len(peers), done: make(chan struct{})}
	g.mutex.Lock()
	g.next++
	number := g.next
	g.surveys[number] = s
	g.mutex.Unlock()
	m := message{Kind: kindAsk, Number: number}
	for _, p := range peers {
		g.send(m, p.Control)
	}
	t := time.NewTimer(surveyTime)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C:
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.surveys, number)
	return s.loads
}

// Cast tells peers the versions that the node holds.
func (g *Gram) Cast(e effect.Cast) {
	m := message{Kind: kindCast, From: g.options.Node, Versions: e.Versions}
	if e.Relay {
		m.Kind = kindRelay
	}
	for _, p := range e.Peers {
		g.send(m, p.Control)
	}
}

// send sends m. A datagram that cannot be sent counts as lost.
func (g *Gram) send(m message, to netip.AddrPort) {
	if _, err := g.options.Conn.WriteToUDPAddrPort(m.append(make([]byte, 0, largest)), to); err != nil {
		g.options.Logger.Debug("datagram not sent", "to", to, "error", err)
	}
}

// receive takes a datagram.
func (g *Gram) receive(b []byte, from netip.AddrPort) {
	m, err := parse(b)
	if err != nil {
		g.options.Logger.Debug("datagram not read", "from", from, "error", err)
		return
	}
	switch m.Kind {
	case kindAsk:
		load, _ := g.loop.Load()
		g.send(message{Kind: kindLoad, Number: m.Number, From: g.options.Node, Load: load}, from)
	case kindLoad:
		g.answered(m)
		if m.Load.Blank {
			g.help(from)
		}
	case kindCast, kindRelay:
		g.loop.Do(event.Told{
			At: time.Now(), Peer: m.From.Instance, Control: netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
			Versions: m.Versions, Relay: m.Kind == kindRelay,
		})
	}
}

// help tells the versions that this node holds to one that holds none. It knows no
// other node, and the platform may be away.
func (g *Gram) help(to netip.AddrPort) {
	_, v := g.loop.Load()
	if v.Rules.Revision > 0 {
		g.send(message{Kind: kindCast, From: g.options.Node, Versions: v}, to)
	}
}

// answered takes the answer to a survey.
func (g *Gram) answered(m message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s, ok := g.surveys[m.Number]
	if !ok || len(s.loads) == s.want {
		return
	}
	s.loads = append(s.loads, event.Loaded{At: time.Now(), Guard: m.From, Load: m.Load})
	if len(s.loads) == s.want {
		close(s.done)
	}
}
