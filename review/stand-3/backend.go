package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// backendOptions describe a backend.
type backendOptions struct {
	service, zone, address string
	slots                  int
}

// run is one run of a request at a backend.
type run struct {
	id, service, instance, method, target, caller string
	size                                          int64
	sum                                           string
	began                                         time.Time
}

// runs holds the runs at all backends.
type runs struct {
	mutex sync.Mutex
	byID  map[string][]run
}

var allRuns = &runs{byID: make(map[string][]run)}

func (r *runs) add(x run) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.byID[x.id] = append(r.byID[x.id], x)
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// backend is a stand-in of a backend server.
type backend struct {
	world   *world
	options backendOptions
	id      string
	born    time.Time
	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int64
	running atomic.Int64
	state   atomic.Value
	// handle may serve a request in place of the usual way, after it was accepted.
	handle atomic.Value
}

type handler func(b *backend, w http.ResponseWriter, r *http.Request) bool

func newBackend(w *world, o backendOptions) (*backend, error) {
	if o.slots == 0 {
		o.slots = 18
	}
	l, err := net.Listen("tcp", o.address)
	if err != nil {
		return nil, err
	}
	b := &backend{world: w, options: o, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now(), slots: make(chan struct{}, o.slots)}
	b.state.Store("ready")
	b.handle.Store(handler(func(*backend, http.ResponseWriter, *http.Request) bool { return false }))
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

func (b *backend) stop() { _ = b.server.Close() }

// beat writes the entry of the backend until done is closed.
func (b *backend) beat(done chan struct{}) {
	for sequence := 1; ; sequence++ {
		if s := b.state.Load().(string); s != "gone" {
			b.world.store.putServer(b, s, sequence)
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d,100", b.running.Load(), b.waiting.Load(), b.options.slots)
}

// ServeHTTP serves a request or a health check.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", b.load())
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", b.id)
		if b.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if b.handle.Load().(handler)(b, w, r) {
		return
	}
	b.serve(w, r)
}

// serve runs a request once a slot is free.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if b.waiting.Add(1) > int64(2*b.options.slots) {
		b.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	b.waiting.Add(-1)
	defer func() { <-b.slots }()
	b.running.Add(1)
	defer b.running.Add(-1)
	sum := sha256.New()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		b.world.record.add("backend %s: request %s broke off after %d bytes of its body: %v", b.id, r.Header.Get("Request-Id"), size, err)
		return
	}
	x := b.note(r, size, hex.EncodeToString(sum.Sum(nil)[:8]))
	work, _ := strconv.Atoi(r.Header.Get("Test-Work-Ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	b.answer(w, r, x)
}

// note records a run.
func (b *backend) note(r *http.Request, size int64, sum string) run {
	x := run{
		id: r.Header.Get("Request-Id"), service: b.options.service, instance: b.id, method: r.Method, target: r.RequestURI,
		caller: r.Header.Get("Caller-Service"), size: size, sum: sum, began: time.Now(),
	}
	allRuns.add(x)
	return x
}

// answer answers a request that ran.
func (b *backend) answer(w http.ResponseWriter, r *http.Request, x run) {
	size, _ := strconv.Atoi(r.Header.Get("Test-Size"))
	body := bodyFor(x.id, size)
	h := w.Header()
	h.Set("Response-Stamp", stampOf(x.id, b.id, 200))
	h.Set("Server-Load", b.load())
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

// bodyFor returns the body of the response to a request.
func bodyFor(id string, size int) []byte {
	b := []byte("answer to " + id + "\n")
	line := sha256.Sum256([]byte(id))
	text := []byte(hex.EncodeToString(line[:]) + "\n")
	for len(b) < size {
		b = append(b, text...)
	}
	if size > 0 {
		return b[:max(size, 27)]
	}
	return b
}
