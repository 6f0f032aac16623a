package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/stand"
)

// exited waits until the node of instance i has ended, and returns its exit status.
func (s *system) exited(i int) int {
	select {
	case <-s.instances[i].node.ended:
	case <-time.After(longest):
		s.c.Fatalf("%s has not ended within %v", s.instances[i].name, longest)
	}
	return s.instances[i].node.command.ProcessState.ExitCode()
}

func TestLeavingNodeFinishesAnExportAndRefusesNewWork(t *testing.T) {
	s := newSystem(t, options{drain: "1s"})
	c := s.c
	s.warm()
	const size = 6_400_000
	before := [3]int{0, s.stats(1).Total, s.stats(2).Total}
	// The first export enters elsewhere, the second one at the leaving node itself.
	p := s.begin(0, export("long", fmt.Sprintf("size=%d&pace=50ms", size)))
	<-p.head
	guard := 1
	if s.stats(2).Total > before[2] {
		guard = 2
	}
	own := s.begin(guard, export("own", fmt.Sprintf("size=%d&pace=50ms", size)))
	<-own.head
	// The service has one more instance, which is taken out: all work has to be refused.
	s.post(s.address, "/control/rules", out(place[3-guard].centre))
	until(c, "rules are in force", func() bool {
		status, err := s.status(0)
		return err == nil && status.Rules == 2
	})
	s.instances[guard].node.signal(c, syscall.SIGTERM)
	until(c, "node leaves", func() bool {
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
		want, err := io.ReadAll(stand.Export(q.id, size))
		c.Assert(err, qt.IsNil)
		c.Check(a.body == string(want), qt.IsTrue, qt.Commentf("%s: %d bytes", q.id, len(a.body)))
	}
	c.Check(s.exited(guard), qt.Equals, 0)
}

func TestLeavingNodeEndsUnderLoadAndLosesNoClaim(t *testing.T) {
	s := newSystem(t, options{drain: "1s"})
	c := s.c
	s.warm()
	stop := s.load(t)
	defer stop()
	var sent []*pending
	for i := range 200 {
		sent = append(sent, s.begin(0, claim(fmt.Sprintf("under-%d", i), "20ms")))
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
	c.Check(s.exited(1), qt.Equals, 0)
	t.Logf("%d of 200 claims ran", ran)
}

// A caller that keeps a connection must not have a request cut off because the
// node closes the connection just as the request comes.
func TestLeavingNodeAnswersRequestsOnKeptConnections(t *testing.T) {
	s := newSystem(t, options{drain: "2s"})
	c := s.c
	var kept []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", s.instances[0].callers.String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(conn.SetDeadline(time.Now().Add(longest)), qt.IsNil)
		kept = append(kept, conn)
		c.Assert(roundTrip(conn), qt.IsNil)
	}
	s.instances[0].node.signal(c, syscall.SIGTERM)
	until(c, "node leaves", func() bool {
		status, err := s.status(0)
		return err != nil || status.Leaving
	})
	for i, conn := range kept {
		c.Check(roundTrip(conn), qt.IsNil, qt.Commentf("connection %d", i))
	}
	c.Check(s.exited(0), qt.Equals, 0)
}

// roundTrip sends a lookup on a connection and reads its whole answer.
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
