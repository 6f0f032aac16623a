package oper

import (
	"net/http"
	"time"

	"bulrushlock/core/entry"
	"bulrushlock/core/node"
)

// States of a backend server for new work.
const (
	// PeerReady is a backend server that may be chosen.
	PeerReady = "ready"
	// PeerOut is a backend server that the rules take out of service.
	PeerOut = "out"
	// PeerLeaving is a backend server that is leaving.
	PeerLeaving = "leaving"
)

// Peers are the backend servers of a service as the entry of a node knows them.
type Peers struct {
	// Instance is the instance of the node that was asked.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Peers    []Peer `json:"peers"`
}

// Peer is what the entry of a node knows of one backend server. The numbers are
// as old as the last report of its guard.
type Peer struct {
	Instance string `json:"instance"`
	Centre   string `json:"centre"`
	State    string `json:"state"`
	// Near tells that the backend server is in the data centre of the node.
	Near   bool `json:"near"`
	Beside bool `json:"beside"`
	Busy   int  `json:"busy"`
	Queued int  `json:"queued"`
	Limit  int  `json:"limit"`
	Cold   bool `json:"cold"`
	// Outstanding is the number of requests of this node that are not yet answered.
	Outstanding int `json:"outstanding"`
	// Failures is the number of refusals and failures since the last good answer.
	Failures int `json:"failures"`
	// Age is the age of the report in milliseconds, or -1 while there is none.
	Age int64 `json:"age"`
	// Latency is the recent latency of good answers in microseconds.
	Latency int64 `json:"latency"`
}

// peers writes what the entry knows of the backend servers of the service that the query names.
func (o *Oper) peers(w http.ResponseWriter, r *http.Request) {
	p := Peers{Service: r.URL.Query().Get("service"), Peers: []Peer{}}
	now := time.Now()
	var states []entry.State
	o.loop.View(func(n *node.Node) {
		p.Instance = n.Status(now).Identity.Instance
		states = n.Peers(now, p.Service)
	})
	for _, s := range states {
		p.Peers = append(p.Peers, peerOf(now, s))
	}
	writeJSON(w, p)
}

// peerOf returns the form of s that operators read.
func peerOf(now time.Time, s entry.State) Peer {
	p := Peer{
		Instance:    s.Instance.Name,
		Centre:      s.Instance.Centre,
		State:       PeerReady,
		Near:        s.Known.Near,
		Beside:      s.Known.Beside,
		Busy:        s.Known.InFlight,
		Queued:      s.Known.Queued,
		Limit:       s.Known.Limit,
		Cold:        s.Known.Cold,
		Outstanding: s.Known.Outstanding,
		Failures:    s.Known.Failures,
		Age:         -1,
		Latency:     s.Known.Latency.Microseconds(),
	}
	if !s.Known.Reported.IsZero() {
		p.Age = now.Sub(s.Known.Reported).Milliseconds()
	}
	switch {
	case s.Out:
		p.State = PeerOut
	case s.Leaving, s.Instance.Leaving:
		p.State = PeerLeaving
	}
	return p
}
