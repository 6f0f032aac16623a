// Package daemon puts a node together: its reducer, its listeners and its calls.
//
// # Usage
//
//	d, err := daemon.New(settings, logger)
//	if err != nil {
//		return err // a *daemon.ListenError
//	}
//	d.Leave()
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
	"bulrushlock/core/shape"
	"bulrushlock/core/ticket"
	"bulrushlock/io/carry"
	"bulrushlock/io/conf"
	"bulrushlock/io/front"
	"bulrushlock/io/gate"
	"bulrushlock/io/gram"
	"bulrushlock/io/link"
	"bulrushlock/io/loop"
	"bulrushlock/io/meter"
	"bulrushlock/io/oper"
	"bulrushlock/io/sock"
	"bulrushlock/io/spout"
	"bulrushlock/io/turns"
	"bulrushlock/io/wire"
	"bulrushlock/io/xchg"
)

const (
	// reportTime is the time between two reports of the metrics.
	reportTime = time.Second
	// headerTime is the longest time for reading the head of a request.
	headerTime = 10 * time.Second
	// megabit is the number of bits in a megabit.
	megabit = 1e6
	// idleTime is the time after which a connection of a caller that is not used is closed.
	idleTime = 2 * time.Minute
	// dialTime is the longest time for making a connection to the backend server.
	dialTime = time.Second
	// nodeTime is the longest time for making a connection to another node.
	nodeTime = 500 * time.Millisecond
	// serverKeep is the longest time that an unused connection to the backend server is kept.
	serverKeep = 30 * time.Second
	// muteFinish is the time for which an answer may come late where no caller can
	// ask for it any more.
	muteFinish = 250 * time.Millisecond
	// serverConnections is the number of unused connections that are kept to the backend server.
	serverConnections = 128
)

// Daemon is a running node.
type Daemon struct {
	settings *conf.Settings
	adapter  Adapter
	diary    loop.Diary
	logger   *slog.Logger
	grams    *gram.Gram
	loop     *loop.Loop
	carrier  *carry.Carrier
	meter    *meter.Meter
	link     *link.Link
	control  net.Listener
	servers  []*http.Server
	metrics  interface{ Close() error }
	leaving  atomic.Bool
	finished chan struct{}
	once     sync.Once
	ended    chan struct{}
}

// ListenError is a listener that could not be opened.
type ListenError struct {
	Key     string
	Address netip.AddrPort
	Cause   error
}

// Error names the settings key, the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listener %s on %v: %v", e.Key, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listeners are the four listeners of a node.
type listeners struct {
	callers, nodes, control, operators net.Listener
	// ready is nil where the platform does not ask.
	ready net.Listener
	// grams is the connection for datagrams, at the address of control.
	grams *net.UDPConn
}

// settings returns a copy of s with the addresses that the listeners really have.
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
		finished: make(chan struct{}),
		ended:    make(chan struct{}),
	}
	for _, o := range options {
		o(d)
	}
	d.start(l)
	return d, nil
}

// listen opens the listeners of a node, or none of them.
func listen(s *conf.Settings) (listeners, error) {
	var l listeners
	var opened []net.Listener
	for _, o := range []struct {
		key     string
		address netip.AddrPort
		place   *net.Listener
	}{
		{"callers", s.Callers, &l.callers},
		{"nodes", s.Nodes, &l.nodes},
		{"control", s.Control, &l.control},
		{"operators", s.Operators, &l.operators},
		{"ready", s.Ready, &l.ready},
	} {
		if !o.address.IsValid() {
			continue
		}
		opener, err := sock.Listen(o.address.String())
		if err != nil {
			closeAll(opened)
			return l, &ListenError{Key: o.key, Address: o.address, Cause: err}
		}
		*o.place = opener
		opened = append(opened, opener)
	}
	grams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressOf(l.control)))
	if err != nil {
		closeAll(opened)
		return l, &ListenError{Key: "control", Address: s.Control, Cause: err}
	}
	l.grams = grams
	return l, nil
}

// closeAll closes listeners.
func closeAll(opened []net.Listener) {
	for _, l := range opened {
		_ = l.Close()
	}
}

// start puts the parts together and starts them.
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
	}, reportTime)
	d.metrics = closer
	m := meter.New(scope, "control")
	d.meter = m
	self := ticket.Node{Instance: s.Instance, Incarnation: rand.Uint64()}
	d.carrier = carry.New(carry.Options{
		Platform: d.adapter.Reader,
		Looker:   d.adapter.Looker,
		Peers:    s.Peers,
		Caster:   d,
		Finished: func() { d.once.Do(func() { close(d.finished) }) },
	})
	n := node.New(node.Identity{
		Instance:    s.Instance,
		Incarnation: self.Incarnation,
		Centre:      s.Centre,
		Service:     s.Service,
		Refuse:      s.Isolated == conf.Refuse,
		Drain:       s.Drain,
		Lag:         s.Lag,
		Ask:         s.Ask,
		Listed:      s.Dialect == conf.Platform,
	}, pick.NewAware())
	d.loop = loop.New(n, loop.Options{
		Instance: s.Instance,
		Centre:   s.Centre,
		Logger:   d.logger,
		Scope:    scope,
		Diary:    d.diary,
		Carry:    d.carrier.Do,
	})
	d.grams = gram.New(d.loop, gram.Options{Node: self, Conn: l.grams, Control: s.Control, Logger: d.logger})
	l.control = m.Listener(l.control)
	w := wire.New(d.loop, self, d.settings.Control, m.Dialer(sock.NewDialer(nodeTime)))
	d.serve(l, w, self, scope, reporter.HTTPHandler())
}

// serve starts to serve the listeners.
func (d *Daemon) serve(l listeners, w *wire.Wire, self ticket.Node, scope tally.Scope, metrics http.Handler) {
	d.link = link.New(d.loop, sock.NewDialer(nodeTime))
	dialect := d.adapter.Dialect
	isPlain := d.settings.Dialect != conf.Platform
	outlet := spout.New(shape.New(d.settings.Link * megabit))
	g := gate.New(d.loop, gate.Options{
		Node:      self,
		Server:    d.settings.Server,
		Transport: serverTransport(dialect),
		Finish:    d.finishTime(),
		Dialect:   dialect,
		Closing:   !isPlain,
		Spout:     outlet,
	})
	f := front.New(d.loop, front.Options{
		Local:    g,
		Remote:   d.link,
		Asker:    w,
		Surveyor: d.grams,
		Scope:    scope,
		Dialect:  dialect,
		Service:  d.settings.Service,
		Mute:     !isPlain,
		Spout:    outlet,
	})
	d.carrier.Start(d.loop, w)
	go w.Serve(l.control)
	d.add(l.callers, f)
	d.add(l.nodes, g)
	d.add(l.operators, oper.New(d.loop, metrics))
	if l.ready != nil {
		d.add(l.ready, d.adapter.Ready(d.isReady))
	}
	go d.measure(newGauges(scope))
	go d.end()
}

// add serves h on l.
func (d *Daemon) add(l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler:           &parting{handler: h, leaving: &d.leaving},
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),

		DisableGeneralOptionsHandler: true,
	}
	d.servers = append(d.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error("listener ended", "address", l.Addr().String(), "error", err)
		}
	}()
}

// serverTransport returns the transport to the backend server.
func serverTransport(d xchg.Dialect) *turns.Transport {
	return turns.New(sock.NewDialer(dialTime), turns.Options{
		Idle: serverConnections,
		Keep: serverKeep,
		Match: func(r *http.Request, a *http.Response) bool {
			return d.Belongs(r.Header, a.Header)
		},
	})
}

// finishTime returns the time past its deadline for which a non-idempotent request
// runs on. Callers who know no tickets cannot ask after its answer.
func (d *Daemon) finishTime() time.Duration {
	if d.settings.Dialect == conf.Platform {
		return muteFinish
	}
	return gate.FinishTime
}

// isReady reports whether the node can serve callers.
func (d *Daemon) isReady() bool {
	ready := false
	d.loop.View(func(n *node.Node) { ready = n.Ready() })
	return ready
}

// Cast tells peers the versions that this node holds.
func (d *Daemon) Cast(e effect.Cast) { d.grams.Cast(e) }

// Settings returns the settings of the node. A port that the system chose stands
// in place of port 0.
func (d *Daemon) Settings() conf.Settings { return *d.settings }

// Reload takes over settings that have changed. Listeners, addresses and the names
// of the node stay as they are until it is started again; the log names such keys.
func (d *Daemon) Reload(s *conf.Settings) {
	for _, key := range s.Fixed(d.settings) {
		d.logger.Warn("setting needs a restart", "key", key)
	}
	d.loop.Do(event.Changed{At: time.Now(), Ask: s.Ask, Refuse: s.Isolated == conf.Refuse, Drain: s.Drain})
}

// Versions returns the versions of the documents that the node holds.
func (d *Daemon) Versions() event.Versions {
	_, v := d.loop.Load()
	return v
}

// Traffic returns the bytes of control traffic that the node has received and sent.
func (d *Daemon) Traffic() (received, sent int64) { return d.meter.Total() }

// Leave makes the node refuse new work, finish what is under way, and end.
func (d *Daemon) Leave() {
	d.loop.Do(event.Leave{At: time.Now()})
	d.leaving.Store(true)
}

// Wait returns when the node has ended.
func (d *Daemon) Wait() { <-d.ended }

// end ends the node once its work is finished. Answers that are still being
// sent are finished without a time limit.
func (d *Daemon) end() {
	defer close(d.ended)
	<-d.finished
	for _, s := range d.servers {
		if err := s.Shutdown(context.Background()); err != nil {
			d.logger.Error("shutdown", "error", err)
		}
	}
	_ = d.control.Close()
	d.grams.Close()
	d.carrier.Stop()
	d.loop.Stop()
	d.link.Close()
	_ = d.metrics.Close()
}
