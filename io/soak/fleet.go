package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/io/oper"
)

// centres are the data centres of the fleet.
var centres = []string{"north", "south", "east"}

// ruleText is what the platform publishes.
const ruleText = `service ledger slots=8 cold=4 warm=4   # soak: one service
route * /lines/* service=ledger idempotent=yes time=3s   # soak: lookups
route POST /claims service=ledger idempotent=no time=3s   # soak: claims
`

// instance is one instance of the fleet.
type instance struct {
	name                                       string
	callers, nodes, control, operators, server netip.AddrPort
	// front is the proxy before the listener for nodes.
	front    *proxy
	settings string

	mutex  sync.Mutex
	node   *process
	backer *process
}

// process is a process of the fleet.
type process struct {
	*exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// fleetOf is a fleet of real processes, with the proxies before them.
type fleetOf struct {
	program   string
	folder    string
	instances []*instance
	platform  *process
	store     netip.AddrPort
	before    *proxy
	client    *http.Client
	// revision counts the texts of rules that were published.
	mutex sync.Mutex
	out   map[string]int
}

// StartError is a process of the fleet that did not start.
type StartError struct {
	Name  string
	Cause error
}

// Error names the process and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// free returns count loopback addresses on which nothing listens now.
func free(count int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list, nil
}

// run starts a process of the program, whose output goes to a file of its name.
func (f *fleetOf) run(name string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(f.program, args...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	p := &process{Cmd: c, ended: make(chan struct{})}
	go func() {
		// How a process ends is up to the fault that ends it.
		_ = c.Wait()
		close(p.ended)
	}()
	return p, nil
}

// start starts the whole fleet in a folder.
func start(program, folder string, count int) (*fleetOf, error) {
	f := &fleetOf{program: program, folder: folder, client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: checkers}}, out: make(map[string]int)}
	ports, err := free(2 + 6*count)
	if err != nil {
		return nil, &StartError{Name: "ports", Cause: err}
	}
	f.store = ports[0]
	if f.before, err = newProxy(ports[1], f.store); err != nil {
		return nil, &StartError{Name: "proxy", Cause: err}
	}
	var list []fleet.Instance
	for i := range count {
		p := ports[2+6*i:]
		n := &instance{name: fmt.Sprintf("ledger-%d", i), callers: p[0], nodes: p[1], control: p[2], operators: p[3], server: p[4]}
		if n.front, err = newProxy(p[5], n.nodes); err != nil {
			return f, &StartError{Name: "proxy", Cause: err}
		}
		f.instances = append(f.instances, n)
		list = append(list, fleet.Instance{Name: n.name, Centre: centres[i%len(centres)], Service: "ledger", Nodes: p[5], Control: n.control})
	}
	return f, f.startProcesses(list)
}

// startProcesses starts the platform, and the backend servers and nodes of list.
func (f *fleetOf) startProcesses(list []fleet.Instance) error {
	text, err := fleet.Format(list)
	if err != nil {
		return &StartError{Name: "list", Cause: err}
	}
	rulesFile, listFile := filepath.Join(f.folder, "rules"), filepath.Join(f.folder, "instances")
	for name, content := range map[string]string{rulesFile: ruleText, listFile: text} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			return &StartError{Name: name, Cause: err}
		}
	}
	if f.platform, err = f.run("platform", "stand", "platform", "--listen", f.store.String(), "--rules", rulesFile, "--instances", listFile); err != nil {
		return err
	}
	for i, n := range f.instances {
		n.settings = filepath.Join(f.folder, n.name+".yaml")
		settings := fmt.Sprintf("instance: %s\ncentre: %s\nservice: ledger\ncallers: %v\nnodes: %v\ncontrol: %v\noperators: %v\n"+
			"server: %v\nplatform: %v\ndrain: 500ms\nlag: 4s\n", n.name, list[i].Centre, n.callers, n.nodes, n.control, n.operators, n.server, f.before.listener.Addr())
		if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
			return &StartError{Name: n.name, Cause: err}
		}
		if n.backer, err = f.run(n.name+"-server", "stand", "server", "--listen", n.server.String(), "--name", n.name, "--service-time", "5ms"); err != nil {
			return err
		}
		if n.node, err = f.run(n.name, "node", "--settings", n.settings); err != nil {
			return err
		}
	}
	return nil
}

// stop ends every process that the soak started.
func (f *fleetOf) stop() {
	for _, n := range f.instances {
		n.mutex.Lock()
		for _, c := range []*process{n.node, n.backer} {
			end(c)
		}
		n.mutex.Unlock()
		n.front.close()
	}
	end(f.platform)
	f.before.close()
}

// end kills a process and waits for its end.
func end(p *process) {
	if p == nil {
		return
	}
	// One that has ended already cannot be killed, which is as good.
	_ = p.Process.Kill()
	<-p.ended
}

// supervise starts the nodes again that have ended without an order, as the platform does.
func (f *fleetOf) supervise() error {
	for _, n := range f.instances {
		if !n.mutex.TryLock() {
			continue
		}
		var err error
		if n.node.hasEnded() {
			n.node, err = f.run(n.name, "node", "--settings", n.settings)
		}
		n.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// restart ends the node of an instance by s and starts it again once it has ended.
func (f *fleetOf) restart(n *instance, s syscall.Signal) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = n.node.Process.Signal(syscall.SIGCONT)
	_ = n.node.Process.Signal(s)
	<-n.node.ended
	var err error
	n.node, err = f.run(n.name, "node", "--settings", n.settings)
	return err
}

// signal sends s to the node, or to the backend server, of an instance.
func (n *instance) signal(s syscall.Signal, server bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c := n.node
	if server {
		c = n.backer
	}
	// A process that is being started again takes no signal, and needs none.
	_ = c.Process.Signal(s)
}

// setOut takes a data centre out, or back in where on is false. Orders may overlap.
func (f *fleetOf) setOut(centre string, on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if on {
		f.out[centre]++
	} else {
		f.out[centre]--
	}
	text := ruleText
	for name, count := range f.out {
		if count > 0 && len(f.out) > 0 && name != centres[0] {
			text += fmt.Sprintf("out centre=%s   # soak: an order\n", name)
		}
	}
	r, err := f.client.Post("http://"+f.store.String()+"/control/rules", "text/plain", strings.NewReader(text))
	if err == nil {
		_ = r.Body.Close()
	}
}

// status returns the state of the node of an instance.
func (f *fleetOf) status(n *instance) (oper.Status, error) {
	var s oper.Status
	return s, f.get(n.operators, "/status", &s)
}

// runs returns how often the request of the given id ran anywhere.
func (f *fleetOf) runs(id string) (int, error) {
	total := 0
	for _, n := range f.instances {
		var counted struct{ Runs int }
		if err := f.get(n.server, "/control/runs?id="+id, &counted); err != nil {
			return 0, err
		}
		total += counted.Runs
	}
	return total, nil
}

// get reads a JSON answer.
func (f *fleetOf) get(a netip.AddrPort, path string, into any) error {
	r, err := f.client.Get("http://" + a.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return json.NewDecoder(r.Body).Decode(into)
}

// ready waits until every node is ready.
func (f *fleetOf) ready(ctx context.Context) error {
	for _, n := range f.instances {
		for {
			s, err := f.status(n)
			if err == nil && s.Rules > 0 && s.Fleet > 0 {
				break
			}
			select {
			case <-ctx.Done():
				return &StartError{Name: n.name, Cause: ctx.Err()}
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
