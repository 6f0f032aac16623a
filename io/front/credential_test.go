package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/creds"
	"bulrushlock/io/proto"
)

// customerRules are rules with customers and a public route.
var customerRules = testRules +
	"route * /open/* service=filing idempotent=yes public=yes   # Test: calls\n" +
	"customer patan keys=" + creds.Digest("one") + "   # Test: a customer\n"

func TestCredentialOf(t *testing.T) {
	digest := creds.Digest("one")
	for _, test := range []struct {
		values []string
		want   string
	}{
		{nil, ""},
		{[]string{"Bearer one"}, digest},
		{[]string{" bearer   one "}, digest},
		{[]string{"Bearer"}, ""},
		{[]string{"Bearer "}, ""},
		{[]string{"Basic one"}, ""},
		{[]string{"one"}, ""},
		{[]string{"Bearer one", "Bearer two"}, ""},
	} {
		c := qt.New(t)
		c.Check(credentialOf(http.Header{"Authorization": test.values}), qt.Equals, test.want, qt.Commentf("%q", test.values))
	}
}

// call sends a request with a credential, and with headers that only nodes may set, and returns
// the status.
func (n testNode) call(c *qt.C, path, credential string) receivedResponse {
	r, err := http.NewRequest(http.MethodPost, n.callers.URL+path, strings.NewReader("1000 rupees"))
	c.Assert(err, qt.IsNil)
	r.Header.Set(proto.HeaderCustomer, "other")
	if credential != "" {
		r.Header.Set("Authorization", "Bearer "+credential)
	}
	a, err := http.DefaultTransport.RoundTrip(r)
	c.Assert(err, qt.IsNil)
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	c.Assert(err, qt.IsNil)
	return receivedResponse{Status: a.StatusCode, Header: a.Header, Body: string(body)}
}

// The backend server gets the name of the customer that the node has found, and never the
// credential, also where the request passes through two nodes. Without customers both headers of
// the caller are none of the node's business.
func TestCustomerReachesServerAndCredentialDoesNot(t *testing.T) {
	c := qt.New(t)
	got := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- r.Header.Clone() }))
	defer server.Close()
	one := newTestNodeWith(c, customerRules, "filing-1", addressOf(server), netip.AddrPort{})
	two := newTestNodeWith(c, customerRules, "desk-1", addressOf(server), addressOf(one.nodes))
	open := newTestNode(c, "filing-1", addressOf(server), netip.AddrPort{})
	for _, test := range []struct {
		name             string
		node             testNode
		path, credential string
		customer         string
		authorization    string
	}{
		{"one node", one, "/claims", "one", "patan", ""},
		{"two nodes", two, "/claims", "one", "patan", ""},
		{"public", two, "/open/1", "", "", ""},
		{"public, unknown credential", two, "/open/1", "two", "", ""},
		{"no customers", open, "/claims", "one", "", "Bearer one"},
	} {
		response := test.node.call(c, test.path, test.credential)
		c.Assert(response.Status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s", test.name, response.Body))
		h := <-got
		c.Check(h.Get(proto.HeaderCustomer), qt.Equals, test.customer, qt.Commentf(test.name))
		c.Check(h.Get("Authorization"), qt.Equals, test.authorization, qt.Commentf(test.name))
	}
}

func TestUnknownCredentialIsUnauthorized(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { c.Error("the request ran") }))
	defer server.Close()
	n := newTestNodeWith(c, customerRules, "filing-1", addressOf(server), netip.AddrPort{})
	for _, credential := range []string{"", "two"} {
		response := n.call(c, "/claims", credential)
		c.Check(response.Status, qt.Equals, http.StatusUnauthorized)
		c.Check(response.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
		c.Check(response.Header.Get(proto.HeaderOutcome), qt.Equals, "not-run")
		c.Check(response.Header.Get(proto.HeaderReason), qt.Equals, "credential")
		c.Check(n.call(c, "/nowhere", credential).Status, qt.Equals, http.StatusNotFound)
	}
}
