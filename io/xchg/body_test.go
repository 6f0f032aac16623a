package xchg

import (
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// errPast is the failure of a body that is read past its end.
var errPast = errors.New("read past the end")

// strict is a body that gives its parts one by one, the last one with an EOF
// where that is wanted, and must not be read after that.
type strict struct {
	parts []string
	early bool
	ended bool
}

// Read gives the next part.
func (s *strict) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errPast
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	s.ended = len(s.parts) == 0
	if s.ended && s.early {
		return n, io.EOF
	}
	return n, nil
}

func TestBodyIsNotReadPastItsEnd(t *testing.T) {
	tests := []struct {
		name   string
		early  bool
		length int64
	}{
		{"length and an EOF", true, 8},
		{"length only", false, 8},
		{"EOF only", true, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/", http.NoBody)
			c.Assert(err, qt.IsNil)
			SetBody(r, Offer{Body: &strict{parts: []string{"four", "more"}, early: tt.early}, Length: tt.length})
			got, err := io.ReadAll(r.Body)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "fourmore")
			_, err = r.Body.Read(make([]byte, 1))
			c.Check(err, qt.Equals, io.EOF)
		})
	}
}
