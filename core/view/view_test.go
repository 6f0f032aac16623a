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
	fmt.Println(v.Offer("12", view.Version{Revision: 2}, now))
	fmt.Println(v.Offer("11", view.Version{Revision: 1}, now))
	_, err := v.Offer("x", view.Version{Revision: 3}, now)
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
			Text    string
			Version view.Version
		}
		offers := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) offer {
			text := rapid.SampledFrom([]string{"1", "2", "3", "x", "y"}).Draw(t, "text")
			// A text belongs to one edition.
			edition := map[string]uint64{"1": 1, "2": 2, "3": 2, "x": 1, "y": 2}[text]
			return offer{text, view.Version{
				Edition:  edition,
				Epoch:    rapid.Uint64Range(0, 2).Draw(t, "epoch"),
				Revision: rapid.Uint64Range(0, 5).Draw(t, "revision"),
			}}
		}), 1, 30).Draw(t, "offers")
		now := time.Unix(0, 0)
		a, b := view.New(strconv.Atoi), view.New(strconv.Atoi)
		for i, o := range offers {
			before, had := a.Version(), i > 0
			verdict, err := a.Offer(o.Text, o.Version, now)
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
			_, _ = b.Offer(o.Text, o.Version, now)
		}
		if a.Version() != b.Version() || a.Text() != b.Text() {
			t.Fatalf("%v and %v differ", a.Version(), b.Version())
		}
		for _, o := range offers {
			held := a.Version()
			isNewer := o.Version.Edition > held.Edition || o.Version.Edition == held.Edition && o.Version.CompareRevision(held) > 0
			if _, err := strconv.Atoi(o.Text); err == nil && isNewer {
				t.Fatalf("%v is newer than %v", o, held)
			}
		}
	})
}

// TestOtherEpochs guards against revisions that are compared across epochs, and against an older copy.
func TestOtherEpochs(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	v := view.New(strconv.Atoi)
	offer := func(text string, o view.Version) view.Verdict {
		verdict, err := v.Offer(text, o, now)
		c.Assert(err, qt.IsNil)
		return verdict
	}
	c.Check(offer("1", view.Version{Edition: 12, Epoch: 1, Revision: 120}), qt.Equals, view.Accepted)
	c.Check(offer("2", view.Version{Edition: 11, Epoch: 2, Revision: 90}), qt.Equals, view.Older)
	c.Check(offer("3", view.Version{Edition: 13, Epoch: 2, Revision: 91}), qt.Equals, view.Accepted)
	c.Check(offer("4", view.Version{Edition: 13, Epoch: 1, Revision: 130}), qt.Equals, view.Older)
	// The revision of an answer of another epoch says nothing about this one.
	c.Check(v.AdvanceRevision(1, 130), qt.IsFalse)
	c.Check(v.AdvanceRevision(2, 92), qt.IsTrue)
	c.Check(v.Version().Revision, qt.Equals, uint64(92))
	c.Check(offer("5", view.Version{Edition: 13, Epoch: 2, Revision: 93}), qt.Equals, view.Accepted)
	// A node of an older build tells neither the edition nor the epoch.
	c.Check(v.NeedsFetch(view.Version{Revision: 500, Digest: 1}), qt.IsFalse)
	known := v.Version()
	c.Check(v.AdoptIfSameText(view.Version{Revision: 500, Digest: known.Digest}), qt.IsTrue)
	c.Check(v.Version(), qt.Equals, known)
}

func TestAge(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	v := view.New(strconv.Atoi)
	c.Assert(v.NeedsFetch(view.Version{Revision: 1}), qt.IsTrue)
	_, err := v.Offer("1", view.Version{Revision: 1}, now)
	c.Assert(err, qt.IsNil)
	c.Assert(v.Age(now) > 100*365*24*time.Hour, qt.IsTrue)
	v.Confirm(now)
	c.Assert(v.Age(now.Add(time.Second)), qt.Equals, time.Second)
	c.Assert(v.NeedsFetch(v.Version()), qt.IsFalse)
}
