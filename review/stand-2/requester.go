package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Request is one request of a requester, and its answer.
type Request struct {
	ID, Target string
	Budget     time.Duration
	Sent       time.Time
	Ended      time.Time
	Status     int
	// Fault says why there is no complete answer; it is empty if there is one.
	Fault string
	// Closes reports that the answer closes the connection.
	Closes bool
}

// Requester is a client with one connection that it keeps open.
type Requester struct {
	record *Record
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a connection whose receive window has about the given number of bytes; 0 leaves it to the system.
func Dial(record *Record, address string, window int) (*Requester, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if window == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Requester{record: record, conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (q *Requester) Close() { _ = q.conn.Close() }

// Send sends a request without a body and with an id of its own.
func (q *Requester) Send(method, target string, budget time.Duration) (*Request, error) {
	r := &Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Target: target, Budget: budget, Sent: time.Now()}
	q.record.Printf("send id=%s %s %s from=%v", r.ID, method, target, q.conn.LocalAddr())
	_, err := fmt.Fprintf(q.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, target, host, r.ID, budget.Milliseconds())
	return r, err
}

// Read reads the answer to r, which is the next one on the connection.
func (q *Requester) Read(r *Request) {
	_ = q.conn.SetReadDeadline(r.Sent.Add(r.Budget + time.Second))
	answer, err := http.ReadResponse(q.reader, &http.Request{Method: http.MethodGet})
	size := 0
	if err == nil {
		r.Status, r.Closes = answer.StatusCode, answer.Close
		var body []byte
		body, err = io.ReadAll(answer.Body)
		size = len(body)
		if err == nil && r.Status == http.StatusOK && string(body) != bodyOf(answer.Header.Get("Response-Stamp"), size) {
			err = fmt.Errorf("body is not that of the stamp")
		}
	}
	r.Ended = time.Now()
	if err != nil {
		r.Fault = err.Error()
	}
	q.record.Printf("answer id=%s status=%d body=%d closes=%v fault=%q", r.ID, r.Status, size, r.Closes, r.Fault)
}
