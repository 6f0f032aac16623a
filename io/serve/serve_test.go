package serve

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/stand"
)

// look starts h and looks at it once.
func look(t *testing.T, h http.Handler, options ...Option) (Sight, error) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	return NewHTTP(a, s.Client(), options...).Look(t.Context(), "")
}

func TestLook(t *testing.T) {
	tests := []struct {
		name    string
		set     func(*stand.Server)
		options []Option
		want    Sight
	}{
		{"cold", func(*stand.Server) {}, nil, Sight{State: Cold}},
		{"draining", func(s *stand.Server) { s.SetDrain(true) }, nil, Sight{State: Draining}},
		{"warm", func(s *stand.Server) { s.SetLie(true) }, nil, Sight{State: Warm}},
		{"with load", func(*stand.Server) {}, []Option{WithLoad()}, Sight{State: Cold, Slots: 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := stand.NewServer(stand.ServerOptions{Slots: 7, Cold: 1})
			tt.set(s)
			got, err := look(t, s, tt.options...)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, tt.want)
		})
	}
}

func TestLookFailures(t *testing.T) {
	crashed := stand.NewServer(stand.ServerOptions{})
	crashed.SetCrash(true)
	// answer returns a handler with one answer to each request.
	answer := func(status int, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(text))
		}
	}
	tests := []struct {
		name    string
		handler http.Handler
		as      any
		want    string
	}{
		{"crashed", crashed, new(*UnreachableError), "look at health: backend server at .* cannot be reached: .*"},
		{"status", answer(404, "{}"), new(*AnswerError), ".* status 404: the status is not expected"},
		{"not JSON", answer(200, "ok"), new(*AnswerError), ".* status 200: invalid character .*"},
		{"unknown state", answer(200, `{"state":"fine"}`), new(*AnswerError), `.*: state "fine" is not known`},
		{"too large", answer(200, strings.Repeat(" ", largest+1)), new(*AnswerError), ".*: the answer is larger .*"},
		{"no load", answer(200, `{"state":"warm","busy":1}`), new(*AnswerError), "look at load: .* numbers from 0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := look(t, tt.handler, WithLoad())
			c.Assert(err, qt.ErrorAs, tt.as)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestStateString(t *testing.T) {
	c := qt.New(t)
	for word, state := range states {
		c.Assert(state.String(), qt.Equals, word)
	}
	c.Assert(Unknown.String(), qt.Equals, "unknown")
}
