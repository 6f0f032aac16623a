package proto

import (
	"net/http"
	"strings"
)

// Names of the headers that nodes and callers exchange.
const (
	HeaderPrefix   = "Bulrushlock-"
	HeaderTicket   = HeaderPrefix + "Ticket"
	HeaderOutcome  = HeaderPrefix + "Outcome"
	HeaderReason   = HeaderPrefix + "Reason"
	HeaderLoad     = HeaderPrefix + "Load"
	HeaderQuota    = HeaderPrefix + "Quota"
	HeaderWhole    = HeaderPrefix + "Whole"
	HeaderEnding   = HeaderPrefix + "Ending"
	HeaderGuard    = HeaderPrefix + "Guard"
	HeaderVersions = HeaderPrefix + "Versions"
	HeaderOrigin   = HeaderPrefix + "Origin"
	HeaderAttempt  = HeaderPrefix + "Attempt"
	HeaderCall     = HeaderPrefix + "Call"
	HeaderCustomer = HeaderPrefix + "Customer"
	HeaderFirst    = HeaderPrefix + "First"
	HeaderClock    = HeaderPrefix + "Clock"
	HeaderID       = HeaderPrefix + "Id"
	HeaderKey      = "Idempotency-Key"
)

// hopByHopHeaders are the headers that apply to a single connection or hop.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies the end-to-end headers of src to dst. It skips hop-by-hop
// headers and those reserved for nodes (HeaderPrefix).
func CopyHeader(dst, src http.Header) {
	dropped := connectionOptions(src)
	for name, values := range src {
		if strings.HasPrefix(name, HeaderPrefix) || isHopByHop(name) || dropped[name] {
			continue
		}
		dst[name] = values
	}
}

// isHopByHop reports whether name is a hop-by-hop header.
func isHopByHop(name string) bool {
	for _, h := range hopByHopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// connectionOptions returns the header names listed in the Connection header.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	names := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}
