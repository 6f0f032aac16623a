package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/node"
)

// gauges are the metrics of the state of a node.
type gauges struct {
	rules    tally.Gauge
	age      tally.Gauge
	busy     tally.Gauge
	queued   tally.Gauge
	limit    tally.Gauge
	cold     tally.Gauge
	closed   tally.Gauge
	requests tally.Gauge
	fleet    tally.Gauge
	fleetAge tally.Gauge
	slow     tally.Gauge
	reads    tally.Gauge
	lost     tally.Gauge
	left     tally.Gauge
}

// newGauges returns the gauges of a scope.
func newGauges(s tally.Scope) gauges {
	return gauges{
		rules:    s.Gauge("rules_revision"),
		age:      s.Gauge("rules_age"),
		busy:     s.Gauge("server_busy"),
		queued:   s.Gauge("server_queued"),
		limit:    s.Gauge("server_limit"),
		cold:     s.Gauge("server_cold"),
		closed:   s.Gauge("closed"),
		requests: s.Gauge("requests_open"),
		fleet:    s.Gauge("fleet_revision"),
		fleetAge: s.Gauge("fleet_age"),
		slow:     s.Gauge("server_slow"),
		reads:    s.Gauge("platform_reader"),
		lost:     s.Gauge("log_lost"),
		left:     s.Gauge("log_left"),
	}
}

// update sets the gauges to the given state.
func (g gauges) update(s node.Status) {
	g.rules.Update(float64(s.Versions.Rules.Revision))
	g.age.Update(s.Versions.Age.Seconds())
	g.busy.Update(float64(s.Load.InFlight))
	g.queued.Update(float64(s.Load.Queued))
	g.limit.Update(float64(s.Load.Limit))
	g.cold.Update(truth(s.Load.Cold))
	g.closed.Update(truth(s.Closed != "" || s.Load.Leaving))
	g.requests.Update(float64(s.Requests))
	g.fleet.Update(float64(s.Versions.Fleet.Revision))
	g.fleetAge.Update(s.Versions.FleetAge.Seconds())
	g.slow.Update(float64(s.Load.Slow) / percent)
	g.reads.Update(truth(s.Watches))
}

// percent is the slowness of a backend server that works as usual.
const percent = 100

// truth returns 1 for true and 0 for false.
func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// measure updates the gauges at each report of the metrics until the node has ended.
func (d *Daemon) measure(g gauges) {
	t := time.NewTicker(reportTime)
	defer t.Stop()
	for {
		var s node.Status
		d.loop.View(func(n *node.Node) { s = n.Status(time.Now()) })
		g.update(s)
		if book, ok := d.diary.(interface{ Dropped() (lost, left uint64) }); ok {
			lost, left := book.Dropped()
			g.lost.Update(float64(lost))
			g.left.Update(float64(left))
		}
		select {
		case <-t.C:
		case <-d.ended:
			return
		}
	}
}
