package fake

import (
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
)

// flood is a text that is sent without end after its start.
type flood struct {
	start, repeated string
}

// floods are the kinds of endless bytes by name.
var floods = map[string]flood{
	"line":    {repeated: strings.Repeat("x", 1000)},
	"head":    {start: "HTTP/1.1 200 OK\r\nA: ", repeated: strings.Repeat("x", 1000)},
	"headers": {start: "HTTP/1.1 200 OK\r\n", repeated: "A: " + strings.Repeat("x", 1000) + "\r\n"},
	"short":   {start: "HTTP/1.1 200 OK\r\n", repeated: "a:b\n"},
	"hints":   {repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	"size":    {start: chunkedHead, repeated: "0"},
	"trailer": {start: chunkedHead + "0\r\n", repeated: "A: b\r\n"},
	"chunks":  {start: chunkedHead, repeated: "3e8\r\n" + strings.Repeat("x", 1000) + "\r\n"},
	"length":  {start: "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", repeated: strings.Repeat("x", 1000)},
	"close":   {start: "HTTP/1.1 200 OK\r\n\r\n", repeated: strings.Repeat("x", 1000)},
}

// chunkedHead is the head of a response whose body is sent in chunks.
const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

const (
	// floodWriteSize is the approximate size in bytes of one write of endless bytes.
	floodWriteSize = 64 << 10
	// fastWrites is the number of writes without a pause, and floodPause the pause after
	// each further one, so that the flood leaves processor time to its receiver.
	fastWrites = 64
	floodPause = 20 * time.Millisecond
)

// FloodKinds returns the names of the kinds of endless bytes: a status line, a header, header
// lines (long and short ones), informational responses, a chunk size, a trailer, chunks, and
// bodies with and without a length.
func FloodKinds() []string { return slices.Sorted(maps.Keys(floods)) }

// Flood sends endless bytes of the given kind in place of a response, until the client closes
// the connection. It returns a *ParameterError if there is no such kind.
func Flood(w http.ResponseWriter, kind string) error {
	f, ok := floods[kind]
	if !ok {
		return &ParameterError{Key: "kind", Text: kind}
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, f.start)
	text := strings.Repeat(f.repeated, max(floodWriteSize/len(f.repeated), 1))
	for n := 0; err == nil; n++ {
		_, err = io.WriteString(c, text)
		if n >= fastWrites {
			time.Sleep(floodPause)
		}
	}
	return nil
}

// SetFlood makes the server send endless bytes of the given kind in place of every response,
// after the request has run, and in place of health reports. An empty kind ends the fault. It
// returns a *ParameterError if there is no such kind.
func (s *Server) SetFlood(kind string) error {
	if _, ok := floods[kind]; !ok && kind != "" {
		return &ParameterError{Key: "kind", Text: kind}
	}
	s.faults.update(func(f *fault) { f.flood = kind })
	return nil
}

// setFlood sets or clears the fault flood from the parameter kind.
func (s *Server) setFlood(q url.Values, on bool) error {
	if !on {
		return s.SetFlood("")
	}
	return s.SetFlood(q.Get("kind"))
}
