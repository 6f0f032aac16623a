package front

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/creds"
	"bulrushlock/io/proto"
)

// limitRules are rules with a customer that may send hardly anything, and one without a limit.
var limitRules = testRules +
	"customer patan keys=" + creds.Digest("one") + " rate=0.01 burst=30   # Test: a customer\n" +
	"customer lalit keys=" + creds.Digest("two") + "   # Test: a customer without a limit\n"

// TestRequestBeyondLimitGetsTooManyRequests checks the status of a request beyond its customer's
// limit, and that it does not run.
func TestRequestBeyondLimitGetsTooManyRequests(t *testing.T) {
	c := qt.New(t)
	var ran atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	defer server.Close()
	n := newTestNodeWith(c, limitRules, "filing-1", addressOf(server), netip.AddrPort{})
	served, refused := 0, 0
	for range 40 {
		response := n.call(c, "/claims", "one")
		if response.Status == http.StatusOK {
			served++
			continue
		}
		refused++
		c.Check(response.Status, qt.Equals, http.StatusTooManyRequests)
		c.Check(response.Header.Get(proto.HeaderOutcome), qt.Equals, "not-run")
		c.Check(response.Header.Get(proto.HeaderReason), qt.Equals, "allotment")
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Check(err, qt.IsNil)
		c.Check(after > 0, qt.IsTrue)
	}
	c.Check(served > 0 && served <= 36, qt.IsTrue, qt.Commentf("%d served", served))
	c.Check(refused > 0, qt.IsTrue)
	c.Check(int(ran.Load()), qt.Equals, served)
	c.Check(n.call(c, "/claims", "two").Status, qt.Equals, http.StatusOK)
}
