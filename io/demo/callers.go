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
	"bulrushlock/io/fake"
	"bulrushlock/io/proto"
)

// Kinds of requests.
const (
	kindLookup = "lookup"
	kindClaim  = "claim"
	kindExport = "export"
)

const (
	// lookupCallers is the number of callers that send lookups concurrently.
	lookupCallers = 6
	// claimCallers is the number of callers that send claims concurrently.
	claimCallers = 3
	// exportSize is the size of an export in bytes.
	exportSize = 4 << 20
	// exportPace is the time between two chunks of an export.
	exportPace = 40 * time.Millisecond
	// requestTimeout is the maximum time that a caller waits for a complete response.
	requestTimeout = 15 * time.Second
)

// request is one request of a caller and its result.
type request struct {
	kind string
	id   string
	// outcome is the outcome that the caller received, or Unknown if it received none.
	outcome effect.Outcome
	// complete reports whether the response was complete and matched the request.
	complete bool
	// err is the reason why the response to a request with outcome Run is not complete.
	err error
}

// MismatchError reports a response that does not match its request.
type MismatchError struct {
	Request  string
	Response string
}

// Error returns a message with the request ID and a description of the response.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("request %s got the wrong response %q", e.Request, e.Response)
}

// callers sends requests and records their results.
type callers struct {
	deployment *deployment

	mutex      sync.Mutex
	lastNumber int
	sent       []*request
}

// send sends count requests of a kind over atOnce concurrent callers and waits for
// the responses.
func (c *callers) send(ctx context.Context, kind string, count, atOnce int) {
	var working sync.WaitGroup
	for i := range atOnce {
		working.Go(func() {
			for n := i; n < count; n += atOnce {
				c.sendOne(ctx, kind, c.deployment.instances[n%len(c.deployment.instances)])
			}
		})
	}
	working.Wait()
}

// sendMixed sends the lookups and claims of one step concurrently and waits for the
// responses.
func (c *callers) sendMixed(ctx context.Context) {
	var working sync.WaitGroup
	working.Go(func() { c.send(ctx, kindLookup, lookupsPerStep, lookupCallers) })
	working.Go(func() { c.send(ctx, kindClaim, claimsPerStep, claimCallers) })
	working.Wait()
}

// export starts an export at the node of an instance. The returned function waits for
// its end.
func (c *callers) export(ctx context.Context, p *instance) (wait func()) {
	var working sync.WaitGroup
	working.Go(func() { c.sendOne(ctx, kindExport, p) })
	return working.Wait
}

// sendOne sends one request to the node of an instance and records its result.
func (c *callers) sendOne(ctx context.Context, kind string, p *instance) {
	c.mutex.Lock()
	c.lastNumber++
	q := &request{kind: kind, id: fmt.Sprintf("%s-%d", kind, c.lastNumber), outcome: effect.Unknown}
	c.sent = append(c.sent, q)
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	outcome, complete, err := c.exchange(ctx, q, p)
	c.mutex.Lock()
	q.outcome, q.complete, q.err = outcome, complete, err
	c.mutex.Unlock()
}

// exchange sends q and returns its outcome and whether the response is complete.
func (c *callers) exchange(ctx context.Context, q *request, p *instance) (o effect.Outcome, complete bool, fault error) {
	r, err := httpRequest(ctx, q, "http://"+p.settings.Callers.String())
	if err != nil {
		return effect.NotRun, false, err
	}
	resp, err := c.deployment.client.Do(r)
	if err != nil {
		return effect.Unknown, false, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if outcome := resp.Header.Get(proto.HeaderOutcome); outcome != effect.Run.String() {
		return parseOutcome(outcome), false, nil
	}
	if err == nil {
		err = checkResponse(q, r.URL.RequestURI(), body)
	}
	return effect.Run, err == nil, err
}

// httpRequest returns the HTTP request for q.
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

// parseOutcome returns the outcome in the text of a header, or Unknown.
func parseOutcome(text string) effect.Outcome {
	for _, o := range []effect.Outcome{effect.Run, effect.NotRun, effect.Running} {
		if o.String() == text {
			return o
		}
	}
	return effect.Unknown
}

// checkResponse checks that body is the complete response to q. It returns a
// *MismatchError if the response does not match, or the error of decoding it.
func checkResponse(q *request, target string, body []byte) error {
	if q.kind == kindExport {
		want, err := io.ReadAll(fake.Export(q.id, exportSize))
		if err != nil || !bytes.Equal(body, want) {
			return &MismatchError{Request: q.id, Response: fmt.Sprintf("%d bytes", len(body))}
		}
		return nil
	}
	var e fake.Echo
	if err := json.Unmarshal(body, &e); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if e.ID != q.id || e.Path != target {
		return &MismatchError{Request: q.id, Response: e.ID + " " + e.Path}
	}
	return nil
}
