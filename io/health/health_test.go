package health

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/io/fake"
)

// checkOnce starts a server with the handler h and checks its health once.
func checkOnce(t *testing.T, h http.Handler, options ...Option) (Result, error) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	a := netip.MustParseAddrPort(s.Listener.Addr().String())
	return NewHTTP(a, s.Client(), options...).Check(t.Context(), "")
}

func TestHealthCheck(t *testing.T) {
	tests := []struct {
		name    string
		set     func(*fake.Server)
		options []Option
		want    Result
	}{
		{"cold", func(*fake.Server) {}, nil, Result{State: Cold}},
		{"draining", func(s *fake.Server) { s.SetDrain(true) }, nil, Result{State: Draining}},
		{"warm", func(s *fake.Server) { s.SetFalseHealth(true) }, nil, Result{State: Warm}},
		{"with load", func(*fake.Server) {}, []Option{WithLoad()}, Result{State: Cold, Slots: 7}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := fake.NewServer(fake.ServerOptions{Slots: 7, ColdLimit: 1})
			tt.set(s)
			got, err := checkOnce(t, s, tt.options...)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, tt.want)
		})
	}
}

func TestHealthCheckFailures(t *testing.T) {
	crashed := fake.NewServer(fake.ServerOptions{})
	crashed.SetCrash(true)
	// respondWith returns a handler that always sends the same response.
	respondWith := func(status int, text string) http.HandlerFunc {
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
		{"crashed", crashed, new(*UnreachableError), "read health: backend server at .* cannot be reached: .*"},
		{"status", respondWith(404, "{}"), new(*ResponseError), ".* returned status 404: unexpected status"},
		{"not JSON", respondWith(200, "ok"), new(*ResponseError), ".* status 200: invalid character .*"},
		{"unknown state", respondWith(200, `{"state":"fine"}`), new(*ResponseError), `.*: unknown state "fine"`},
		{"too large", respondWith(200, strings.Repeat(" ", maxResponseSize+1)), new(*ResponseError), ".*: response is larger .*"},
		{"no load", respondWith(200, `{"state":"warm","busy":1}`), new(*ResponseError), "read load: .* must be non-negative numbers"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := checkOnce(t, tt.handler, WithLoad())
			c.Assert(err, qt.ErrorAs, tt.as)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestStateString(t *testing.T) {
	c := qt.New(t)
	for word, state := range stateNames {
		c.Assert(state.String(), qt.Equals, word)
	}
	c.Assert(Unknown.String(), qt.Equals, "unknown")
}
