package test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/ticket"
)

// request is a request of a caller.
type request struct {
	method, path, id, work, body string
	header                       map[string]string
}

// response is what a caller received. err is set if the response is incomplete.
type response struct {
	status                  int
	outcome, reason, ticket string
	server                  string
	body                    string
	err                     error
}

// lookup, claim and export return requests of the three kinds.
func lookup(id string) request { return request{method: "GET", path: "/lines/" + id, id: id} }

func claim(id, work string) request {
	return request{method: "POST", path: "/claims", id: id, work: work, body: "claim " + id}
}

func export(id, query string) request {
	return request{method: "GET", path: "/exports/" + id + "?" + query, id: id}
}

// withHeader returns a copy of the request with one more header.
func (r request) withHeader(name, value string) request {
	header := map[string]string{name: value}
	for n, v := range r.header {
		header[n] = v
	}
	r.header = header
	return r
}

// pending is a request in progress.
type pending struct {
	// earlyTickets receives the ticket of each informational (1xx) response.
	earlyTickets chan string
	// headerRead is closed once the header of the final response has been read.
	headerRead chan struct{}
	done       chan response
}

// sendAsync sends r to the entry of instance i and does not wait for the response.
func (s *system) sendAsync(i int, r request) *pending {
	p := &pending{earlyTickets: make(chan string, 16), headerRead: make(chan struct{}), done: make(chan response, 1)}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			p.earlyTickets <- h.Get("Bulrushlock-Ticket")
			return nil
		},
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.instances[i].callers.String()+r.path, strings.NewReader(r.body))
	s.c.Assert(err, qt.IsNil)
	req.Header.Set("Id", r.id)
	if r.work != "" {
		req.Header.Set("Work", r.work)
	}
	for n, v := range r.header {
		req.Header.Set(n, v)
	}
	go func() { p.done <- receive(req, p.headerRead) }()
	return p
}

// receive sends a request on a new connection and reads the whole response. It closes
// headerRead once it has read the response header.
func receive(r *http.Request, headerRead chan<- struct{}) response {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Minute}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	close(headerRead)
	body, err := io.ReadAll(resp.Body)
	return response{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Bulrushlock-Outcome"),
		reason:  resp.Header.Get("Bulrushlock-Reason"),
		ticket:  resp.Header.Get("Bulrushlock-Ticket"),
		server:  resp.Header.Get("Server-Name"),
		body:    string(body),
		err:     err,
	}
}

// send sends r to the entry of instance i and waits for the whole response.
func (s *system) send(i int, r request) response { return <-s.sendAsync(i, r).done }

// warmUp sends claims to the first entry until both guards of the service have run one,
// so that the entry knows their current incarnations.
func (s *system) warmUp() {
	seen := map[string]bool{}
	waitUntil(s.c, "claims ran at both instances", func() bool {
		resp := s.send(0, claim("warm", ""))
		seen[resp.server] = true
		return seen["desk-2"] && seen["desk-3"]
	})
}

// guardOf returns the index of the instance whose guard a ticket names.
func (s *system) guardOf(text string) int {
	t, err := ticket.Parse(text)
	s.c.Assert(err, qt.IsNil)
	return s.indexOf(t.Guard.Instance)
}

// startClaim sends the first entry a claim that runs for the duration work, and waits
// until it runs. It returns the pending request, the ticket and the index of the instance
// that runs the claim.
func (s *system) startClaim(id, work string) (p *pending, t string, guard int) {
	p = s.sendAsync(0, claim(id, work))
	waitUntil(s.c, "claim runs", func() bool { return s.runsOf(id) == 1 })
	for len(p.earlyTickets) > 0 {
		t = <-p.earlyTickets
	}
	return p, t, s.guardOf(t)
}
