package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/io/fake"
	"bulrushlock/io/proto"
)

// uploadRules give a backend server one slot, so that any request that takes it keeps out all others.
const uploadRules = `
service filing slots=1 cold=1 warm=1   # Test: one slot
route POST /files service=filing idempotent=no upload=yes body=2MB time=5s   # Test: uploads
route POST /plain service=filing idempotent=no body=2MB time=5s   # Test: large bodies that are no uploads
route GET /lines service=filing idempotent=yes time=5s   # Test: lookups
route * /new/* idempotent=no refuse=yes   # Test: not served
`

// uploadServer is a backend server that keeps the bodies that it receives.
type uploadServer struct {
	address netip.AddrPort
	// requests counts all requests that have begun.
	requests atomic.Int32
	bodies   chan receivedBody
	calls    chan string
}

// newUploadServer starts a backend server that answers each request once it has read the body.
func newUploadServer(c *qt.C) *uploadServer {
	s := &uploadServer{bodies: make(chan receivedBody, 8), calls: make(chan string, 8)}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		body, err := io.ReadAll(r.Body)
		if r.Method == http.MethodPost {
			s.bodies <- receivedBody{bytes: body, err: err}
			s.calls <- r.Header.Get(proto.HeaderCall)
		}
	}))
	c.Cleanup(server.Close)
	s.address = addressOf(server)
	return s
}

// uploadCaller is a raw connection of a caller.
type uploadCaller struct {
	net.Conn
	reader *bufio.Reader
}

// newUploadCaller connects to a node beside s, or to one beside another server if nodes is 2, that has
// the given memory in bytes for uploads.
func newUploadCaller(c *qt.C, s *uploadServer, nodes int, hold int64) (uploadCaller, testNode) {
	n := newTestNodes(c, uploadRules, s.address, nodes, Options{HoldBytes: hold})
	return dialUpload(c, n), n
}

// dialUpload opens another connection to n.
func dialUpload(c *qt.C, n testNode) uploadCaller {
	conn, err := net.Dial("tcp", addressOf(n.callers).String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(hangTime)), qt.IsNil)
	return uploadCaller{Conn: conn, reader: bufio.NewReader(conn)}
}

// send writes text.
func (u uploadCaller) send(c *qt.C, format string, args ...any) {
	_, err := fmt.Fprintf(u, format, args...)
	c.Assert(err, qt.IsNil)
}

// receive reads the final response.
func (u uploadCaller) receive(c *qt.C) receivedResponse {
	r := readFinalResponse(c, u.reader)
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	if r.Close {
		// ReadResponse takes it out of the header.
		r.Header.Set("Connection", "close")
	}
	return receivedResponse{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength, Body: string(body)}
}

// An upload must not take a slot while its body arrives, and must arrive whole.
func TestUploadTakesItsSlotWhenItIsComplete(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		for _, chunked := range []bool{false, true} {
			for _, size := range []int{1, 60_000, 360_000, 1_600_000} {
				t.Run(fmt.Sprintf("%d nodes, chunked %v, %d bytes", nodes, chunked, size), func(t *testing.T) {
					c := qt.New(t)
					s := newUploadServer(c)
					u, n := newUploadCaller(c, s, nodes, 8<<20)
					body := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
					half := size / 2
					if size > maxHeldBody {
						half = maxHeldBody / 2
					}
					if chunked {
						u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, body[:half])
					} else {
						u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n%s", size, body[:half])
					}
					lookup := dialUpload(c, n)
					lookup.send(c, "GET /lines HTTP/1.1\r\nHost: desk\r\n\r\n")
					c.Assert(lookup.receive(c).Status, qt.Equals, http.StatusOK)
					c.Assert(s.requests.Load(), qt.Equals, int32(1))

					u.send(c, "%s", body[half:])
					if chunked {
						u.send(c, "\r\n0\r\n\r\n")
					}
					c.Assert(u.receive(c).Status, qt.Equals, http.StatusOK)
					got := <-s.bodies
					c.Assert(got.err, qt.IsNil)
					c.Assert(bytes.Equal(got.bytes, body), qt.IsTrue, qt.Commentf("%d bytes", len(got.bytes)))
				})
			}
		}
	}
}

// A refusal must come before the body, whether or not the caller waits to be told to send it, and the
// response must reach a caller that sends on.
func TestUploadIsRefusedBeforeItsBody(t *testing.T) {
	for _, tt := range []struct {
		name, head, reason string
		status             int
	}{
		{"no memory", "POST /files HTTP/1.1\r\nContent-Length: 360000", "memory", 503},
		{"no memory, expects", "POST /files HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 360000", "memory", 503},
		{"too large", "POST /files HTTP/1.1\r\nContent-Length: 3000000", "body", 413},
		{"too large, expects", "POST /files HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3000000", "body", 413},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newUploadServer(c)
			u, n := newUploadCaller(c, s, 1, 400_000)
			other := dialUpload(c, n)
			other.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nContent-Length: 360000\r\n\r\nfirst")
			time.Sleep(uploadPause)
			u.send(c, "%s\r\nHost: desk\r\n\r\n", tt.head)
			line, err := u.reader.Peek(12)
			c.Assert(err, qt.IsNil)
			c.Assert(string(line), qt.Equals, fmt.Sprintf("HTTP/1.1 %d", tt.status))
			r := u.receive(c)
			c.Check(r.Header.Get(proto.HeaderReason), qt.Equals, tt.reason)
			c.Check(r.Header.Get(proto.HeaderOutcome), qt.Equals, effect.NotRun.String())
			c.Check(r.Header.Get("Connection"), qt.Equals, "close")
			c.Check(s.requests.Load(), qt.Equals, int32(0))

			// The memory is free once the first has ended.
			c.Assert(other.Close(), qt.IsNil)
			waitForUpload(c, n)
		})
	}
}

// waitForUpload sends uploads until one is served.
func waitForUpload(c *qt.C, n testNode) {
	for end := time.Now().Add(hangTime); ; time.Sleep(uploadPause) {
		u := dialUpload(c, n)
		u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nContent-Length: 360000\r\n\r\n%s", strings.Repeat("x", 360_000))
		if r := u.receive(c); r.Status == http.StatusOK {
			return
		}
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no upload is served"))
	}
}

// A body that is not complete at the deadline has not run and never will, and one that is in time is
// sent with the time that is left.
func TestUploadKeepsItsDeadline(t *testing.T) {
	t.Run("late", func(t *testing.T) {
		c := qt.New(t)
		s := newUploadServer(c)
		u, _ := newUploadCaller(c, s, 1, 8<<20)
		u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nBulrushlock-Call: 0/200ms\r\nContent-Length: 360000\r\n\r\nhalf")
		r := u.receive(c)
		c.Check(r.Status, qt.Equals, http.StatusGatewayTimeout)
		c.Check(r.Header.Get(proto.HeaderOutcome), qt.Equals, effect.NotRun.String())
		c.Check(r.Header.Get(proto.HeaderReason), qt.Equals, "deadline")
		c.Check(s.requests.Load(), qt.Equals, int32(0))
	})
	for _, path := range []string{"/files", "/plain"} {
		t.Run("in time, "+path, func(t *testing.T) {
			c := qt.New(t)
			s := newUploadServer(c)
			u, _ := newUploadCaller(c, s, 1, 8<<20)
			u.send(c, "POST %s HTTP/1.1\r\nHost: desk\r\nBulrushlock-Call: 0/4s\r\nContent-Length: 8\r\n\r\nhalf", path)
			const pause = 500 * time.Millisecond
			time.Sleep(pause)
			u.send(c, "half")
			c.Assert(u.receive(c).Status, qt.Equals, http.StatusOK)
			text := <-s.calls
			left, err := time.ParseDuration(strings.Split(text, "/")[1])
			c.Assert(err, qt.IsNil)
			c.Check(left <= 4*time.Second-pause, qt.IsTrue, qt.Commentf("%v left", left))
		})
	}
}

// A caller that leaves within its body has run nothing.
func TestUploadOfCallerThatLeaves(t *testing.T) {
	c := qt.New(t)
	s := newUploadServer(c)
	u, n := newUploadCaller(c, s, 1, 400_000)
	u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nContent-Length: 360000\r\n\r\n%s", strings.Repeat("x", 100_000))
	c.Assert(u.Close(), qt.IsNil)
	waitForUpload(c, n)
	c.Assert(len(s.bodies), qt.Equals, 1)
}

// A backend server that breaks off leaves an upload with an unknown outcome, and no other gets it.
func TestUploadRunsAtMostOnce(t *testing.T) {
	for _, nodes := range []int{1, 2} {
		c := qt.New(t)
		s := &uploadServer{}
		server, err := fake.NewRawServer(func(_ int32, r *http.Request, conn net.Conn) {
			s.requests.Add(1)
			_, _ = io.ReadAll(r.Body)
			_ = conn.Close()
		})
		c.Assert(err, qt.IsNil)
		s.address = netip.MustParseAddrPort(server.Addr().String())
		u, _ := newUploadCaller(c, s, nodes, 8<<20)
		u.send(c, "POST /files HTTP/1.1\r\nHost: desk\r\nContent-Length: 360000\r\n\r\n%s", strings.Repeat("x", 360_000))
		r := u.receive(c)
		c.Check(r.Header.Get(proto.HeaderOutcome), qt.Equals, effect.Unknown.String())
		c.Check(s.requests.Load(), qt.Equals, int32(1))
		c.Assert(server.Close(), qt.IsNil)
	}
}

// Requests of a route that cannot be served are told that they have not run.
func TestRefusedRouteRunsNothing(t *testing.T) {
	c := qt.New(t)
	s := newUploadServer(c)
	u, _ := newUploadCaller(c, s, 1, 8<<20)
	u.send(c, "POST /new/1 HTTP/1.1\r\nHost: desk\r\nContent-Length: 4\r\n\r\nbody")
	r := u.receive(c)
	c.Check(r.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(r.Header.Get(proto.HeaderOutcome), qt.Equals, effect.NotRun.String())
	c.Check(r.Header.Get(proto.HeaderReason), qt.Equals, "kind")
	c.Check(s.requests.Load(), qt.Equals, int32(0))
}
