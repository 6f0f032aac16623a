// Package bound checks the heads of HTTP messages that are read from a connection, where the
// parsers of net/http and net/textproto are too lenient:
//
//   - they read a line or a header of any size into memory, so that a peer that sends without end
//     would exhaust it;
//   - they take names of fields with blanks in them, so that "Content-Length : 2" is no length, and
//     take a line that begins with a blank for a part of the line before. Such a head is invalid
//     (RFC 9112, 5.1 and 5.2).
//
// A Reader follows the framing of heads only: it checks bytes and lines up to the blank
// line that ends a head, and passes on what follows unchecked.
//
// # Usage
//
//	r := bound.New(conn, bound.Limits{Bytes: 32 << 10, Lines: 256})
//	buffered := bufio.NewReader(r)
//	r.Begin(nil)
//	response, err := http.ReadResponse(buffered, request)
//	var invalid *bound.HeadError
//	if errors.As(err, &invalid) {
//		return conn.Close()
//	}
package bound

import (
	"fmt"
	"io"

	"bulrushlock/io/frame"
)

// Limits are the maximum size of all heads of one exchange.
type Limits struct {
	// Bytes is the maximum size in bytes, including line ends.
	Bytes int
	// Lines is the maximum number of lines. Short lines take many times their size in
	// memory once they are parsed.
	Lines int
}

// HeadError reports heads that exceed their limits, or that have a line which is not a field.
type HeadError struct {
	Limits Limits
	// Line is the number of the line that is not a field. The lines of all heads of the exchange count.
	// It is 0 if the heads exceed their limits.
	Line int
}

// Error names the line or the limits.
func (e *HeadError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("line %d of the head of the message is not a field", e.Line)
	}
	return fmt.Sprintf("head of the message exceeds %d bytes or %d lines", e.Limits.Bytes, e.Limits.Lines)
}

// Reader reads from a connection and fails once heads are invalid. It is not safe for
// concurrent use.
type Reader struct {
	source io.Reader
	limits Limits
	// bytes and lines count what was read of the heads of the exchange.
	bytes, lines int
	// inHead reports that the bytes read next belong to a head.
	inHead bool
	// inName reports that the next byte belongs to the name of a field, or to the line that ends
	// the head.
	inName bool
	// lineLength is the number of bytes of the current line, without a carriage return
	// at its start.
	lineLength int
	// failed is the *HeadError after which nothing more is read, or nil.
	failed error
}

var _ io.Reader = (*Reader)(nil)

// New returns a Reader of source. Until Begin is called it passes on all bytes.
func New(source io.Reader, l Limits) *Reader { return &Reader{source: source, limits: l} }

// Begin starts an exchange: the next bytes are a head, of which buffered has already been
// read. It fails with a *HeadError.
func (r *Reader) Begin(buffered []byte) error {
	r.bytes, r.lines = 0, 0
	return r.Next(buffered)
}

// Next starts a further head of the same exchange, such as the one after an informational
// response. The limits apply to all heads together. It fails with a *HeadError.
func (r *Reader) Next(buffered []byte) error {
	r.inHead, r.inName, r.lineLength = true, false, 0
	return r.check(buffered)
}

// Read reads from the connection. It fails with a *HeadError once the heads of the exchange
// are invalid.
func (r *Reader) Read(p []byte) (int, error) {
	if r.failed != nil {
		return 0, r.failed
	}
	n, err := r.source.Read(p)
	if failed := r.check(p[:n]); failed != nil {
		return 0, failed
	}
	return n, err
}

// check checks the bytes of b up to the end of the head.
func (r *Reader) check(b []byte) error {
	for _, character := range b {
		if !r.inHead {
			return nil
		}
		if r.inName && !r.isValidInName(character) {
			r.failed = &HeadError{Limits: r.limits, Line: r.lines + 1}
			return r.failed
		}
		r.bytes++
		switch {
		case character == '\n':
			r.lines++
			r.inHead = r.lineLength > 0
			r.inName = r.inHead
			r.lineLength = 0
		case character == '\r' && r.lineLength == 0:
			// A line of a carriage return alone is blank. Two of them are not.
			r.lineLength = carriageReturn
		case r.lineLength == carriageReturn:
			r.lineLength = 1
		default:
			r.inName = r.inName && character != ':'
			r.lineLength++
		}
		if r.bytes > r.limits.Bytes || r.lines > r.limits.Lines {
			r.failed = &HeadError{Limits: r.limits}
			return r.failed
		}
	}
	return nil
}

// isValidInName reports whether a byte may follow in a line of which only a part of a name was read: a
// further byte of the name, the colon behind it, or the end of an empty line.
func (r *Reader) isValidInName(character byte) bool {
	switch {
	case r.lineLength == carriageReturn:
		return character == '\n'
	case character == '\r' || character == '\n':
		return r.lineLength == 0
	case character == ':':
		return r.lineLength > 0
	}
	return frame.IsToken(character)
}

// carriageReturn is the length of a line that so far is a carriage return alone. It is not
// positive, so that a line feed ends the head.
const carriageReturn = -1
