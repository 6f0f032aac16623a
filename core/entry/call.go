package entry

import (
	"errors"
	"time"

	"bulrushlock/core/depth"
	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/owner"
	"bulrushlock/core/rules"
	"bulrushlock/core/share"
	"bulrushlock/core/ticket"
)

// sampleEvery is the number of idempotent attempts of which one is put into the time line.
const sampleEvery = 128

// call is a request that is not yet settled.
type call struct {
	id   uint64
	name string
	// began is the time at which the request came in.
	began time.Time
	route rules.Route
	// given is the time that the caller gave the request, or 0 where it told none.
	given time.Duration
	// waited is the time that the caller has waited already when the request came in.
	waited time.Duration
	// service is the service of the route that runs the request.
	service string
	// asking tells that guards are being asked for their loads.
	asking bool
	class  int
	key    string
	first  bool
	// once tells that the body can be sent only once, and spent that it was.
	once     bool
	spent    bool
	depth    depth.Call
	deadline time.Time
	// last is the ticket of the last attempt, or of the attempt that is asked after.
	last *ticket.Ticket
	// recovers tells that the caller asks after an earlier attempt. Even if that one
	// did not run, the entry that made it may have made another one since, of which
	// the caller has no ticket yet: only the entry of an attempt acts on a refusal.
	recovers bool
	// unsure tells that an attempt of an idempotent request may have run.
	unsure bool
	// cleared tells that the owner of the key has said that no sending of it ran.
	cleared  bool
	active   []ticket.Ticket
	tried    []string
	attempts int
	// surveys is the number of times that guards were asked for their load.
	surveys int
	// sent is the number of attempts that may have reached a backend server.
	sent  int
	lives int
	asks  int
}

// isKeyed reports whether c must go to the owner of its key.
func (c *call) isKeyed() bool { return c.key != "" && !c.route.Idempotent }

// mayHaveRun reports whether c may have run although its last attempt did not:
// by an earlier attempt, or by an earlier sending of its key or its ticket.
func (c *call) mayHaveRun() bool {
	return c.unsure || c.recovers || c.isKeyed() && !c.first && !c.cleared
}

// hasTried reports whether an attempt of c went to the instance of the given name.
func (c *call) hasTried(name string) bool {
	for _, t := range c.tried {
		if t == name {
			return true
		}
	}
	return false
}

// isActive reports whether the exchange of t has not ended.
func (c *call) isActive(t ticket.Ticket) bool {
	for _, a := range c.active {
		if a == t {
			return true
		}
	}
	return false
}

// end takes t out of the attempts whose exchange has not ended.
func (c *call) end(t ticket.Ticket) {
	for i, a := range c.active {
		if a == t {
			c.active = append(c.active[:i], c.active[i+1:]...)
			return
		}
	}
}

// Request starts to follow a caller's request.
func (n *Entry) Request(e event.Request, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, began: e.At, given: e.Call.Left, key: e.Key, first: e.First, once: e.Once, last: e.Ticket, recovers: e.Ticket != nil}
	if n.set == nil {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonRules, out)
	}
	r, ok := n.set.Route(e.Method, e.Host, e.Path)
	if !ok {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonRoute, out)
	}
	c.route = r
	c.class = n.classes[route{host: r.Host, method: r.Method, path: r.Path}]
	c.service = n.serviceOf(c, e.Random)
	c.waited = n.waitedOf(c, e)
	if e.Size > r.Body {
		return n.reply(e.At, c, effect.NotRun, effect.ReasonBody, out)
	}
	limits, err := depth.Enter(e.Call, r.Time)
	if err != nil {
		return n.reply(e.At, c, effect.NotRun, reasonOfLimits(err), out)
	}
	c.depth = limits
	c.deadline = e.At.Add(limits.Left)
	n.calls[c.id] = c
	// A guard keeps no record of idempotent attempts, so these are sent once more.
	if c.recovers && !r.Idempotent {
		return n.ask(e.At, c, 0, out)
	}
	x := n.extraOf(c.service)
	x.retries.Deposit()
	x.hedges.Deposit()
	if asked := n.survey(e.At, e.Random, c); len(asked) > 0 {
		c.asking = true
		return append(out, effect.Survey{ID: c.id, Peers: asked})
	}
	return n.forward(e.At, e.Random, c, effect.ReasonServers, out)
}

// serviceOf returns the service that runs c: the one of its route, or the part
// whose turn it is.
func (n *Entry) serviceOf(c *call, random uint64) string {
	parts := c.route.Split
	if len(parts) == 0 {
		return c.route.Service
	}
	s, ok := n.shares[c.class]
	if !ok {
		weights := make([]int, len(parts))
		for i, p := range parts {
			weights[i] = p.Weight
		}
		s = share.New(weights, random)
		n.shares[c.class] = s
	}
	return parts[s.Next()].Service
}

// Refuse tells a caller that its request did not run, for reason r.
func (n *Entry) Refuse(e event.Request, r effect.Reason, out []effect.Effect) []effect.Effect {
	c := &call{id: e.ID, name: e.Name, began: e.At, given: e.Call.Left}
	return n.reply(e.At, c, effect.NotRun, r, out)
}

// reasonOfLimits returns the reason for which a call with broken limits is refused.
func reasonOfLimits(err error) effect.Reason {
	var nested *depth.NestError
	if errors.As(err, &nested) {
		return effect.ReasonDepth
	}
	return effect.ReasonDeadline
}

// keyOwner returns the peer that owns the key of c, or nil where there is none.
func (n *Entry) keyOwner(c *call) *peer {
	if c.attempts > c.lives {
		return nil
	}
	peers := n.services[c.service]
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.instance.Name
	}
	name, ok := owner.Of(c.key, c.service, names)
	if !ok {
		return nil
	}
	return n.peers[name]
}

// forward sends an attempt of c to a peer that it chooses. Where there is none,
// the caller is told that the request did not run, for reason.
func (n *Entry) forward(now time.Time, random uint64, c *call, reason effect.Reason, out []effect.Effect) []effect.Effect {
	p := n.choose(now, random, c)
	if p == nil {
		return n.reply(now, c, effect.NotRun, reason, out)
	}
	return n.send(now, random, c, p, out)
}

// send sends an attempt of c to p.
func (n *Entry) send(now time.Time, random uint64, c *call, p *peer, out []effect.Effect) []effect.Effect {
	n.sequence++
	t := ticket.Ticket{
		Entry:    n.identity.Node,
		Sequence: n.sequence,
		Nonce:    random,
		Guard:    ticket.Node{Instance: p.instance.Name, Incarnation: p.incarnation},
		Service:  c.service,
	}
	c.last = &t
	c.attempts++
	c.active = append(c.active, t)
	c.tried = append(c.tried, p.instance.Name)
	p.outstanding++
	p.sent++
	if !c.route.Idempotent || t.Sequence%sampleEvery == 0 {
		out = append(out, effect.Note{Kind: effect.KindAttempt, Ticket: &t})
	}
	out = n.notePlaced(now, c, t, out)
	call := c.depth
	call.Left = c.deadline.Sub(now)
	return append(out, effect.Forward{
		ID:       c.id,
		Ticket:   t,
		Peer:     p.instance,
		Route:    c.route,
		Call:     call,
		Class:    c.class,
		Key:      c.key,
		First:    c.first,
		Versions: n.versions,
		Local:    p.instance.Name == n.identity.Node.Instance,
		Hedge:    n.hedgeDelay(now, c),
		Aim:      c.aimLeft(now),
		Inner:    c.isInner(),
	})
}

// ask asks the guard of the last attempt of c what became of it.
func (n *Entry) ask(now time.Time, c *call, wait time.Duration, out []effect.Effect) []effect.Effect {
	p, ok := n.peers[c.last.Guard.Instance]
	if !ok {
		return n.reply(now, c, effect.Unknown, effect.ReasonLost, out)
	}
	c.asks++
	return append(out, effect.Ask{ID: c.id, Ticket: *c.last, Peer: p.instance, Key: c.key, Void: !c.recovers, Wait: wait})
}

// cancelAll gives up the attempts of c whose exchange has not ended.
func (n *Entry) cancelAll(c *call, out []effect.Effect) []effect.Effect {
	for _, t := range c.active {
		if p, ok := n.peers[t.Guard.Instance]; ok {
			p.outstanding = max(0, p.outstanding-1)
		}
		out = append(out, effect.Cancel{ID: c.id, Ticket: t})
	}
	c.active = c.active[:0]
	return out
}

// Gone forgets a request whose caller has left or was answered.
func (n *Entry) Gone(e event.Gone, out []effect.Effect) []effect.Effect {
	c, ok := n.calls[e.ID]
	if !ok {
		return out
	}
	out = n.cancelAll(c, out)
	delete(n.calls, e.ID)
	return append(out, effect.Decision{Kind: effect.DecisionGone, Name: c.name, Facts: []effect.Fact{
		{Key: "attempts", Value: int64(c.attempts)},
		{Key: "total_us", Value: e.At.Sub(c.began).Microseconds()},
	}})
}
