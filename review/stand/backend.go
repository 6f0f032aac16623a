package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots is the number of requests that a backend server runs at once.
	slots = 9
	// heartbeat is the time between two writes of a backend server to the store.
	heartbeat = 1500 * time.Millisecond
)

// backend plays one backend server.
type backend struct {
	fleet   *fleet
	address string
	machine machine
	id      string
	born    int64
	serve   func(*exchange)
	running atomic.Int64
	stamps  atomic.Int64
	beats   atomic.Int64
	// listener and conns end with the backend server.
	listener net.Listener
	mutex    sync.Mutex
	conns    map[net.Conn]bool
	ended    chan struct{}
}

// exchange is one request at a backend server.
type exchange struct {
	backend *backend
	// number counts the requests on the connection from 1.
	number  int
	conn    net.Conn
	reader  *bufio.Reader
	request *http.Request
	id      string
	stamp   string
	// keep reports whether the connection may carry another request.
	keep bool
}

// newBackend starts a backend server at address. It calls serve for each request that it runs.
func newBackend(f *fleet, address string, m machine, serve func(*exchange)) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{fleet: f, address: address, machine: m, born: time.Now().UnixMilli(), serve: serve, listener: l, conns: make(map[net.Conn]bool), ended: make(chan struct{})}
	sum := sha256.Sum256([]byte(fmt.Sprint(address, b.born)))
	b.id = "i-" + hex.EncodeToString(sum[:4])
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mutex.Lock()
			b.conns[c] = true
			b.mutex.Unlock()
			go b.connection(c)
		}
	}()
	return b, nil
}

// register writes the entry of the backend server with a state.
func (b *backend) register(state string) {
	b.fleet.store.put("servers/"+b.id, map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.machine.service, "version": "v1", "zone": b.machine.zone, "concurrency": slots},
		"status": map[string]any{"state": state, "sequence": b.beats.Add(1), "coldLeftS": 0},
	})
}

// beat registers the backend server from time to time.
func (b *backend) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.register("ready")
		case <-b.ended:
			return
		}
	}
}

// end ends the backend server without notice. The store removes its entry after three heartbeat
// intervals of silence.
func (b *backend) end() {
	close(b.ended)
	_ = b.listener.Close()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
	time.AfterFunc(3*heartbeat, func() { b.fleet.store.remove("servers/" + b.id) })
}

// connection serves the requests of one connection, one at a time.
func (b *backend) connection(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mutex.Lock()
		delete(b.conns, c)
		b.mutex.Unlock()
	}()
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		e := &exchange{backend: b, number: number, conn: c, reader: reader, request: r, id: r.Header.Get("Request-Id"), keep: true}
		switch expected := r.Header.Get("Expect-Instance"); {
		case r.URL.Path == "/healthz":
			e.write(http.StatusOK, "Instance-Id: "+b.id+"\r\n", nil)
		case expected != "" && expected != b.id:
			e.write(http.StatusMisdirectedRequest, "Not-Executed: 1\r\nInstance-Id: "+b.id+"\r\n", nil)
		case b.running.Load() >= slots:
			_, _ = io.Copy(io.Discard, r.Body)
			e.write(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", nil)
		default:
			b.running.Add(1)
			e.stamp = fmt.Sprintf("%s.%d", b.id, b.stamps.Add(1))
			b.serve(e)
			b.running.Add(-1)
		}
		if !e.keep {
			return
		}
	}
}

// head returns the head of a response with a body of a length.
func (e *exchange) head(status int, extra string, length int) string {
	id := ""
	if e.id != "" {
		id = "Request-Id: " + e.id + "\r\n"
	}
	load := fmt.Sprintf("Server-Load: %d,0,%d,100\r\n", e.backend.running.Load(), slots)
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + id + load + extra + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// write writes a whole response.
func (e *exchange) write(status int, extra string, body []byte) {
	if _, err := e.conn.Write(append([]byte(e.head(status, extra, len(body))), body...)); err != nil {
		e.keep = false
	}
}

// answer writes a success with the receipt.
func (e *exchange) answer(body []byte) {
	e.write(http.StatusOK, "Response-Stamp: "+e.stamp+"\r\n", body)
}

// readBody reads the body of the request to its end and returns its digest. The error is nil if
// the body is complete.
func (e *exchange) readBody() (digest string, size int64, err error) {
	h := sha256.New()
	size, err = io.Copy(h, e.request.Body)
	if err != nil {
		e.keep = false
	}
	return hex.EncodeToString(h.Sum(nil)[:8]), size, err
}

// log is a concurrent map from request ids to what happened to them.
type log[T any] struct {
	mutex   sync.Mutex
	entries map[string][]T
}

// add adds an entry for an id.
func (l *log[T]) add(id string, v T) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.entries == nil {
		l.entries = make(map[string][]T)
	}
	l.entries[id] = append(l.entries[id], v)
}

// of returns the entries for an id.
func (l *log[T]) of(id string) []T {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]T(nil), l.entries[id]...)
}
