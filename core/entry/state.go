package entry

import (
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
)

// State is the view that an entry has of one backend server.
type State struct {
	Instance fleet.Instance
	// Candidate is the input of the selection policy for the backend server.
	Candidate pick.Candidate
	// OutOfService is set if the rules take the instance out of service.
	OutOfService bool
	// Leaving is set if the guard has recently reported that it accepts no new work.
	Leaving bool
}

// States returns the state of each backend server of a service in the order of the
// instance list, including those that get no work.
func (n *Entry) States(now time.Time, service string) []State {
	var states []State
	for _, p := range n.peerOrder {
		if p.instance.Service != service {
			continue
		}
		states = append(states, State{
			Instance:     p.instance,
			Candidate:    p.candidate(n.config.Node, n.config.Centre),
			OutOfService: n.rules.IsOutOfService(p.instance.Name, p.instance.Centre),
			Leaving:      p.isLeaving(now),
		})
	}
	return states
}
