package queue_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/queue"
)

func ExampleQueue() {
	q := queue.New[string](2)
	q.Push(3, "lookup")
	q.Push(2, "export")
	displaced, _ := q.Push(1, "filing")
	first, _ := q.Pop()
	fmt.Println(displaced, first)
	// Output: lookup filing
}

func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		most := rapid.IntRange(0, 5).Draw(rt, "most")
		q := queue.New[int](most)
		type entry struct{ priority, value int }
		var oracle []entry
		for i := range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "pop") {
				value, ok := q.Pop()
				c.Assert(ok, qt.Equals, len(oracle) > 0)
				if ok {
					c.Assert(value, qt.Equals, oracle[0].value)
					oracle = oracle[1:]
				}
				continue
			}
			priority := rapid.IntRange(1, 3).Draw(rt, "rank")
			q.Push(priority, i)
			oracle = append(oracle, entry{priority, i})
			slices.SortStableFunc(oracle, func(a, b entry) int { return a.priority - b.priority })
			oracle = oracle[:min(len(oracle), most)]
			c.Assert(q.Len(), qt.Equals, len(oracle))
		}
	})
}
