// Package trial runs a fleet of idle nodes in one process, on loopback, with one
// stand-in for the platform and one for all backend servers, and measures what
// the nodes spend on control.
//
// # Usage
//
//	r, err := trial.New(trial.Options{Nodes: 60, Time: 20 * time.Second, Changes: 3}).Run(ctx)
package trial

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/stand"
)

const (
	// centres is the number of data centres over which the nodes are spread.
	centres = 5
	// perService is the number of backend servers of a service.
	perService = 21
	// settleTime is the longest time in which every node has to hold the latest documents.
	settleTime = time.Minute
	// pollTime is the time between two looks at the nodes.
	pollTime = 10 * time.Millisecond
	// quietTime is the time after which the work of starting is over.
	quietTime = 5 * time.Second
)

// loopback is the address of a listener whose port the system chooses.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options tell the size of a trial.
type Options struct {
	Nodes int
	// Time is the length of the measurement without any change.
	Time time.Duration
	// Changes is the number of revisions of the rules that are published afterwards.
	Changes int
}

// Report tells what the nodes spent.
type Report struct {
	Nodes int
	// Settled is the time from the start until every node held both documents.
	Settled time.Duration
	// Processor is the processor time of one node in seconds a second.
	Processor float64
	// Memory is the memory in bytes that one node holds.
	Memory float64
	// Received and Sent are the bytes of control traffic of one node a second.
	Received, Sent float64
	// Calls is the number of calls a second on the platform.
	Calls float64
	// Changes are the times from publishing a revision until every node had it in force.
	Changes []time.Duration
}

// Trial is one run.
type Trial struct {
	options  Options
	platform *stand.Platform
	hosts    []*http.Server
	nodes    []*daemon.Daemon
}

// LateError tells that some nodes did not take a document in time.
type LateError struct {
	Revision uint64
	Missing  int
}

// Error names the revision and the number of nodes that miss it.
func (e *LateError) Error() string {
	return fmt.Sprintf("%d nodes do not hold revision %d within %v", e.Missing, e.Revision, settleTime)
}

// New returns a trial that has not begun.
func New(o Options) *Trial { return &Trial{options: o, platform: stand.NewPlatform()} }

// Run starts the nodes, measures them and ends them. It fails with a
// *LateError, or with the error of a listener.
func (t *Trial) Run(ctx context.Context) (Report, error) {
	defer t.close()
	before := memory()
	began := time.Now()
	if err := t.start(); err != nil {
		return Report{}, err
	}
	if err := t.settle(ctx, 1); err != nil {
		return Report{}, err
	}
	r := Report{Nodes: t.options.Nodes, Settled: time.Since(began)}
	time.Sleep(quietTime)
	r.Memory = float64(memory()-before) / float64(t.options.Nodes)
	t.measure(&r)
	for i := range t.options.Changes {
		published := time.Now()
		t.platform.Publish(t.rules(i + 1))
		if err := t.settle(ctx, uint64(i)+2); err != nil {
			return r, err
		}
		r.Changes = append(r.Changes, time.Since(published))
	}
	return r, nil
}

// memory returns the bytes of memory that are in use after a collection.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// processor returns the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure watches the nodes while nothing changes.
func (t *Trial) measure(r *Report) {
	used, calls := processor(), t.platform.Calls()
	received, sent := t.traffic()
	began := time.Now()
	time.Sleep(t.options.Time)
	seconds := time.Since(began).Seconds()
	share := seconds * float64(t.options.Nodes)
	r.Processor = (processor() - used).Seconds() / share
	r.Calls = float64(t.platform.Calls()-calls) / seconds
	receivedNow, sentNow := t.traffic()
	r.Received = float64(receivedNow-received) / share
	r.Sent = float64(sentNow-sent) / share
}

// traffic returns the bytes of control traffic of all nodes.
func (t *Trial) traffic() (received, sent int64) {
	for _, d := range t.nodes {
		r, s := d.Traffic()
		received += r
		sent += s
	}
	return received, sent
}

// rules returns the text of the rules; edition makes it differ from others.
func (t *Trial) rules(edition int) string {
	var b strings.Builder
	for i := range t.services() {
		_, _ = fmt.Fprintf(&b, "service s%d slots=10 conns=250 cold=2  # trial: service %d, edition %d\n", i, i, edition)
		_, _ = fmt.Fprintf(&b, "route GET /s%d/* service=s%d idempotent=yes  # trial: lookups\n", i, i)
		_, _ = fmt.Fprintf(&b, "route POST /s%d/* service=s%d idempotent=no  # trial: claims\n", i, i)
	}
	b.WriteString("budget probe=5 look=2 retry=10% hedge=2%  # trial: bounds\n")
	return b.String()
}

// services returns the number of services.
func (t *Trial) services() int { return (t.options.Nodes + perService - 1) / perService }

// start starts the platform, the backend server and the nodes.
func (t *Trial) start() error {
	t.platform.Publish(t.rules(0))
	platform, err := t.host(t.platform)
	if err != nil {
		return err
	}
	server, err := t.host(stand.NewServer(stand.ServerOptions{Name: "all", Slots: 1000}))
	if err != nil {
		return err
	}
	var instances []fleet.Instance
	for i := range t.options.Nodes {
		s, err := t.open(i, platform, server)
		if err != nil {
			return err
		}
		instances = append(instances, fleet.Instance{
			Name: s.Instance, Centre: s.Centre, Service: s.Service, Nodes: s.Nodes, Control: s.Control,
		})
	}
	t.platform.List(instances)
	return nil
}

// host serves h on a port that the system chooses.
func (t *Trial) host(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	t.hosts = append(t.hosts, s)
	go func() { _ = s.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// open starts the node of the given number.
func (t *Trial) open(number int, platform, server netip.AddrPort) (conf.Settings, error) {
	d, err := daemon.New(&conf.Settings{
		Instance:  fmt.Sprintf("n%d", number),
		Centre:    fmt.Sprintf("c%d", number%centres),
		Service:   fmt.Sprintf("s%d", number/perService),
		Callers:   loopback,
		Nodes:     loopback,
		Control:   loopback,
		Operators: loopback,
		Server:    server,
		Platform:  platform,
		Isolated:  conf.Serve,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return conf.Settings{}, fmt.Errorf("start node %d: %w", number, err)
	}
	t.nodes = append(t.nodes, d)
	return d.Settings(), nil
}

// settle waits until every node holds the list of instances and the given revision of the rules.
func (t *Trial) settle(ctx context.Context, revision uint64) error {
	began := time.Now()
	for {
		missing := 0
		for _, d := range t.nodes {
			v := d.Versions()
			if v.Rules.Revision < revision || v.Fleet.Revision == 0 {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Since(began) > settleTime || ctx.Err() != nil {
			return &LateError{Revision: revision, Missing: missing}
		}
		time.Sleep(pollTime)
	}
}

// close ends the nodes and the stand-ins.
func (t *Trial) close() {
	for _, d := range t.nodes {
		d.Leave()
	}
	for _, d := range t.nodes {
		d.Wait()
	}
	for _, s := range t.hosts {
		_ = s.Close()
	}
}
