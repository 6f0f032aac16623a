package sock

import (
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// userTimeout returns the TCP_USER_TIMEOUT of a connection.
func userTimeout(c *qt.C, n net.Conn) time.Duration {
	raw, err := n.(syscall.Conn).SyscallConn()
	c.Assert(err, qt.IsNil)
	var ms int
	var failed error
	c.Assert(raw.Control(func(fd uintptr) {
		ms, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}), qt.IsNil)
	c.Assert(failed, qt.IsNil)
	return time.Duration(ms) * time.Millisecond
}

func TestBothEndsHaveUserTimeout(t *testing.T) {
	c := qt.New(t)
	l, err := Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	near, err := NewDialer(time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = near.Close() }()
	far, err := l.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = far.Close() }()
	c.Check(userTimeout(c, near), qt.Equals, unackedTimeout)
	c.Check(userTimeout(c, far), qt.Equals, unackedTimeout)
}

func TestListenFails(t *testing.T) {
	_, err := Listen("127.0.0.1:99999")
	qt.New(t).Assert(err, qt.IsNotNil)
}
