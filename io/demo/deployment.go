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
	"bulrushlock/io/conf"
	"bulrushlock/io/daemon"
	"bulrushlock/io/oper"
	"bulrushlock/io/stand"
)

const (
	// drainTime is the time for which a leaving node refuses late senders.
	drainTime = 500 * time.Millisecond
	// leaveTime is the longest time in which a node has to end.
	leaveTime = 5 * time.Second
	// pollTime is the time between two looks at the nodes.
	pollTime = 50 * time.Millisecond
	// workTime is the time that a backend server takes for a request.
	workTime = 3 * time.Millisecond
	// slots is the number of requests that a warm backend server runs at once.
	slots = 10
)

// loopback is the address of a listener whose port the system chooses.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// LateError tells that something did not come about in its time.
type LateError struct {
	What string
	Time time.Duration
}

// Error names what did not come about.
func (e *LateError) Error() string { return fmt.Sprintf("%s not within %v", e.What, e.Time) }

// deployment is a running deployment: the platform, the backend servers and the nodes.
type deployment struct {
	platform  *stand.Platform
	instances []*instance
	hosts     []*http.Server
	client    *http.Client
}

// instance is a running instance: a backend server and the node beside it.
type instance struct {
	identity
	server   *stand.Server
	node     *daemon.Daemon
	settings conf.Settings
}

// newDeployment starts all parts of a deployment. Those that were started are returned also with an error.
func newDeployment() (*deployment, error) {
	s := &deployment{
		platform: stand.NewPlatform(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
	s.platform.Publish(rulesText)
	platform, err := s.host(s.platform)
	if err != nil {
		return s, err
	}
	for _, p := range identities {
		if err := s.open(p, platform); err != nil {
			return s, err
		}
	}
	s.platform.List(s.list())
	return s, nil
}

// host serves h on a port that the system chooses.
func (s *deployment) host(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", loopback.String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.hosts = append(s.hosts, server)
	go func() { _ = server.Serve(l) }()
	return netip.ParseAddrPort(l.Addr().String())
}

// open starts an instance.
func (s *deployment) open(p identity, platform netip.AddrPort) error {
	cold := coldStarts[p.service]
	server := stand.NewServer(stand.ServerOptions{
		Name:  p.name,
		Slots: slots,
		Cold:  cold.slots,
		Warm:  cold.warm,
		Time:  workTime,
	})
	address, err := s.host(server)
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
		Isolated:  conf.Serve,
		Drain:     drainTime,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	s.instances = append(s.instances, &instance{identity: p, server: server, node: node, settings: node.Settings()})
	return nil
}

// list returns the list of instances that the platform publishes.
func (s *deployment) list() []fleet.Instance {
	entries := make([]fleet.Instance, len(s.instances))
	for i, p := range s.instances {
		entries[i] = fleet.Instance{
			Name:    p.name,
			Centre:  p.centre,
			Service: p.service,
			Nodes:   p.settings.Nodes,
			Control: p.settings.Control,
		}
	}
	return entries
}

// settle waits until every node holds the given revision of the rules and the
// list of instances, and returns how long that took. It fails with a *LateError.
func (s *deployment) settle(ctx context.Context, revision uint64, longest time.Duration) (time.Duration, error) {
	began := time.Now()
	for time.Since(began) < longest {
		if s.holds(ctx, revision) {
			return time.Since(began), nil
		}
		time.Sleep(pollTime)
	}
	return longest, &LateError{What: fmt.Sprintf("revision %d on every node", revision), Time: longest}
}

// holds reports whether every node holds the given revision of the rules.
func (s *deployment) holds(ctx context.Context, revision uint64) bool {
	for _, p := range s.instances {
		status, err := s.status(ctx, p)
		if err != nil || status.Rules < revision || status.Fleet == 0 {
			return false
		}
	}
	return true
}

// status reads the status of a node.
func (s *deployment) status(ctx context.Context, p *instance) (oper.Status, error) {
	var status oper.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Operators.String()+"/status", http.NoBody)
	if err != nil {
		return status, err
	}
	a, err := s.client.Do(r)
	if err != nil {
		return status, err
	}
	defer func() { _ = a.Body.Close() }()
	return status, json.NewDecoder(a.Body).Decode(&status)
}

// ran returns the number of requests that the backend servers of outCentre ran.
func (s *deployment) ran() int {
	total := 0
	for _, p := range s.instances {
		if p.centre == outCentre {
			total += p.server.Total()
		}
	}
	return total
}

// runs returns how often the request with this identity ran.
func (s *deployment) runs(id string) int {
	total := 0
	for _, p := range s.instances {
		total += p.server.Runs(id)
	}
	return total
}

// find returns the instance of the given name.
func (s *deployment) find(name string) *instance {
	for _, p := range s.instances {
		if p.name == name {
			return p
		}
	}
	return nil
}

// leave makes every node end and waits for it. It fails with a *LateError.
func (s *deployment) leave() error {
	ended := make(chan struct{}, len(s.instances))
	for _, p := range s.instances {
		p.node.Leave()
		go func() {
			p.node.Wait()
			ended <- struct{}{}
		}()
	}
	overdue := time.After(leaveTime)
	for range s.instances {
		select {
		case <-ended:
		case <-overdue:
			return &LateError{What: "the end of every node", Time: leaveTime}
		}
	}
	return nil
}

// close ends the stand-ins.
func (s *deployment) close() {
	s.client.CloseIdleConnections()
	for _, h := range s.hosts {
		_ = h.Close()
	}
}
