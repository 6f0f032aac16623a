// Package rules reads the text that operators write and turns it into a Set.
//
// A text is good or bad as a whole, and only the text decides: every node that
// reads the same text comes to the same verdict.
//
// # Usage
//
//	s, err := rules.Parse(text)
//	if err != nil {
//		return err // a *rules.FaultsError that lists every fault with its place
//	}
//	r, ok := s.Route("GET", "/lines/7")
package rules

import "time"

// Set is a checked text of rules. Parse makes it; a Set that was put together by
// hand finds no route. A Set is never changed once it is made, so any number of
// goroutines may read it.
type Set struct {
	Services  []Service
	Routes    []Route
	Budget    Budget
	Centres   []Out
	Instances []Out

	index index
}

// Origin tells where a rule stands and who asked for it.
type Origin struct {
	Line int
	Who  string
	Why  string
}

// Service holds the limits of each backend server of one service.
type Service struct {
	Name string
	// Slots is the number of requests that a warm backend server runs at once; 0
	// stands for the number that the list of instances tells of each one.
	Slots int
	// Connections is the number of connections that a backend server accepts.
	Connections int
	// Cold is the number of requests that a backend server in cold start runs at once.
	Cold int
	// Warm is the number of completed requests after which a backend server is warm.
	Warm int
	// Queue is the longest time that a request waits at a busy backend server.
	Queue time.Duration
	// Shed tells that a backend server of this service answers 503 only before it runs a request.
	Shed bool
	// Rate is the number of requests a second that a backend server in cold start
	// bears; at 0 the bound is Cold and Warm.
	Rate int
	// Look is the path of the health endpoint; it is empty where the adapter knows it.
	Look   string
	Origin Origin
}

// Route tells how requests of one method and path are served.
type Route struct {
	Method string
	// Path is a literal path, or a prefix that ends in "*".
	Path string
	// Host is the host that the route serves; an empty one stands for all hosts.
	Host    string
	Service string
	// Split shares the requests among several services; it is empty where Service is set.
	Split      []Part
	Idempotent bool
	// Time is the longest time that a caller waits for the head of the answer.
	Time time.Duration
	// Whole is the longest time until the end of the answer; 0 sets no limit.
	Whole time.Duration
	// Aim is the time within which an answer is of full use; 0 names none.
	Aim time.Duration
	// Tries is the largest number of backend servers that one request is sent to.
	Tries int
	// Rank orders requests when all slots are busy; 1 goes first.
	Rank int
	// Body is the largest request body in bytes.
	Body   int64
	Origin Origin
}

// Part is one service of a route that shares its requests among several.
type Part struct {
	Service string
	// Weight is the share of the service, relative to the weights of the other parts.
	Weight int
}

// Budget bounds the work that the system adds of its own.
type Budget struct {
	// Probe is the largest number of probes a second that a node sends, and that a node answers.
	Probe int
	// Look is the largest number of health reads a second that a node makes of its backend server.
	Look int
	// Retry is the largest share of requests that are retried, from 0 to 1.
	Retry float64
	// Hedge is the largest share of requests that are hedged, from 0 to 1.
	Hedge float64
	// Over is the factor on the rate of a cold backend server, and Slack the number of
	// requests beyond that, which no second may pass.
	Over  float64
	Slack float64
	// Origin tells who asked for the budget, and why.
	Origin Origin
}

// Out takes a data centre or an instance out of service.
type Out struct {
	Name   string
	Origin Origin
}
