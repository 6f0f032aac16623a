package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPanicOfHandlerIsReportedOnce(t *testing.T) {
	for _, tt := range []struct {
		name    string
		panics  any
		reports int
	}{
		{"unexpected", "broken", 1},
		{"aborted on purpose", http.ErrAbortHandler, 0},
		{"none", nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			reports := 0
			h := &recoverHandler{
				handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					if tt.panics != nil {
						panic(tt.panics)
					}
				}),
				report: func(string, any) { reports++ },
			}
			defer func() {
				p := recover()
				if tt.panics == nil {
					c.Check(p, qt.IsNil)
				} else {
					c.Check(p, qt.Equals, http.ErrAbortHandler)
				}
				c.Check(reports, qt.Equals, tt.reports)
			}()
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		})
	}
}

func TestResponsesOfCrowdedListenerCloseTheirConnections(t *testing.T) {
	for _, tt := range []struct {
		name, body             string
		leaving, before, after bool
		unread, closes         bool
	}{
		{"calm", "", false, false, false, false, false},
		{"leaving", "", true, false, false, false, true},
		{"crowded", "", false, true, true, false, true},
		{"crowded while a body arrives", "x", false, false, true, false, true},
		{"crowded before a body arrives", "x", false, true, false, false, false},
		{"calm with a body", "x", false, false, false, false, false},
		{"calm with a body that is not read", "x", false, false, false, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			crowded := tt.before
			var leaving atomic.Bool
			leaving.Store(tt.leaving)
			h := &drainHandler{
				handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					crowded = tt.after
					if !tt.unread {
						_, err := io.Copy(io.Discard, r.Body)
						c.Check(err, qt.IsNil)
					}
					w.WriteHeader(http.StatusEarlyHints)
					w.WriteHeader(http.StatusOK)
				}),
				leaving: &leaving,
				crowded: func() bool { return crowded },
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(tt.body)))
			c.Check(w.Header().Get("Connection") == "close", qt.Equals, tt.closes)
		})
	}
}
