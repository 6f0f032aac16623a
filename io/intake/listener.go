package intake

import (
	"net"
	"sync/atomic"
	"time"

	"bulrushlock/core/shed"
	"bulrushlock/io/frame"
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	// Name is the name of the listener in log lines.
	Name string
	// Connections is the maximum number of open connections.
	Connections int
	// Buffer is the number of bytes up to which the handler buffers the body of a request.
	Buffer int64
	// Raw passes on all bytes, for a protocol other than HTTP.
	Raw bool
}

// Listener accepts connections whose requests and whose number are bounded.
type Listener struct {
	net.Listener
	intake  *Intake
	options ListenerOptions
	// connections are the open ones, and closed reports that the listener is closed. The mutex of the
	// Intake guards both.
	connections map[*conn]struct{}
	closed      bool
	// open is the number of connections.
	open atomic.Int64
}

var _ net.Listener = (*Listener)(nil)

// recheckInterval is the time after which a full listener looks again for a connection that has
// been kept for too long.
const recheckInterval = time.Second

// Listen returns a Listener that accepts from l, whose connections must be TCP connections.
func (k *Intake) Listen(l net.Listener, o ListenerOptions) *Listener {
	b := &Listener{Listener: l, intake: k, options: o, connections: make(map[*conn]struct{})}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.listeners = append(k.listeners, b)
	return b
}

// crowdedPercent is the part of the connections from which on a listener is crowded.
const crowdedPercent = 75

// Crowded reports whether few connections are left, so that none should be kept for a next request.
// The clients of kept connections would keep others out, and those may not be closed early.
func (l *Listener) Crowded() bool {
	return l.open.Load()*100 > int64(l.options.Connections)*crowdedPercent
}

// Accept accepts the next connection. If there are too many, it closes one that may be closed, or
// waits until there is one less.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		t, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.add(t); c != nil {
			return c, nil
		}
		_ = t.Close()
	}
}

// add returns the connection around t when there is room for it, and nil if the listener is closed
// before.
func (l *Listener) add(t *net.TCPConn) *conn {
	c := &conn{TCPConn: t, listener: l}
	if !l.options.Raw {
		c.scanner = frame.New(l.intake.options.Limits)
	}
	c.state.Store(int32(shed.Waiting))
	c.since.Store(time.Now().UnixNano())
	k := l.intake
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for !l.closed {
		if len(l.connections) < l.options.Connections {
			l.connections[c] = struct{}{}
			l.open.Add(1)
			k.open++
			return c
		}
		victim, ok := k.policy.Choose(time.Now(), shed.Connections, k.holdings(l.connections))
		if ok {
			k.shed(victim, ReasonConnections)
			continue
		}
		timer := k.after(recheckInterval, func() {})
		k.freed.Wait()
		timer.Stop()
	}
	return nil
}

// Close closes the listener. Connections that were accepted stay open.
func (l *Listener) Close() error {
	k := l.intake
	k.mutex.Lock()
	l.closed = true
	k.freed.Broadcast()
	k.mutex.Unlock()
	return l.Listener.Close()
}
