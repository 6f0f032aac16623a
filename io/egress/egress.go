// Package egress writes response bodies to callers and to other nodes. It paces long
// bodies, which share one link per process, so that the link keeps capacity for short
// ones.
//
// # Usage
//
//	writer := egress.New(shaper.New(10e6))
//	begun := false
//	err := writer.Copy(r.Context(), w, body, length, func() { begun = true; w.WriteHeader(status) })
//	if err != nil && begun {
//		panic(http.ErrAbortHandler)
//	}
package egress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"bulrushlock/core/shaper"
	"bulrushlock/io/proto"
)

// shortBodySize is the size in bytes up to which a body is written without pacing.
const shortBodySize = 32 << 10

// Writer writes response bodies. It is safe for concurrent use.
type Writer struct {
	mutex   sync.Mutex
	shaper  *shaper.Shaper
	buffers sync.Pool
}

// New returns a Writer that paces the parts of long bodies by s.
func New(s *shaper.Shaper) *Writer {
	return &Writer{
		shaper:  s,
		buffers: sync.Pool{New: func() any { b := make([]byte, s.PartSize()); return &b }},
	}
}

// Copy copies a response body to w. Length is the size of the body in bytes, or -1 if
// unknown, in which case the body counts as long. Each part of a long body waits for its
// turn and is then written and flushed. Copy calls begin, which writes the head, once it
// has read the first part, or all of a body that fits into one, so that another head can be
// written if the body breaks off before. Copy fails with a *proto.BrokenError if reading body or
// writing to w fails. Once ctx has ended, Copy no longer waits for turns, but continues to
// copy.
func (wr *Writer) Copy(ctx context.Context, w http.ResponseWriter, body io.Reader, length int64, begin func()) error {
	b := wr.buffers.Get().(*[]byte)
	defer wr.buffers.Put(b)
	isLong := length < 0 || length > shortBodySize
	c := http.NewResponseController(w)
	begun := false
	parts := partReader(body, length, len(*b))
	for {
		n, err := parts.Read(*b)
		if !begun && (n > 0 || errors.Is(err, io.EOF)) {
			begun = true
			begin()
		}
		if n > 0 {
			if isLong {
				wr.wait(ctx, n)
			}
			if _, failed := w.Write((*b)[:n]); failed != nil {
				return &proto.BrokenError{Cause: failed}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &proto.BrokenError{Cause: err}
		}
		if isLong && n > 0 {
			if failed := c.Flush(); failed != nil {
				return &proto.BrokenError{Cause: failed}
			}
		}
	}
}

// partReader returns a reader of the parts of a body. A body that fits into one part is read
// whole.
func partReader(body io.Reader, length int64, partSize int) io.Reader {
	if length < 0 || length > int64(partSize) {
		return body
	}
	return wholeReader{body: body}
}

// wholeReader reads a body to its end at once. It returns nothing of one that breaks off.
type wholeReader struct{ body io.Reader }

// Read reads the body to its end, or until b is full.
func (w wholeReader) Read(b []byte) (int, error) {
	size := 0
	for size < len(b) {
		n, err := w.body.Read(b[size:])
		size += n
		switch {
		case errors.Is(err, io.EOF):
			return size, io.EOF
		case err != nil:
			return 0, err
		}
	}
	return size, nil
}

// wait waits until a part of a long body may be sent or ctx ends. In the latter case the
// part is written to a closed connection, and the write reports the error.
func (wr *Writer) wait(ctx context.Context, bytes int) {
	wr.mutex.Lock()
	wait := wr.shaper.Reserve(time.Now(), bytes)
	wr.mutex.Unlock()
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
