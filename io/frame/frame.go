// Package frame follows the framing of the HTTP/1.1 requests on a connection: where each head and
// each body ends.
//
// A Scanner reads strictly by RFC 9112. Whatever two parsers may read in two ways is an error: a
// message with a length and a transfer coding, two different lengths, a line that ends without a
// carriage return, a folded field, white space before a colon, a control character. After an error
// the connection must be closed, because nobody knows where the next request begins.
//
// A Scanner keeps no bytes and allocates nothing. Every element without a natural end has a limit:
// empty lines before a request, the head and its fields, chunk extensions, and trailers.
//
// # Usage
//
//	s := frame.New(frame.DefaultLimits())
//	for {
//		n, ended, err := s.Scan(received)
//		var invalid *frame.Error
//		if errors.As(err, &invalid) {
//			return refuse(invalid.Status)
//		}
//		request = append(request, received[:n]...)
//		received = received[n:]
//		if ended {
//			return serve(s.Head(), request)
//		}
//		received = readMore()
//	}
package frame

import (
	"fmt"
	"net/http"
)

// Limits bound the elements of a request that have no natural end.
type Limits struct {
	// Head is the maximum size in bytes of a head, with its line ends and without empty lines
	// before it.
	Head int
	// Fields is the maximum number of fields of a head, and also of the trailers.
	Fields int
	// Blank is the maximum number of empty lines before a request.
	Blank int
	// Extensions is the maximum size in bytes of all chunk extensions of a body.
	Extensions int
	// Trailers is the maximum size in bytes of the trailers of a body.
	Trailers int
	// Body is the maximum size in bytes of a body, or 0 for no limit.
	Body int64
}

const (
	// defaultHead is the default of Limits.Head, in bytes.
	defaultHead = 32 << 10
	// defaultFields is the default of Limits.Fields. A head of 16 KiB can't have more fields.
	defaultFields = 4096
	// defaultBlank is the default of Limits.Blank. Some clients send an empty line after a body.
	defaultBlank = 2
	// defaultExtensions and defaultTrailers are the defaults of the limits of those names, in bytes.
	defaultExtensions = 4 << 10
	defaultTrailers   = 4 << 10
)

// DefaultLimits returns limits for clients that send heads of at most 16 KiB.
func DefaultLimits() Limits {
	return Limits{Head: defaultHead, Fields: defaultFields, Blank: defaultBlank, Extensions: defaultExtensions, Trailers: defaultTrailers}
}

// Reason says in one word why a request is invalid.
type Reason string

// The reasons of an Error.
const (
	// ReasonBlank is too many empty lines before a request.
	ReasonBlank Reason = "blank"
	// ReasonLine is an invalid request line.
	ReasonLine Reason = "line"
	// ReasonVersion is a version other than HTTP/1.
	ReasonVersion Reason = "version"
	// ReasonField is an invalid field.
	ReasonField Reason = "field"
	// ReasonHead is a head, and ReasonFields a number of fields, above its limit.
	ReasonHead   Reason = "head"
	ReasonFields Reason = "fields"
	// ReasonLength is an invalid length or two different ones.
	ReasonLength Reason = "length"
	// ReasonCoding is an unknown transfer coding.
	ReasonCoding Reason = "coding"
	// ReasonFraming is a length together with a transfer coding.
	ReasonFraming Reason = "framing"
	// ReasonBody is a body above its limit.
	ReasonBody Reason = "body"
	// ReasonChunk is an invalid chunk, and ReasonExtension an extension above its limit.
	ReasonChunk     Reason = "chunk"
	ReasonExtension Reason = "extension"
	// ReasonTrailer is an invalid trailer or trailers above their limit.
	ReasonTrailer Reason = "trailer"
)

// Error reports an invalid request.
type Error struct {
	// Status is the HTTP status that refuses the request.
	Status int
	Reason Reason
}

// Error returns the reason and the status.
func (e *Error) Error() string {
	return fmt.Sprintf("invalid request: %s (status %d)", e.Reason, e.Status)
}

// Head is what the head of a request says about its framing and its connection.
type Head struct {
	Method string
	// Length is the length of the body in bytes, or -1 for a body in chunks.
	Length int64
	// Close reports that the connection ends after the response.
	Close bool
	// Expect reports that the client waits for a 100 response before it sends the body.
	Expect bool
	// Size is the size of the head in bytes, and Fields its number of fields.
	Size, Fields int
}

// HasBody reports whether a body follows the head.
func (h Head) HasBody() bool { return h.Length != 0 }

// Scanner follows the framing of the requests on one connection. It is not safe for concurrent
// use.
type Scanner struct {
	limits Limits
	state  state
	// failed is the error after which nothing more is scanned, or nil.
	failed *Error
	// blank is the number of empty lines before the request, and size the number of bytes of the
	// head or of the trailers so far.
	blank, size int
	// fields is the number of fields of the head or of the trailers so far, and headFields and
	// headSize the totals of a complete head.
	fields, headFields, headSize int
	// method holds the method of methodSize bytes.
	method     [maxMethod]byte
	methodSize int
	// position is the number of bytes of the version read so far.
	position int
	minor    byte
	// name holds the start of the name of the current field, in lower case, and nameSize the whole
	// size.
	name     [maxName]byte
	nameSize int
	// kind is the kind of the current field, whose value is kept in value up to its size.
	kind      fieldKind
	value     [maxValue]byte
	valueSize int
	// gap is the number of white space bytes after the value that is kept.
	gap int
	// hosts is the number of Host fields.
	hosts int
	// complete reports that the head is complete, and inTrailer that the fields are trailers.
	complete, inTrailer      bool
	hasLength, chunked       bool
	close, keepAlive, expect bool
	length                   int64
	// left is the number of bytes left of the body or of the chunk, and received that of the body in
	// chunks so far.
	left, received int64
	// digits is the number of digits of a chunk size, and extensions the size of all extensions.
	digits, extensions int
}

const (
	// maxMethod is the maximum size of a method in bytes.
	maxMethod = 64
	// maxName is the size of the longest field name that matters for framing.
	maxName = len("transfer-encoding")
	// maxValue is the size of the longest field value, or element of one, that is kept.
	maxValue = 24
	// maxDigits is the maximum number of hexadecimal digits of a chunk size.
	maxDigits = 15
	// maxLength is the largest length of a body in bytes.
	maxLength = 1<<60 - 1
)

// New returns a Scanner at the start of a connection.
func New(l Limits) *Scanner { return &Scanner{limits: l} }

// Scan scans b, which continues what was scanned before. It returns the number of bytes that belong
// to the current request, and whether the request ends there. The bytes after them belong to the
// next request, which the next call starts. Scan fails with an *Error.
func (s *Scanner) Scan(b []byte) (n int, ended bool, err error) {
	if s.failed != nil {
		return 0, false, s.failed
	}
	if s.state == stateEnded {
		s.reset()
	}
	for n < len(b) && s.state != stateEnded {
		taken, failed := s.step(b[n:])
		if failed != nil {
			s.failed = failed
			return n, false, failed
		}
		n += taken
	}
	return n, s.state == stateEnded, nil
}

// reset prepares the scanner for the next request.
func (s *Scanner) reset() { *s = Scanner{limits: s.limits} }

// Begun reports whether a part of a request was scanned that hasn't ended yet. Empty lines before a
// request aren't part of it.
func (s *Scanner) Begun() bool { return !s.Blank() && s.state != stateEnded }

// Complete reports whether the head of the current request is complete. It stays so until the next
// request begins.
func (s *Scanner) Complete() bool { return s.complete }

// Blank reports whether only empty lines of the next request were scanned, or nothing.
func (s *Scanner) Blank() bool { return s.state <= stateBlankFeed }

// Head returns what the head of the current request says. It is valid if the head is complete.
func (s *Scanner) Head() Head {
	return Head{
		Method: s.methodName(),
		Length: s.length,
		Close:  s.close || s.minor == '0' && !s.keepAlive,
		Expect: s.expect && s.minor != '0',
		Size:   s.headSize,
		Fields: s.headFields,
	}
}

// methodName returns the method, without an allocation for the usual ones.
func (s *Scanner) methodName() string {
	switch m := s.method[:s.methodSize]; string(m) {
	case http.MethodGet:
		return http.MethodGet
	case http.MethodHead:
		return http.MethodHead
	case http.MethodPost:
		return http.MethodPost
	case http.MethodPut:
		return http.MethodPut
	case http.MethodPatch:
		return http.MethodPatch
	case http.MethodDelete:
		return http.MethodDelete
	case http.MethodOptions:
		return http.MethodOptions
	default:
		return string(m)
	}
}
