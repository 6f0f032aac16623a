package intake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"bulrushlock/io/frame"
)

// answerTimeout limits the time for sending the answer to an invalid request.
const answerTimeout = time.Second

// fail makes all further reads fail with err. The server of net/http answers nothing to an error of
// this type.
func (c *conn) fail(err error) error {
	c.failed = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	var invalid *frame.Error
	if errors.As(err, &invalid) {
		c.listener.intake.refused(invalid.Reason, c.listener)
	}
	return c.failed
}

// refuse answers a request whose head can't be read, and fails. The responses to all requests before
// it have been sent.
func (c *conn) refuse(err error) error {
	failed := c.fail(err)
	var invalid *frame.Error
	if !errors.As(err, &invalid) || c.deferred.Load() {
		return failed
	}
	c.ahead, c.ready, c.form, c.body, c.buffering = nil, 0, 0, 0, false
	_ = c.settle()
	text := fmt.Sprintf("%d %s", invalid.Status, http.StatusText(invalid.Status))
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = fmt.Fprintf(c.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", text, len(text), text)
	c.active.Store(true)
	return failed
}

// failBody fails a body that can't be read. The handler answers while it buffers the body. Later on
// a response may have begun, and the connection is closed.
func (c *conn) failBody(err error) error {
	failed := c.fail(err)
	if !c.buffering {
		_ = c.Close()
	}
	return failed
}
