package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// program is the program of the deploy file, and template its settings.
	program  = "target/bulrushlock"
	template = "deploy/node.yaml"
	// heartbeat is the time between two writes of a server's registration.
	heartbeat = 1500 * time.Millisecond
)

// Bounds of the small sites.
const (
	graceTime   = 6 * time.Second
	contactTime = 3 * time.Second
)

// Node is one process of the system beside one server.
type Node struct {
	deployment *Deployment
	ip         string
	service    string
	settings   string
	server     *Server
	process    *exec.Cmd
	ended      chan struct{}
	log        *os.File
}

// Deployment is a small deployment on loopback addresses: the store, servers and nodes.
type Deployment struct {
	store   *Store
	nodes   []*Node
	folder  string
	ports   map[string]int
	version int
	record  *Record
	stopped chan struct{}
	once    sync.Once
}

// NewDeployment starts the store and selects free ports. Settings and logs go to a temporary folder.
func NewDeployment(record *Record) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{folder: folder, ports: make(map[string]int), version: 6, record: record, stopped: make(chan struct{})}
	for _, name := range []string{"inbound", "outbound", "ready", "internal", "operators"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		d.ports[name] = l.Addr().(*net.TCPAddr).Port
	}
	if d.store, err = NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	opened.Store(d)
	return d, nil
}

// opened is the deployment of this process.
var opened atomic.Pointer[Deployment]

// closeAll closes the deployment of this process.
func closeAll() {
	if d := opened.Load(); d != nil {
		d.Close()
	}
}

// Add adds a server with its node and starts the server.
func (d *Deployment) Add(service, zone string, slots int, choose func(*http.Request) Answer) (*Node, error) {
	ip := fmt.Sprintf("127.77.%d.%d", 1+os.Getpid()%250, len(d.nodes)+1)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	_ = l.Close()
	s := &Server{store: d.store, record: d.record, service: service, zone: zone, address: address, slots: slots, choose: choose}
	n := &Node{deployment: d, ip: ip, service: service, server: s, settings: filepath.Join(d.folder, ip+".yaml")}
	text, err := d.render(n, zone)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, s.Start()
}

var (
	sectionPattern = regexp.MustCompile(`\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

// render fills in the project's template of the settings, as the platform does.
func (d *Deployment) render(n *Node, zone string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	address := func(port string) string { return fmt.Sprintf("%s:%d", n.ip, d.ports[port]) }
	values := map[string]string{
		"ip": n.ip, "zone": zone, "service": n.service, "appAddr": n.server.address, "platform.address": d.store.address,
		"listen.inbound": address("inbound"), "listen.outbound": address("outbound"), "listen.ready": address("ready"),
		"internalPorts.0":    fmt.Sprint(d.ports["internal"]),
		"limits.linkMbps":    "1000.0",
		"limits.memoryMb":    "284",
		"limits.maxFds":      "4100",
		"bounds.coldSlack":   "5",
		"bounds.coldOverage": "1.5",
	}
	rendered := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if values[parts[1]] == "" {
			return ""
		}
		return parts[2]
	})
	rendered = valuePattern.ReplaceAllStringFunc(rendered, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		if parts[2] == "" {
			return values[parts[1]]
		}
		quoted, _ := json.Marshal(values[parts[1]])
		return string(quoted)
	})
	// The deployments have one address for each machine, and the port of the operators there.
	return strings.ReplaceAll(rendered, ":9464", fmt.Sprintf(":%d", d.ports["operators"])), nil
}

// Route is a route of the configuration.
type Route struct {
	// Host is empty for the virtual host that all requests go to.
	Host, Name, Prefix, Kind, Service string
	Timeout, Target                   time.Duration
}

// host is the virtual host of the routes to which requests go.
const host = "desk.example"

// Configure writes a configuration as the operator does, and returns its size in bytes.
func (d *Deployment) Configure(routes []Route) int {
	d.version++
	services := make(map[string]bool)
	var list, hosts []any
	for _, n := range d.nodes {
		if services[n.service] {
			continue
		}
		services[n.service] = true
		list = append(list, map[string]any{"name": n.service, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false, "coldPeriodS": 3.0, "warmupPerS": 31.0})
	}
	var names []string
	paths := make(map[string][]any)
	for _, r := range routes {
		name := cmp.Or(r.Host, host)
		if len(paths[name]) == 0 {
			names = append(names, name)
		}
		paths[name] = append(paths[name], map[string]any{"name": r.Name, "pathPrefix": r.Prefix, "kind": r.Kind, "timeoutS": r.Timeout.Seconds(), "targetLatencyS": r.Target.Seconds(), "priority": 2, "service": r.Service, "maxAttempts": 2})
	}
	for _, name := range names {
		hosts = append(hosts, map[string]any{"host": name, "paths": paths[name]})
	}
	size := d.store.Put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", d.version), "services": list, "virtualHosts": hosts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	d.record.Printf("configuration %08x acknowledged: %d routes, %d bytes", d.version, len(routes), size)
	return size
}

// Evacuate asks that nothing more is sent to the servers of a zone.
func (d *Deployment) Evacuate(zone string) {
	d.store.Put("op/evacuate/"+zone, map[string]any{})
	d.record.Printf("evacuation of %s acknowledged", zone)
}

// Start starts all nodes, and waits until they are ready and have been in touch.
func (d *Deployment) Start() error {
	go d.beat()
	for _, n := range d.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if !n.waitReady(15 * time.Second) {
			return fmt.Errorf("node %s is not ready; its log is in %s", n.ip, d.folder)
		}
	}
	time.Sleep(contactTime + time.Second)
	return nil
}

// beat writes the registrations of all servers until the deployment is closed.
func (d *Deployment) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, n := range d.nodes {
				n.server.Register()
			}
		case <-d.stopped:
			return
		}
	}
}

// Close ends all processes that the deployment started.
func (d *Deployment) Close() {
	d.once.Do(func() {
		close(d.stopped)
		for _, n := range d.nodes {
			if n.process != nil {
				_ = n.process.Process.Kill()
				<-n.ended
			}
		}
		_ = os.RemoveAll(d.folder)
	})
}

// Start starts the process of the node with the command of the deploy file.
func (n *Node) Start() error {
	var err error
	if n.log, err = os.Create(filepath.Join(n.deployment.folder, n.ip+".log")); err != nil {
		return err
	}
	c := exec.Command(program, "node")
	c.Env = append(os.Environ(), "BULRUSHLOCK_BOOT="+n.settings)
	c.Stdout, c.Stderr = n.log, n.log
	if err := c.Start(); err != nil {
		return err
	}
	n.process, n.ended = c, make(chan struct{})
	go func() {
		_ = c.Wait()
		close(n.ended)
	}()
	return nil
}

// Stop asks the process to end as the platform does: SIGTERM, and SIGKILL after the grace time.
func (n *Node) Stop() {
	n.deployment.record.Printf("signal SIGTERM to node %s", n.ip)
	_ = n.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
		n.deployment.record.Printf("node %s ended", n.ip)
	case <-time.After(graceTime):
		n.deployment.record.Printf("signal SIGKILL to node %s", n.ip)
		_ = n.process.Process.Kill()
		<-n.ended
	}
}

// waitReady waits until the node answers the platform's question with 200.
func (n *Node) waitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", n.ip, n.deployment.ports["ready"]))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Requests returns the address at which the node takes requests.
func (n *Node) Requests() string {
	return fmt.Sprintf("%s:%d", n.ip, n.deployment.ports["outbound"])
}
