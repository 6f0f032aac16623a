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
	leaveTime = 8 * time.Second
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

// site is a running deployment: the platform, the backend servers and the nodes.
type site struct {
	platform *stand.Platform
	places   []*place
	hosts    []*http.Server
	client   *http.Client
}

// place is a running instance: a backend server and the node beside it.
type place struct {
	post
	server   *stand.Server
	node     *daemon.Daemon
	settings conf.Settings
}

// newSite starts a deployment.
func newSite() (*site, error) {
	s := &site{
		platform: stand.NewPlatform(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
	}
	s.platform.Publish(rulesText)
	platform, err := s.host(s.platform)
	if err != nil {
		return s, err
	}
	for _, p := range posts {
		if err := s.open(p, platform); err != nil {
			return s, err
		}
	}
	s.platform.List(s.instances())
	return s, nil
}

// host serves h on a port that the system chooses.
func (s *site) host(h http.Handler) (netip.AddrPort, error) {
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
func (s *site) open(p post, platform netip.AddrPort) error {
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
	s.places = append(s.places, &place{post: p, server: server, node: node, settings: node.Settings()})
	return nil
}

// instances returns the list of instances that the platform publishes.
func (s *site) instances() []fleet.Instance {
	list := make([]fleet.Instance, len(s.places))
	for i, p := range s.places {
		list[i] = fleet.Instance{
			Name:    p.name,
			Centre:  p.centre,
			Service: p.service,
			Nodes:   p.settings.Nodes,
			Control: p.settings.Control,
		}
	}
	return list
}

// settle waits until every node holds the given revision of the rules and the
// list of instances, and returns how long that took. It fails with a *LateError.
func (s *site) settle(ctx context.Context, revision uint64, longest time.Duration) (time.Duration, error) {
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
func (s *site) holds(ctx context.Context, revision uint64) bool {
	for _, p := range s.places {
		status, err := s.status(ctx, p)
		if err != nil || status.Rules < revision || status.Fleet == 0 {
			return false
		}
	}
	return true
}

// status reads the status of a node.
func (s *site) status(ctx context.Context, p *place) (oper.Status, error) {
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
func (s *site) ran() int {
	total := 0
	for _, p := range s.places {
		if p.centre == outCentre {
			total += p.server.Total()
		}
	}
	return total
}

// runs returns how often the request with this identity ran.
func (s *site) runs(id string) int {
	total := 0
	for _, p := range s.places {
		total += p.server.Runs(id)
	}
	return total
}

// find returns the instance of the given name.
func (s *site) find(name string) *place {
	for _, p := range s.places {
		if p.name == name {
			return p
		}
	}
	return nil
}

// leave makes every node end and waits for it. It fails with a *LateError.
func (s *site) leave() error {
	ended := make(chan struct{}, len(s.places))
	for _, p := range s.places {
		p.node.Leave()
		go func() {
			p.node.Wait()
			ended <- struct{}{}
		}()
	}
	overdue := time.After(leaveTime)
	for range s.places {
		select {
		case <-ended:
		case <-overdue:
			return &LateError{What: "the end of every node", Time: leaveTime}
		}
	}
	return nil
}

// close ends the stand-ins.
func (s *site) close() {
	s.client.CloseIdleConnections()
	for _, h := range s.hosts {
		_ = h.Close()
	}
}
