package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Raw is a server that reads requests and leaves the bytes of the answers, and
// whether there are any, to a function.
type Raw struct {
	listener net.Listener
	serve    func(n int32, r *http.Request, c net.Conn)
	requests atomic.Int32
}

// NewRaw starts a server on loopback that calls serve with the number of each
// request from 1 on, the request with its body read, and its connection. It fails
// when it cannot listen.
func NewRaw(serve func(n int32, r *http.Request, c net.Conn)) (*Raw, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Raw{listener: l, serve: serve}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answer(c)
		}
	}()
	return s, nil
}

// Addr returns the address of the server.
func (s *Raw) Addr() net.Addr { return s.listener.Addr() }

// Requests returns the number of requests that were read.
func (s *Raw) Requests() int32 { return s.requests.Load() }

// Close makes the server take no further connection.
func (s *Raw) Close() error { return s.listener.Close() }

// answer serves one connection until no further request comes.
func (s *Raw) answer(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		// A body that breaks off shows when the next request is read.
		_, _ = io.Copy(io.Discard, r.Body)
		s.serve(s.requests.Add(1), r, c)
	}
}
