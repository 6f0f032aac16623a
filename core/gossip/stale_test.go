package gossip_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/gossip"
)

// An operator must see whether a version that a node acts on came from a read that may be stale.
func TestVersionFromStaleReadIsLoggedAsSuch(t *testing.T) {
	for _, test := range []struct {
		stale bool
		want  string
	}{
		{false, "revision 3 from the platform"},
		{true, "revision 3 from the platform, may be stale"},
	} {
		g := gossip.New("a", "north")
		_, out := g.DocumentRead(event.DocumentRead{At: startTime, Document: event.Rules, Revision: 3, Text: ruleText, MayBeStale: test.stale}, 0, nil)
		qt.Check(t, out[0], qt.Equals, effect.Effect(effect.LogEvent{Kind: effect.KindRules, Text: test.want}))
	}
}
