package main

import (
	"fmt"
	"time"
)

const (
	// stormChanges is the number of changes in quick succession, and stormInterval the time between two of them.
	stormChanges  = 25
	stormInterval = 60 * time.Millisecond
	// growths is the number of changes that the configuration has grown by before, each by growth routes.
	growths = 10
)

// stormConfiguration changes a configuration of about 0.5 MB many times in quick succession, by routes that nobody
// uses yet. Then a route moves to another service, and a zone is evacuated. Without trouble there is no storm. It
// returns the requests that were run by the old service, or in the evacuated zone, past the bounds.
func stormConfiguration(record *Record, trouble bool) ([]string, error) {
	d, err := smallDeployment(record)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	routes := movableRoutes()
	for range growths {
		routes = addRoutes(routes)
		d.Configure(routes)
		time.Sleep(growthInterval)
	}
	for i := 0; trouble && i < stormChanges; i++ {
		routes = append(routes, Route{Name: fmt.Sprintf("r-new-%d", i), Prefix: fmt.Sprintf("/new-%d/", i), Kind: "idempotent", Service: "lookup", Timeout: budget, Target: 500 * time.Millisecond})
		d.Configure(routes)
		time.Sleep(stormInterval)
	}
	time.Sleep(time.Second)
	routes[0].Service = "filing"
	d.Configure(routes)
	ended := time.Now()
	broken, err := checkInForce(d)
	if err != nil || len(broken) == 0 {
		return broken, err
	}
	// Says only how long it lasts: the bounds are long over.
	time.Sleep(time.Until(ended.Add(historyTime + 5*time.Second)))
	late, err := ask(d, "/moved/rates", oldService)
	record.Printf("%v after the last change, %d requests were run by the old service", time.Since(ended).Round(time.Second), len(late))
	return broken, err
}
