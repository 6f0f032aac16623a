package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/io/stand"
	"bulrushlock/io/xchg"
)

// Kinds of requests.
const (
	kindLookup = "lookup"
	kindClaim  = "claim"
	kindExport = "export"
)

const (
	// lookupCallers is the number of callers that look up at once.
	lookupCallers = 6
	// claimCallers is the number of callers that claim at once.
	claimCallers = 3
	// exportSize is the size of an export in bytes.
	exportSize = 4 << 20
	// exportPace is the time between two parts of an export.
	exportPace = 40 * time.Millisecond
	// requestTime is the longest time that a caller waits for a whole answer.
	requestTime = 15 * time.Second
)

// request is one request of a caller and what became of it.
type request struct {
	kind string
	id   string
	// outcome is what the caller was told; it is Unknown where the caller was told nothing.
	outcome effect.Outcome
	// whole tells that the answer came whole and belongs to the request.
	whole bool
	// fault is why an answer that was promised to be whole is not.
	fault error
}

// AnswerError is an answer that belongs to another request.
type AnswerError struct {
	Request string
	Answer  string
}

// Error names the request and the answer that it got.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("request %s got the answer of %q", e.Request, e.Answer)
}

// callers send requests and keep what became of them.
type callers struct {
	deployment *deployment

	mutex sync.Mutex
	next  int
	sent  []*request
}

// send sends a number of requests of a kind, atOnce of them at a time, and
// waits for their answers.
func (c *callers) send(ctx context.Context, kind string, count, atOnce int) {
	var working sync.WaitGroup
	for i := range atOnce {
		working.Go(func() {
			for n := i; n < count; n += atOnce {
				c.one(ctx, kind, c.deployment.instances[n%len(c.deployment.instances)])
			}
		})
	}
	working.Wait()
}

// mix sends the lookups and claims of one step at once and waits for their answers.
func (c *callers) mix(ctx context.Context) {
	var working sync.WaitGroup
	working.Go(func() { c.send(ctx, kindLookup, lookups, lookupCallers) })
	working.Go(func() { c.send(ctx, kindClaim, claims, claimCallers) })
	working.Wait()
}

// export starts an export at the node of an instance. The returned function waits for its end.
func (c *callers) export(ctx context.Context, p *instance) (wait func()) {
	var working sync.WaitGroup
	working.Go(func() { c.one(ctx, kindExport, p) })
	return working.Wait
}

// one sends one request to the node of an instance.
func (c *callers) one(ctx context.Context, kind string, p *instance) {
	c.mutex.Lock()
	c.next++
	q := &request{kind: kind, id: fmt.Sprintf("%s-%d", kind, c.next), outcome: effect.Unknown}
	c.sent = append(c.sent, q)
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	outcome, whole, fault := c.exchange(ctx, q, p)
	c.mutex.Lock()
	q.outcome, q.whole, q.fault = outcome, whole, fault
	c.mutex.Unlock()
}

// exchange sends q and reads its answer.
func (c *callers) exchange(ctx context.Context, q *request, p *instance) (o effect.Outcome, whole bool, fault error) {
	r, err := httpRequest(ctx, q, "http://"+p.settings.Callers.String())
	if err != nil {
		return effect.NotRun, false, err
	}
	a, err := c.deployment.client.Do(r)
	if err != nil {
		return effect.Unknown, false, nil
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if outcome := a.Header.Get(xchg.HeaderOutcome); outcome != effect.Run.String() {
		return outcomeOf(outcome), false, nil
	}
	if err == nil {
		err = check(q, r.URL.RequestURI(), body)
	}
	return effect.Run, err == nil, err
}

// httpRequest returns the HTTP request that carries q.
func httpRequest(ctx context.Context, q *request, origin string) (*http.Request, error) {
	method, path, body := http.MethodGet, "/lines/"+q.id, ""
	switch q.kind {
	case kindClaim:
		method, path, body = http.MethodPost, "/claims", "claim "+q.id
	case kindExport:
		path = fmt.Sprintf("/exports/%s?size=%d&pace=%v", q.id, exportSize, exportPace)
	}
	r, err := http.NewRequestWithContext(ctx, method, origin+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Id", q.id)
	return r, nil
}

// outcomeOf returns the outcome that a header tells.
func outcomeOf(text string) effect.Outcome {
	for _, o := range []effect.Outcome{effect.Run, effect.NotRun, effect.Running} {
		if o.String() == text {
			return o
		}
	}
	return effect.Unknown
}

// check tells whether body is the whole answer to q. It fails with an *AnswerError.
func check(q *request, target string, body []byte) error {
	if q.kind == kindExport {
		want, err := io.ReadAll(stand.Export(q.id, exportSize))
		if err != nil || !bytes.Equal(body, want) {
			return &AnswerError{Request: q.id, Answer: fmt.Sprintf("%d bytes", len(body))}
		}
		return nil
	}
	var e stand.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if e.ID != q.id || e.Path != target {
		return &AnswerError{Request: q.id, Answer: e.ID + " " + e.Path}
	}
	return nil
}
