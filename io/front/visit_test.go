package front

import (
	"context"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// closer is a body that notes that it was closed.
type closer struct {
	io.Reader
	closed bool
}

// Close notes that the body was closed.
func (c *closer) Close() error {
	c.closed = true
	return nil
}

func TestAnswerThatComesAfterItsCancelIsClosed(t *testing.T) {
	c := qt.New(t)
	_, cancel := context.WithCancel(t.Context())
	a := &attempt{cancel: cancel}
	v := &visit{attempts: map[ticket.Ticket]*attempt{{Sequence: 1}: a}}
	v.cancel(ticket.Ticket{Sequence: 1})
	body := &closer{Reader: strings.NewReader("late")}
	v.keep(a, xchg.Answer{Body: body})
	c.Check(body.closed, qt.IsTrue)
}
