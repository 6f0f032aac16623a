package daemon

import (
	"net/http"
	"time"

	"bulrushlock/io/conf"
	"bulrushlock/io/health"
	"bulrushlock/io/loop"
	"bulrushlock/io/plat"
	"bulrushlock/io/pool"
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

const (
	// maxIdleConns is the largest number of idle connections to the platform, and also to
	// the health endpoint of the backend server.
	maxIdleConns = 2
	// idleConnTimeout is the time after which an idle connection to either is closed.
	idleConnTimeout = 8 * time.Second
)

// plainAdapter returns the adapter for bulrushlock's own dialect.
func plainAdapter(s *conf.Settings) Adapter {
	t := pool.New(sock.NewDialer(serverDialTimeout), pool.Options{MaxIdle: maxIdleConns, IdleTimeout: idleConnTimeout})
	c := &http.Client{Transport: t}
	return Adapter{
		Reader:        plat.NewHTTP(s.Platform, c),
		HealthChecker: health.NewHTTP(s.Server, c),
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
