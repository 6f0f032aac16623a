package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/report"
)

// Each decision log line contains the inputs of the decision.
func TestDecisionLogFields(t *testing.T) {
	room := report.Load{Limit: 7, Slow: 100}
	full := report.Load{Limit: 7, Slow: 100, InFlight: 7, Wait: time.Second}
	tests := []struct {
		name string
		kind effect.DecisionKind
		load report.Load
		// ended is the result of the attempt, if one is sent.
		ended        *event.AttemptEnded
		disconnected bool
		keys         []string
	}{
		{name: "placed", kind: effect.DecisionSelected, load: room, keys: []string{"guard", "service", "why", "aim_us", "left_us", "seen"}},
		{name: "done", kind: effect.DecisionDone, load: room, ended: &event.AttemptEnded{Verdict: event.Ran, Status: 200}, keys: []string{"guard", "status", "attempts", "total_us", "waited_us"}},
		{name: "broken", kind: effect.DecisionBroken, load: room, ended: &event.AttemptEnded{Verdict: event.Broken}, keys: []string{"guard", "verdict", "status", "spent_us"}},
		{name: "gone", kind: effect.DecisionDisconnected, load: room, disconnected: true, keys: []string{"attempts", "total_us"}},
		{name: "rejected", kind: effect.DecisionFailed, load: full, keys: []string{"outcome", "reason", "attempts", "takes_us", "aim_us", "retry_us", "seen"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			n := newProbingEntry(c)
			at := learnServiceTime(c, n)
			r := getRequest(1, "/lines", at, 3*time.Second)
			s := findEffect[effect.ProbeCandidates](c, n.Request(r, nil))
			out := n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, s.Peers, tt.load)}, nil)
			if hasEffect[effect.ProbeCandidates](out) {
				out = n.CandidatesProbed(event.CandidatesProbed{At: at, ID: 1, Loads: reportLoads(at, findEffect[effect.ProbeCandidates](c, out).Peers, tt.load)}, out)
			}
			if tt.ended != nil {
				e := *tt.ended
				e.At, e.ID, e.Ticket = at, 1, findEffect[effect.Forward](c, out).Ticket
				out = n.AttemptEnded(e, out)
			}
			if tt.disconnected {
				out = n.RequestEnded(event.RequestEnded{At: at, ID: 1}, out)
			}
			for _, o := range out {
				d, ok := o.(effect.Decision)
				if !ok || d.Kind != tt.kind {
					continue
				}
				names := map[string]bool{"seen": len(d.CandidateLoads) > 0}
				for _, f := range d.Facts {
					names[f.Key] = true
				}
				for _, k := range tt.keys {
					c.Check(names[k], qt.IsTrue, qt.Commentf("%s lacks %s: %v", d.Kind, k, d.Facts))
				}
				return
			}
			c.Fatalf("no %s decision", tt.kind)
		})
	}
}
