package guard

import (
	"bulrushlock/core/event"
	"bulrushlock/core/ticket"
)

// keptBytes is the size in bytes of the bodies of all answers that are kept.
const keptBytes = 4 << 20

// kept lists the attempts whose answers are kept, oldest first.
type kept struct {
	order []keptAnswer
	bytes int
}

// keptAnswer is an attempt whose answer is kept, with the size of its body in bytes.
type keptAnswer struct {
	ticket ticket.Ticket
	bytes  int
}

// keep records the end of an attempt with its answer, and gives up the oldest
// answers beyond keptBytes. What became of their attempts stays known.
func (g *Guard) keep(t ticket.Ticket, e event.Served) {
	g.ledger.Finish(t, e.Answer, e.At)
	if e.Answer == nil {
		return
	}
	size := len(e.Answer.Body)
	g.kept.order = append(g.kept.order, keptAnswer{ticket: t, bytes: size})
	g.kept.bytes += size
	for g.kept.bytes > keptBytes || len(g.kept.order) > recordCapacity {
		oldest := g.kept.order[0]
		g.kept.order = g.kept.order[1:]
		g.kept.bytes -= oldest.bytes
		g.ledger.Drop(oldest.ticket)
	}
}
