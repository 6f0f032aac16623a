// Package rules parses the routing rules that operators write into a Set.
//
// A text is accepted or rejected as a whole. The result depends only on the text,
// so all nodes that read the same text accept or reject it alike.
//
// # Usage
//
//	s, err := rules.Parse(text)
//	if err != nil {
//		return err // a *rules.FaultsError that lists every fault with its position
//	}
//	r, ok := s.Route("GET", "", "/lines/7")
package rules

import "time"

// Set is a validated set of rules. Only Parse returns a usable Set: one that is
// built by hand has no index and finds no routes or services. A Set is immutable and
// therefore safe for concurrent use.
type Set struct {
	Services     []Service
	Routes       []Route
	Customers    []Customer
	Budget       Budget
	CentresOut   []OutOfService
	InstancesOut []OutOfService

	index index
}

// Origin records the line of a rule, who requested it and why.
type Origin struct {
	Line        int
	RequestedBy string
	Reason      string
}

// Service holds the limits of each backend server of one service.
type Service struct {
	Name string
	// Slots is the number of requests that a warm backend server runs concurrently;
	// 0 means that the instance list gives the number for each one.
	Slots int
	// Connections is the maximum number of connections that a backend server accepts.
	Connections int
	// ColdSlots is the number of requests that a backend server in cold start runs
	// concurrently.
	ColdSlots int
	// WarmupRequests is the number of completed requests after which a backend server is warm.
	WarmupRequests int
	// QueueTimeout is the maximum time that a request is queued at a busy backend server.
	QueueTimeout time.Duration
	// ShedsBeforeRunning is set if a backend server of this service responds with 503 only before
	// it runs a request.
	ShedsBeforeRunning bool
	// ColdRate is the number of requests per second that a backend server in cold start
	// can handle; if it is 0, ColdSlots and WarmupRequests are the limits.
	ColdRate int
	// HealthPath is the path of the health endpoint; if it is empty, the adapter uses its default.
	HealthPath string
	Origin     Origin
}

// Route says how requests that match a host, method and path are served.
type Route struct {
	Method string
	// Path is a literal path, or a prefix followed by "*".
	Path string
	// Host is the host that the route matches; an empty one matches all hosts.
	Host    string
	Service string
	// Split distributes the requests among several services; it is empty if Service is set.
	Split      []WeightedService
	Idempotent bool
	// HeaderTimeout is the maximum time that a caller waits for the response header.
	HeaderTimeout time.Duration
	// TotalTimeout is the maximum time until the end of the response; 0 means no limit.
	// Without a value it is HeaderTimeout.
	TotalTimeout time.Duration
	// LatencyTarget is the latency target of the response; 0 means none.
	LatencyTarget time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is sent to.
	MaxAttempts int
	// Priority is the priority of requests when all slots are busy; 1 is the highest.
	Priority int
	// MaxBodyBytes is the maximum size of the request body in bytes.
	MaxBodyBytes int64
	// Public is set if requests need no credential of a customer.
	Public bool
	// Upload is set if the requests carry large bodies that arrive slowly. Such a body is held
	// at the entry until it is complete, before the request takes a slot anywhere.
	Upload bool
	// Refused is set if the requests are never run, but rejected as such. A route that cannot
	// be served keeps its requests from a route with a shorter prefix.
	Refused bool
	Origin  Origin
}

// Customer is a party that callers send requests for. If a Set has customers, requests on
// routes that are not public need a credential of one.
type Customer struct {
	Name string
	// Keys holds the digests of the customer's credentials, as package creds computes them. A
	// customer without any cannot send requests.
	Keys []string
	// Rate is the number of requests per second that all nodes together take from the customer;
	// 0 means no limit. Burst is the number of requests that they take beyond it at once.
	Rate  float64
	Burst int
	// Priority replaces the priority of the routes for the customer's requests; 0 keeps it.
	Priority int
	Origin   Origin
}

// WeightedService is one service of a route that distributes its requests among several.
type WeightedService struct {
	Service string
	// Weight is the weight of the service relative to those of the other services of the route.
	Weight int
}

// Budget limits the load that the system itself adds: probes, health checks, retries and
// hedges.
type Budget struct {
	// ProbeRate is the maximum number of probes per second that a node sends, and also the
	// maximum that it responds to.
	ProbeRate int
	// HealthCheckRate is the maximum number of health checks per second that a node sends to its
	// backend server.
	HealthCheckRate int
	// RetryFraction is the maximum fraction of requests that are retried, from 0 to 1.
	RetryFraction float64
	// HedgeFraction is the maximum fraction of requests that are hedged, from 0 to 1.
	HedgeFraction float64
	// In any second, a cold backend server gets at most ColdRateFactor times its rate plus
	// ColdRateSlack requests.
	ColdRateFactor float64
	ColdRateSlack  float64
	// Origin records who requested the budget and why.
	Origin Origin
}

// OutOfService is a rule that takes a data centre or an instance out of service.
type OutOfService struct {
	Name   string
	Origin Origin
}
