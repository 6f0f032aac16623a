// Package front handles the HTTP requests of callers. It passes each request to
// the entry of the node, executes the effects that the entry returns, and responds
// with the outcome.
//
// # Usage
//
//	o := front.Options{Local: gate, Remote: exchanger, Querier: endpoint, Scope: scope, Egress: writer}
//	f := front.New(l, o)
//	http.Serve(listener, f)
package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/io/egress"
	"bulrushlock/io/frame"
	"bulrushlock/io/loop"
	"bulrushlock/io/proto"
)

// BufferLimit is the size in bytes up to which the body of a request is buffered.
const BufferLimit = maxBufferedBody

// OutcomeQuerier queries a guard for the outcome of an attempt.
type OutcomeQuerier interface {
	// QueryOutcome returns event.Broken if the guard is unreachable.
	QueryOutcome(ctx context.Context, e effect.QueryOutcome) (event.Verdict, *event.StoredResponse)
}

// Options configure a Front.
type Options struct {
	// Local exchanges attempts with the guard of this node.
	Local proto.Exchanger
	// Remote exchanges attempts with the guards of other nodes.
	Remote proto.Exchanger
	// Querier queries guards for the outcome of attempts.
	Querier OutcomeQuerier
	// Prober sends load probes to guards; nil disables them.
	Prober LoadProber
	// Scope receives the metrics.
	Scope tally.Scope
	// Dialect is the dialect of callers; nil selects proto.Plain.
	Dialect proto.Dialect
	// Service is the service of the backend server beside the node.
	Service string
	// Egress writes the responses to callers.
	Egress *egress.Writer
	// HoldBytes is the memory in bytes for the bodies of uploads that arrive; 0 holds none, and
	// forwards them while they arrive.
	HoldBytes int64
	// HideTickets omits tickets from responses, for callers that do not support
	// tickets.
	HideTickets bool
}

// LoadProber sends load probes to guards.
type LoadProber interface {
	// ProbeLoads returns the load reports that arrive within a few milliseconds.
	ProbeLoads(ctx context.Context, peers []fleet.Instance, priority int) []event.LoadReported
}

// Front is the HTTP handler for callers.
type Front struct {
	loop        *loop.Loop
	options     Options
	uploads     *uploads
	outcomes    map[effect.Outcome]tally.Counter
	requestTime tally.Histogram
}

var _ http.Handler = (*Front)(nil)

// New returns the handler for the callers of a node.
func New(l *loop.Loop, o Options) *Front {
	if o.Dialect == nil {
		o.Dialect = proto.Plain{}
	}
	f := &Front{loop: l, options: o, uploads: newUploads(o.HoldBytes), outcomes: make(map[effect.Outcome]tally.Counter)}
	for _, outcome := range []effect.Outcome{effect.Run, effect.NotRun, effect.Unknown, effect.Running} {
		f.outcomes[outcome] = o.Scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("requests")
	}
	f.requestTime = o.Scope.Histogram("request_time", tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18))
	return f
}

// ServeHTTP handles one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	e, p := f.checkRequest(w, r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	cr := newCallerRequest(f, w, r)
	defer cr.close()
	if err := cr.receiveBody(&e); err != nil {
		var refused *refusedError
		if errors.As(err, &refused) {
			cr.refuseUpload(e, refused)
			return
		}
		p := problem{Status: bodyStatus(err), Outcome: effect.NotRun.String(), Reason: "body", Detail: err.Error()}
		writeProblem(w, p)
		return
	}
	e.ID = cr.id
	cr.began, cr.name = began, e.Name
	// Deferred, so that responses that break off are counted too.
	defer func() {
		f.outcomes[cr.outcome].Inc(1)
		f.requestTime.RecordDuration(time.Since(began))
	}()
	f.loop.Process(e)
	cr.run()
	if !cr.responded {
		// The server would respond with an empty 200 in place of the handler.
		panic(http.ErrAbortHandler)
	}
}

// checkRequest parses r into the event for the entry. If the caller chose no request
// ID, it assigns one and adds it to the header of the response. It returns a problem
// if r is rejected.
func (f *Front) checkRequest(w http.ResponseWriter, r *http.Request) (event.Request, *problem) {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return event.Request{}, &problem{Status: http.StatusNotImplemented, Outcome: effect.NotRun.String(), Reason: "upgrade"}
	}
	// HTTP/1.0 cannot distinguish the end of a response of unknown length from
	// a truncated one.
	if !r.ProtoAtLeast(1, 1) {
		p := &problem{Status: http.StatusHTTPVersionNotSupported, Outcome: effect.NotRun.String(), Reason: "version"}
		return event.Request{}, p
	}
	if hasDotSegments(r.URL.Path) {
		p := &problem{Status: http.StatusBadRequest, Outcome: effect.NotRun.String(), Reason: "path"}
		return event.Request{}, p
	}
	e, err := f.parseRequest(r)
	if err != nil {
		p := &problem{Status: http.StatusBadRequest, Outcome: effect.NotRun.String(), Reason: "header", Detail: err.Error()}
		return event.Request{}, p
	}
	if e.Name == "" {
		e.Name = newRequestID()
		w.Header().Set(proto.HeaderID, e.Name)
	}
	return e, nil
}

// bodyStatus returns the status for a body that could not be read. The error of a body without room
// states it.
func bodyStatus(err error) int {
	var invalid *frame.Error
	if errors.As(err, &invalid) {
		return invalid.Status
	}
	return http.StatusBadRequest
}

// hasDotSegments reports whether path has a "." or ".." segment. A backend
// server may resolve such a path to one that matches another rule.
func hasDotSegments(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}
