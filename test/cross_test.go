package test

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// TestNoCallerGetsResponseOfAnother sends lookups and claims through every entry while
// the backend servers send additional or late responses. A node that reused a connection
// with an unread response would pass it to the wrong caller.
func TestNoCallerGetsResponseOfAnother(t *testing.T) {
	tests := []struct {
		name, fault string
		// timeLeft is the time left that half of the requests state.
		timeLeft string
	}{
		{"second response after each one", "extra", "5s"},
		{"responses after the deadline of their callers", "late&time=60ms", "40ms"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSystem(t, options{})
			for i := range s.instances {
				s.post(s.instances[i].serverAddress, "/control?fault="+tt.fault, "")
			}
			var callers sync.WaitGroup
			var ran atomic.Int32
			for worker := range 9 {
				callers.Go(func() {
					for n := range 30 {
						if s.sendAndCheckBody(t, fmt.Sprintf("caller-%d-%d", worker, n), worker%3, n, tt.timeLeft) {
							ran.Add(1)
						}
					}
				})
			}
			callers.Wait()
			s.c.Check(ran.Load() > 0, qt.IsTrue)
			t.Logf("%d of 270 requests ran", ran.Load())
		})
	}
}

// sendAndCheckBody sends the n-th request of a caller, checks that the response belongs
// to it, and reports whether the request ran.
func (s *system) sendAndCheckBody(t *testing.T, id string, entry, n int, timeLeft string) bool {
	r := lookup(id)
	if n%2 == 1 {
		r = claim(id, "")
	}
	if n%4 < 2 {
		r = r.withHeader("Bulrushlock-Call", "0/"+timeLeft)
	}
	resp := s.send(entry, r)
	if resp.err != nil || resp.outcome != "run" {
		return false
	}
	var e fake.Echo
	if err := json.Unmarshal([]byte(resp.body), &e); err != nil || e.ID != id {
		t.Errorf("the response to %s is %q", id, resp.body)
	}
	return true
}
