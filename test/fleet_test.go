package test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/fleet"
	"bulrushlock/io/admin"
	"bulrushlock/io/fake"
)

// rules are the rules that the platform publishes at the start.
const rules = `
service ledger slots=10 cold=10 warm=1 queue=50ms   # Test: lookups
service filing slots=10 cold=10 warm=1 queue=50ms   # Test: claims and exports
route GET /lines/* service=ledger idempotent=yes time=5s   # Test: lookup
route GET /claims/* service=filing idempotent=yes time=5s   # Test: lookup beside the claims
route POST /claims service=filing idempotent=no time=8s body=100KB   # Test: claim
route GET /exports/* service=filing idempotent=yes time=8s   # Test: export
budget probe=5 look=5 retry=100% hedge=0%   # Test: retries are not what is tested
`

// topology lists the instances with their data centres and services. The first instance
// does not run the service filing, so its entry must send claims to another instance.
var topology = []struct{ name, centre, service string }{
	{"desk-1", "north", "ledger"},
	{"desk-2", "south", "filing"},
	{"desk-3", "east", "filing"},
}

// instance is a node with its backend server.
type instance struct {
	// settings is the path of the settings file of the node.
	name, service, settings string
	// callers, nodes, control and operators are the addresses of the node's listeners,
	// named as in the settings.
	callers, nodes, control, operators netip.AddrPort
	serverAddress                      netip.AddrPort
	node, serverProcess                *process
}

// options configure the nodes of a system.
type options struct {
	// peers lists the control listeners of all instances as peers in the settings.
	peers bool
	// drain is the value of the setting drain; empty means 0s.
	drain string
}

// system is a platform with three instances. The platform, the nodes and the backend
// servers run as separate processes.
type system struct {
	c               *qt.C
	dir             string
	platformAddress netip.AddrPort
	platform        *process
	instances       []*instance
}

// newSystem starts a system and waits until every node is ready.
func newSystem(t *testing.T, o options) *system {
	t.Parallel()
	s := &system{c: qt.New(t), dir: t.TempDir()}
	addresses := freeAddresses(s.c, 1+5*len(topology))
	s.platformAddress = addresses[0]
	for i, p := range topology {
		q := addresses[1+5*i:]
		s.instances = append(s.instances, &instance{
			name: p.name, service: p.service, settings: filepath.Join(s.dir, p.name+".yaml"),
			callers: q[0], nodes: q[1], control: q[2], operators: q[3], serverAddress: q[4],
		})
	}
	s.startPlatform(rules)
	for i := range s.instances {
		s.writeSettings(i, o)
		s.startServer(i)
		s.startNode(i)
	}
	for i := range s.instances {
		s.waitReady(i)
	}
	return s
}

// Listeners use ports below those that the operating system assigns to outgoing
// connections.
const (
	firstPort = 12000
	lastPort  = 32000
)

// portsTried counts the ports that this test run has tried. Concurrent test runs on one
// machine start at different ports.
var portsTried atomic.Uint32

// freeAddresses returns n addresses on which nothing listens. No two calls return the same
// address.
func freeAddresses(c *qt.C, n int) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, n)
	for len(addresses) < n {
		port := firstPort + (uint32(os.Getpid())*997+portsTried.Add(1))%(lastPort-firstPort)
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		c.Assert(l.Close(), qt.IsNil)
		addresses = append(addresses, a)
	}
	return addresses
}

// writeSettings writes the settings file of instance i.
func (s *system) writeSettings(i int, o options) {
	n := s.instances[i]
	drain := o.drain
	if drain == "" {
		drain = "0s"
	}
	text := fmt.Sprintf("instance: %s\ncentre: %s\nservice: %s\ncallers: %v\nnodes: %v\ncontrol: %v\n"+
		"operators: %v\nserver: %v\nplatform: %v\ndrain: %s\nlag: 4s\n",
		n.name, topology[i].centre, n.service, n.callers, n.nodes, n.control, n.operators, n.serverAddress, s.platformAddress, drain)
	if o.peers {
		text += "peers:\n"
		for _, p := range s.instances {
			text += fmt.Sprintf("  - %v\n", p.control)
		}
	}
	s.c.Assert(os.WriteFile(n.settings, []byte(text), 0o600), qt.IsNil)
}

// startPlatform starts a platform that publishes text as the rules, and the instance
// list.
func (s *system) startPlatform(text string) {
	list := make([]fleet.Instance, len(s.instances))
	for i, n := range s.instances {
		list[i] = fleet.Instance{Name: n.name, Centre: topology[i].centre, Service: n.service, ForwardAddr: n.nodes, ControlAddr: n.control}
	}
	listed, err := fleet.Format(list)
	s.c.Assert(err, qt.IsNil)
	rulesFile, listFile := filepath.Join(s.dir, "rules"), filepath.Join(s.dir, "instances")
	s.c.Assert(os.WriteFile(rulesFile, []byte(text), 0o600), qt.IsNil)
	s.c.Assert(os.WriteFile(listFile, []byte(listed), 0o600), qt.IsNil)
	s.platform = start(s.c, "stand", "platform", "--listen", s.platformAddress.String(), "--rules", rulesFile, "--instances", listFile)
	s.waitListening(s.platform)
}

// startServer starts the backend server of instance i.
func (s *system) startServer(i int) {
	n := s.instances[i]
	n.serverProcess = start(s.c, "stand", "server", "--listen", n.serverAddress.String(), "--name", n.name, "--service-time", "1ms")
	s.waitListening(n.serverProcess)
}

// waitListening waits until a platform or backend server process listens.
func (s *system) waitListening(p *process) {
	waitUntil(s.c, "process listens", func() bool { return strings.Contains(p.output.String(), "listening") })
}

// startNode starts the node of instance i.
func (s *system) startNode(i int) {
	s.instances[i].node = start(s.c, "node", "--settings", s.instances[i].settings)
}

// waitReady waits until the node of instance i is ready.
func (s *system) waitReady(i int) {
	s.c.Helper()
	waitUntil(s.c, s.instances[i].name+" is ready", func() bool {
		r, err := http.Get("http://" + s.instances[i].operators.String() + "/ready")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// status reads the status of the node of instance i.
func (s *system) status(i int) (admin.Status, error) {
	var status admin.Status
	return status, get(s.instances[i].operators, "/status", &status)
}

// get decodes the JSON response to a GET request.
func get(a netip.AddrPort, path string, into any) error {
	r, err := http.Get("http://" + a.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return json.NewDecoder(r.Body).Decode(into)
}

// post sends a request to a /control endpoint of a platform or backend server process.
func (s *system) post(a netip.AddrPort, path, body string) {
	s.c.Helper()
	r, err := http.Post("http://"+a.String()+path, "text/plain", strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	_ = r.Body.Close()
	s.c.Assert(r.StatusCode/100, qt.Equals, 2)
}

// runsAt returns how often the request with this id ran at instance i.
func (s *system) runsAt(i int, id string) int {
	var counted struct{ Runs int }
	s.c.Assert(get(s.instances[i].serverAddress, "/control/runs?id="+id, &counted), qt.IsNil)
	return counted.Runs
}

// runsOf returns how often the request ran at the given instances, or at all instances if
// none is given.
func (s *system) runsOf(id string, at ...int) int {
	if at == nil {
		at = []int{0, 1, 2}
	}
	total := 0
	for _, i := range at {
		total += s.runsAt(i, id)
	}
	return total
}

// stats returns the request counts of the backend server of instance i.
func (s *system) stats(i int) fake.Stats {
	var counted fake.Stats
	s.c.Assert(get(s.instances[i].serverAddress, "/control/stats", &counted), qt.IsNil)
	return counted
}

// indexOf returns the index of the instance with the given name.
func (s *system) indexOf(name string) int {
	for i, n := range s.instances {
		if n.name == name {
			return i
		}
	}
	s.c.Fatalf("no instance %q", name)
	return -1
}
