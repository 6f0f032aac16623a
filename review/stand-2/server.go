package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// queued is the number of requests that a server accepts beyond its slots.
const queued = 4

// Answer says how long a server works on a request, and the size of its answer in bytes.
type Answer struct {
	Work time.Duration
	Size int
}

// Server is a stand-in of a sound backend server.
type Server struct {
	store   *Store
	record  *Record
	service string
	zone    string
	address string
	slots   int
	// choose returns the answer to a request.
	choose   func(r *http.Request) Answer
	id       string
	born     int64
	mutex    sync.Mutex
	sequence int
	draining bool
	ended    bool
	listener net.Listener
	// connections are the open ones.
	connections map[net.Conn]bool
	busy        atomic.Int64
}

// Start listens for requests and registers the server.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.id, s.born = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli()
	s.listener, s.connections = l, make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mutex.Lock()
			s.connections[c] = true
			s.mutex.Unlock()
			go s.serve(c)
		}
	}()
	s.Register()
	return nil
}

// Exit ends the server, with the requests that run, and removes its registration.
func (s *Server) Exit() {
	s.mutex.Lock()
	s.ended = true
	_ = s.listener.Close()
	for c := range s.connections {
		_ = c.Close()
	}
	s.mutex.Unlock()
	s.store.Remove("servers/" + s.id)
	s.record.Printf("server %s has left", s.id)
}

// Register writes the registration of the server to the store.
func (s *Server) Register() {
	s.mutex.Lock()
	if s.ended {
		s.mutex.Unlock()
		return
	}
	s.sequence++
	sequence, state := s.sequence, "ready"
	if s.draining {
		state = "draining"
	}
	s.mutex.Unlock()
	s.store.Put("servers/"+s.id, map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "concurrency": s.slots},
		"status": map[string]any{"state": state, "sequence": sequence, "coldLeftS": 0},
	})
}

// Drain reports that the server is draining. It goes on serving.
func (s *Server) Drain() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.Register()
	s.record.Printf("draining of server %s acknowledged", s.id)
}

// serve serves the requests of one connection, one at a time.
func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mutex.Lock()
		delete(s.connections, c)
		s.mutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == "/healthz" {
			_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", s.health(), s.id, s.load())
		} else {
			err = s.answer(c, r)
		}
		if err != nil {
			return
		}
	}
}

// load returns the numbers of running and waiting requests and of slots.
func (s *Server) load() string { return fmt.Sprintf("%d,0,%d,100", s.busy.Load(), s.slots) }

// health returns the status of the liveness check.
func (s *Server) health() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return "503 Service Unavailable"
	}
	return "200 OK"
}

// answer runs one request, or rejects it if the server is full or not the expected one.
func (s *Server) answer(c net.Conn, r *http.Request) error {
	id := r.Header.Get("Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err
	}
	if int(s.busy.Add(1)) > s.slots+queued {
		s.busy.Add(-1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", id, s.load())
		return err
	}
	run := &Run{ID: id, Server: s.id, Method: r.Method, Target: r.RequestURI}
	s.record.Begin(run)
	a := s.choose(r)
	time.Sleep(a.Work)
	s.busy.Add(-1)
	stamp := id + "." + s.id
	body := bodyOf(stamp, a.Size)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s", id, stamp, s.load(), len(body), body)
	s.record.End(run)
	return err
}

// bodyOf returns the body that belongs to a stamp: lines that repeat it, of size bytes in all.
func bodyOf(stamp string, size int) string {
	line := stamp + "\n"
	return strings.Repeat(line, size/len(line)+1)[:size]
}
