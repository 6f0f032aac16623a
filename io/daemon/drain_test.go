package daemon

import (
	"net/http"
	"net/http/httptest"
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
