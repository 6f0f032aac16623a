// Package reach reads one path from the operators' listeners of many nodes at once.
//
// # Usage
//
//	r := reach.New(2 * time.Second)
//	for _, a := range reach.All[oper.Status](ctx, r, nodes, "/status") {
//		if a.Err != nil {
//			return a.Err // an *UnreachableError or an *AnswerError
//		}
//		print(a.Value)
//	}
package reach

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
	// largest is the largest answer in bytes.
	largest = 16 << 20
	// excerpt is the length in bytes up to which the text of a refusal is kept.
	excerpt = 200
)

// Reach reads from operators' listeners.
type Reach struct {
	client *http.Client
}

// Answer is what one node answered.
type Answer[T any] struct {
	// Node is the operators' listener of the node.
	Node  netip.AddrPort
	Value T
	// Err is an *UnreachableError or an *AnswerError, or nil.
	Err error
}

// UnreachableError is a node that gave no answer in time.
type UnreachableError struct {
	Node  netip.AddrPort
	Cause error
}

// Error names the node and the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("%v: %v", e.Node, e.Cause) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// AnswerError is an answer that is of no use.
type AnswerError struct {
	Node netip.AddrPort
	// Status is the HTTP status of the answer.
	Status int
	// Problem says what is wrong with the answer.
	Problem string
}

// Error names the node, the status and the problem.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("%v: status %d: %s", e.Node, e.Status, e.Problem)
}

// New returns a Reach that waits for an answer up to the given time.
func New(longest time.Duration) *Reach {
	return &Reach{client: &http.Client{Timeout: longest, Transport: &http.Transport{}}}
}

// All reads the JSON at path from every node at once. The answers come in the
// order of the nodes.
func All[T any](ctx context.Context, r *Reach, nodes []netip.AddrPort, path string) []Answer[T] {
	answers := make([]Answer[T], len(nodes))
	var reading sync.WaitGroup
	for i, n := range nodes {
		reading.Go(func() { answers[i] = One[T](ctx, r, n, path) })
	}
	reading.Wait()
	return answers
}

// One reads the JSON at path from one node.
func One[T any](ctx context.Context, r *Reach, node netip.AddrPort, path string) Answer[T] {
	a := Answer[T]{Node: node}
	text, err := r.Text(ctx, node, path)
	if err != nil {
		a.Err = err
		return a
	}
	if err := json.Unmarshal([]byte(text), &a.Value); err != nil {
		a.Err = &AnswerError{Node: node, Status: http.StatusOK, Problem: err.Error()}
	}
	return a
}

// Text reads the text at path from one node. It fails with an *UnreachableError
// or an *AnswerError.
func (r *Reach) Text(ctx context.Context, node netip.AddrPort, path string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.String()+path, http.NoBody)
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: err}
	}
	a, err := r.client.Do(q)
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: causeOf(err)}
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(a.Body, largest))
	if err != nil {
		return "", &UnreachableError{Node: node, Cause: causeOf(err)}
	}
	if a.StatusCode != http.StatusOK {
		problem := strings.TrimSpace(string(text[:min(len(text), excerpt)]))
		return "", &AnswerError{Node: node, Status: a.StatusCode, Problem: problem}
	}
	return string(text), nil
}

// causeOf returns the cause of a failed exchange without its URL.
func causeOf(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
