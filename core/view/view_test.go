package view_test

import (
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/view"
)

func ExampleView() {
	v := view.New(strconv.Atoi)
	now := time.Unix(0, 0)
	fmt.Println(v.Offer("12", 2, now))
	fmt.Println(v.Offer("11", 1, now))
	_, err := v.Offer("x", 3, now)
	fmt.Println(err)
	fmt.Println(v.Value())
	// Output:
	// taken <nil>
	// older <nil>
	// offer: revision 3 is invalid: strconv.Atoi: parsing "x": invalid syntax
	// 12 true
}

// TestNodesAgree checks that two views which are offered the same texts in different orders
// hold the same version.
func TestNodesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type offer struct {
			Text     string
			Revision uint64
		}
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) offer {
			return offer{rapid.SampledFrom([]string{"1", "2", "3", "x", "y"}).Draw(t, "text"), rapid.Uint64Range(0, 5).Draw(t, "revision")}
		}), 1, 30).Draw(t, "offers")
		now := time.Unix(0, 0)
		a, b := view.New(strconv.Atoi), view.New(strconv.Atoi)
		for i, o := range offers {
			before, had := a.Version(), i > 0
			verdict, err := a.Offer(o.Text, o.Revision, now)
			if had && a.Version().Compare(before) < 0 || (verdict == view.Accepted) != (a.Version().Digest != before.Digest) {
				t.Fatalf("%v: %v became %v", verdict, before, a.Version())
			}
			if verdict != view.Accepted && verdict != view.Known && a.Version() != before {
				t.Fatalf("%v: %v became %v", verdict, before, a.Version())
			}
			fault := new(view.InvalidError)
			if errors.As(err, &fault) != (verdict == view.Invalid) || err != nil && a.NeedsFetch(fault.Version) {
				t.Fatalf("%v: %v", verdict, err)
			}
		}
		for _, o := range rapid.Permutation(offers).Draw(t, "order") {
			_, _ = b.Offer(o.Text, o.Revision, now)
		}
		if a.Version() != b.Version() || a.Text() != b.Text() {
			t.Fatalf("%v and %v differ", a.Version(), b.Version())
		}
		for _, o := range offers {
			if _, err := strconv.Atoi(o.Text); err == nil && o.Revision > a.Version().Revision {
				t.Fatalf("%v is newer than %v", o, a.Version())
			}
		}
	})
}

func TestAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	v := view.New(strconv.Atoi)
	c.Assert(v.NeedsFetch(view.Version{Revision: 1}), qt.IsTrue)
	_, err := v.Offer("1", 1, now)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Age(now) > 100*365*24*time.Hour, qt.IsTrue)
	v.Confirm(now)
	c.Assert(v.Age(now.Add(time.Second)), qt.Equals, time.Second)
	c.Assert(v.NeedsFetch(v.Version()), qt.IsFalse)
}
