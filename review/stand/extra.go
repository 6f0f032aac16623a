package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra"] = extra }

const (
	// extraTime is how long clients send requests.
	extraTime = 40 * time.Second
	// extraClients is the number of clients.
	extraClients = 12
	// After one in extraEvery answers additional bytes follow, on extraBackends of the four
	// backend servers.
	extraEvery    = 34
	extraBackends = 2
	// claimPath is the path of requests that may run once at most.
	claimPath = "/claim/1"
)

// extraBytes are the additional bytes after a complete answer, by turns. They bear no request id
// and no receipt.
var extraBytes = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
}

// extra sends requests. After some complete answers the backend server sends additional bytes,
// late, at the point where the next answer is expected.
func extra(f *fleet) (int, error) {
	var runs log[bool]
	var extras, answers atomic.Int64
	serve := func(e *exchange) {
		if _, _, err := e.readBody(); err != nil {
			return
		}
		if f.isInSpell() && e.number > 1 && isAmong(f, e.backend, extraBackends) && answers.Add(1)%extraEvery == 0 {
			turn := int(extras.Add(1)) % len(extraBytes)
			_, _ = io.WriteString(e.conn, extraBytes[turn])
		}
		time.Sleep(50 * time.Millisecond)
		runs.add(e.id, true)
		e.answer([]byte("done"))
	}
	paths := []map[string]any{
		{"name": "r-lookup", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutS": 3, "targetLatencyS": 0.6, "priority": 2, "service": "desk", "maxAttempts": 2},
		{"name": "r-claim", "pathPrefix": "/claim/", "kind": "non_idempotent", "timeoutS": 4, "targetLatencyS": 0.6, "priority": 1, "service": "desk", "maxAttempts": 2},
	}
	machines := []machine{{"thapathali", "desk"}, {"lalitpur", "desk"}, {"bhaktapur", "desk"}, {"thapathali", "desk"}}
	if err := f.start(machines, f.config("00000001", []string{"desk"}, paths), serve); err != nil {
		return 0, err
	}
	var mixed, sent, succeeded atomic.Int64
	var refused log[bool]
	end := time.Now().Add(extraTime)
	var clients sync.WaitGroup
	for number := range extraClients {
		clients.Go(func() {
			n := f.nodes[number%len(f.nodes)]
			for count := 0; time.Now().Before(end); count++ {
				id := fmt.Sprintf("%d-%05d", number, count)
				path := []string{"/lookup/1", claimPath}[count%2]
				sent.Add(1)
				r, err := sendOnce(n.outbound(), id, path, false)
				switch {
				case err != nil:
					f.record("request %s: %v", id, err)
				case r.status == http.StatusOK && r.stamp == "":
					mixed.Add(1)
					f.record("MIXED %s %s: answered %d without a receipt, id %q, body %q", id, path, r.status, r.id, r.body)
				case r.status == http.StatusOK:
					succeeded.Add(1)
				case r.status == http.StatusServiceUnavailable && path == claimPath:
					refused.add(id, true)
				default:
					f.record("request %s %s: answered %d", id, path, r.status)
				}
			}
		})
	}
	clients.Wait()
	// A request that was answered 503 may not run later either.
	time.Sleep(5 * time.Second)
	ran := 0
	for id := range refused.entries {
		if count := len(runs.of(id)); count > 0 {
			ran++
			f.record("REFUSED %s %s: answered 503 and run %d times", id, claimPath, count)
		}
	}
	f.record("sent %d, succeeded %d, extra bytes %d times, successes without a receipt %d, claims answered 503 that have run %d", sent.Load(), succeeded.Load(), extras.Load(), mixed.Load(), ran)
	if succeeded.Load() == 0 {
		return 0, errors.New("no request succeeded")
	}
	return int(mixed.Load()) + ran, nil
}
