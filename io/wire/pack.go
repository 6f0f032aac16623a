package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"bulrushlock/core/event"
)

// mostText is the size in bytes of the largest document that is unpacked.
const mostText = 4 << 20

// packer compresses documents, and keeps the last form of each, since many peers read
// the same one within a moment.
type packer struct {
	mutex sync.Mutex
	texts map[event.Document]string
	forms map[event.Document][]byte
}

// PackError is a document that cannot be compressed or unpacked.
type PackError struct {
	Cause error
}

// Error names the cause.
func (e *PackError) Error() string { return fmt.Sprintf("packed document: %v", e.Cause) }

// Unwrap returns the cause.
func (e *PackError) Unwrap() error { return e.Cause }

// pack returns the compressed form of a text. It fails with a *PackError.
func (p *packer) pack(d event.Document, text string) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if form, ok := p.forms[d]; ok && p.texts[d] == text {
		return form, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, &PackError{Cause: err}
	}
	if _, err := io.WriteString(w, text); err != nil {
		return nil, &PackError{Cause: err}
	}
	if err := w.Close(); err != nil {
		return nil, &PackError{Cause: err}
	}
	if p.forms == nil {
		p.texts, p.forms = make(map[event.Document]string), make(map[event.Document][]byte)
	}
	p.texts[d], p.forms[d] = text, b.Bytes()
	return b.Bytes(), nil
}

// errTooLong is the cause of a PackError for a text that is too long.
var errTooLong = fmt.Errorf("longer than %d bytes", mostText)

// unpack returns the text of a compressed form. It fails with a *PackError.
func unpack(form []byte) (string, error) {
	if len(form) == 0 {
		return "", nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(form)), mostText+1))
	switch {
	case err != nil:
		return "", &PackError{Cause: err}
	case len(text) > mostText:
		return "", &PackError{Cause: errTooLong}
	}
	return string(text), nil
}
