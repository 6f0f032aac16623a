// Package sock opens TCP connections that detect an unresponsive peer. A peer that lost
// power or is cut off by a network partition sends nothing, not even a reset. Without a
// limit, a connection to it would hang for minutes.
//
// # Usage
//
//	d := sock.NewDialer(500 * time.Millisecond)
//	c, err := d.DialContext(ctx, "tcp", address)
//	l, err := sock.Listen("10.0.0.1:8080")
package sock

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the idle time after which keep-alive probes are sent.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes, and keepAliveCount the number of
	// unacknowledged probes that close the connection.
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unackedTimeout is the longest time for which sent data may stay unacknowledged. It
	// covers several lost segments in a row.
	unackedTimeout = 2500 * time.Millisecond
)

// keepAlive configures the keep-alive probes of connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// NewDialer returns a dialer that takes at most timeout to open a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen returns a TCP listener whose connections detect an unresponsive peer.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// setUserTimeout limits the time for which sent data may stay unacknowledged. Accepted
// connections inherit the limit from their listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
