package main

import "time"

// encodedPrefix adds a route whose prefix begins some paths only once they are decoded.
func encodedPrefix(w *world, trouble bool) (bool, error) {
	if err := w.twoServices("look1", "fili2"); err != nil {
		return false, err
	}
	c := newConfig("look1", "fili2")
	c.addRoute(deskHost, "r-lookup", "/lepu270/", "idempotent", "look1", "timeoutS", 1.5)
	c.addRoute(filesHost, "r-lock", "/xapu221/", "non_idempotent", "fili2", "timeoutS", 2.0)
	w.publish(c, 5)
	if err := w.start(); err != nil {
		return false, err
	}
	isBroken := false
	ask := func(target string) {
		for _, n := range w.nodes {
			c, err := dial(n.outboundAddress())
			if err != nil {
				w.record.add("no connection: %v", err)
				continue
			}
			q := request{id: newID(), method: "GET", host: deskHost, target: target, deadline: 3 * time.Second}
			x := c.do(q)
			c.close()
			w.record.add("request %s %s at machine %d: %v", q.id, target, n.index, x)
			for _, r := range allRuns.of(q.id) {
				w.record.add("  ran at %s (%s) as %s", r.instance, r.service, r.target)
				if r.service != "look1" || r.target != target {
					w.record.add("  ROUTE: no configuration allows it to go there")
					isBroken = true
				}
			}
		}
	}
	ask("/lepu270/2024%2Flock%2F17")
	if trouble {
		c.addRoute(deskHost, "r-new", "/lepu270/2024/lock/", "non_idempotent", "fili2", "timeoutS", 2.0)
		w.publish(c, 9)
	}
	time.Sleep(4 * time.Second)
	ask("/lepu270/2024%2Flock%2F17")
	return isBroken, nil
}
