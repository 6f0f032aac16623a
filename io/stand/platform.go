package stand

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bulrushlock/core/fleet"
)

// largest is the largest text that a control request may carry in bytes.
const largest = 1 << 20

// document is a text with its revision, which is 0 before the first text.
type document struct {
	revision uint64
	text     string
}

// replace returns the document with the next revision.
func (d document) replace(text string) document {
	return document{revision: d.revision + 1, text: text}
}

// documents are the two texts of the platform.
type documents struct {
	rules     document
	instances document
}

// Platform is a stand-in for the configuration service and the instance list.
type Platform struct {
	mux *http.ServeMux

	mu      sync.Mutex
	live    documents
	frozen  documents
	down    bool
	stale   bool
	slow    time.Duration
	calls   int
	changed chan struct{}
}

var _ http.Handler = (*Platform)(nil)

// NewPlatform returns a platform that has published nothing yet.
func NewPlatform() *Platform {
	p := &Platform{mux: http.NewServeMux(), changed: make(chan struct{})}
	p.mux.HandleFunc("GET /rules", p.reader(func(d documents) document { return d.rules }))
	p.mux.HandleFunc("GET /instances", p.reader(func(d documents) document { return d.instances }))
	p.mux.HandleFunc("POST /control/rules", p.controlRules)
	p.mux.HandleFunc("POST /control/instances", p.controlInstances)
	p.mux.HandleFunc("POST /control/fault", p.controlFault)
	p.mux.HandleFunc("GET /control/calls", p.controlCalls)
	return p
}

// ServeHTTP answers one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Publish publishes a text of rules and returns its revision.
func (p *Platform) Publish(text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live.rules = p.live.rules.replace(text)
	p.wake()
	return p.live.rules.revision
}

// List publishes an instance list and returns its revision. An instance that
// has no text form is a fault of the test, so List panics with a *fleet.ParseError.
func (p *Platform) List(instances []fleet.Instance) uint64 {
	text, err := fleet.Format(instances)
	if err != nil {
		panic(err)
	}
	return p.list(text)
}

// list publishes the text of an instance list and returns its revision.
func (p *Platform) list(text string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live.instances = p.live.instances.replace(text)
	p.wake()
	return p.live.instances.revision
}

// SetDown breaks the connection of every waiting and every new read.
func (p *Platform) SetDown(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = on
	p.wake()
}

// SetStale makes reads see what stood when it was switched on.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && !p.stale {
		p.frozen = p.live
	}
	p.stale = on
	p.wake()
}

// SetSlow makes every read take d longer.
func (p *Platform) SetSlow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = d
}

// Calls returns the number of reads; a read that waits counts as one.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// wake makes every waiting read look again. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// call counts a read and returns how long it is held back.
func (p *Platform) call() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.slow
}

// glance is what a read sees at one moment.
type glance struct {
	documents documents
	down      bool
	// changed is closed when a later glance may see something else.
	changed chan struct{}
}

// look returns what a read sees now.
func (p *Platform) look() glance {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := glance{documents: p.live, down: p.down, changed: p.changed}
	if p.stale {
		g.documents = p.frozen
	}
	return g
}

// reader returns the handler that reads one of the documents.
func (p *Platform) reader(pick func(documents) document) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, wait, err := watchQuery(r.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !sleep(r, p.call()) {
			return
		}
		p.watch(w, r, pick, after, wait)
	}
}

// watch answers once there is a revision above after, or with 304 after the wait.
func (p *Platform) watch(
	w http.ResponseWriter, r *http.Request, pick func(documents) document, after uint64, wait time.Duration,
) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		g := p.look()
		if g.down {
			reset(w)
			return
		}
		if d := pick(g.documents); d.revision > after {
			answerDocument(w, d)
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

// watchQuery reads the revision and the wait of a read.
func watchQuery(q url.Values) (after uint64, wait time.Duration, err error) {
	if text := q.Get("after"); text != "" {
		after, err = strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, 0, &ControlError{Key: "after", Text: text}
		}
	}
	if text := q.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 {
			return 0, 0, &ControlError{Key: "wait", Text: text}
		}
	}
	return after, wait, nil
}

// sleep passes d. It returns false when the caller is gone.
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

// answerDocument writes a document as the whole answer.
func answerDocument(w http.ResponseWriter, d document) {
	w.Header().Set("Revision", strconv.FormatUint(d.revision, 10))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// A reader that is gone reads no answer, so a failed write changes nothing.
	_, _ = io.WriteString(w, d.text)
}

// controlRules publishes the body as the text of rules.
func (p *Platform) controlRules(w http.ResponseWriter, r *http.Request) {
	text, ok := readControl(w, r)
	if !ok {
		return
	}
	answerRevision(w, p.Publish(text))
}

// controlInstances publishes the body as the instance list.
func (p *Platform) controlInstances(w http.ResponseWriter, r *http.Request) {
	text, ok := readControl(w, r)
	if !ok {
		return
	}
	if _, err := fleet.Parse(text); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answerRevision(w, p.list(text))
}

// readControl reads the body of a control request, or answers what is wrong with it.
func readControl(w http.ResponseWriter, r *http.Request) (string, bool) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largest))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return string(text), true
}

// answerRevision answers with the revision of a published document.
func answerRevision(w http.ResponseWriter, revision uint64) {
	answerJSON(w, http.StatusOK, struct {
		Revision uint64 `json:"revision"`
	}{Revision: revision})
}

// controlFault changes the faults that the query names:
// POST /control/fault?down=1&stale=1&slow=50ms.
func (p *Platform) controlFault(w http.ResponseWriter, r *http.Request) {
	if err := p.setFaults(r.URL.Query()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// setFaults changes the faults that a query names, or none when a value is bad.
func (p *Platform) setFaults(q url.Values) error {
	down, err := readBool(q, "down", false)
	if err != nil {
		return err
	}
	stale, err := readBool(q, "stale", false)
	if err != nil {
		return err
	}
	slow := time.Duration(0)
	if text := q.Get("slow"); text != "" {
		slow, err = time.ParseDuration(text)
		if err != nil || slow < 0 {
			return &ControlError{Key: "slow", Text: text}
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

// controlCalls answers with the number of reads.
func (p *Platform) controlCalls(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, struct {
		Calls int `json:"calls"`
	}{Calls: p.Calls()})
}
