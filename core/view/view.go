// Package view holds the newest valid version of a published document.
//
// Nodes that are offered the same versions, in any order, end up with the same
// one, and a view never goes back. A View is not safe for concurrent use.
//
// # Usage
//
//	v := view.New(rules.Parse)
//	verdict, err := v.Offer(text, revision, now)
//	if verdict == view.Invalid {
//		return err // a *view.InvalidError
//	}
//	if v.Wants(announced) {
//		fetch(announced)
//	}
package view

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxInvalid is the number of invalid versions that a view remembers.
	maxInvalid = 16
	// unknownAge is the age of a view that nobody confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// Version names one text of a document.
type Version struct {
	Revision uint64
	// Digest is the hash of the text. It orders texts with the same revision.
	Digest uint64
}

// Compare returns a negative number if v is older than o, zero if they are equal
// and a positive number if v is newer than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Digest, o.Digest))
}

// Verdict tells what became of an offered text.
type Verdict uint8

// The verdicts on an offered text.
const (
	// Taken is a newer valid text, which is the value from now on.
	Taken Verdict = iota
	// Known is the text that the view holds.
	Known
	// Older is a text older than the one that the view holds.
	Older
	// Invalid is a newer text that cannot be parsed.
	Invalid
)

// String returns the name of the verdict in lower case.
func (v Verdict) String() string {
	names := [...]string{"taken", "known", "older", "invalid"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// InvalidError is a text that cannot be parsed.
type InvalidError struct {
	Version Version
	// Err is the failure of the parser.
	Err error
}

// Error names the version and the failure of the parser.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("revision %d is invalid: %v", e.Version.Revision, e.Err)
}

// Unwrap returns the failure of the parser.
func (e *InvalidError) Unwrap() error {
	return e.Err
}

// View holds a document with a value of type T.
type View[T any] struct {
	parse     func(text string) (T, error)
	value     T
	text      string
	version   Version
	held      bool
	since     time.Time
	confirmed time.Time
	sure      bool
	invalid   []*InvalidError
}

// New returns a view that holds no text. Parse must depend on the text alone.
func New[T any](parse func(text string) (T, error)) *View[T] {
	return &View[T]{parse: parse}
}

// Offer takes the text if it is newer than the one held and valid. The text held
// under a newer revision is Known, and gets that revision. It fails with
// a *InvalidError, and only if the verdict is Invalid; the text held then stays.
func (v *View[T]) Offer(text string, revision uint64, now time.Time) (Verdict, error) {
	offered := Version{Revision: revision, Digest: xxhash.Sum64String(text)}
	if v.held {
		switch c := offered.Compare(v.version); {
		case c == 0:
			return Known, nil
		case c < 0:
			return Older, nil
		case offered.Digest == v.version.Digest:
			v.version = offered
			return Known, nil
		}
	}
	if e := v.fault(offered); e != nil {
		return Invalid, fmt.Errorf("offer: %w", e)
	}
	value, err := v.parse(text)
	if err != nil {
		e := &InvalidError{Version: offered, Err: err}
		v.remember(e)
		return Invalid, fmt.Errorf("offer: %w", e)
	}
	v.value = value
	v.text = text
	v.version = offered
	v.held = true
	v.since = now
	return Taken, nil
}

// Value returns the value held, and whether there is one.
func (v *View[T]) Value() (T, bool) {
	return v.value, v.held
}

// Text returns the text held, for a peer that wants it.
func (v *View[T]) Text() string {
	return v.text
}

// Version returns the version held, or the zero Version if there is none.
func (v *View[T]) Version() Version {
	return v.version
}

// Since returns the time at which the text held was taken.
func (v *View[T]) Since() time.Time {
	return v.since
}

// Confirm notes that the text held, or an older one, was the newest at that time.
func (v *View[T]) Confirm(now time.Time) {
	if !v.sure || now.After(v.confirmed) {
		v.confirmed = now
	}
	v.sure = true
}

// Age returns the time since the last Confirm, or the longest Duration if there
// was none or the view holds no text. Taking a text does not make a view
// younger, since whoever offered it may be out of date as well.
func (v *View[T]) Age(now time.Time) time.Duration {
	if !v.held || !v.sure {
		return unknownAge
	}
	return max(now.Sub(v.confirmed), 0)
}

// Holds reports whether the text held is that of a version which a peer announced,
// and takes over its revision where that is newer.
func (v *View[T]) Holds(o Version) bool {
	if !v.held || o.Digest != v.version.Digest {
		return false
	}
	v.version.Revision = max(v.version.Revision, o.Revision)
	return true
}

// Advance takes over that the text held is also that of a later revision.
func (v *View[T]) Advance(revision uint64) {
	if v.held {
		v.version.Revision = max(v.version.Revision, revision)
	}
}

// Wants reports whether a version that a peer announced is worth fetching.
func (v *View[T]) Wants(o Version) bool {
	if v.held && (o.Compare(v.version) <= 0 || o.Digest == v.version.Digest) {
		return false
	}
	return o != Version{} && v.fault(o) == nil
}

// fault returns the remembered failure of a version, or nil.
func (v *View[T]) fault(o Version) *InvalidError {
	i := slices.IndexFunc(v.invalid, func(e *InvalidError) bool { return e.Version == o })
	if i < 0 {
		return nil
	}
	return v.invalid[i]
}

// remember keeps a failure, in place of the oldest one if there are too many.
func (v *View[T]) remember(e *InvalidError) {
	if len(v.invalid) == maxInvalid {
		v.invalid = slices.Delete(v.invalid, 0, 1)
	}
	v.invalid = append(v.invalid, e)
}
