package loop

import (
	"fmt"
	"runtime/debug"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
)

// Recover recovers from a panic of the goroutine that defers it, and counts and logs the
// panic. The argument place names what the goroutine did. A deferred function that has to
// do more calls ReportPanic instead.
func (l *Loop) Recover(place string) {
	if p := recover(); p != nil {
		l.ReportPanic(place, p)
	}
}

// ReportPanic counts and logs a panic from which the caller has recovered.
func (l *Loop) ReportPanic(place string, p any) {
	l.options.Scope.Counter("panics").Inc(1)
	l.options.Logger.Error("panic", "place", place, "error", fmt.Sprint(p), "stack", string(debug.Stack()))
}

// recoverStep recovers from a panic of the reducer. The effects of the event are lost, so
// whoever waits for them gets one that tells that the outcome is unknown. The mutex must be
// held.
func (l *Loop) recoverStep(e event.Event) {
	p := recover()
	if p == nil {
		return
	}
	l.ReportPanic(fmt.Sprintf("event %T", e), p)
	if fallback := unknownOutcome(e); fallback != nil {
		l.deliver(fallback)
	}
}

// unknownOutcome returns the effect that ends the request, attempt or query of an event with
// an unknown outcome. It returns nil for an event that belongs to none.
func unknownOutcome(e event.Event) effect.Effect {
	switch e := e.(type) {
	case event.Request:
		return unknownReply(e.ID)
	case event.CandidatesProbed:
		return unknownReply(e.ID)
	case event.AttemptEnded:
		return unknownReply(e.ID)
	case event.OutcomeReported:
		return unknownReply(e.ID)
	case event.HedgeDelayPassed:
		return unknownReply(e.ID)
	case event.Attempt:
		return unknownRejection(e.Arrival)
	case event.QueueTimedOut:
		return unknownRejection(e.Arrival)
	case event.OutcomeQueried:
		return effect.ReportOutcome{Query: e.Query, Verdict: event.Unknown}
	case event.LoadRequested:
		return effect.ReportLoad{Query: e.Query, Refused: true}
	}
	return nil
}

// unknownReply returns the reply to a request whose outcome is unknown.
func unknownReply(id uint64) effect.Effect {
	return effect.ReplyFromEntry{ID: id, Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}

// unknownRejection returns the response to an attempt whose outcome is unknown.
func unknownRejection(arrival uint64) effect.Effect {
	return effect.RejectAttempt{Arrival: arrival, Outcome: effect.Unknown, Reason: effect.ReasonBroken}
}
