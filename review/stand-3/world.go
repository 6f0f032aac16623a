package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one small deployment: a store, backends, and one node beside each backend.
type world struct {
	dir    string
	record *record
	store  *store
	nodes  []*node
	// ports are the same on every machine.
	outbound, inbound, ready, app, internal, storePort int
	prefix                                             string
	config                                             *config
	// heartbeats ends the heartbeats of the backends.
	heartbeats chan struct{}
	stopped    sync.Once
}

// node is a machine: the node process and the backend beside it.
type node struct {
	world   *world
	index   int
	ip      string
	zone    string
	service string
	backend *backend
	path    string
	logs    *os.File
	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format, a...)
	fmt.Fprintln(r.file)
}

// newWorld chooses free addresses and starts the store. Machine i has the address prefix.i.
func newWorld(record *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, heartbeats: make(chan struct{})}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 40+rand.IntN(150), rand.IntN(250))
		base := 12000 + rand.IntN(18000)
		w.outbound, w.inbound, w.ready, w.app, w.internal, w.storePort = base, base+1, base+2, base+3, base+10, base+30
		if w.portsAreFree() {
			break
		}
	}
	w.store, err = newStore(fmt.Sprintf("%s.250:%d", w.prefix, w.storePort), record)
	return w, err
}

// portsAreFree tries the ports of the first machines.
func (w *world) portsAreFree() bool {
	for i := 1; i <= 24; i++ {
		for _, port := range []int{w.outbound, w.inbound, w.ready, w.app, w.internal, 9464} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.prefix, i, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addNode adds a machine with a backend of service in zone. The backend runs at once; the node process is
// started by start.
func (w *world) addNode(zone, service string, o backendOptions) (*node, error) {
	i := len(w.nodes) + 1
	n := &node{world: w, index: i, ip: fmt.Sprintf("%s.%d", w.prefix, i), zone: zone, service: service}
	o.service, o.zone, o.address = service, zone, fmt.Sprintf("%s:%d", n.ip, w.app)
	var err error
	if n.backend, err = newBackend(w, o); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	n.path = filepath.Join(w.dir, fmt.Sprintf("node-%d.yaml", i))
	if n.logs, err = os.Create(filepath.Join(w.dir, fmt.Sprintf("node-%d.log", i))); err != nil {
		return nil, err
	}
	return n, n.writeSettings()
}

// fields returns the fields from which the platform fills in the template of the settings.
func (n *node) fields() map[string]any {
	w := n.world
	return map[string]any{
		"zone": n.zone, "service": n.service, "ip": n.ip, "appAddr": fmt.Sprintf("%s:%d", n.ip, w.app),
		"listen.outbound": fmt.Sprintf("%s:%d", n.ip, w.outbound), "listen.inbound": fmt.Sprintf("%s:%d", n.ip, w.inbound),
		"listen.ready": fmt.Sprintf("%s:%d", n.ip, w.ready), "internalPorts.0": fmt.Sprint(w.internal),
		"platform.address": w.store.address, "limits.linkMbps": 1000.0, "limits.memoryMb": 284, "limits.maxFds": 4100,
		"bounds.coldOverage": 1.5, "bounds.coldSlack": 5,
	}
}

var (
	section     = regexp.MustCompile(`\{\{#([a-zA-Z.]+)\}\}(.*?)\{\{/([a-zA-Z.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z.0-9]+)(\|json)?\}\}`)
)

// writeSettings fills in deploy/node.yaml, as the deploy file asks the platform to.
func (n *node) writeSettings() error {
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return err
	}
	fields := n.fields()
	text := section.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := section.FindStringSubmatch(match)
		if _, ok := fields[parts[1]]; !ok {
			return ""
		}
		return parts[2]
	})
	text = placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := fields[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		quoted, _ := json.Marshal(value)
		return string(quoted)
	})
	return os.WriteFile(n.path, []byte(text), 0o600)
}

// start starts the node process with the command of the deploy file.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	program, err := filepath.Abs("target/bulrushlock")
	if err != nil {
		return err
	}
	c := exec.Command(program, "node")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHLOCK_BOOT=" + n.path}
	c.Stdout, c.Stderr = n.logs, n.logs
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.command, n.ended = c, ended
	n.world.record.add("machine %d (%s, %s): process %d started", n.index, n.service, n.zone, c.Process.Pid)
	go func() {
		err := c.Wait()
		n.world.record.add("machine %d: process %d ended: %v", n.index, c.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node process.
func (n *node) signal(s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.command != nil && !n.hasEnded() {
		n.world.record.add("machine %d: %v", n.index, s)
		_ = n.command.Process.Signal(s)
	}
}

// hasEnded reports whether the node process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// isReady asks the node whether it is ready.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", n.ip, n.world.ready))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// outboundAddress is the address to which requesters on the machine send.
func (n *node) outboundAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.world.outbound) }

// start starts all node processes and waits until all are ready and the bench's lead of 8 s has passed.
func (w *world) start() error {
	for _, n := range w.nodes {
		go n.backend.beat(w.heartbeats)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	lead := time.Now().Add(8 * time.Second)
	for limit := time.Now().Add(20 * time.Second); ; {
		count := 0
		for _, n := range w.nodes {
			if n.isReady() {
				count++
			}
		}
		if count == len(w.nodes) && time.Now().After(lead) {
			return nil
		}
		if time.Now().After(limit) {
			return errors.New("nodes did not become ready")
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// stop ends all processes that were started, and the stand-ins.
func (w *world) stop() { w.stopped.Do(w.end) }

// end does what stop says.
func (w *world) end() {
	close(w.heartbeats)
	for _, n := range w.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		if n.ended != nil {
			<-n.ended
		}
		n.backend.stop()
		_ = n.logs.Close()
	}
	w.store.stop()
	_ = os.RemoveAll(w.dir)
}

// config is the operator's configuration.
type config struct {
	Version  string           `json:"version"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Hosts    []*virtualHost   `json:"virtualHosts"`
}

type virtualHost struct {
	Host  string           `json:"host"`
	Paths []map[string]any `json:"paths"`
}

// newConfig returns a configuration with the given services, as a site file has it.
func newConfig(services ...string) *config {
	c := &config{Limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}}
	for _, s := range services {
		c.Services = append(c.Services, map[string]any{
			"name": s, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false, "coldPeriodS": 3.0, "warmupPerS": 11.0,
		})
	}
	return c
}

// addRoute adds a route. Further fields are given by name and value.
func (c *config) addRoute(host, name, prefix, kind, service string, more ...any) {
	var h *virtualHost
	for _, o := range c.Hosts {
		if o.Host == host {
			h = o
		}
	}
	if h == nil {
		h = &virtualHost{Host: host}
		c.Hosts = append(c.Hosts, h)
	}
	r := map[string]any{"name": name, "pathPrefix": prefix, "kind": kind, "service": service, "priority": 1, "maxAttempts": 2, "targetLatencyS": 0.5}
	for i := 0; i+1 < len(more); i += 2 {
		r[more[i].(string)] = more[i+1]
	}
	h.Paths = append(h.Paths, r)
}

// publish writes the configuration to the store as the given version.
func (w *world) publish(c *config, version int) {
	c.Version = fmt.Sprintf("%08x", version)
	text, _ := json.Marshal(c)
	w.store.put("op/config", text)
	w.record.add("operator: version %s acknowledged", c.Version)
}

// stampOf returns the Response-Stamp of a backend's response to a request.
func stampOf(id, instance string, status int) string {
	return strings.Join([]string{instance, id, fmt.Sprint(status)}, ".")
}

const (
	deskHost  = "jepu9.example"
	filesHost = "hulo84.example"
)

// twoServices adds a machine of each of two services in each of three zones.
func (w *world) twoServices(a, b string) error {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for _, s := range []string{a, b} {
			if _, err := w.addNode(zone, s, backendOptions{}); err != nil {
				return err
			}
		}
	}
	return nil
}
