package main

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption: 3 of 20 backends hang in hangShare of their answers for hangTime.
const (
	hangShare = 0.4
	hangTime  = 6500 * time.Millisecond
)

// stalledAnswer has a backend that hangs in the middle of some answers while its health is good.
func stalledAnswer(w *world, trouble bool) (bool, error) {
	// 3 of 20 backends are all of one service.
	for i := range 20 {
		service := []string{"look1", "clai3"}[i%2]
		if i < 3 {
			service = "fili2"
		}
		if _, err := w.addNode([]string{"zone-a", "zone-b", "zone-c"}[i%3], service, backendOptions{}); err != nil {
			return false, err
		}
	}
	c := newConfig("look1", "clai3", "fili2")
	c.addRoute(deskHost, "r-lookup", "/lepu270/", "idempotent", "look1", "timeoutS", 1.5)
	c.addRoute(filesHost, "r-lock", "/xapu221/", "non_idempotent", "fili2", "timeoutS", 2.0, "targetLatencyS", 0.6)
	w.publish(c, 5)
	hung := make(chan struct{})
	var isGrey atomic.Bool
	hang := handler(func(b *backend, rw http.ResponseWriter, r *http.Request) bool {
		if !isGrey.Load() || rand.Float64() >= hangShare {
			return false
		}
		x := b.note(r, 0, sumOf(nil))
		body := bodyFor(x.id, 100000)
		h := rw.Header()
		h.Set("Response-Stamp", stampOf(x.id, b.id, 200))
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = rw.Write(body[:40000])
		_ = http.NewResponseController(rw).Flush()
		w.record.add("backend %s hangs in its answer to %s", b.id, x.id)
		<-hung
		return true
	})
	for _, n := range w.nodes[:3] {
		n.backend.handle.Store(hang)
	}
	if err := w.start(); err != nil {
		return false, err
	}
	var mutex sync.Mutex
	long, unanswered := 0, 0
	var wait sync.WaitGroup
	isGrey.Store(trouble)
	// Answers that hang end with the disruption, truncated.
	time.AfterFunc(hangTime, func() {
		isGrey.Store(false)
		close(hung)
	})
	for i := range 120 {
		at := w.nodes[i%3]
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			c, err := dial(at.outboundAddress())
			if err != nil {
				w.record.add("no connection: %v", err)
				return
			}
			defer c.close()
			q := request{id: newID(), method: "POST", host: filesHost, target: "/xapu221/2f", deadline: 4 * time.Second, size: 100000, work: 30}
			x := c.do(q)
			w.record.add("request %s at machine %d: %v; ran %v", q.id, at.index, x, len(allRuns.of(q.id)))
			mutex.Lock()
			defer mutex.Unlock()
			if x.took > 2*time.Second {
				long++
			}
			if x.took > 2500*time.Millisecond {
				unanswered++
			}
		})
	}
	wait.Wait()
	w.record.add("%d requests lasted longer than timeoutS, %d of them have no final answer 0.5 s after it", long, unanswered)
	return unanswered >= 8 && unanswered*4 > long, nil
}
