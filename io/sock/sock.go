// Package sock opens connections that notice when the other side has gone silent.
//
// A peer without power, or behind a partition, answers nothing at all: without a
// limit of its own a connection to it hangs for minutes.
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
	// probeIdle is the rest after which a connection is probed.
	probeIdle = time.Second
	// probeEvery is the time between two probes, and probeCount the number of
	// unanswered ones that end the connection.
	probeEvery = 500 * time.Millisecond
	probeCount = 3
	// silentTime is the longest time for which sent bytes may stay unacknowledged. It
	// covers several losses in a row.
	silentTime = 2500 * time.Millisecond
)

// keepAlive tells how connections are probed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

// NewDialer returns a dialer that takes at most timeout to make a connection.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// Listen returns a TCP listener whose connections notice silence.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// control limits the time for which sent bytes may stay unacknowledged. Accepted
// connections take the limit over from their listener.
func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTime.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
