package client

import (
	"context"
	"errors"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/ticket"
	"bulrushlock/io/xchg"
)

// The end of the caller's context may cut the body that explains the outcome, as
// both often come at the same deadline.
func TestOutcomeWhoseBodyIsCutKeepsItsTicket(t *testing.T) {
	lost := ticket.Ticket{
		Entry: ticket.Node{Instance: "costing", Incarnation: 1}, Sequence: 1,
		Guard: ticket.Node{Instance: "filing-1", Incarnation: 2}, Service: "filing",
	}
	answer := func(outcome effect.Outcome) *writer {
		w := newWriter()
		w.Header().Set(xchg.HeaderOutcome, outcome.String())
		w.Header().Set(xchg.HeaderTicket, lost.String())
		w.WriteHeader(http.StatusBadGateway)
		_ = w.pipe.CloseWithError(&CutError{Cause: context.DeadlineExceeded})
		return w
	}
	t.Run("unknown", func(t *testing.T) {
		_, err := answer(effect.Unknown).outcome(t.Context()) //nolint:bodyclose // There is no answer.
		var unknown *UnknownError
		qt.Assert(t, errors.As(err, &unknown), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, unknown.Ticket, qt.Equals, lost)
		qt.Check(t, unknown.Reason, qt.Equals, effect.ReasonGone)
	})
	t.Run("running", func(t *testing.T) {
		_, err := answer(effect.Running).outcome(t.Context()) //nolint:bodyclose // There is no answer.
		var running *RunningError
		qt.Assert(t, errors.As(err, &running), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, running.Ticket, qt.Equals, lost)
	})
	t.Run("not run", func(t *testing.T) {
		_, err := answer(effect.NotRun).outcome(t.Context()) //nolint:bodyclose // There is no answer.
		var refused *NotRunError
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, refused.Reason, qt.Equals, effect.ReasonGone)
	})
}
