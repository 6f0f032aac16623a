package turns

import (
	"net"
	"sync"
	"syscall"
)

// UnsolicitedError is a connection on which something arrived that no request asked for.
type UnsolicitedError struct{}

// Error names the fault.
func (*UnsolicitedError) Error() string { return "answer arrived before its request was sent" }

// conn is a connection on which requests take turns.
type conn struct {
	net.Conn
	raw syscall.RawConn

	mutex   sync.Mutex
	changed *sync.Cond
	// reading tells that a call of Read waits for the server.
	reading bool
	// unsent tells that a request has its turn and that nothing of it was written.
	unsent bool
	closed bool
	// turn is the number of the present turn.
	turn uint64
}

// newConn returns a connection whose first turn has not begun.
func newConn(c net.Conn) *conn {
	w := &conn{Conn: c}
	w.changed = sync.NewCond(&w.mutex)
	if s, ok := c.(syscall.Conn); ok {
		w.raw, _ = s.SyscallConn()
	}
	return w
}

// begin starts the turn of a request and returns its number. It waits until all that was read before
// is used up: only then does the transport read on, or close the connection.
func (c *conn) begin() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	c.unsent = true
	c.turn++
	return c.turn
}

// abandon ends a turn, unless the connection serves a later one already, and reports whether nothing of its request was or will be written.
func (c *conn) abandon(turn uint64) bool {
	c.mutex.Lock()
	unsent := c.unsent && c.turn == turn
	c.closed = c.closed || unsent
	c.mutex.Unlock()
	if unsent {
		_ = c.Close()
	}
	return unsent
}

// Read reads from the server, and fails where something arrives in the turn of
// a request that was not written yet.
func (c *conn) Read(b []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(b)
	if c.setReading(false) && n > 0 {
		return 0, &UnsolicitedError{}
	}
	return n, err
}

// setReading notes whether a call of Read waits, and reports whether the request
// that has its turn was not written yet.
func (c *conn) setReading(on bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading = on
	c.changed.Broadcast()
	return c.unsent
}

// Write writes a part of a request.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.send(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// send notes that the request is written from now on. It fails where the
// connection was given up, or is not empty.
func (c *conn) send() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if !c.unsent {
		return nil
	}
	if c.hasArrived() {
		return &UnsolicitedError{}
	}
	c.unsent = false
	return nil
}

// hasArrived reports whether the system holds something that was not read yet.
func (c *conn) hasArrived() bool {
	if c.raw == nil {
		return false
	}
	var b [1]byte
	arrived := false
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		arrived = err == nil && n > 0
	})
	return err == nil && arrived
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mutex.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mutex.Unlock()
	return c.Conn.Close()
}
