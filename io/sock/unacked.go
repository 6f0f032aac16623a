package sock

import (
	"fmt"
	"net"

	"golang.org/x/sys/unix"
)

// Unacked returns the number of bytes that were written to c and that its peer hasn't acknowledged. It
// fails if c is closed or the system doesn't tell.
func Unacked(c *net.TCPConn) (int, error) {
	var count int
	err := control(c, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("unacknowledged bytes: %w", err)
	}
	return count, nil
}
