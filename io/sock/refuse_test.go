package sock

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestStopConnectionsKeepsOpenOnes(t *testing.T) {
	c := qt.New(t)
	l, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	// Nobody accepts these connections before the listener stops.
	const count = 20
	var opened []net.Conn
	for range count {
		conn, err := net.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "ask")
		c.Assert(err, qt.IsNil)
		opened = append(opened, conn)
	}
	pending, err := Pending(l)
	c.Assert(err, qt.IsNil)
	c.Check(pending, qt.Equals, count)
	c.Assert(StopConnections(l), qt.IsNil)
	_, err = net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	c.Check(err, qt.IsNotNil)
	for range count {
		conn, err := l.Accept()
		c.Assert(err, qt.IsNil)
		b := make([]byte, 3)
		_, err = io.ReadFull(conn, b)
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "reply")
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
	}
	pending, err = Pending(l)
	c.Assert(err, qt.IsNil)
	c.Check(pending, qt.Equals, 0)
	c.Assert(l.Close(), qt.IsNil)
	for _, conn := range opened {
		text, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil)
		c.Check(string(text), qt.Equals, "reply")
	}
}

func TestStopConnectionsOfOtherListenerFails(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("unix", t.TempDir()+"/socket")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	c.Check(StopConnections(l), qt.ErrorMatches, "stop new connections to .*")
	_, err = Pending(l)
	c.Check(err, qt.IsNotNil)
}
