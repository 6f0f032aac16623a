package intake_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"bulrushlock/io/intake"
)

// smallWindow is the size in bytes of the receive buffer of a client whose link is slow.
const smallWindow = 4 << 10

// longBody doesn't fit into the buffer of such a client.
var longBody = strings.Repeat("0123456789abcdef", 4096)

// dialSmall opens a connection with a small receive window.
func dialSmall(c *qt.C, address string) *net.TCPConn {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindow)
		})
		return errors.Join(err, failed)
	}}
	conn, err := d.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(maxWait)), qt.IsNil)
	return conn.(*net.TCPConn)
}

// readWhole reads a response and checks that it is complete.
func readWhole(c *qt.C, r *bufio.Reader) {
	a, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	c.Check(err, qt.IsNil)
	c.Check(string(body) == longBody, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
}

// TestBytesBehindLastRequestDoNotCutResponse guards against a close that resets a connection on which
// a response is still being delivered.
func TestBytesBehindLastRequestDoNotCutResponse(t *testing.T) {
	for _, tt := range []struct{ name, behind string }{
		{"nothing", ""},
		{"request", get},
		{"several requests", strings.Repeat(get, 20)},
		{"part of a request", get[:len(get)-3]},
		{"request with a body", "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("x", 9000)},
		{"more than is discarded", strings.Repeat(get, 20_000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newSite(t, 2<<20, options, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(100 * time.Millisecond)
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, longBody)
			}))
			conn := dialSmall(c, s.address)
			_, err := io.WriteString(conn, get)
			c.Assert(err, qt.IsNil)
			// These bytes arrive while the request is being handled.
			time.Sleep(20 * time.Millisecond)
			go func() { _, _ = io.WriteString(conn, tt.behind) }()
			time.Sleep(200 * time.Millisecond)
			readWhole(c, bufio.NewReader(conn))
			c.Check(s.requests.Load(), qt.Equals, int64(1))
			c.Assert(conn.Close(), qt.IsNil)
			s.waitUnused(t)
		})
	}
}

// TestRequestAtCloseOfIdleConnectionDoesNotCutResponse guards against a planned stop that resets a
// kept connection on which the last response is still being delivered.
func TestRequestAtCloseOfIdleConnectionDoesNotCutResponse(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := newSite(t, 2<<20, options, echo)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, longBody)
	})}
	go func() { _ = server.Serve(s.intake.Listen(l, options)) }()
	conn := dialSmall(c, l.Addr().String())
	_, err = io.WriteString(conn, get)
	c.Assert(err, qt.IsNil)
	// The response is over for the server, and most of it hasn't been sent.
	time.Sleep(200 * time.Millisecond)
	c.Assert(server.Shutdown(context.Background()), qt.IsNil)
	_, err = io.WriteString(conn, get)
	c.Assert(err, qt.IsNil)
	readWhole(c, bufio.NewReader(conn))
	c.Assert(conn.Close(), qt.IsNil)
	s.intake.Wait()
	s.waitUnused(t)
}

// TestWaitEndsDespiteSilentClient closes a connection whose client neither reads nor closes its side.
// Wait gives it time, but not without a limit.
func TestWaitEndsDespiteSilentClient(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 2<<20, options, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, longBody)
	}))
	conn := dialSmall(c, s.address)
	_, err := io.WriteString(conn, get+get)
	c.Assert(err, qt.IsNil)
	time.Sleep(200 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.intake.Wait()
	}()
	select {
	case <-done:
		c.Fatal("the process ends while a response is being delivered")
	case <-time.After(200 * time.Millisecond):
	}
	select {
	case <-done:
	case <-time.After(maxWait):
		c.Fatal("a silent client holds up the end of the process")
	}
	s.waitUnused(t)
}

// TestClosedConnectionsMakeRoom opens connections to a full listener whose clients keep theirs open
// after the last response.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	c := qt.New(t)
	s := newSite(t, 2<<20, intake.ListenerOptions{Name: "callers", Connections: 2}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, longBody)
	}))
	for range 20 {
		conn := dialSmall(c, s.address)
		_, err := io.WriteString(conn, get+get)
		c.Assert(err, qt.IsNil)
		_, err = io.ReadFull(conn, make([]byte, 15))
		c.Assert(err, qt.IsNil)
	}
}
