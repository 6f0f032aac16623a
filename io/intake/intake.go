// Package intake bounds what clients hold of an instance before their requests are accepted: the
// memory for heads and for bodies that are buffered, and the connections.
//
// A server accepts its connections from a Listener, which reads requests below it. The bytes of a
// head reach the server when the head is complete and valid, so that nothing is parsed of one that
// isn't; io/frame says where it ends. An invalid request is answered with a status and a closed
// connection. Bytes are charged to one budget of all listeners before they are kept:
//
//   - a head beyond the read buffer of the server, and its fields beyond the usual number, which
//     take many times their size once they are parsed. They are charged until the request has ended;
//   - a body that the handler buffers, likewise.
//
// Small requests are not charged. Their memory is part of that of a connection, whose number each
// listener limits. When there is no room, core/shed chooses the connection that is closed. If none
// may be closed, a request waits for room and is refused after a while, and a connection stays in
// the accept queue of the kernel.
//
// # Usage
//
//	k := intake.New(intake.Options{Memory: 8 << 20, Limits: frame.DefaultLimits(), Logger: logger, Scope: scope})
//	l := k.Listen(listener, intake.ListenerOptions{Name: "callers", Connections: 2000, Buffer: 64 << 10})
//	err := server.Serve(l)
package intake

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"bulrushlock/core/shed"
	"bulrushlock/io/frame"
)

const (
	// ConnectionCost is the memory in bytes that a connection takes without a charge: buffers and
	// goroutine of its server, and the head of a usual request.
	ConnectionCost = 16 << 10
	// keepTime is the time for which callers may keep a connection between two requests.
	keepTime = 15 * time.Second
	// roomTimeout limits the time for which a request waits for room.
	roomTimeout = 2 * time.Second
	// logInterval is the least time between two log lines of the same reason.
	logInterval = time.Second
)

// The reasons of refusals and of closed connections beside those of io/frame.
const (
	// ReasonMemory is no room for the bytes of requests that haven't been accepted.
	ReasonMemory frame.Reason = "memory"
	// ReasonConnections is no room for connections.
	ReasonConnections frame.Reason = "connections"
)

// Options configure an Intake.
type Options struct {
	// Memory is the budget in bytes.
	Memory int64
	// Limits bound the elements of a request.
	Limits frame.Limits
	// HeadTimeout limits the time from the first byte of a head to its last one. The server limits
	// it for the first head of a connection.
	HeadTimeout time.Duration
	Logger      *slog.Logger
	// Scope receives the metrics.
	Scope tally.Scope
}

// Intake is the budget of a process. It is safe for concurrent use.
type Intake struct {
	options Options
	policy  shed.Policy[*conn]
	mutex   sync.Mutex
	// freed is signalled when bytes or connections are released.
	freed *sync.Cond
	// held is the number of bytes charged, and holders are the connections that they are charged to.
	held    int64
	holders map[*conn]struct{}
	// doomed is the part of held that belongs to connections which were closed to make room. Their
	// servers still hold it for a moment.
	doomed int64
	open   int
	// lingering is the number of connections that are closed for writing only.
	lingering int
	listeners []*Listener
	reasons   map[event]*tracker
}

// event is a refusal or a closed connection, by its reason.
type event struct {
	name   string
	reason frame.Reason
}

// tracker counts events of a kind and limits their log lines.
type tracker struct {
	counter tally.Counter
	logged  time.Time
	// count is the number of events since the last log line.
	count int
}

// New returns an Intake.
func New(o Options) *Intake {
	k := &Intake{
		options: o,
		policy:  shed.New[*conn](shed.Options{Overhead: ConnectionCost, Keep: keepTime}),
		holders: make(map[*conn]struct{}),
		reasons: make(map[event]*tracker),
	}
	k.freed = sync.NewCond(&k.mutex)
	return k
}

// Usage returns the number of bytes charged and that of open connections.
func (k *Intake) Usage() (held int64, open int) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.held, k.open
}

// Hurry limits the time for the rest of requests that are not complete. It is called when the process
// stops, which such a request would hold up.
func (k *Intake) Hurry(limit time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	deadline := time.Now().Add(limit)
	for _, l := range k.listeners {
		for c := range l.connections {
			if shed.State(c.state.Load()) == shed.Waiting {
				_ = c.SetReadDeadline(deadline)
			}
		}
	}
}

// errClosed is returned to a connection that was closed in order to make room.
var errClosed = errors.New("connection closed to make room")

// charge sets the number of bytes that are charged to c. If there is no room for more of them, it
// closes other connections, or waits. It fails with a *frame.Error if c has to go itself.
func (k *Intake) charge(c *conn, bytes int64) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var expired bool
	var timer *time.Timer
	for !c.closed {
		more := bytes - c.held.Load()
		if more <= 0 || k.held+more <= k.options.Memory {
			k.setHeld(c, bytes)
			return nil
		}
		if k.held-k.doomed+more > k.options.Memory {
			victim, ok := k.policy.Choose(time.Now(), shed.Memory, k.holdings(k.holders))
			if ok && victim == c {
				return &frame.Error{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: ReasonMemory}
			}
			if ok {
				k.shed(victim, ReasonMemory)
				continue
			}
		}
		if expired {
			return &frame.Error{Status: http.StatusServiceUnavailable, Reason: ReasonMemory}
		}
		if timer == nil {
			timer = k.after(roomTimeout, func() { expired = true })
			defer timer.Stop()
		}
		k.freed.Wait()
	}
	return errClosed
}

// after calls f after d with the mutex held, and wakes those that wait for room.
func (k *Intake) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		f()
		k.freed.Broadcast()
	})
}

// setHeld charges bytes to c. The mutex must be held.
func (k *Intake) setHeld(c *conn, bytes int64) {
	before := c.held.Swap(bytes)
	k.held += bytes - before
	if bytes > 0 {
		k.holders[c] = struct{}{}
	} else {
		delete(k.holders, c)
	}
	if bytes < before {
		k.freed.Broadcast()
	}
}

// holdings returns what connections hold. Those that were closed to make room are left out: what they
// hold is released soon. The mutex must be held.
func (k *Intake) holdings(connections map[*conn]struct{}) func(func(*conn, shed.Holding) bool) {
	return func(yield func(*conn, shed.Holding) bool) {
		for c := range connections {
			if !c.closed && !yield(c, c.holding()) {
				return
			}
		}
	}
}

// shed closes c to make room. What is charged to it is released when its server has closed it too. The
// mutex must be held.
func (k *Intake) shed(c *conn, r frame.Reason) {
	k.remove(c)
	k.doomed += c.held.Load()
	_ = c.TCPConn.Close()
	k.count("closed", r, c.listener)
}

// remove takes c from the open connections, once. The mutex must be held.
func (k *Intake) remove(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.enter(shed.Accepted, 0)
	delete(c.listener.connections, c)
	c.listener.open.Add(-1)
	k.open--
	k.freed.Broadcast()
}

// release releases what c holds after its server has closed it.
func (k *Intake) release(c *conn) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if c.closed {
		k.doomed -= c.held.Load()
	}
	k.remove(c)
	k.setHeld(c, 0)
}

// count counts an event and logs it, at most once in a logInterval. The mutex must be held.
func (k *Intake) count(name string, r frame.Reason, l *Listener) {
	e := event{name: name, reason: r}
	t, ok := k.reasons[e]
	if !ok {
		scope := k.options.Scope.Tagged(map[string]string{"reason": string(r)})
		t = &tracker{counter: scope.Counter("clients_refused")}
		if name == "closed" {
			t.counter = scope.Counter("clients_closed")
		}
		k.reasons[e] = t
	}
	t.counter.Inc(1)
	t.count++
	now := time.Now()
	if now.Sub(t.logged) < logInterval {
		return
	}
	k.options.Logger.Warn("clients "+name, "reason", string(r), "count", t.count, "listener", l.options.Name, "held", k.held, "open", k.open)
	t.logged, t.count = now, 0
}

// refused counts a refusal on a connection of l.
func (k *Intake) refused(r frame.Reason, l *Listener) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.count("refused", r, l)
}
