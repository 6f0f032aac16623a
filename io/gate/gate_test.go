package gate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/nested"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
	"bulrushlock/io/fake"
	"bulrushlock/io/loop"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
)

const testRules = `
service filing slots=10 cold=10 warm=1 queue=0s   # Test: one service
route POST /claims service=filing idempotent=no   # Test: one route
`

// self is the node of the gates under test.
var self = ticket.NodeID{Instance: "filing-1", Incarnation: 7}

// newLoop returns the loop of a node that has rules.
func newLoop(c *qt.C) *loop.Loop {
	n := node.New(node.Config{
		Instance: self.Instance, Incarnation: self.Incarnation, Centre: "north", Service: "filing",
	}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{
		Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {},
	})
	c.Cleanup(l.Stop)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: testRules, Revision: 1})
	return l
}

// newGate returns a gate for the backend server at the given address.
func newGate(c *qt.C, address net.Addr) (*Gate, *loop.Loop) {
	return newGateWithDialect(c, address, proto.Plain{})
}

// newGateWithDialect returns a gate for the backend server at the given address, which speaks
// the given dialect.
func newGateWithDialect(c *qt.C, address net.Addr, d proto.Dialect) (*Gate, *loop.Loop) {
	l := newLoop(c)
	transport := pool.New(&net.Dialer{}, pool.Options{
		MaxIdle: 8, IdleTimeout: time.Minute,
		Match: func(r *http.Request, a *http.Response) bool { return d.Matches(r.Header, a.Header) },
		Reuse: func(a *http.Response) bool { return !proto.MayRefuse(d, a) },
	})
	c.Cleanup(transport.Close)
	return New(l, Options{Node: self, Server: netip.MustParseAddrPort(address.String()), Transport: transport, Dialect: d}), l
}

// sequence numbers the attempts of all tests.
var sequence atomic.Uint64

// newClaim returns a new claim with the given body.
func newClaim(body string) proto.Attempt {
	return proto.Attempt{
		Ticket: ticket.Ticket{
			Entry: ticket.NodeID{Instance: "desk-1", Incarnation: 3}, Sequence: sequence.Add(1), Guard: self, Service: "filing",
		},
		Method:        http.MethodPost,
		Target:        "/claims",
		Header:        http.Header{},
		Body:          strings.NewReader(body),
		Length:        int64(len(body)),
		Call:          nested.Limits{Depth: 1, TimeLeft: 5 * time.Second},
		HeaderTimeout: 5 * time.Second,
	}
}

// exchange sends attempt and reads the whole response.
func exchange(c *qt.C, g *Gate, attempt proto.Attempt) (proto.Response, string, error) {
	a, err := g.Exchange(context.Background(), attempt)
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return a, string(body), err
}

// startRawServer starts a backend server that calls serve with each request and
// its connection.
func startRawServer(c *qt.C, serve func(n int32, r *http.Request, conn net.Conn)) *fake.RawServer {
	s, err := fake.NewRawServer(serve)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// responseText returns a complete HTTP response with the given body.
func responseText(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestClaimIsNotRetriedOnAnotherConnection(t *testing.T) {
	for _, body := range []string{"", "claim"} {
		t.Run("body "+body, func(t *testing.T) {
			c := qt.New(t)
			s := startRawServer(c, func(n int32, _ *http.Request, conn net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(conn, responseText("ok"))
					return
				}
				_ = conn.Close()
			})
			g, _ := newGate(c, s.Addr())
			a, text, err := exchange(c, g, newClaim(body))
			c.Assert(err, qt.IsNil)
			c.Assert(a.Outcome, qt.Equals, effect.Run)
			c.Assert(text, qt.Equals, "ok")
			o := newClaim(body)
			o.Header = http.Header{"Idempotency-Key": {"k"}}
			a, _, _ = exchange(c, g, o)
			c.Check(a.Outcome, qt.Equals, effect.Unknown)
			c.Check(s.Requests(), qt.Equals, int32(2))
		})
	}
}

func TestNotRunOnlyWithoutConnection(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	g, _ := newGate(c, l.Addr())
	a, _, _ := exchange(c, g, newClaim("claim"))
	c.Check(a.Outcome, qt.Equals, effect.NotRun)
	c.Check(a.Reason, qt.Equals, effect.ReasonServer)
}

func TestAttemptForAnotherNodeIsRejected(t *testing.T) {
	tests := []struct {
		name   string
		change func(*ticket.Ticket)
		reason effect.Reason
	}{
		{"instance", func(t *ticket.Ticket) { t.Guard.Instance = "filing-2" }, effect.ReasonAddress},
		{"service", func(t *ticket.Ticket) { t.Service = "ledger" }, effect.ReasonAddress},
		{"life", func(t *ticket.Ticket) { t.Guard.Incarnation++ }, effect.ReasonIncarnation},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, responseText("ok")) })
			g, _ := newGate(c, s.Addr())
			o := newClaim("claim")
			tt.change(&o.Ticket)
			a, _, _ := exchange(c, g, o)
			c.Check(a.Outcome, qt.Equals, effect.NotRun)
			c.Check(a.Reason, qt.Equals, tt.reason)
			c.Check(s.Requests(), qt.Equals, int32(0))
		})
	}
}

func TestDuplicateAttemptReplaysResponse(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, responseText("ok")) })
	g, l := newGate(c, s.Addr())
	o := newClaim("claim")
	for range 3 {
		a, text, err := exchange(c, g, o)
		c.Assert(err, qt.IsNil)
		c.Check(a.Outcome, qt.Equals, effect.Run)
		c.Check(text, qt.Equals, "ok")
	}
	c.Check(s.Requests(), qt.Equals, int32(1))
	c.Check(l.OpenMailboxes(), qt.Equals, 0)
}

func TestUnframedResponseIsUnknown(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf")
		_ = conn.Close()
	})
	g, _ := newGate(c, s.Addr())
	a, _, _ := exchange(c, g, newClaim("claim"))
	c.Check(a.Outcome, qt.Equals, effect.Unknown)
}

func TestTruncatedResponseIsNotComplete(t *testing.T) {
	for _, length := range []int{10, maxReplayBody + 10} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			c := qt.New(t)
			s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nhalf", length)
				_ = conn.Close()
			})
			g, l := newGate(c, s.Addr())
			a, _, err := exchange(c, g, newClaim("claim"))
			c.Check(a.Outcome == effect.Run && err == nil, qt.IsFalse)
			c.Check(a.Outcome == effect.Unknown, qt.Equals, length <= maxReplayBody)
			c.Check(l.OpenMailboxes(), qt.Equals, 0)
		})
	}
}

func TestStalledResponseReleasesSlot(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
	})
	g, l := newGate(c, s.Addr())
	g.options.DeadlineOverrun = 50 * time.Millisecond
	o := newClaim("claim")
	o.HeaderTimeout = 100 * time.Millisecond
	_, err := g.Exchange(context.Background(), o)
	var broken *proto.BrokenError
	c.Assert(errors.As(err, &broken), qt.IsTrue)
	c.Check(broken.Expired, qt.IsTrue)
	for range 1000 {
		if load, _ := l.LoadReport(); load.InFlight == 0 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("the slot of a stalled response was not released")
}

// A caller that breaks off its request body must not make the guard treat its
// backend server as cold.
func TestBrokenRequestBodyKeepsGuardWarm(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) { _, _ = io.WriteString(conn, responseText("ok")) })
	g, l := newGate(c, s.Addr())
	_, _, err := exchange(c, g, newClaim("claim"))
	c.Assert(err, qt.IsNil)
	load, _ := l.LoadReport()
	c.Assert(load.Cold, qt.IsFalse)
	o := newClaim("")
	o.Body = io.MultiReader(strings.NewReader("half"), iotest.ErrReader(errors.New("caller disconnected")))
	o.Length = -1
	a, _, _ := exchange(c, g, o)
	c.Check(a.Outcome, qt.Equals, effect.Unknown)
	load, _ = l.LoadReport()
	c.Check(load.Cold, qt.IsFalse)
	c.Check(load.InFlight, qt.Equals, 0)
}

// A caller that leaves within a response must not make the guard treat its backend server as cold, as a reset of the
// server does.
func TestLeavingCallerKeepsGuardWarm(t *testing.T) {
	const size = 2 * maxReplayBody
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			c := qt.New(t)
			s := startRawServer(c, func(n int32, _ *http.Request, conn net.Conn) {
				if n == 1 {
					_, _ = io.WriteString(conn, responseText("ok"))
					return
				}
				_, _ = io.WriteString(conn, responseText(strings.Repeat("x", size))[:size])
			})
			g, l := newGate(c, s.Addr())
			_, _, err := exchange(c, g, newClaim("claim"))
			c.Assert(err, qt.IsNil)
			o := newClaim("claim")
			o.Idempotent = idempotent
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			a, err := g.Exchange(ctx, o)
			c.Assert(err, qt.IsNil)
			leave()
			_, err = io.Copy(io.Discard, a.Body)
			c.Check(err, qt.ErrorIs, context.Canceled)
			load, _ := l.LoadReport()
			c.Check(load.Cold, qt.IsFalse)
			c.Check(load.InFlight, qt.Equals, 0)
		})
	}
}

// A backend server may send an extra response. It must not be taken as the
// response to the next request on the connection.
func TestUnsolicitedResponseReachesNoCaller(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, r *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, responseText(r.Header.Get("Id"))+responseText("of another caller"))
	})
	g, _ := newGate(c, s.Addr())
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for j := range 200 {
				id := fmt.Sprintf("%d-%d", i, j)
				o := newClaim("claim")
				o.Header = http.Header{"Id": {id}}
				a, text, err := exchange(c, g, o)
				if a.Outcome == effect.Run && err == nil && text != id {
					t.Errorf("the response to %s is %q", id, text)
				}
			}
		})
	}
	callers.Wait()
}

func TestNodeListenerRejectsInvalidHeaders(t *testing.T) {
	c := qt.New(t)
	g, _ := newGate(c, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1})
	o := newClaim("claim")
	good := map[string]string{
		proto.HeaderTicket:   o.Ticket.String(),
		proto.HeaderCall:     o.Call.String(),
		proto.HeaderVersions: proto.FormatVersions(o.Versions),
		proto.HeaderAttempt:  proto.FormatAttempt(o),
		proto.HeaderQuota:    proto.FormatQuota(o.RateLimit),
	}
	for name := range good {
		for _, value := range []string{"", "x"} {
			if (name == proto.HeaderCall || name == proto.HeaderQuota) && value == "" {
				continue
			}
			r := httptest.NewRequest(http.MethodPost, "/claims", bytes.NewReader(nil))
			for n, v := range good {
				r.Header.Set(n, v)
			}
			r.Header.Set(name, value)
			w := httptest.NewRecorder()
			g.ServeHTTP(w, r)
			c.Check(w.Code, qt.Equals, http.StatusBadRequest, qt.Commentf("%s: %q", name, value))
		}
	}
}

// limitDialect is a dialect in which each response states the same limit.
type limitDialect struct{ proto.Plain }

// ParseResponse returns a limit of four requests per second.
func (limitDialect) ParseResponse(int, http.Header) proto.ResponseInfo {
	return proto.ResponseInfo{Announcement: event.Announcement{RateLimit: 4, IsLimited: true}}
}

// The entry must learn of a limit with the response that states it, also while its body is still
// being sent.
func TestLimitIsReportedWithTheResponseThatStatesIt(t *testing.T) {
	c := qt.New(t)
	s := startRawServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
	})
	g, l := newGate(c, s.Addr())
	g.options.Dialect = limitDialect{}
	export := newClaim("")
	export.Idempotent = true
	a, err := g.Exchange(context.Background(), export)
	c.Assert(err, qt.IsNil)
	c.Check(a.Load.RateLimit, qt.Equals, 4.0)
	load, _ := l.LoadReport()
	c.Check(load.RateLimit, qt.Equals, 4.0)
	c.Assert(a.Body.Close(), qt.IsNil)
}

// refusalDialect is a dialect in which the header Not-Run states that a request did not run, and
// Id identifies the request of a response.
type refusalDialect struct{ proto.Plain }

// ParseResponse reads the header Not-Run.
func (refusalDialect) ParseResponse(_ int, h http.Header) proto.ResponseInfo {
	return proto.ResponseInfo{Declined: h.Get("Not-Run") != ""}
}

// Matches accepts responses without an id.
func (refusalDialect) Matches(request, response http.Header) bool {
	id := response.Get("Id")
	return id == "" || id == request.Get("Id")
}

// Identifies accepts no response without an id.
func (refusalDialect) Identifies(request, response http.Header) bool {
	return response.Get("Id") == request.Get("Id")
}

// orderDialect is the same without ids.
type orderDialect struct{ refusalDialect }

// Identifies accepts every response, by its order on the connection.
func (orderDialect) Identifies(http.Header, http.Header) bool { return true }

// A refusal that a backend server has sent before, and sends once more on a kept connection, must
// not be taken for the response to the request that runs there now.
func TestRepeatedRefusalIsNoResponseToTheNextRequest(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	tests := []struct {
		name string
		// first is the response to the first request, and repeated what is sent in front of
		// the response to the second one.
		first, repeated string
		// byOrder selects a dialect whose responses have no ids.
		byOrder bool
		want    effect.Outcome
	}{
		{"refusal with id", refusal("Id: a\r\n"), refusal("Id: a\r\n"), false, effect.Run},
		{"refusal without id", refusal(""), refusal(""), true, effect.Run},
		{"refusal without id after a response", responseText("ok"), refusal(""), false, effect.Unknown},
		{"refusal of a request on another connection", responseText("ok"), refusal("Id: other\r\n"), false, effect.Run},
		{"refusal of this request", responseText("ok"), refusal("Id: b\r\n"), false, effect.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var kept sync.Map
			s := startRawServer(c, func(n int32, _ *http.Request, conn net.Conn) {
				if n == 1 {
					kept.Store(conn, true)
					_, _ = io.WriteString(conn, tt.first)
					return
				}
				text := responseText("ok")
				if _, isKept := kept.Load(conn); isKept {
					text = tt.repeated + text
				}
				_, _ = io.WriteString(conn, text)
			})
			var dialect proto.Dialect = refusalDialect{}
			if tt.byOrder {
				dialect = orderDialect{}
			}
			g, _ := newGateWithDialect(c, s.Addr(), dialect)
			first := newClaim("claim")
			first.Header = http.Header{"Id": {"a"}}
			_, _, err := exchange(c, g, first)
			c.Assert(err, qt.IsNil)
			second := newClaim("claim")
			second.Header = http.Header{"Id": {"b"}}
			a, _, err := exchange(c, g, second)
			c.Assert(err, qt.IsNil)
			c.Check(a.Outcome, qt.Equals, tt.want)
		})
	}
}
