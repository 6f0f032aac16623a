package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// largest is the size in bytes from which the configuration grows no more. The store takes values of 1,048,576.
	largest = 960_000
	// growth is the number of routes that a change adds, and growthInterval the time between two changes.
	growth         = 350
	growthInterval = 2 * time.Second
	// routesPerHost is the number of routes of each further virtual host.
	routesPerHost = 250
	// configTime and evacuateTime are the bounds configS and evacuateS.
	configTime   = 2 * time.Second
	evacuateTime = 5 * time.Second
	// evacuated is the zone that is evacuated at the end.
	evacuated = "zone-1"
)

// growConfiguration adds routes until the configuration is nearly as large as the store takes. Then a route moves to
// another service and a zone is evacuated. Without trouble no routes are added. It returns the requests that were run
// by the old service, or in the evacuated zone, past the bounds.
func growConfiguration(record *Record, trouble bool) ([]string, error) {
	d, err := smallDeployment(record)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	routes := movableRoutes()
	d.Configure(routes)
	for trouble {
		time.Sleep(growthInterval)
		routes = addRoutes(routes)
		if d.Configure(routes) > largest {
			break
		}
	}
	time.Sleep(growthInterval)
	routes[0].Service = "filing"
	d.Configure(routes)
	return checkInForce(d)
}

// movableRoutes returns the routes that requests go to. The first one is moved later.
func movableRoutes() []Route {
	return []Route{
		{Name: "r-moved", Prefix: "/moved/", Kind: "idempotent", Service: "lookup", Timeout: budget, Target: 500 * time.Millisecond},
		{Name: "r-lookup", Prefix: "/lookup/", Kind: "idempotent", Service: "lookup", Timeout: budget, Target: 500 * time.Millisecond},
	}
}

// checkInForce checks that the newest configuration, which has moved the first route to the service filing, is in
// force on all nodes. Then it evacuates a zone and checks that on all nodes.
func checkInForce(d *Deployment) ([]string, error) {
	time.Sleep(configTime + time.Second)
	broken, err := ask(d, "/moved/rates", oldService)
	if err != nil {
		return nil, err
	}
	d.Evacuate(evacuated)
	time.Sleep(evacuateTime + time.Second)
	inZone, err := ask(d, "/lookup/rates", func(s *Server) string {
		if s.zone != evacuated {
			return ""
		}
		return fmt.Sprintf("EVAC: run in the evacuated zone %s", s.zone)
	})
	return append(broken, inZone...), err
}

// oldService says whether a server is not of the service to which the first route was moved.
func oldService(s *Server) string {
	if s.service == "filing" {
		return ""
	}
	return fmt.Sprintf("CONFIG: run by the old service %s", s.service)
}

// addRoutes returns the routes and those of one more change.
func addRoutes(routes []Route) []Route {
	grown := append([]Route(nil), routes...)
	for range growth {
		k := len(grown)
		grown = append(grown, Route{
			Host: fmt.Sprintf("grants-%02d.budget-desk.bagmati-valley.example", k/routesPerHost),
			Name: fmt.Sprintf("r-%05d", k), Prefix: fmt.Sprintf("/r%05d/", k), Kind: "idempotent", Service: "lookup",
			Timeout: budget, Target: 500 * time.Millisecond,
		})
	}
	return grown
}

// ask sends requests to each node, and returns what fault says of the servers that ran them.
func ask(d *Deployment, target string, fault func(*Server) string) ([]string, error) {
	var broken []string
	for _, n := range d.nodes {
		q, err := Dial(d.record, n.Requests(), 0)
		if err != nil {
			return nil, err
		}
		for range 5 {
			r, err := q.Send(http.MethodGet, target, budget)
			if err != nil {
				return nil, err
			}
			q.Read(r)
			for _, run := range d.record.Runs(r.ID) {
				if problem := fault(d.server(run.Server)); problem != "" {
					broken = append(broken, fmt.Sprintf("%s: request %s to node %s", problem, r.ID, n.ip))
				}
			}
		}
		q.Close()
	}
	return broken, nil
}

// server returns the server with an id.
func (d *Deployment) server(id string) *Server {
	for _, n := range d.nodes {
		if n.server.id == id {
			return n.server
		}
	}
	return nil
}
