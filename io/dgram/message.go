package dgram

import (
	"encoding/binary"
	"fmt"
	"time"

	"bulrushlock/core/event"
	"bulrushlock/core/report"
	"bulrushlock/core/ticket"
)

// kind is the purpose of a datagram.
type kind uint8

// The kinds of datagrams.
const (
	// kindLoadRequest queries a guard for its load.
	kindLoadRequest kind = 1 + iota
	// kindLoad is the response to kindLoadRequest.
	kindLoad
	// kindVersions announces the versions that the sender holds.
	kindVersions
	// kindRelayVersions announces versions and asks the receiver to relay them.
	kindRelayVersions
	// kindAskTokens asks the owner of a part of a customer's limit for tokens.
	kindAskTokens
	// kindTokens is the response to kindAskTokens.
	kindTokens
	// kindOriginVersions and kindRelayOriginVersions are sent in place of kindVersions and
	// kindRelayVersions if the documents have an edition or an epoch. An older build drops them, and
	// compares versions by call.
	kindOriginVersions
	kindRelayOriginVersions
)

// withOrigin maps the kinds of versions to those that are sent with an edition and epochs.
var withOrigin = map[kind]kind{kindVersions: kindOriginVersions, kindRelayVersions: kindRelayOriginVersions}

// withoutOrigin is the inverse of withOrigin.
var withoutOrigin = map[kind]kind{kindOriginVersions: kindVersions, kindRelayOriginVersions: kindRelayVersions}

// formatVersion is the version of the datagram format, sent as the first byte.
const formatVersion = 1

// maxAge is the longest age of a view that is announced. A view that was never confirmed
// is older.
const maxAge = 24 * time.Hour

// message is the content of a datagram. Which fields are set depends on its kind.
type message struct {
	Kind kind
	// Number identifies the load request that a load responds to. In a message of versions it
	// holds the readers of the rules and of the instance list.
	Number   uint64
	From     ticket.NodeID
	Load     report.Load
	Versions event.Versions
	Tokens   tokens
}

// tokens is the content of an ask for tokens or of its response.
type tokens struct {
	// Customer and Shard are set in an ask.
	Customer string
	Shard    int
	// Count is the number of tokens that are asked for or lent.
	Count int
	// Wait and IsOwner are set in a response.
	Wait    time.Duration
	IsOwner bool
	// Centres is the number of data centres that the sender knows.
	Centres int
}

// append appends the encoded form of t to b.
func (t tokens) append(b []byte, k kind) []byte {
	if k == kindAskTokens {
		b = append(b, byte(len(t.Customer)))
		b = append(b, t.Customer...)
		b = binary.AppendUvarint(b, uint64(t.Shard))
	} else {
		b = append(b, flagsOfTokens(t))
		b = binary.AppendUvarint(b, uint64(max(t.Wait, 0).Microseconds()))
	}
	b = binary.AppendUvarint(b, uint64(max(t.Count, 0)))
	return binary.AppendUvarint(b, uint64(max(t.Centres, 0)))
}

// flagOwner is the flag of a response of the owner.
const flagOwner = 1

// flagsOfTokens returns the flags of a response.
func flagsOfTokens(t tokens) byte {
	if t.IsOwner {
		return flagOwner
	}
	return 0
}

// tokens returns the content of a message of the given kind.
func (r *reader) tokens(k kind) tokens {
	var t tokens
	if k == kindAskTokens {
		t.Customer = string(r.take(int(r.take(1)[0])))
		t.Shard = r.count()
	} else {
		t.IsOwner = r.take(1)[0]&flagOwner != 0
		t.Wait = time.Duration(r.count()) * time.Microsecond
	}
	t.Count, t.Centres = r.count(), r.count()
	return t
}

// priorityShift is the position of the priority in the number of a load request. A guard that does not
// know of priorities returns the number as it is.
const priorityShift = 56

// rankedNumber returns the number of a load request for attempts of the given priority.
func rankedNumber(number uint64, priority int) uint64 {
	return number&(1<<priorityShift-1) | uint64(priority)<<priorityShift
}

// priorityOf returns the priority for which the load request of the given number was sent, or 0 for
// the whole queue.
func priorityOf(number uint64) int { return int(number >> priorityShift) }

// FormatError reports a datagram that cannot be parsed.
type FormatError struct {
	Size int
}

// Error returns a message that names the size of the datagram.
func (e *FormatError) Error() string {
	return fmt.Sprintf("malformed datagram of %d bytes", e.Size)
}

// Flags of a load.
const (
	flagCold = 1 << iota
	flagUnhealthy
	flagLeaving
	flagBlank
)

// append appends the encoded form of m to b.
func (m message) append(b []byte) []byte {
	sent, origin := m.Kind, originOf(m.Versions)
	if k, ok := withOrigin[m.Kind]; ok && origin != ([originFields]uint64{}) {
		sent = k
	}
	b = append(b, formatVersion, byte(sent))
	number := m.Number
	if m.Kind == kindVersions || m.Kind == kindRelayVersions {
		number = uint64(m.Versions.RulesReader)<<32 | uint64(m.Versions.FleetReader)
	}
	b = binary.BigEndian.AppendUint64(b, number)
	if m.Kind == kindLoadRequest {
		return b
	}
	b = append(b, byte(len(m.From.Instance)))
	b = append(b, m.From.Instance...)
	b = binary.BigEndian.AppendUint64(b, m.From.Incarnation)
	if m.Kind == kindAskTokens || m.Kind == kindTokens {
		return m.Tokens.append(b, m.Kind)
	}
	if m.Kind == kindLoad {
		l := m.Load
		for _, n := range []int{l.InFlight, l.Queued, l.Limit, l.Slow, int(l.Wait.Microseconds())} {
			b = binary.AppendUvarint(b, uint64(max(n, 0)))
		}
		return append(b, flagsOf(l))
	}
	v := m.Versions
	for _, n := range []uint64{v.Rules.Revision, v.Rules.Digest, v.Fleet.Revision, v.Fleet.Digest} {
		b = binary.AppendUvarint(b, n)
	}
	for _, d := range []time.Duration{v.Age, v.FleetAge} {
		b = binary.AppendUvarint(b, uint64(min(max(d, 0), maxAge)))
	}
	if sent != m.Kind {
		for _, n := range origin {
			b = binary.AppendUvarint(b, n)
		}
	}
	return b
}

// originFields is the number of fields that follow the versions if one of them isn't 0.
const originFields = 3

// originOf returns the edition and the epochs of the documents.
func originOf(v event.Versions) [originFields]uint64 {
	return [...]uint64{v.Rules.Edition, v.Rules.Epoch, v.Fleet.Epoch}
}

// flagsOf returns the flags of l.
func flagsOf(l report.Load) byte {
	var flags byte
	if l.Cold {
		flags |= flagCold
	}
	if l.Ill {
		flags |= flagUnhealthy
	}
	if l.Leaving {
		flags |= flagLeaving
	}
	if l.Blank {
		flags |= flagBlank
	}
	return flags
}

// reader decodes the fields of a datagram in order. It sets failed when a field is missing
// or out of range.
type reader struct {
	rest   []byte
	failed bool
}

// take returns the next n bytes.
func (r *reader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// uvarint returns the next variable-length number.
func (r *reader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if r.failed || size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// count returns the next number as an int. Numbers above 2^30 are invalid.
func (r *reader) count() int {
	const maxCount = 1 << 30
	n := r.uvarint()
	if n > maxCount {
		r.failed = true
		return 0
	}
	return int(n)
}

// age returns the next number as the age of a view. Ages above maxAge are invalid.
func (r *reader) age() time.Duration {
	n := r.uvarint()
	if n > uint64(maxAge) {
		r.failed = true
		return 0
	}
	return time.Duration(n)
}

// parse decodes a datagram. It fails with a *FormatError.
func parse(b []byte) (message, error) {
	r := &reader{rest: b}
	head := r.take(2)
	m := message{Kind: kind(head[1]), Number: binary.BigEndian.Uint64(r.take(8))}
	bare, hasOrigin := withoutOrigin[m.Kind]
	if hasOrigin {
		m.Kind = bare
	}
	if m.Kind != kindLoadRequest {
		m.From.Instance = string(r.take(int(r.take(1)[0])))
		m.From.Incarnation = binary.BigEndian.Uint64(r.take(8))
	}
	switch m.Kind {
	case kindLoadRequest:
	case kindLoad:
		m.Load = report.Load{InFlight: r.count(), Queued: r.count(), Limit: r.count(), Slow: r.count()}
		m.Load.Wait = time.Duration(r.count()) * time.Microsecond
		flags := r.take(1)[0]
		m.Load.Cold = flags&flagCold != 0
		m.Load.Ill = flags&flagUnhealthy != 0
		m.Load.Leaving = flags&flagLeaving != 0
		m.Load.Blank = flags&flagBlank != 0
	case kindAskTokens, kindTokens:
		m.Tokens = r.tokens(m.Kind)
	case kindVersions, kindRelayVersions:
		v := &m.Versions
		v.Rules.Revision, v.Rules.Digest = r.uvarint(), r.uvarint()
		v.Fleet.Revision, v.Fleet.Digest = r.uvarint(), r.uvarint()
		v.Age, v.FleetAge = r.age(), r.age()
		if hasOrigin {
			v.Rules.Edition, v.Rules.Epoch, v.Fleet.Epoch = r.uvarint(), r.uvarint(), r.uvarint()
		}
		v.RulesReader, v.FleetReader = uint32(m.Number>>32), uint32(m.Number)
		m.Number = 0
	default:
		r.failed = true
	}
	if r.failed || head[0] != formatVersion || len(r.rest) > 0 {
		return message{}, &FormatError{Size: len(b)}
	}
	return m, nil
}
