package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["alone"] = alone }

const (
	// configBound is the time after the acknowledgement of a configuration from which a request
	// must be handled as it says.
	configBound = 2 * time.Second
	// removalTime is more than the time within which the nodes learn that an entry was removed.
	removalTime = time.Second
	// staleTime is the age of what the store gives to a read that allows stale data.
	staleTime = 2 * time.Second
	// changes is the number of configurations that follow, one each changePause.
	changes     = 8
	changePause = 3 * time.Second
)

// alone plays a deployment of two machines, one of which is lost. Then the operator drops a route
// and adds it again, several times. Requests at the machine that is left show which configuration
// it acts on.
func alone(f *fleet) (int, error) {
	serve := func(e *exchange) {
		if _, _, err := e.readBody(); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		e.answer([]byte("done"))
	}
	kept := map[string]any{"name": "r-claim", "pathPrefix": "/claim/", "kind": "non_idempotent", "timeoutS": 4, "targetLatencyS": 0.6, "priority": 1, "service": "desk", "maxAttempts": 2}
	dropped := map[string]any{"name": "r-lookup", "pathPrefix": "/lookup/", "kind": "non_idempotent", "timeoutS": 4, "targetLatencyS": 0.6, "priority": 2, "service": "desk", "maxAttempts": 2}
	f.store.staleness = staleTime
	machines := []machine{{"thapathali", "desk"}, {"lalitpur", "desk"}}
	if err := f.start(machines, f.config("00000001", []string{"desk"}, []map[string]any{kept, dropped}), serve); err != nil {
		return 0, err
	}
	time.Sleep(5 * time.Second)
	left := f.nodes[0]
	if isTroubled() {
		f.record("machine %s is lost", f.nodes[1].ip)
		f.nodes[1].kill()
		f.backends[1].end()
	}
	// The entry of the lost backend server is removed. Nothing has happened to the machine that is
	// left, which is in touch all the while.
	time.Sleep(3*heartbeat + removalTime)
	broken, right := 0, 0
	for change := range changes {
		isDropped := change%2 == 0
		paths := []map[string]any{kept}
		if !isDropped {
			paths = append(paths, dropped)
		}
		version := fmt.Sprintf("%08x", 2+3*change)
		f.store.put("op/config", f.config(version, []string{"desk"}, paths))
		acknowledged := time.Now()
		f.record("configuration %s is acknowledged, route dropped: %v", version, isDropped)
		for number := 0; time.Since(acknowledged) < changePause; number++ {
			sent := time.Now()
			id := fmt.Sprintf("%d-%03d", change, number)
			r, err := sendOnce(left.outbound(), id, "/lookup/1", false)
			if err != nil {
				return 0, err
			}
			age := sent.Sub(acknowledged)
			isOld := isDropped && r.status == http.StatusOK || !isDropped && r.status == http.StatusNotFound
			switch {
			case isOld && age > configBound:
				broken++
				f.record("CONFIG %s: sent %.2f s after the acknowledgement of %s, answered %d with receipt %q", id, age.Seconds(), version, r.status, r.stamp)
			case !isOld && (r.status == http.StatusOK || r.status == http.StatusNotFound):
				right++
			case !isOld:
				f.record("%s: answered %d", id, r.status)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record("handled as the newest configuration says: %d; as only an older one allows, after the bound: %d", right, broken)
	if right == 0 {
		return 0, errors.New("no request was handled as any configuration says")
	}
	return broken, nil
}
