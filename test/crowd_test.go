package test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowdSize is the number of connections that a crowd opens at the same time.
	crowdSize = 500
	// crowdMemory is the memory of the node's instance in megabytes, and crowdFiles the number of
	// descriptors that it may have open. The tests pass both as settings, and check them.
	crowdMemory = 48
	crowdFiles  = 400
	// crowdSteps is the number of times that a member of a crowd that trickles sends one more byte,
	// and crowdPause the time before each.
	crowdSteps = 40
	crowdPause = 100 * time.Millisecond
)

// crowd is what each connection of a crowd sends.
type crowd struct {
	start string
	// repeated is sent without end, unless it is empty.
	repeated string
	// slow is sent byte by byte after start, over and over, unless it is empty.
	slow string
	// held reports that the connections stay open without sending anything more.
	held bool
}

// crowdNode is a node that meets a crowd.
type crowdNode struct {
	*floodNode
	// descriptors is the largest number of open descriptors that was seen.
	descriptors atomic.Int64
}

// newCrowdNode starts a node with low limits, which serves requests.
func newCrowdNode(t *testing.T) *crowdNode {
	t.Helper()
	ready := freeAddresses(qt.New(t), 1)[0]
	lines := fmt.Sprintf("memory: %d\nfiles: %d\nready: %v\n", crowdMemory, crowdFiles, ready)
	n := &crowdNode{floodNode: newLimitedFloodNode(t, newTestServer(), sameHandler, "ledger", lines)}
	n.ready = ready
	n.waitServed()
	return n
}

// countDescriptors notes the number of descriptors that the node has open.
func (n *crowdNode) countDescriptors() {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.command.Process.Pid))
	if err == nil && int64(len(list)) > n.descriptors.Load() {
		n.descriptors.Store(int64(len(list)))
	}
}

// meet lets a crowd connect to the listener at a, and checks the node during and after it.
func (n *crowdNode) meet(a netip.AddrPort, w crowd) {
	n.c.Helper()
	pid := n.process.command.Process.Pid
	stop, counted := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(counted)
		for {
			n.countDescriptors()
			select {
			case <-stop:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	release := make(chan struct{})
	var sent, all sync.WaitGroup
	sent.Add(crowdSize)
	for range crowdSize {
		all.Go(func() { w.run(a, sent.Done, release) })
	}
	sent.Wait()
	n.countDescriptors()
	// The connections that the node has left open are still there.
	n.waitServed()
	close(release)
	all.Wait()
	close(stop)
	<-counted
	n.waitServed()
	n.c.Check(n.process.hasEnded(), qt.IsFalse)
	n.c.Check(n.process.command.Process.Pid, qt.Equals, pid)
	peak := n.memory("VmHWM")
	n.c.Logf("peak memory %d KB, %d descriptors", peak, n.descriptors.Load())
	n.c.Check(peak < crowdMemory<<10, qt.IsTrue, qt.Commentf("peak memory %d KB", peak))
	n.c.Check(n.descriptors.Load() <= crowdFiles, qt.IsTrue, qt.Commentf("%d descriptors", n.descriptors.Load()))
}

// run opens one connection to a and sends what the crowd sends until the node closes it. It calls
// sent when nothing more is to be sent, and keeps the connection open until release is closed.
func (w crowd) run(a netip.AddrPort, sent func(), release <-chan struct{}) {
	c, err := net.DialTimeout("tcp", a.String(), maxWait)
	if err != nil {
		sent()
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(maxWait))
	var answered sync.WaitGroup
	answered.Go(func() { _, _ = io.Copy(io.Discard, c) })
	defer answered.Wait()
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, w.start)
	for text := strings.Repeat(w.repeated, 1<<16/max(len(w.repeated), 1)); err == nil && w.repeated != ""; {
		_, err = io.WriteString(c, text)
	}
	for i := 0; err == nil && w.slow != "" && i < crowdSteps; i++ {
		time.Sleep(crowdPause)
		_, err = io.WriteString(c, w.slow[i%len(w.slow):][:1])
	}
	sent()
	if w.held {
		<-release
	}
}

const (
	// crowdHead is the start of the head of a request, and crowdChunked a head before a body in
	// chunks.
	crowdHead    = "GET /lines/a HTTP/1.1\r\nHost: a\r\n"
	crowdChunked = "POST /lines/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func TestCrowdOfEndlessRequestLines(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: "GET /", repeated: "x"})
}

func TestCrowdOfEndlessFields(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdHead + "A: ", repeated: "x"})
}

func TestCrowdOfFieldsWithoutEnd(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdHead, repeated: "A: b\r\n"})
}

func TestCrowdOfSlowLongFields(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdHead + "A: " + strings.Repeat("x", 30_000), slow: "x", held: true})
}

// The heads are within the limits on their size: 4,000 fields in 16,000 bytes.
func TestCrowdOfSlowTinyFields(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdHead + strings.Repeat("a:\r\n", 4000), slow: "x", held: true})
}

// The heads are complete, and their bodies don't come.
func TestCrowdOfTinyFieldsWithoutBodies(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: "POST /lines/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n", held: true})
}

// The bodies are small enough to be buffered whole.
func TestCrowdOfSlowBodies(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: "POST /lines/a HTTP/1.1\r\nHost: a\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65_000), slow: "x", held: true})
}

// The bodies are too large to be buffered, and are forwarded while they arrive.
func TestCrowdOfSlowLargeBodies(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: "POST /lines/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 100_000), slow: "x", held: true})
}

func TestCrowdOfSlowLargeChunks(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdChunked + "fffffff\r\n" + strings.Repeat("x", 100_000), slow: "x", held: true})
}

func TestCrowdOfDistinctFields(t *testing.T) {
	n := newCrowdNode(t)
	var fields strings.Builder
	for i := range 2500 {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	n.meet(n.callers, crowd{start: "POST /lines/a HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n" + fields.String() + "\r\n", held: true})
}

// The connections have had a response, and are kept for the next request.
func TestCrowdOfKeptConnections(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdHead + "\r\n", held: true})
}

func TestCrowdOfPipelinedRequests(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: strings.Repeat(crowdHead+"\r\n", 100), held: true})
}

func TestCrowdOfEmptyLines(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{repeated: "\r\n"})
}

func TestCrowdOfEndlessChunkExtensions(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdChunked + "1;", repeated: "x"})
}

func TestCrowdOfEndlessTrailers(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{start: crowdChunked + "0\r\n", repeated: "A: b\r\n"})
}

func TestCrowdOfSilentConnections(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.callers, crowd{held: true})
}

func TestCrowdAtNodesListener(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.nodes, crowd{start: crowdHead + "A: ", repeated: "x"})
}

func TestCrowdAtOperatorsListener(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.operators, crowd{start: crowdHead + "A: ", repeated: "x"})
}

func TestCrowdAtReadyListener(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.ready, crowd{start: crowdHead + "A: ", repeated: "x"})
}

// Each message announces 10 MB, of which the node would make room before they come.
func TestCrowdAtControlListener(t *testing.T) {
	n := newCrowdNode(t)
	n.meet(n.control, crowd{start: "\xfd\x98\x96\x80", repeated: "\x00"})
}
