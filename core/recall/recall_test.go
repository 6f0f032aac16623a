package recall_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/recall"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// options are those of the tests.
var options = recall.Options{Keep: 10 * time.Second, Ignore: 3 * time.Second, Memory: time.Minute}

// at returns the time some seconds after the start.
func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func TestCopyLacksAnElement(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"north", "south"}, nil)
	s.Observe(at(5), 2, []string{"north"}, nil)
	c.Check(s.Kept(), qt.DeepEquals, []string{"south"})
	c.Check(s.Expire(at(14)), qt.IsFalse)
	c.Check(s.Expire(at(15)), qt.IsTrue)
	c.Check(s.Kept(), qt.HasLen, 0)
}

func TestAuthorWritesAnElementAgain(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"south"}, nil)
	s.Observe(at(5), 2, nil, nil)
	s.Observe(at(6), 2, []string{"south"}, nil)
	c.Check(s.Kept(), qt.HasLen, 0)
	// From here on its removal counts at once.
	s.Observe(at(7), 2, nil, nil)
	c.Check(s.Kept(), qt.HasLen, 0)
	c.Check(s.IsIgnored("south"), qt.IsFalse)
}

func TestCopyListsARemovedElement(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"south"}, nil)
	s.Observe(at(4), 1, nil, nil)
	s.Observe(at(5), 2, []string{"south"}, nil)
	c.Check(s.IsIgnored("south"), qt.IsTrue)
	c.Check(s.Expire(at(7)), qt.IsFalse)
	c.Check(s.Expire(at(8)), qt.IsTrue)
	c.Check(s.IsIgnored("south"), qt.IsFalse)
}

func TestElementIsRemovedAndAddedWithinAnEpoch(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"south"}, nil)
	s.Observe(at(1), 1, nil, nil)
	s.Observe(at(2), 1, []string{"south"}, nil)
	c.Check(s.IsIgnored("south"), qt.IsFalse)
	s.Observe(at(3), 2, []string{"south"}, nil)
	c.Check(s.IsIgnored("south"), qt.IsFalse)
}

func TestSecondReturn(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"north"}, nil)
	s.Observe(at(1), 1, []string{"south"}, nil)
	s.Observe(at(2), 2, []string{"north"}, nil)
	c.Check(s.Kept(), qt.DeepEquals, []string{"south"})
	c.Check(s.IsIgnored("north"), qt.IsTrue)
	s.Observe(at(4), 3, []string{"north"}, nil)
	c.Check(s.Expire(at(6)), qt.IsFalse)
	c.Check(s.Kept(), qt.DeepEquals, []string{"south"})
	c.Check(s.IsIgnored("north"), qt.IsTrue)
}

func TestFirstDocumentIsTakenAsItIs(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 7, []string{"north"}, nil)
	c.Check(s.Kept(), qt.HasLen, 0)
	c.Check(s.IsIgnored("north"), qt.IsFalse)
	c.Check(s.Epoch(), qt.Equals, uint64(7))
}

func TestOldRemovalIsForgotten(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, []string{"south"}, nil)
	s.Observe(at(1), 1, nil, nil)
	s.Observe(at(62), 2, []string{"south"}, nil)
	c.Check(s.IsIgnored("south"), qt.IsFalse)
}

func TestElementThatIsNamedAsRemoved(t *testing.T) {
	c := qt.New(t)
	s := recall.New[string](options)
	s.Observe(at(0), 1, nil, []string{"south"})
	s.Observe(at(50), 1, nil, []string{"south"})
	s.Observe(at(70), 2, []string{"south"}, nil)
	c.Check(s.IsIgnored("south"), qt.IsTrue)
	// Its author names it again.
	s.Observe(at(71), 2, nil, []string{"south"})
	c.Check(s.IsIgnored("south"), qt.IsFalse)
	c.Check(s.Kept(), qt.HasLen, 0)
}

// TestSetFollowsItsAuthor returns at random times to copies of up to five seconds ago, after which the
// author writes again what was lost, within a second. What is in force never differs from what the author
// wants, and what holds on ends.
func TestSetFollowsItsAuthor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		s := recall.New[string](options)
		var history []map[string]bool
		wanted := map[string]bool{}
		epoch := uint64(1)
		inForce := func(listed []string) map[string]bool {
			result := map[string]bool{}
			for _, k := range listed {
				if !s.IsIgnored(k) {
					result[k] = true
				}
			}
			for _, k := range s.Kept() {
				result[k] = true
			}
			return result
		}
		list := func(m map[string]bool) []string {
			var l []string
			for _, k := range names {
				if m[k] {
					l = append(l, k)
				}
			}
			return l
		}
		isReturn := false
		for now := range rapid.IntRange(1, 60).Draw(t, "seconds") {
			// In the second of a return nothing is written, and in the next one only what was lost.
			isSettled := !isReturn
			isReturn = now > 0 && rapid.IntRange(0, 4).Draw(t, "returns") == 0
			if k := rapid.SampledFrom(names).Draw(t, "name"); isSettled && !isReturn && rapid.Bool().Draw(t, "changes") {
				wanted = map[string]bool{"a": wanted["a"], "b": wanted["b"], "c": wanted["c"]}
				wanted[k] = !wanted[k]
			}
			history = append(history, wanted)
			listed := wanted
			if isReturn {
				listed = history[max(0, now-rapid.IntRange(1, 5).Draw(t, "age"))]
				epoch++
			}
			s.Observe(at(now), epoch, list(listed), nil)
			s.Expire(at(now))
			got := inForce(list(listed))
			for _, k := range names {
				if got[k] != wanted[k] {
					t.Fatalf("second %d: %s is %v, its author wants %v", now, k, got[k], wanted[k])
				}
			}
		}
	})
}
