package fake

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/fleet"
)

// get sends a GET request to p without a network.
func get(t *testing.T, p *Platform, path string) *httptest.ResponseRecorder {
	return send(t.Context(), p, http.MethodGet, path, "", "")
}

func TestPlatformWatch(t *testing.T) {
	tests := []struct {
		name   string
		during func(*Platform)
		status int
		body   string
		took   time.Duration
	}{
		{"nothing happens", func(*Platform) {}, 304, "", 20 * time.Second},
		{"publish", func(p *Platform) { p.PublishRules("two") }, 200, "two", time.Second},
		{"publish while stale", func(p *Platform) { p.SetStale(true); p.PublishRules("two") }, 304, "", 20 * time.Second},
		{"list changes", func(p *Platform) { p.PublishInstances(nil) }, 304, "", 20 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				p := NewPlatform()
				c.Assert(p.PublishRules("one"), qt.Equals, uint64(1))
				time.AfterFunc(time.Second, func() { tt.during(p) })
				start := time.Now()
				w := get(t, p, "/rules?after=1&wait=20s")
				c.Assert(time.Since(start), qt.Equals, tt.took)
				c.Assert(w.Code, qt.Equals, tt.status)
				c.Assert(w.Body.String(), qt.Equals, tt.body)
				c.Assert(p.Reads(), qt.Equals, 1)
			})
		})
	}
}

func TestPlatformFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := NewPlatform()
		p.PublishRules("one")
		p.SetStale(true)
		p.PublishRules("two")
		c.Assert(get(t, p, "/rules").Body.String(), qt.Equals, "one")
		p.SetStale(false)
		w := get(t, p, "/rules")
		c.Assert(w.Body.String(), qt.Equals, "two")
		c.Assert(w.Header().Get("Revision"), qt.Equals, "2")
		p.SetSlow(time.Second)
		start := time.Now()
		get(t, p, "/rules")
		c.Assert(time.Since(start), qt.Equals, time.Second)
		p.SetDown(true)
		c.Assert(func() { get(t, p, "/rules") }, qt.PanicMatches, ".*abort Handler")
		c.Assert(p.Reads(), qt.Equals, 4)
	})
}

func TestPlatformControl(t *testing.T) {
	c := qt.New(t)
	p := NewPlatform()
	post := func(path, body string) int {
		r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
		w := httptest.NewRecorder()
		p.ServeHTTP(w, r)
		return w.Code
	}
	c.Assert(post("/control/rules", "text"), qt.Equals, 200)
	c.Assert(get(t, p, "/rules").Body.String(), qt.Equals, "text")
	a := netip.MustParseAddrPort("127.0.0.1:1")
	list, err := fleet.Format([]fleet.Instance{{Name: "a", Centre: "b", Service: "c", ForwardAddr: a, ControlAddr: a}})
	c.Assert(err, qt.IsNil)
	c.Assert(post("/control/instances", list), qt.Equals, 200)
	c.Assert(get(t, p, "/instances").Body.String(), qt.Equals, list)
	c.Assert(post("/control/instances", "{}"), qt.Equals, 400)
	c.Assert(post("/control/fault?slow=x", ""), qt.Equals, 400)
	c.Assert(post("/control/fault?stale=1", ""), qt.Equals, 204)
	c.Assert(post("/control/rules", "later"), qt.Equals, 200)
	c.Assert(get(t, p, "/rules").Body.String(), qt.Equals, "text")
	c.Assert(post("/control/fault?stale=0", ""), qt.Equals, 204)
	c.Assert(get(t, p, "/rules").Body.String(), qt.Equals, "later")
	c.Assert(get(t, p, "/control/calls").Body.String(), qt.Equals, "{\"calls\":4}\n")
}
