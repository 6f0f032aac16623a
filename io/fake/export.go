package fake

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// defaultExportSize is the size of an export in bytes if the query has no size.
	defaultExportSize = 8 << 20
	// chunkSize is the number of bytes of an export written between two flushes.
	chunkSize = 64 << 10
)

// Export returns the response body of an export of size bytes for the request with
// the given ID, so that a caller can verify what it received.
func Export(id string, size int64) io.Reader {
	return io.LimitReader(&repeatingReader{text: "export of " + id + "\n"}, size)
}

// repeatingReader is an endless reader that repeats a text.
type repeatingReader struct {
	text   string
	offset int
}

// Read fills b with the text, starting at the current offset.
func (p *repeatingReader) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		k := copy(b[n:], p.text[p.offset:])
		p.offset = (p.offset + k) % len(p.text)
		n += k
	}
	return n, nil
}

// parseExportQuery returns the size of an export in bytes and the pause between chunks.
func parseExportQuery(q url.Values) (size int64, pace time.Duration, err error) {
	size = defaultExportSize
	if text := q.Get("size"); text != "" {
		size, err = strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 {
			return 0, 0, &ParameterError{Key: "size", Text: text}
		}
	}
	if text := q.Get("pace"); text != "" {
		pace, err = time.ParseDuration(text)
		if err != nil || pace < 0 {
			return 0, 0, &ParameterError{Key: "pace", Text: text}
		}
	}
	return size, pace, nil
}

// export streams an export in chunks. It aborts the response halfway if the fault
// half is set, and whenever the server crashes.
func (s *Server) export(w http.ResponseWriter, r *http.Request, f fault, id string) {
	size, pace, err := parseExportQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	flusher := http.NewResponseController(w)
	body := Export(id, size)
	for sent := int64(0); sent < size; {
		n, err := io.CopyN(w, body, min(chunkSize, size-sent))
		sent += n
		if err != nil {
			return
		}
		_ = flusher.Flush()
		if f.truncateResponse && sent >= size/2 {
			panic(http.ErrAbortHandler)
		}
		if !s.wait(w, r, f, pace) {
			return
		}
	}
}

// ParameterError reports an invalid value of a query parameter.
type ParameterError struct {
	Key  string
	Text string
}

// Error returns a message with the parameter and its value.
func (e *ParameterError) Error() string {
	return fmt.Sprintf("parameter %s has the invalid value %q", e.Key, e.Text)
}
