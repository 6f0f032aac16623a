package plat

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/fleet"
	"bulrushlock/io/stand"
)

// serve starts h and returns a reader of it.
func serve(t *testing.T, h http.Handler) *HTTP {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return NewHTTP(netip.MustParseAddrPort(s.Listener.Addr().String()), s.Client())
}

func TestReadsDocuments(t *testing.T) {
	c := qt.New(t)
	p := stand.NewPlatform()
	h := serve(t, p)
	p.Publish("one")
	p.Publish("two")
	d, err := h.Rules(t.Context(), Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Equals, Document{Revision: 2, Text: "two"})
	a := netip.MustParseAddrPort("127.0.0.1:1")
	want := fleet.Instance{Name: "a", Centre: "b", Service: "c", Nodes: a, Control: a}
	p.List([]fleet.Instance{want})
	d, err = h.Instances(t.Context(), Query{})
	c.Assert(err, qt.IsNil)
	got, err := fleet.Parse(d.Text)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0], qt.Equals, want)
	_, err = fleet.Parse("x")
	var bad *fleet.ParseError
	c.Assert(errors.As(err, &bad), qt.IsTrue)
}

func TestWatchEndsWithThePublication(t *testing.T) {
	c := qt.New(t)
	p := stand.NewPlatform()
	h := serve(t, p)
	p.Publish("one")
	result := make(chan Document, 1)
	go func() {
		d, _ := h.Rules(context.Background(), Query{After: 1, Wait: time.Hour})
		result <- d
	}()
	for p.Calls() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.Publish("two")
	c.Assert(<-result, qt.Equals, Document{Revision: 2, Text: "two"})
}

func TestReadFailures(t *testing.T) {
	// answer returns a handler with one answer.
	answer := func(status int, revision, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", revision)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(text))
		}
	}
	down := stand.NewPlatform()
	down.SetDown(true)
	tests := []struct {
		name    string
		handler http.Handler
		as      any
		want    string
	}{
		{"unchanged", stand.NewPlatform(), new(*UnchangedError), "read /rules: no revision above 7"},
		{"down", down, new(*UnreachableError), "read /rules: platform at .* cannot be reached: .*"},
		{"status", answer(500, "8", "x"), new(*AnswerError), ".* with status 500: the status is not expected"},
		{"no revision", answer(200, "", "x"), new(*AnswerError), `.* revision "" is not a number`},
		{"too large", answer(200, "8", strings.Repeat("x", largest+1)), new(*AnswerError), ".* larger than 1048576 bytes"},
		{"cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", "8")
			w.Header().Set("Content-Length", "2")
			_, _ = w.Write([]byte("x"))
		}), new(*UnreachableError), ".* unexpected EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := serve(t, tt.handler).Rules(t.Context(), Query{After: 7})
			c.Assert(err, qt.ErrorAs, tt.as)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestReadTakesTheLargestDocument(t *testing.T) {
	c := qt.New(t)
	p := stand.NewPlatform()
	p.Publish(strings.Repeat("x", largest))
	d, err := serve(t, p).Rules(t.Context(), Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(d.Text, qt.HasLen, largest)
}
