// Package oper serves operators: the status of the node, its metrics, its time
// line, and whether it lives and is ready.
//
// # Usage
//
//	http.Serve(listener, oper.New(l, metrics))
package oper

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/io/loop"
)

// eventsLimit is the largest number of events of one answer.
const eventsLimit = 1024

// Oper is the HTTP handler for operators.
type Oper struct {
	loop *loop.Loop
	mux  *http.ServeMux
}

var _ http.Handler = (*Oper)(nil)

// Status is the state of a node as operators read it.
type Status struct {
	Instance string `json:"instance"`
	Life     string `json:"life"`
	Centre   string `json:"centre"`
	Service  string `json:"service"`
	Rules    uint64 `json:"rules"`
	Fleet    uint64 `json:"fleet"`
	// Age is the time in milliseconds since the rules were known to be the newest.
	Age      int64  `json:"age"`
	Trust    string `json:"trust"`
	Watches  bool   `json:"watches"`
	Closed   string `json:"closed,omitempty"`
	Busy     int    `json:"busy"`
	Queued   int    `json:"queued"`
	Limit    int    `json:"limit"`
	Cold     bool   `json:"cold"`
	Leaving  bool   `json:"leaving"`
	Requests int    `json:"requests"`
}

// Timeline is a part of the time line of a node.
type Timeline struct {
	// Life changes when the node is started again, and its sequences begin again.
	Life    string        `json:"life"`
	Records []loop.Record `json:"records"`
	// Next is the sequence to go on from.
	Next uint64 `json:"next"`
	// Dropped is the number of events that were lost before the first record.
	Dropped uint64 `json:"dropped"`
}

// New returns the handler of a node; metrics serves its metrics.
func New(l *loop.Loop, metrics http.Handler) *Oper {
	o := &Oper{loop: l, mux: http.NewServeMux()}
	o.mux.HandleFunc("GET /status", o.status)
	o.mux.HandleFunc("GET /timeline", o.timeline)
	o.mux.HandleFunc("GET /peers", o.peers)
	o.mux.HandleFunc("GET /rules", o.rules)
	o.mux.HandleFunc("GET /instances", o.instances)
	o.mux.HandleFunc("GET /live", o.live)
	o.mux.HandleFunc("GET /ready", o.ready)
	o.mux.Handle("GET /metrics", metrics)
	return o
}

// ServeHTTP serves one request of an operator.
func (o *Oper) ServeHTTP(w http.ResponseWriter, r *http.Request) { o.mux.ServeHTTP(w, r) }

// read returns the status of the node.
func (o *Oper) read() Status {
	var s node.Status
	o.loop.View(func(n *node.Node) { s = n.Status(time.Now()) })
	return Status{
		Instance: s.Identity.Instance,
		Life:     strconv.FormatUint(s.Identity.Incarnation, 16),
		Centre:   s.Identity.Centre,
		Service:  s.Identity.Service,
		Rules:    s.Versions.Rules.Revision,
		Fleet:    s.Versions.Fleet.Revision,
		Age:      s.Versions.Age.Milliseconds(),
		Trust:    s.Trust.String(),
		Watches:  s.Watches,
		Closed:   string(s.Closed),
		Busy:     s.Load.InFlight,
		Queued:   s.Load.Queued,
		Limit:    s.Load.Limit,
		Cold:     s.Load.Cold,
		Leaving:  s.Load.Leaving,
		Requests: s.Requests,
	}
}

// status writes the status of the node.
func (o *Oper) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, o.read()) }

// timeline writes the events of the time line from the query value since on.
func (o *Oper) timeline(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "since is not a number: "+text, http.StatusBadRequest)
			return
		}
		since = n
	}
	t := Timeline{Life: o.read().Life}
	t.Records, t.Next, t.Dropped = o.loop.Events(since, eventsLimit)
	writeJSON(w, t)
}

// rules writes the text of the rules in force.
func (o *Oper) rules(w http.ResponseWriter, _ *http.Request) { o.document(w, event.Rules) }

// instances writes the list of instances that the node holds.
func (o *Oper) instances(w http.ResponseWriter, _ *http.Request) { o.document(w, event.Fleet) }

// document writes a document with its revision.
func (o *Oper) document(w http.ResponseWriter, d event.Document) {
	var text string
	var revision uint64
	o.loop.View(func(n *node.Node) { text, revision = n.Text(d) })
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Revision", strconv.FormatUint(revision, 10))
	_, _ = w.Write([]byte(text))
}

// live tells that the process serves.
func (o *Oper) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// ready tells whether the node may be sent requests: it has rules and trusts
// them, it has a list of instances, it is not leaving, and it is not taken out
// of service.
func (o *Oper) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := unready(o.read()); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// unready returns the reason for which a node in the state s is not ready, or an empty reason.
func unready(s Status) effect.Reason {
	switch {
	case s.Closed != "":
		return effect.Reason(s.Closed)
	case s.Leaving:
		return effect.ReasonLeaving
	case s.Fleet == 0:
		return effect.ReasonServers
	}
	return ""
}

// writeJSON writes v as the whole answer.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
