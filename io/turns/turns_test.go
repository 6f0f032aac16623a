package turns

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serve starts a server that calls answer with each request and its connection,
// and returns its URL and the number of requests that it has read.
func serve(c *qt.C, answer func(n int32, conn net.Conn)) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answer(requests.Add(1), conn)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), &requests
}

// send sends one request with a body and returns the body of its answer.
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

// text returns a whole answer with the given body.
func text(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newTransport returns a transport that keeps connections.
func newTransport(c *qt.C) *Transport {
	t := New(&net.Dialer{Timeout: time.Second}, 4, time.Minute)
	c.Cleanup(t.Close)
	return t
}

func TestConnectionIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	first := make(chan net.Conn, 1)
	url, requests := serve(c, func(n int32, conn net.Conn) {
		if n == 1 {
			first <- conn
		}
		_, _ = io.WriteString(conn, text("ok"))
	})
	tr := newTransport(c)
	for range 20 {
		body, err := send(c, tr, url)
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "ok")
	}
	c.Assert((<-first).Close(), qt.IsNil)
	c.Check(requests.Load(), qt.Equals, int32(20))
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
	url, requests := serve(c, func(n int32, conn net.Conn) {
		if n == 1 {
			_, _ = io.WriteString(conn, text("ok"))
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
	c.Check(requests.Load(), qt.Equals, int32(2))
}

func TestAnswerBeforeItsRequestBreaksTheConnection(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	w := newConn(near)
	read := make(chan error, 1)
	go func() {
		_, err := w.Read(make([]byte, 8))
		read <- err
	}()
	turn := w.begin()
	_, err := far.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	var unsolicited *UnsolicitedError
	c.Check(errors.As(<-read, &unsolicited), qt.IsTrue)
	c.Check(w.abandon(turn), qt.IsTrue)
	_, err = w.Write([]byte("late"))
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

func TestWriteFailsWhereSomethingHasArrived(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	far, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = far.Close() }()
	w := newConn(near)
	w.unsent = true
	_, err = far.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	for end := time.Now().Add(10 * time.Second); !w.hasArrived() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	_, err = w.Write([]byte("request"))
	var unsolicited *UnsolicitedError
	c.Check(errors.As(err, &unsolicited), qt.IsTrue)
	c.Check(w.abandon(0), qt.IsTrue)
}

// A request that fails late must not speak for the next one on its connection.
func TestAbandonLeavesALaterTurnAlone(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	w := newConn(near)
	go func() { _, _ = w.Read(make([]byte, 8)) }()
	first := w.begin()
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	_, err := w.Write([]byte("first"))
	c.Assert(err, qt.IsNil)
	second := w.begin()
	c.Check(w.abandon(first), qt.IsFalse)
	go func() { _, _ = far.Read(make([]byte, 8)) }()
	_, err = w.Write([]byte("second"))
	c.Check(err, qt.IsNil)
	c.Check(w.abandon(second), qt.IsFalse)
	c.Check(w.Close(), qt.IsNil)
}

// A connection that its server closes while it is not used costs no request.
func TestRequestGoesOnAnotherConnectionWhileNothingIsSent(t *testing.T) {
	c := qt.New(t)
	url, requests := serve(c, func(n int32, conn net.Conn) {
		_, _ = io.WriteString(conn, text("ok")+text("stray"))
	})
	tr := newTransport(c)
	for range 200 {
		got, err := send(c, tr, url)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "ok")
	}
	c.Check(requests.Load(), qt.Equals, int32(200))
}
