package proof

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/ticket"
)

// The limits that the rules of these tests set.
const (
	slots     = 3
	cold      = 1
	warm      = 6
	lookRate  = 2
	probeRate = 5
	// readRate and readBurst bound the reads of the platform by one node.
	readRate  = 4
	readBurst = 8
)

const (
	// readTime is the time after which the answer of the platform counts as none.
	readTime = 2 * time.Second
	// callTime is the time after which the answer of a peer counts as none.
	callTime = 400 * time.Millisecond
)

// platformName stands for the platform at the end of a link.
const platformName = "platform"

// platform publishes one document.
type platform struct {
	texts  map[uint64]text
	newest uint64
	// shown is the revision that readers get; it is older while the platform is stale.
	shown uint64
	down  bool
	// log lists which revision was shown from which time on.
	log []showing
}

// showing is a time from which on a platform showed a revision, or an invalid one after it.
type showing struct {
	at       time.Time
	revision uint64
}

// show makes a revision the one that readers get.
func (p *platform) show(at time.Time, revision uint64) {
	p.shown = revision
	for revision > 0 && !p.texts[revision].valid {
		revision--
	}
	p.log = append(p.log, showing{at: at, revision: revision})
}

// wasNewest reports whether a reader of the platform could have learned at the
// given time or later that nothing is newer than the revision.
func (p *platform) wasNewest(revision uint64, since time.Time) bool {
	for i, s := range p.log {
		last := i+1 == len(p.log) || !p.log[i+1].at.Before(since)
		if s.revision <= revision && last {
			return true
		}
	}
	return false
}

// text is a published text and what it says, as its author meant it.
type text struct {
	text    string
	valid   bool
	out     map[string]bool
	leaving map[string]bool
	// members are the processes that a list names.
	members []ticket.Node
	at      time.Time
}

// publish makes x the newest text. A stale platform does not show it yet.
func (p *platform) publish(x text) {
	p.newest++
	p.texts[p.newest] = x
	if p.shown+1 == p.newest {
		p.show(x.at, p.newest)
	}
}

// read returns what a reader gets.
func (p *platform) read() (content string, revision uint64, ok bool) {
	return p.texts[p.shown].text, p.shown, !p.down && p.shown > 0
}

// document returns the platform of a document.
func (w *world) document(d event.Document) *platform {
	if d == event.Fleet {
		return &w.fleet
	}
	return &w.rules
}

// publishRules publishes rules that take data centres out.
func (w *world) publishRules(out []string) {
	var b strings.Builder
	fmt.Fprintf(&b, "budget look=%d probe=%d retry=20%% hedge=10%% # Asha: test\n", lookRate, probeRate)
	for _, s := range []string{"ledger", "export"} {
		fmt.Fprintf(&b, "service %s slots=%d cold=%d warm=%d shed=yes queue=20ms # Asha: test\n", s, slots, cold, warm)
		fmt.Fprintf(&b, "route GET /%s service=%s idempotent=yes # Asha: test\n", s, s)
		fmt.Fprintf(&b, "route POST /%s service=%s idempotent=no # Asha: test\n", s, s)
	}
	x := text{valid: true, out: map[string]bool{}, at: w.now}
	for _, c := range out {
		fmt.Fprintf(&b, "out centre=%s # Asha: test\n", c)
		x.out[c] = true
	}
	fmt.Fprintf(&b, "# revision %d\n", w.rules.newest+1)
	x.text = b.String()
	w.rules.publish(x)
}

// publishInvalid publishes a text that is no set of rules.
func (w *world) publishInvalid() {
	w.rules.publish(text{text: fmt.Sprintf("out centre=north %d", w.rules.newest), at: w.now})
}

// publishFleet publishes the list of the living, of which some are leaving.
func (w *world) publishFleet(leaving []string) {
	x := text{valid: true, leaving: map[string]bool{}, at: w.now}
	var instances []fleet.Instance
	for _, p := range w.processes {
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
		w.t.Fatal(err)
	}
	x.text = content
	w.fleet.publish(x)
}
