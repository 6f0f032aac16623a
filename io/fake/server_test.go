package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// send sends one request to h without a network and returns the response.
func send(ctx context.Context, h http.Handler, method, path, id, work string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader("body"))
	r.Header.Set("Id", id)
	r.Header.Set("Work", work)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// sendConcurrently sends n requests at once and counts the response statuses.
func sendConcurrently(s *Server, n int, work string) map[int]int {
	var mu sync.Mutex
	statuses := make(map[int]int)
	var g sync.WaitGroup
	for range n {
		g.Go(func() {
			w := send(context.Background(), s, http.MethodPost, "/claims", "", work)
			mu.Lock()
			defer mu.Unlock()
			statuses[w.Code]++
		})
	}
	g.Wait()
	return statuses
}

func TestServerEchoesTheRequest(t *testing.T) {
	c := qt.New(t)
	s := NewServer(ServerOptions{Name: "a-1"})
	w := send(t.Context(), s, http.MethodPost, "/claims?n=7", "claim-7", "")
	var e Echo
	c.Assert(json.Unmarshal(w.Body.Bytes(), &e), qt.IsNil)
	c.Assert(e, qt.Equals, Echo{
		Server: "a-1", Method: http.MethodPost, Path: "/claims?n=7", ID: "claim-7", Length: 4,
		Sum: "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5",
	})
	c.Assert(s.Runs("claim-7"), qt.Equals, 1)
	c.Assert(s.Runs("claim-8"), qt.Equals, 0)
}

func TestServerShedsAboveSlotsAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewServer(ServerOptions{Slots: 2, Queue: 1})
		c.Assert(sendConcurrently(s, 5, "1s"), qt.DeepEquals, map[int]int{200: 3, 503: 2})
		c.Assert(s.TotalRuns(), qt.Equals, 3)
		c.Assert(s.Peak(), qt.Equals, 2)
		c.Assert(s.Stats().Shed, qt.Equals, 2)
	})
}

func TestServerColdStart(t *testing.T) {
	tests := []struct {
		name       string
		cold, load int
		overloaded int
		took       time.Duration
	}{
		{name: "within its limit", cold: 2, load: 2, took: time.Second},
		{name: "above its limit", cold: 2, load: 3, overloaded: 1, took: 10 * time.Second},
		{name: "never cold", cold: 0, load: 5, took: time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := NewServer(ServerOptions{ColdLimit: tt.cold, WarmupRequests: 4})
				start := time.Now()
				sendConcurrently(s, tt.load, "1s")
				c.Assert(time.Since(start), qt.Equals, tt.took)
				c.Assert(s.Stats().Overloaded, qt.Equals, tt.overloaded)
				sendConcurrently(s, 4, "1s")
				c.Assert(s.Stats().Cold, qt.IsFalse)
				s.SetCold()
				c.Assert(s.Stats().Cold, qt.Equals, tt.cold > 0)
			})
		})
	}
}

func TestServerFreesTheSlotOfACancelledRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewServer(ServerOptions{Slots: 1})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		send(ctx, s, http.MethodPost, "/claims", "a", "1h")
		c.Assert(s.Stats().Busy, qt.Equals, 0)
		c.Assert(send(t.Context(), s, http.MethodPost, "/claims", "b", "").Code, qt.Equals, 200)
		c.Assert(s.Runs("a"), qt.Equals, 1)
	})
}

func TestServerHealth(t *testing.T) {
	tests := []struct {
		name   string
		set    func(*Server)
		status int
		want   string
	}{
		{"cold", func(*Server) {}, 200, `{"state":"cold"}`},
		{"draining", func(s *Server) { s.SetDrain(true) }, 503, `{"state":"draining"}`},
		{"lying", func(s *Server) { s.SetDrain(true); s.SetFalseHealth(true) }, 200, `{"state":"warm"}`},
		{"cleared", func(s *Server) { s.SetDrain(true); s.ClearFaults() }, 200, `{"state":"cold"}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(ServerOptions{ColdLimit: 1})
			tt.set(s)
			w := send(t.Context(), s, http.MethodGet, "/health", "", "")
			c.Assert(w.Code, qt.Equals, tt.status)
			c.Assert(strings.TrimSpace(w.Body.String()), qt.Equals, tt.want)
		})
	}
}

func TestServerHealthLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewServer(ServerOptions{})
		s.SetHealthLag(time.Minute)
		status := func() int { return send(t.Context(), s, http.MethodGet, "/health", "", "").Code }
		c.Assert(status(), qt.Equals, 200)
		s.SetDrain(true)
		time.Sleep(59 * time.Second)
		c.Assert(status(), qt.Equals, 200)
		time.Sleep(time.Second)
		c.Assert(status(), qt.Equals, 503)
	})
}

func TestServerFaultsOverTheNetwork(t *testing.T) {
	tests := []struct {
		fault    string
		headFail bool
		bodyFail bool
		status   int
		runs     int
	}{
		{fault: "none", status: 200, runs: 1},
		{fault: "crash", headFail: true},
		{fault: "lost", headFail: true, runs: 1},
		{fault: "half", bodyFail: true, status: 200, runs: 1},
		{fault: "fail", status: 500},
		{fault: "slow&factor=2", status: 200, runs: 1},
		{fault: "late&time=1ms", status: 200, runs: 1},
		{fault: "crash&on=0", status: 200, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			c := qt.New(t)
			s := NewServer(ServerOptions{})
			h := httptest.NewServer(s)
			defer h.Close()
			a, err := http.Post(h.URL+"/control?fault="+tt.fault, "", nil)
			c.Assert(err, qt.IsNil)
			c.Assert(a.Body.Close(), qt.IsNil)
			c.Assert(a.StatusCode, qt.Equals, http.StatusNoContent)
			a, err = http.Post(h.URL+"/claims", "", strings.NewReader("x"))
			c.Assert(s.TotalRuns(), qt.Equals, tt.runs)
			if tt.headFail {
				c.Assert(err, qt.IsNotNil)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(a.StatusCode, qt.Equals, tt.status)
			_, err = io.Copy(io.Discard, a.Body)
			c.Assert(err != nil, qt.Equals, tt.bodyFail)
			c.Assert(a.Body.Close(), qt.IsNil)
		})
	}
}

func TestServerExport(t *testing.T) {
	c := qt.New(t)
	s := NewServer(ServerOptions{})
	w := send(t.Context(), s, http.MethodGet, "/export?size=200000", "a", "")
	want, err := io.ReadAll(Export("a", 200000))
	c.Assert(err, qt.IsNil)
	c.Assert(want, qt.HasLen, 200000)
	c.Assert(bytes.Equal(w.Body.Bytes(), want), qt.IsTrue)
	s.SetTruncateResponse(true)
	h := httptest.NewServer(s)
	defer h.Close()
	a, err := http.Get(h.URL + "/export?size=200000")
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, a.Body)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(a.Body.Close(), qt.IsNil)
}

func TestServerControl(t *testing.T) {
	c := qt.New(t)
	s := NewServer(ServerOptions{})
	send(t.Context(), s, http.MethodPost, "/claims", "a", "")
	send(t.Context(), s, http.MethodPost, "/claims", "a", "")
	w := send(t.Context(), s, http.MethodGet, "/control/runs?id=a", "", "")
	c.Assert(w.Body.String(), qt.Equals, "{\"id\":\"a\",\"runs\":2}\n")
	w = send(t.Context(), s, http.MethodGet, "/control/stats", "", "")
	var got Stats
	c.Assert(json.Unmarshal(w.Body.Bytes(), &got), qt.IsNil)
	c.Assert(got, qt.Equals, Stats{Total: 2, Completed: 2, Peak: 1, Repeated: 1})
	for _, q := range []string{"", "fault=x", "fault=slow&factor=0", "fault=late", "fault=crash&on=x"} {
		w = send(t.Context(), s, http.MethodPost, "/control?"+q, "", "")
		c.Assert(w.Code, qt.Equals, http.StatusBadRequest, qt.Commentf("query %q", q))
	}
}
