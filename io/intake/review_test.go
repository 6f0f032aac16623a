package intake

import (
	"bufio"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/shed"
	"bulrushlock/io/frame"
)

// newReviewIntake returns an Intake with a budget in bytes.
func newReviewIntake(memory int64) *Intake {
	return New(Options{
		Memory: memory, Limits: frame.DefaultLimits(), HeadTimeout: 10 * time.Second,
		Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
}

// TestEmptyLineBeforeNextRequestIsNotPassedOn sends an empty line and a request at once on a connection
// that is kept, as some clients do after a body.
func TestEmptyLineBeforeNextRequestIsNotPassedOn(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(newReviewIntake(2<<20).Listen(l, ListenerOptions{Connections: 10})) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	responses := bufio.NewReader(conn)
	for _, before := range []string{"", "\r\n", "\r\n\r\n"} {
		_, err = io.WriteString(conn, before+"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		a, err := http.ReadResponse(responses, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(a.Body.Close(), qt.IsNil)
		c.Check(a.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("after %q", before))
		// The connection is idle, and not read beside a handler, when the next request arrives.
		time.Sleep(50 * time.Millisecond)
	}
}

// TestConnectionIsClosedOnceToMakeRoom closes a connection to make room while its server is about to note
// that it waits for a body. What is charged is counted as doomed once, and nothing of it is left after
// the server has closed the connection too.
func TestConnectionIsClosedOnceToMakeRoom(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	k := newReviewIntake(20_000)
	bounded := k.Listen(l, ListenerOptions{Connections: 10, Buffer: 64 << 10})
	defer func() { _ = bounded.Close() }()
	accept := func() *conn {
		client, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = client.Close() })
		a, err := bounded.Accept()
		c.Assert(err, qt.IsNil)
		return a.(*conn)
	}
	victim, accepted, first, second := accept(), accept(), accept(), accept()
	accepted.enter(shed.Accepted, 0)
	c.Assert(k.charge(accepted, 4_000), qt.IsNil)
	c.Assert(k.charge(victim, 15_000), qt.IsNil)
	time.Sleep(time.Millisecond)
	ended := make(chan error, 2)
	go func() { ended <- k.charge(first, 15_000) }()
	for closed := false; !closed; time.Sleep(time.Millisecond) {
		k.mutex.Lock()
		closed = victim.closed
		k.mutex.Unlock()
	}
	// The server of the victim is between settle and enter in accept.
	victim.enter(shed.Waiting, time.Now().Add(-time.Second).UnixNano())
	go func() { ended <- k.charge(second, 17_000) }()
	time.Sleep(20 * time.Millisecond)
	k.mutex.Lock()
	doomed := k.doomed
	k.mutex.Unlock()
	c.Check(doomed, qt.Equals, int64(15_000))
	// The sockets of connections that make room are closed already. The second charge may close the first
	// connection for that.
	_ = victim.Close()
	c.Check(<-ended, qt.IsNil)
	_ = first.Close()
	c.Assert(accepted.Close(), qt.IsNil)
	c.Check(<-ended, qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
	held, open := k.Usage()
	c.Check(held, qt.Equals, int64(0))
	c.Check(open, qt.Equals, 0)
	c.Check(k.doomed, qt.Equals, int64(0))
}

// TestAccountsBalanceAfterCrowd lets clients of all kinds compete for a small budget and few connections.
// Nothing is charged or doomed after the last one has gone.
func TestAccountsBalanceAfterCrowd(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	k := newReviewIntake(200_000)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(k.Listen(l, ListenerOptions{Connections: 60, Buffer: 64 << 10})) }()
	defer func() { _ = server.Close() }()
	whole := []string{
		"GET /a HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 9000) + "\r\n\r\n",
		"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("y", 30_000),
		"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n" + strings.Repeat("y", 30_000) + "\r\n0\r\n\r\n",
		"GET /d HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 300) + "\r\n",
		strings.Repeat("GET /e HTTP/1.1\r\nHost: a\r\n\r\n", 300),
	}
	end := time.Now().Add(4 * time.Second)
	var all sync.WaitGroup
	for range 120 {
		all.Go(func() {
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				for range 1 + rand.IntN(3) {
					text := whole[rand.IntN(len(whole))]
					text = text[:len(text)-rand.IntN(2)*rand.IntN(len(text))]
					for text != "" {
						n := min(len(text), 1+rand.IntN(8000))
						if _, err = io.WriteString(conn, text[:n]); err != nil {
							break
						}
						text = text[n:]
						time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
					}
				}
				_ = conn.Close()
			}
		})
	}
	all.Wait()
	var held, doomed int64
	var open int
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		k.mutex.Lock()
		held, doomed, open = k.held, k.doomed, k.open
		k.mutex.Unlock()
		if held == 0 && doomed == 0 && open == 0 {
			break
		}
	}
	c.Check(held, qt.Equals, int64(0))
	c.Check(doomed, qt.Equals, int64(0))
	c.Check(open, qt.Equals, 0)
}
