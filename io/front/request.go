package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

const (
	// keptBody is the size in bytes up to which a request body is held, so that
	// it can be sent to another backend server after a refusal.
	keptBody = 64 << 10
	// bodyTime is the longest time for reading a body that is held.
	bodyTime = 30 * time.Second
	// keySize is the length in bytes of the digest that stands for a key.
	keySize = 16
)

// BodyError is a request body that could not be read.
type BodyError struct {
	Cause error
}

// Error names the cause.
func (e *BodyError) Error() string { return fmt.Sprintf("request body: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// requestOf reads what the entry has to know of r. It fails with the typed error of the header that is bad.
func (f *Front) requestOf(r *http.Request) (event.Request, error) {
	ask, err := f.options.Dialect.Ask(r.Header)
	if err != nil {
		return event.Request{}, err
	}
	e := event.Request{
		At:     time.Now(),
		Name:   ask.Name,
		Method: r.Method,
		Host:   hostOf(r.Host),
		Path:   r.URL.Path,
		Size:   r.ContentLength,
		Key:    keyOf(r),
		First:  r.Header.Get(xchg.HeaderFirst) == "yes",
		Call:   ask.Call,
		Random: rand.Uint64(),
	}
	if text := r.Header.Get(xchg.HeaderTicket); text != "" {
		t, err := ticket.Parse(text)
		if err != nil {
			return event.Request{}, err
		}
		e.Ticket = &t
	}
	return e, nil
}

// hostOf returns the name of a host in small letters, without its port.
func hostOf(text string) string {
	if host, _, err := net.SplitHostPort(text); err == nil {
		text = host
	}
	return strings.ToLower(text)
}

// keyOf returns the digest that stands for the Idempotency-Key of r, or an
// empty text where it has none. Equal keys of two callers, or for two targets,
// have different digests.
func keyOf(r *http.Request) string {
	key := r.Header.Get(xchg.HeaderKey)
	if key == "" {
		return ""
	}
	h := sha256.New()
	for _, part := range []string{r.Header.Get("Authorization"), r.Method, r.URL.RequestURI(), key} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:keySize])
}

// readBody holds a small body in memory. A larger one is left to be sent once.
func (v *visit) readBody(e *event.Request) error {
	if v.request.ContentLength == 0 {
		return nil
	}
	if v.request.ContentLength > keptBody {
		v.stream, e.Once = &untouched{reader: v.request.Body, read: &v.read}, true
		return nil
	}
	c := http.NewResponseController(v.writer)
	if err := c.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		return &BodyError{Cause: err}
	}
	b, err := io.ReadAll(io.LimitReader(v.request.Body, keptBody+1))
	if err != nil {
		return &BodyError{Cause: err}
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return &BodyError{Cause: err}
	}
	if len(b) > keptBody {
		v.stream, e.Once = &untouched{reader: io.MultiReader(bytes.NewReader(b), v.request.Body), read: &v.read}, true
		return nil
	}
	v.held = b
	e.Size = int64(len(b))
	return nil
}

// body returns the body for one attempt and its length in bytes, or -1. At most
// limit bytes of a body of unknown length are passed on.
func (v *visit) body(limit int64) (body io.Reader, length int64) {
	if v.stream == nil {
		return bytes.NewReader(v.held), int64(len(v.held))
	}
	if v.request.ContentLength >= 0 {
		return v.stream, v.request.ContentLength
	}
	return &limited{reader: v.stream, left: limit, over: &v.over}, -1
}

// errTooLarge is the cause of a BodyError for a body of unknown length that is too large.
var errTooLarge = errors.New("larger than its rule allows")

// untouched notes when its reader is read for the first time.
type untouched struct {
	reader io.Reader
	read   *atomic.Bool
}

// Read reads from the body.
func (u *untouched) Read(b []byte) (int, error) {
	u.read.Store(true)
	return u.reader.Read(b)
}

// limited fails when more than left bytes are read.
type limited struct {
	reader io.Reader
	left   int64
	over   *atomic.Bool
}

// Read reads from the body and fails with a *BodyError past the limit.
func (l *limited) Read(b []byte) (int, error) {
	n, err := l.reader.Read(b)
	l.left -= int64(n)
	if l.left < 0 {
		l.over.Store(true)
		return 0, &BodyError{Cause: errTooLarge}
	}
	return n, err
}
