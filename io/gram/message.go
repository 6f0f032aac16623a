package gram

import (
	"encoding/binary"
	"fmt"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// kind tells what a datagram is for.
type kind uint8

// The kinds of datagrams.
const (
	// kindAsk asks for the load of a guard.
	kindAsk kind = 1 + iota
	// kindLoad answers with the load.
	kindLoad
	// kindCast tells the versions that the sender holds.
	kindCast
	// kindRelay tells them to one that is to tell others.
	kindRelay
)

// form is the version of the form of datagrams, their first byte.
const form = 1

// mostAge is the longest age of a view that is told. A view that nobody confirmed is older.
const mostAge = 24 * time.Hour

// message is the content of a datagram. Which fields are set depends on its kind.
type message struct {
	Kind kind
	// Number joins an answer to its question.
	Number   uint64
	From     ticket.Node
	Load     report.Load
	Versions event.Versions
}

// FormError is a datagram that cannot be read.
type FormError struct {
	Size int
}

// Error names the size of the datagram.
func (e *FormError) Error() string {
	return fmt.Sprintf("datagram of %d bytes does not have the form of a node", e.Size)
}

// Bits of the marks of a load.
const (
	markCold = 1 << iota
	markIll
	markLeaving
	markBlank
)

// append returns b with the form of m that travels.
func (m message) append(b []byte) []byte {
	b = append(b, form, byte(m.Kind))
	b = binary.BigEndian.AppendUint64(b, m.Number)
	if m.Kind == kindAsk {
		return b
	}
	b = append(b, byte(len(m.From.Instance)))
	b = append(b, m.From.Instance...)
	b = binary.BigEndian.AppendUint64(b, m.From.Incarnation)
	if m.Kind == kindLoad {
		l := m.Load
		for _, n := range []int{l.InFlight, l.Queued, l.Limit, l.Slow, int(l.Wait.Microseconds())} {
			b = binary.AppendUvarint(b, uint64(max(n, 0)))
		}
		return append(b, marksOf(l))
	}
	v := m.Versions
	for _, n := range []uint64{v.Rules.Revision, v.Rules.Digest, v.Fleet.Revision, v.Fleet.Digest} {
		b = binary.AppendUvarint(b, n)
	}
	for _, d := range []time.Duration{v.Age, v.FleetAge} {
		b = binary.AppendUvarint(b, uint64(min(max(d, 0), mostAge)))
	}
	return b
}

// marksOf returns the bits for what is true of a load.
func marksOf(l report.Load) byte {
	var marks byte
	if l.Cold {
		marks |= markCold
	}
	if l.Ill {
		marks |= markIll
	}
	if l.Leaving {
		marks |= markLeaving
	}
	if l.Blank {
		marks |= markBlank
	}
	return marks
}

// reader reads the parts of a datagram in turn. Once one is missing, failed is set.
type reader struct {
	rest   []byte
	failed bool
}

// take takes the next n bytes.
func (r *reader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// number takes a number of variable length.
func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if r.failed || size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// count takes a number of things.
func (r *reader) count() int {
	const most = 1 << 30
	n := r.number()
	if n > most {
		r.failed = true
		return 0
	}
	return int(n)
}

// age takes the age of a view.
func (r *reader) age() time.Duration {
	n := r.number()
	if n > uint64(mostAge) {
		r.failed = true
		return 0
	}
	return time.Duration(n)
}

// parse reads a datagram. It fails with a *FormError.
func parse(b []byte) (message, error) {
	r := &reader{rest: b}
	head := r.take(2)
	m := message{Kind: kind(head[1]), Number: binary.BigEndian.Uint64(r.take(8))}
	if m.Kind != kindAsk {
		m.From.Instance = string(r.take(int(r.take(1)[0])))
		m.From.Incarnation = binary.BigEndian.Uint64(r.take(8))
	}
	switch m.Kind {
	case kindAsk:
	case kindLoad:
		m.Load = report.Load{InFlight: r.count(), Queued: r.count(), Limit: r.count(), Slow: r.count()}
		m.Load.Wait = time.Duration(r.count()) * time.Microsecond
		marks := r.take(1)[0]
		m.Load.Cold = marks&markCold != 0
		m.Load.Ill = marks&markIll != 0
		m.Load.Leaving = marks&markLeaving != 0
		m.Load.Blank = marks&markBlank != 0
	case kindCast, kindRelay:
		v := &m.Versions
		v.Rules.Revision, v.Rules.Digest = r.number(), r.number()
		v.Fleet.Revision, v.Fleet.Digest = r.number(), r.number()
		v.Age, v.FleetAge = r.age(), r.age()
	default:
		r.failed = true
	}
	if r.failed || head[0] != form || len(r.rest) > 0 {
		return message{}, &FormError{Size: len(b)}
	}
	return m, nil
}
