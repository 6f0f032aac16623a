package pool

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

	"bulrushlock/io/bound"
)

// writeBufferSize is the size in bytes of the buffer for writing a request.
const writeBufferSize = 4 << 10

// writerPool holds the buffers for writing requests.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, writeBufferSize) }}

// conn is a connection to one server.
type conn struct {
	net.Conn
	address string
	raw     syscall.RawConn
	reader  *bufio.Reader
	// head limits the heads of responses that reader buffers.
	head *bound.Reader
	// written reports that a byte of the current request may have been written.
	written atomic.Bool
	// bodyRead reports that the body of the current request was read.
	bodyRead atomic.Bool
	// bodyWriting reports that the body of the current request is still being
	// written, or that writing it failed.
	bodyWriting atomic.Bool
	// writeMutex is held while bytes of the current request are written. It guards writeFailure.
	writeMutex sync.Mutex
	// writeFailure is the failure of the connection that a write returned, or nil.
	writeFailure error
	// continued is closed when the server sends 100 Continue, and done when the
	// exchange has ended.
	continued chan struct{}
	done      chan struct{}
	// keepAlive is the time for which the server keeps the idle connection
	// open; 0 means that the server does not say.
	keepAlive time.Duration
	// idleSince is the time at which the connection became idle.
	idleSince time.Time
	// expires is the time from which the idle connection is no longer reused.
	expires time.Time
}

// newConn returns a connection that has carried no request.
func newConn(n net.Conn, address string) *conn {
	c := &conn{Conn: n, address: address, head: bound.New(n, bound.Limits{Bytes: maxHeadSize, Lines: maxHeadLines})}
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	if s, ok := n.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// writeTracker records the first write to a connection, and the failure of the connection that a write
// returned.
type writeTracker struct{ conn *conn }

// Write writes a part of a request.
func (m writeTracker) Write(b []byte) (int, error) {
	c := m.conn
	c.written.Store(true)
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	n, err := c.Write(b)
	if c.writeFailure == nil && isConnectionFailure(err) {
		c.writeFailure = err
	}
	return n, err
}

// isConnectionFailure reports whether a write failed because the connection broke off. EPIPE is not
// such a failure: the server had closed the connection in order before.
func isConnectionFailure(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// endWriting stops writing the current request and returns the failure of the connection that a
// write returned, or nil.
//
// The system reports such a failure once, to a write or to a read. Reads that come after such a write
// return io.EOF, as they do after an orderly end.
func (c *conn) endWriting() error {
	// A write may wait for a server that reads no more. An error means that the connection is
	// closed, where no write waits.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	return c.writeFailure
}

// requestBody is a request body that records whether it was read. If the
// request expects 100 Continue, the first read waits for it, at most for
// continueTimeout.
type requestBody struct {
	reader io.Reader
	conn   *conn
	writer *bufio.Writer
	// flushFirst reports that the first read of the body must flush the request
	// header. It is set if the body is written while the response is read, and
	// cleared by that first read.
	flushFirst bool
	continued  <-chan struct{}
	done       <-chan struct{}
}

// Read reads the body.
func (rb *requestBody) Read(b []byte) (int, error) {
	if rb.flushFirst {
		// Send the header first: the body may take long to arrive.
		if err := rb.awaitContinue(); err != nil {
			return 0, err
		}
		rb.flushFirst = false
	}
	rb.conn.bodyRead.Store(true)
	return rb.reader.Read(b)
}

// Close does nothing: the creator of the body closes it.
func (*requestBody) Close() error { return nil }

// awaitContinue sends the request header and, if the request expects it, waits
// for 100 Continue.
func (rb *requestBody) awaitContinue() error {
	if err := rb.writer.Flush(); err != nil || rb.continued == nil {
		return err
	}
	t := time.NewTimer(continueTimeout)
	defer t.Stop()
	select {
	case <-rb.continued:
	case <-t.C:
	case <-rb.done:
		return net.ErrClosed
	}
	return nil
}

// continueTimeout is the longest time that a body waits for 100 Continue.
const continueTimeout = time.Second

// writeRequest writes r. A long body is written while the response is read,
// since the server may respond before it has read the whole body. It calls report with a
// panic of that body.
func (c *conn) writeRequest(r *http.Request, report func(place string, p any)) error {
	c.written.Store(false)
	c.bodyRead.Store(false)
	if r.Body == nil || r.Body == http.NoBody {
		return c.writeMessage(r, nil)
	}
	body := &requestBody{reader: r.Body, conn: c}
	if r.Header.Get("Expect") != "" {
		c.continued = make(chan struct{})
		body.continued = c.continued
	}
	if body.continued == nil && r.ContentLength >= 0 && r.ContentLength <= maxInlineBody {
		return c.writeMessage(r, body)
	}
	c.bodyWriting.Store(true)
	c.done = make(chan struct{})
	body.done = c.done
	body.flushFirst = true
	go func() {
		defer func() {
			if p := recover(); p != nil {
				_ = c.Close()
				if report != nil {
					report("request body", p)
				}
			}
		}()
		err := c.writeMessage(r, body)
		c.bodyWriting.Store(err != nil)
		if err != nil && !isPeerClosed(err) {
			// The rest of the body cannot be read. Close the connection so that
			// the server does not take the request as complete.
			_ = c.Close()
		}
	}()
	return nil
}

// beginHead makes the limits for heads apply to the next response of an exchange,
// of which number have been read. It fails with a *bound.HeadError.
func (c *conn) beginHead(number int) error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	switch {
	case err != nil:
		return err
	case number == 0:
		return c.head.Begin(buffered)
	}
	return c.head.Next(buffered)
}

// signalContinue allows the body of the current request to be sent.
func (c *conn) signalContinue() {
	if c.continued != nil {
		close(c.continued)
		c.continued = nil
	}
}

// endExchange releases a body that still waits for 100 Continue.
func (c *conn) endExchange() {
	if c.done != nil {
		close(c.done)
		c.done = nil
	}
}

// isPeerClosed reports whether a write failed because the server no longer
// reads. Its response may still be readable.
func isPeerClosed(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// writerOnly hides the ReadFrom method of the buffer, so that the buffer can be
// flushed while the body is being read.
type writerOnly struct{ buffer *bufio.Writer }

// Write writes to the buffer.
func (p writerOnly) Write(b []byte) (int, error) { return p.buffer.Write(b) }

// WriteByte writes to the buffer.
func (p writerOnly) WriteByte(b byte) error { return p.buffer.WriteByte(b) }

// WriteString writes to the buffer.
func (p writerOnly) WriteString(s string) (int, error) { return p.buffer.WriteString(s) }

// writeMessage writes all of r with the given body; nil means no body.
func (c *conn) writeMessage(r *http.Request, body *requestBody) error {
	w := writerPool.Get().(*bufio.Writer)
	defer func() {
		w.Reset(io.Discard)
		writerPool.Put(w)
	}()
	w.Reset(writeTracker{conn: c})
	sent := *r
	if body != nil {
		body.writer = w
		sent.Body = body
	}
	if err := sent.Write(writerOnly{buffer: w}); err != nil {
		return err
	}
	return w.Flush()
}

// isClean reports whether the last exchange left no data to write or to read.
func (c *conn) isClean() bool { return !c.bodyWriting.Load() && c.reader.Buffered() == 0 }

// isReadable reports whether the server has sent data without a request or has
// closed the connection.
func (c *conn) isReadable() bool {
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

// keepAliveMargin is subtracted from the keep-alive timeout that a server
// announces, so that no request is sent while the server closes the connection.
const keepAliveMargin = 500 * time.Millisecond

// keepAliveTimeout returns the time for which the server keeps the idle
// connection open after response, or 0 if the server does not say.
func keepAliveTimeout(response *http.Response) time.Duration {
	for _, value := range response.Header["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(number); err == nil && seconds > 0 {
				return max(time.Duration(seconds)*time.Second-keepAliveMargin, keepAliveMargin)
			}
		}
	}
	return 0
}
