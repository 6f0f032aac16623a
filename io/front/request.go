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

	"bulrushlock/core/creds"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/lease"
	"bulrushlock/io/proto"
)

const (
	// maxBufferedBody is the size in bytes up to which a request body is
	// buffered, so that it can be sent to another backend server after a
	// rejection.
	maxBufferedBody = 64 << 10
	// bodyReadTimeout is the timeout for reading a body that is buffered.
	bodyReadTimeout = 30 * time.Second
	// keyDigestSize is the length in bytes of the digest of an idempotency key.
	keyDigestSize = 16
)

// BodyError reports a request body that could not be read.
type BodyError struct {
	Cause error
}

// Error describes the cause.
func (e *BodyError) Error() string { return fmt.Sprintf("request body: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Cause }

// parseRequest returns the event for the entry. It returns the typed error of
// an invalid header.
func (f *Front) parseRequest(r *http.Request) (event.Request, error) {
	info, err := f.options.Dialect.ParseRequest(r.Header)
	if err != nil {
		return event.Request{}, err
	}
	e := event.Request{
		At:       time.Now(),
		Name:     info.Name,
		Method:   r.Method,
		Host:     hostOf(r.Host),
		Path:     r.URL.Path,
		Size:     r.ContentLength,
		Key:      keyOf(r),
		FirstUse: r.Header.Get(proto.HeaderFirst) == "yes",
		Call:     info.Call,
		Random:   rand.Uint64(),

		Credential: credentialOf(r.Header),
	}
	if text := r.Header.Get(proto.HeaderTicket); text != "" {
		t, err := ticket.Parse(text)
		if err != nil {
			return event.Request{}, err
		}
		e.Ticket = &t
	}
	return e, nil
}

// newRequestID returns an ID for a request whose caller chose none. Without one the log lines
// of the request could not be found.
func newRequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// hostOf returns a host name in lower case, without its port.
func hostOf(text string) string {
	if host, _, err := net.SplitHostPort(text); err == nil {
		text = host
	}
	return strings.ToLower(text)
}

// keyOf returns the digest of the Idempotency-Key of r, or an empty string if
// it has none. The digest includes the credentials, method and target, so that
// equal keys of different callers or targets do not collide.
func keyOf(r *http.Request) string {
	key := r.Header.Get(proto.HeaderKey)
	if key == "" {
		return ""
	}
	h := sha256.New()
	for _, part := range []string{r.Header.Get(headerCredential), r.Method, r.URL.RequestURI(), key} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	return hex.EncodeToString(h.Sum(nil)[:keyDigestSize])
}

const (
	// headerCredential holds the credential of a caller.
	headerCredential = "Authorization"
	// credentialScheme is the only authentication scheme whose credentials rules name.
	credentialScheme = "Bearer"
)

// credentialOf returns the digest of the credential in h, or an empty string if there is none, or
// not exactly one.
func credentialOf(h http.Header) string {
	values := h[headerCredential]
	if len(values) != 1 {
		return ""
	}
	scheme, credential, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	credential = strings.TrimSpace(credential)
	if credential == "" || !strings.EqualFold(scheme, credentialScheme) {
		return ""
	}
	return creds.Digest(credential)
}

// receiveBody makes the body of the request ready to be sent. The time that this takes counts
// towards the deadline of the request.
func (cr *callerRequest) receiveBody(e *event.Request) error {
	if cr.request.ContentLength == 0 {
		return nil
	}
	var err error
	if route, left, ok := cr.front.uploadRoute(*e); ok {
		err = cr.holdBody(e, route, left)
	} else {
		err = cr.readBody(e)
	}
	if err != nil {
		return err
	}
	now := time.Now()
	e.Waited += now.Sub(e.At)
	e.At = now
	return nil
}

// readBody buffers a small body in memory. A larger one is streamed and can be
// sent only once.
func (cr *callerRequest) readBody(e *event.Request) error {
	if cr.request.ContentLength > maxBufferedBody {
		return cr.streamBody(e, nil)
	}
	c := http.NewResponseController(cr.writer)
	if err := c.SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
		return &BodyError{Cause: err}
	}
	b, err := io.ReadAll(io.LimitReader(cr.request.Body, maxBufferedBody+1))
	if err != nil {
		return &BodyError{Cause: err}
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return &BodyError{Cause: err}
	}
	if len(b) > maxBufferedBody {
		return cr.streamBody(e, b)
	}
	cr.buffered = b
	e.Size = int64(len(b))
	return nil
}

// streamBody makes the body of the request one that is forwarded while it arrives. The argument
// start is what was already read of it.
func (cr *callerRequest) streamBody(e *event.Request, start []byte) error {
	body, err := proto.StreamBody(cr.writer, cr.request)
	if err != nil {
		return &BodyError{Cause: err}
	}
	cr.streamed, e.SingleUseBody = body, true
	cr.stream = lease.New(io.MultiReader(bytes.NewReader(start), body))
	return nil
}

// finishBody ends a streamed body after the response. A caller that sends more of it than the server
// discards loses its connection, as does one whose request has failed.
func (cr *callerRequest) finishBody() {
	if cr.streamed == nil || cr.writer.Header().Get("Connection") == "close" {
		return
	}
	if err := cr.streamed.Finish(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// body returns the body for one attempt and its length in bytes, or -1 if
// unknown. A body of unknown length is limited to limit bytes.
func (cr *callerRequest) body(limit int64) (body io.Reader, length int64) {
	if cr.stream == nil {
		return bytes.NewReader(cr.buffered), int64(len(cr.buffered))
	}
	if cr.request.ContentLength >= 0 {
		return cr.stream.Lend(), cr.request.ContentLength
	}
	return &limitedReader{reader: cr.stream.Lend(), remaining: limit, exceeded: &cr.tooLarge}, -1
}

// errTooLarge is the cause of a BodyError for a body of unknown length that
// exceeds its limit.
var errTooLarge = errors.New("body exceeds the size limit of its route")

// limitedReader fails once more than remaining bytes are read.
type limitedReader struct {
	reader    io.Reader
	remaining int64
	exceeded  *atomic.Bool
}

// Read reads from the body and returns a *BodyError past the limit.
func (l *limitedReader) Read(b []byte) (int, error) {
	n, err := l.reader.Read(b)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		l.exceeded.Store(true)
		return 0, &BodyError{Cause: errTooLarge}
	}
	return n, err
}
