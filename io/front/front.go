// Package front serves callers: it takes a request, carries out what the entry
// of the node decides for it, and answers with the outcome.
//
// # Usage
//
//	f := front.New(l, front.Options{Local: gate, Remote: link, Asker: wire, Spout: outlet})
//	http.Serve(listener, f)
package front

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/io/loop"
	"bulrushlock/io/spout"
	"bulrushlock/io/xchg"
)

// Asker asks a guard what became of an attempt.
type Asker interface {
	// Ask returns event.Broken when the guard cannot be reached.
	Ask(ctx context.Context, e effect.Ask) (event.Verdict, *event.Answer)
}

// Options are what a Front works with besides its loop.
type Options struct {
	// Local exchanges attempts with the guard of this node.
	Local xchg.Exchanger
	// Remote exchanges attempts with the guards of other nodes.
	Remote xchg.Exchanger
	Asker  Asker
	// Surveyor asks guards for their loads; nil asks nobody.
	Surveyor Surveyor
	Scope    tally.Scope
	// Dialect is that of callers; nil stands for the product's own.
	Dialect xchg.Dialect
	// Service is the service of the backend server beside the node.
	Service string
	// Spout writes the answers to callers.
	Spout *spout.Spout
	// Mute keeps tickets from callers, who do not know them.
	Mute bool
}

// Surveyor asks guards for their loads.
type Surveyor interface {
	// Survey returns the loads that come within a few milliseconds.
	Survey(ctx context.Context, peers []fleet.Instance) []event.Loaded
}

// Front is the HTTP handler for callers.
type Front struct {
	loop     *loop.Loop
	options  Options
	outcomes map[effect.Outcome]tally.Counter
	spent    tally.Histogram
}

var _ http.Handler = (*Front)(nil)

// New returns the handler for the callers of a node.
func New(l *loop.Loop, o Options) *Front {
	if o.Dialect == nil {
		o.Dialect = xchg.Plain{}
	}
	f := &Front{loop: l, options: o, outcomes: make(map[effect.Outcome]tally.Counter)}
	for _, outcome := range []effect.Outcome{effect.Run, effect.NotRun, effect.Unknown, effect.Running} {
		f.outcomes[outcome] = o.Scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("requests")
	}
	f.spent = o.Scope.Histogram("request_time", tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18))
	return f
}

// ServeHTTP serves one request of a caller.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	e, p := f.admit(r)
	if p != nil {
		writeProblem(w, *p)
		return
	}
	v := newVisit(f, w, r)
	defer v.close()
	if err := v.readBody(&e); err != nil {
		p := problem{Status: http.StatusBadRequest, Outcome: effect.NotRun.String(), Reason: "body", Detail: err.Error()}
		writeProblem(w, p)
		return
	}
	e.ID = v.id
	v.began, v.name = began, e.Name
	f.loop.Do(e)
	v.run()
	f.outcomes[v.outcome].Inc(1)
	f.spent.RecordDuration(time.Since(began))
}

// admit reads what the entry has to know of r, or returns the problem for which r is not served.
func (f *Front) admit(r *http.Request) (event.Request, *problem) {
	if r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "" {
		return event.Request{}, &problem{Status: http.StatusNotImplemented, Outcome: effect.NotRun.String(), Reason: "upgrade"}
	}
	// The end of an answer of unknown length cannot be told from a cut in HTTP/1.0.
	if !r.ProtoAtLeast(1, 1) {
		p := &problem{Status: http.StatusHTTPVersionNotSupported, Outcome: effect.NotRun.String(), Reason: "version"}
		return event.Request{}, p
	}
	if hasDots(r.URL.Path) {
		p := &problem{Status: http.StatusBadRequest, Outcome: effect.NotRun.String(), Reason: "path"}
		return event.Request{}, p
	}
	e, err := f.requestOf(r)
	if err != nil {
		p := &problem{Status: http.StatusBadRequest, Outcome: effect.NotRun.String(), Reason: "header", Detail: err.Error()}
		return event.Request{}, p
	}
	return e, nil
}

// hasDots reports whether a part of path is "." or "..". A backend server may
// take such a path for another one, which another rule describes.
func hasDots(path string) bool {
	for part := range strings.SplitSeq(path, "/") {
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}
