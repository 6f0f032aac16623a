package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/nested"
	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// rawResponse is a response as read from its connection.
type rawResponse struct {
	status int
	header http.Header
	body   string
}

// sendRaw sends the text of a request on a new connection and reads the final response.
func (s *system) sendRaw(a netip.AddrPort, text string) rawResponse {
	s.c.Helper()
	conn, err := net.Dial("tcp", a.String())
	s.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	s.c.Assert(conn.SetDeadline(time.Now().Add(maxWait)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	s.c.Assert(err, qt.IsNil)
	b := bufio.NewReader(conn)
	for {
		r, err := http.ReadResponse(b, nil)
		s.c.Assert(err, qt.IsNil)
		if r.StatusCode < http.StatusOK {
			continue
		}
		body, _ := io.ReadAll(r.Body)
		s.c.Assert(r.Body.Close(), qt.IsNil)
		return rawResponse{status: r.StatusCode, header: r.Header, body: string(body)}
	}
}

func TestInvalidRequestsAreRejectedAndDoNotRun(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	long := strings.Repeat("x", 200_000)
	tests := []struct {
		name, text, outcome, reason string
		status                      int
	}{
		{"upgrade", "GET /lines/bad HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n", "not-run", "upgrade", 501},
		{"connect", "CONNECT 127.0.0.1:1 HTTP/1.1\r\nHost: a\r\n", "not-run", "upgrade", 501},
		{"long id", "GET /lines/bad HTTP/1.1\r\nHost: a\r\nBulrushlock-Id: " + long[:200] + "\r\n", "not-run", "header", 400},
		{"old protocol", "GET /lines/bad HTTP/1.0\r\nHost: a\r\n", "not-run", "version", 505},
		{"ticket", "POST /claims HTTP/1.1\r\nHost: a\r\nBulrushlock-Ticket: a.b.c\r\n", "not-run", "header", 400},
		{"call", "POST /claims HTTP/1.1\r\nHost: a\r\nBulrushlock-Call: deep\r\n", "not-run", "header", 400},
		{"nested too deep", "POST /claims HTTP/1.1\r\nHost: a\r\nBulrushlock-Call: 19/1s\r\n", "not-run", "depth", 508},
		{"no time left", "POST /claims HTTP/1.1\r\nHost: a\r\nBulrushlock-Call: 1/0s\r\n", "not-run", "deadline", 504},
		{"no route", "POST /lines/bad HTTP/1.1\r\nHost: a\r\n", "not-run", "route", 404},
		{"no path", "OPTIONS * HTTP/1.1\r\nHost: a\r\n", "not-run", "route", 404},
		{"path with dots", "GET /lines/%2e%2E/claims HTTP/1.1\r\nHost: a\r\n", "not-run", "path", 400},
		{"path that ends in a dot", "GET /lines/. HTTP/1.1\r\nHost: a\r\n", "not-run", "path", 400},
		{"long body", "POST /claims HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n", "not-run", "body", 413},
		{"long chunked body", "POST /claims HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n", "unknown|not-run", "body", 413},
		{"two lengths", "POST /claims HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n", "", "", 400},
		{"malformed request", "claims\r\n", "", "", 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			text := tt.text + "Id: bad\r\n\r\n"
			if strings.Contains(text, "chunked") {
				text += fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)
			}
			r := s.sendRaw(s.instances[0].callers, text)
			c.Check(r.status, qt.Equals, tt.status, qt.Commentf("%s", r.body))
			c.Check(r.header.Get("Bulrushlock-Outcome"), qt.Matches, tt.outcome)
			if tt.reason != "" {
				c.Check(r.header.Get("Bulrushlock-Reason"), qt.Equals, tt.reason)
			}
		})
	}
	c.Check(s.runsOf("bad"), qt.Equals, 0)
	for i := range s.instances {
		status, err := s.status(i)
		c.Assert(err, qt.IsNil)
		c.Check(status.CloseReason, qt.Equals, "")
	}
}

func TestAbsoluteTargetIsServedByPath(t *testing.T) {
	s := newSystem(t, options{})
	for i := range s.instances {
		r := s.sendRaw(s.instances[i].callers, "GET http://elsewhere/lines/far?a=b HTTP/1.1\r\nHost: a\r\nId: far\r\n\r\n")
		s.c.Check(r.header.Get("Bulrushlock-Outcome"), qt.Equals, "run", qt.Commentf("%s", r.body))
		s.c.Check(r.body, qt.Contains, `"path":"/lines/far?a=b"`)
	}
}

func TestNodeListenerServesOnlyAttemptsForItsNode(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	n := s.instances[1]
	r := s.sendRaw(n.nodes, "POST /claims HTTP/1.1\r\nHost: a\r\nId: plain\r\nContent-Length: 0\r\n\r\n")
	c.Check(r.status, qt.Equals, http.StatusBadRequest)
	a := s.send(0, claim("real", ""))
	known, err := ticket.Parse(a.ticket)
	c.Assert(err, qt.IsNil)
	status, err := s.status(1)
	c.Assert(err, qt.IsNil)
	var incarnation uint64
	_, err = fmt.Sscanf(status.Incarnation, "%x", &incarnation)
	c.Assert(err, qt.IsNil)
	good := ticket.Ticket{
		Entry: known.Entry, Sequence: 1 << 40, Guard: ticket.NodeID{Instance: n.name, Incarnation: incarnation}, Service: n.service,
	}
	tests := []struct {
		name   string
		change func(*ticket.Ticket)
		reason string
	}{
		{"instance", func(t *ticket.Ticket) { t.Guard.Instance = "desk-3" }, "address"},
		{"service", func(t *ticket.Ticket) { t.Service = "ledger" }, "address"},
		{"life", func(t *ticket.Ticket) { t.Guard.Incarnation++ }, "life"},
		{"none", func(*ticket.Ticket) {}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			addressed := good
			tt.change(&addressed)
			o := proto.Attempt{Ticket: addressed, Call: nested.Limits{Depth: 1, TimeLeft: time.Second}, HeaderTimeout: time.Second}
			r := s.sendRaw(n.nodes, fmt.Sprintf("POST /claims HTTP/1.1\r\nHost: a\r\nId: reused-%s\r\nContent-Length: 0\r\n"+
				"%s: %v\r\n%s: %v\r\n%s: %s\r\n%s: %s\r\n\r\n", tt.name, proto.HeaderTicket, o.Ticket, proto.HeaderCall, o.Call,
				proto.HeaderVersions, proto.FormatVersions(o.Versions), proto.HeaderAttempt, proto.FormatAttempt(o)))
			want := "not-run"
			if tt.reason == "" {
				want = "run"
			}
			c.Check(r.header.Get(proto.HeaderOutcome), qt.Equals, want)
			c.Check(r.header.Get(proto.HeaderReason), qt.Equals, tt.reason)
			c.Check(s.runsAt(1, "reused-"+tt.name) == 1, qt.Equals, want == "run")
		})
	}
}

func TestServerGetsOnlyEndToEndHeadersOfCaller(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	n := s.instances[0]
	n.serverProcess.kill()
	seen := make(chan http.Header, 16)
	l, err := net.Listen("tcp", n.serverAddress.String())
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/lines/") {
			seen <- r.Header
		}
		w.Header().Set("Bulrushlock-Outcome", "not-run")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-Kept", "yes")
		_, _ = io.WriteString(w, `{"state":"warm"}`)
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	for entry := range s.instances {
		var r rawResponse
		waitUntil(c, "lookup runs", func() bool {
			r = s.sendRaw(s.instances[entry].callers, "GET /lines/a HTTP/1.1\r\nHost: desk.example\r\nX-Kept: yes\r\n"+
				"Connection: X-Drop, keep-alive\r\nX-Drop: 1\r\nKeep-Alive: 5\r\nProxy-Authorization: x\r\nTE: trailers\r\n"+
				"Bulrushlock-Attempt: no/1/1/no/1\r\nBulrushlock-Versions: 9.9.9.9.1\r\nbulrushlock-key: k\r\nBulrushlock-Call: 2/3s\r\n\r\n")
			return r.header.Get("Bulrushlock-Outcome") == "run"
		})
		c.Check(r.header.Get("X-Kept"), qt.Equals, "yes")
		c.Check(r.header.Get("X-Hop"), qt.Equals, "")
		h := <-seen
		c.Check(h.Get("X-Kept"), qt.Equals, "yes")
		for _, name := range []string{"X-Drop", "Keep-Alive", "Proxy-Authorization", "Te", "Connection"} {
			c.Check(h.Get(name), qt.Equals, "", qt.Commentf("%s", name))
		}
		for name := range h {
			c.Check(strings.HasPrefix(name, "Bulrushlock-") && name != "Bulrushlock-Call" && name != "Bulrushlock-Id", qt.IsFalse, qt.Commentf("%s", name))
		}
		c.Check(h["Bulrushlock-Id"], qt.DeepEquals, r.header["Bulrushlock-Id"])
		c.Check(h["Bulrushlock-Id"], qt.HasLen, 1)
		call, err := nested.Parse(h.Get("Bulrushlock-Call"))
		c.Check(err, qt.IsNil)
		c.Check(call.Depth, qt.Equals, 3)
		c.Check(call.RetryForbidden, qt.IsTrue)
	}
}

func TestFirstLargeUploadToAGuardRuns(t *testing.T) {
	s := newSystem(t, options{})
	for i := range s.instances {
		r := claim(fmt.Sprintf("large-%d", i), "")
		r.body = strings.Repeat("x", 90<<10)
		a := s.send(i, r)
		s.c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		s.c.Check(s.runsOf(r.id), qt.Equals, 1)
	}
}
