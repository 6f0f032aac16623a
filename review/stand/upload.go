package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["upload"] = upload }

const (
	// uploadTime is how long clients send requests.
	uploadTime = 50 * time.Second
	// uploadClients is the number of clients.
	uploadClients = 12
	// uploadSize is the size of a request's body, and uploadPiece that of the pieces in which the
	// client sends it.
	uploadSize  = 200_000
	uploadPiece = 8_000
	// uploadPause is the time between two pieces.
	uploadPause = 10 * time.Millisecond
	// answerSize is the size of an answer's body.
	answerSize = 90_000
	// One in earlyEvery answers begins before the body is read, on earlyBackends of the four
	// backend servers.
	earlyEvery    = 50
	earlyBackends = 2
)

// received is what a backend server got of a request.
type received struct {
	digest string
	size   int64
	whole  bool
	early  bool
}

// upload sends requests with long bodies. Some answers begin before the body is read; the backend
// server keeps the connection and reads on.
func upload(f *fleet) (int, error) {
	var runs log[received]
	var earlyCount, answers atomic.Int64
	answer := make([]byte, answerSize)
	for i := range answer {
		answer[i] = byte('a' + i%26)
	}
	serve := func(e *exchange) {
		isEarly := f.isInSpell() && isAmong(f, e.backend, earlyBackends) && answers.Add(1)%earlyEvery == 0
		if !isEarly {
			digest, size, err := e.readBody()
			time.Sleep(40 * time.Millisecond)
			runs.add(e.id, received{digest, size, err == nil, false})
			if err == nil {
				e.answer(answer)
			}
			return
		}
		earlyCount.Add(1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.answer(answer)
		}()
		digest, size, err := e.readBody()
		runs.add(e.id, received{digest, size, err == nil, true})
		<-done
	}
	paths := []map[string]any{
		{"name": "r-lookup", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutS": 4, "targetLatencyS": 2, "priority": 2, "service": "desk", "maxAttempts": 2},
		{"name": "r-claim", "pathPrefix": "/claim/", "kind": "non_idempotent", "timeoutS": 4, "targetLatencyS": 2, "priority": 1, "service": "desk", "maxAttempts": 2},
	}
	machines := []machine{{"thapathali", "desk"}, {"lalitpur", "desk"}, {"bhaktapur", "desk"}, {"thapathali", "desk"}}
	if err := f.start(machines, f.config("00000001", []string{"desk"}, paths), serve); err != nil {
		return 0, err
	}
	var broken, sent, succeeded atomic.Int64
	end := time.Now().Add(uploadTime)
	var clients sync.WaitGroup
	for number := range uploadClients {
		clients.Go(func() {
			n := f.nodes[number%len(f.nodes)]
			source := rand.NewChaCha8([32]byte{byte(number)})
			var c *uploadClient
			for count := 0; time.Now().Before(end); count++ {
				if c == nil {
					conn, err := net.DialTimeout("tcp", n.outbound(), time.Second)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					c = &uploadClient{conn: conn, reader: bufio.NewReader(conn)}
				}
				id := fmt.Sprintf("%d-%05d", number, count)
				path := []string{"/lookup/1", "/claim/1"}[count%2]
				digest, status, stamp, size, err := c.send(source, id, path)
				sent.Add(1)
				time.Sleep(20 * time.Millisecond)
				if err != nil || status != http.StatusOK {
					f.record("request %s %s: status %d, %v", id, path, status, err)
				}
				if err == nil && status == http.StatusOK && stamp != "" {
					succeeded.Add(1)
				}
				for _, r := range runs.of(id) {
					if r.whole && r.digest != digest {
						broken.Add(1)
						f.record("UNASKED %s %s: sent %d bytes %s; the backend server got a complete body of %d bytes %s; answered %d with %d bytes, stamp %q, %v", id, path, uploadSize, digest, r.size, r.digest, status, size, stamp, err)
					} else if r.early {
						f.record("early %s %s: complete %v, %d bytes, answered %d, %v", id, path, r.whole, r.size, status, err)
					}
				}
				if err != nil {
					_ = c.conn.Close()
					c = nil
				}
			}
			if c != nil {
				_ = c.conn.Close()
			}
		})
	}
	clients.Wait()
	f.record("sent %d, succeeded %d, early answers %d, bodies changed %d", sent.Load(), succeeded.Load(), earlyCount.Load(), broken.Load())
	if succeeded.Load() < sent.Load()/2 {
		return 0, fmt.Errorf("only %d of %d requests succeeded", succeeded.Load(), sent.Load())
	}
	return int(broken.Load()), nil
}

// isAmong reports whether b is one of the first count backend servers.
func isAmong(f *fleet, b *backend, count int) bool {
	for _, o := range f.backends[:count] {
		if o == b {
			return true
		}
	}
	return false
}

// uploadClient is a client with one kept connection.
type uploadClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request with a body in chunks and reads the answer. It returns the digest of the
// body, and the status, the receipt and the size of the answer.
func (c *uploadClient) send(source *rand.ChaCha8, id, path string) (digest string, status int, stamp string, size int64, err error) {
	body := make([]byte, uploadSize)
	_, _ = source.Read(body)
	sum := sha256.Sum256(body)
	digest = hex.EncodeToString(sum[:8])
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	head := "PUT " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c.conn, head)
		for rest := body; err == nil && len(rest) > 0; {
			n := min(uploadPiece, len(rest))
			_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
			time.Sleep(uploadPause)
		}
		if err == nil {
			_, err = io.WriteString(c.conn, "0\r\n\r\n")
		}
		written <- err
	}()
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		<-written
		return digest, 0, "", 0, err
	}
	size, err = io.Copy(io.Discard, r.Body)
	if failed := <-written; err == nil && failed != nil {
		err = failed
	}
	if err == nil && r.Close {
		err = os.ErrClosed
	}
	return digest, r.StatusCode, r.Header.Get("Response-Stamp"), size, err
}
