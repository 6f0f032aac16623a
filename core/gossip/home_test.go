package gossip_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/event"
)

// spreadNodes and spreadCentres are the size of a fleet whose data centres are far apart.
const (
	spreadNodes   = 92
	spreadCentres = 4
)

// Rules must be in force within the same bound where nodes prefer their own data centres, under
// the same faults.
func TestPublishedRulesReachNodesThatPreferHome(t *testing.T) {
	for _, nodes := range []int{smallFleet, 40, 60} {
		for seed := range uint64(10) {
			f := newSpreadFleet(qt.New(t), nodes, spreadCentres, true, seed)
			if late := f.runMixedFaults(); late != "" {
				t.Errorf("%d nodes, seed %d: %s", nodes, seed, late)
			}
		}
	}
}

// Of the nodes of a data centre that get new rules, few may fetch them from another one.
func TestDocumentsEnterDataCentresOnce(t *testing.T) {
	crossed := func(prefersHome bool) int {
		f := newSpreadFleet(qt.New(t), spreadNodes, spreadCentres, prefersHome, 1)
		const changes, settling = 10, 8 * time.Second
		qt.Assert(t, f.advance(contactStart.Add(settling)), qt.Equals, "")
		f.crossed = 0
		for range changes {
			f.published = append(f.published, f.now.Add(time.Second))
			qt.Assert(t, f.advance(f.now.Add(4*time.Second)), qt.Equals, "")
		}
		return f.crossed / changes
	}
	alike, home := crossed(false), crossed(true)
	// A fetch for each gateway of the three other data centres, and as many again for
	// announcements that overtake it.
	qt.Check(t, home <= 2*2*(spreadCentres-1), qt.IsTrue, qt.Commentf("%d of %d documents crossed, %d without preference", home, spreadNodes, alike))
	qt.Check(t, alike > spreadNodes/2, qt.IsTrue, qt.Commentf("%d", alike))
}

// The loss of a data centre, in which the readers may be, and its return must not delay rules in
// the others.
func TestPublishedRulesOutliveADataCentre(t *testing.T) {
	for lost := range spreadCentres {
		f := newSpreadFleet(qt.New(t), spreadNodes, spreadCentres, true, uint64(lost))
		from := contactStart.Add(8 * time.Second)
		qt.Assert(t, f.advance(from), qt.Equals, "")
		f.inject(outage{from: from, to: from.Add(6 * time.Second), down: true, nodes: f.nodesWhere(func(node int) bool {
			return node*spreadCentres/spreadNodes == lost
		})})
		for at := from; at.Before(from.Add(10 * time.Second)); at = at.Add(700 * time.Millisecond) {
			f.published = append(f.published, at)
		}
		qt.Check(t, f.advance(from.Add(15*time.Second)), qt.Equals, "", qt.Commentf("data centre %d", lost))
	}
}

// Without a listed peer at home, a node treats all peers alike.
func TestOnlyNodeOfDataCentreFetchesAtOnce(t *testing.T) {
	f := newSpreadFleet(qt.New(t), spreadCentres, spreadCentres, true, 1)
	qt.Assert(t, f.advance(contactStart.Add(8*time.Second)), qt.Equals, "")
	f.published = append(f.published, f.now.Add(time.Second))
	qt.Check(t, f.advance(f.now.Add(5*time.Second)), qt.Equals, "")
	for _, g := range f.nodes {
		_, v := g.Text(event.Rules)
		_, _, want := f.rulesAt(f.now)
		qt.Check(t, v.Revision >= want, qt.IsTrue)
	}
}
