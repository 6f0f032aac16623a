package stand

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// defaultExport is the size of an export in bytes when the query gives none.
	defaultExport = 8 << 20
	// chunk is the number of bytes of an export that are sent at once.
	chunk = 64 << 10
)

// Export returns the body of the export of the request with this identity, so
// that a caller can compare what it got.
func Export(id string, size int64) io.Reader {
	return io.LimitReader(&pattern{text: "export of " + id + "\n"}, size)
}

// pattern repeats a text without an end.
type pattern struct {
	text string
	at   int
}

// Read fills b with the text, from the place where the last call ended.
func (p *pattern) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		k := copy(b[n:], p.text[p.at:])
		p.at = (p.at + k) % len(p.text)
		n += k
	}
	return n, nil
}

// exportQuery reads the size and the pace of an export.
func exportQuery(q url.Values) (size int64, pace time.Duration, err error) {
	size = defaultExport
	if text := q.Get("size"); text != "" {
		size, err = strconv.ParseInt(text, 10, 64)
		if err != nil || size < 0 {
			return 0, 0, &ControlError{Key: "size", Text: text}
		}
	}
	if text := q.Get("pace"); text != "" {
		pace, err = time.ParseDuration(text)
		if err != nil || pace < 0 {
			return 0, 0, &ControlError{Key: "pace", Text: text}
		}
	}
	return size, pace, nil
}

// export streams a body in chunks. It breaks off in the middle when the fault
// half is set, or when the server crashes meanwhile.
func (s *Server) export(w http.ResponseWriter, r *http.Request, f fault, id string) {
	size, pace, err := exportQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	flusher := http.NewResponseController(w)
	body := Export(id, size)
	for sent := int64(0); sent < size; {
		n, err := io.CopyN(w, body, min(chunk, size-sent))
		sent += n
		if err != nil {
			return
		}
		_ = flusher.Flush()
		if f.half && sent >= size/2 {
			panic(http.ErrAbortHandler)
		}
		if !s.wait(w, r, f, pace) {
			return
		}
	}
}

// ControlError is a value of a query that cannot be read.
type ControlError struct {
	Key  string
	Text string
}

// Error names the key and the text.
func (e *ControlError) Error() string {
	return fmt.Sprintf("%s %q cannot be read", e.Key, e.Text)
}
