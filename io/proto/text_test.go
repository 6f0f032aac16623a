package proto

import (
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/event"
	"bulrushlock/core/view"
)

// The age of the instance list is not sent. A receiver must not take a list that it shares
// with the sender for one that was just confirmed.
func TestParsedVersionsConfirmNoList(t *testing.T) {
	c := qt.New(t)
	sent := event.Versions{Rules: view.Version{Revision: 3, Digest: 4}, Fleet: view.Version{Revision: 5, Digest: 6}, Age: 1200 * time.Millisecond, FleetAge: time.Second}
	got, err := ParseVersions(FormatVersions(sent))
	c.Assert(err, qt.IsNil)
	c.Check(got.Rules, qt.Equals, sent.Rules)
	c.Check(got.Fleet, qt.Equals, sent.Fleet)
	c.Check(got.Age, qt.Equals, sent.Age)
	c.Check(got.FleetAge > 24*time.Hour, qt.IsTrue)
}

func TestVersionsInHeaders(t *testing.T) {
	c := qt.New(t)
	sent := event.Versions{
		Rules: view.Version{Edition: 12, Epoch: 2, Revision: 3, Digest: 4},
		Fleet: view.Version{Epoch: 1, Revision: 5, Digest: 6},
	}
	h := make(http.Header)
	SetVersions(h, sent)
	got, err := VersionsOf(h)
	c.Assert(err, qt.IsNil)
	c.Check(got.Rules, qt.Equals, sent.Rules)
	c.Check(got.Fleet, qt.Equals, sent.Fleet)
	// A node of an older build knows the first header only, and sends no other.
	old, err := ParseVersions(h.Get(HeaderVersions))
	c.Assert(err, qt.IsNil)
	c.Check(old.Rules, qt.Equals, view.Version{Revision: 3, Digest: 4})
	h.Del(HeaderOrigin)
	got, err = VersionsOf(h)
	c.Assert(err, qt.IsNil)
	c.Check(got.Rules, qt.Equals, view.Version{Revision: 3, Digest: 4})
	for _, text := range []string{"1.2", "1.2.3.4", "1.2.x", "-1.2.3"} {
		h.Set(HeaderOrigin, text)
		_, err := VersionsOf(h)
		var header *HeaderError
		c.Check(errors.As(err, &header), qt.IsTrue, qt.Commentf("%q", text))
	}
	h = make(http.Header)
	SetVersions(h, event.Versions{Rules: view.Version{Revision: 1}})
	c.Check(h.Get(HeaderOrigin), qt.Equals, "")
}

func TestParseAttemptRejectsOtherWords(t *testing.T) {
	for _, text := range []string{"", "yes", "yep/1/2/no/3/4/no", "yes/1/2/NO/3/4/no", "yes/1/2/no/3/4/", "yes/x/2/no/3/4/no"} {
		var header *HeaderError
		qt.Check(t, errors.As(ParseAttempt(text, &Attempt{}), &header), qt.IsTrue, qt.Commentf("%q", text))
	}
	var a Attempt
	qt.Check(t, ParseAttempt("yes/1/2/no/3/4/yes", &a), qt.IsNil)
	qt.Check(t, a.Idempotent && !a.First && a.Nested, qt.IsTrue)
}

// A timeout for the whole response is sent in full, and nothing else is taken for one.
func TestWholeTimeoutInHeader(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]time.Duration{"": 0, FormatWhole(1500 * time.Millisecond): 1500 * time.Millisecond} {
		got, err := ParseWhole(text)
		c.Assert(err, qt.IsNil)
		c.Check(got, qt.Equals, want)
	}
	for _, text := range []string{"0", "-1", "1.5", "1s", "9223372036854775807"} {
		_, err := ParseWhole(text)
		var header *HeaderError
		c.Check(errors.As(err, &header), qt.IsTrue, qt.Commentf("%q", text))
	}
}
