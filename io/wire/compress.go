package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"bulrushlock/core/event"
	"bulrushlock/core/rules"
)

// maxDocumentSize is the size in bytes of the largest document that is decompressed.
const maxDocumentSize = rules.MaxTextBytes

// compressor compresses documents. It caches the last result for each document, because
// many peers read the same one at nearly the same time.
type compressor struct {
	mutex      sync.Mutex
	texts      map[event.Document]string
	compressed map[event.Document][]byte
}

// CompressionError reports a document that cannot be compressed or decompressed.
type CompressionError struct {
	Cause error
}

// Error returns a message that names the cause.
func (e *CompressionError) Error() string { return fmt.Sprintf("compressed document: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CompressionError) Unwrap() error { return e.Cause }

// compress returns the compressed text of a document. It fails with a *CompressionError.
func (c *compressor) compress(d event.Document, text string) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cached, ok := c.compressed[d]; ok && c.texts[d] == text {
		return cached, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, &CompressionError{Cause: err}
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, &CompressionError{Cause: err}
	}
	if err := w.Close(); err != nil {
		return nil, &CompressionError{Cause: err}
	}
	if c.compressed == nil {
		c.texts, c.compressed = make(map[event.Document]string), make(map[event.Document][]byte)
	}
	c.texts[d], c.compressed[d] = text, b.Bytes()
	return b.Bytes(), nil
}

// errTooLong is the cause of a CompressionError for a document above maxDocumentSize.
var errTooLong = fmt.Errorf("longer than %d bytes", maxDocumentSize)

// decompress returns the text of a compressed document. It fails with a *CompressionError.
func decompress(data []byte) (string, error) {
	if len(data) == 0 {
		return "", nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDocumentSize+1))
	switch {
	case err != nil:
		return "", &CompressionError{Cause: err}
	case len(text) > maxDocumentSize:
		return "", &CompressionError{Cause: errTooLong}
	}
	return string(text), nil
}
