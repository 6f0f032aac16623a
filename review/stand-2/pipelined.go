package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// pipelinedRequesters is the number of requesters at the node that is stopped.
	pipelinedRequesters = 8
	// depth is the number of requests that a requester has under way on its connection.
	depth = 2
	// smallWindow is the size in bytes of the receive window of a requester.
	smallWindow = 8 << 10
	// budget is the time budget of a request, and the time-out of the route.
	budget = 3 * time.Second
)

// stopWhilePipelined stops a node by SIGTERM while requesters pipeline idempotent requests to it. Without
// trouble nothing is stopped. It returns the requests that were lost.
func stopWhilePipelined(record *Record, trouble bool) ([]string, error) {
	d, err := smallDeployment(record)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	node := d.nodes[0]
	var running sync.WaitGroup
	var mutex sync.Mutex
	var ended []*Request
	// From then on requesters go elsewhere.
	over := time.Now().Add(6 * time.Second)
	for range pipelinedRequesters {
		q, err := Dial(record, node.Requests(), smallWindow)
		if err != nil {
			return nil, err
		}
		running.Go(func() {
			defer q.Close()
			requests := pipeline(q, over)
			mutex.Lock()
			defer mutex.Unlock()
			ended = append(ended, requests...)
		})
	}
	time.Sleep(contactTime + time.Second)
	signalled := time.Now()
	if trouble {
		node.Stop()
	}
	running.Wait()
	var lost []string
	for _, r := range ended {
		if problem := lostAround(record, r, signalled, trouble); problem != "" {
			lost = append(lost, problem)
		}
	}
	record.Printf("%d answered requests, %d lost", len(ended)-len(lost), len(lost))
	return lost, nil
}

// smallDeployment starts three services with two servers each.
func smallDeployment(record *Record) (*Deployment, error) {
	d, err := NewDeployment(record)
	if err != nil {
		return nil, err
	}
	for i, service := range []string{"lookup", "lookup", "filing", "filing", "claims", "claims"} {
		_, err := d.Add(service, fmt.Sprintf("zone-%d", i%3), 18, func(*http.Request) Answer {
			return Answer{Work: time.Duration(100+rand.IntN(100)) * time.Millisecond, Size: 10_000 + rand.IntN(20_001)}
		})
		if err != nil {
			d.Close()
			return nil, err
		}
	}
	d.Configure([]Route{
		{Name: "r-lookup", Prefix: "/lookup/", Kind: "idempotent", Service: "lookup", Timeout: budget, Target: 500 * time.Millisecond},
		{Name: "r-filing", Prefix: "/filing/", Kind: "non_idempotent", Service: "filing", Timeout: budget, Target: 500 * time.Millisecond},
		{Name: "r-claims", Prefix: "/claims/", Kind: "non_idempotent", Service: "claims", Timeout: budget, Target: 500 * time.Millisecond},
	})
	if err := d.Start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// pipeline keeps depth requests under way until an answer closes the connection, or the time is over. It
// returns the requests whose answer was due, in the order in which they were sent; those behind an answer that
// closes the connection count as not read.
func pipeline(q *Requester, over time.Time) []*Request {
	var ended, waiting []*Request
	for {
		for len(waiting) < depth && time.Now().Before(over) {
			r, err := q.Send(http.MethodGet, "/lookup/rates", budget)
			if err != nil {
				break
			}
			waiting = append(waiting, r)
			// The next one is sent while this one is under way.
			time.Sleep(20 * time.Millisecond)
		}
		if len(waiting) == 0 {
			return ended
		}
		r := waiting[0]
		waiting = waiting[1:]
		q.Read(r)
		ended = append(ended, r)
		if r.Closes || r.Fault != "" {
			return ended
		}
	}
}

// lostAround says whether a request of the stopped node was lost by the rule LOST, planned work. Without
// trouble, no request may lack a complete answer.
func lostAround(record *Record, r *Request, signalled time.Time, trouble bool) string {
	if r.Fault == "" {
		return ""
	}
	if !trouble {
		return fmt.Sprintf("request %s has no complete answer: %s", r.ID, r.Fault)
	}
	runs := record.Runs(r.ID)
	switch {
	case r.Ended.Before(signalled) || r.Ended.After(signalled.Add(graceTime+time.Second)):
		return "" // not around the planned work
	case r.Ended.Sub(r.Sent) >= r.Budget:
		return "" // the time budget was reached
	case len(runs) == 0:
		// Sent behind another one and not passed on.
		return ""
	}
	last := runs[len(runs)-1]
	if last.Ended.IsZero() || last.Ended.After(signalled.Add(graceTime*5/6)) {
		return "" // the server was at work in the last sixth of the grace time
	}
	return fmt.Sprintf("request %s, sent %.3f s and cut %.3f s after SIGTERM, had been passed on to server %s, whose answer was complete %.3f s after it: status %d, %s",
		r.ID, r.Sent.Sub(signalled).Seconds(), r.Ended.Sub(signalled).Seconds(), last.Server, last.Ended.Sub(signalled).Seconds(), r.Status, r.Fault)
}
