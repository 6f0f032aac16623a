package wire

import "net"

// limitedConn is a connection that fails once more than remaining bytes are read, or a message
// announces more. Gob makes room for a message of any announced size up to 10 MB before it reads
// it, and reads up to 1 GB.
type limitedConn struct {
	net.Conn
	remaining int
	// message is the number of bytes left of the message that is read.
	message uint64
	// prefix is the number of bytes left of the size of the next message, and size what was read of it.
	prefix int
	size   uint64
}

// SizeError reports a peer that sent more than a call may have.
type SizeError struct{}

// Error returns a fixed message.
func (*SizeError) Error() string { return "the peer sent more bytes than a call may have" }

const (
	// maxShortSize is the largest size of a message that gob encodes in one byte. A larger one
	// follows a byte with its negative length.
	maxShortSize = 0x7f
	// maxPrefix is the largest length in bytes of an encoded size.
	maxPrefix = 8
	byteBits  = 8
)

// Read reads from the connection. It fails with a *SizeError beyond the limit.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, &SizeError{}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	if !c.follow(b[:n]) {
		c.remaining = 0
		return 0, &SizeError{}
	}
	c.remaining -= n
	return n, err
}

// follow follows the messages in b. It reports whether all sizes in it are within the limit.
func (c *limitedConn) follow(b []byte) bool {
	left := uint64(c.remaining)
	for i := 0; i < len(b); {
		if c.message > 0 {
			skipped := min(uint64(len(b)-i), c.message)
			c.message -= skipped
			i += int(skipped)
			continue
		}
		if !c.followSize(b[i]) || c.message > left {
			return false
		}
		i++
	}
	return true
}

// followSize reads one byte of the size of a message. It reports whether the size is valid so far.
func (c *limitedConn) followSize(b byte) bool {
	switch {
	case c.prefix > 0:
		c.size = c.size<<byteBits | uint64(b)
		c.prefix--
		if c.prefix == 0 {
			c.message = c.size
		}
	case b <= maxShortSize:
		c.message = uint64(b)
	default:
		c.prefix, c.size = -int(int8(b)), 0
	}
	return c.prefix <= maxPrefix
}
