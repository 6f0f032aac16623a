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
}

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
		select {
		case <-t.C:
		case <-d.ended:
			return
		}
	}
}
