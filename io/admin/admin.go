// Package admin implements the HTTP interface that a node offers to operators: status,
// metrics, event log, peers, rules, instance list, liveness and readiness.
//
// # Usage
//
//	http.Serve(listener, admin.New(l, metrics))
package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/view"
	"bulrushlock/io/loop"
)

// eventsLimit is the largest number of events in one response.
const eventsLimit = 1024

// Handler is the HTTP handler for operators.
type Handler struct {
	loop *loop.Loop
	mux  *http.ServeMux
}

var _ http.Handler = (*Handler)(nil)

// Status is the status of a node as operators see it.
type Status struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"life"`
	Centre      string `json:"centre"`
	Service     string `json:"service"`
	Rules       uint64 `json:"rules"`
	Fleet       uint64 `json:"fleet"`
	// Epoch counts how often the platform came back from an older copy, and Edition is the author's
	// number of the rules; 0 if unknown.
	Epoch uint64 `json:"epoch,omitempty"`
	// RulesEpoch is the epoch of the revision in Rules.
	RulesEpoch uint64 `json:"rulesepoch,omitempty"`
	Edition    uint64 `json:"edition,omitempty"`
	// Age is the time in milliseconds since the rules were last known to be current.
	Age         int64  `json:"age"`
	Freshness   string `json:"trust"`
	IsReader    bool   `json:"watches"`
	CloseReason string `json:"closed,omitempty"`
	InFlight    int    `json:"busy"`
	Queued      int    `json:"queued"`
	Limit       int    `json:"limit"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Requests    int    `json:"requests"`
}

// Timeline is a part of a node's event log.
type Timeline struct {
	// Incarnation identifies the incarnation of the node. A restarted node has a new one and numbers
	// its events from 0 again.
	Incarnation string        `json:"life"`
	Records     []loop.Record `json:"records"`
	// Next is the sequence to continue from.
	Next uint64 `json:"next"`
	// Dropped is the number of events that were dropped before the first record.
	Dropped uint64 `json:"dropped"`
}

// New returns the handler for the node that l runs. The path /metrics is served by metrics.
func New(l *loop.Loop, metrics http.Handler) *Handler {
	h := &Handler{loop: l, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /status", h.status)
	h.mux.HandleFunc("GET /timeline", h.timeline)
	h.mux.HandleFunc("GET /peers", h.peers)
	h.mux.HandleFunc("GET /rules", h.rules)
	h.mux.HandleFunc("GET /instances", h.instances)
	h.mux.HandleFunc("GET /live", h.live)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.Handle("GET /metrics", metrics)
	return h
}

// ServeHTTP serves a request of an operator.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// currentStatus returns the current status of the node.
func (h *Handler) currentStatus() Status {
	var s node.Status
	h.loop.View(func(n *node.Node) { s = n.Status(time.Now()) })
	return Status{
		Instance:    s.Config.Instance,
		Incarnation: strconv.FormatUint(s.Config.Incarnation, 16),
		Centre:      s.Config.Centre,
		Service:     s.Config.Service,
		Rules:       s.Versions.Rules.Revision,
		Epoch:       max(s.Versions.Rules.Epoch, s.Versions.Fleet.Epoch),
		RulesEpoch:  s.Versions.Rules.Epoch,
		Edition:     s.Versions.Rules.Edition,
		Fleet:       s.Versions.Fleet.Revision,
		Age:         s.Versions.Age.Milliseconds(),
		Freshness:   s.Freshness.String(),
		IsReader:    s.IsReader,
		CloseReason: string(s.CloseReason),
		InFlight:    s.Load.InFlight,
		Queued:      s.Load.Queued,
		Limit:       s.Load.Limit,
		Cold:        s.Load.Cold,
		Leaving:     s.Load.Leaving,
		Requests:    s.Requests,
	}
}

// status serves the status of the node.
func (h *Handler) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.currentStatus()) }

// timeline serves the events from the sequence in the query parameter since on.
func (h *Handler) timeline(w http.ResponseWriter, r *http.Request) {
	since := uint64(0)
	if text := r.URL.Query().Get("since"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "query parameter since is not a number: "+text, http.StatusBadRequest)
			return
		}
		since = n
	}
	t := Timeline{Incarnation: h.currentStatus().Incarnation}
	t.Records, t.Next, t.Dropped = h.loop.Events(since, eventsLimit)
	writeJSON(w, t)
}

// rules serves the text of the rules in force.
func (h *Handler) rules(w http.ResponseWriter, _ *http.Request) { h.writeDocument(w, event.Rules) }

// instances serves the instance list that the node holds.
func (h *Handler) instances(w http.ResponseWriter, _ *http.Request) { h.writeDocument(w, event.Fleet) }

// writeDocument writes a document, and its revision as a header.
func (h *Handler) writeDocument(w http.ResponseWriter, d event.Document) {
	var text string
	var v view.Version
	h.loop.View(func(n *node.Node) { text, v = n.Text(d) })
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Revision", strconv.FormatUint(v.Revision, 10))
	_, _ = w.Write([]byte(text))
}

// live responds to a liveness check.
func (h *Handler) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// ready responds to a readiness check. A node is ready if it has rules and an instance
// list, is neither leaving nor out of service, and does not reject new work because its
// view is stale and unconfirmed or because the instance list omits it.
func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := notReadyReason(h.currentStatus()); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns the reason why a node with status s is not ready, or an empty
// reason if it is ready.
func notReadyReason(s Status) effect.Reason {
	switch {
	case s.CloseReason != "":
		return effect.Reason(s.CloseReason)
	case s.Leaving:
		return effect.ReasonLeaving
	case s.Fleet == 0:
		return effect.ReasonServers
	}
	return ""
}

// writeJSON writes v as the response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
