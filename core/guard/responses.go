package guard

import (
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// maxResponseBytes is the maximum total size of the cached response bodies.
const maxResponseBytes = 4 << 20

// responseCache lists the attempts whose responses are cached, oldest first.
type responseCache struct {
	order []cachedResponse
	bytes int
}

// cachedResponse is an attempt whose response is cached, with its body size in bytes.
type cachedResponse struct {
	ticket ticket.Ticket
	bytes  int
}

// storeResponse records the end of an attempt with its response, and evicts the oldest
// responses beyond maxResponseBytes. The states of their attempts stay in the ledger.
func (g *Guard) storeResponse(t ticket.Ticket, e event.ExchangeEnded) {
	g.ledger.Finish(t, e.Response, e.At)
	if e.Response == nil {
		return
	}
	size := len(e.Response.Body)
	g.responses.order = append(g.responses.order, cachedResponse{ticket: t, bytes: size})
	g.responses.bytes += size
	for g.responses.bytes > maxResponseBytes || len(g.responses.order) > recordCapacity {
		oldest := g.responses.order[0]
		g.responses.order = g.responses.order[1:]
		g.responses.bytes -= oldest.bytes
		g.ledger.DropResponse(oldest.ticket)
	}
}
