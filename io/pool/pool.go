// Package pool implements an HTTP/1.1 transport that reuses connections without mixing up
// responses.
//
// A server may send an extra or late response in place of the response to the
// next request on the same connection. The transport does not reuse an idle
// connection on which data has arrived. If responses identify their requests, it
// skips responses to other requests.
//
// Each request has exclusive use of its connection until its response has ended.
// Cancelling a request closes its connection, which signals the cancellation to
// the server.
//
// Heads of responses are limited in size, and a connection whose server exceeds
// the limits is closed. Bodies are passed on as they arrive and have no limit.
//
// # Usage
//
//	t := pool.New(dialer, pool.Options{MaxIdle: 128, IdleTimeout: time.Minute})
//	response, err := t.RoundTrip(r)
//	var unsent *pool.UnsentError
//	if errors.As(err, &unsent) {
//		return nil // the server has received nothing of r
//	}
package pool

import (
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
	// maxReuseAttempts is the maximum number of idle connections tried for a
	// request.
	maxReuseAttempts = 3
	// maxMismatched is the maximum number of responses read while looking for
	// the one that matches.
	maxMismatched = 4
	// maxMismatchedSize is the maximum body size in bytes of a skipped
	// response.
	maxMismatchedSize = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is written before
	// the response is read. It fits into the buffers of a connection.
	maxInlineBody = 8 << 10
	// maxAtMostOnceIdle is the maximum idle time of a connection reused for a
	// request that must not be sent twice: the server may have dropped a
	// connection that was idle longer.
	maxAtMostOnceIdle = time.Second
	// maxHeadSize and maxHeadLines limit the heads of the responses to one
	// request. Servers commonly send less than 8 KB in a few dozen lines. Each
	// line takes several hundred bytes of memory once it is parsed.
	maxHeadSize  = 32 << 10
	maxHeadLines = 256
)

// Options configure a Transport.
type Options struct {
	// MaxIdle is the maximum number of idle connections to each server.
	MaxIdle int
	// IdleTimeout is the maximum time for which a connection stays idle.
	IdleTimeout time.Duration
	// Match reports whether a response belongs to a request; nil accepts every
	// response.
	Match func(r *http.Request, a *http.Response) bool
	// Reuse reports whether the connection may carry another request after a response; nil
	// allows it after every response.
	Reuse func(a *http.Response) bool
	// ReportPanic is called with a panic of a request body that is being sent, which closes
	// the connection; nil ignores it.
	ReportPanic func(place string, p any)
}

// Transport sends requests. It is safe for concurrent use.
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

// UnsentError reports that no byte of a request was written to the server.
type UnsentError struct {
	Cause error
}

// Error describes the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// MismatchError reports that the connection delivered only responses to other
// requests, up to the limits for skipping them.
type MismatchError struct{}

// Error describes the fault.
func (*MismatchError) Error() string { return "responses belong to other requests" }

// StatusError reports a response whose status is none of HTTP (RFC 9110, 15), or a change of the
// protocol that the request didn't ask for.
type StatusError struct{ Status int }

// Error describes the fault.
func (e *StatusError) Error() string { return fmt.Sprintf("invalid status %03d", e.Status) }

// TruncatedError reports a response without a length whose connection broke off.
type TruncatedError struct {
	Cause error
}

// Error describes the cause.
func (e *TruncatedError) Error() string { return fmt.Sprintf("response breaks off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// IsDelimited reports whether the end of a response can be told from a broken connection by the
// response itself: its length is known, it is chunked, or it has no body.
func IsDelimited(a *http.Response) bool {
	if a.ContentLength >= 0 || len(a.TransferEncoding) > 0 {
		return true
	}
	return a.Request != nil && a.Request.Method == http.MethodHead
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// isInterim reports whether a response precedes the final one. It fails with a *StatusError.
func isInterim(a *http.Response) (bool, error) {
	if a.StatusCode < http.StatusContinue || a.StatusCode > maxStatus || a.StatusCode == http.StatusSwitchingProtocols {
		return false, &StatusError{Status: a.StatusCode}
	}
	return a.StatusCode < http.StatusOK, nil
}

// New returns a transport that makes connections with d.
func New(d Dialer, o Options) *Transport {
	return &Transport{dialer: d, options: o, idle: make(map[string][]*conn)}
}

// Close closes the idle connections now and those in use when their responses
// end.
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

// atMostOnceKey is the context key that marks a request as at-most-once.
type atMostOnceKey struct{}

// WithAtMostOnce returns a context for a request that must not be sent twice. Such a
// request uses a connection that was idle only briefly, or a new one.
func WithAtMostOnce(ctx context.Context) context.Context {
	return context.WithValue(ctx, atMostOnceKey{}, true)
}

// RoundTrip sends r and returns the response once its header has arrived. It
// returns an *UnsentError if the server has received nothing of r and never
// will.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	maxIdleTime := t.options.IdleTimeout
	if r.Context().Value(atMostOnceKey{}) != nil {
		maxIdleTime = maxAtMostOnceIdle
	}
	address := r.URL.Host
	for range maxReuseAttempts {
		c := t.takeIdle(address, maxIdleTime)
		if c == nil {
			break
		}
		response, err := t.send(c, r)
		var unsent *UnsentError
		if errors.As(err, &unsent) && r.Context().Err() == nil && !c.bodyRead.Load() {
			continue
		}
		return response, err
	}
	n, err := t.dialer.DialContext(r.Context(), "tcp", address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	return t.send(newConn(n, address), r)
}

// takeIdle removes and returns the most recently used idle connection to a
// server. It returns nil if that connection was idle for longer than maxIdleTime.
// Connections that have expired or on which data has arrived are closed and
// skipped.
func (t *Transport) takeIdle(address string, maxIdleTime time.Duration) *conn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for {
		list := t.idle[address]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		now := time.Now()
		if now.Sub(c.idleSince) > maxIdleTime && now.Before(c.expires) {
			return nil
		}
		t.idle[address] = list[:len(list)-1]
		if now.Before(c.expires) && !c.isReadable() {
			return c
		}
		_ = c.Close()
	}
}

// putIdle stores a connection for reuse, or closes it if the transport is
// closed or has enough idle connections to the server.
func (t *Transport) putIdle(c *conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := t.idle[c.address]
	if t.closed || len(list) >= t.options.MaxIdle {
		_ = c.Close()
		return
	}
	now := time.Now()
	c.idleSince = now
	c.expires = now.Add(t.options.IdleTimeout)
	if c.keepAlive > 0 && c.keepAlive < t.options.IdleTimeout {
		c.expires = now.Add(c.keepAlive)
	}
	t.idle[c.address] = append(list, c)
	t.closeExpired(now)
}

// closeExpired closes the idle connections that have expired. The caller must
// hold the mutex.
func (t *Transport) closeExpired(now time.Time) {
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

// send sends r on c and reads the response header.
func (t *Transport) send(c *conn, r *http.Request) (*http.Response, error) {
	// Cancelling an exchange closes its connection.
	stop := context.AfterFunc(r.Context(), func() { _ = c.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.endExchange()
		_ = c.Close()
		if cause := context.Cause(r.Context()); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		if !c.written.Load() {
			return nil, &UnsentError{Cause: err}
		}
		return nil, err
	}
	if err := c.writeRequest(r, t.options.ReportPanic); err != nil {
		return fail(err)
	}
	response, err := t.readResponse(c, r)
	if err != nil {
		return fail(err)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, transport: t, conn: c, context: r.Context(), stop: stop,
		reuse: t.mayReuse(r, response), delimited: IsDelimited(response),
	}
	c.keepAlive = keepAliveTimeout(response)
	if response.ContentLength == 0 || r.Method == http.MethodHead {
		response.Body.(*responseBody).release(true)
	}
	return response, nil
}

// mayReuse reports whether the connection may carry another request after a to r.
func (t *Transport) mayReuse(r *http.Request, a *http.Response) bool {
	return !a.Close && !r.Close && (t.options.Reuse == nil || t.options.Reuse(a))
}

// readResponse reads the header of the response to r. It skips responses to
// other requests.
func (t *Transport) readResponse(c *conn, r *http.Request) (*http.Response, error) {
	for i := range maxMismatched {
		if err := c.beginHead(i); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		interim, err := isInterim(response)
		if err != nil {
			return nil, err
		}
		if interim {
			c.signalContinue()
			continue
		}
		if t.options.Match == nil || t.options.Match(r, response) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedSize))
		if err != nil {
			return nil, err
		}
		if response.Close || n == maxMismatchedSize {
			return nil, &MismatchError{}
		}
	}
	return nil, &MismatchError{}
}

// responseBody is the body of a response. At its end the connection becomes
// idle.
type responseBody struct {
	io.ReadCloser
	transport *Transport
	conn      *conn
	context   context.Context
	stop      func() bool
	reuse     bool
	// delimited reports that the body itself tells where it ends. Otherwise it ends with the
	// connection.
	delimited bool
	once      sync.Once
}

// Read reads the body. It fails with a *TruncatedError if only a write of the request told that the
// connection broke off.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.delimited {
		if failure := b.conn.endWriting(); failure != nil {
			err = &TruncatedError{Cause: failure}
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.release(true)
	case err != nil:
		if cause := context.Cause(b.context); cause != nil {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		b.release(false)
	}
	return n, err
}

// Close discards the rest of the body.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

// release makes the connection idle if the whole response was read and nothing
// follows it. Otherwise it closes the connection.
func (b *responseBody) release(whole bool) {
	b.once.Do(func() {
		b.conn.endExchange()
		if b.stop() && whole && b.reuse && b.conn.isClean() {
			b.transport.putIdle(b.conn)
			return
		}
		_ = b.conn.Close()
	})
}

// readBufferSize is the size in bytes of a connection's read buffer.
const readBufferSize = 2 << 10
