package main

import (
	"bufio"
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
	"time"
)

// request is a request of a requester.
type request struct {
	id, method, host, target string
	deadline                 time.Duration
	work, size               int
	body                     []byte
	chunked                  bool
	// pace is called between the chunks of a body.
	pace func(part int)
	// part is the size of the chunks.
	part int
	// read reads the body of the response; nil reads it at once.
	read func(c net.Conn, r io.Reader) ([]byte, error)
}

// result is what a requester saw.
type result struct {
	status int
	stamp  string
	id     string
	reason string
	body   []byte
	err    error
	took   time.Duration
	close  bool
	header http.Header
}

// isWhole reports whether the requester got a success with the backend's whole body.
func (x result) isWhole(q request) bool {
	return x.err == nil && x.status == 200 && x.stamp != "" && bytes.Equal(x.body, bodyFor(q.id, q.size))
}

// String describes a result for the record.
func (x result) String() string {
	if x.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v, after %.3f s", x.status, len(x.body), x.err, x.took.Seconds())
	}
	return fmt.Sprintf("status %d, stamp %q, %s, %d bytes, after %.3f s", x.status, x.stamp, x.reason, len(x.body), x.took.Seconds())
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func sumOf(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:8])
}

// sendTimeout is the time for which a requester goes on sending a body after it has got the response.
const sendTimeout = 500 * time.Millisecond

// client is a connection of a requester.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// head returns the head of a request.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", q.method, q.target, q.host, q.id)
	if q.deadline > 0 {
		fmt.Fprintf(&b, "Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	}
	if q.work > 0 {
		fmt.Fprintf(&b, "Test-Work-Ms: %d\r\n", q.work)
	}
	if q.size > 0 {
		fmt.Fprintf(&b, "Test-Size: %d\r\n", q.size)
	}
	switch {
	case q.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(q.body) > 0 || q.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send writes a request.
func (c *client) send(q request) error {
	if _, err := io.WriteString(c.conn, q.head()); err != nil {
		return err
	}
	part := q.part
	if part == 0 {
		part = 16 << 10
	}
	for i := 0; i*part < len(q.body); i++ {
		if q.pace != nil {
			q.pace(i)
		}
		b := q.body[i*part : min((i+1)*part, len(q.body))]
		if q.chunked {
			b = []byte(fmt.Sprintf("%x\r\n%s\r\n", len(b), b))
		}
		if _, err := c.conn.Write(b); err != nil {
			return err
		}
	}
	if q.chunked {
		_, err := io.WriteString(c.conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// receive reads the response to a request.
func (c *client) receive(q request) (x result) {
	began := time.Now()
	defer func() { x.took = time.Since(began) }()
	_ = c.conn.SetReadDeadline(began.Add(q.deadline))
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return result{err: err}
	}
	x = result{status: r.StatusCode, stamp: r.Header.Get("Response-Stamp"), id: r.Header.Get("Request-Id"), close: r.Close, header: r.Header}
	if q.read != nil {
		x.body, x.err = q.read(c.conn, r.Body)
	} else {
		x.body, x.err = io.ReadAll(r.Body)
	}
	if x.status != 200 && len(x.body) < 400 {
		x.reason = strings.TrimSpace(string(x.body))
	}
	return x
}

// do sends a request on the connection and reads its response, also while the body is being sent.
func (c *client) do(q request) result {
	var last time.Time
	return c.doTimed(q, &last)
}

// doTimed does the same, and sets last to the time at which the last byte was sent.
func (c *client) doTimed(q request, last *time.Time) result {
	began := time.Now()
	sent := make(chan error, 1)
	times := make(chan time.Time, 1)
	go func() {
		err := c.send(q)
		if err == nil {
			times <- time.Now()
		}
		sent <- err
	}()
	defer func() {
		select {
		case *last = <-times:
		default:
		}
	}()
	x := c.receive(q)
	select {
	case err := <-sent:
		if x.err != nil && err != nil {
			x.err = errors.Join(x.err, err)
		}
		x.close = x.close || err != nil
	case <-time.After(sendTimeout):
		// The rest of the body isn't sent after the response. The connection can't be used again.
		x.close = true
	}
	x.took = time.Since(began)
	return x
}
