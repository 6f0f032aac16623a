package frame_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"

	"bulrushlock/io/frame"
)

// TestEndsAgreeWithServer scans requests that are put together at random from usual and unusual parts.
// Where the Scanner finds the end of a request, net/http must find the same one or an error.
func TestEndsAgreeWithServer(t *testing.T) {
	fields := []string{
		"Content-Length: 3", "Content-Length: 5", "content-length:3", "Content-Length: 3, 3", "Content-Length: +3", "Content-Length: 03", "Content-Length:\t3 ", "Content-Length: 0",
		"Transfer-Encoding: chunked", "Transfer-Encoding: Chunked ", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity", "transfer-encoding:chunked", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding:",
		"Transfer-Encoding: \x0bchunked", "Transfer_Encoding: chunked", "Content-Length : 3", " Content-Length: 3", "Content-Length\x00: 3", "X: y\r\n Content-Length: 3", "X: y\nContent-Length: 3", "X: y\rContent-Length: 3",
		"Expect: 100-continue", "Connection: close", "Connection: keep-alive, x", "A:", "A: \x80b", "Trailer: T", "Content-Length: 3\r", "X:\r\n", "Connection: content-length", "Connection: transfer-encoding",
	}
	lines := []string{"GET / HTTP/1.1", "POST /a HTTP/1.1", "HEAD /a HTTP/1.1", "POST /a HTTP/1.0", "POST /a HTTP/1.2", "OPTIONS * HTTP/1.1", "CONNECT a:1 HTTP/1.1", "PUT /a  HTTP/1.1", "PRI * HTTP/2.0", "DELETE /a HTTP/1.1"}
	bodies := []string{"", "abc", "abcde", "3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n", "3 \r\nabc\r\n0\r\n\r\n", "0003\r\nabc\r\n00\r\n\r\n", "3\nabc\n0\n\n", "3;\"\r\n\"\r\nabc\r\n0\r\n\r\n", "0\r\n\r\n", "0\r\nContent-Length: 5\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "3\r\nabcX0\r\n\r\n", "0\r\nA: b\r\n\r\n", "-1\r\n\r\n"}
	random := rand.New(rand.NewPCG(1, 2))
	pick := func(from []string) string { return from[random.IntN(len(from))] }
	const rounds = 300_000
	ends := 0
	for range rounds {
		var text bytes.Buffer
		fmt.Fprintf(&text, "%s\r\nHost: a\r\n", pick(lines))
		for range random.IntN(4) {
			text.WriteString(pick(fields) + "\r\n")
		}
		text.WriteString("\r\n" + pick(bodies) + "GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
		s := frame.New(frame.DefaultLimits())
		n, ended, err := s.Scan(text.Bytes())
		if err != nil || !ended {
			continue
		}
		ends++
		r := bufio.NewReader(bytes.NewReader(text.Bytes()))
		request, err := http.ReadRequest(r)
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("the server waits for more of %q, the request ends at %d", text.Bytes(), n)
			}
			continue
		}
		rest, _ := io.ReadAll(r)
		if read := text.Len() - len(rest); read != n {
			t.Fatalf("the server ends %q at %d, the scanner at %d", text.Bytes(), read, n)
		}
	}
	if ends < rounds/100 {
		t.Errorf("only %d requests ended", ends)
	}
}
