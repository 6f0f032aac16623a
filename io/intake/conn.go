package intake

import (
	"bytes"
	"net"
	"sync/atomic"
	"time"

	"bulrushlock/core/shed"
	"bulrushlock/io/frame"
)

const (
	// freeFields is the number of fields of a head, and freeBytes the number of bytes of a head and
	// of a body, that are not charged.
	freeFields = 64
	freeBytes  = 4 << 10
	// fieldCost is the memory in bytes that a field takes besides its bytes once it is parsed and
	// copied for the attempt.
	fieldCost = 256
	// bodyStep is the number of bytes by which the charge of a body grows. Twice as much is charged
	// while the buffer of the body grows.
	bodyStep     = 8 << 10
	growthFactor = 2
	// handlerCost is the memory in bytes of a handler that waits for the rest of a body.
	handlerCost = 8 << 10
)

// conn is a connection whose requests are read by their framing. Its methods may be called
// concurrently, but no two reads.
type conn struct {
	*net.TCPConn
	listener *Listener
	scanner  *frame.Scanner
	// ahead holds bytes that were received and not passed on, of which ready may be passed on.
	ahead []byte
	ready int
	// served reports that a head was complete before, and begun that a part of the next head was
	// received.
	served, begun bool
	// active reports that the last request may still be handled, or that it was refused.
	active atomic.Bool
	// closing reports that Close was called.
	closing atomic.Bool
	// form is the charge of the head once it is parsed, body the number of bytes received of a body
	// that is buffered, and buffering reports that it isn't complete.
	form, body int64
	buffering  bool
	// invalid is the error of the next read, and failed that of all further ones.
	invalid, failed error
	// deferred reports that a layer above answers invalid requests.
	deferred atomic.Bool
	// state is a shed.State, and since the Unix time in nanoseconds at which it began, or 0 if that
	// wasn't noted.
	state atomic.Int32
	since atomic.Int64
	// held is the number of bytes charged. The mutex of the Intake guards writes of it, and closed.
	held   atomic.Int64
	closed bool
}

// Defer leaves the answers to invalid requests on c to the caller, which reads ahead of responses
// that are still to be written. Reads then fail with a *frame.Error after the bytes before the
// invalid request. Other connections than those of a Listener stay as they are.
func Defer(c net.Conn) {
	if c, ok := c.(*conn); ok {
		c.deferred.Store(true)
	}
}

// holding returns what the connection holds.
func (c *conn) holding() shed.Holding {
	now := time.Now()
	// The time at which a connection is kept is noted when it first matters.
	c.since.CompareAndSwap(0, now.UnixNano())
	return shed.Holding{State: shed.State(c.state.Load()), Bytes: c.held.Load(), Since: time.Unix(0, c.since.Load())}
}

// enter notes a new state of the connection.
func (c *conn) enter(s shed.State, since int64) {
	c.since.Store(since)
	c.state.Store(int32(s))
}

// Read reads bytes of complete heads and of bodies. It returns no bytes beyond the end of a request
// together with those before it.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case c.scanner == nil:
		return c.receive(p)
	case c.failed != nil:
		return 0, c.failed
	case c.ready > 0:
		return c.passOn(p), nil
	case len(p) == 1 && !c.scanner.Begun():
		return c.readByte(p)
	case c.scanner.Begun() && c.scanner.Complete():
		return c.readBody(p)
	}
	return c.readHead(p)
}

// passOn copies bytes that may be passed on, and releases them.
func (c *conn) passOn(p []byte) int {
	n := copy(p, c.ahead[:c.ready])
	c.ready -= n
	c.dropAhead(n)
	if c.ahead == nil && c.held.Load() > 0 {
		// Less is held, which needs no room.
		_ = c.settle()
	}
	return n
}

// receive reads from the connection, or takes bytes that were received before.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		n, err := c.TCPConn.Read(p)
		if c.closing.Load() {
			return 0, net.ErrClosed
		}
		return n, err
	}
	n := copy(p, c.ahead)
	c.dropAhead(n)
	return n, nil
}

// dropAhead removes n bytes at the start of those ahead.
func (c *conn) dropAhead(n int) {
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
}

// readByte reads the first byte of a request. The server of net/http does so while it handles the
// request before, so that an invalid byte must not fail until the next read.
func (c *conn) readByte(p []byte) (int, error) {
	for {
		n, err := c.receive(p)
		if n == 0 {
			return n, err
		}
		if _, _, c.invalid = c.scanner.Scan(p); c.invalid != nil || !c.scanner.Blank() {
			return n, nil
		}
	}
}

// readHead reads until a head is complete, and returns its bytes and those of the body that came
// with it.
func (c *conn) readHead(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.refuse(c.invalid)
	}
	if err := c.endRequest(); err != nil {
		return 0, c.refuse(err)
	}
	for filled := 0; ; {
		if filled == len(p) {
			return c.readLongHead(p)
		}
		n, err := c.receive(p[filled:])
		if n == 0 {
			return 0, err
		}
		fresh := !c.scanner.Begun()
		taken, _, err := c.scanner.Scan(p[filled : filled+n])
		if err != nil {
			return 0, c.refuse(err)
		}
		if c.scanner.Blank() {
			continue
		}
		if fresh {
			// Empty lines before the request are not passed on.
			blank := n - copy(p, bytes.TrimLeft(p[:n], "\r\n"))
			n, taken = n-blank, taken-blank
		}
		if c.scanner.Complete() {
			c.putBack(p[filled+taken : filled+n])
			filled += taken
			if err := c.accept(filled); err != nil {
				return 0, err
			}
			return filled, nil
		}
		filled += n
		c.awaitHead()
	}
}

// readLongHead goes on reading a head whose first bytes fill p.
func (c *conn) readLongHead(p []byte) (int, error) {
	buffer := p
	for !c.scanner.Complete() {
		if len(buffer) == cap(buffer) || len(buffer) == len(p) {
			size := min(growthFactor*len(buffer), c.listener.intake.options.Limits.Head+freeBytes)
			if err := c.listener.intake.charge(c, int64(size)); err != nil {
				return 0, c.refuse(err)
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := c.receive(buffer[len(buffer):cap(buffer)])
		if n == 0 {
			return 0, err
		}
		taken, _, err := c.scanner.Scan(buffer[len(buffer) : len(buffer)+n])
		if err != nil {
			return 0, c.refuse(err)
		}
		c.putBack(buffer[len(buffer)+taken : len(buffer)+n])
		buffer = buffer[:len(buffer)+taken]
	}
	c.ready = len(buffer)
	c.putBack(buffer)
	if err := c.accept(len(buffer)); err != nil {
		return 0, err
	}
	return c.passOn(p), nil
}

// putBack puts back bytes that were received beyond the end of a request.
func (c *conn) putBack(b []byte) {
	if len(b) > 0 {
		c.ahead = append(bytes.Clone(b), c.ahead...)
	}
}

// endRequest releases what the last request has held, once.
func (c *conn) endRequest() error {
	if !c.active.Swap(false) {
		return nil
	}
	c.form, c.body, c.buffering = 0, 0, false
	c.enter(shed.Kept, 0)
	return c.settle()
}

// awaitHead notes that a head isn't complete, once, and limits the time for the rest of it. The
// server limits that of the first head.
func (c *conn) awaitHead() {
	if c.begun {
		return
	}
	c.begun = true
	now := time.Now()
	if c.served {
		_ = c.SetReadDeadline(now.Add(c.listener.intake.options.HeadTimeout))
		c.enter(shed.Waiting, now.UnixNano())
	}
}

// accept notes that a head is complete and charges what it takes once it is parsed. The argument is
// the number of bytes of the request that were received.
func (c *conn) accept(received int) error {
	c.served, c.begun = true, false
	c.active.Store(true)
	h := c.scanner.Head()
	c.form = int64(max(h.Fields-freeFields, 0)*fieldCost + max(h.Size-freeBytes, 0))
	buffer := c.listener.options.Buffer
	c.buffering = c.scanner.Begun() && buffer > 0 && h.Length <= buffer
	c.body = int64(max(received-h.Size, 0))
	if err := c.settle(); err != nil {
		return c.refuse(err)
	}
	if c.buffering {
		c.enter(shed.Waiting, time.Now().UnixNano())
	} else {
		c.enter(shed.Accepted, 0)
	}
	return nil
}

// settle charges what the connection holds now.
func (c *conn) settle() error {
	total := c.form
	if n := len(c.ahead); n > freeBytes {
		total += int64(n)
	}
	body := int64(0)
	if c.body > freeBytes {
		body = (c.body + bodyStep - 1) / bodyStep * bodyStep
	}
	if c.buffering {
		body = growthFactor*body + handlerCost
	}
	total += body
	if total == c.held.Load() {
		return nil
	}
	return c.listener.intake.charge(c, total)
}

// readBody reads bytes of a body.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.receive(p)
	if n == 0 {
		return 0, err
	}
	taken, ended, err := c.scanner.Scan(p[:n])
	if err != nil {
		return 0, c.failBody(err)
	}
	c.putBack(p[taken:n])
	if !c.buffering {
		return taken, nil
	}
	c.body += int64(taken)
	if ended || c.body > c.listener.options.Buffer {
		c.buffering = false
		c.enter(shed.Accepted, 0)
	}
	if err := c.settle(); err != nil {
		return 0, c.failBody(err)
	}
	return taken, nil
}
