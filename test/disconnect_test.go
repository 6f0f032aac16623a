package test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestClaimOfDisconnectedCallerRunsOnceAndIsReplayed(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	conn, err := net.Dial("tcp", s.instances[0].callers.String())
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /claims HTTP/1.1\r\nHost: a\r\nId: gone\r\nWork: 500ms\r\nContent-Length: 5\r\n\r\nclaim")
	c.Assert(err, qt.IsNil)
	early := make([]byte, 4096)
	n, err := conn.Read(early)
	c.Assert(err, qt.IsNil)
	c.Assert(string(early[:n]), qt.Contains, "103 Early Hints")
	var ticket string
	for line := range strings.Lines(string(early[:n])) {
		_, _ = fmt.Sscanf(line, "Bulrushlock-Ticket: %s", &ticket)
	}
	waitUntil(c, "claim runs", func() bool { return s.runsOf("gone") == 1 })
	c.Assert(conn.Close(), qt.IsNil)
	for i := range s.instances {
		a := s.send(i, claim("gone", "").withHeader("Bulrushlock-Ticket", ticket))
		c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
		c.Check(a.body, qt.Contains, `"id":"gone"`)
	}
	c.Check(s.runsOf("gone"), qt.Equals, 1)
}

func TestTruncatedClaimDoesNotRun(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	for i := range s.instances {
		// The entry buffers a short body and streams a long one.
		for _, length := range []int{1000, 90_000} {
			conn, err := net.Dial("tcp", s.instances[i].callers.String())
			c.Assert(err, qt.IsNil)
			head := "POST /claims HTTP/1.1\r\nHost: a\r\nId: cut\r\nContent-Length: %d\r\n\r\n"
			_, err = fmt.Fprintf(conn, head, length)
			c.Assert(err, qt.IsNil)
			_, err = conn.Write(make([]byte, length/2))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.Close(), qt.IsNil)
		}
	}
	for i := range s.instances {
		waitUntil(c, "no request is in progress", func() bool {
			status, err := s.status(i)
			return err == nil && status.InFlight == 0 && status.Requests == 0
		})
		status, err := s.status(i)
		c.Assert(err, qt.IsNil)
		c.Check(status.Cold && i > 0, qt.IsFalse, qt.Commentf("%s turned cold", s.instances[i].name))
		a := s.send(i, claim("whole", ""))
		c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
	}
	c.Check(s.runsOf("cut"), qt.Equals, 0)
}
