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
	"sync/atomic"
	"syscall"
	"time"

	"bulrushlock/core/fleet"
	"bulrushlock/io/admin"
)

// centres are the data centres of the instances, which are spread over them in turn.
var centres = []string{"north", "south", "east"}

// rulesText is the text of the rules that the platform publishes.
const rulesText = `service ledger slots=8 cold=4 warm=4   # soak: one service
route * /lines/* service=ledger idempotent=yes time=3s   # soak: lookups
route POST /claims service=ledger idempotent=no time=3s   # soak: claims
`

// instance is a backend server and its node, each a process of its own.
type instance struct {
	name                                       string
	callers, nodes, control, operators, server netip.AddrPort
	// nodeProxy is the proxy that other nodes connect to instead of the listener nodes.
	nodeProxy *proxy
	settings  string

	mutex         sync.Mutex
	node          *process
	serverProcess *process
}

// process is a running process of the deployment.
type process struct {
	*exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitStatus returns how the process exited, or an empty text while it runs.
func (p *process) exitStatus() string {
	if !p.hasExited() {
		return ""
	}
	return p.ProcessState.String()
}

// deployment is a set of real processes and the proxies in front of them.
type deployment struct {
	program         string
	folder          string
	instances       []*instance
	platform        *process
	platformAddress netip.AddrPort
	platformProxy   *proxy
	client          *http.Client
	// mutex guards evacuations, which counts the ongoing evacuations of each data centre,
	// versions, the number of rules published before the current ones, and firstEditionAt, the time at
	// which the first ones were published with their edition.
	mutex          sync.Mutex
	evacuations    map[string]int
	versions       int
	firstEditionAt time.Time
}

// StartError reports a part of the deployment that did not start or become ready.
type StartError struct {
	Name  string
	Cause error
}

// Error returns a message with the name of the part and the cause.
func (e *StartError) Error() string { return fmt.Sprintf("start %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

const (
	// minPort and portCount are the ports of deployments. They lie below the range from
	// which the kernel takes the ports of outgoing connections.
	minPort   = 2_000
	portCount = 10_000
	// portsPerProcess is the distance of the first ports of soaks with successive process
	// IDs, so that soaks that start at the same time do not choose the same ports, each for up to
	// twenty runs.
	portsPerProcess = 1_000
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Uint32

// freeAddresses returns count loopback addresses that are currently not in use. No two calls
// return the same address before all ports were tried.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range portCount {
		if len(list) == count {
			return list, nil
		}
		offset := (uint32(os.Getpid())*portsPerProcess + portsTried.Add(1)) % portCount
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(minPort+offset))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return nil, &net.AddrError{Err: "no free port", Addr: "127.0.0.1"}
}

// spawn starts a process of the program and appends its output to NAME.log.
func (d *deployment) spawn(name string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(d.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(d.program, args...)
	c.Stdout, c.Stderr = out, out
	// A group of its own keeps a paused process from the SIGHUP that the kernel sends to
	// orphaned groups with paused processes.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	p := &process{Cmd: c, exited: make(chan struct{})}
	go func() {
		// The error repeats the exit status, which exitStatus returns.
		_ = c.Wait()
		close(p.exited)
	}()
	return p, nil
}

// newClient returns the client for the operators' listeners of nodes and for the backend
// servers.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: checkWorkers}}
}

// startDeployment starts all processes, with their files in folder. If it fails after
// the first proxy was started, it may return a partial deployment with the error.
func startDeployment(program, folder string, count int) (*deployment, error) {
	d := &deployment{program: program, folder: folder, client: newClient(), evacuations: make(map[string]int)}
	ports, err := freeAddresses(2 + 6*count)
	if err != nil {
		return nil, &StartError{Name: "ports", Cause: err}
	}
	d.platformAddress = ports[0]
	if d.platformProxy, err = newProxy(ports[1], d.platformAddress); err != nil {
		return nil, &StartError{Name: "proxy", Cause: err}
	}
	var list []fleet.Instance
	for i := range count {
		p := ports[2+6*i:]
		n := &instance{name: fmt.Sprintf("ledger-%d", i), callers: p[0], nodes: p[1], control: p[2], operators: p[3], server: p[4]}
		if n.nodeProxy, err = newProxy(p[5], n.nodes); err != nil {
			return d, &StartError{Name: "proxy", Cause: err}
		}
		d.instances = append(d.instances, n)
		list = append(list, fleet.Instance{Name: n.name, Centre: centres[i%len(centres)], Service: "ledger", ForwardAddr: p[5], ControlAddr: n.control})
	}
	return d, d.startProcesses(list)
}

// startProcesses starts the platform and the backend server and node of each instance
// in list.
func (d *deployment) startProcesses(list []fleet.Instance) error {
	text, err := fleet.Format(list)
	if err != nil {
		return &StartError{Name: "list", Cause: err}
	}
	rulesFile, listFile := filepath.Join(d.folder, "rules"), filepath.Join(d.folder, "instances")
	for name, content := range map[string]string{rulesFile: rulesText + customersText(0), listFile: text} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			return &StartError{Name: name, Cause: err}
		}
	}
	if d.platform, err = d.spawn("platform", "stand", "platform", "--listen", d.platformAddress.String(), "--rules", rulesFile, "--instances", listFile); err != nil {
		return err
	}
	for i, n := range d.instances {
		n.settings = filepath.Join(d.folder, n.name+".yaml")
		settings := fmt.Sprintf("instance: %s\ncentre: %s\nservice: ledger\ncallers: %v\nnodes: %v\ncontrol: %v\noperators: %v\n"+
			"server: %v\nplatform: %v\ndrain: 500ms\nlag: 4s\n", n.name, list[i].Centre, n.callers, n.nodes, n.control, n.operators, n.server, d.platformProxy.listener.Addr())
		if err := os.WriteFile(n.settings, []byte(settings), 0o600); err != nil {
			return &StartError{Name: n.name, Cause: err}
		}
		if n.serverProcess, err = d.spawn(n.name+"-server", "stand", "server", "--listen", n.server.String(), "--name", n.name, "--service-time", "5ms"); err != nil {
			return err
		}
		if n.node, err = d.spawn(n.name, "node", "--settings", n.settings); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes of the deployment and closes its proxies.
func (d *deployment) stop() {
	for _, n := range d.instances {
		n.mutex.Lock()
		for _, c := range []*process{n.node, n.serverProcess} {
			kill(c)
		}
		n.mutex.Unlock()
		n.nodeProxy.close()
	}
	kill(d.platform)
	d.platformProxy.close()
}

// kill kills a process and waits for its exit.
func kill(p *process) {
	if p == nil {
		return
	}
	// Kill fails only if the process has already exited.
	_ = p.Process.Kill()
	<-p.exited
}

// supervise restarts nodes that have exited on their own, as the platform does. It
// skips instances that are being restarted.
func (d *deployment) supervise() error {
	for _, n := range d.instances {
		if !n.mutex.TryLock() {
			continue
		}
		var err error
		if n.node.hasExited() {
			n.node, err = d.spawn(n.name, "node", "--settings", n.settings)
		}
		n.mutex.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// restart resumes the node of an instance if it is paused, sends s to it, waits for
// its exit and starts it again.
func (d *deployment) restart(n *instance, s syscall.Signal) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = n.node.Process.Signal(syscall.SIGCONT)
	_ = n.node.Process.Signal(s)
	<-n.node.exited
	var err error
	n.node, err = d.spawn(n.name, "node", "--settings", n.settings)
	return err
}

// signal sends s to the backend server of an instance if server is set, else to its node.
// The backend server is never replaced, so that its signals do not wait for a restart of
// the node.
func (n *instance) signal(s syscall.Signal, server bool) {
	c := n.serverProcess
	if !server {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		c = n.node
	}
	// Signal fails only if the process has exited; it then needs no signal.
	_ = c.Process.Signal(s)
}

// setEvacuated takes a data centre out of service, or ends such an evacuation if on is
// false, by publishing rules. Evacuations of the same data centre may overlap and are
// counted.
// The first data centre always stays in service.
func (d *deployment) setEvacuated(centre string, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if on {
		d.evacuations[centre]++
	} else {
		d.evacuations[centre]--
	}
	d.versions++
	d.publishRules()
}

// publishRules publishes the current rules. The mutex must be held.
func (d *deployment) publishRules() {
	text := rulesText + customersText(d.versions)
	for name, count := range d.evacuations {
		if count > 0 && len(d.evacuations) > 0 && name != centres[0] {
			text += fmt.Sprintf("out centre=%s   # soak: an order\n", name)
		}
	}
	// The rules at the start are the first edition.
	path := fmt.Sprintf("/control/rules?edition=%d", d.versions+1)
	r, err := d.client.Post("http://"+d.platformAddress.String()+path, "text/plain", strings.NewReader(text))
	if err == nil {
		_ = r.Body.Close()
	}
}

// publishFirstEdition publishes the rules of the start with their edition.
func (d *deployment) publishFirstEdition() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.publishRules()
	d.firstEditionAt = time.Now()
}

// returnPlatform makes the platform come back from a copy of some time ago, and publishes again what it
// lost. No copy is older than the first edition.
func (d *deployment) returnPlatform(age time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	age = min(age, time.Since(d.firstEditionAt))
	r, err := d.client.Post("http://"+d.platformAddress.String()+"/control/return?age="+age.String(), "text/plain", http.NoBody)
	if err == nil {
		_ = r.Body.Close()
	}
	time.Sleep(rewriteDelay)
	d.publishRules()
}

// rewriteDelay is the time after which the rules are published again that an older copy lacks.
const rewriteDelay = time.Second

// status returns the status of the node of an instance.
func (d *deployment) status(n *instance) (admin.Status, error) {
	var s admin.Status
	return s, d.getJSON(n.operators, "/status", &s)
}

// countRuns returns the number of runs of a request over all backend servers.
func (d *deployment) countRuns(id string) (int, error) {
	total := 0
	for _, n := range d.instances {
		var counted struct{ Runs int }
		if err := d.getJSON(n.server, "/control/runs?id="+id, &counted); err != nil {
			return 0, err
		}
		total += counted.Runs
	}
	return total, nil
}

// getJSON decodes the JSON response to a GET request.
func (d *deployment) getJSON(a netip.AddrPort, path string, into any) error {
	r, err := d.client.Get("http://" + a.String() + path)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return json.NewDecoder(r.Body).Decode(into)
}

// waitReady waits until every node holds rules and an instance list, and restarts nodes
// that exit meanwhile. It returns a *StartError if ctx is done first.
func (d *deployment) waitReady(ctx context.Context) error {
	for _, n := range d.instances {
		exit := ""
		for {
			s, err := d.status(n)
			if err == nil && s.Rules > 0 && s.Fleet > 0 {
				break
			}
			if status := n.node.exitStatus(); status != "" {
				exit = status
			}
			if err := d.supervise(); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return &StartError{Name: n.name, Cause: fmt.Errorf("%w; last exit of the node: %q", ctx.Err(), exit)}
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}
