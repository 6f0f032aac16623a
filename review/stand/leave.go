package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["leave"] = leave }

const (
	// leaveTime is how long clients send requests.
	leaveTime = 40 * time.Second
	// leaveClients is the number of clients, and leavers the number of those that leave early.
	leaveClients = 10
	leavers      = 2
	// leaveAfter is the time after which they leave: half of the route's latency target.
	leaveAfter = 300 * time.Millisecond
	// leaveWork is how long a backend server works on a request.
	leaveWork = 600 * time.Millisecond
)

// leave sends requests. Some clients leave before their time budget: they close the sending
// direction of their connection and read to its end.
func leave(f *fleet) (int, error) {
	var runs log[bool]
	serve := func(e *exchange) {
		if _, _, err := e.readBody(); err != nil {
			return
		}
		time.Sleep(leaveWork)
		runs.add(e.id, true)
		e.answer([]byte("done"))
	}
	paths := []map[string]any{
		{"name": "r-lookup", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutS": 3, "targetLatencyS": 0.6, "priority": 2, "service": "desk", "maxAttempts": 2},
		{"name": "r-claim", "pathPrefix": "/claim/", "kind": "non_idempotent", "timeoutS": 4, "targetLatencyS": 0.6, "priority": 1, "service": "desk", "maxAttempts": 2},
	}
	machines := []machine{{"thapathali", "desk"}, {"lalitpur", "desk"}, {"bhaktapur", "desk"}}
	if err := f.start(machines, f.config("00000001", []string{"desk"}, paths), serve); err != nil {
		return 0, err
	}
	var broken, sent, succeeded, left atomic.Int64
	end := time.Now().Add(leaveTime)
	var clients sync.WaitGroup
	for number := range leaveClients {
		clients.Go(func() {
			n := f.nodes[number%len(f.nodes)]
			for count := 0; time.Now().Before(end); count++ {
				id := fmt.Sprintf("%d-%05d", number, count)
				path := []string{"/lookup/1", "/claim/1"}[count%2]
				isLeaver := f.isInSpell() && number < leavers
				sent.Add(1)
				r, err := sendOnce(n.outbound(), id, path, isLeaver)
				if isLeaver {
					left.Add(1)
				}
				switch {
				case err != nil && !isLeaver:
					f.record("request %s: %v", id, err)
				case err != nil:
				case r.status >= 200 && r.status < 300 && r.stamp == "":
					broken.Add(1)
					f.record("MIXED %s %s: answered %d without a receipt, %d bytes; run %d times by then", id, path, r.status, len(r.body), len(runs.of(id)))
				case r.status == http.StatusOK:
					succeeded.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	f.record("sent %d, of which %d left early, succeeded %d, successes without a receipt %d", sent.Load(), left.Load(), succeeded.Load(), broken.Load())
	if succeeded.Load() == 0 {
		return 0, errors.New("no request succeeded")
	}
	return int(broken.Load()), nil
}

// reply is an answer as a client sees it.
type reply struct {
	status int
	stamp  string
	id     string
	body   []byte
}

// sendOnce sends one request on a connection of its own. If leaves is set, it closes the sending
// direction after leaveAfter.
func sendOnce(address, id, path string, leaves bool) (reply, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	head := "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nclaim"
	if _, err := io.WriteString(c, head); err != nil {
		return reply{}, err
	}
	if leaves {
		time.Sleep(leaveAfter)
		_ = c.(*net.TCPConn).CloseWrite()
	}
	return readReply(bufio.NewReader(c))
}

// readReply reads one answer.
func readReply(reader *bufio.Reader) (reply, error) {
	r, err := http.ReadResponse(reader, nil)
	if err != nil {
		return reply{}, err
	}
	body, err := io.ReadAll(r.Body)
	return reply{status: r.StatusCode, stamp: r.Header.Get("Response-Stamp"), id: r.Header.Get("Request-Id"), body: body}, err
}
