package fake

import (
	"io"
	"net/http"
	"net/netip"
)

// relayIdleConnections is the maximum number of idle connections that a Relay keeps.
const relayIdleConnections = 128

// Relay forwards each request to one server and the response back, and does nothing
// else. It is the baseline for the latency that a node adds.
type Relay struct {
	origin    string
	transport *http.Transport
}

var _ http.Handler = (*Relay)(nil)

// NewRelay returns a relay to the server at the given address.
func NewRelay(server netip.AddrPort) *Relay {
	return &Relay{
		origin:    "http://" + server.String(),
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: relayIdleConnections},
	}
}

// ServeHTTP forwards one request. It responds with status 502 if the server cannot
// be reached.
func (b *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sent, err := http.NewRequestWithContext(r.Context(), r.Method, b.origin+r.RequestURI, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sent.Header = r.Header
	sent.ContentLength = r.ContentLength
	a, err := b.transport.RoundTrip(sent)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = a.Body.Close() }()
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.StatusCode)
	if _, err := io.Copy(w, a.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
