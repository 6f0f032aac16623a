package entry

import (
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/core/pick"
)

// State is what an entry knows of one backend server.
type State struct {
	Instance fleet.Instance
	// Known is what the policy sees of the backend server.
	Known pick.Candidate
	// Out tells that the rules take the instance out of service.
	Out bool
	// Leaving tells that the guard has said lately that it takes no new work.
	Leaving bool
}

// States returns what the entry knows of each backend server of a service, also
// of those that get no work, in the order of the list of instances.
func (n *Entry) States(now time.Time, service string) []State {
	var states []State
	for _, p := range n.order {
		if p.instance.Service != service {
			continue
		}
		states = append(states, State{
			Instance: p.instance,
			Known:    p.candidate(n.identity.Node, n.identity.Centre),
			Out:      n.set.IsOut(p.instance.Name, p.instance.Centre),
			Leaving:  p.isLeaving(now),
		})
	}
	return states
}
