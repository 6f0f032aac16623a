package shed_test

import (
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/shed"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// newPolicy returns a policy for connections that are numbers.
func newPolicy() shed.Policy[int] {
	return shed.New[int](shed.Options{Overhead: 16 << 10, Keep: 15 * time.Second})
}

func TestChoose(t *testing.T) {
	holding := func(s shed.State, bytes int64, age time.Duration) shed.Holding {
		return shed.Holding{State: s, Bytes: bytes, Since: start.Add(-age)}
	}
	tests := []struct {
		name string
		room shed.Room
		all  []shed.Holding
		// want is the index of the connection that is chosen, or -1.
		want int
	}{
		{"none", shed.Memory, nil, -1},
		{"the larger one", shed.Memory, []shed.Holding{holding(shed.Waiting, 5000, time.Second), holding(shed.Waiting, 6000, time.Second)}, 1},
		{"the longer one", shed.Memory, []shed.Holding{holding(shed.Waiting, 5000, 3*time.Second), holding(shed.Waiting, 6000, time.Second)}, 0},
		{"no accepted one", shed.Memory, []shed.Holding{holding(shed.Accepted, 1<<20, time.Hour), holding(shed.Waiting, 5000, time.Second)}, 1},
		{"accepted ones only", shed.Memory, []shed.Holding{holding(shed.Accepted, 1<<20, time.Hour)}, -1},
		{"nothing to gain", shed.Memory, []shed.Holding{holding(shed.Waiting, 0, time.Hour), holding(shed.Kept, 0, time.Hour)}, -1},
		{"silent", shed.Connections, []shed.Holding{holding(shed.Waiting, 0, 2*time.Second), holding(shed.Waiting, 0, 3*time.Second)}, 1},
		{"waiting before kept", shed.Connections, []shed.Holding{holding(shed.Kept, 0, time.Hour), holding(shed.Waiting, 0, time.Millisecond)}, 1},
		{"waiting since now", shed.Connections, []shed.Holding{holding(shed.Waiting, 0, 0)}, 0},
		{"kept for too long", shed.Connections, []shed.Holding{holding(shed.Kept, 0, 16*time.Second), holding(shed.Kept, 0, 17*time.Second)}, 1},
		{"kept within the time", shed.Connections, []shed.Holding{holding(shed.Kept, 0, 15*time.Second)}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := newPolicy().Choose(start, tt.room, func(yield func(int, shed.Holding) bool) {
				for i, h := range tt.all {
					if !yield(i, h) {
						return
					}
				}
			})
			if !ok {
				got = -1
			}
			qt.New(t).Check(got, qt.Equals, tt.want)
		})
	}
}

// TestCallersStayWhileOthersHoldRoom replays the load: clients that hold parts of requests which
// they never complete, among callers that complete theirs within some round trips and keep their
// connections.
func TestCallersStayWhileOthersHoldRoom(t *testing.T) {
	const (
		step       = 5 * time.Millisecond
		steps      = 2000
		room       = 200
		budget     = 2 << 20
		roundTrips = 6
		keptFor    = 4 * time.Second
	)
	for _, tt := range []struct {
		name  string
		bytes int64
		// perStep is the number of clients that connect in each step.
		perStep int
	}{{"long heads that trickle", 30_000, 2}, {"tiny fields within the limits", 16_384, 5}, {"silent connections", 0, 3}} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p, all := newPolicy(), make(map[int]shed.Holding)
			callers := make(map[int]int) // the step in which each caller has connected
			held := func() (total int64) {
				for _, h := range all {
					total += h.Bytes
				}
				return total
			}
			next, shedClients := 0, 0
			add := func(h shed.Holding) {
				all[next] = h
				next++
			}
			for i := range steps {
				now := start.Add(time.Duration(i) * step)
				for range tt.perStep {
					add(shed.Holding{State: shed.Waiting, Bytes: tt.bytes, Since: now})
				}
				if i%10 == 0 {
					callers[next] = i
					add(shed.Holding{State: shed.Waiting, Bytes: 8192, Since: now})
				}
				for caller, began := range callers {
					switch age := i - began; {
					case age == roundTrips:
						all[caller] = shed.Holding{State: shed.Accepted, Bytes: 8192, Since: now}
					case age == 2*roundTrips:
						all[caller] = shed.Holding{State: shed.Kept, Since: now}
					case time.Duration(age)*step > keptFor:
						delete(callers, caller)
						delete(all, caller)
					}
				}
				for len(all) > room || held() > budget {
					r := shed.Memory
					if len(all) > room {
						r = shed.Connections
					}
					victim, ok := p.Choose(now, r, maps.All(all))
					c.Assert(ok, qt.IsTrue)
					_, isCaller := callers[victim]
					c.Assert(isCaller, qt.IsFalse, qt.Commentf("step %d: %+v", i, all[victim]))
					delete(all, victim)
					shedClients++
				}
			}
			c.Check(shedClients > steps, qt.IsTrue)
		})
	}
}

func TestNobodyAheadIsSpared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(rapid.Custom(func(t *rapid.T) shed.Holding {
			return shed.Holding{
				State: rapid.SampledFrom([]shed.State{shed.Accepted, shed.Waiting, shed.Kept}).Draw(t, "state"),
				Bytes: rapid.Int64Range(0, 1<<20).Draw(t, "bytes"),
				Since: start.Add(-time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))),
			}
		})).Draw(t, "all")
		room := rapid.SampledFrom([]shed.Room{shed.Memory, shed.Connections}).Draw(t, "room")
		victim, ok := newPolicy().Choose(start, room, func(yield func(int, shed.Holding) bool) {
			for i, h := range all {
				if !yield(i, h) {
					return
				}
			}
		})
		if !ok {
			return
		}
		chosen := all[victim]
		if chosen.State == shed.Accepted {
			t.Fatalf("chosen: %+v", chosen)
		}
		for _, h := range all {
			if h.State == shed.Waiting && chosen.State == shed.Waiting && h.Bytes > chosen.Bytes && h.Since.Before(chosen.Since) {
				t.Fatalf("%+v is chosen before %+v", chosen, h)
			}
		}
	})
}
