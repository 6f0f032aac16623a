// Package daemon assembles and runs a node: its reducer, its listeners and its
// connections to other nodes, to the platform and to the backend server.
//
// # Usage
//
//	d, err := daemon.New(settings, logger)
//	if err != nil {
//		return err // a *daemon.ListenError
//	}
//	<-ctx.Done() // for example on SIGTERM
//	d.Drain()
//	d.Wait()
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/shaper"
	"bulrushlock/core/ticket"
	"bulrushlock/io/admin"
	"bulrushlock/io/conf"
	"bulrushlock/io/dgram"
	"bulrushlock/io/egress"
	"bulrushlock/io/front"
	"bulrushlock/io/gate"
	"bulrushlock/io/intake"
	"bulrushlock/io/loop"
	"bulrushlock/io/meter"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
	"bulrushlock/io/remote"
	"bulrushlock/io/runner"
	"bulrushlock/io/sock"
	"bulrushlock/io/wire"
)

const (
	// reportInterval is the time between two reports of the metrics.
	reportInterval = time.Second
	// headerTimeout limits the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderSize is the size in bytes of the largest header of a request. Each line
	// takes several times its size in memory once it is parsed.
	maxHeaderSize = 32 << 10
	// acceptTime is the time that a leaving node waits for connections which are being opened
	// when it stops taking new ones. It covers a few round trips to callers. The node waits
	// again while some are not accepted, at most for maxAcceptTime.
	acceptTime    = 100 * time.Millisecond
	maxAcceptTime = 2 * time.Second
	// megabit converts megabits to bits, and megabyte megabytes to bytes.
	megabit  = 1e6
	megabyte = 1 << 20
	// idleTimeout is the time after which an idle connection to one of the HTTP
	// listeners is closed.
	idleTimeout = 2 * time.Minute
	// serverDialTimeout limits the time to connect to the backend server.
	serverDialTimeout = time.Second
	// nodeDialTimeout limits the time to connect to another node.
	nodeDialTimeout = 500 * time.Millisecond
	// serverIdleTimeout is the time after which an idle connection to the backend server
	// is closed.
	serverIdleTimeout = 30 * time.Second
	// platformDeadlineOverrun is the time for which a non-idempotent request may continue
	// to run past its deadline in the platform's dialect. It is short because callers
	// cannot query the late response.
	platformDeadlineOverrun = 250 * time.Millisecond
	// maxIdleServerConns is the largest number of idle connections to the backend
	// server.
	maxIdleServerConns = 128
)

// Daemon is a running node.
type Daemon struct {
	settings    *conf.Settings
	adapter     Adapter
	decisionLog loop.DecisionLog
	logger      *slog.Logger
	datagrams   *dgram.Transport
	loop        *loop.Loop
	background  *runner.Runner
	meter       *meter.Meter
	remote      *remote.Exchanger
	intake      *intake.Intake
	control     net.Listener
	servers     []*http.Server
	// requestListeners are the listeners for requests of callers and of other nodes.
	requestListeners []net.Listener
	metrics          interface{ Close() error }
	leaving          atomic.Bool
	drained          chan struct{}
	drainedOnce      sync.Once
	ended            chan struct{}
}

// ListenError is returned if a listener cannot be opened.
type ListenError struct {
	Key     string
	Address netip.AddrPort
	Cause   error
}

// Error returns a message with the settings key, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listener %s on %v: %v", e.Key, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listeners are the open listeners of a node.
type listeners struct {
	callers, nodes, control, operators net.Listener
	// ready is nil if the settings have no listener for readiness checks.
	ready net.Listener
	// datagrams is the UDP socket, at the same address as control.
	datagrams *net.UDPConn
}

// settings returns a copy of s with the actual addresses of the listeners, which differ
// from s where a port is 0.
func (l listeners) settings(s *conf.Settings) *conf.Settings {
	c := *s
	c.Callers = addressOf(l.callers)
	c.Nodes = addressOf(l.nodes)
	c.Control = addressOf(l.control)
	c.Operators = addressOf(l.operators)
	return &c
}

// addressOf returns the address of a TCP listener.
func addressOf(l net.Listener) netip.AddrPort {
	if a, ok := l.Addr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

// New starts a node. It fails with a *ListenError.
func New(s *conf.Settings, logger *slog.Logger, options ...Option) (*Daemon, error) {
	l, err := listen(s)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		adapter:  plainAdapter(s),
		settings: l.settings(s),
		logger:   logger.With("instance", s.Instance, "centre", s.Centre),
		control:  l.control,
		drained:  make(chan struct{}),
		ended:    make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.start(l)
	return d, nil
}

// listen opens the listeners of a node. On error it closes those that it has opened and
// returns a *ListenError.
func listen(s *conf.Settings) (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, o := range []struct {
		key     string
		address netip.AddrPort
		field   *net.Listener
	}{
		{"callers", s.Callers, &l.callers},
		{"nodes", s.Nodes, &l.nodes},
		{"control", s.Control, &l.control},
		{"operators", s.Operators, &l.operators},
		{"ready", s.ReadinessAddress, &l.ready},
	} {
		if !o.address.IsValid() {
			continue
		}
		listener, err := sock.Listen(o.address.String())
		if err != nil {
			closeAll(opened)
			return l, &ListenError{Key: o.key, Address: o.address, Cause: err}
		}
		*o.field = listener
		opened = append(opened, listener)
	}
	datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressOf(l.control)))
	if err != nil {
		closeAll(opened)
		return l, &ListenError{Key: "control", Address: s.Control, Cause: err}
	}
	l.datagrams = datagrams
	return l, nil
}

// closeAll closes all given listeners.
func closeAll(opened []net.Listener) {
	for _, l := range opened {
		_ = l.Close()
	}
}

// start creates the parts of the node and starts them.
func (d *Daemon) start(l listeners) {
	s := d.settings
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { d.logger.Error("metric", "error", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bulrushlock",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		OmitCardinalityMetrics: true,
	}, reportInterval)
	d.metrics = closer
	m := meter.New(scope, "control")
	d.meter = m
	self := ticket.NodeID{Instance: s.Instance, Incarnation: rand.Uint64()}
	d.background = runner.New(runner.Options{
		Platform:      d.adapter.Reader,
		HealthChecker: d.adapter.HealthChecker,
		Peers:         s.Peers,
		Broadcaster:   d,
		Lender:        d,
		Drained:       func() { d.drainedOnce.Do(func() { close(d.drained) }) },
	})
	n := node.New(node.Config{
		Instance:      s.Instance,
		Incarnation:   self.Incarnation,
		Centre:        s.Centre,
		Service:       s.Service,
		RejectStale:   s.Isolated == conf.IsolatedReject,
		DrainTime:     s.DrainTime,
		MaxStaleness:  s.MaxStaleness,
		ProbeCount:    s.ProbeCount,
		CrossPrice:    s.CrossPrice,
		RequireListed: s.Dialect == conf.DialectPlatform,

		MaxCredentialAge: s.MaxCredentialAge,
	}, pick.NewLoadAware())
	d.loop = loop.New(n, loop.Options{
		Instance:    s.Instance,
		Centre:      s.Centre,
		Logger:      d.logger,
		Scope:       scope,
		DecisionLog: d.decisionLog,
		Execute:     d.background.Do,
	})
	d.datagrams = dgram.New(d.loop, dgram.Options{Node: self, Conn: l.datagrams, Control: s.Control, Logger: d.logger})
	// The listeners themselves are needed to stop them.
	d.requestListeners = []net.Listener{l.callers, l.nodes}
	d.boundIntake(&l, scope)
	l.control = m.Listener(l.control)
	w := wire.New(d.loop, self, d.settings.Control, m.Dialer(sock.NewDialer(nodeDialTimeout)))
	d.serve(l, w, self, scope, reporter.HTTPHandler())
}

// serve starts serving requests on all listeners.
func (d *Daemon) serve(l listeners, w *wire.Endpoint, self ticket.NodeID, scope tally.Scope, metrics http.Handler) {
	d.remote = remote.New(d.loop, sock.NewDialer(nodeDialTimeout))
	dialect := d.adapter.Dialect
	isPlain := d.settings.Dialect != conf.DialectPlatform
	writer := egress.New(shaper.New(d.settings.LinkMegabits * megabit))
	g := gate.New(d.loop, gate.Options{
		Node:                 self,
		Server:               d.settings.Server,
		Transport:            d.serverTransport(),
		DeadlineOverrun:      d.deadlineOverrun(),
		Dialect:              dialect,
		AcceptCloseDelimited: !isPlain,
		Egress:               writer,
	})
	f := front.New(d.loop, front.Options{
		Local:       g,
		Remote:      d.remote,
		Querier:     w,
		Prober:      d.datagrams,
		Scope:       scope,
		Dialect:     dialect,
		Service:     d.settings.Service,
		HideTickets: !isPlain,
		HoldBytes:   int64(d.settings.HoldMegabytes) * megabyte,
		Egress:      writer,
	})
	d.background.Start(d.loop, w)
	go w.Serve(l.control)
	d.serveHTTP(l.callers, f)
	d.serveHTTP(l.nodes, g)
	d.serveHTTP(l.operators, admin.New(d.loop, metrics))
	if l.ready != nil {
		d.serveHTTP(l.ready, d.adapter.Ready(d.isReady))
	}
	go d.updateGauges(newGauges(scope))
	go d.shutdown()
}

// serveHTTP starts an HTTP server for h on l.
func (d *Daemon) serveHTTP(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           &recoverHandler{handler: &drainHandler{handler: h, leaving: &d.leaving, crowded: crowdedOf(l)}, report: d.loop.ReportPanic},
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),

		DisableGeneralOptionsHandler: true,
	}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("listener failed", "address", l.Addr().String(), "error", err)
		}
	}()
}

// crowdedOf returns a function that reports whether l has few connections left.
func crowdedOf(l net.Listener) func() bool {
	if b, ok := l.(*intake.Listener); ok {
		return b.Crowded
	}
	return func() bool { return false }
}

// serverTransport returns the transport to the backend server.
func (d *Daemon) serverTransport() *pool.Transport {
	matches := newMatcher(d.adapter.Dialect)
	return pool.New(sock.NewDialer(serverDialTimeout), pool.Options{
		MaxIdle:     maxIdleServerConns,
		IdleTimeout: serverIdleTimeout,
		ReportPanic: d.loop.ReportPanic,
		Match:       func(r *http.Request, a *http.Response) bool { return matches(r.Header, a.Header) },
		// A faulty backend server may send a refusal once more, which would then be taken for the
		// response to the next request.
		Reuse: func(a *http.Response) bool { return !proto.MayRefuse(d.adapter.Dialect, a) },
	})
}

// deadlineOverrun returns the time for which a non-idempotent request may continue to run
// past its deadline. It is shorter in the platform's dialect, in which callers have no
// tickets to query the response with.
func (d *Daemon) deadlineOverrun() time.Duration {
	if d.settings.Dialect == conf.DialectPlatform {
		return platformDeadlineOverrun
	}
	return gate.DefaultDeadlineOverrun
}

// isReady reports whether the node can serve callers.
func (d *Daemon) isReady() bool {
	ready := false
	d.loop.View(func(n *node.Node) { ready = n.Ready() })
	return ready
}

// BroadcastVersions sends the versions that this node holds to peers.
func (d *Daemon) BroadcastVersions(e effect.BroadcastVersions) { d.datagrams.BroadcastVersions(e) }

// AskTokens asks a peer for tokens of a customer's limit.
func (d *Daemon) AskTokens(e effect.AskTokens) { d.datagrams.AskTokens(e) }

// LendTokens responds to a peer that asked for tokens.
func (d *Daemon) LendTokens(e effect.LendTokens) { d.datagrams.LendTokens(e) }

// Settings returns the settings of the node. A port 0 is replaced by the port that the
// operating system selected.
func (d *Daemon) Settings() conf.Settings { return *d.settings }

// Reload applies the values of the keys ask, isolated and drain. All other keys take
// effect only after a restart; Reload logs those that have changed, except lines.
func (d *Daemon) Reload(s *conf.Settings) {
	for _, key := range s.ChangedRestartKeys(d.settings) {
		d.logger.Warn("changed setting takes effect only after a restart", "key", key)
	}
	d.loop.Process(event.SettingsChanged{At: time.Now(), ProbeCount: s.ProbeCount, RejectWhenStale: s.Isolated == conf.IsolatedReject, DrainTime: s.DrainTime})
}

// Versions returns the versions of the rules and the instance list that the node holds.
func (d *Daemon) Versions() event.Versions {
	_, v := d.loop.LoadReport()
	return v
}

// ControlTraffic returns the number of bytes of control traffic received and sent.
func (d *Daemon) ControlTraffic() (received, sent int64) { return d.meter.Total() }

// Drain makes the node drain: it rejects new requests, finishes those in flight, and
// stops. Drain does not wait for this.
func (d *Daemon) Drain() {
	d.loop.Process(event.ShutdownRequested{At: time.Now()})
	d.leaving.Store(true)
}

// Wait waits until the node has stopped.
func (d *Daemon) Wait() { <-d.ended }

// maxRequestEnd is the time within which a request must be complete that has begun to arrive when the
// node stops.
const maxRequestEnd = time.Second

// stopConnections takes no new connections for requests and waits until those that have just
// been opened are accepted, so that their requests get responses.
func (d *Daemon) stopConnections() {
	for _, l := range d.requestListeners {
		if err := sock.StopConnections(l); err != nil {
			d.logger.Warn("connections that open now may be reset", "error", err)
		}
	}
	for end := time.Now().Add(maxAcceptTime); ; {
		time.Sleep(acceptTime)
		if !d.hasPendingConnections() || time.Now().After(end) {
			return
		}
	}
}

// hasPendingConnections reports whether connections for requests are open and not accepted.
func (d *Daemon) hasPendingConnections() bool {
	for _, l := range d.requestListeners {
		count, err := sock.Pending(l)
		if err != nil {
			d.logger.Warn("connections that are open may be reset", "error", err)
		}
		if count > 0 {
			return true
		}
	}
	return false
}

// shutdown stops the node once it has drained. It waits without a timeout for responses
// that are still being sent.
func (d *Daemon) shutdown() {
	defer close(d.ended)
	<-d.drained
	d.stopConnections()
	d.intake.Hurry(maxRequestEnd)
	for _, s := range d.servers {
		if err := s.Shutdown(context.Background()); err != nil {
			d.logger.Error("shutdown", "error", err)
		}
	}
	d.intake.Wait()
	_ = d.control.Close()
	d.datagrams.Close()
	d.background.Stop()
	d.loop.Stop()
	d.remote.Close()
	_ = d.metrics.Close()
}
