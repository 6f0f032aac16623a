package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
	"bulrushlock/io/lease"
	"bulrushlock/io/proto"
)

// callerRequest is the state of one request of a caller while the entry
// processes it.
type callerRequest struct {
	front    *Front
	writer   http.ResponseWriter
	request  *http.Request
	id       uint64
	effects  <-chan effect.Effect
	buffered []byte
	// stream is a body that is forwarded while it arrives, and streamed the part of it that was
	// not buffered; nil for a buffered body.
	stream   *lease.Body
	streamed *proto.StreamedBody
	// bodyUnread reports that the caller may still send a body that nobody reads.
	bodyUnread bool
	// holdsMemory reports that the body takes memory of the account for uploads.
	holdsMemory bool
	// tooLarge reports that a body of unknown length exceeded the limit of its
	// route.
	tooLarge atomic.Bool
	outcome  effect.Outcome
	// name is the request name that the caller chose.
	name  string
	began time.Time
	// responded reports that the head of a response was written.
	responded bool
	// recovered is the stored response that a guard returned to an outcome query.
	recovered *event.StoredResponse

	mutex    sync.Mutex
	attempts map[ticket.Ticket]*pendingAttempt
}

// pendingAttempt is one attempt of a callerRequest and its response, if any.
type pendingAttempt struct {
	cancel   context.CancelFunc
	response *proto.Response
	// responseTimeout is the time from the start of the request within which
	// the response must end; 0 means none.
	responseTimeout time.Duration
	// cancelled reports that the attempt was cancelled. A response that arrives
	// afterwards must be closed.
	cancelled bool
}

// newCallerRequest returns the state of r and opens a mailbox for its effects.
func newCallerRequest(f *Front, w http.ResponseWriter, r *http.Request) *callerRequest {
	cr := &callerRequest{front: f, writer: w, request: r, attempts: make(map[ticket.Ticket]*pendingAttempt, 1)}
	cr.id, cr.effects = f.loop.OpenMailbox()
	return cr
}

// close reports the end of the request to the entry, closes its mailbox and
// cancels all pending attempts.
func (cr *callerRequest) close() {
	cr.front.loop.Process(event.RequestEnded{At: time.Now(), ID: cr.id})
	cr.front.loop.CloseMailbox(cr.id)
	if cr.stream != nil {
		cr.stream.Close()
	}
	if cr.holdsMemory {
		cr.front.uploads.end(cr.id)
	}
	cr.mutex.Lock()
	defer cr.mutex.Unlock()
	for _, a := range cr.attempts {
		a.abort()
	}
}

// abort cancels the attempt and closes its response.
func (a *pendingAttempt) abort() {
	a.cancelled = true
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// run executes the effects of the entry until the caller has its response or
// has disconnected.
func (cr *callerRequest) run() {
	for {
		select {
		case e := <-cr.effects:
			if cr.apply(e) {
				return
			}
		case <-cr.request.Context().Done():
			cr.outcome = effect.Unknown
			return
		}
	}
}

// apply executes one effect and reports whether the caller has its response.
func (cr *callerRequest) apply(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.ProbeCandidates:
		cr.probeLoads(e)
	case effect.Forward:
		cr.forward(e)
	case effect.QueryOutcome:
		cr.queryOutcome(e)
	case effect.Cancel:
		cr.cancel(e.Ticket)
	case effect.RelayResponse:
		cr.writeResponse(e.Ticket)
		cr.finishBody()
		return true
	case effect.FetchResponse:
		cr.writeStoredResponse(e)
		cr.finishBody()
		return true
	case effect.ReplyFromEntry:
		cr.writeOutcome(e)
		return true
	}
	return false
}

// forward sends an attempt: synchronously if it is the only one of the request and
// is not to be hedged, otherwise in a goroutine of its own.
func (cr *callerRequest) forward(e effect.Forward) {
	ctx := cr.request.Context()
	if !e.Route.Idempotent && !cr.front.options.HideTickets {
		if e.Ticket.Guard.Incarnation != 0 {
			cr.sendEarlyHints(e.Ticket)
		}
		// The attempt continues if the caller disconnects: the caller may query the
		// response later.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	a := &pendingAttempt{cancel: cancel, responseTimeout: e.Route.TotalTimeout}
	cr.mutex.Lock()
	cr.attempts[e.Ticket] = a
	hedged := len(cr.attempts) > 1 || e.HedgeDelay > 0
	cr.mutex.Unlock()
	attempt := cr.newAttempt(e)
	if !hedged {
		cr.exchange(ctx, a, e, attempt)
		return
	}
	go func() {
		defer func() {
			if p := recover(); p != nil {
				cr.front.loop.ReportPanic("attempt", p)
				cr.front.loop.Process(event.AttemptEnded{At: time.Now(), ID: cr.id, Ticket: e.Ticket, Verdict: event.Broken, Random: rand.Uint64()})
			}
		}()
		cr.exchange(ctx, a, e, attempt)
	}()
	if e.HedgeDelay > 0 {
		time.AfterFunc(e.HedgeDelay, func() {
			cr.front.loop.Process(event.HedgeDelayPassed{At: time.Now(), ID: cr.id, Random: rand.Uint64()})
		})
	}
}

// probeLoads sends load probes to guards and passes the results to the entry.
func (cr *callerRequest) probeLoads(e effect.ProbeCandidates) {
	var loads []event.LoadReported
	if s := cr.front.options.Prober; s != nil {
		loads = s.ProbeLoads(cr.request.Context(), e.Peers, e.Priority)
	}
	cr.front.loop.Process(event.CandidatesProbed{At: time.Now(), ID: cr.id, Loads: loads, Random: rand.Uint64()})
}

// sendEarlyHints sends the ticket of an attempt to the caller before the
// attempt is sent. An attempt for an unknown incarnation of the guard is always
// rejected and needs no ticket.
func (cr *callerRequest) sendEarlyHints(t ticket.Ticket) {
	cr.writer.Header().Set(proto.HeaderTicket, t.String())
	cr.writer.WriteHeader(http.StatusEarlyHints)
}

// newAttempt returns the attempt described by e.
func (cr *callerRequest) newAttempt(e effect.Forward) proto.Attempt {
	body, length := cr.body(e.Route.MaxBodyBytes)
	header := make(http.Header, len(cr.request.Header)+1)
	proto.CopyHeader(header, cr.request.Header)
	cr.front.options.Dialect.SetCallerHeader(header, cr.front.options.Service)
	if e.WithholdCredential {
		header.Del(headerCredential)
		cr.front.options.Dialect.SetCustomerHeader(header, "")
	}
	return proto.Attempt{
		Ticket:        e.Ticket,
		Peer:          e.Peer,
		Method:        cr.request.Method,
		Target:        cr.request.URL.RequestURI(),
		Host:          cr.request.Host,
		Header:        header,
		Body:          body,
		Length:        length,
		Idempotent:    e.Route.Idempotent,
		Priority:      e.Route.Priority,
		Class:         e.Class,
		Call:          e.Call,
		HeaderTimeout: e.Call.TimeLeft,
		WholeTimeout:  cr.wholeTimeout(e.Route.TotalTimeout),
		TargetLeft:    e.TargetLeft,
		Nested:        e.Nested,
		Name:          cr.name,
		Customer:      e.Customer,
		Key:           e.Key,
		First:         e.FirstUse,
		Versions:      e.Versions,
		RateLimit:     e.RateLimit,
	}
}

// wholeTimeout returns the time left of the limit for a whole response, or 0 if there is none.
func (cr *callerRequest) wholeTimeout(limit time.Duration) time.Duration {
	if limit == 0 {
		return 0
	}
	return max(limit-time.Since(cr.began), time.Microsecond)
}

// exchange sends attempt and reports the result to the entry.
func (cr *callerRequest) exchange(ctx context.Context, a *pendingAttempt, e effect.Forward, attempt proto.Attempt) {
	exchanger := cr.front.options.Remote
	if e.Local {
		exchanger = cr.front.options.Local
	}
	began := time.Now()
	response, err := exchanger.Exchange(ctx, attempt)
	verdict := verdictOf(response, err)
	ended := event.AttemptEnded{
		At:         time.Now(),
		ID:         cr.id,
		Ticket:     e.Ticket,
		Verdict:    verdict,
		Reason:     string(response.Reason),
		Guard:      response.Guard,
		Load:       response.Load,
		Status:     response.Status,
		Latency:    time.Since(began),
		Size:       response.Length,
		BodyUnread: cr.withdrawBody(verdict),
		Random:     rand.Uint64(),
	}
	if err == nil {
		cr.storeResponse(a, response)
	}
	cr.front.loop.Process(ended)
}

// withdrawBody reports whether a streamed body is unread, so that another attempt may send it. The
// attempt that has ended then cannot read it anymore. An attempt that has a response keeps the body,
// which the backend server may read while the response is passed on.
func (cr *callerRequest) withdrawBody(v event.Verdict) bool {
	return cr.stream != nil && v != event.Ran && cr.stream.Withdraw()
}

// storeResponse holds a response until the entry decides whether to use it.
func (cr *callerRequest) storeResponse(a *pendingAttempt, response proto.Response) {
	cr.mutex.Lock()
	defer cr.mutex.Unlock()
	a.response = &response
	if a.cancelled {
		a.abort()
	}
}

// verdictOf returns the verdict for the result of an exchange.
func verdictOf(response proto.Response, err error) event.Verdict {
	var unsent *proto.UnsentError
	var broken *proto.BrokenError
	switch {
	case errors.As(err, &unsent):
		return event.Unsent
	case errors.As(err, &broken) && broken.Expired:
		return event.Expired
	case err != nil:
		return event.Broken
	}
	switch response.Outcome {
	case effect.Run:
		return event.Ran
	case effect.NotRun:
		return event.NotRun
	case effect.Running:
		return event.Running
	case effect.Unknown:
	}
	return event.Unknown
}

// cancel aborts the exchange of t.
func (cr *callerRequest) cancel(t ticket.Ticket) {
	cr.mutex.Lock()
	defer cr.mutex.Unlock()
	if a, ok := cr.attempts[t]; ok {
		a.abort()
		delete(cr.attempts, t)
	}
}

// pause waits for d. It returns false if the caller disconnects first.
func (cr *callerRequest) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-cr.request.Context().Done():
		return false
	}
}

// queryOutcome queries the guard of an attempt for its outcome and passes the
// result to the entry.
func (cr *callerRequest) queryOutcome(e effect.QueryOutcome) {
	if e.Delay > 0 && !cr.pause(e.Delay) {
		return
	}
	verdict, response := cr.front.options.Querier.QueryOutcome(cr.request.Context(), e)
	cr.recovered = response
	cr.front.loop.Process(event.OutcomeReported{
		At:             time.Now(),
		ID:             cr.id,
		Ticket:         e.Ticket,
		Verdict:        verdict,
		ResponseStored: response != nil,
		Random:         rand.Uint64(),
	})
}
