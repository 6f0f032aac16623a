package runner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
	"bulrushlock/io/health"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/wire"
)

const testRules = `
service filing slots=10   # Test: one service
`

// fakePlatform is a plat.Reader that calls read for both documents.
type fakePlatform struct {
	read func(ctx context.Context, after uint64) (plat.Document, error)
}

// Rules returns the result of read.
func (p fakePlatform) Rules(ctx context.Context, q plat.Query) (plat.Document, error) {
	return p.read(ctx, q.After)
}

// Instances returns the result of read.
func (p fakePlatform) Instances(ctx context.Context, q plat.Query) (plat.Document, error) {
	return p.read(ctx, q.After)
}

// unreachableServer is a backend server that cannot be reached.
type unreachableServer struct{}

// Check fails with errDown.
func (unreachableServer) Check(context.Context, string) (health.Result, error) {
	return health.Result{}, errDown
}

// errDown is returned by the unreachable platform and backend server.
var errDown = errors.New("down")

// newRunner returns a Runner that has not been started, and its loop.
func newRunner(c *qt.C, p plat.Reader, peers []netip.AddrPort) (*Runner, *loop.Loop) {
	runner := New(Options{Platform: p, HealthChecker: unreachableServer{}, Peers: peers, Drained: func() {}})
	n := node.New(node.Config{Instance: "filing-1", Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: runner.Do})
	c.Cleanup(func() {
		runner.Stop()
		l.Stop()
	})
	return runner, l
}

// newEndpoint returns the Endpoint of a node.
func newEndpoint(l *loop.Loop, name string) *wire.Endpoint {
	return wire.New(l, ticket.NodeID{Instance: name, Incarnation: 1}, netip.AddrPort{}, (&net.Dialer{}).DialContext)
}

func TestNoEffectStartsAfterStop(t *testing.T) {
	c := qt.New(t)
	var executed atomic.Int32
	runner := New(Options{Drained: func() { executed.Add(1) }})
	close(runner.ready)
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for range 1000 {
				runner.Do(effect.ReportDrained{})
			}
		})
	}
	runner.Stop()
	seen := executed.Load()
	callers.Wait()
	c.Check(executed.Load(), qt.Equals, seen)
}

func TestBootstrapFromPeerThatStartsLater(t *testing.T) {
	c := qt.New(t)
	down := fakePlatform{read: func(context.Context, uint64) (plat.Document, error) { return plat.Document{}, errDown }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := netip.MustParseAddrPort(listener.Addr().String())
	c.Assert(listener.Close(), qt.IsNil)
	runner, l := newRunner(c, down, []netip.AddrPort{address})
	runner.Start(l, newEndpoint(l, "filing-1"))

	time.Sleep(50 * time.Millisecond)
	peer, other := newRunner(c, down, nil)
	w := newEndpoint(other, "filing-2")
	peer.Start(other, w)
	other.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 4})
	other.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: "[]", Revision: 2})
	listener, err = net.Listen("tcp", address.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	go w.Serve(listener)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		_, v := l.LoadReport()
		if v.Rules.Revision == 4 && v.Fleet.Revision == 2 {
			return
		}
	}
	c.Fatal("the documents of the peer were not read")
}

// A response that arrives after its deadline because the process was suspended is out of
// date and must not refresh the age of the rules.
func TestLateResponseDoesNotConfirmRules(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p := fakePlatform{read: func(_ context.Context, after uint64) (plat.Document, error) {
				if after == 0 {
					return plat.Document{Text: testRules, Revision: 1}, nil
				}
				if late {
					time.Sleep(time.Minute)
				}
				return plat.Document{}, &plat.UnchangedError{After: after}
			}}
			runner, l := newRunner(c, p, nil)
			runner.Start(l, newEndpoint(l, "filing-1"))
			time.Sleep(50 * time.Second)
			runner.fetch(effect.FetchDocument{Document: event.Rules, After: 1, MaxHold: time.Second})
			_, v := l.LoadReport()
			c.Check(v.Age < 10*time.Second, qt.Equals, !late, qt.Commentf("%v", v.Age))
		})
	}
}

// Only a refused connection tells that the backend server has ended; one that does not respond in
// time may be slow.
func TestRefusedHealthCheckIsToldFromSlowOne(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := netip.MustParseAddrPort(l.Addr().String())
	check := func() event.HealthChecked {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		s, err := health.NewHTTP(address, http.DefaultClient).Check(ctx, "/healthz")
		return healthChecked(s, err)
	}
	slow := check()
	c.Check(slow.State, qt.Equals, event.Unreachable)
	c.Check(slow.Refused, qt.IsFalse)
	c.Assert(l.Close(), qt.IsNil)
	gone := check()
	c.Check(gone.State, qt.Equals, event.Unreachable)
	c.Check(gone.Refused, qt.IsTrue)
}
