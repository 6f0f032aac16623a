package daemon

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/report"
	"bulrushlock/core/view"
)

func TestGauges(t *testing.T) {
	c := qt.New(t)
	scope := tally.NewTestScope("", nil)
	newGauges(scope).update(node.Status{
		Versions:    event.Versions{Rules: view.Version{Epoch: 1, Revision: 3}, Fleet: view.Version{Epoch: 2, Revision: 4}, Age: 1500 * time.Millisecond, FleetAge: time.Second},
		Load:        report.Load{InFlight: 4, Queued: 1, Limit: 10, Slow: 250, Cold: true, RateLimit: 3.3},
		IsReader:    true,
		CloseReason: effect.ReasonOutOfService,
		Requests:    5,
	})
	got := make(map[string]float64)
	for _, g := range scope.Snapshot().Gauges() {
		got[g.Name()] = g.Value()
	}
	c.Check(got, qt.DeepEquals, map[string]float64{
		"rules_revision":  3,
		"rules_age":       1.5,
		"server_busy":     4,
		"server_queued":   1,
		"server_limit":    10,
		"server_cold":     1,
		"closed":          1,
		"requests_open":   5,
		"fleet_revision":  4,
		"fleet_age":       1,
		"server_slow":     2.5,
		"server_quota":    3.3,
		"platform_epoch":  2,
		"platform_reader": 1,
		"log_lost":        0,
		"log_left":        0,
		"clients_held":    0,
		"clients_open":    0,
	})
}
