package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/node"
)

// gauges are the metrics that show the state of a node.
type gauges struct {
	rulesRevision  tally.Gauge
	platformEpoch  tally.Gauge
	rulesAge       tally.Gauge
	busy           tally.Gauge
	queued         tally.Gauge
	limit          tally.Gauge
	cold           tally.Gauge
	closed         tally.Gauge
	requests       tally.Gauge
	fleetRevision  tally.Gauge
	fleetAge       tally.Gauge
	slow           tally.Gauge
	quota          tally.Gauge
	platformReader tally.Gauge
	linesLost      tally.Gauge
	linesSkipped   tally.Gauge
	clientBytes    tally.Gauge
	clients        tally.Gauge
}

// newGauges creates the gauges in a scope.
func newGauges(s tally.Scope) gauges {
	return gauges{
		rulesRevision:  s.Gauge("rules_revision"),
		platformEpoch:  s.Gauge("platform_epoch"),
		rulesAge:       s.Gauge("rules_age"),
		busy:           s.Gauge("server_busy"),
		queued:         s.Gauge("server_queued"),
		limit:          s.Gauge("server_limit"),
		cold:           s.Gauge("server_cold"),
		closed:         s.Gauge("closed"),
		requests:       s.Gauge("requests_open"),
		fleetRevision:  s.Gauge("fleet_revision"),
		fleetAge:       s.Gauge("fleet_age"),
		slow:           s.Gauge("server_slow"),
		quota:          s.Gauge("server_quota"),
		platformReader: s.Gauge("platform_reader"),
		linesLost:      s.Gauge("log_lost"),
		linesSkipped:   s.Gauge("log_left"),
		clientBytes:    s.Gauge("clients_held"),
		clients:        s.Gauge("clients_open"),
	}
}

// update sets the gauges from s.
func (g gauges) update(s node.Status) {
	g.rulesRevision.Update(float64(s.Versions.Rules.Revision))
	g.platformEpoch.Update(float64(max(s.Versions.Rules.Epoch, s.Versions.Fleet.Epoch)))
	g.rulesAge.Update(s.Versions.Age.Seconds())
	g.busy.Update(float64(s.Load.InFlight))
	g.queued.Update(float64(s.Load.Queued))
	g.limit.Update(float64(s.Load.Limit))
	g.cold.Update(boolToFloat(s.Load.Cold))
	g.closed.Update(boolToFloat(s.CloseReason != "" || s.Load.Leaving))
	g.requests.Update(float64(s.Requests))
	g.fleetRevision.Update(float64(s.Versions.Fleet.Revision))
	g.fleetAge.Update(s.Versions.FleetAge.Seconds())
	g.slow.Update(float64(s.Load.Slow) / percent)
	g.quota.Update(s.Load.RateLimit)
	g.platformReader.Update(boolToFloat(s.IsReader))
}

// percent is the slowness, in percent, of a backend server that runs at its typical
// speed.
const percent = 100

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// updateGauges updates the gauges at each report interval until the node has stopped.
func (d *Daemon) updateGauges(g gauges) {
	defer d.loop.Recover("gauges")
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		var s node.Status
		d.loop.View(func(n *node.Node) { s = n.Status(time.Now()) })
		g.update(s)
		held, open := d.intake.Usage()
		g.clientBytes.Update(float64(held))
		g.clients.Update(float64(open))
		if counter, ok := d.decisionLog.(interface{ Dropped() (lost, left uint64) }); ok {
			lost, left := counter.Dropped()
			g.linesLost.Update(float64(lost))
			g.linesSkipped.Update(float64(left))
		}
		select {
		case <-t.C:
		case <-d.ended:
			return
		}
	}
}
