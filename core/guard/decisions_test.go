package guard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
)

// Each decision of a guard must carry the inputs that it was based on.
func TestDecisionsCarryTheirInputs(t *testing.T) {
	inputs := []string{"busy", "foreign", "bound", "waiting", "slow", "takes_us", "aim_us", "left_us", "age_us"}
	tests := []struct {
		name  string
		kind  effect.DecisionKind
		slow  int
		sent  int
		steps int
		keys  []string
	}{
		{name: "admitted at once", kind: effect.DecisionAdmitted, slow: 100, sent: 1, keys: append(inputs, "waited_us")},
		{name: "rejected at full load", kind: effect.DecisionRejected, slow: 100, sent: 40, keys: append(inputs, "reason")},
		{name: "queued in a slow period, then admitted", kind: effect.DecisionAdmitted, slow: 400, sent: 1, steps: 250, keys: append(inputs, "waited_us")},
		{name: "rejected in a slow period", kind: effect.DecisionRejected, slow: 400, sent: 40, keys: append(inputs, "reason", "spell_us")},
		{name: "served", kind: effect.DecisionServed, slow: 100, sent: 1, steps: 300, keys: []string{"failure", "status", "spent_us"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := newSimulation(c)
			slow := tt.slow
			r.slow = func(time.Time) int { return slow }
			r.checkHealth(0)
			for range tt.sent {
				r.send(simulationTarget, 0, 3)
			}
			slow = 100
			for range tt.steps {
				r.step()
			}
			for _, d := range r.decisions {
				if d.Kind != tt.kind {
					continue
				}
				logged := make(map[string]bool)
				for _, f := range d.Facts {
					logged[f.Key] = true
				}
				for _, k := range tt.keys {
					c.Check(logged[k], qt.IsTrue, qt.Commentf("%s lacks %s", d.Kind, k))
				}
				return
			}
			c.Fatalf("no %s decision", tt.kind)
		})
	}
}
