package test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/stand"
)

// Backend servers send a second answer after each one on their kept connections,
// while callers at every entry send lookups and claims.
func TestNoCallerGetsTheAnswerOfAnother(t *testing.T) {
	s := newSystem(t, options{})
	for i := range s.instances {
		s.post(s.instances[i].server, "/control?fault=extra", "")
	}
	var callers sync.WaitGroup
	var mutex sync.Mutex
	ran := 0
	for worker := range 9 {
		callers.Go(func() {
			for n := range 30 {
				id := fmt.Sprintf("caller-%d-%d", worker, n)
				r := lookup(id)
				if n%2 == 1 {
					r = claim(id, "")
				}
				a := s.send(worker%3, r)
				if a.err != nil || a.outcome != "run" {
					continue
				}
				var e stand.Echo
				if err := json.Unmarshal([]byte(a.body), &e); err != nil || e.ID != id {
					t.Errorf("the answer to %s is %q", id, a.body)
				}
				mutex.Lock()
				ran++
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	s.c.Check(ran > 0, qt.IsTrue)
	t.Logf("%d of 270 requests ran", ran)
}
