// Package meter counts the bytes that connections receive and send.
//
// # Usage
//
//	m := meter.New(scope, "control")
//	l := m.Listener(listener)
//	d := m.Dialer(&net.Dialer{})
package meter

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts bytes in the counters NAME_received and NAME_sent. It is safe for concurrent
// use.
type Meter struct {
	received byteCounter
	sent     byteCounter
}

// byteCounter is a metric counter whose total can be read.
type byteCounter struct {
	counter tally.Counter
	bytes   atomic.Int64
}

func (t *byteCounter) add(n int) {
	t.counter.Inc(int64(n))
	t.bytes.Add(int64(n))
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a meter whose counters have the given name as prefix.
func New(s tally.Scope, name string) *Meter {
	m := &Meter{}
	m.received.counter = s.Counter(name + "_received")
	m.sent.counter = s.Counter(name + "_sent")
	return m
}

// Total returns the number of bytes received and sent so far.
func (m *Meter) Total() (received, sent int64) { return m.received.bytes.Load(), m.sent.bytes.Load() }

// Dialer returns a function that opens connections with d and counts their bytes.
func (m *Meter) Dialer(d *net.Dialer) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

// Listener returns a listener that accepts from l and counts the bytes of its connections.
func (m *Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

// listener wraps each accepted connection in a conn.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept accepts the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.add(n)
	return n, err
}
