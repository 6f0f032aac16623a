// Package plat reads the configuration service and the instance list of the
// platform.
//
// # Usage
//
//	p := plat.NewHTTP(address, http.DefaultClient)
//	d, err := p.Rules(ctx, plat.Query{After: revision, Wait: 20 * time.Second})
//	var unchanged *plat.UnchangedError
//	if errors.As(err, &unchanged) {
//		return nil // no higher revision came within the wait
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
	"time"
)

const (
	// largest is the largest document in bytes.
	largest = 1 << 20
	// grace is the time that an answer may take beyond the wait that was asked for.
	grace = 5 * time.Second
	// revisionHeader carries the revision of a document.
	revisionHeader = "Revision"
)

// Document is a text of the platform with its revision.
type Document struct {
	Revision uint64
	Text     string
}

// Query tells what is wanted of a read.
type Query struct {
	// After is the revision above which a document is wanted.
	After uint64
	// Wait is the longest time to wait for such a revision. A platform that cannot
	// wait answers with the document that it has.
	Wait time.Duration
	// Late allows a document that is some seconds old, which costs the platform less.
	Late bool
}

// Reader reads what the platform publishes. Each method fails with an
// *UnchangedError when there is no revision above the one that was asked for.
type Reader interface {
	// Rules reads the text of rules.
	Rules(ctx context.Context, q Query) (Document, error)
	// Instances reads the text of the instance list.
	Instances(ctx context.Context, q Query) (Document, error)
}

// UnchangedError tells that the platform has no revision above After.
type UnchangedError struct {
	After uint64
	// Revision is the revision of the platform of which this is true, or 0 where it is not told.
	Revision uint64
}

// Error names the revision.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("no revision above %d", e.After)
}

// UnreachableError tells that no whole answer came from the platform.
type UnreachableError struct {
	Address netip.AddrPort
	Cause   error
}

// Error names the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("platform at %s cannot be reached: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// AnswerError tells that the platform gave an answer that is of no use.
type AnswerError struct {
	Address netip.AddrPort
	// Status is the status of the answer.
	Status int
	// Problem says what is wrong with the answer.
	Problem string
}

// Error names the address, the status and the problem.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("platform at %s answered with status %d: %s", e.Address, e.Status, e.Problem)
}

// HTTP reads the platform over HTTP.
type HTTP struct {
	address netip.AddrPort
	client  *http.Client
}

var _ Reader = (*HTTP)(nil)

// NewHTTP returns a reader of the platform at address that sends through c.
func NewHTTP(address netip.AddrPort, c *http.Client) *HTTP {
	return &HTTP{address: address, client: c}
}

// Rules reads the text of rules.
func (h *HTTP) Rules(ctx context.Context, q Query) (Document, error) {
	return h.read(ctx, "/rules", q)
}

// Instances reads the text of the instance list.
func (h *HTTP) Instances(ctx context.Context, q Query) (Document, error) {
	return h.read(ctx, "/instances", q)
}

// read sends one request and reads its answer.
func (h *HTTP) read(ctx context.Context, path string, q Query) (Document, error) {
	ctx, cancel := context.WithTimeout(ctx, max(q.Wait, 0)+grace)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url(path, q), http.NoBody)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, &UnreachableError{Address: h.address, Cause: err})
	}
	a, err := h.client.Do(r)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, &UnreachableError{Address: h.address, Cause: err})
	}
	defer func() { _ = a.Body.Close() }()
	d, err := h.document(a, q.After)
	if err != nil {
		return Document{}, fmt.Errorf("read %s: %w", path, err)
	}
	return d, nil
}

// url returns the URL of one read.
func (h *HTTP) url(path string, q Query) string {
	values := url.Values{"after": {strconv.FormatUint(q.After, 10)}}
	if q.Wait > 0 {
		values.Set("wait", q.Wait.String())
	}
	u := url.URL{Scheme: "http", Host: h.address.String(), Path: path, RawQuery: values.Encode()}
	return u.String()
}

// document returns the document that an answer carries.
func (h *HTTP) document(a *http.Response, after uint64) (Document, error) {
	if a.StatusCode == http.StatusNotModified {
		return Document{}, &UnchangedError{After: after}
	}
	if a.StatusCode != http.StatusOK {
		return Document{}, h.bad(a, "the status is not expected")
	}
	revision, err := strconv.ParseUint(a.Header.Get(revisionHeader), 10, 64)
	if err != nil {
		return Document{}, h.bad(a, fmt.Sprintf("revision %q is not a number", a.Header.Get(revisionHeader)))
	}
	text, err := io.ReadAll(io.LimitReader(a.Body, largest+1))
	if err != nil {
		return Document{}, &UnreachableError{Address: h.address, Cause: err}
	}
	if len(text) > largest {
		return Document{}, h.bad(a, fmt.Sprintf("the document is larger than %d bytes", largest))
	}
	return Document{Revision: revision, Text: string(text)}, nil
}

// bad returns the error of an answer that is of no use.
func (h *HTTP) bad(a *http.Response, problem string) error {
	return &AnswerError{Address: h.address, Status: a.StatusCode, Problem: problem}
}
