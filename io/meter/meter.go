// Package meter counts the bytes that pass over connections.
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

// Meter counts bytes into the counters NAME_received and NAME_sent.
type Meter struct {
	received total
	sent     total
}

// total is a counter that can also be read.
type total struct {
	counter tally.Counter
	bytes   atomic.Int64
}

// add adds n bytes.
func (t *total) add(n int) {
	t.counter.Inc(int64(n))
	t.bytes.Add(int64(n))
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a meter with counters of the given name.
func New(s tally.Scope, name string) *Meter {
	m := &Meter{}
	m.received.counter = s.Counter(name + "_received")
	m.sent.counter = s.Counter(name + "_sent")
	return m
}

// Total returns the bytes that were received and sent so far.
func (m *Meter) Total() (received, sent int64) { return m.received.bytes.Load(), m.sent.bytes.Load() }

// Dialer returns a function that makes connections by d and counts their bytes.
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

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	meter *Meter
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

// conn is a connection whose bytes are counted.
type conn struct {
	net.Conn
	meter *Meter
}

// Read counts what it reads.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.add(n)
	return n, err
}

// Write counts what it writes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.add(n)
	return n, err
}
