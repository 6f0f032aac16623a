package front

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// closeRecorder is a body that records whether it was closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

// Close records the call.
func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

func TestResponseAfterCancelIsClosed(t *testing.T) {
	c := qt.New(t)
	_, cancel := context.WithCancel(t.Context())
	a := &pendingAttempt{cancel: cancel}
	cr := &callerRequest{attempts: map[ticket.Ticket]*pendingAttempt{{Sequence: 1}: a}}
	cr.cancel(ticket.Ticket{Sequence: 1})
	body := &closeRecorder{Reader: strings.NewReader("late")}
	cr.storeResponse(a, proto.Response{Body: body})
	c.Check(body.closed, qt.IsTrue)
}
