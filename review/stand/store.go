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

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// store plays the platform's store. Its history is never discarded.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// times holds the time of each change in history.
	times   []time.Time
	changed chan struct{}
	// staleness is the age of what a read gets that allows a stale response.
	staleness time.Duration
	server    *http.Server
	address   string
}

// firstRevision is the revision of the empty store.
const firstRevision = 100

// newStore starts a store at address.
func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: firstRevision, items: make(map[string]item), changed: make(chan struct{}), address: l.Addr().String()}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/kv-key", s.key)
	m.HandleFunc("GET /v1/kv-range", s.list)
	m.HandleFunc("GET /v1/kv-watch", s.watch)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a key.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	i := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	s.items[key] = i
	s.add(i)
}

// remove removes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Removed: true})
}

// add appends a change to the history and wakes the watches. The mutex must be held.
func (s *store) add(i item) {
	s.history = append(s.history, i)
	s.times = append(s.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// key answers a read of one key.
func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "atRev": s.revision})
}

// list answers a read of all keys below a prefix.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	items, revision := s.items, s.revision
	if r.URL.Query().Get("staleOk") == "1" {
		items, revision = s.at(time.Now().Add(-s.staleness))
	}
	found := []item{}
	for k, i := range items {
		if strings.HasPrefix(k, prefix) && k > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	writeJSON(w, map[string]any{"items": found, "morePages": false, "atRev": revision})
}

// at returns the items and the revision at a time. The mutex must be held.
func (s *store) at(t time.Time) (items map[string]item, revision uint64) {
	items, revision = make(map[string]item), firstRevision
	for n, i := range s.history {
		if s.times[n].After(t) {
			break
		}
		revision = i.Revision
		if i.Removed {
			delete(items, i.Key)
			continue
		}
		items[i.Key] = i
	}
	return items, revision
}

// watch answers with the changes since a revision, and waits for the first one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("pathPrefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mutex.Lock()
		found := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				found = append(found, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(found) > 0 {
			writeJSON(w, map[string]any{"events": found, "atRev": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, map[string]any{"events": found, "atRev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
