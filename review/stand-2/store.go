package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	// removed marks the event that a key was removed.
	removed bool
}

// Store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type Store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []past
	revision uint64
	changed  chan struct{}
	// dropped is the newest revision that the history no longer has.
	dropped uint64
	address string
}

// past is a change in the history of the store.
type past struct {
	item
	at time.Time
}

// pageItems and pageBytes limit a page of a range: it has one item at least.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// historyTime is the time for which the store keeps its history.
const historyTime = 20 * time.Second

// NewStore starts a store that listens on address.
func NewStore(address string) (*Store, error) {
	s := &Store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s, nil
}

// Put writes a key with the JSON text of value, and returns the size of the text.
func (s *Store) Put(key string, value any) int {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.PutBytes(key, text)
}

// PutBytes writes a key with any bytes, and returns their number.
func (s *Store) PutBytes(key string, text []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.record(i)
	return len(text)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, removed: true})
}

// record adds a change to the history and wakes the watches.
func (s *Store) record(c item) {
	s.history = append(s.history, past{item: c, at: time.Now()})
	s.trim()
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops what is older than historyTime.
func (s *Store) trim() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

// serveKey answers with one item.
func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mutex.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "atRev": revision})
}

// serveRange answers with a page of the items below a prefix.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mutex.Lock()
	var items []item
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	size, count := 0, 0
	for count < len(items) && count < pageItems && (count == 0 || size+len(items[count].Value) <= pageBytes) {
		size += len(items[count].Value)
		count++
	}
	more := count < len(items)
	items = items[:count]
	if items == nil {
		items = []item{}
	}
	writeJSON(w, map[string]any{"items": items, "morePages": more, "atRev": revision})
}

// serveWatch answers with the changes below a prefix since a revision, as soon as there is one.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		s.trim()
		if after < s.dropped {
			s.mutex.Unlock()
			http.Error(w, "this history is no longer available", http.StatusGone)
			return
		}
		changed, revision := s.changed, s.revision
		events := []any{}
		for _, c := range s.history {
			if c.Revision <= after || !strings.HasPrefix(c.Key, q.Get("pathPrefix")) {
				continue
			}
			if c.removed {
				events = append(events, map[string]any{"key": c.Key, "revision": c.Revision, "removed": true})
				continue
			}
			events = append(events, c.item)
		}
		s.mutex.Unlock()
		if len(events) > 0 || wait == 0 {
			writeJSON(w, map[string]any{"events": events, "atRev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON writes v as the whole answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
