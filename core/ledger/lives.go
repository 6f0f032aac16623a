package ledger

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/ticket"
)

const (
	// maxLives is the number of entry incarnations that have a floor of their own.
	maxLives = 4096
	// filterBits is the size of the filter of closed incarnations, a power of two.
	filterBits = 1 << 19
	// filterHashes is the number of bits that each closed incarnation sets.
	filterHashes = 4
	// wordBits is the number of bits in a word of the filter.
	wordBits = 64
)

// lives holds a floor for each incarnation of an entry that had a record evicted.
//
// When there are too many floors, the incarnation whose floor rose longest ago
// is closed: all its attempts without a record are lost from then on. Closed
// incarnations go into a Bloom filter, which never forgets one. It may take
// another incarnation for a closed one; that one's attempts are refused as
// Lost, which is safe. With 50,000 closed incarnations this hits about one in a
// hundred. Remembering only the newest incarnation of each instance was ruled
// out, since incarnations have no order and instances are unbounded too.
type lives struct {
	limit  int
	floors map[ticket.Node]*list.Element
	order  *list.List
	filter []uint64
}

// floor is the highest evicted sequence of one incarnation.
type floor struct {
	node     ticket.Node
	sequence uint64
}

// newLives returns an empty set of at most limit floors.
func newLives(limit int) *lives {
	return &lives{
		limit:  limit,
		floors: make(map[ticket.Node]*list.Element),
		order:  list.New(),
	}
}

// lost reports whether a record of the attempt may have been evicted.
func (v *lives) lost(n ticket.Node, sequence uint64) bool {
	if e, ok := v.floors[n]; ok {
		return sequence <= e.Value.(*floor).sequence
	}
	return v.closed(n)
}

// raise lifts the floor of an incarnation to at least the sequence.
func (v *lives) raise(n ticket.Node, sequence uint64) {
	if e, ok := v.floors[n]; ok {
		f := e.Value.(*floor)
		f.sequence = max(f.sequence, sequence)
		v.order.MoveToBack(e)
		return
	}
	if v.closed(n) {
		return
	}
	v.floors[n] = v.order.PushBack(&floor{node: n, sequence: sequence})
	if len(v.floors) > v.limit {
		v.closeOldest()
	}
}

// closeOldest closes the incarnation whose floor rose longest ago.
func (v *lives) closeOldest() {
	f := v.order.Remove(v.order.Front()).(*floor)
	delete(v.floors, f.node)
	if v.filter == nil {
		v.filter = make([]uint64, filterBits/wordBits)
	}
	for _, b := range bits(f.node) {
		v.filter[b/wordBits] |= 1 << (b % wordBits)
	}
}

// closed reports whether the incarnation is closed, or is taken for one.
func (v *lives) closed(n ticket.Node) bool {
	if v.filter == nil {
		return false
	}
	for _, b := range bits(n) {
		if v.filter[b/wordBits]&(1<<(b%wordBits)) == 0 {
			return false
		}
	}
	return true
}

// bits returns the bits of the filter that stand for an incarnation.
func bits(n ticket.Node) [filterHashes]uint64 {
	var d xxhash.Digest
	var life [8]byte
	binary.LittleEndian.PutUint64(life[:], n.Incarnation)
	d.Reset()
	_, _ = d.Write(life[:])
	_, _ = d.WriteString(n.Instance)
	h := d.Sum64()
	step := h>>32 | 1
	var places [filterHashes]uint64
	for i := range places {
		places[i] = (h + uint64(i)*step) % filterBits
	}
	return places
}
