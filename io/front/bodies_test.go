package front

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
	"bulrushlock/core/node"
	"bulrushlock/core/pick"
	"bulrushlock/core/shaper"
	"bulrushlock/core/ticket"
	"bulrushlock/io/egress"
	"bulrushlock/io/gate"
	"bulrushlock/io/loop"
	"bulrushlock/io/pool"
	"bulrushlock/io/proto"
	"bulrushlock/io/remote"
	"bulrushlock/io/wire"
)

const (
	// bodyNodes is the number of nodes, each beside a backend server, and bodyCallers that of the
	// callers that upload to them.
	bodyNodes   = 3
	bodyCallers = 12
	// earlyEvery is the number of requests of which a backend server answers one early.
	earlyEvery = 5
	bodyRules  = `
service filing slots=40 cold=40 warm=1 conns=400 shed=yes   # Test: a backend server that rejects before it runs
route * /claims service=filing idempotent=no body=1MB tries=3   # Test: claims
route * /lines/* service=filing idempotent=yes body=1MB tries=3   # Test: lookups
budget retry=100% hedge=0%   # Test: as many attempts as possible
`
)

// receivedDigests holds what backend servers received of each request.
type receivedDigests struct {
	mutex sync.Mutex
	whole map[string][]string
}

// add records a body that looked complete.
func (d *receivedDigests) add(id, digest string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.whole[id] = append(d.whole[id], digest)
}

// of returns the digests of the complete bodies of a request.
func (d *receivedDigests) of(id string) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.whole[id]
}

// digestOf returns the length and the digest of a body.
func digestOf(b []byte) string { return fmt.Sprintf("%d bytes %x", len(b), sha256.Sum256(b)) }

// serveBodies runs a backend server that answers some requests before it reads their bodies, in one
// of several ways, and reads on.
func serveBodies(c *qt.C, d *receivedDigests) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	early := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n%s\r\n" + strings.Repeat("l", 70_000),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n%s\r\n",
	}
	var mutex sync.Mutex
	count := 0
	next := func() (string, bool) {
		mutex.Lock()
		defer mutex.Unlock()
		count++
		return early[count/earlyEvery%len(early)], count%earlyEvery == 0
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				b := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(b)
					if err != nil {
						return
					}
					id := r.Header.Get(proto.HeaderID)
					head := proto.HeaderID + ": " + id + "\r\n"
					response, isEarly := next()
					if isEarly {
						_, _ = fmt.Fprintf(conn, response, head)
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					d.add(id, digestOf(body))
					if !isEarly {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s\r\nok", head)
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startBodyNodes starts nodes beside backend servers and returns the addresses for callers.
func startBodyNodes(c *qt.C, d *receivedDigests) []string {
	var loops []*loop.Loop
	var list []fleet.Instance
	var callers []string
	for i := range bodyNodes {
		name := fmt.Sprintf("filing-%d", i+1)
		self := ticket.NodeID{Instance: name, Incarnation: 1}
		n := node.New(node.Config{Instance: name, Incarnation: 1, Centre: "north", Service: "filing"}, pick.NewLoadAware())
		l := loop.New(n, loop.Options{Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Execute: func(effect.Effect) {}})
		c.Cleanup(l.Stop)
		transport := pool.New(&net.Dialer{}, pool.Options{MaxIdle: 64, IdleTimeout: time.Minute, Match: func(r *http.Request, a *http.Response) bool {
			return proto.Plain{}.Matches(r.Header, a.Header)
		}})
		c.Cleanup(transport.Close)
		writer := egress.New(shaper.New(0))
		g := gate.New(l, gate.Options{Node: self, Server: serveBodies(c, d), Transport: transport, Egress: writer})
		k := remote.New(l, &net.Dialer{})
		c.Cleanup(k.Close)
		w := wire.New(l, self, netip.AddrPort{}, (&net.Dialer{}).DialContext)
		front := httptest.NewServer(New(l, Options{Local: g, Remote: k, Querier: w, Scope: tally.NoopScope, Egress: writer}))
		nodes := httptest.NewServer(g)
		c.Cleanup(front.Close)
		c.Cleanup(nodes.Close)
		callers = append(callers, addressOf(front).String())
		list = append(list, fleet.Instance{Name: name, Centre: "north", Service: "filing", ForwardAddr: addressOf(nodes), ControlAddr: addressOf(nodes)})
		loops = append(loops, l)
	}
	text, err := fleet.Format(list)
	c.Assert(err, qt.IsNil)
	for _, l := range loops {
		l.Process(event.DocumentRead{At: time.Now(), Document: event.Rules, Text: bodyRules, Revision: 1})
		l.Process(event.DocumentRead{At: time.Now(), Document: event.Fleet, Text: text, Revision: 1})
	}
	return callers
}

// uploadBody sends one request on conn and reads its response. It reports whether conn may carry
// another request.
func uploadBody(conn net.Conn, b *bufio.Reader, id, path string, body []byte, chunked bool) bool {
	framing := "Content-Length: " + strconv.Itoa(len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() {
		_, err := fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: desk\r\n%s: %s\r\n%s\r\n\r\n", path, proto.HeaderID, id, framing)
		for part := body; err == nil && len(part) > 0; part = part[min(len(part), uploadPiece):] {
			piece := part[:min(len(part), uploadPiece)]
			if chunked {
				_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
			} else {
				_, err = conn.Write(piece)
			}
		}
		if err == nil && chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	})
	for {
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			_ = conn.Close()
			return false
		}
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		if err != nil || r.Close {
			_ = conn.Close()
			return false
		}
		if r.StatusCode >= http.StatusOK {
			return true
		}
	}
}

// bodiesTime is how long callers upload. A longer run by hand sets it in the environment.
func bodiesTime(c *qt.C) time.Duration {
	text := os.Getenv("BODIES_TIME")
	if text == "" {
		return 3 * time.Second
	}
	d, err := time.ParseDuration(text)
	c.Assert(err, qt.IsNil)
	return d
}

// TestBodiesArriveWhole uploads to three nodes whose backend servers answer some requests before
// they have read the body: each body that looks complete is the one that was sent.
func TestBodiesArriveWhole(t *testing.T) {
	c := qt.New(t)
	d := &receivedDigests{whole: make(map[string][]string)}
	callers := startBodyNodes(c, d)
	end := time.Now().Add(bodiesTime(c))
	var all sync.WaitGroup
	for i := range bodyCallers {
		all.Go(func() {
			random := rand.New(rand.NewPCG(20261206, uint64(i)))
			var conn net.Conn
			var b *bufio.Reader
			for count := 0; time.Now().Before(end); count++ {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", callers[i%bodyNodes]); err != nil {
						c.Errorf("dial: %v", err)
						return
					}
					b = bufio.NewReader(conn)
				}
				body := make([]byte, 20_000+random.IntN(580_000))
				for j := range body {
					body[j] = byte('a' + random.IntN(26))
				}
				id := fmt.Sprintf("caller-%d-%d", i, count)
				path := []string{"/claims", "/lines/1"}[count%2]
				if !uploadBody(conn, b, id, path, body, random.IntN(2) == 0) {
					conn = nil
				}
				for _, got := range d.of(id) {
					if got != digestOf(body) {
						c.Errorf("%s %s: sent %s, a backend server got %s", id, path, digestOf(body), got)
					}
				}
			}
			if conn != nil {
				_ = conn.Close()
			}
		})
	}
	all.Wait()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c.Check(len(d.whole) > bodyCallers, qt.IsTrue, qt.Commentf("%d bodies arrived", len(d.whole)))
}
