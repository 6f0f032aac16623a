package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// foreignEntries is the number of entries of another writer, and foreignBytes the size of each.
	foreignEntries = 4
	foreignBytes   = 1_000_000
	// drainTime is the bound drainS, and servingTime the time after which a draining server leaves.
	drainTime   = 2 * time.Second
	servingTime = 4 * time.Second
)

// drainBesideForeign lets a server drain while another writer has entries that can't be read. Without trouble there
// are no such entries. It returns the requests that reached the draining server too late.
func drainBesideForeign(record *Record, trouble bool) ([]string, error) {
	d, err := smallDeployment(record)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	if trouble {
		go writeForeign(d)
	}
	time.Sleep(contactTime + 3*time.Second)
	over := time.Now().Add(servingTime + 2*time.Second)
	var running sync.WaitGroup
	var mutex sync.Mutex
	var sent []*Request
	for _, n := range d.nodes {
		q, err := Dial(record, n.Requests(), 0)
		if err != nil {
			return nil, err
		}
		running.Go(func() {
			defer q.Close()
			for time.Now().Before(over) {
				r, err := q.Send(http.MethodPost, "/filing/locks", budget)
				if err != nil {
					return
				}
				q.Read(r)
				mutex.Lock()
				sent = append(sent, r)
				mutex.Unlock()
				if r.Fault != "" || r.Closes {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	leaving := d.nodes[2].server
	leaving.Drain()
	acknowledged := time.Now()
	time.Sleep(servingTime)
	leaving.Exit()
	running.Wait()
	var broken []string
	cut := 0
	for _, r := range sent {
		for _, run := range record.Runs(r.ID) {
			if late := run.Began.Sub(acknowledged); run.Server == leaving.id && late > drainTime {
				if r.Status != http.StatusOK {
					cut++
				}
				broken = append(broken, fmt.Sprintf("DRAIN: request %s reached server %s %.1f s after its draining was acknowledged", r.ID, run.Server, late.Seconds()))
			}
		}
	}
	record.Printf("%d filings reached the server too late, of which %d have no success", len(broken), cut)
	return broken, nil
}

// writeForeign writes entries of another writer in the rhythm of the servers until the deployment is closed.
func writeForeign(d *Deployment) {
	text := make([]byte, foreignBytes)
	for i := range text {
		text[i] = byte(rand.Uint32())
	}
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		for i := range foreignEntries {
			d.store.PutBytes(fmt.Sprintf("servers/other-%d", i), text)
		}
		d.record.Printf("another writer wrote %d entries of %d bytes", foreignEntries, foreignBytes)
		select {
		case <-t.C:
		case <-d.stopped:
			return
		}
	}
}
