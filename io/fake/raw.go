package fake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// RawServer is a server that reads requests and leaves it to a function to write the bytes
// of the responses, if any.
type RawServer struct {
	listener net.Listener
	serve    func(n int32, r *http.Request, c net.Conn)
	// early reports that serve is called before the body of a request is read.
	early    bool
	requests atomic.Int32
}

// NewRawServer starts a server on loopback. It calls serve for each request with the
// request's number, starting at 1, the request with its body already consumed, and
// the connection. It returns an error if it cannot listen.
func NewRawServer(serve func(n int32, r *http.Request, c net.Conn)) (*RawServer, error) {
	return newRawServer(serve, false)
}

// NewEarlyServer starts a server on loopback that calls serve as that of NewRawServer does, but before it
// consumes the body, which serve may read. A body that cannot be read to its end ends the connection.
func NewEarlyServer(serve func(n int32, r *http.Request, c net.Conn)) (*RawServer, error) {
	return newRawServer(serve, true)
}

// newRawServer starts a server on loopback.
func newRawServer(serve func(n int32, r *http.Request, c net.Conn), early bool) (*RawServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l, serve: serve, early: early}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConnection(c)
		}
	}()
	return s, nil
}

// Addr returns the listen address.
func (s *RawServer) Addr() net.Addr { return s.listener.Addr() }

// Requests returns the number of requests that were read.
func (s *RawServer) Requests() int32 { return s.requests.Load() }

// Close closes the listener. Open connections stay open.
func (s *RawServer) Close() error { return s.listener.Close() }

// serveConnection serves one connection until it yields no further request.
func (s *RawServer) serveConnection(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if s.early {
			s.serve(s.requests.Add(1), r, c)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			continue
		}
		// A truncated body surfaces as an error when the next request is read.
		_, _ = io.Copy(io.Discard, r.Body)
		s.serve(s.requests.Add(1), r, c)
	}
}
