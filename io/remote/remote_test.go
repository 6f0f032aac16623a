package remote

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/nested"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/ticket"
	"bulrushlock/io/fake"
	"bulrushlock/io/loop"
	"bulrushlock/io/proto"
)

// guard is the node that receives the attempts of these tests.
var guard = ticket.NodeID{Instance: "filing-1", Incarnation: 7}

// newExchanger returns the Exchanger of a node without rules.
func newExchanger(c *qt.C) *Exchanger {
	n := node.New(node.Config{Instance: "desk-1", Incarnation: 3, Centre: "north", Service: "desk"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{
		Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {},
	})
	c.Cleanup(l.Stop)
	k := New(l, &net.Dialer{})
	c.Cleanup(k.Close)
	return k
}

// sequence numbers the attempts of all tests.
var sequence atomic.Uint64

// newClaim returns a new claim for the guard at the given address.
func newClaim(a net.Addr, body string) proto.Attempt {
	return proto.Attempt{
		Ticket: ticket.Ticket{
			Entry: ticket.NodeID{Instance: "desk-1", Incarnation: 3}, Sequence: sequence.Add(1), Guard: guard, Service: "filing",
		},
		Peer:          fleet.Instance{Name: guard.Instance, ForwardAddr: netip.MustParseAddrPort(a.String())},
		Method:        http.MethodPost,
		Target:        "/claims",
		Header:        http.Header{"Idempotency-Key": {"k"}},
		Body:          strings.NewReader(body),
		Length:        int64(len(body)),
		Call:          nested.Limits{Depth: 1, TimeLeft: 5 * time.Second},
		HeaderTimeout: 5 * time.Second,
	}
}

// startGuard starts a guard that calls serve with each request and its
// connection. It returns the guard's address and a function that counts the
// requests read.
func startGuard(c *qt.C, serve func(n int32, r *http.Request, conn net.Conn)) (address net.Addr, requests func() int32) {
	s, err := fake.NewRawServer(serve)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s.Addr(), s.Requests
}

// writeRun writes the response of a guard whose backend server ran the attempt
// t.
func writeRun(conn net.Conn, t, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: run\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		proto.HeaderTicket, t, proto.HeaderOutcome, proto.HeaderGuard, proto.FormatNode(guard), len(body), body)
}

func TestAttemptIsNotRetriedOnAnotherConnection(t *testing.T) {
	for _, body := range []string{"", "claim"} {
		t.Run("body "+body, func(t *testing.T) {
			c := qt.New(t)
			address, requests := startGuard(c, func(n int32, r *http.Request, conn net.Conn) {
				if n == 1 {
					writeRun(conn, r.Header.Get(proto.HeaderTicket), "ok")
					return
				}
				_ = conn.Close()
			})
			k := newExchanger(c)
			a, err := k.Exchange(context.Background(), newClaim(address, body))
			c.Assert(err, qt.IsNil)
			text, err := io.ReadAll(a.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(text), qt.Equals, "ok")
			c.Assert(a.Body.Close(), qt.IsNil)
			_, err = k.Exchange(context.Background(), newClaim(address, body))
			var broken *proto.BrokenError
			c.Assert(errors.As(err, &broken), qt.IsTrue)
			c.Check(broken.Expired, qt.IsFalse)
			c.Check(requests(), qt.Equals, int32(2))
		})
	}
}

func TestUnreachableGuardIsUnsent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = newExchanger(c).Exchange(context.Background(), newClaim(l.Addr(), "claim"))
	var unsent *proto.UnsentError
	c.Check(errors.As(err, &unsent), qt.IsTrue)
}

func TestUnresponsiveGuardExpires(t *testing.T) {
	c := qt.New(t)
	address, _ := startGuard(c, func(int32, *http.Request, net.Conn) {})
	o := newClaim(address, "claim")
	o.HeaderTimeout = 50 * time.Millisecond
	_, err := newExchanger(c).Exchange(context.Background(), o)
	var broken *proto.BrokenError
	c.Assert(errors.As(err, &broken), qt.IsTrue)
	c.Check(broken.Expired, qt.IsTrue)
}

func TestMismatchedResponseIsAnError(t *testing.T) {
	tests := []struct{ name, head string }{
		{"another ticket", proto.HeaderTicket + ": a.1.1.1.b.1.c\r\n" + proto.HeaderOutcome + ": run\r\n"},
		{"no ticket", proto.HeaderOutcome + ": run\r\n"},
		{"no outcome", proto.HeaderTicket + ": TICKET\r\n"},
		{"unknown outcome", proto.HeaderTicket + ": TICKET\r\n" + proto.HeaderOutcome + ": done\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address, _ := startGuard(c, func(_ int32, r *http.Request, conn net.Conn) {
				head := strings.ReplaceAll(tt.head, "TICKET", r.Header.Get(proto.HeaderTicket))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+head+"\r\nno")
			})
			_, err := newExchanger(c).Exchange(context.Background(), newClaim(address, "claim"))
			var wrong *ResponseError
			c.Check(errors.As(err, &wrong), qt.IsTrue)
		})
	}
}

func TestAttemptCarriesItsFields(t *testing.T) {
	c := qt.New(t)
	got := make(chan proto.Attempt, 1)
	headers := make(chan http.Header, 1)
	address, _ := startGuard(c, func(_ int32, r *http.Request, conn net.Conn) {
		var o proto.Attempt
		c.Check(proto.ParseAttempt(r.Header.Get(proto.HeaderAttempt), &o), qt.IsNil)
		o.Versions, _ = proto.ParseVersions(r.Header.Get(proto.HeaderVersions))
		o.Call, _ = nested.Parse(r.Header.Get(proto.HeaderCall))
		got <- o
		headers <- r.Header
		writeRun(conn, r.Header.Get(proto.HeaderTicket), "ok")
	})
	o := newClaim(address, "claim")
	o.Idempotent, o.Priority, o.Class, o.First = true, 2, 5, true
	o.Versions = event.Versions{Age: time.Second}
	o.Header = http.Header{"Bulrushlock-Load": {"forged"}, "Connection": {"X-Drop"}, "X-Drop": {"1"}, "X-Kept": {"1"}}
	a, err := newExchanger(c).Exchange(context.Background(), o)
	c.Assert(err, qt.IsNil)
	c.Check(a.Guard, qt.Equals, guard)
	c.Assert(a.Body.Close(), qt.IsNil)
	sent, h := <-got, <-headers
	c.Check(sent.Idempotent && sent.First, qt.IsTrue)
	c.Check([]int{sent.Priority, sent.Class}, qt.DeepEquals, []int{2, 5})
	c.Check(sent.HeaderTimeout, qt.Equals, o.HeaderTimeout)
	// The age of the instance list is not sent, so that the receiver takes it as unknown.
	want := o.Versions
	want.FleetAge = math.MaxInt64
	c.Check(sent.Versions, qt.Equals, want)
	c.Check(sent.Call, qt.Equals, o.Call)
	c.Check(h.Get("X-Kept"), qt.Equals, "1")
	c.Check(h.Get("X-Drop")+h.Get("Bulrushlock-Load"), qt.Equals, "")
}

// What a backend server announces reaches the entry with the guard's response.
func TestAnnouncedDepartureIsReported(t *testing.T) {
	for text, want := range map[string]bool{"": false, proto.EndingValue: true, "no": false} {
		c := qt.New(t)
		address, _ := startGuard(c, func(_ int32, r *http.Request, conn net.Conn) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: run\r\n%s: 1/0/7\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
				proto.HeaderTicket, r.Header.Get(proto.HeaderTicket), proto.HeaderOutcome, proto.HeaderLoad, proto.HeaderEnding, text)
		})
		a, err := newExchanger(c).Exchange(context.Background(), newClaim(address, ""))
		c.Assert(err, qt.IsNil)
		c.Check(a.Load.Ending, qt.Equals, want, qt.Commentf("%q", text))
		c.Assert(a.Body.Close(), qt.IsNil)
	}
}

// The limit of a backend server travels in both directions, and one that cannot be parsed is
// taken for a broken response.
func TestLimitOfServerIsExchanged(t *testing.T) {
	tests := []struct {
		text string
		want float64
		ok   bool
	}{{"", 0, true}, {"3.3", 3.3, true}, {"1e+06", 1e6, true}, {"-1", 0, false}, {"NaN", 0, false}, {"x", 0, false}}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			c := qt.New(t)
			sent := make(chan string, 1)
			address, _ := startGuard(c, func(_ int32, r *http.Request, conn net.Conn) {
				sent <- r.Header.Get(proto.HeaderQuota)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: run\r\n%s: 1/0/7\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
					proto.HeaderTicket, r.Header.Get(proto.HeaderTicket), proto.HeaderOutcome, proto.HeaderLoad, proto.HeaderQuota, tt.text)
			})
			claim := newClaim(address, "")
			claim.RateLimit = 0.25
			a, err := newExchanger(c).Exchange(context.Background(), claim)
			c.Check(<-sent, qt.Equals, "0.25")
			c.Assert(err == nil, qt.Equals, tt.ok)
			if tt.ok {
				c.Check(a.Load.RateLimit, qt.Equals, tt.want)
				c.Assert(a.Body.Close(), qt.IsNil)
			}
		})
	}
}

// TestBodyOfRejectedAttemptIsNotSent rejects attempts before their bodies are read. A body that takes
// a slow link long enough to delay others stays with the entry.
func TestBodyOfRejectedAttemptIsNotSent(t *testing.T) {
	c := qt.New(t)
	guards := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(proto.HeaderTicket, r.Header.Get(proto.HeaderTicket))
		w.Header().Set(proto.HeaderOutcome, effect.NotRun.String())
		w.Header().Set(proto.HeaderGuard, proto.FormatNode(guard))
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	c.Cleanup(guards.Close)
	const size = 20_000
	body := strings.NewReader(strings.Repeat("b", size))
	a := newClaim(guards.Listener.Addr(), "")
	a.Body, a.Length = body, size
	response, err := newExchanger(c).Exchange(context.Background(), a)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Check(response.Outcome, qt.Equals, effect.NotRun)
	c.Check(body.Len(), qt.Equals, size)
}
