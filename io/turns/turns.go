// Package turns carries HTTP requests over kept connections, such that no request
// is answered by what the server sent for another one.
//
// A server may send an answer too many, or one that comes late, when the next
// answer is due on the same connection. A kept connection on which something has
// arrived is not used again. Where answers name their request, one that names
// another is passed over.
//
// Each request has its connection for itself until its answer has ended. Giving
// up a request closes its connection, which is how the server learns of it.
//
// # Usage
//
//	t := turns.New(dialer, turns.Options{Idle: 128, Keep: time.Minute})
//	a, err := t.RoundTrip(r)
//	var unsent *turns.UnsentError
//	if errors.As(err, &unsent) {
//		return nil // the server has seen nothing of r
//	}
package turns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// mostTries is the largest number of kept connections that are tried for one request.
	mostTries = 3
	// mostOthers is the largest number of answers to other requests that are passed over.
	mostOthers = 4
	// otherSize is the size in bytes of the largest answer that is passed over.
	otherSize = 1 << 20
	// inlineBody is the size in bytes up to which a body is written before the answer
	// is read. It fits into the buffers of a connection.
	inlineBody = 8 << 10
	// unknownFresh is the longest rest of a kept connection for a request that must
	// not be sent twice: a server may have dropped one that rested longer.
	unknownFresh = time.Second
)

// Options tell a Transport how to use its connections.
type Options struct {
	// Idle is the largest number of unused connections that are kept to each server.
	Idle int
	// Keep is the longest time for which an unused connection is kept.
	Keep time.Duration
	// Match reports whether an answer belongs to a request; nil takes every answer.
	Match func(r *http.Request, a *http.Response) bool
}

// Transport sends requests. It is safe for use by several goroutines at once.
type Transport struct {
	dialer  Dialer
	options Options
	mutex   sync.Mutex
	idle    map[string][]*conn
	closed  bool
}

// Dialer makes connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

var _ http.RoundTripper = (*Transport)(nil)

// UnsentError is a request of which no byte was written to the server.
type UnsentError struct {
	Cause error
}

// Error names the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// OtherError is an answer that belongs to another request, after as many as are passed over.
type OtherError struct{}

// Error names the fault.
func (*OtherError) Error() string { return "answers belong to other requests" }

// New returns a transport that makes connections by d.
func New(d Dialer, o Options) *Transport {
	return &Transport{dialer: d, options: o, idle: make(map[string][]*conn)}
}

// Close closes the connections that are not in use, and those in use as their
// answers end.
func (t *Transport) Close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, list := range t.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(t.idle)
}

// onceKey is the key under which a context says that a request must not be sent twice.
type onceKey struct{}

// Once returns a context for a request that must not be sent twice. Such a request
// takes only a connection that was used moments ago, or a new one.
func Once(ctx context.Context) context.Context { return context.WithValue(ctx, onceKey{}, true) }

// RoundTrip sends r and returns the head of its answer. It fails with an
// *UnsentError where the server has seen nothing of r and never will.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	fresh := t.options.Keep
	if r.Context().Value(onceKey{}) != nil {
		fresh = unknownFresh
	}
	address := r.URL.Host
	for range mostTries {
		c := t.take(address, fresh)
		if c == nil {
			break
		}
		a, err := t.send(c, r)
		var unsent *UnsentError
		if errors.As(err, &unsent) && r.Context().Err() == nil && !c.touched.Load() {
			continue
		}
		return a, err
	}
	n, err := t.dialer.DialContext(r.Context(), "tcp", address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	return t.send(newConn(n, address), r)
}

// take takes out the connection to a server that was used last, if it rested no
// longer than fresh and nothing has arrived on it. Others are closed.
func (t *Transport) take(address string, fresh time.Duration) *conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for {
		list := t.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		now := time.Now()
		if now.Sub(c.rested) > fresh && now.Before(c.expires) {
			return nil
		}
		t.idle[address] = list[:len(list)-1]
		if now.Before(c.expires) && !c.hasArrived() {
			return c
		}
		_ = c.Close()
	}
}

// give keeps a connection for the next request, or closes it.
func (t *Transport) give(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := t.idle[c.address]
	if t.closed || len(list) >= t.options.Idle {
		_ = c.Close()
		return
	}
	now := time.Now()
	c.rested = now
	c.expires = now.Add(t.options.Keep)
	if c.keep > 0 && c.keep < t.options.Keep {
		c.expires = now.Add(c.keep)
	}
	t.idle[c.address] = append(list, c)
	t.sweep(now)
}

// sweep closes connections that have rested too long. The mutex is held.
func (t *Transport) sweep(now time.Time) {
	for address, list := range t.idle {
		n := 0
		for n < len(list) && !now.Before(list[n].expires) {
			_ = list[n].Close()
			n++
		}
		if n == len(list) {
			delete(t.idle, address)
			continue
		}
		t.idle[address] = list[n:]
	}
}

// send sends r on c and reads the head of its answer.
func (t *Transport) send(c *conn, r *http.Request) (*http.Response, error) {
	// Closing the connection is how an exchange is given up.
	stop := context.AfterFunc(r.Context(), func() { _ = c.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.finish()
		_ = c.Close()
		if cause := context.Cause(r.Context()); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if !c.wrote.Load() {
			return nil, &UnsentError{Cause: err}
		}
		return nil, err
	}
	if err := c.write(r); err != nil {
		return fail(err)
	}
	a, err := t.read(c, r)
	if err != nil {
		return fail(err)
	}
	a.Body = &body{ReadCloser: a.Body, transport: t, conn: c, stop: stop, reuse: !a.Close && !r.Close, context: r.Context()}
	c.keep = keepOf(a)
	if a.ContentLength == 0 || r.Method == http.MethodHead {
		a.Body.(*body).end(true)
	}
	return a, nil
}

// read reads the head of the answer to r, past answers to other requests.
func (t *Transport) read(c *conn, r *http.Request) (*http.Response, error) {
	for range mostOthers {
		a, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if a.StatusCode < http.StatusOK && a.StatusCode != http.StatusSwitchingProtocols {
			c.proceed()
			continue
		}
		if t.options.Match == nil || t.options.Match(r, a) {
			return a, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(a.Body, otherSize))
		if err != nil {
			return nil, err
		}
		if a.Close || n == otherSize {
			return nil, &OtherError{}
		}
	}
	return nil, &OtherError{}
}

// body is the body of an answer. Its end gives the connection back.
type body struct {
	io.ReadCloser
	transport *Transport
	conn      *conn
	context   context.Context
	stop      func() bool
	reuse     bool
	once      sync.Once
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.end(true)
	case err != nil:
		if cause := context.Cause(b.context); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		b.end(false)
	}
	return n, err
}

// Close gives up the rest of the body.
func (b *body) Close() error {
	b.end(false)
	return nil
}

// end keeps the connection where the whole answer was read and nothing more has
// come, and closes it otherwise.
func (b *body) end(whole bool) {
	b.once.Do(func() {
		b.conn.finish()
		if b.stop() && whole && b.reuse && b.conn.isClean() {
			b.transport.give(b.conn)
			return
		}
		_ = b.conn.Close()
	})
}

// newReader returns the buffer through which a connection is read.
func newReader(n net.Conn) *bufio.Reader { return bufio.NewReaderSize(n, readSize) }

// readSize is the size in bytes of the buffer of a connection.
const readSize = 2 << 10
