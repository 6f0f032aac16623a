// Package spout writes the bodies of answers to callers and to other nodes. All long
// bodies of a process share one link, on which they leave room for short ones.
//
// # Usage
//
//	s := spout.New(shape.New(10e6))
//	if err := s.Copy(r.Context(), w, body, length); err != nil {
//		panic(http.ErrAbortHandler)
//	}
package spout

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"bulrushlock/core/shape"
	"bulrushlock/io/xchg"
)

// shortSize is the length in bytes up to which a body does not wait for its turn.
const shortSize = 32 << 10

// Spout writes bodies.
type Spout struct {
	mutex   sync.Mutex
	shape   *shape.Shape
	buffers sync.Pool
}

// New returns a Spout that sends the parts of long bodies when s tells.
func New(s *shape.Shape) *Spout {
	return &Spout{
		shape:   s,
		buffers: sync.Pool{New: func() any { b := make([]byte, s.Part()); return &b }},
	}
}

// Copy copies the body of an answer to w. Length is the length of the body in bytes, or
// -1. Each part of a long body is sent at once when its turn comes. It fails with a
// *xchg.BrokenError when the body or w breaks off. The end of ctx ends the waits.
func (s *Spout) Copy(ctx context.Context, w http.ResponseWriter, body io.Reader, length int64) error {
	b := s.buffers.Get().(*[]byte)
	defer s.buffers.Put(b)
	isLong := length < 0 || length > shortSize
	c := http.NewResponseController(w)
	for {
		n, err := body.Read(*b)
		if n > 0 {
			if isLong {
				s.wait(ctx, n)
			}
			if _, failed := w.Write((*b)[:n]); failed != nil {
				return &xchg.BrokenError{Cause: failed}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &xchg.BrokenError{Cause: err}
		}
		if isLong {
			if failed := c.Flush(); failed != nil {
				return &xchg.BrokenError{Cause: failed}
			}
		}
	}
}

// wait waits until a part of a long body may be sent, or ctx ends: the part is written
// then to a connection that has gone, which tells how it ended.
func (s *Spout) wait(ctx context.Context, bytes int) {
	s.mutex.Lock()
	wait := s.shape.Take(time.Now(), bytes)
	s.mutex.Unlock()
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
