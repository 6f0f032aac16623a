package gossip_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/event"
	"bulrushlock/core/gossip"
)

// TestPeerVersionsAfterPause checks that peer versions do not end the check after a pause if
// they may predate the pause.
func TestPeerVersionsAfterPause(t *testing.T) {
	for _, test := range []struct {
		name    string
		queried bool
		age     time.Duration
		want    gossip.Freshness
	}{
		{"unsolicited, may predate the pause", false, 0, gossip.Checking},
		{"requested, confirmed before the pause", true, 10 * time.Second, gossip.Checking},
		{"requested, confirmed recently", true, time.Second, gossip.Fresh},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := newGossip(c, "a", instances)
			resumedAt := startTime.Add(time.Minute)
			g.Tick(event.Tick{At: resumedAt}, true, nil)
			e := event.VersionsReceived{At: resumedAt, Peer: "b", Versions: g.Versions(resumedAt)}
			e.Versions.Age = test.age
			if test.queried {
				e.QueriedAt = resumedAt
			}
			g.VersionsReceived(e, nil)
			c.Assert(g.Freshness(), qt.Equals, test.want)
		})
	}
}
