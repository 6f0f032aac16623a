package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/sched"
)

var now = time.Unix(1000, 0)

// at returns the time ms milliseconds after now.
func at(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// item returns an item with a service time of 100 ms. The times due and end are in
// milliseconds after now.
func item(value, priority, due, end int) sched.Item[int] {
	return sched.Item[int]{Value: value, Priority: priority, Due: at(due), Expires: at(end), ServiceTime: 100 * time.Millisecond}
}

// drain removes all items and returns them in order.
func drain(l *sched.Queue[int], slowdown float64) []int {
	var order []int
	for {
		v, ok := l.Next(now, slowdown, func(int) bool { return true })
		if !ok {
			return order
		}
		l.Remove(v)
		order = append(order, v)
	}
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name     string
		items    []sched.Item[int]
		slowdown float64
		want     []int
	}{
		{"earliest due time first", []sched.Item[int]{item(1, 1, 300, 200), item(2, 1, 200, 100)}, 1, []int{2, 1}},
		{"rank before due time", []sched.Item[int]{item(1, 2, 200, 100), item(2, 1, 300, 200)}, 1, []int{2, 1}},
		{"late items last", []sched.Item[int]{item(1, 1, 50, 60), item(2, 2, 300, 200)}, 1, []int{2, 1}},
		{"late items by remaining wait", []sched.Item[int]{item(1, 1, 50, 60), item(2, 1, 60, 40)}, 1, []int{2, 1}},
		{"slow: items that can be on time first", []sched.Item[int]{item(1, 1, 150, 50), item(2, 1, 350, 250)}, 3, []int{2, 1}},
		{"slow: then the latest due time", []sched.Item[int]{item(1, 1, 150, 50), item(2, 1, 250, 150)}, 3, []int{2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			l := sched.New[int](8)
			for _, i := range tt.items {
				c.Assert(l.Push(i), qt.IsTrue)
			}
			c.Check(drain(l, tt.slowdown), qt.DeepEquals, tt.want)
		})
	}
}

func TestFullQueueRejectsItems(t *testing.T) {
	c := qt.New(t)
	l := sched.New[int](1)
	c.Check(l.Push(item(1, 1, 300, 200)), qt.IsTrue)
	c.Check(l.Push(item(2, 1, 300, 200)), qt.IsFalse)
	c.Check(l.Len(), qt.Equals, 1)
}

func TestExpireRemovesExpiredItems(t *testing.T) {
	c := qt.New(t)
	l := sched.New[int](8)
	l.Push(item(1, 1, 300, 10))
	l.Push(item(2, 1, 300, 20))
	c.Check(l.Expire(at(9)), qt.HasLen, 0)
	c.Check(l.Expire(at(10)), qt.DeepEquals, []int{1})
	c.Check(l.Len(), qt.Equals, 1)
}

// Expire and Next must return each item exactly once.
func TestEachItemIsReturnedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := sched.New[int](64)
		count := rapid.IntRange(0, 40).Draw(t, "count")
		for v := range count {
			l.Push(item(v, rapid.IntRange(1, 3).Draw(t, "rank"), rapid.IntRange(0, 400).Draw(t, "due"), rapid.IntRange(0, 400).Draw(t, "end")))
		}
		seen := make(map[int]bool)
		for _, v := range l.Expire(at(rapid.IntRange(0, 400).Draw(t, "now"))) {
			seen[v] = true
		}
		for _, v := range drain(l, 1) {
			if seen[v] {
				t.Fatalf("item %d returned twice", v)
			}
			seen[v] = true
		}
		if len(seen) != count {
			t.Fatalf("%d of %d items returned", len(seen), count)
		}
	})
}

func TestDisplace(t *testing.T) {
	tests := []struct {
		name     string
		queued   []sched.Item[int]
		slowdown float64
		item     sched.Item[int]
		want     int
	}{
		{"lower priority leaves", []sched.Item[int]{item(1, 1, 300, 200), item(2, 3, 900, 800)}, 1, item(9, 2, 300, 200), 2},
		{"latest of the lowest priority leaves", []sched.Item[int]{item(1, 3, 900, 800), item(2, 3, 950, 850)}, 1, item(9, 1, 300, 200), 2},
		{"late item leaves", []sched.Item[int]{item(1, 2, 300, 200), item(2, 1, 50, 60)}, 1, item(9, 2, 300, 200), 2},
		{"same priority stays", []sched.Item[int]{item(1, 2, 900, 800), item(2, 2, 950, 850)}, 1, item(9, 2, 300, 200), 0},
		{"higher priority stays", []sched.Item[int]{item(1, 1, 900, 800), item(2, 1, 950, 850)}, 1, item(9, 2, 300, 200), 0},
		{"timely items stay before a late one", []sched.Item[int]{item(1, 3, 900, 800), item(2, 3, 950, 850)}, 1, item(9, 1, 50, 60), 0},
		{"slow: items on time only at normal speed leave", []sched.Item[int]{item(1, 1, 150, 50), item(2, 3, 950, 850)}, 3, item(9, 2, 900, 800), 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			q := sched.New[int](len(tt.queued))
			for _, i := range tt.queued {
				c.Assert(q.Push(i), qt.IsTrue)
			}
			got, ok := q.Displace(now, tt.slowdown, tt.item)
			c.Check(got, qt.Equals, tt.want)
			c.Check(ok, qt.Equals, tt.want != 0)
			c.Check(q.Len(), qt.Equals, len(tt.queued))
			c.Check(q.Remove(tt.item.Value), qt.Equals, ok)
		})
	}
}
