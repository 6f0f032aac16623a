package frame

import "net/http"

// state is the position of a Scanner in a request.
type state uint8

const (
	// stateBlank is before the request line, and stateBlankFeed in an empty line there.
	stateBlank state = iota
	stateBlankFeed
	stateMethod
	stateTargetStart
	stateTarget
	stateVersion
	stateLineReturn
	stateLineFeed
	// stateFieldStart is before a field or before the empty line that ends the fields.
	stateFieldStart
	stateName
	stateValueStart
	stateValue
	stateFieldFeed
	stateEmptyFeed
	// stateBody is in a body with a length.
	stateBody
	stateSizeStart
	stateSize
	stateSizeEnd
	stateExtension
	stateSizeFeed
	// stateChunk is in the data of a chunk.
	stateChunk
	stateChunkReturn
	stateChunkFeed
	// stateEnded is after the last byte of a request.
	stateEnded
)

// versionStart is what a version begins with, before its minor number.
const versionStart = "HTTP/1."

// step scans bytes of b or enters another state, and returns the number of bytes.
func (s *Scanner) step(b []byte) (int, *Error) {
	switch {
	case s.state <= stateBlankFeed:
		return s.stepBlank(b)
	case s.inTrailer:
		return s.stepLimited(b, s.limits.Trailers, ReasonTrailer)
	case !s.complete:
		return s.stepLimited(b, s.limits.Head, ReasonHead)
	}
	return s.stepBody(b)
}

// stepLimited scans bytes of a head or of trailers, of which limit bytes are allowed.
func (s *Scanner) stepLimited(b []byte, limit int, r Reason) (int, *Error) {
	left := limit - s.size
	if left <= 0 {
		return 0, &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: r}
	}
	b = b[:min(len(b), left)]
	var n int
	var err *Error
	if s.state < stateFieldStart {
		n, err = s.stepLine(b)
	} else {
		n, err = s.stepField(b)
	}
	s.size += n
	if s.state == stateEmptyFeed && n > 0 && b[n-1] == '\n' {
		return n, s.endFields()
	}
	return n, err
}

// stepBlank scans empty lines before a request and the start of the request.
func (s *Scanner) stepBlank(b []byte) (int, *Error) {
	switch c := b[0]; {
	case s.state == stateBlankFeed && c == '\n':
		s.state = stateBlank
	case s.state == stateBlankFeed:
		return 0, invalid(ReasonBlank)
	case c == '\r' && s.blank >= s.limits.Blank:
		return 0, invalid(ReasonBlank)
	case c == '\r':
		s.blank++
		s.state = stateBlankFeed
	default:
		s.state = stateMethod
		return 0, nil
	}
	return 1, nil
}

// invalid returns the error of a request that isn't valid.
func invalid(r Reason) *Error { return &Error{Status: http.StatusBadRequest, Reason: r} }

// stepLine scans bytes of the request line.
func (s *Scanner) stepLine(b []byte) (int, *Error) {
	c := b[0]
	switch s.state {
	case stateMethod:
		return s.stepMethod(b)
	case stateTargetStart, stateTarget:
		n := span(b, isTarget)
		switch {
		case n > 0:
			s.state = stateTarget
			return n, nil
		case c != ' ' || s.state == stateTargetStart:
			return 0, invalid(ReasonLine)
		}
		s.state = stateVersion
	case stateVersion:
		return s.stepVersion(b)
	case stateLineReturn:
		if c != '\r' {
			return 0, invalid(ReasonLine)
		}
		s.state = stateLineFeed
	default:
		if c != '\n' {
			return 0, invalid(ReasonLine)
		}
		s.state = stateFieldStart
	}
	return 1, nil
}

// stepMethod scans bytes of the method.
func (s *Scanner) stepMethod(b []byte) (int, *Error) {
	n := span(b, isToken)
	if n > maxMethod-s.methodSize {
		return 0, &Error{Status: http.StatusNotImplemented, Reason: ReasonLine}
	}
	s.methodSize += copy(s.method[s.methodSize:], b[:n])
	switch {
	case n > 0:
		return n, nil
	case b[0] != ' ' || s.methodSize == 0:
		return 0, invalid(ReasonLine)
	}
	s.state = stateTargetStart
	return 1, nil
}

// stepVersion scans bytes of the version.
func (s *Scanner) stepVersion(b []byte) (int, *Error) {
	if s.position == 0 && len(b) > len(versionStart) && string(b[:len(versionStart)]) == versionStart {
		s.position = len(versionStart)
		return len(versionStart), nil
	}
	c := b[0]
	if s.position == len(versionStart) {
		if !isDigit(c) {
			return 0, invalid(ReasonLine)
		}
		s.minor = c
		s.state = stateLineReturn
		return 1, nil
	}
	expected := versionStart[s.position]
	switch {
	case c == expected:
	case isDigit(c) && isDigit(expected):
		return 0, &Error{Status: http.StatusHTTPVersionNotSupported, Reason: ReasonVersion}
	default:
		return 0, invalid(ReasonLine)
	}
	s.position++
	return 1, nil
}

// endFields decides what follows the empty line after a head or after trailers.
func (s *Scanner) endFields() *Error {
	if s.inTrailer {
		s.state = stateEnded
		return nil
	}
	switch {
	case s.hasLength && s.chunked:
		return invalid(ReasonFraming)
	case s.chunked && s.minor == '0':
		// Servers of HTTP/1.0 don't know transfer codings.
		return invalid(ReasonFraming)
	case s.chunked:
		s.length = -1
		s.state = stateSizeStart
	case s.length > 0:
		s.left = s.length
		s.state = stateBody
	default:
		s.state = stateEnded
	}
	s.complete = true
	s.headFields, s.headSize = s.fields, s.size
	s.fields, s.size = 0, 0
	return nil
}
