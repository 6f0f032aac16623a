package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/owner"
)

const window = 10 * time.Second

func ExampleHistory() {
	h := owner.New(window)
	start := time.Unix(0, 0)
	h.Observe(start, []string{"a"})
	fmt.Println(h.Settled(start, "key", "a"), h.Settled(start.Add(window), "key", "a"))
	// Output: false true
}

var members = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID)

// TestOnlyKeysOfLeavingInstanceMove checks that a key keeps its owner when another instance
// leaves.
func TestOnlyKeysOfLeavingInstanceMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		all := members.Draw(t, "members")
		name, ok := owner.Of(key, "s", all)
		if ok != (len(all) > 0) || ok && !slices.Contains(all, name) {
			t.Fatalf("%q owns, of %v", name, all)
		}
		for _, gone := range all {
			rest := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return n == gone })
			slices.Reverse(rest)
			if other, _ := owner.Of(key, "s", rest); gone != name && other != name {
				t.Fatalf("%q owns after %q left, not %q", other, gone, name)
			}
		}
	})
}

// TestSettledAgainstOracle compares Settled with the owners of all memberships, one per
// second.
func TestSettledAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := owner.New(window)
		h.Service = "s"
		start := time.Unix(0, 0)
		var owners []string
		for i := range 60 {
			all := []string{"a", "b"}
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				all = members.Draw(t, "members")
			}
			now := start.Add(time.Duration(i) * time.Second)
			h.Observe(now, all)
			name, _ := owner.Of("key", "s", all)
			owners = append(owners, name)
			// The membership in force at the start of the window counts too.
			first := max(0, i-int(window/time.Second))
			same := !slices.ContainsFunc(owners[first:], func(n string) bool { return n != "a" })
			if want := same && i >= 10; h.Settled(now, "key", "a") != want {
				t.Fatalf("at %v: settled is not %v: %v", now, want, owners)
			}
		}
	})
}

func TestNotSettled(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	h := owner.New(window)
	for i := range 200 {
		now = now.Add(window / 100)
		h.Observe(now, []string{"a", "b"}[:1+i%2])
	}
	c.Assert(h.Settled(now, "key", "a") || h.Settled(now, "key", "b"), qt.IsFalse)
	h.Observe(now, []string{"a"})
	c.Assert(h.Settled(now.Add(window), "key", "a"), qt.IsTrue)
	c.Assert(h.Settled(now.Add(2*window), "key", "a"), qt.IsFalse)
	h.Observe(now.Add(3*window), []string{"a"})
	c.Assert(h.Settled(now.Add(3*window), "key", "a"), qt.IsFalse)
}

// TestTimesOutOfOrder checks that events which are handled slightly out of order neither clear
// the history nor make it start earlier.
func TestTimesOutOfOrder(t *testing.T) {
	c := qt.New(t)
	h := owner.New(window)
	start := time.Unix(0, 0)
	all := []string{"a"}
	h.Observe(start.Add(time.Millisecond), all)
	h.Observe(start, all)
	c.Assert(h.Settled(start.Add(window), "key", "a"), qt.IsFalse)
	h.Observe(start.Add(window), all)
	h.Observe(start.Add(window-time.Millisecond), all)
	h.Observe(start.Add(window+time.Millisecond), all)
	c.Assert(h.Settled(start.Add(window), "key", "a"), qt.IsTrue)
	h.Observe(start.Add(window), []string{"a", "b", "c"})
	h.Observe(start.Add(window-time.Second), all)
	c.Assert(h.Settled(start.Add(window-time.Second), "key", "b"), qt.IsFalse)
}
