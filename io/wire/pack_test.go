package wire

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/event"
)

func TestPackedTextIsUnpacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p packer
		for range 3 {
			text := rapid.String().Draw(t, "text")
			form, err := p.pack(event.Rules, text)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := unpack(form); err != nil || got != text {
				t.Fatalf("%q, %v", got, err)
			}
		}
	})
}

func TestBadFormsAreRefused(t *testing.T) {
	c := qt.New(t)
	var p packer
	long, err := p.pack(event.Fleet, strings.Repeat("x", mostText+1))
	c.Assert(err, qt.IsNil)
	for _, form := range [][]byte{long, {1, 2, 3}, long[:len(long)/2]} {
		_, err := unpack(form)
		var fault *PackError
		c.Check(errors.As(err, &fault), qt.IsTrue)
	}
}
