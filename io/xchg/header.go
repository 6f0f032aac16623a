package xchg

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
	HeaderGuard    = HeaderPrefix + "Guard"
	HeaderVersions = HeaderPrefix + "Versions"
	HeaderAttempt  = HeaderPrefix + "Attempt"
	HeaderCall     = HeaderPrefix + "Call"
	HeaderFirst    = HeaderPrefix + "First"
	HeaderClock    = HeaderPrefix + "Clock"
	HeaderKey      = "Idempotency-Key"
)

// hopHeaders are the headers that concern one connection or one hop only.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader copies to dst the headers of src that travel from end to end. It
// leaves out those of one connection and those that are reserved for nodes.
func CopyHeader(dst, src http.Header) {
	dropped := connectionNames(src)
	for name, values := range src {
		if strings.HasPrefix(name, HeaderPrefix) || isHop(name) || dropped[name] {
			continue
		}
		dst[name] = values
	}
}

// isHop reports whether name is a header of one connection.
func isHop(name string) bool {
	for _, h := range hopHeaders {
		if h == name {
			return true
		}
	}
	return false
}

// connectionNames returns the headers that a Connection header names.
func connectionNames(h http.Header) map[string]bool {
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
