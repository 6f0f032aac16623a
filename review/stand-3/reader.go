package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// slowReader has requesters that pause while they read a download, at a machine that is stopped meanwhile.
func slowReader(w *world, trouble bool) (bool, error) {
	if err := w.twoServices("reco1", "fiel2"); err != nil {
		return false, err
	}
	c := newConfig("reco1", "fiel2")
	c.addRoute(deskHost, "r-lookup", "/lepu270/", "idempotent", "reco1", "timeoutS", 4.0)
	c.addRoute(filesHost, "r-pack", "/fiti832/", "download", "fiel2", "targetLatencyS", 1.2)
	w.publish(c, 5)
	if err := w.start(); err != nil {
		return false, err
	}
	const count = 12
	n := w.nodes[0]
	lost := 0
	var mutex sync.Mutex
	var wait, begun sync.WaitGroup
	begun.Add(count)
	for range count {
		wait.Go(func() {
			isCounted := false
			begin := func() {
				if !isCounted {
					isCounted = true
					begun.Done()
				}
			}
			defer begin()
			c, err := dial(n.outboundAddress())
			if err != nil {
				w.record.add("no connection: %v", err)
				return
			}
			defer c.close()
			first := request{id: newID(), method: "GET", host: deskHost, target: "/lepu270/2f", deadline: 8 * time.Second, size: 400}
			w.record.add("request %s on a connection to machine %d: %v", first.id, n.index, c.do(first))
			q := request{id: newID(), method: "GET", host: filesHost, target: "/fiti832/2f", deadline: 8 * time.Second, size: 540000, work: 50}
			q.read = func(_ net.Conn, r io.Reader) ([]byte, error) {
				b := make([]byte, 32<<10)
				n, err := io.ReadFull(r, b)
				begin()
				if err != nil {
					return b[:n], err
				}
				if trouble {
					time.Sleep(4 * time.Second)
				}
				rest, err := io.ReadAll(r)
				return append(b, rest...), err
			}
			x := c.do(q)
			w.record.add("download %s on the same connection: %v; ran %d times", q.id, x, len(allRuns.of(q.id)))
			if !x.isWhole(q) && len(allRuns.of(q.id)) > 0 && x.took < q.deadline {
				mutex.Lock()
				lost++
				mutex.Unlock()
			}
		})
	}
	begun.Wait()
	n.signal(syscall.SIGTERM)
	wait.Wait()
	w.record.add("%d of %d downloads were passed on to a sound backend and have no complete answer", lost, count)
	return lost > 0, nil
}
