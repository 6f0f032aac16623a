package front

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/shaper"
	"bulrushlock/core/ticket"
	"bulrushlock/io/egress"
	"bulrushlock/io/gate"
	"bulrushlock/io/loop"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
	"bulrushlock/io/remote"
	"bulrushlock/io/wire"
)

const testRules = `
service filing slots=10 cold=10 warm=1   # Test: one service
route * /claims service=filing idempotent=no body=200KB   # Test: claims
route * /lines/* service=filing idempotent=yes body=200KB   # Test: lookups
budget hedge=0%   # Test: one attempt each
`

// testNode holds the listeners of a node's entry and guard, run within the test
// process.
type testNode struct {
	callers, nodes *httptest.Server
	// loops are the loop of the node and that of the node that it forwards to, if any.
	loops []*loop.Loop
}

// publish gives the node, and the one that it forwards to, a version of the rules.
func (n testNode) publish(rules string, revision uint64) {
	for _, l := range slices.Backward(n.loops) {
		l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: rules, Revision: revision})
	}
}

// newTestNode returns a node of the given name whose guard serves the backend
// server at server. Its instance list maps filing-1 to the guard at nodes, or
// to its own guard if nodes is zero.
func newTestNode(c *qt.C, name string, server netip.AddrPort, nodes netip.AddrPort) testNode {
	return newTestNodeWith(c, testRules, name, server, nodes)
}

// newTestNodeWith is newTestNode with other rules.
func newTestNodeWith(c *qt.C, rules, name string, server netip.AddrPort, nodes netip.AddrPort) testNode {
	return newTestNodeOptions(c, rules, name, server, nodes, Options{})
}

// newTestNodeOptions is newTestNodeWith with options for callers. Nodes without tickets take responses
// that end with their connection, as those on a platform do.
func newTestNodeOptions(c *qt.C, rules, name string, server, nodes netip.AddrPort, o Options) testNode {
	self := ticket.NodeID{Instance: name, Incarnation: 1}
	n := node.New(node.Config{Instance: name, Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
	l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
	c.Cleanup(l.Stop)
	transport := pool.New(&net.Dialer{}, pool.Options{MaxIdle: 8, IdleTimeout: time.Minute, Match: func(r *http.Request, a *http.Response) bool {
		return proto.Plain{}.Matches(r.Header, a.Header)
	}})
	c.Cleanup(transport.Close)
	writer := egress.New(shaper.New(0))
	g := gate.New(l, gate.Options{Node: self, Server: server, Transport: transport, Egress: writer, AcceptCloseDelimited: o.HideTickets})
	k := remote.New(l, &net.Dialer{})
	c.Cleanup(k.Close)
	w := wire.New(l, self, netip.AddrPort{}, (&net.Dialer{}).DialContext)
	o.Local, o.Remote, o.Querier, o.Scope, o.Egress = g, k, w, tally.NoopScope, writer
	p := testNode{
		loops:   []*loop.Loop{l},
		callers: httptest.NewServer(New(l, o)),
		nodes:   httptest.NewServer(g),
	}
	c.Cleanup(p.callers.Close)
	c.Cleanup(p.nodes.Close)
	if !nodes.IsValid() {
		nodes = addressOf(p.nodes)
	}
	text, err := fleet.Format([]fleet.Instance{
		{Name: "filing-1", Centre: "north", Service: "filing", ForwardAddr: nodes, ControlAddr: nodes},
	})
	c.Assert(err, qt.IsNil)
	p.publish(rules, 1)
	l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: text, Revision: 1})
	return p
}

// newTestNodes returns a node that reaches the backend server at server over the given number of nodes,
// one or two.
func newTestNodes(c *qt.C, rules string, server netip.AddrPort, nodes int, o Options) testNode {
	n := newTestNodeOptions(c, rules, "filing-1", server, netip.AddrPort{}, o)
	if nodes == 2 {
		guard := n
		n = newTestNodeOptions(c, rules, "desk-1", server, addressOf(guard.nodes), o)
		n.loops = append(n.loops, guard.loops...)
	}
	return n
}

// addressOf returns the address of a server.
func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// serveByQuery is a backend server whose response is set by the query.
func serveByQuery(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	h := w.Header()
	h.Set("Content-Type", "text/x-test")
	h.Set("Got", fmt.Sprintf("%s %s %s %d %s", r.Method, r.URL.RequestURI(), r.Host, len(body), r.Header.Get("Accept-Encoding")))
	h.Add("Set-Cookie", "a=1")
	h.Add("Set-Cookie", "b=2")
	if q.Has("zip") {
		h.Set("Content-Encoding", "gzip")
	}
	if q.Has("early") {
		w.WriteHeader(http.StatusEarlyHints)
	}
	size, _ := strconv.Atoi(q.Get("size"))
	if !q.Has("chunked") {
		h.Set("Content-Length", strconv.Itoa(size))
	}
	if status, err := strconv.Atoi(q.Get("status")); err == nil {
		if status == http.StatusNoContent || status == http.StatusNotModified {
			h.Del("Content-Length")
		}
		w.WriteHeader(status)
	}
	_ = http.NewResponseController(w).Flush()
	_, _ = io.WriteString(w, strings.Repeat("x", size))
}

// receivedResponse is a response as its caller receives it.
type receivedResponse struct {
	Status int
	Header http.Header
	Length int64
	Body   string
}

// sendRequest sends a request to base and returns the response.
func sendRequest(c *qt.C, base, method, target, body string) receivedResponse {
	r, err := http.NewRequest(method, base+target, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	r.Host = "desk.example"
	r.Header.Set("Accept-Encoding", "br")
	a, err := http.DefaultTransport.RoundTrip(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil, qt.Commentf("%s %s%s: %d of %d", method, base, target, len(text), a.ContentLength))
	a.Header.Del("Date")
	for name := range a.Header {
		if strings.HasPrefix(name, "Bulrushlock-") {
			a.Header.Del(name)
		}
	}
	return receivedResponse{Status: a.StatusCode, Header: a.Header, Length: a.ContentLength, Body: string(text)}
}

// A caller must receive the backend server's response unchanged, through one
// node or two.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(serveByQuery))
	c.Cleanup(server.Close)
	one := newTestNode(c, "filing-1", addressOf(server), netip.AddrPort{})
	two := newTestNode(c, "desk-1", addressOf(server), addressOf(one.nodes))
	queries := []string{
		"size=0", "size=10", "size=10&chunked", "chunked", "size=70000", "size=70000&chunked", "size=3000000",
		"size=3000000&chunked", "status=204", "status=304", "status=302&size=5", "status=404&size=5", "status=500&size=5",
		"status=503&size=5", "zip&size=10", "early&size=10", "size=1&a=%2F%20b&&c",
	}
	for _, query := range queries {
		for _, kind := range []string{"GET /lines/a%2fb", "HEAD /lines/a", "POST /claims", "GET /claims", "PUT /lines/a", "DELETE /claims"} {
			method, path, _ := strings.Cut(kind, " ")
			body := ""
			if method == http.MethodPost || method == http.MethodPut {
				body = strings.Repeat("y", 100+len(query)*1000)
			}
			want := sendRequest(c, server.URL, method, path+"?"+query, body)
			for name, base := range map[string]string{"one node": one.callers.URL, "two nodes": two.callers.URL} {
				got := sendRequest(c, base, method, path+"?"+query, body)
				c.Check(got.Body == want.Body, qt.IsTrue, qt.Commentf("%s?%s over %s: %d bytes", kind, query, name, len(got.Body)))
				expected := want
				if want.Length < 0 {
					// A node may add a length to a short response.
					got.Header.Del("Content-Length")
					got.Length = want.Length
				}
				got.Body, expected.Body = "", ""
				c.Check(got, qt.DeepEquals, expected, qt.Commentf("%s?%s over %s", kind, query, name))
			}
		}
	}
}
