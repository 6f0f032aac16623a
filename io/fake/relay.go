package fake

import (
	"io"
	"net/http"
	"net/netip"
)

// relayIdleConnections is the maximum number of idle connections that a Relay keeps.
const relayIdleConnections = 128

// Relay is a plain reverse proxy to one server. It is the baseline for the latency that a
// node adds.
type Relay struct {
	origin    string
	transport *http.Transport
}

var _ http.Handler = (*Relay)(nil)

// NewRelay returns a Relay to the server at the given address.
func NewRelay(server netip.AddrPort) *Relay {
	return &Relay{
		origin:    "http://" + server.String(),
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: relayIdleConnections},
	}
}

// ServeHTTP forwards one request. It responds with status 502 if the server cannot
// be reached.
func (b *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	outgoing, err := http.NewRequestWithContext(r.Context(), r.Method, b.origin+r.RequestURI, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outgoing.Header = r.Header
	outgoing.ContentLength = r.ContentLength
	resp, err := b.transport.RoundTrip(outgoing)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
