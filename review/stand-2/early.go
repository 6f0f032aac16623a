package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// earlyOneIn is the share of the answers of a faulty server that begin before the body has arrived.
	earlyOneIn = 20
	// bodyBytes is the size of a body, which a requester sends in bodyParts parts over bodyTime.
	bodyBytes = 200_000
	bodyParts = 10
	bodyTime  = 250 * time.Millisecond
	// uploaders is the number of requesters, and uploadTime the time for which they send.
	uploaders  = 12
	uploadTime = 30 * time.Second
)

// answerBeforeBody lets one of two servers of a service answer some requests before it has read their bodies. It
// reads on later, on the same connection. Without trouble all servers read the body first. It returns the requests
// whose requester has a whole success, but whose server got a part of the body.
func answerBeforeBody(record *Record, trouble bool) ([]string, error) {
	d, err := smallDeployment(record)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	faulty := d.nodes[2].server
	faulty.early = func() bool { return trouble && rand.IntN(earlyOneIn) == 0 }
	var running sync.WaitGroup
	var mutex sync.Mutex
	var sent []*Request
	over := time.Now().Add(uploadTime)
	for i := range uploaders {
		n := d.nodes[i%len(d.nodes)]
		running.Go(func() {
			for time.Now().Before(over) {
				q, err := Dial(record, n.Requests(), 0)
				if err != nil {
					return
				}
				for r := q.upload(over); r != nil; r = q.upload(over) {
					mutex.Lock()
					sent = append(sent, r)
					mutex.Unlock()
				}
				q.Close()
			}
		})
	}
	running.Wait()
	// The servers read on for a while.
	time.Sleep(2 * time.Second)
	var broken []string
	early := 0
	for _, r := range sent {
		for _, run := range record.Runs(r.ID) {
			if run.Early {
				early++
			}
			if r.Status == http.StatusOK && r.Fault == "" && run.Body != bodyBytes {
				broken = append(broken, fmt.Sprintf("UNASKED: request %s of %d bytes has a whole success; its server %s got %d bytes of the body, then: %s", r.ID, bodyBytes, run.Server, run.Body, run.Fault))
			}
		}
	}
	record.Printf("%d requests, %d answered early, %d of them with a part of the body", len(sent), early, len(broken))
	return broken, nil
}

// upload sends one request with a body and reads the answer. It returns nil if the time is over, or if the connection
// can't be used any more.
func (q *Requester) upload(over time.Time) *Request {
	if q.closed || !time.Now().Before(over) {
		return nil
	}
	r := &Request{ID: newID(), Target: "/filing/locks", Budget: budget, Sent: time.Now()}
	q.record.Printf("send id=%s POST %s body=%d", r.ID, r.Target, bodyBytes)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := fmt.Fprintf(q.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", r.Target, host, r.ID, r.Budget.Milliseconds(), bodyBytes)
		for range bodyParts {
			if err != nil {
				return
			}
			_, err = q.conn.Write(make([]byte, bodyBytes/bodyParts))
			time.Sleep(bodyTime / bodyParts)
		}
	}()
	q.Read(r)
	<-done
	q.closed = r.Closes || r.Fault != ""
	return r
}
