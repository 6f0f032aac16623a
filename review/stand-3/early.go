package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption, inside the largest dose of the site file: share 0.7, x 0.4, for_s 6.
const (
	earlyBackends = 2 // of 3 of the service
	earlyShare    = 0.4
	earlyTime     = 6 * time.Second
)

// earlyAnswer has backends that answer uploads before they have read them, keep the connection, and read
// on later. The bodies hold the text of requests, as an archive of logs may.
func earlyAnswer(w *world, trouble bool) (bool, error) {
	if err := w.twoServices("vaca1", "cafi2"); err != nil {
		return false, err
	}
	c := newConfig("vaca1", "cafi2")
	c.addRoute(deskHost, "r-listing", "/lepu270/", "idempotent", "vaca1", "timeoutS", 1.0)
	c.addRoute(filesHost, "r-upload", "/cafi11/", "upload", "cafi2", "targetLatencyS", 1.5)
	c.addRoute(filesHost, "r-short", "/cafi12/", "non_idempotent", "cafi2", "timeoutS", 2.0)
	w.publish(c, 5)
	var isEarly atomic.Bool
	early := handler(func(b *backend, rw http.ResponseWriter, r *http.Request) bool {
		if !isEarly.Load() || r.ContentLength < 100000 || rand.Float64() >= earlyShare {
			return false
		}
		// A full-duplex response leaves the body to the handler.
		_ = http.NewResponseController(rw).EnableFullDuplex()
		id := r.Header.Get("Request-Id")
		body := bodyFor(id, 0)
		h := rw.Header()
		h.Set("Response-Stamp", stampOf(id, b.id, 200))
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = rw.Write(body)
		_ = http.NewResponseController(rw).Flush()
		w.record.add("backend %s answered %s before it has read its body", b.id, id)
		time.Sleep(200 * time.Millisecond)
		got, err := io.ReadAll(r.Body)
		w.record.add("backend %s read on: %d bytes of the body of %s, %v", b.id, len(got), id, err)
		if err == nil {
			b.note(r, int64(len(got)), sumOf(got))
		}
		return true
	})
	disturbed := 0
	for _, n := range w.nodes {
		if n.service == "cafi2" && disturbed < earlyBackends {
			n.backend.handle.Store(early)
			disturbed++
		}
	}
	if err := w.start(); err != nil {
		return false, err
	}
	const size = 12000000
	faults := 0
	var mutex sync.Mutex
	fault := func(format string, a ...any) {
		w.record.add(format, a...)
		mutex.Lock()
		defer mutex.Unlock()
		faults++
	}
	upload := func(n *node) {
		c, err := dial(n.outboundAddress())
		if err != nil {
			w.record.add("no connection: %v", err)
			return
		}
		defer c.close()
		body, logged := fileWithRequests(size)
		upload := request{id: newID(), method: "POST", host: filesHost, target: "/cafi11/2f", deadline: 2 * time.Second, body: body}
		x := c.do(upload)
		w.record.add("machine %d: upload %s of %d bytes, with the texts of %d requests: %v, connection stays open: %v", n.index, upload.id, len(body), len(logged), x, !x.close)
		time.Sleep(100 * time.Millisecond)
		count := 0
		for _, id := range logged {
			for _, r := range allRuns.of(id) {
				if count++; count <= 3 {
					fault("UNASKED: backend %s ran request %s (%d bytes of method, %s), which stands inside the body of %s", r.instance, id, len(r.method), r.target, upload.id)
				}
			}
		}
		if count > 0 {
			w.record.add("machine %d: %d requests ran that stand inside the body of %s", n.index, count, upload.id)
		}
		if x.err != nil || x.close {
			return
		}
		q := request{id: newID(), method: "GET", host: deskHost, target: "/lepu270/2f", deadline: 2 * time.Second, size: 400}
		x = c.do(q)
		if x.isWhole(q) {
			return
		}
		w.record.add("machine %d: next request %s on the same connection: %v", n.index, q.id, x)
		if x.err == nil && x.id != "" && x.id != q.id {
			fault("MIXED: request %s got the answer that belongs to %s", q.id, x.id)
		}
	}
	isEarly.Store(trouble)
	time.AfterFunc(earlyTime, func() { isEarly.Store(false) })
	var wait sync.WaitGroup
	for _, n := range w.nodes {
		wait.Go(func() {
			for began := time.Now(); time.Since(began) < earlyTime; time.Sleep(200 * time.Millisecond) {
				upload(n)
			}
		})
	}
	wait.Wait()
	return faults > 0, nil
}

// blockSize is the distance of the texts of requests in an uploaded file.
const blockSize = 20000

// fileWithRequests returns a file that holds the text of a request in each block, and their ids. Letters
// stand before each text, which read as a part of its method wherever reading begins.
func fileWithRequests(size int) ([]byte, []string) {
	var ids []string
	var file bytes.Buffer
	for file.Len() < size {
		id := newID()
		ids = append(ids, id)
		text := fmt.Sprintf("POST /cafi12/logged HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n", filesHost, id)
		file.Write(bytes.Repeat([]byte("x"), blockSize-len(text)))
		file.WriteString(text)
	}
	return file.Bytes(), ids
}
