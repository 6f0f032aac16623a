// Package turns carries HTTP requests to one server over kept connections, such
// that no request is answered by what the server sent before the request.
//
// The transport of net/http offers a connection for the next request before it
// has looked whether more has arrived on it. A server that sends an answer too
// many could have that answer taken for the answer to the next request. Here a
// request waits until its connection is known to be empty, and what arrives
// before the request is written breaks the connection.
//
// # Usage
//
//	t := turns.New(&net.Dialer{Timeout: time.Second}, 128, time.Minute)
//	a, err := t.RoundTrip(r)
//	var unsent *turns.UnsentError
//	if errors.As(err, &unsent) {
//		return nil // the server has seen nothing of r
//	}
package turns

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Transport sends requests.
type Transport struct {
	inner *http.Transport
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

// New returns a transport that makes connections by d. It keeps up to idle
// connections that are not used, each for up to keep.
func New(d *net.Dialer, idle int, keep time.Duration) *Transport {
	return &Transport{inner: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		DisableCompression:  true,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     keep,
	}}
}

// Close closes the connections that are not in use.
func (t *Transport) Close() { t.inner.CloseIdleConnections() }

// RoundTrip sends r and returns the head of its answer. It fails with an
// *UnsentError where the server has seen nothing of r and never will.
//
// A request of which nothing was read or written, because its kept connection
// was closed meanwhile, is sent on another one.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for tries := 1; ; tries++ {
		var x exchange
		trace := &httptrace.ClientTrace{GotConn: x.take}
		b := &body{ReadCloser: r.Body}
		sent := r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
		if r.Body != nil && r.Body != http.NoBody {
			sent.Body = b
		}
		a, err := t.inner.RoundTrip(sent)
		if err == nil || !x.abandon() {
			return a, err
		}
		if !b.revoke() || !x.reused || tries == mostTries || r.Context().Err() != nil {
			return nil, &UnsentError{Cause: err}
		}
	}
}

// mostTries is the largest number of connections that are tried for one request.
const mostTries = 3

// body is the body of a request on one of its connections. Whoever made it closes it.
type body struct {
	io.ReadCloser
	mutex   sync.Mutex
	touched bool
	revoked bool
}

// Read reads the body, unless it was revoked: the transport may come to read it
// after it has given up the connection.
func (b *body) Read(p []byte) (int, error) {
	b.mutex.Lock()
	revoked := b.revoked
	b.touched = b.touched || !revoked
	b.mutex.Unlock()
	if revoked {
		return 0, net.ErrClosed
	}
	return b.ReadCloser.Read(p)
}

// revoke ends the use of the body and reports whether nothing of it was read.
func (b *body) revoke() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.revoked = true
	return !b.touched
}

// Close does nothing.
func (b *body) Close() error { return nil }

// exchange is one request on the connections that were chosen for it, of which
// there are several where the first ones were closed before anything was written.
type exchange struct {
	mutex sync.Mutex
	turns []turn
	// reused tells that the last connection had served requests before.
	reused bool
}

// turn is one turn of a request on a connection.
type turn struct {
	conn   *conn
	number uint64
}

// take gives the request its turn on a connection.
func (x *exchange) take(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		return
	}
	n := c.begin()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.turns = append(x.turns, turn{conn: c, number: n})
	x.reused = i.Reused
}

// abandon gives up the request and reports whether nothing of it was or will be written.
func (x *exchange) abandon() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	unsent := true
	for _, t := range x.turns {
		unsent = t.conn.abandon(t.number) && unsent
	}
	return unsent
}
