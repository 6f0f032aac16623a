package daemon

import (
	"net/http"
	"sync/atomic"

	"bulrushlock/io/proto"
)

// newMatcher returns a function that reports whether a response of one backend server belongs to a
// request. Once the backend server has repeated the ID of a request, a response without an ID
// belongs to none: a faulty backend server may send such bytes after a response, where the next one
// is due.
func newMatcher(d proto.Dialect) func(request, response http.Header) bool {
	var repeats atomic.Bool
	return func(request, response http.Header) bool {
		if d.Identifies(request, response) {
			if hasID := !d.Identifies(request, nil); hasID {
				repeats.Store(true)
			}
			return true
		}
		return !repeats.Load() && d.Matches(request, response)
	}
}
