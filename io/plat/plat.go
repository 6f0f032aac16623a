// Package plat reads the routing rules and the instance list that the platform publishes.
//
// # Usage
//
//	p := plat.NewHTTP(address, http.DefaultClient)
//	d, err := p.Rules(ctx, plat.Query{After: revision, MaxHold: 20 * time.Second})
//	var unchanged *plat.UnchangedError
//	if errors.As(err, &unchanged) {
//		return nil // no higher revision was published within MaxHold
//	}
package plat

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

const (
	// maxDocumentSize is the size in bytes of the largest accepted document.
	maxDocumentSize = 1 << 20
	// responseGrace is the time that a response may take in addition to Query.MaxHold.
	responseGrace = 5 * time.Second
	// revisionHeader is the HTTP header that carries the revision of a document. A platform may add
	// the epoch and the edition.
	revisionHeader = "Revision"
	epochHeader    = "Epoch"
	editionHeader  = "Edition"
)

// Document is a published text and its version.
type Document struct {
	// Edition is the number that the author of the text counts up, and Epoch the number of times
	// that the platform came back from an older copy of its data. Each is 0 if it isn't known.
	Edition  uint64
	Epoch    uint64
	Revision uint64
	Text     string
}

// Query holds the parameters of a read.
type Query struct {
	// Epoch is the epoch of After and Held.
	Epoch uint64
	// After is the revision that the document must exceed. In another epoch, any document exceeds it.
	After uint64
	// MaxHold is the longest time to wait for such a revision. A platform that does not support
	// waiting responds with its current document.
	MaxHold time.Duration
	// AllowStale allows a document that is some seconds out of date, which is cheaper for the
	// platform. HTTP ignores it.
	AllowStale bool
	// Held is the text of the document with revision After, or empty. A reader may use it to
	// read only what has changed since. HTTP ignores it.
	Held string
}

// Reader reads published documents. Each method fails with an *UnchangedError if there is
// no revision above Query.After.
type Reader interface {
	// Rules reads the text of the routing rules.
	Rules(ctx context.Context, q Query) (Document, error)
	// Instances reads the text of the instance list.
	Instances(ctx context.Context, q Query) (Document, error)
}

// UnchangedError reports that the platform has no revision above After.
type UnchangedError struct {
	After uint64
	// Revision is the platform's revision for which this holds, or 0 if unknown.
	Revision uint64
}

// Error returns a message that names After.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("no revision above %d", e.After)
}

// UnreachableError reports that the platform sent no complete response.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error returns a message that names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("platform at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ResponseError reports an invalid response of the platform.
type ResponseError struct {
	Address netip.AddrPort
	// Status is the HTTP status of the response.
	Status int
	// Problem describes what is wrong with the response.
	Problem string
}

// Error returns a message that names the address, the status and the problem.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("platform at %s returned status %d: %s", e.Address, e.Status, e.Problem)
}

// HTTP reads documents from the platform over HTTP.
type HTTP struct {
	address netip.AddrPort
	client  *http.Client
}

var _ Reader = (*HTTP)(nil)

// NewHTTP returns a reader for the platform at address that sends its requests through c.
func NewHTTP(address netip.AddrPort, c *http.Client) *HTTP {
	return &HTTP{address: address, client: c}
}

// Rules reads the text of the routing rules. It fails with an *UnchangedError, an
// *UnreachableError or a *ResponseError.
func (h *HTTP) Rules(ctx context.Context, q Query) (Document, error) {
	return h.read(ctx, "/rules", q)
}

// Instances reads the text of the instance list. It fails like Rules.
func (h *HTTP) Instances(ctx context.Context, q Query) (Document, error) {
	return h.read(ctx, "/instances", q)
}

// read sends one request and reads its response.
func (h *HTTP) read(ctx context.Context, path string, q Query) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, max(q.MaxHold, 0)+responseGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(path, q), http.NoBody)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, &UnreachableError{Address: h.address, Cause: err})
	}
	response, err := h.client.Do(request)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, &UnreachableError{Address: h.address, Cause: err})
	}
	defer func() { _ = response.Body.Close() }()
	d, err := h.parseResponse(response, q)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, err)
	}
	return d, nil
}

// url returns the URL for a read of path with the parameters q.
func (h *HTTP) url(path string, q Query) string {
	values := url.Values{"after": {strconv.FormatUint(q.After, 10)}}
	if q.Epoch > 0 {
		values.Set("epoch", strconv.FormatUint(q.Epoch, 10))
	}
	if q.MaxHold > 0 {
		values.Set("wait", q.MaxHold.String())
	}
	u := url.URL{Scheme: "http", Host: h.address.String(), Path: path, RawQuery: values.Encode()}
	return u.String()
}

// parseResponse returns the document in a response.
func (h *HTTP) parseResponse(response *http.Response, q Query) (Document, error) {
	epoch, err := h.optionalNumber(response, epochHeader)
	if err != nil {
		return Document{}, err
	}
	if response.StatusCode == http.StatusNotModified && epoch == q.Epoch {
		return Document{}, &UnchangedError{After: q.After}
	}
	if response.StatusCode != http.StatusOK {
		return Document{}, h.responseError(response, "unexpected status")
	}
	revision, err := strconv.ParseUint(response.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Document{}, h.responseError(response, fmt.Sprintf("revision %q is not a number", response.Header.Get(revisionHeader)))
	}
	edition, err := h.optionalNumber(response, editionHeader)
	if err != nil {
		return Document{}, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentSize+1))
	if err != nil {
		return Document{}, &UnreachableError{Address: h.address, Cause: err}
	}
	if len(text) > maxDocumentSize {
		return Document{}, h.responseError(response, fmt.Sprintf("the document is larger than %d bytes", maxDocumentSize))
	}
	return Document{Edition: edition, Epoch: epoch, Revision: revision, Text: string(text)}, nil
}

// optionalNumber returns the number in a header of a response, or 0 if there is none. It fails with a
// *ResponseError.
func (h *HTTP) optionalNumber(response *http.Response, name string) (uint64, error) {
	text := response.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, h.responseError(response, fmt.Sprintf("%s %q is not a number", strings.ToLower(name), text))
	}
	return n, nil
}

// responseError returns the error for an invalid response.
func (h *HTTP) responseError(response *http.Response, problem string) error {
	return &ResponseError{Address: h.address, Status: response.StatusCode, Problem: problem}
}
