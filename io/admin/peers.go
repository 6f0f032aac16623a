package admin

import (
	"net/http"
	"time"

	"bulrushlock/core/entry"
	"bulrushlock/core/node"
)

// States of a backend server.
const (
	// PeerReady is a backend server that may be selected.
	PeerReady = "ready"
	// PeerOutOfService is a backend server that the rules take out of service.
	PeerOutOfService = "out"
	// PeerLeaving is a backend server that is leaving.
	PeerLeaving = "leaving"
)

// Peers are the backend servers of a service as the entry of a node sees them.
type Peers struct {
	// Instance is the instance of the node that responds.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Peers    []Peer `json:"peers"`
}

// Peer is what the entry of a node knows about one backend server. The load numbers are as
// old as the last load report of its guard.
type Peer struct {
	Instance string `json:"instance"`
	Centre   string `json:"centre"`
	State    string `json:"state"`
	// SameCentre reports whether the backend server is in the data centre of the node.
	SameCentre   bool `json:"near"`
	SameInstance bool `json:"beside"`
	InFlight     int  `json:"busy"`
	Queued       int  `json:"queued"`
	Limit        int  `json:"limit"`
	Cold         bool `json:"cold"`
	// Outstanding is the number of this node's requests that await a response.
	Outstanding int `json:"outstanding"`
	// Failures is the number of rejections and failures since the last good response.
	Failures int `json:"failures"`
	// Age is the age of the load report in milliseconds, or -1 if there is none.
	Age int64 `json:"age"`
	// Latency is the recent latency of good responses in microseconds.
	Latency int64 `json:"latency"`
}

// peers serves the backend servers of the service in the query parameter service.
func (h *Handler) peers(w http.ResponseWriter, r *http.Request) {
	p := Peers{Service: r.URL.Query().Get("service"), Peers: []Peer{}}
	now := time.Now()
	var states []entry.State
	h.loop.View(func(n *node.Node) {
		p.Instance = n.Status(now).Config.Instance
		states = n.Peers(now, p.Service)
	})
	for _, s := range states {
		p.Peers = append(p.Peers, peerOf(now, s))
	}
	writeJSON(w, p)
}

// peerOf converts s to a Peer.
func peerOf(now time.Time, s entry.State) Peer {
	p := Peer{
		Instance:     s.Instance.Name,
		Centre:       s.Instance.Centre,
		State:        PeerReady,
		SameCentre:   s.Candidate.SameCentre,
		SameInstance: s.Candidate.SameInstance,
		InFlight:     s.Candidate.InFlight,
		Queued:       s.Candidate.Queued,
		Limit:        s.Candidate.Limit,
		Cold:         s.Candidate.Cold,
		Outstanding:  s.Candidate.Outstanding,
		Failures:     s.Candidate.Failures,
		Age:          -1,
		Latency:      s.Candidate.Latency.Microseconds(),
	}
	if !s.Candidate.ReportedAt.IsZero() {
		p.Age = now.Sub(s.Candidate.ReportedAt).Milliseconds()
	}
	switch {
	case s.OutOfService:
		p.State = PeerOutOfService
	case s.Leaving, s.Instance.Leaving:
		p.State = PeerLeaving
	}
	return p
}
