package client

import (
	"context"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
	"bulrushlock/io/proto"
)

// The end of the caller's context may truncate the body that explains the
// outcome, as both often occur at the same deadline. The error must still carry
// the ticket.
func TestOutcomeWithTruncatedBodyKeepsTicket(t *testing.T) {
	lost := ticket.Ticket{
		Entry: ticket.NodeID{Instance: "costing", Incarnation: 1}, Sequence: 1,
		Guard: ticket.NodeID{Instance: "filing-1", Incarnation: 2}, Service: "filing",
	}
	respond := func(outcome effect.Outcome) *responseWriter {
		w := newResponseWriter()
		w.Header().Set(proto.HeaderOutcome, outcome.String())
		w.Header().Set(proto.HeaderTicket, lost.String())
		w.WriteHeader(http.StatusBadGateway)
		_ = w.pipe.CloseWithError(&TruncatedError{Cause: context.DeadlineExceeded})
		return w
	}
	t.Run("unknown", func(t *testing.T) {
		_, err := respond(effect.Unknown).result(t.Context()) //nolint:bodyclose // There is no response.
		var unknown *UnknownError
		qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, unknown.Ticket, qt.Equals, lost)
		qt.Check(t, unknown.Reason, qt.Equals, effect.ReasonDisconnected)
	})
	t.Run("running", func(t *testing.T) {
		_, err := respond(effect.Running).result(t.Context()) //nolint:bodyclose // There is no response.
		var running *RunningError
		qt.Assert(t, errors.As(err, &running), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, running.Ticket, qt.Equals, lost)
	})
	t.Run("not run", func(t *testing.T) {
		_, err := respond(effect.NotRun).result(t.Context()) //nolint:bodyclose // There is no response.
		var refused *NotRunError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, refused.Reason, qt.Equals, effect.ReasonDisconnected)
	})
}
