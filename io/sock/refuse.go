package sock

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset in bytes of the flags in a TCP header.
	tcpFlagsOffset = 13
	// tcpSYN and tcpACK are flags of a TCP header. A segment that opens a connection has
	// only the first one.
	tcpSYN = 0x02
	tcpACK = 0x10
)

// ListenerError reports a listener that cannot stop to take new connections, or does not tell
// how many are pending.
type ListenerError struct {
	Address string
	Cause   error
}

// Error returns a message with the address and the cause.
func (e *ListenerError) Error() string {
	return fmt.Sprintf("stop new connections to listener %s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenerError) Unwrap() error { return e.Cause }

// StopConnections makes l take no new connections, while those that are open or being opened
// can still be accepted. Closing a listener at once resets the connections that the kernel
// has opened and nobody has accepted yet, with the requests that were sent on them.
// StopConnections fails with a *ListenerError.
func StopConnections(l net.Listener) error {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return &ListenerError{Address: l.Addr().String(), Cause: syscall.ENOTSOCK}
	}
	if err := attachFilter(t); err != nil {
		return &ListenerError{Address: l.Addr().String(), Cause: err}
	}
	return nil
}

// Pending returns the number of connections to l that are open and have not been accepted. It
// fails with a *ListenerError.
func Pending(l net.Listener) (int, error) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return 0, &ListenerError{Address: l.Addr().String(), Cause: syscall.ENOTSOCK}
	}
	var info *unix.TCPInfo
	err := control(t, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return 0, &ListenerError{Address: l.Addr().String(), Cause: err}
	}
	// For a listener the kernel reports the length of the accept queue in this field.
	return int(info.Unacked), nil
}

// control calls f with the file descriptor of c.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}

// attachFilter attaches a filter to l that drops the segments that open connections.
func attachFilter(l *net.TCPListener) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
		bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipTrue: 1},
		bpf.RetConstant{Val: 1<<32 - 1},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, p := range program {
		filter[i] = unix.SockFilter{Code: p.Op, Jt: p.Jt, Jf: p.Jf, K: p.K}
	}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}
