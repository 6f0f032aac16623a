package main

import (
	"bytes"
	"sync"
	"time"
)

// uploadLimit raises the limit of request bodies while uploads arrive.
func uploadLimit(w *world, trouble bool) (bool, error) {
	if err := w.twoServices("vaca1", "cafi2"); err != nil {
		return false, err
	}
	c := newConfig("vaca1", "cafi2")
	c.Limits["maxBodyBytes"] = 262144
	c.addRoute(deskHost, "r-listing", "/lepu270/", "idempotent", "vaca1", "timeoutS", 1.0)
	c.addRoute(filesHost, "r-upload", "/cafi11/", "upload", "cafi2", "targetLatencyS", 1.5)
	w.publish(c, 5)
	if err := w.start(); err != nil {
		return false, err
	}
	const count, size = 6, 360000
	body := bytes.Repeat([]byte("curriculum vitae "), size/17+1)[:size]
	var wait sync.WaitGroup
	requests := make([]request, count)
	results := make([]result, count)
	raised := make(chan struct{})
	for i := range count {
		q := request{id: newID(), method: "POST", host: filesHost, target: "/cafi11/2f", deadline: 2 * time.Second, body: body, chunked: true, part: 60000}
		q.pace = func(part int) {
			if part == 3 {
				// The rest is sent after the higher limit was acknowledged.
				<-raised
				time.Sleep(time.Second)
			}
			time.Sleep(20 * time.Millisecond)
		}
		requests[i] = q
		n := w.nodes[i%len(w.nodes)]
		wait.Go(func() {
			c, err := dial(n.outboundAddress())
			if err != nil {
				results[i] = result{err: err}
				return
			}
			defer c.close()
			results[i] = c.do(q)
		})
	}
	time.Sleep(200 * time.Millisecond)
	if trouble {
		c.Limits["maxBodyBytes"] = 67108864
		w.publish(c, 9)
	}
	close(raised)
	wait.Wait()
	time.Sleep(300 * time.Millisecond)
	isBroken := false
	for i, q := range requests {
		w.record.add("upload %s of %d bytes, sum %s: %v", q.id, len(q.body), sumOf(q.body), results[i])
		for _, x := range allRuns.of(q.id) {
			w.record.add("  ran at %s (%s) with %d bytes, sum %s", x.instance, x.service, x.size, x.sum)
			if x.size != int64(len(q.body)) || x.sum != sumOf(q.body) {
				w.record.add("  UNASKED: its body was changed")
				isBroken = true
			}
		}
	}
	return isBroken, nil
}
