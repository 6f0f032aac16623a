package wire

import (
	"errors"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bulrushlock/core/event"
)

func TestDecompressRestoresText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p compressor
		for range 3 {
			text := rapid.String().Draw(t, "text")
			data, err := p.compress(event.Rules, text)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := decompress(data); err != nil || got != text {
				t.Fatalf("%q, %v", got, err)
			}
		}
	})
}

func TestDecompressRejectsInvalidData(t *testing.T) {
	c := qt.New(t)
	var p compressor
	long, err := p.compress(event.Fleet, strings.Repeat("x", maxDocumentSize+1))
	c.Assert(err, qt.IsNil)
	for _, data := range [][]byte{long, {1, 2, 3}, long[:len(long)/2]} {
		_, err := decompress(data)
		var fault *CompressionError
		c.Check(errors.As(err, &fault), qt.IsTrue)
	}
}
