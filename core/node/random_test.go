package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/event"
	"bulrushlock/core/pick"
)

// Nodes that start together fail to read at the same moments. Their retries must be spread all
// the same.
func TestNodesDrawDifferentNumbersAtTheSameTime(t *testing.T) {
	c := qt.New(t)
	const nodes, parts = 300, 10
	e := event.DocumentReadFailed{At: time.Unix(1000, 1)}
	var count [parts]int
	for i := range uint64(nodes) {
		n := New(Config{Instance: "a", Incarnation: i + 1}, pick.NewLoadAware())
		count[n.randomOf(e)%uint64(time.Second)*parts/uint64(time.Second)]++
	}
	for _, n := range count {
		c.Check(n > nodes/parts/3 && n < nodes/parts*3, qt.IsTrue, qt.Commentf("%v", count))
	}
}
