package entry

import (
	"time"

	"bulrushlock/core/effect"
	"bulrushlock/core/event"
	"bulrushlock/core/fleet"
)

// freshTime is the age up to which a reported load is as good as one that is asked for.
const freshTime = 5 * time.Millisecond

// survey returns the guards that are to be asked for their load before c is sent:
// first those of the entry's own data centre, from a random one on. The guard of
// the same node needs no asking.
func (n *Entry) survey(now time.Time, random uint64, c *call) []fleet.Instance {
	peers := n.services[c.service]
	if n.identity.Ask == 0 || c.isKeyed() || len(peers) < 2 {
		return nil
	}
	var asked []fleet.Instance
	for _, near := range []bool{true, false} {
		for i := range peers {
			p := peers[(random+uint64(i))%uint64(len(peers))]
			if len(asked) == n.identity.Ask {
				return asked
			}
			if (p.instance.Centre == n.identity.Centre) != near || p.instance.Name == n.identity.Node.Instance || p.isLeaving(now) {
				continue
			}
			if now.Sub(p.reported) > freshTime {
				asked = append(asked, p.instance)
			}
		}
	}
	return asked
}

// Surveyed sends a request whose guards were asked for their load.
func (n *Entry) Surveyed(e event.Surveyed, out []effect.Effect) []effect.Effect {
	for _, l := range e.Loads {
		n.Loaded(l)
	}
	c, ok := n.calls[e.ID]
	if !ok || !c.asking {
		return out
	}
	c.asking = false
	return n.forward(e.At, e.Random, c, effect.ReasonServers, out)
}

// aimLeft returns the time in which an answer to c is still of full use, or 0
// where its rule names none. A time that has run out is shown as the shortest one.
func (c *call) aimLeft(now time.Time) time.Duration {
	if c.route.Aim == 0 {
		return 0
	}
	return max(c.route.Aim-now.Sub(c.began), 1)
}

// isInner reports whether a running request waits for c.
func (c *call) isInner() bool { return c.depth.Depth > 1 }

// retryLeast and retryMost bound the time after which a caller is asked to come back.
const (
	retryLeast = 200 * time.Millisecond
	retryMost  = 700 * time.Millisecond
)

// retryAfter returns the time after which the caller of c may try again.
func (n *Entry) retryAfter(c *call, _ effect.Reason) time.Duration {
	spread := time.Duration(n.sequence*7919+c.id*104729) % (retryMost - retryLeast)
	return retryLeast + spread
}
