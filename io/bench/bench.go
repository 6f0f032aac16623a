// Package bench measures the control-plane overhead of idle nodes: CPU time, memory,
// control traffic, platform reads and the time until a change of the rules is in force.
// It runs the nodes on loopback in one process, with a fake platform and one fake
// backend server that all nodes share. The command trial runs it.
//
// # Usage
//
//	r, err := bench.New(bench.Options{Nodes: 60, Duration: 20 * time.Second, Changes: 3}).Run(ctx)
package bench

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
	"bulrushlock/io/fake"
)

const (
	// centreCount is the number of data centres over which the nodes are spread.
	centreCount = 5
	// serversPerService is the number of backend servers of a service.
	serversPerService = 21
	// revisionTimeout is the maximum time until every node holds the latest documents.
	revisionTimeout = time.Minute
	// pollInterval is the time between two checks of the nodes.
	pollInterval = 10 * time.Millisecond
	// settleTime is the time that the nodes get to become idle after every node holds
	// both documents.
	settleTime = 5 * time.Second
)

// loopback is the listen address of all servers; the operating system selects the port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options configure a Bench.
type Options struct {
	Nodes int
	// Duration is the length of the measurement without changes.
	Duration time.Duration
	// Changes is the number of revisions of the rules that are published after that
	// measurement.
	Changes int
}

// Report is the result of a Bench.
type Report struct {
	Nodes int
	// StartupTime is the time from the start until every node held both documents.
	StartupTime time.Duration
	// CPU is the CPU usage per node in seconds per second.
	CPU float64
	// Memory is the memory usage per node in bytes.
	Memory float64
	// Received and Sent are the control traffic per node in bytes per second.
	Received, Sent float64
	// PlatformReads is the number of reads from the platform per second by all nodes.
	PlatformReads float64
	// ChangeTimes holds, per revision, the time from publishing it until every node held it.
	ChangeTimes []time.Duration
}

// Bench is one run of the measurement.
type Bench struct {
	options  Options
	platform *fake.Platform
	servers  []*http.Server
	nodes    []*daemon.Daemon
}

// TimeoutError reports that some nodes did not receive the documents in time.
type TimeoutError struct {
	Revision uint64
	Missing  int
}

// Error returns a message with the revision and the number of nodes that lack it.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%d nodes do not hold revision %d after %v", e.Missing, e.Revision, revisionTimeout)
}

// New returns a Bench that has not started.
func New(o Options) *Bench { return &Bench{options: o, platform: fake.NewPlatform()} }

// Run starts the nodes, measures them and stops them. It returns a *TimeoutError if the
// nodes do not receive the documents in time, or the error of a listener or a node.
func (bn *Bench) Run(ctx context.Context) (Report, error) {
	defer bn.close()
	before := memoryInUse()
	began := time.Now()
	if err := bn.start(); err != nil {
		return Report{}, err
	}
	if err := bn.waitForRevision(ctx, 1); err != nil {
		return Report{}, err
	}
	r := Report{Nodes: bn.options.Nodes, StartupTime: time.Since(began)}
	time.Sleep(settleTime)
	r.Memory = float64(memoryInUse()-before) / float64(bn.options.Nodes)
	bn.measureIdle(&r)
	for i := range bn.options.Changes {
		published := time.Now()
		bn.platform.PublishRules(bn.rules(i + 1))
		if err := bn.waitForRevision(ctx, uint64(i)+2); err != nil {
			return r, err
		}
		r.ChangeTimes = append(r.ChangeTimes, time.Since(published))
	}
	return r, nil
}

// memoryInUse returns the heap and stack memory in use after a garbage collection, in
// bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// cpuTime returns the CPU time that this process has used, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdle measures the nodes while nothing changes and adds the results to r.
func (bn *Bench) measureIdle(r *Report) {
	used, calls := cpuTime(), bn.platform.Reads()
	received, sent := bn.traffic()
	began := time.Now()
	time.Sleep(bn.options.Duration)
	seconds := time.Since(began).Seconds()
	nodeSeconds := seconds * float64(bn.options.Nodes)
	r.CPU = (cpuTime() - used).Seconds() / nodeSeconds
	r.PlatformReads = float64(bn.platform.Reads()-calls) / seconds
	receivedNow, sentNow := bn.traffic()
	r.Received = float64(receivedNow-received) / nodeSeconds
	r.Sent = float64(sentNow-sent) / nodeSeconds
}

// traffic returns the control traffic of all nodes in bytes.
func (bn *Bench) traffic() (received, sent int64) {
	for _, d := range bn.nodes {
		r, s := d.ControlTraffic()
		received += r
		sent += s
	}
	return received, sent
}

// rules returns the text of the rules, which is different for each variant.
func (bn *Bench) rules(variant int) string {
	var b strings.Builder
	for i := range bn.serviceCount() {
		_, _ = fmt.Fprintf(&b, "service s%d slots=10 conns=250 cold=2  # trial: service %d, edition %d\n", i, i, variant)
		_, _ = fmt.Fprintf(&b, "route GET /s%d/* service=s%d idempotent=yes  # trial: lookups\n", i, i)
		_, _ = fmt.Fprintf(&b, "route POST /s%d/* service=s%d idempotent=no  # trial: claims\n", i, i)
	}
	b.WriteString("budget probe=5 look=2 retry=10% hedge=2%  # trial: bounds\n")
	return b.String()
}

// serviceCount returns the number of services.
func (bn *Bench) serviceCount() int {
	return (bn.options.Nodes + serversPerService - 1) / serversPerService
}

// start starts the platform, the backend server and the nodes.
func (bn *Bench) start() error {
	bn.platform.PublishRules(bn.rules(0))
	platform, err := bn.serve(bn.platform)
	if err != nil {
		return err
	}
	server, err := bn.serve(fake.NewServer(fake.ServerOptions{Name: "all", Slots: 1000}))
	if err != nil {
		return err
	}
	var instances []fleet.Instance
	for i := range bn.options.Nodes {
		s, err := bn.startNode(i, platform, server)
		if err != nil {
			return err
		}
		instances = append(instances, fleet.Instance{
			Name: s.Instance, Centre: s.Centre, Service: s.Service, ForwardAddr: s.Nodes, ControlAddr: s.Control,
		})
	}
	bn.platform.PublishInstances(instances)
	return nil
}

// serve starts an HTTP server for h and returns its address.
func (bn *Bench) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	bn.servers = append(bn.servers, s)
	go func() { _ = s.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// startNode starts the node with the given number and returns its settings.
func (bn *Bench) startNode(number int, platform, server netip.AddrPort) (conf.Settings, error) {
	d, err := daemon.New(&conf.Settings{
		Instance:  fmt.Sprintf("n%d", number),
		Centre:    fmt.Sprintf("c%d", number%centreCount),
		Service:   fmt.Sprintf("s%d", number/serversPerService),
		Callers:   loopback,
		Nodes:     loopback,
		Control:   loopback,
		Operators: loopback,
		Server:    server,
		Platform:  platform,
		Isolated:  conf.IsolatedServe,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		return conf.Settings{}, fmt.Errorf("start node %d: %w", number, err)
	}
	bn.nodes = append(bn.nodes, d)
	return d.Settings(), nil
}

// waitForRevision waits until every node holds an instance list and the given revision
// of the rules or a later one.
func (bn *Bench) waitForRevision(ctx context.Context, revision uint64) error {
	began := time.Now()
	for {
		missing := 0
		for _, d := range bn.nodes {
			v := d.Versions()
			if v.Rules.Revision < revision || v.Fleet.Revision == 0 {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Since(began) > revisionTimeout || ctx.Err() != nil {
			return &TimeoutError{Revision: revision, Missing: missing}
		}
		time.Sleep(pollInterval)
	}
}

// close stops the nodes, the platform and the backend server.
func (bn *Bench) close() {
	for _, d := range bn.nodes {
		d.Drain()
	}
	for _, d := range bn.nodes {
		d.Wait()
	}
	for _, s := range bn.servers {
		_ = s.Close()
	}
}
