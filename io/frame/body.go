package frame

import "net/http"

// stepBody scans bytes of a body.
func (s *Scanner) stepBody(b []byte) (int, *Error) {
	c := b[0]
	switch s.state {
	case stateBody:
		return s.skip(len(b), stateEnded), nil
	case stateChunk:
		return s.skip(len(b), stateChunkReturn), nil
	case stateChunkReturn:
		return s.expectByte(c, '\r', stateChunkFeed)
	case stateChunkFeed:
		return s.expectByte(c, '\n', stateSizeStart)
	case stateSizeFeed:
		if c != '\n' {
			return 0, invalid(ReasonChunk)
		}
		return 1, s.beginChunk()
	case stateSizeStart:
		s.left, s.digits = 0, 0
		if _, ok := hexadecimal(c); !ok {
			return 0, invalid(ReasonChunk)
		}
		s.state = stateSize
		return 0, nil
	case stateSize:
		return s.stepSize(c)
	case stateSizeEnd:
		return s.stepSizeEnd(c)
	}
	return s.stepExtension(b)
}

// skip takes up to n bytes of the data that is left, and enters next at its end.
func (s *Scanner) skip(n int, next state) int {
	n = int(min(int64(n), s.left))
	s.left -= int64(n)
	if s.left == 0 {
		s.state = next
	}
	return n
}

// expectByte takes c, which must be the given one, and enters next.
func (s *Scanner) expectByte(c, expected byte, next state) (int, *Error) {
	if c != expected {
		return 0, invalid(ReasonChunk)
	}
	s.state = next
	return 1, nil
}

// stepSize scans one byte of the size of a chunk.
func (s *Scanner) stepSize(c byte) (int, *Error) {
	digit, ok := hexadecimal(c)
	if !ok {
		s.state = stateSizeEnd
		return 0, nil
	}
	if s.digits == maxDigits {
		return 0, invalid(ReasonChunk)
	}
	s.digits++
	s.left = s.left<<4 | int64(digit)
	return 1, nil
}

// stepSizeEnd scans one byte after the size of a chunk.
func (s *Scanner) stepSizeEnd(c byte) (int, *Error) {
	switch c {
	case '\r':
		s.state = stateSizeFeed
	case ';':
		s.state = stateExtension
	default:
		return 0, invalid(ReasonChunk)
	}
	return 1, nil
}

// stepExtension scans bytes of a chunk extension.
func (s *Scanner) stepExtension(b []byte) (int, *Error) {
	n := span(b, isText)
	if n > 0 {
		return n, s.addExtension(n)
	}
	return s.expectByte(b[0], '\r', stateSizeFeed)
}

// addExtension counts n bytes of chunk extensions.
func (s *Scanner) addExtension(n int) *Error {
	s.extensions += n
	if s.extensions > s.limits.Extensions {
		return invalid(ReasonExtension)
	}
	return nil
}

// beginChunk decides what follows the size of a chunk.
func (s *Scanner) beginChunk() *Error {
	if s.left == 0 {
		s.inTrailer = true
		s.state = stateFieldStart
		return nil
	}
	s.received += s.left
	if s.received > maxLength {
		return invalid(ReasonChunk)
	}
	if s.limits.Body > 0 && s.received > s.limits.Body {
		return &Error{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBody}
	}
	s.state = stateChunk
	return nil
}
