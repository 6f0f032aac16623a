package intake

import (
	"errors"
	"net"
	"os"
	"time"

	"bulrushlock/core/shed"
	"bulrushlock/io/sock"
)

const (
	// closeTimeout limits the time for delivering what was written before a connection is closed.
	closeTimeout = 5 * time.Second
	// lingerTimeout limits the time for which the client may take to close its side after that. A
	// reset can discard data that a client has received and not read.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes limits what is read meanwhile, and lingerBuffer is the size in bytes of the buffer
	// for that.
	lingerBytes  = 256 << 10
	lingerBuffer = 1 << 10
	// lingerInterval is the time between two checks of what the client has received.
	lingerInterval = 50 * time.Millisecond
)

// Close closes the connection and releases what it holds. Closing a socket with unread bytes, such as
// requests behind the last response, resets the connection and discards what is still to be sent.
// A connection that may have such bytes is therefore closed for writing only, until the client has
// received everything and closes its side.
func (c *conn) Close() error {
	if c.closing.Swap(true) {
		return net.ErrClosed
	}
	if !c.active.Load() && c.isAcked() || c.CloseWrite() != nil {
		c.listener.intake.release(c)
		return c.TCPConn.Close()
	}
	c.listener.intake.startLinger(c)
	go func() {
		defer c.listener.intake.endLinger(c)
		c.linger()
	}()
	return nil
}

// isAcked reports whether the client has acknowledged everything that was sent. If that is unknown, it
// reports false.
func (c *conn) isAcked() bool {
	n, err := sock.Unacked(c.TCPConn)
	return n == 0 && err == nil
}

// linger discards what the client sends until it has closed its side, or for lingerTimeout after it
// has received everything, or for closeTimeout.
func (c *conn) linger() {
	// This ends a read whose deadline the server changes while it ends its own last read.
	limit := time.AfterFunc(closeTimeout, func() { _ = c.TCPConn.Close() })
	defer limit.Stop()
	var acked time.Time
	for total := 0; acked.IsZero() || time.Since(acked) < lingerTimeout; {
		if acked.IsZero() && c.isAcked() {
			acked = time.Now()
		}
		n, err := c.discard(lingerBytes - total)
		if err != nil {
			return
		}
		total += n
	}
}

// discard reads and discards up to limit bytes, for lingerInterval at most. It fails when the client
// has closed its side or the connection is closed.
func (c *conn) discard(limit int) (int, error) {
	if limit <= 0 {
		time.Sleep(lingerInterval)
		return 0, c.SetReadDeadline(time.Time{})
	}
	var discarded [lingerBuffer]byte
	if err := c.SetReadDeadline(time.Now().Add(lingerInterval)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(discarded[:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, nil
	}
	return n, err
}

// startLinger notes that c lingers. It holds no bytes any more, and may be closed to make room.
func (k *Intake) startLinger(c *conn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lingering++
	if c.closed {
		k.doomed -= c.held.Load()
	}
	k.setHeld(c, 0)
	c.enter(shed.Waiting, time.Now().UnixNano())
}

// endLinger closes c.
func (k *Intake) endLinger(c *conn) {
	k.release(c)
	_ = c.TCPConn.Close()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.lingering--
	k.freed.Broadcast()
}

// Wait waits until all connections are closed that servers have closed before. It takes a few seconds
// at most, and is called before the process ends, which would close them at once.
func (k *Intake) Wait() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for k.lingering > 0 {
		k.freed.Wait()
	}
}
