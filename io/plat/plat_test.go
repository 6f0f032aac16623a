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
	"bulrushlock/io/fake"
)

// newTestReader starts a server with the handler h and returns a reader for it.
func newTestReader(t *testing.T, h http.Handler) *HTTP {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return NewHTTP(netip.MustParseAddrPort(s.Listener.Addr().String()), s.Client())
}

func TestReadsDocuments(t *testing.T) {
	c := qt.New(t)
	p := fake.NewPlatform()
	h := newTestReader(t, p)
	p.PublishRules("one")
	p.PublishRules("two")
	d, err := h.Rules(t.Context(), Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Equals, Document{Revision: 2, Text: "two"})
	a := netip.MustParseAddrPort("127.0.0.1:1")
	want := fleet.Instance{Name: "a", Centre: "b", Service: "c", ForwardAddr: a, ControlAddr: a}
	p.PublishInstances([]fleet.Instance{want})
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

func TestWatchReturnsOnPublish(t *testing.T) {
	c := qt.New(t)
	p := fake.NewPlatform()
	h := newTestReader(t, p)
	p.PublishRules("one")
	result := make(chan Document, 1)
	go func() {
		d, _ := h.Rules(context.Background(), Query{After: 1, MaxHold: time.Hour})
		result <- d
	}()
	for p.Reads() == 0 {
		time.Sleep(time.Millisecond)
	}
	p.PublishRules("two")
	c.Assert(<-result, qt.Equals, Document{Revision: 2, Text: "two"})
}

func TestPlatformThatReturnsFromCopyIsReadAnew(t *testing.T) {
	c := qt.New(t)
	p := fake.NewPlatform()
	h := newTestReader(t, p)
	p.PublishRules("one")
	time.Sleep(100 * time.Millisecond)
	p.PublishRules("two")
	p.PublishRules("three")
	p.ReturnFromCopy(50 * time.Millisecond)
	d, err := h.Rules(t.Context(), Query{After: 3, MaxHold: time.Hour})
	c.Assert(err, qt.IsNil)
	c.Check(d, qt.Equals, Document{Epoch: 1, Revision: 1, Text: "one"})
	var unchanged *UnchangedError
	_, err = h.Rules(t.Context(), Query{Epoch: 1, After: 1})
	c.Check(err, qt.ErrorAs, &unchanged)
	r, err := http.Post("http://"+h.address.String()+"/control/rules?edition=7", "text/plain", strings.NewReader("four"))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Body.Close(), qt.IsNil)
	d, err = h.Rules(t.Context(), Query{Epoch: 1, After: 1})
	c.Assert(err, qt.IsNil)
	c.Check(d, qt.Equals, Document{Edition: 7, Epoch: 1, Revision: 2, Text: "four"})
}

func TestReadFailures(t *testing.T) {
	// respondWith returns a handler that always sends the same response.
	respondWith := func(status int, revision, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", revision)
			w.WriteHeader(status)
			_, _ = w.Write([]byte(text))
		}
	}
	// respondWithEpoch returns a handler that responds that nothing has changed in an epoch.
	respondWithEpoch := func(epoch string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Epoch", epoch)
			w.WriteHeader(http.StatusNotModified)
		}
	}
	down := fake.NewPlatform()
	down.SetDown(true)
	tests := []struct {
		name    string
		handler http.Handler
		as      any
		want    string
	}{
		{"unchanged", fake.NewPlatform(), new(*UnchangedError), "read /rules: no revision above 7"},
		{"down", down, new(*UnreachableError), "read /rules: platform at .* cannot be reached: .*"},
		{"status", respondWith(500, "8", "x"), new(*ResponseError), ".* returned status 500: unexpected status"},
		{"other epoch", respondWithEpoch("soon"), new(*ResponseError), `.* epoch "soon" is not a number`},
		{"unchanged in another epoch", respondWithEpoch("3"), new(*ResponseError), ".* returned status 304: unexpected status"},
		{"no revision", respondWith(200, "", "x"), new(*ResponseError), `.* revision "" is not a number`},
		{"too large", respondWith(200, "8", strings.Repeat("x", maxDocumentSize+1)), new(*ResponseError), ".* larger than 1048576 bytes"},
		{"cut", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", "8")
			w.Header().Set("Content-Length", "2")
			_, _ = w.Write([]byte("x"))
		}), new(*UnreachableError), ".* unexpected EOF"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := newTestReader(t, tt.handler).Rules(t.Context(), Query{After: 7})
			c.Assert(err, qt.ErrorAs, tt.as)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestReadAcceptsLargestDocument(t *testing.T) {
	c := qt.New(t)
	p := fake.NewPlatform()
	p.PublishRules(strings.Repeat("x", maxDocumentSize))
	d, err := newTestReader(t, p).Rules(t.Context(), Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(d.Text, qt.HasLen, maxDocumentSize)
}
