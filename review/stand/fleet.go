package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: a store, backend servers and the nodes beside them.
type fleet struct {
	mutex    sync.Mutex
	file     *os.File
	began    time.Time
	folder   string
	network  string
	ports    map[string]int
	store    *store
	nodes    []*node
	backends []*backend
	closed   bool
}

// node is a process of the project and the machine that it runs on.
type node struct {
	fleet   *fleet
	ip      string
	zone    string
	service string
	backend *backend
	command *exec.Cmd
	ended   chan struct{}
}

// machine is one machine of a deployment.
type machine struct {
	zone, service string
}

// firstMachine is the last part of the address of the first machine.
const firstMachine = 10

// newFleet returns a fleet without machines whose record is written to path.
func newFleet(path string) (*fleet, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{file: file, began: time.Now(), folder: folder, ports: make(map[string]int)}
	f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	if f.store, err = newStore(f.address(1, "store")); err != nil {
		return nil, err
	}
	return f, nil
}

// metricsPort is the port for operators in the template of the settings.
const metricsPort = 9464

// choosePorts chooses the ports of all machines, below those that the system gives to outgoing
// connections. It fails if one of them is in use.
func (f *fleet) choosePorts() error {
	first := 20_000 + rand.IntN(8_000)
	for i, name := range []string{"outbound", "inbound", "ready", "app", "internal", "store"} {
		f.ports[name] = first + i
	}
	f.ports["metrics"] = metricsPort
	for name := range f.ports {
		for _, number := range []int{1, firstMachine} {
			l, err := net.Listen("tcp", f.address(number, name))
			if err != nil {
				return err
			}
			_ = l.Close()
		}
	}
	return nil
}

// address returns the address of a named port on the machine with a number.
func (f *fleet) address(number int, port string) string {
	return fmt.Sprintf("%s.%d:%d", f.network, number, f.ports[port])
}

// record writes one line of the record.
func (f *fleet) record(format string, a ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, _ = fmt.Fprintf(f.file, "%9.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, a...))
}

const (
	// spell is how long a disruption lasts, and pause the time between two of them.
	spell = 5 * time.Second
	pause = 2 * time.Second
)

// isInSpell reports whether the disruption of the case is played now.
func (f *fleet) isInSpell() bool {
	return isTroubled() && time.Since(f.began)%(spell+pause) < spell
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mutex.Lock()
	if f.closed {
		f.mutex.Unlock()
		return
	}
	f.closed = true
	f.mutex.Unlock()
	for _, n := range f.nodes {
		n.kill()
	}
	_ = os.RemoveAll(f.folder)
}

// config is the operator's configuration for one route of each kind to a service.
func (f *fleet) config(version string, services []string, paths []map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 260, "protocol": "h1", "tls": false, "coldPeriodS": 3.0, "warmupPerS": 11.0})
	}
	return map[string]any{
		"version": version, "services": list,
		"limits":       map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"virtualHosts": []map[string]any{{"host": "desk.example", "paths": paths}},
	}
}

// start starts the backend servers and nodes of machines, registers them, and waits until all
// nodes are ready and their backend servers are warm.
func (f *fleet) start(machines []machine, config map[string]any, serve func(*exchange)) error {
	for i, m := range machines {
		b, err := newBackend(f, f.address(firstMachine+i, "app"), m, serve)
		if err != nil {
			return err
		}
		f.backends = append(f.backends, b)
		f.nodes = append(f.nodes, &node{fleet: f, ip: fmt.Sprintf("%s.%d", f.network, firstMachine+i), zone: m.zone, service: m.service, backend: b})
	}
	f.store.put("op/config", config)
	for _, b := range f.backends {
		b.register("ready")
		go b.beat()
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	f.record("%d nodes are ready", len(f.nodes))
	return nil
}

// start starts the process of the node with the command of the deploy file.
func (n *node) start() error {
	f := n.fleet
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return err
	}
	host := func(port string) string { return fmt.Sprintf("%s:%d", n.ip, f.ports[port]) }
	text := render(string(template), map[string]any{
		"zone": n.zone, "service": n.service, "ip": n.ip,
		"listen.outbound": host("outbound"), "listen.inbound": host("inbound"), "listen.ready": host("ready"),
		"internalPorts.0": f.ports["internal"], "appAddr": n.backend.address, "platform.address": f.store.address,
		"limits.linkMbps": 1000.0, "bounds.coldOverage": 1.5, "bounds.coldSlack": 5,
	})
	path := filepath.Join(f.folder, n.ip+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command("target/bulrushlock", "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "BULRUSHLOCK_BOOT=" + path}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startLocked(n.command); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(n.command, n.ended)
	return nil
}

// starts passes commands to the goroutine that starts them.
var starts = make(chan func())

func init() {
	go func() {
		// A child is killed when the thread that has started it ends, so this one never does.
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
}

// startLocked starts a command in a thread that lives as long as this process.
func startLocked(c *exec.Cmd) error {
	failed := make(chan error)
	starts <- func() { failed <- c.Start() }
	return <-failed
}

// logPath returns the path of the log of the node's process.
func (n *node) logPath() string { return filepath.Join(n.fleet.folder, n.ip+".log") }

// signal sends a signal to the process of the node.
func (n *node) signal(s syscall.Signal) {
	if n.command != nil && n.command.Process != nil {
		_ = n.command.Process.Signal(s)
	}
}

// kill ends the process of the node and waits for its end.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// hasEnded reports whether the process of the node has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/v1/readyz", n.ip, n.fleet.ports["ready"]))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.hasEnded() {
			text, _ := os.ReadFile(n.logPath())
			return fmt.Errorf("node %s has ended: %s", n.ip, text[max(0, len(text)-400):])
		}
		if n.isReady() {
			return nil
		}
	}
	return errors.New("a node is not ready in time")
}

// outbound returns the address for the clients of the node's machine.
func (n *node) outbound() string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.ports["outbound"]) }

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the placeholders and sections of a template that the deploy file may use.
func render(text string, values map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if _, ok := values[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return strings.TrimSpace(fmt.Sprint(v))
	})
}
