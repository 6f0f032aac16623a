package turns

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// writeSize is the size in bytes of the buffer through which a request is written.
const writeSize = 4 << 10

// writers holds buffers through which requests are written.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, writeSize) }}

// conn is a connection to one server.
type conn struct {
	net.Conn
	address string
	raw     syscall.RawConn
	reader  *bufio.Reader
	// wrote tells that a byte of the present request may have been written.
	wrote atomic.Bool
	// touched tells that the body of the present request was read.
	touched atomic.Bool
	// writing tells that the body of the present request is still being written.
	writing atomic.Bool
	// asked is closed when the server asks for the body, and ended when the exchange is over.
	asked chan struct{}
	ended chan struct{}
	// keep is the time for which the server keeps the connection, or 0 where it does not tell.
	keep time.Duration
	// rested is the time since which the connection is not used.
	rested  time.Time
	expires time.Time
}

// newConn returns a connection that has served no request.
func newConn(n net.Conn, address string) *conn {
	c := &conn{Conn: n, address: address, reader: newReader(n)}
	if s, ok := n.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// marking notes the first write to a connection.
type marking struct{ conn *conn }

// Write writes a part of a request.
func (m marking) Write(b []byte) (int, error) {
	m.conn.wrote.Store(true)
	return m.conn.Write(b)
}

// noting is the body of a request, which notes that it was read. A body that the
// server has to ask for is first read when it has done so, or after a while.
type noting struct {
	reader io.Reader
	conn   *conn
	writer *bufio.Writer
	// long tells that nothing of a body was read which is written beside the answer.
	long  bool
	asked <-chan struct{}
	ended <-chan struct{}
}

// Read reads the body.
func (n *noting) Read(b []byte) (int, error) {
	if n.long {
		// The head goes first, since the body may be long in coming.
		if err := n.wait(); err != nil {
			return 0, err
		}
		n.long = false
	}
	n.conn.touched.Store(true)
	return n.reader.Read(b)
}

// Close does nothing: whoever made the body closes it.
func (*noting) Close() error { return nil }

// wait sends the head of the request and waits until the server asks for the body,
// where it has to.
func (n *noting) wait() error {
	if err := n.writer.Flush(); err != nil || n.asked == nil {
		return err
	}
	t := time.NewTimer(askTime)
	defer t.Stop()
	select {
	case <-n.asked:
	case <-t.C:
	case <-n.ended:
		return net.ErrClosed
	}
	return nil
}

// askTime is the longest time that a body waits for the server to ask for it.
const askTime = time.Second

// write writes r. A long body is written beside the reading of the answer, since
// the server may answer before it has read the whole of it.
func (c *conn) write(r *http.Request) error {
	c.wrote.Store(false)
	c.touched.Store(false)
	if r.Body == nil || r.Body == http.NoBody {
		return c.flush(r, nil)
	}
	body := &noting{reader: r.Body, conn: c}
	if r.Header.Get("Expect") != "" {
		c.asked = make(chan struct{})
		body.asked = c.asked
	}
	if body.asked == nil && r.ContentLength >= 0 && r.ContentLength <= inlineBody {
		return c.flush(r, body)
	}
	c.writing.Store(true)
	c.ended = make(chan struct{})
	body.ended = c.ended
	body.long = true
	go func() {
		err := c.flush(r, body)
		c.writing.Store(err != nil)
		if err != nil && !isGone(err) {
			// The body cannot be read on: without its end the server must not take the request for whole.
			_ = c.Close()
		}
	}()
	return nil
}

// proceed lets the body of the present request be sent.
func (c *conn) proceed() {
	if c.asked != nil {
		close(c.asked)
		c.asked = nil
	}
}

// finish lets a body that still waits to be asked for end.
func (c *conn) finish() {
	if c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// isGone reports whether a write failed since the server reads no more. What it
// has answered may still be read.
func isGone(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// plain hides that a buffer can read from a reader by itself, so that it may be
// flushed while the body is being read.
type plain struct{ buffer *bufio.Writer }

// Write writes to the buffer.
func (p plain) Write(b []byte) (int, error) { return p.buffer.Write(b) }

// WriteByte writes to the buffer.
func (p plain) WriteByte(b byte) error { return p.buffer.WriteByte(b) }

// WriteString writes to the buffer.
func (p plain) WriteString(s string) (int, error) { return p.buffer.WriteString(s) }

// flush writes the whole of r with the given body, or without one.
func (c *conn) flush(r *http.Request, body *noting) error {
	w := writers.Get().(*bufio.Writer)
	defer func() {
		w.Reset(io.Discard)
		writers.Put(w)
	}()
	w.Reset(marking{conn: c})
	sent := *r
	if body != nil {
		body.writer = w
		sent.Body = body
	}
	if err := sent.Write(plain{buffer: w}); err != nil {
		return err
	}
	return w.Flush()
}

// isClean reports whether the present exchange has left nothing behind.
func (c *conn) isClean() bool { return !c.writing.Load() && c.reader.Buffered() == 0 }

// hasArrived reports whether the server has sent something that no request asked
// for, or has closed the connection.
func (c *conn) hasArrived() bool {
	if c.raw == nil {
		return false
	}
	var b [1]byte
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err != nil || !quiet
}

// keepMargin is taken off the time for which a server says that it keeps a
// connection, so that no request crosses its close.
const keepMargin = 500 * time.Millisecond

// keepOf returns the time for which the server keeps the connection after the
// answer a, or 0 where it does not tell.
func keepOf(a *http.Response) time.Duration {
	for _, value := range a.Header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(number); err == nil && seconds > 0 {
				return max(time.Duration(seconds)*time.Second-keepMargin, keepMargin)
			}
		}
	}
	return 0
}
