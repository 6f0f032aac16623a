package ledger

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushlock/core/ticket"
)

const (
	// maxFloors is the maximum number of entry incarnations with a floor of their own.
	maxFloors = 4096
	// filterBits is the size of the Bloom filter of closed incarnations, a power of two.
	filterBits = 1 << 19
	// filterHashes is the number of bits that each closed incarnation sets.
	filterHashes = 4
	// wordBits is the number of bits in a word of the filter.
	wordBits = 64
)

// incarnationFloors holds a floor for each incarnation of an entry that had a record
// evicted.
//
// If there are too many floors, the incarnation whose floor was raised longest ago is
// closed: its floor is dropped, and all its attempts without a record are Lost from then
// on. Closed incarnations are added to a Bloom filter, which has no false negatives. A
// false positive makes the guard reject attempts of another incarnation as Lost, which
// is safe. With 50,000 closed incarnations the false positive rate is about one in a
// hundred. It is not enough to remember only the newest incarnation of each instance,
// because incarnations have no order and the number of instances is unbounded too.
type incarnationFloors struct {
	limit  int
	floors map[ticket.NodeID]*list.Element
	order  *list.List
	filter []uint64
}

// floor is the highest evicted sequence number of one incarnation.
type floor struct {
	node     ticket.NodeID
	sequence uint64
}

// newIncarnationFloors returns an empty set of at most limit floors.
func newIncarnationFloors(limit int) *incarnationFloors {
	return &incarnationFloors{
		limit:  limit,
		floors: make(map[ticket.NodeID]*list.Element),
		order:  list.New(),
	}
}

// lost reports whether a record of the attempt may have been evicted.
func (v *incarnationFloors) lost(n ticket.NodeID, sequence uint64) bool {
	if e, ok := v.floors[n]; ok {
		return sequence <= e.Value.(*floor).sequence
	}
	return v.closed(n)
}

// raise raises the floor of an incarnation to at least the sequence number.
func (v *incarnationFloors) raise(n ticket.NodeID, sequence uint64) {
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

// closeOldest closes the incarnation whose floor was raised longest ago.
func (v *incarnationFloors) closeOldest() {
	f := v.order.Remove(v.order.Front()).(*floor)
	delete(v.floors, f.node)
	if v.filter == nil {
		v.filter = make([]uint64, filterBits/wordBits)
	}
	for _, b := range filterPositions(f.node) {
		v.filter[b/wordBits] |= 1 << (b % wordBits)
	}
}

// closed reports whether the incarnation is closed. It may be a false positive.
func (v *incarnationFloors) closed(n ticket.NodeID) bool {
	if v.filter == nil {
		return false
	}
	for _, b := range filterPositions(n) {
		if v.filter[b/wordBits]&(1<<(b%wordBits)) == 0 {
			return false
		}
	}
	return true
}

// filterPositions returns the positions of the filter bits of an incarnation.
func filterPositions(n ticket.NodeID) [filterHashes]uint64 {
	var d xxhash.Digest
	var incarnation [8]byte
	binary.LittleEndian.PutUint64(incarnation[:], n.Incarnation)
	d.Reset()
	_, _ = d.Write(incarnation[:])
	_, _ = d.WriteString(n.Instance)
	h := d.Sum64()
	step := h>>32 | 1
	var positions [filterHashes]uint64
	for i := range positions {
		positions[i] = (h + uint64(i)*step) % filterBits
	}
	return positions
}
