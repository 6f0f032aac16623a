package test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The node rejects the requests for their paths without a look at their bodies, which don't come and
// are too long to be buffered, but not too long for the server to wait for them.
func TestCrowdOfRejectedRequestsWithoutBodies(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: "POST /lines/../a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n", held: true})
}

// TestRequestsWithoutBodiesLeaveRoom opens connections whose requests have bodies that don't come to the
// listeners that buffer no bodies. Each listener still serves others.
func TestRequestsWithoutBodiesLeaveRoom(t *testing.T) {
	n := newCrowdNode(t)
	for _, tt := range []struct {
		name    string
		address netip.AddrPort
	}{{"nodes", n.nodes}, {"operators", n.operators}, {"ready", n.ready}} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			dial := func(text string) net.Conn {
				conn, err := net.DialTimeout("tcp", tt.address.String(), maxWait)
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = conn.Close() })
				_, err = io.WriteString(conn, text)
				c.Assert(err, qt.IsNil)
				return conn
			}
			const silent = 100
			for range silent {
				dial("POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
			}
			time.Sleep(time.Second)
			conn := dial("GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
			c.Assert(conn.SetDeadline(time.Now().Add(maxWait/2)), qt.IsNil)
			a, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(a.Body.Close(), qt.IsNil)
		})
	}
}

// TestNodeStopsDespiteRequestWithoutBody stops a node with a client whose body doesn't come.
func TestNodeStopsDespiteRequestWithoutBody(t *testing.T) {
	n := newCrowdNode(t)
	conn, err := net.DialTimeout("tcp", n.callers.String(), maxWait)
	n.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /lines/../a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
	n.c.Assert(err, qt.IsNil)
	time.Sleep(time.Second)
	n.process.signal(n.c, syscall.SIGTERM)
	waitUntil(n.c, "the node has stopped", n.process.hasEnded)
}
