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

// request is what a caller sends.
type request struct {
	method, path, id, work, body string
	header                       map[string]string
}

// reply is what a caller gets. The error tells that the answer is not whole.
type reply struct {
	status                  int
	outcome, reason, ticket string
	server                  string
	body                    string
	err                     error
}

// lookup, claim and export return requests of each kind.
func lookup(id string) request { return request{method: "GET", path: "/lines/" + id, id: id} }

func claim(id, work string) request {
	return request{method: "POST", path: "/claims", id: id, work: work, body: "claim " + id}
}

func export(id, query string) request {
	return request{method: "GET", path: "/exports/" + id + "?" + query, id: id}
}

// with returns the request with one more header.
func (r request) with(name, value string) request {
	header := map[string]string{name: value}
	for n, v := range r.header {
		header[n] = v
	}
	r.header = header
	return r
}

// pending is a request on its way.
type pending struct {
	// early gets the ticket of each early answer.
	early chan string
	// head is closed once the head of the final answer is there.
	head chan struct{}
	done chan reply
}

// begin sends r to the entry of instance i.
func (s *system) begin(i int, r request) *pending {
	p := &pending{early: make(chan string, 16), head: make(chan struct{}), done: make(chan reply, 1)}
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			p.early <- h.Get("Bulrushlock-Ticket")
			return nil
		},
	})
	sent, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.instances[i].callers.String()+r.path, strings.NewReader(r.body))
	s.c.Assert(err, qt.IsNil)
	sent.Header.Set("Id", r.id)
	if r.work != "" {
		sent.Header.Set("Work", r.work)
	}
	for n, v := range r.header {
		sent.Header.Set(n, v)
	}
	go func() { p.done <- receive(sent, p.head) }()
	return p
}

// receive sends a request on a connection of its own and reads the whole answer.
func receive(r *http.Request, head chan<- struct{}) reply {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Minute}
	a, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = a.Body.Close() }()
	close(head)
	body, err := io.ReadAll(a.Body)
	return reply{
		status:  a.StatusCode,
		outcome: a.Header.Get("Bulrushlock-Outcome"),
		reason:  a.Header.Get("Bulrushlock-Reason"),
		ticket:  a.Header.Get("Bulrushlock-Ticket"),
		server:  a.Header.Get("Server-Name"),
		body:    string(body),
		err:     err,
	}
}

// send sends r to the entry of instance i and waits for the whole answer.
func (s *system) send(i int, r request) reply { return <-s.begin(i, r).done }

// warm sends claims to the first entry until it knows the present life of both guards.
func (s *system) warm() {
	seen := map[string]bool{}
	until(s.c, "claims ran at both instances", func() bool {
		a := s.send(0, claim("warm", ""))
		seen[a.server] = true
		return seen["desk-2"] && seen["desk-3"]
	})
}

// guardOf returns the index of the instance that a ticket names as its guard.
func (s *system) guardOf(text string) int {
	t, err := ticket.Parse(text)
	s.c.Assert(err, qt.IsNil)
	return s.index(t.Guard.Instance)
}

// running begins a claim at the first entry that runs for the given time, and returns once it runs
// at the returned instance.
func (s *system) running(id, work string) (p *pending, t string, guard int) {
	p = s.begin(0, claim(id, work))
	until(s.c, "claim runs", func() bool { return s.runsOf(id) == 1 })
	for len(p.early) > 0 {
		t = <-p.early
	}
	return p, t, s.guardOf(t)
}
