package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// waitExit waits until the node of instance i has exited, and returns its exit status.
func (s *system) waitExit(i int) int {
	select {
	case <-s.instances[i].node.ended:
	case <-time.After(maxWait):
		s.c.Fatalf("%s has not exited within %v", s.instances[i].name, maxWait)
	}
	return s.instances[i].node.command.ProcessState.ExitCode()
}

func TestLeavingNodeFinishesExportsAndRejectsNewWork(t *testing.T) {
	s := newSystem(t, options{drain: "1s"})
	c := s.c
	s.warmUp()
	const size = 6_400_000
	before := [3]int{0, s.stats(1).Total, s.stats(2).Total}
	// The first export enters at another node, the second one at the leaving node itself.
	p := s.sendAsync(0, export("long", fmt.Sprintf("size=%d&pace=50ms", size)))
	<-p.headerRead
	guard := 1
	if s.stats(2).Total > before[2] {
		guard = 2
	}
	own := s.sendAsync(guard, export("own", fmt.Sprintf("size=%d&pace=50ms", size)))
	<-own.headerRead
	// The only other instance of the service is taken out of service, so all new work
	// must be rejected.
	s.post(s.platformAddress, "/control/rules", rulesWithCentreOut(topology[3-guard].centre))
	waitUntil(c, "rules are in force", func() bool {
		status, err := s.status(0)
		return err == nil && status.Rules == 2
	})
	s.instances[guard].node.signal(c, syscall.SIGTERM)
	waitUntil(c, "node is leaving", func() bool {
		status, err := s.status(guard)
		return err != nil || status.Leaving
	})
	total := s.stats(guard).Total
	for i := range 5 {
		for _, r := range []request{claim(fmt.Sprintf("refused-%d", i), ""), export("refused", "size=1")} {
			a := s.send(0, r)
			c.Check(a.outcome, qt.Equals, "not-run", qt.Commentf("%+v", a))
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.Check(s.stats(guard).Total, qt.Equals, total)
	for _, q := range []struct {
		id string
		p  *pending
	}{{"long", p}, {"own", own}} {
		a := <-q.p.done
		c.Check(a.err, qt.IsNil)
		want, err := io.ReadAll(fake.Export(q.id, size))
		c.Assert(err, qt.IsNil)
		c.Check(a.body == string(want), qt.IsTrue, qt.Commentf("%s: %d bytes", q.id, len(a.body)))
	}
	c.Check(s.waitExit(guard), qt.Equals, 0)
}

func TestLeavingNodeExitsUnderLoadAndLosesNoClaim(t *testing.T) {
	s := newSystem(t, options{drain: "1s"})
	c := s.c
	s.warmUp()
	stop := s.startLoad(t)
	defer stop()
	var sent []*pending
	for i := range 200 {
		sent = append(sent, s.sendAsync(0, claim(fmt.Sprintf("under-%d", i), "20ms")))
		if i == 50 {
			s.instances[1].node.signal(c, syscall.SIGTERM)
		}
		time.Sleep(10 * time.Millisecond)
	}
	ran := 0
	for i, p := range sent {
		a := <-p.done
		c.Check(a.err, qt.IsNil)
		c.Check(a.outcome == "run" || a.outcome == "not-run", qt.IsTrue, qt.Commentf("%d: %+v", i, a))
		want := 0
		if a.outcome == "run" {
			ran++
			want = 1
		}
		c.Check(s.runsOf(fmt.Sprintf("under-%d", i)), qt.Equals, want)
	}
	c.Check(s.waitExit(1), qt.Equals, 0)
	t.Logf("%d of 200 claims ran", ran)
}

// TestLeavingNodeServesRequestsOnReusedConnections guards against a leaving node that
// closes idle connections: a request that arrives as its connection closes would fail.
func TestLeavingNodeServesRequestsOnReusedConnections(t *testing.T) {
	s := newSystem(t, options{drain: "2s"})
	c := s.c
	var kept []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", s.instances[0].callers.String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetDeadline(time.Now().Add(maxWait)), qt.IsNil)
		kept = append(kept, conn)
		c.Assert(roundTrip(conn), qt.IsNil)
	}
	s.instances[0].node.signal(c, syscall.SIGTERM)
	waitUntil(c, "node is leaving", func() bool {
		status, err := s.status(0)
		return err != nil || status.Leaving
	})
	for i, conn := range kept {
		c.Check(roundTrip(conn), qt.IsNil, qt.Commentf("connection %d", i))
	}
	c.Check(s.waitExit(0), qt.Equals, 0)
}

// TestLeavingNodeDeliversResponsesBeforePipelinedRequests guards against a planned stop that cuts off a
// response because a further request on its connection has not been read.
func TestLeavingNodeDeliversResponsesBeforePipelinedRequests(t *testing.T) {
	s := newSystem(t, options{drain: "1s"})
	c := s.c
	s.warmUp()
	const size = 30_000
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	var callers []net.Conn
	for range 8 {
		conn, err := dialer.Dial("tcp", s.instances[0].callers.String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetDeadline(time.Now().Add(maxWait)), qt.IsNil)
		callers = append(callers, conn)
	}
	send := func(order int) {
		for i, conn := range callers {
			_, err := fmt.Fprintf(conn, "GET /exports/a?size=%d&pace=400ms HTTP/1.1\r\nHost: a\r\nId: %d-%d\r\n\r\n", size, order, i)
			c.Assert(err, qt.IsNil)
		}
	}
	send(0)
	time.Sleep(20 * time.Millisecond)
	send(1)
	s.instances[0].node.signal(c, syscall.SIGTERM)
	// The third request arrives while the second is being handled, whose response closes the connection.
	// The node is done with both before the callers read.
	time.Sleep(600 * time.Millisecond)
	send(2)
	time.Sleep(600 * time.Millisecond)
	send(3)
	for i, conn := range callers {
		reader := bufio.NewReader(conn)
		for order := range 2 {
			r, err := http.ReadResponse(reader, nil)
			c.Assert(err, qt.IsNil)
			body, err := io.ReadAll(r.Body)
			c.Check(err, qt.IsNil, qt.Commentf("connection %d", i))
			want, err := io.ReadAll(fake.Export(fmt.Sprintf("%d-%d", order, i), size))
			c.Assert(err, qt.IsNil)
			c.Check(string(body) == string(want), qt.IsTrue, qt.Commentf("connection %d: %d bytes", i, len(body)))
			c.Check(r.Body.Close(), qt.IsNil)
			c.Check(r.Close, qt.Equals, order == 1)
		}
		c.Check(conn.Close(), qt.IsNil)
	}
	c.Check(s.waitExit(0), qt.Equals, 0)
}

// roundTrip sends a lookup on a connection and reads the whole response.
func roundTrip(conn net.Conn) error {
	if _, err := io.WriteString(conn, "GET /claims/kept HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)
	return err
}

// cutOff sends a lookup on a new connection. It reports whether the node accepted the
// connection and then closed it without a response.
func cutOff(a netip.AddrPort) bool {
	conn, err := net.DialTimeout("tcp", a.String(), maxWait)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(maxWait)); err != nil {
		return true
	}
	return roundTrip(conn) != nil
}

// Connections that the kernel has accepted for a leaving node must get a response, up to the
// moment from which new ones are refused.
func TestLeavingNodeRespondsOnEachAcceptedConnection(t *testing.T) {
	s := newSystem(t, options{drain: "300ms"})
	c := s.c
	s.warmUp()
	var cut, sent atomic.Int32
	var callers sync.WaitGroup
	for range 16 {
		callers.Go(func() {
			for !s.instances[1].node.hasEnded() {
				sent.Add(1)
				if cutOff(s.instances[1].callers) {
					cut.Add(1)
				}
			}
		})
	}
	waitUntil(c, "callers send requests", func() bool { return sent.Load() > 100 })
	s.instances[1].node.signal(c, syscall.SIGTERM)
	c.Check(s.waitExit(1), qt.Equals, 0)
	callers.Wait()
	c.Check(cut.Load(), qt.Equals, int32(0), qt.Commentf("of %d requests", sent.Load()))
}
