package frame

// class is a set of bytes, as a bit of classes.
type class uint8

const (
	// isToken are the bytes of a method or of a field name.
	isToken class = 1 << iota
	// isTarget are the bytes of a request target.
	isTarget
	// isText are the bytes of a field value.
	isText
	// isSpace are the bytes of white space within a line.
	isSpace
)

// classes holds the sets that each byte belongs to.
var classes = func() (table [256]class) {
	for i := range table {
		c := byte(i)
		switch {
		case c == ' ' || c == '\t':
			table[i] = isText | isSpace
		case c > ' ' && c != 0x7f:
			table[i] = isText | isTarget
		}
		if isDigit(c) || 'a' <= lower(c) && lower(c) <= 'z' {
			table[i] |= isToken
		}
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] |= isToken
	}
	return table
}()

// IsToken reports whether c may stand in a method or in the name of a field (RFC 9110, 5.6.2).
func IsToken(c byte) bool { return classes[c]&isToken != 0 }

// span returns the number of bytes at the start of b that belong to c.
func span(b []byte, c class) int {
	for i, character := range b {
		if classes[character]&c == 0 {
			return i
		}
	}
	return len(b)
}

// isBlank reports whether c is white space within a line.
func isBlank(c byte) bool { return c == ' ' || c == '\t' }

// isDigit reports whether c is a decimal digit.
func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// lower returns an ASCII letter in lower case, and any other byte unchanged.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// hexadecimal returns the value of a hexadecimal digit, and false for any other byte.
func hexadecimal(c byte) (byte, bool) {
	switch c = lower(c); {
	case isDigit(c):
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	}
	return 0, false
}
