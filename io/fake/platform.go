package fake

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bulrushlock/core/fleet"
)

// maxControlBody is the maximum size of the body of a control request in bytes.
const maxControlBody = 1 << 20

// document is a text and its revision, which is 0 before the first one is published.
type document struct {
	revision uint64
	// edition is the author's number of the text, or 0 if it has none.
	edition uint64
	text    string
}

// next returns the document with the given text and the next revision.
func (d document) next(text string) document {
	return document{revision: d.revision + 1, text: text}
}

// documents holds the two documents of the platform.
type documents struct {
	// epoch counts how often the platform came back from an older copy.
	epoch     uint64
	rules     document
	instances document
}

// savedDocuments are documents that were published at a time.
type savedDocuments struct {
	at        time.Time
	documents documents
}

// maxSaved is the number of states that a platform can come back to.
const maxSaved = 256

// Platform is a fake of the platform, which publishes the rules and the instance list.
type Platform struct {
	mux *http.ServeMux

	mu        sync.Mutex
	published documents
	// saved are the last states that were published, in their order.
	saved   []savedDocuments
	frozen  documents
	down    bool
	stale   bool
	slow    time.Duration
	reads   int
	changed chan struct{}
}

var _ http.Handler = (*Platform)(nil)

// NewPlatform returns a platform that has not published any document.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), changed: make(chan struct{})}
	p.mux.HandleFunc("GET /rules", p.readHandler(func(d documents) document { return d.rules }))
	p.mux.HandleFunc("GET /instances", p.readHandler(func(d documents) document { return d.instances }))
	p.mux.HandleFunc("POST /control/rules", p.controlRules)
	p.mux.HandleFunc("POST /control/instances", p.controlInstances)
	p.mux.HandleFunc("POST /control/fault", p.controlFault)
	p.mux.HandleFunc("POST /control/return", p.controlReturn)
	p.mux.HandleFunc("GET /control/calls", p.controlCalls)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// PublishRules publishes rules and returns their revision.
func (p *Platform) PublishRules(text string) uint64 { return p.publishEdition(text, 0) }

// publishEdition publishes an edition of the rules and returns its revision.
func (p *Platform) publishEdition(text string, edition uint64) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.rules = p.published.rules.next(text)
	p.published.rules.edition = edition
	p.save()
	p.wakeReaders()
	return p.published.rules.revision
}

// save keeps what is published. The caller must hold the mutex.
func (p *Platform) save() {
	if len(p.saved) == maxSaved {
		p.saved = p.saved[1:]
	}
	p.saved = append(p.saved, savedDocuments{at: time.Now(), documents: p.published})
}

// ReturnFromCopy makes the platform come back from a copy of the documents as they were a time ago, in
// a new epoch. The revisions since then are given out once more.
func (p *Platform) ReturnFromCopy(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	epoch, wanted := p.published.epoch+1, time.Now().Add(-age)
	for len(p.saved) > 1 && p.saved[len(p.saved)-1].at.After(wanted) {
		p.saved = p.saved[:len(p.saved)-1]
	}
	if len(p.saved) > 0 {
		p.published = p.saved[len(p.saved)-1].documents
	}
	p.published.epoch = epoch
	p.wakeReaders()
}

// PublishInstances publishes an instance list and returns its revision. An instance that
// cannot be formatted is a bug in the test, so PublishInstances panics with a
// *fleet.ParseError.
func (p *Platform) PublishInstances(instances []fleet.Instance) uint64 {
	text, err := fleet.Format(instances)
	if err != nil {
		panic(err)
	}
	return p.publishInstanceList(text)
}

// publishInstanceList publishes the text of an instance list and returns its revision.
func (p *Platform) publishInstanceList(text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.published.instances = p.published.instances.next(text)
	p.save()
	p.wakeReaders()
	return p.published.instances.revision
}

// SetDown resets the connections of all waiting and new reads.
func (p *Platform) SetDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
	p.wakeReaders()
}

// SetStale makes reads return the documents as they were when it was switched on.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.stale {
		p.frozen = p.published
	}
	p.stale = on
	p.wakeReaders()
}

// SetSlow delays every read by d.
func (p *Platform) SetSlow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Reads returns the number of reads. A long poll counts as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// wakeReaders makes every waiting read check again. The caller must hold the mutex.
func (p *Platform) wakeReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// beginRead counts a read and returns the delay to apply to it.
func (p *Platform) beginRead() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	return p.slow
}

// snapshot is the state of the platform that a read sees.
type snapshot struct {
	documents documents
	down      bool
	// changed is closed when a later snapshot may differ.
	changed chan struct{}
}

// snapshot returns the current state that a read sees.
func (p *Platform) snapshot() snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := snapshot{documents: p.published, down: p.down, changed: p.changed}
	if p.stale {
		g.documents = p.frozen
	}
	return g
}

// readHandler returns the handler that reads the document that pick returns.
func (p *Platform) readHandler(pick func(documents) document) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		q, err := parseWatchQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !sleep(r, p.beginRead()) {
			return
		}
		p.watch(w, r, pick, q)
	}
}

// watch responds with the document once it is newer than the one that the reader holds, or with status
// 304 once its wait has passed. In another epoch each document is newer.
func (p *Platform) watch(w http.ResponseWriter, r *http.Request, pick func(documents) document, q watchQuery) {
	t := time.NewTimer(q.wait)
	defer t.Stop()
	for {
		g := p.snapshot()
		if g.down {
			resetConnection(w)
			return
		}
		if epoch := g.documents.epoch; epoch > 0 {
			w.Header().Set("Epoch", strconv.FormatUint(epoch, 10))
		}
		if d := pick(g.documents); d.revision > q.after || d.revision > 0 && g.documents.epoch != q.epoch {
			writeDocument(w, d)
			return
		}
		select {
		case <-g.changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// watchQuery is the epoch and the revision that a reader holds, and its wait time.
type watchQuery struct {
	epoch, after uint64
	wait         time.Duration
}

// parseWatchQuery parses the parameters of a read.
func parseWatchQuery(q url.Values) (watchQuery, error) {
	var result watchQuery
	var err error
	if result.after, err = parseNumber(q, "after"); err != nil {
		return watchQuery{}, err
	}
	if result.epoch, err = parseNumber(q, "epoch"); err != nil {
		return watchQuery{}, err
	}
	if text := q.Get("wait"); text != "" {
		result.wait, err = time.ParseDuration(text)
		if err != nil || result.wait < 0 {
			return watchQuery{}, &ParameterError{Key: "wait", Text: text}
		}
	}
	return result, nil
}

// parseNumber returns the number in a parameter, or 0 if it is missing.
func parseNumber(q url.Values, key string) (uint64, error) {
	text := q.Get(key)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &ParameterError{Key: key, Text: text}
	}
	return n, nil
}

// sleep waits for d. It returns false if the request is canceled first.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeDocument writes a document as the response.
func writeDocument(w http.ResponseWriter, d document) {
	w.Header().Set("Revision", strconv.FormatUint(d.revision, 10))
	if d.edition > 0 {
		w.Header().Set("Edition", strconv.FormatUint(d.edition, 10))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A failed write means that the reader has disconnected and needs no response.
	_, _ = io.WriteString(w, d.text)
}

// controlRules publishes the request body as the rules. The query may give their edition.
func (p *Platform) controlRules(w http.ResponseWriter, r *http.Request) {
	edition, err := parseNumber(r.URL.Query(), "edition")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, ok := readBody(w, r)
	if !ok {
		return
	}
	writeRevision(w, p.publishEdition(text, edition))
}

// controlReturn makes the platform come back from a copy, as in POST /control/return?age=2s.
func (p *Platform) controlReturn(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("age")
	age, err := time.ParseDuration(text)
	if err != nil || age < 0 {
		http.Error(w, (&ParameterError{Key: "age", Text: text}).Error(), http.StatusBadRequest)
		return
	}
	p.ReturnFromCopy(age)
	w.WriteHeader(http.StatusNoContent)
}

// controlInstances publishes the request body as the instance list.
func (p *Platform) controlInstances(w http.ResponseWriter, r *http.Request) {
	text, ok := readBody(w, r)
	if !ok {
		return
	}
	if _, err := fleet.Parse(text); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeRevision(w, p.publishInstanceList(text))
}

// readBody returns the body of a control request. On failure it responds with status
// 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request) (string, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return string(text), true
}

// writeRevision responds with the revision of a published document.
func writeRevision(w http.ResponseWriter, revision uint64) {
	writeJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{Revision: revision})
}

// controlFault sets the faults that the query names, as in
// POST /control/fault?down=1&stale=1&slow=50ms.
func (p *Platform) controlFault(w http.ResponseWriter, r *http.Request) {
	if err := p.setFaults(r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setFaults sets the faults that the query names, or none if a value is invalid.
func (p *Platform) setFaults(q url.Values) error {
	down, err := parseBool(q, "down", false)
	if err != nil {
		return err
	}
	stale, err := parseBool(q, "stale", false)
	if err != nil {
		return err
	}
	slow := time.Duration(0)
	if text := q.Get("slow"); text != "" {
		slow, err = time.ParseDuration(text)
		if err != nil || slow < 0 {
			return &ParameterError{Key: "slow", Text: text}
		}
	}
	if q.Has("down") {
		p.SetDown(down)
	}
	if q.Has("stale") {
		p.SetStale(stale)
	}
	if q.Has("slow") {
		p.SetSlow(slow)
	}
	return nil
}

// controlCalls responds with the number of reads.
func (p *Platform) controlCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Calls int `json:"calls"`
	}{Calls: p.Reads()})
}
