package frame

import (
	"net/http"
	"strings"
)

// fieldKind is the kind of a field that matters for framing.
type fieldKind uint8

const (
	// kindOther is a field that doesn't matter.
	kindOther fieldKind = iota
	kindLength
	kindCoding
	kindConnection
	kindExpect
	kindHost
)

// kindOf returns the kind of the field with a name in lower case.
func kindOf(name []byte) fieldKind {
	switch string(name) {
	case "content-length":
		return kindLength
	case "transfer-encoding":
		return kindCoding
	case "connection":
		return kindConnection
	case "expect":
		return kindExpect
	case "host":
		return kindHost
	}
	return kindOther
}

// stepField scans bytes of a field, or of the empty line after the last one.
func (s *Scanner) stepField(b []byte) (int, *Error) {
	c := b[0]
	switch s.state {
	case stateFieldStart:
		if c == '\r' {
			s.state = stateEmptyFeed
			return 1, nil
		}
		if n := s.skipFields(b); n > 0 {
			return n, nil
		}
		return 0, s.beginField()
	case stateName:
		return s.stepName(b)
	case stateValueStart:
		n := span(b, isSpace)
		if n < len(b) {
			s.state = stateValue
		}
		return n, nil
	case stateValue:
		return s.stepValue(b)
	case stateFieldFeed:
		if c != '\n' {
			return 0, s.invalidField()
		}
		s.state = stateFieldStart
		return 1, nil
	}
	if c != '\n' {
		return 0, s.invalidField()
	}
	return 1, nil
}

// skipFields scans whole fields that are valid and do not matter for framing, and returns their size.
// It is the short way for what stepField would do in several steps.
func (s *Scanner) skipFields(b []byte) (total int) {
	for s.fields < s.limits.Fields {
		field := b[total:]
		name := span(field, isToken)
		if name == 0 || name == len(field) || field[name] != ':' || mayMatter(name) && s.kindOfName(field[:name]) != kindOther {
			break
		}
		end := name + 1 + span(field[name+1:], isText)
		if len(field) < end+2 || field[end] != '\r' || field[end+1] != '\n' {
			break
		}
		s.fields++
		total += end + 2
	}
	return total
}

// mayMatter reports whether a field that matters for framing has a name of the given size.
func mayMatter(size int) bool {
	const sizes = 1<<len("host") | 1<<len("expect") | 1<<len("connection") | 1<<len("content-length") | 1<<len("transfer-encoding")
	return size <= maxName && sizes>>size&1 == 1
}

// kindOfName returns the kind of the field with a name in any case, of at most maxName bytes.
func (s *Scanner) kindOfName(name []byte) fieldKind {
	for i, c := range name {
		s.name[i] = lower(c)
	}
	return kindOf(s.name[:len(name)])
}

// invalidField returns the error of a field that isn't valid.
func (s *Scanner) invalidField() *Error {
	if s.inTrailer {
		return invalid(ReasonTrailer)
	}
	return invalid(ReasonField)
}

// beginField counts a further field.
func (s *Scanner) beginField() *Error {
	if s.fields >= s.limits.Fields {
		r := ReasonFields
		if s.inTrailer {
			r = ReasonTrailer
		}
		return &Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: r}
	}
	s.fields++
	s.nameSize, s.valueSize, s.gap, s.kind = 0, 0, 0, kindOther
	s.state = stateName
	return nil
}

// stepName scans bytes of the name of a field and its colon.
func (s *Scanner) stepName(b []byte) (int, *Error) {
	n := span(b, isToken)
	if n > 0 {
		for i := 0; i < n && s.nameSize+i < maxName; i++ {
			s.name[s.nameSize+i] = lower(b[i])
		}
		s.nameSize += n
		return n, nil
	}
	if b[0] != ':' || s.nameSize == 0 {
		return 0, s.invalidField()
	}
	if s.nameSize <= maxName {
		s.kind = kindOf(s.name[:s.nameSize])
	}
	if s.inTrailer && s.kind != kindOther {
		return 0, s.invalidField()
	}
	s.state = stateValueStart
	return 1, nil
}

// stepValue scans bytes of the value of a field and its carriage return.
func (s *Scanner) stepValue(b []byte) (int, *Error) {
	n := span(b, isText)
	if s.kind != kindOther {
		for _, c := range b[:n] {
			s.keep(c)
		}
	}
	if n > 0 {
		return n, nil
	}
	if b[0] != '\r' {
		return 0, s.invalidField()
	}
	s.state = stateFieldFeed
	return 1, s.endValue()
}

// keep adds one byte to the value that is kept, which has no white space at its end. The elements of
// a Connection field are evaluated one by one.
func (s *Scanner) keep(c byte) {
	switch {
	case s.kind == kindConnection && c == ',':
		s.addOption()
	case !isBlank(c):
		for ; s.gap > 0; s.gap-- {
			s.add(' ')
		}
		s.add(c)
	case s.valueSize > 0 && s.valueSize <= maxValue:
		s.gap = min(s.gap+1, maxValue)
	}
}

// add adds one byte to the value that is kept, and marks a value that is too long.
func (s *Scanner) add(c byte) {
	if s.valueSize < maxValue {
		s.value[s.valueSize] = c
	}
	s.valueSize = min(s.valueSize+1, maxValue+1)
}

// kept returns the value that is kept, or nothing if it is too long.
func (s *Scanner) kept() string {
	if s.valueSize > maxValue {
		return ""
	}
	return string(s.value[:s.valueSize])
}

// addOption evaluates one element of a Connection field.
func (s *Scanner) addOption() {
	v := s.kept()
	s.close = s.close || strings.EqualFold(v, "close")
	s.keepAlive = s.keepAlive || strings.EqualFold(v, "keep-alive")
	s.valueSize, s.gap = 0, 0
}

// endValue evaluates the value of a field that matters for framing.
func (s *Scanner) endValue() *Error {
	switch s.kind {
	case kindLength:
		return s.setLength()
	case kindCoding:
		if s.chunked || !strings.EqualFold(s.kept(), "chunked") {
			return &Error{Status: http.StatusNotImplemented, Reason: ReasonCoding}
		}
		s.chunked = true
	case kindConnection:
		s.addOption()
	case kindExpect:
		s.expect = strings.EqualFold(s.kept(), "100-continue")
	case kindHost:
		s.hosts++
		if s.hosts > 1 {
			return s.invalidField()
		}
	case kindOther:
	}
	return nil
}

// setLength evaluates the value of a Content-Length field.
func (s *Scanner) setLength() *Error {
	v := s.kept()
	if v == "" {
		return invalid(ReasonLength)
	}
	var length int64
	for _, c := range []byte(v) {
		if !isDigit(c) || length > maxLength/10 {
			return invalid(ReasonLength)
		}
		length = length*10 + int64(c-'0')
	}
	if s.hasLength && length != s.length {
		return invalid(ReasonLength)
	}
	if s.limits.Body > 0 && length > s.limits.Body {
		return &Error{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBody}
	}
	s.hasLength, s.length = true, length
	return nil
}
