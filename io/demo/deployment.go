package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/io/admin"
	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/fake"
)

const (
	// drainTime is the time for which a draining node keeps its listeners open to reject
	// late requests.
	drainTime = 500 * time.Millisecond
	// drainTimeout is the maximum time that the nodes get to stop.
	drainTimeout = 5 * time.Second
	// pollInterval is the time between two status requests to the nodes.
	pollInterval = 50 * time.Millisecond
	// serviceTime is the time that a backend server takes for a request.
	serviceTime = 3 * time.Millisecond
	// slots is the number of requests that a warm backend server runs at once.
	slots = 10
)

// loopback is the listen address of all servers; the operating system selects the port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// TimeoutError reports a state that was not reached in time.
type TimeoutError struct {
	State string
	Limit time.Duration
}

// Error returns a message with the state and the time limit.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s not reached within %v", e.State, e.Limit)
}

// deployment is a running deployment: the platform, the backend servers and the nodes.
type deployment struct {
	platform  *fake.Platform
	instances []*instance
	servers   []*http.Server
	client    *http.Client
}

// instance is a running backend server and its node.
type instance struct {
	instanceSpec
	server   *fake.Server
	node     *daemon.Daemon
	settings conf.Settings
}

// newDeployment starts a deployment. On an error it returns the deployment with the
// parts that did start.
func newDeployment() (*deployment, error) {
	s := &deployment{
		platform: fake.NewPlatform(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
	s.platform.PublishRules(rulesText)
	platform, err := s.serve(s.platform)
	if err != nil {
		return s, err
	}
	for _, p := range instanceSpecs {
		if err := s.startInstance(p, platform); err != nil {
			return s, err
		}
	}
	s.platform.PublishInstances(s.instanceList())
	return s, nil
}

// serve starts an HTTP server for h and returns its address.
func (s *deployment) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// startInstance starts the backend server and the node of an instance.
func (s *deployment) startInstance(p instanceSpec, platform netip.AddrPort) error {
	cold := coldStarts[p.service]
	server := fake.NewServer(fake.ServerOptions{
		Name:           p.name,
		Slots:          slots,
		ColdLimit:      cold.slots,
		WarmupRequests: cold.warm,
		ServiceTime:    serviceTime,
	})
	address, err := s.serve(server)
	if err != nil {
		return err
	}
	node, err := daemon.New(&conf.Settings{
		Instance:  p.name,
		Centre:    p.centre,
		Service:   p.service,
		Callers:   loopback,
		Nodes:     loopback,
		Control:   loopback,
		Operators: loopback,
		Server:    address,
		Platform:  platform,
		Isolated:  conf.IsolatedServe,
		DrainTime: drainTime,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s.instances = append(s.instances, &instance{instanceSpec: p, server: server, node: node, settings: node.Settings()})
	return nil
}

// instanceList returns the instance list that the platform publishes.
func (s *deployment) instanceList() []fleet.Instance {
	entries := make([]fleet.Instance, len(s.instances))
	for i, p := range s.instances {
		entries[i] = fleet.Instance{
			Name:        p.name,
			Centre:      p.centre,
			Service:     p.service,
			ForwardAddr: p.settings.Nodes,
			ControlAddr: p.settings.Control,
		}
	}
	return entries
}

// waitForRevision waits until every node holds the given revision of the rules or a
// later one, and an instance list. It returns the time that this took, or a *TimeoutError
// after timeout.
func (s *deployment) waitForRevision(ctx context.Context, revision uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < timeout {
		if s.hasRevision(ctx, revision) {
			return time.Since(began), nil
		}
		time.Sleep(pollInterval)
	}
	return timeout, &TimeoutError{State: fmt.Sprintf("revision %d on every node", revision), Limit: timeout}
}

// hasRevision reports whether every node holds the given revision of the rules or a
// later one, and an instance list.
func (s *deployment) hasRevision(ctx context.Context, revision uint64) bool {
	for _, p := range s.instances {
		status, err := s.status(ctx, p)
		if err != nil || status.Rules < revision || status.Fleet == 0 {
			return false
		}
	}
	return true
}

// status returns the status of a node.
func (s *deployment) status(ctx context.Context, p *instance) (admin.Status, error) {
	var status admin.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Operators.String()+"/status", http.NoBody)
	if err != nil {
		return status, err
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return status, err
	}
	defer func() { _ = resp.Body.Close() }()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

// countEvacuatedCentreRuns returns the number of requests that ran in evacuatedCentre.
func (s *deployment) countEvacuatedCentreRuns() int {
	total := 0
	for _, p := range s.instances {
		if p.centre == evacuatedCentre {
			total += p.server.TotalRuns()
		}
	}
	return total
}

// countRuns returns the number of runs of the request with the given ID.
func (s *deployment) countRuns(id string) int {
	total := 0
	for _, p := range s.instances {
		total += p.server.Runs(id)
	}
	return total
}

// find returns the instance with the given name, or nil.
func (s *deployment) find(name string) *instance {
	for _, p := range s.instances {
		if p.name == name {
			return p
		}
	}
	return nil
}

// stopNodes drains all nodes and waits until they have stopped. It returns a
// *TimeoutError after drainTimeout.
func (s *deployment) stopNodes() error {
	ended := make(chan struct{}, len(s.instances))
	for _, p := range s.instances {
		p.node.Drain()
		go func() {
			p.node.Wait()
			ended <- struct{}{}
		}()
	}
	overdue := time.After(drainTimeout)
	for range s.instances {
		select {
		case <-ended:
		case <-overdue:
			return &TimeoutError{State: "stop of every node", Limit: drainTimeout}
		}
	}
	return nil
}

// close closes the fakes of the platform and the backend servers.
func (s *deployment) close() {
	s.client.CloseIdleConnections()
	for _, h := range s.servers {
		_ = h.Close()
	}
}
