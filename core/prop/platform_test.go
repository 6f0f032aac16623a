package prop

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ticket"
)

// Limits that the published rules set.
const (
	slots           = 3
	coldSlots       = 1
	warmupRequests  = 6
	healthCheckRate = 2
	probeRate       = 5
	// readRate and readBurst bound the platform reads of one node; the rate is per
	// second.
	readRate  = 4
	readBurst = 8
)

const (
	// platformTimeout is the time after which a response of the platform is ignored.
	platformTimeout = 2 * time.Second
	// peerTimeout is the time after which a response of a peer is ignored.
	peerTimeout = 400 * time.Millisecond
)

// platformName identifies the platform as an end of a link.
const platformName = "platform"

// platform publishes one document.
type platform struct {
	publications map[uint64]publication
	newest       uint64
	// visible is the revision that readers get. It is older than newest while the
	// platform is stale.
	visible uint64
	down    bool
	// history lists the visible revisions in order of time.
	history []visiblePeriod
}

// visiblePeriod records the time from which revision was the newest valid one that is not
// above the visible revision.
type visiblePeriod struct {
	at       time.Time
	revision uint64
}

// setVisible makes revision the one that readers get.
func (p *platform) setVisible(at time.Time, revision uint64) {
	p.visible = revision
	for revision > 0 && !p.publications[revision].valid {
		revision--
	}
	p.history = append(p.history, visiblePeriod{at: at, revision: revision})
}

// wasNewest reports whether a reader of the platform could have learned at the time
// since, or later, that no newer valid revision exists.
func (p *platform) wasNewest(revision uint64, since time.Time) bool {
	for i, s := range p.history {
		last := i+1 == len(p.history) || !p.history[i+1].at.Before(since)
		if s.revision <= revision && last {
			return true
		}
	}
	return false
}

// publication is a published text with the meaning that its author intended.
type publication struct {
	content string
	valid   bool
	out     map[string]bool
	leaving map[string]bool
	// members are the processes that an instance list names.
	members []ticket.NodeID
	at      time.Time
}

// publish makes x the newest revision. A stale platform does not make it visible.
func (p *platform) publish(x publication) {
	p.newest++
	p.publications[p.newest] = x
	if p.visible+1 == p.newest {
		p.setVisible(x.at, p.newest)
	}
}

// read returns the document that a reader gets.
func (p *platform) read() (content string, revision uint64, ok bool) {
	return p.publications[p.visible].content, p.visible, !p.down && p.visible > 0
}

// platformOf returns the platform that publishes d.
func (sm *simulation) platformOf(d event.Document) *platform {
	if d == event.Fleet {
		return &sm.fleet
	}
	return &sm.rules
}

// publishRules publishes rules that take the given data centres out of service.
func (sm *simulation) publishRules(out []string) {
	var b strings.Builder
	fmt.Fprintf(&b, "budget look=%d probe=%d retry=20%% hedge=10%% # Asha: test\n", healthCheckRate, probeRate)
	for _, s := range []string{"ledger", "export"} {
		fmt.Fprintf(&b, "service %s slots=%d cold=%d warm=%d shed=yes queue=20ms # Asha: test\n", s, slots, coldSlots, warmupRequests)
		fmt.Fprintf(&b, "route GET /%s service=%s idempotent=yes # Asha: test\n", s, s)
		fmt.Fprintf(&b, "route POST /%s service=%s idempotent=no # Asha: test\n", s, s)
	}
	x := publication{valid: true, out: map[string]bool{}, at: sm.now}
	for _, c := range out {
		fmt.Fprintf(&b, "out centre=%s # Asha: test\n", c)
		x.out[c] = true
	}
	fmt.Fprintf(&b, "# revision %d\n", sm.rules.newest+1)
	x.content = b.String()
	sm.rules.publish(x)
}

// publishInvalid publishes a text that does not parse as rules.
func (sm *simulation) publishInvalid() {
	sm.rules.publish(publication{content: fmt.Sprintf("out centre=north %d", sm.rules.newest), at: sm.now})
}

// publishFleet publishes a list of the live instances and marks the given ones as
// leaving.
func (sm *simulation) publishFleet(leaving []string) {
	x := publication{valid: true, leaving: map[string]bool{}, at: sm.now}
	var instances []fleet.Instance
	for _, p := range sm.processes {
		if !p.alive {
			continue
		}
		i := p.instance
		i.Leaving = slices.Contains(leaving, i.Name)
		x.leaving[i.Name] = i.Leaving
		instances = append(instances, i)
		x.members = append(x.members, p.node)
	}
	content, err := fleet.Format(instances)
	if err != nil {
		sm.t.Fatal(err)
	}
	x.content = content
	sm.fleet.publish(x)
}
