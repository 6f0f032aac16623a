// Package fetch fetches a path from the operators' listeners of many nodes in
// parallel.
//
// # Usage
//
//	c := fetch.New(2 * time.Second)
//	for _, r := range fetch.All[admin.Status](ctx, c, nodes, "/status") {
//		if r.Err != nil {
//			return r.Err // an *UnreachableError or a *ResponseError
//		}
//		fmt.Println(r.Value)
//	}
package fetch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// maxResponseSize is the largest response body in bytes that is read.
	maxResponseSize = 16 << 20
	// maxHeaderSize is the largest response header in bytes that is read.
	maxHeaderSize = 32 << 10
	// maxErrorText is the maximum number of bytes of an error response that
	// ResponseError.Problem contains.
	maxErrorText = 200
)

// Client is a client of operators' listeners.
type Client struct {
	client *http.Client
}

// Result is the response of one node.
type Result[T any] struct {
	// Node is the address of the node's operators' listener.
	Node  netip.AddrPort
	Value T
	// Err is an *UnreachableError, a *ResponseError or nil.
	Err error
}

// UnreachableError reports that a node did not respond in time.
type UnreachableError struct {
	Node  netip.AddrPort
	Cause error
}

// Error names the node and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%v: %v", e.Node, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// ResponseError reports an unusable response: its status is not 200 or its body
// is not valid JSON.
type ResponseError struct {
	Node netip.AddrPort
	// Status is the HTTP status of the response.
	Status int
	// Problem describes what is wrong with the response.
	Problem string
}

// Error names the node, the status and the problem.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%v: status %d: %s", e.Node, e.Status, e.Problem)
}

// New returns a Client whose requests have the given timeout.
func New(timeout time.Duration) *Client {
	return &Client{client: &http.Client{Timeout: timeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderSize}}}
}

// All fetches and decodes the JSON at path from every node in parallel. The
// results are in the order of nodes.
func All[T any](ctx context.Context, c *Client, nodes []netip.AddrPort, path string) []Result[T] {
	results := make([]Result[T], len(nodes))
	var running sync.WaitGroup
	for i, n := range nodes {
		running.Go(func() { results[i] = One[T](ctx, c, n, path) })
	}
	running.Wait()
	return results
}

// One fetches and decodes the JSON at path from one node.
func One[T any](ctx context.Context, c *Client, node netip.AddrPort, path string) Result[T] {
	result := Result[T]{Node: node}
	text, err := c.Text(ctx, node, path)
	if err != nil {
		result.Err = err
		return result
	}
	if err := json.Unmarshal([]byte(text), &result.Value); err != nil {
		result.Err = &ResponseError{Node: node, Status: http.StatusOK, Problem: err.Error()}
	}
	return result
}

// Text fetches the text at path from one node. It returns an *UnreachableError
// or a *ResponseError on failure.
func (c *Client) Text(ctx context.Context, node netip.AddrPort, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+path, http.NoBody)
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: err}
	}
	response, err := c.client.Do(request)
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: unwrapURLError(err)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: unwrapURLError(err)}
	}
	if len(text) > maxResponseSize {
		return "", &ResponseError{Node: node, Status: response.StatusCode, Problem: fmt.Sprintf("response is larger than %d bytes", maxResponseSize)}
	}
	if response.StatusCode != http.StatusOK {
		problem := strings.TrimSpace(string(text[:min(len(text), maxErrorText)]))
		return "", &ResponseError{Node: node, Status: response.StatusCode, Problem: problem}
	}
	return string(text), nil
}

// unwrapURLError strips the URL that net/http adds to an error.
func unwrapURLError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
