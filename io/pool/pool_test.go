package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// startServer starts a server that calls serve with each request and its
// connection. It returns the server's URL and a function that counts the
// requests read.
func startServer(c *qt.C, serve func(n int32, r *http.Request, conn net.Conn)) (url string, requests func() int32) {
	s, err := fake.NewRawServer(serve)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return "http://" + s.Addr().String(), s.Requests
}

// send sends one request with a body and returns the body of the response.
func send(c *qt.C, t *Transport, url string) (string, error) {
	r, err := http.NewRequest(http.MethodPost, url, io.MultiReader(strings.NewReader("body")))
	c.Assert(err, qt.IsNil)
	a, err := t.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// responseText returns a complete HTTP response with the given body.
func responseText(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newTransport returns a transport that reuses connections.
func newTransport(c *qt.C) *Transport {
	t := New(&net.Dialer{Timeout: time.Second}, Options{MaxIdle: 4, IdleTimeout: time.Minute})
	c.Cleanup(t.Close)
	return t
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	first := make(chan net.Conn, 1)
	url, requests := startServer(c, func(n int32, _ *http.Request, conn net.Conn) {
		if n == 1 {
			first <- conn
		}
		_, _ = io.WriteString(conn, responseText("ok"))
	})
	tr := newTransport(c)
	for range 20 {
		body, err := send(c, tr, url)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert((<-first).Close(), qt.IsNil)
	c.Check(requests(), qt.Equals, int32(20))
}

func TestRefusedConnectionIsUnsent(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(l.Close(), qt.IsNil)
	_, err = send(c, newTransport(c), "http://"+l.Addr().String())
	var unsent *UnsentError
	c.Check(errors.As(err, &unsent), qt.IsTrue)
}

func TestRequestThatWasReadIsNeverUnsent(t *testing.T) {
	c := qt.New(t)
	url, requests := startServer(c, func(n int32, _ *http.Request, conn net.Conn) {
		if n == 1 {
			_, _ = io.WriteString(conn, responseText("ok"))
			return
		}
		_ = conn.Close()
	})
	tr := newTransport(c)
	_, err := send(c, tr, url)
	c.Assert(err, qt.IsNil)
	_, err = send(c, tr, url)
	var unsent *UnsentError
	c.Check(err, qt.IsNotNil)
	c.Check(errors.As(err, &unsent), qt.IsFalse)
	c.Check(requests(), qt.Equals, int32(2))
}

// newPair returns a connection of a transport and its remote end.
func newPair(c *qt.C) (*conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	near, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	far, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return newConn(near, l.Addr().String()), far
}

// awaitReadable waits until data or a close has arrived on a connection.
func awaitReadable(c *qt.C, w *conn) {
	for range 10_000 {
		if w.isReadable() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatal("no data or close has arrived on the connection")
}

func TestReadableConnectionIsNotReused(t *testing.T) {
	tests := []struct {
		name string
		do   func(far net.Conn) error
	}{
		{"bytes", func(far net.Conn) error {
			_, err := far.Write([]byte("x"))
			return err
		}},
		{"close", func(far net.Conn) error { return far.Close() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tr := newTransport(c)
			w, far := newPair(c)
			tr.putIdle(w)
			c.Assert(tt.do(far), qt.IsNil)
			awaitReadable(c, w)
			c.Check(tr.takeIdle(w.address, time.Minute), qt.IsNil)
			_, err := w.Write([]byte("late"))
			c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
		})
	}
}

func TestAtMostOnceRequestSkipsLongIdleConnection(t *testing.T) {
	c := qt.New(t)
	tr := newTransport(c)
	w, _ := newPair(c)
	tr.putIdle(w)
	w.idleSince = time.Now().Add(-2 * maxAtMostOnceIdle)
	c.Check(tr.takeIdle(w.address, maxAtMostOnceIdle), qt.IsNil)
	c.Check(tr.takeIdle(w.address, time.Minute), qt.Equals, w)
}

// A backend server may send a late response where the response to the next
// request is due.
func TestMismatchedResponseIsSkipped(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	named := func(name, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", name, len(body), body)
	}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		b := bufio.NewReader(conn)
		for before := "none"; ; {
			r, err := http.ReadRequest(b)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			_, _ = io.WriteString(conn, named(before, "late "+before)+named(id, id))
			before = id
		}
	}()
	tr := New(&net.Dialer{}, Options{MaxIdle: 4, IdleTimeout: time.Minute, Match: func(r *http.Request, a *http.Response) bool {
		return r.Header.Get("Id") == a.Header.Get("Id")
	}})
	c.Cleanup(tr.Close)
	for i := range 10 {
		r, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String(), http.NoBody)
		c.Assert(err, qt.IsNil)
		r.Header.Set("Id", fmt.Sprint(i))
		a, err := tr.RoundTrip(r)
		c.Assert(err, qt.IsNil)
		got, err := io.ReadAll(a.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
		c.Assert(string(got), qt.Equals, fmt.Sprint(i))
	}
}

// A response without a length is complete if its connection ends in order, and
// an error if it is reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			c := qt.New(t)
			url, _ := startServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			body, err := send(c, newTransport(c), url)
			c.Check(err != nil, qt.Equals, reset)
			if !reset {
				c.Check(body, qt.Equals, "half")
			}
		})
	}
}

// A server may respond before it has read a long body. It must not receive
// another request on that connection, where it expects the rest of the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	connections := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections <- conn
			go func() {
				b := bufio.NewReader(conn)
				if _, err := http.ReadRequest(b); err != nil {
					return
				}
				_, _ = io.WriteString(conn, responseText("early"))
			}()
		}
	}()
	tr := newTransport(c)
	never, stop := io.Pipe()
	defer func() { _ = stop.Close() }()
	r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String(), never)
	c.Assert(err, qt.IsNil)
	r.ContentLength = 1 << 20
	a, err := tr.RoundTrip(r)
	c.Assert(err, qt.IsNil)
	got, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
	c.Check(string(got), qt.Equals, "early")
	got2, err := send(c, tr, "http://"+l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Check(got2, qt.Equals, "early")
	c.Check(len(connections), qt.Equals, 2)
}

// Cancelling a request closes its connection, so that the server stops its
// work.
func TestCancelledRequestClosesItsConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{})
	url, _ := startServer(c, func(_ int32, _ *http.Request, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	c.Assert(err, qt.IsNil)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = newTransport(c).RoundTrip(r) //nolint:bodyclose // There is no response.
	c.Assert(errors.Is(err, context.Canceled), qt.IsTrue)
	<-closed
}

// Unsolicited data on an idle connection must not fail the next request: the
// request goes out on another connection.
func TestUnsentRequestMovesToAnotherConnection(t *testing.T) {
	c := qt.New(t)
	url, requests := startServer(c, func(n int32, _ *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, responseText("ok")+responseText("stray"))
	})
	tr := newTransport(c)
	for range 200 {
		got, err := send(c, tr, url)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "ok")
	}
	c.Check(requests(), qt.Equals, int32(200))
}
