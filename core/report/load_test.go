package report

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestParseRestoresLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number, flag := rapid.IntRange(0, 1<<20), rapid.Bool()
		want := Load{
			InFlight: number.Draw(t, "in flight"), Queued: number.Draw(t, "queued"), Limit: number.Draw(t, "limit"), Slow: number.Draw(t, "slow"),
			Cold: flag.Draw(t, "cold"), Ill: flag.Draw(t, "ill"), Leaving: flag.Draw(t, "leaving"),
		}
		if got, err := Parse(want.String()); err != nil || got != want {
			t.Fatalf("%+v, %v, want %+v", got, err, want)
		}
	})
}

func TestParseRejectsMalformedLoads(t *testing.T) {
	for _, text := range []string{"", "1/2", "1/2/x", "-1/2/3", "1/2/3/", "1/2/3/warm", "1/2/3/slow=0", "1/2/3/slow=-1", "1/2/3/slow="} {
		_, err := Parse(text)
		var malformed *ParseError
		qt.Check(t, errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%q: %v", text, err))
	}
}
