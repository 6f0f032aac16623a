package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	address  string
	record   *record
	server   *http.Server
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
}

type storeItem struct {
	key               string
	value             []byte
	revision, created uint64
}

func newStore(address string, record *record) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{address: address, record: record, revision: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) stop() { _ = s.server.Close() }

// put writes a key.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := storeItem{key: key, value: value, revision: s.revision, created: s.revision}
	if before, ok := s.items[key]; ok {
		i.created = before.created
	}
	s.items[key] = i
	s.note(i)
}

// note adds an event. The mutex must be held.
func (s *store) note(i storeItem) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) jsonOf(i storeItem) map[string]any {
	return map[string]any{"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision, "created": i.created, "lease": 0}
}

func (s *store) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		s.reply(w, http.StatusNotFound, map[string]any{"atRev": s.revision})
		return
	}
	v := s.jsonOf(i)
	v["atRev"] = s.revision
	s.reply(w, http.StatusOK, v)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	q := r.URL.Query()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := make([]any, 0, len(keys))
	for _, k := range keys {
		items = append(items, s.jsonOf(s.items[k]))
	}
	s.reply(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "atRev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mutex.Lock()
		events := make([]any, 0)
		for _, e := range s.events {
			if e.revision > after && strings.HasPrefix(e.key, q.Get("pathPrefix")) {
				events = append(events, s.jsonOf(e))
			}
		}
		if after > s.revision {
			s.reply(w, http.StatusGone, map[string]any{"atRev": s.revision})
			s.mutex.Unlock()
			return
		}
		if len(events) > 0 || expired || wait == 0 {
			s.reply(w, http.StatusOK, map[string]any{"events": events, "atRev": s.revision})
			s.mutex.Unlock()
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// putServer writes the entry of a backend.
func (s *store) putServer(b *backend, state string, sequence int) {
	text, _ := json.Marshal(map[string]any{
		"address": b.options.address, "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.options.service, "version": "v1", "zone": b.options.zone, "concurrency": b.options.slots},
		"status": map[string]any{"state": state, "sequence": sequence, "coldLeftS": 0},
	})
	s.put(fmt.Sprintf("servers/%s", b.id), text)
}
