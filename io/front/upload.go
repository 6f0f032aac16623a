package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/nested"
	"bulrushlock/core/rules"
	"bulrushlock/core/upload"
)

const (
	// maxHeldBody is the size in bytes up to which the body of an upload is held. The rest of a
	// longer one is forwarded while it arrives.
	maxHeldBody = 1 << 20
	// refusedBodyTimeout is the time for which the rest of a refused body is discarded, so that
	// the caller gets the response before its connection is closed.
	refusedBodyTimeout = 5 * time.Second
)

// uploads guards the account of the bodies that are held.
type uploads struct {
	mutex  sync.Mutex
	holder *upload.Holder
}

// newUploads returns an account with the given budget in bytes, or nil if nothing is held.
func newUploads(budget int64) *uploads {
	if budget <= 0 {
		return nil
	}
	return &uploads{holder: upload.New(upload.Options{Budget: budget, Each: min(maxHeldBody, budget)})}
}

// begin decides whether the body of an upload is read.
func (u *uploads) begin(a upload.Arrival) upload.Decision {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.holder.Begin(a)
}

// extend reserves more memory for a body of unknown length.
func (u *uploads) extend(id uint64) upload.Decision {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.holder.Extend(time.Now(), id)
}

// end releases the memory of a body.
func (u *uploads) end(id uint64) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.holder.End(time.Now(), id)
}

// refusedError reports an upload that is refused before its body has arrived.
type refusedError struct {
	reason     effect.Reason
	retryAfter time.Duration
}

// Error describes the refusal.
func (e *refusedError) Error() string { return fmt.Sprintf("upload refused: %s", e.reason) }

// uploadRoute returns the route of an upload whose body is held, and the time left until its
// deadline. It reports false for other requests, and for those that the entry rejects without
// their body.
func (f *Front) uploadRoute(e event.Request) (r rules.Route, left time.Duration, ok bool) {
	set := f.loop.Rules()
	if f.uploads == nil || set == nil || !set.HasUploads() || e.Size == 0 || e.Ticket != nil {
		return rules.Route{}, 0, false
	}
	r, ok = set.Route(e.Method, e.Host, e.Path)
	if !ok || !r.Upload || e.Size > r.MaxBodyBytes {
		return rules.Route{}, 0, false
	}
	if _, known := set.CustomerOf(e.Credential); set.HasCustomers() && !r.Public && !known {
		// No memory is for callers that nobody knows.
		return rules.Route{}, 0, false
	}
	limits, err := nested.Incoming(e.Call, r.HeaderTimeout)
	if err != nil {
		return rules.Route{}, 0, false
	}
	return r, limits.TimeLeft - e.Waited, true
}

// holdBody reads the body of an upload into memory before the entry sees the request. It fails with
// a *refusedError if there is no memory for the body or if the body is not complete at the deadline,
// and with a *BodyError if it cannot be read.
func (cr *callerRequest) holdBody(e *event.Request, route rules.Route, left time.Duration) error {
	u := cr.front.uploads
	d := u.begin(upload.Arrival{At: e.At, ID: cr.id, Length: cr.request.ContentLength, TimeLeft: left})
	cr.bodyUnread = true
	if d.Refused {
		return &refusedError{reason: effect.ReasonMemory, retryAfter: d.RetryAfter}
	}
	cr.holdsMemory = true
	c := http.NewResponseController(cr.writer)
	if err := c.SetReadDeadline(d.Until); err != nil {
		return &BodyError{Cause: err}
	}
	body, whole, err := cr.readHeld(*e, d.Bytes, route.MaxBodyBytes)
	if err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return &BodyError{Cause: err}
	}
	e.Size = max(e.Size, int64(len(body)))
	cr.bodyUnread = false
	if !whole {
		// The entry decides by rules that may be newer than route and allow the body. What was read of it
		// is never sent without the rest.
		return cr.streamBody(e, body)
	}
	cr.buffered = body
	cr.recordHeld(e, len(body))
	return nil
}

// bodyLimit returns the size in bytes that the rules in force allow for the body of a request, or 0 if
// they have no route for it.
func (f *Front) bodyLimit(e event.Request) int64 {
	r, ok := f.loop.Rules().Route(e.Method, e.Host, e.Path)
	if !ok {
		return 0
	}
	return r.MaxBodyBytes
}

// readHeld reads the body of e, for which memory of the given number of bytes is reserved. It stops past
// limit, unless newer rules allow more, and at the size up to which bodies are held; whole is then false.
func (cr *callerRequest) readHeld(e event.Request, bytes, limit int64) (body []byte, whole bool, err error) {
	// One byte more shows whether the body goes on.
	body = make([]byte, 0, bytes+1)
	for {
		n, err := cr.request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, false, &refusedError{reason: effect.ReasonDeadline}
		case err != nil:
			return nil, false, &BodyError{Cause: err}
		case int64(len(body)) > limit:
			if limit = cr.front.bodyLimit(e); int64(len(body)) > limit {
				return body, false, nil
			}
		}
		if len(body) < cap(body) {
			continue
		}
		if cr.request.ContentLength >= 0 {
			return body, false, nil
		}
		d := cr.front.uploads.extend(cr.id)
		if d.Refused {
			return nil, false, &refusedError{reason: effect.ReasonMemory, retryAfter: d.RetryAfter}
		}
		if d.Bytes == bytes {
			return body, false, nil
		}
		bytes = d.Bytes
		body = append(make([]byte, 0, bytes+1), body...)
	}
}

// recordHeld logs that the body of an upload has arrived.
func (cr *callerRequest) recordHeld(e *event.Request, size int) {
	cr.front.loop.Record(effect.Decision{Kind: effect.DecisionHeld, Name: e.Name, Facts: []effect.Fact{
		{Key: "bytes", Value: int64(size)},
		{Key: "spent_us", Value: time.Since(e.At).Microseconds()},
	}})
}

// refuseUpload responds to an upload that is refused before its body has arrived.
func (cr *callerRequest) refuseUpload(e event.Request, cause *refusedError) {
	reply := effect.ReplyFromEntry{ID: cr.id, Outcome: effect.NotRun, Reason: cause.reason, RetryAfter: cause.retryAfter}
	cr.front.loop.Record(effect.Decision{Kind: effect.DecisionFailed, Name: e.Name, Failed: true, Facts: []effect.Fact{
		{Key: "outcome", Text: reply.Outcome.String()},
		{Key: "reason", Text: string(reply.Reason)},
		{Key: "bytes", Value: e.Size},
		{Key: "total_us", Value: time.Since(e.At).Microseconds()},
		{Key: "retry_us", Value: reply.RetryAfter.Microseconds()},
	}})
	cr.writeOutcome(reply)
	// The limit for bodies that nobody reads is shorter. An error means that the connection is closed.
	_ = http.NewResponseController(cr.writer).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	cr.front.outcomes[cr.outcome].Inc(1)
}
