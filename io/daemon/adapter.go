package daemon

import (
	"net/http"

	"bulrushlock/io/conf"
	"bulrushlock/io/health"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/proto"
	"bulrushlock/io/sock"
)

// Adapter connects a node to the platform, to callers and to the backend server.
type Adapter struct {
	// Reader reads the rules and the instance list from the platform.
	Reader plat.Reader
	// HealthChecker checks the health of the backend server.
	HealthChecker health.Checker
	// Dialect reads and writes the headers of callers and of the backend server.
	Dialect proto.Dialect
	// Ready returns the handler for the platform's readiness checks. If Ready is nil, a
	// handler is used that responds with status 200 or 503.
	Ready func(ready func() bool) http.Handler
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithAdapter makes a node use a.
func WithAdapter(a Adapter) Option {
	return func(d *Daemon) {
		if a.Ready == nil {
			a.Ready = readyHandler
		}
		d.adapter = a
	}
}

// plainAdapter returns the adapter for bulrushlock's own dialect.
func plainAdapter(s *conf.Settings) Adapter {
	t := &http.Transport{DialContext: sock.NewDialer(serverDialTimeout).DialContext}
	return Adapter{
		Reader:        plat.NewHTTP(s.Platform, &http.Client{Transport: t}),
		HealthChecker: health.NewHTTP(s.Server, &http.Client{}),
		Dialect:       proto.Plain{},
		Ready:         readyHandler,
	}
}

// readyHandler responds with status 200 while the node is ready, and with 503 otherwise.
func readyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// WithDecisionLog makes a node log its decisions to l.
func WithDecisionLog(l loop.DecisionLog) Option { return func(d *Daemon) { d.decisionLog = l } }
