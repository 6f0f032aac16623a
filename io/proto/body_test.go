package proto

import (
	"errors"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// errReadPastEnd is returned when a strictBody is read past its end.
var errReadPastEnd = errors.New("read past the end")

// strictBody is a body that returns one part per read and fails if it is read
// past its end. With eofWithLast set, the last part comes together with io.EOF.
type strictBody struct {
	parts       []string
	eofWithLast bool
	ended       bool
}

// Read returns the next part.
func (s *strictBody) Read(p []byte) (int, error) {
	if s.ended {
		return 0, errReadPastEnd
	}
	n := copy(p, s.parts[0])
	s.parts = s.parts[1:]
	s.ended = len(s.parts) == 0
	if s.ended && s.eofWithLast {
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
			SetBody(r, Attempt{Body: &strictBody{parts: []string{"four", "more"}, eofWithLast: tt.early}, Length: tt.length})
			got, err := io.ReadAll(r.Body)
			c.Assert(err, qt.IsNil)
			c.Check(string(got), qt.Equals, "fourmore")
			_, err = r.Body.Read(make([]byte, 1))
			c.Check(err, qt.Equals, io.EOF)
		})
	}
}
