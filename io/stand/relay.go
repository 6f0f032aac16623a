package stand

import (
	"io"
	"net/http"
	"net/netip"
)

// relayConnections is the number of unused connections that a Relay keeps.
const relayConnections = 128

// Relay passes each request on to one server and its answer back, and does
// nothing else. It is the baseline for the time that a node adds.
type Relay struct {
	origin    string
	transport *http.Transport
}

var _ http.Handler = (*Relay)(nil)

// NewRelay returns a relay to the server at the given address.
func NewRelay(server netip.AddrPort) *Relay {
	return &Relay{
		origin:    "http://" + server.String(),
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: relayConnections},
	}
}

// ServeHTTP passes one request on.
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
