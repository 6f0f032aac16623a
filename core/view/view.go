// Package view holds the newest valid version of a published document.
//
// Nodes that are offered the same versions in any order converge on the same one. A view never
// returns to an older version. A View is not safe for concurrent use.
//
// # Usage
//
//	v := view.New(rules.Parse)
//	verdict, err := v.Offer(text, revision, now)
//	if verdict == view.Invalid {
//		return err // a *view.InvalidError
//	}
//	if v.NeedsFetch(announced) {
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
	// UnknownAge is the age of a view that was never confirmed.
	UnknownAge = time.Duration(math.MaxInt64)
)

// Version identifies one text of a document.
type Version struct {
	Revision uint64
	// Digest is the hash of the text. It orders texts of the same revision.
	Digest uint64
}

// Compare returns a negative number if v is older than o, zero if they are equal and a
// positive number if v is newer than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Revision, o.Revision), cmp.Compare(v.Digest, o.Digest))
}

// Verdict is the result of offering a text.
type Verdict uint8

// The results of offering a text.
const (
	// Accepted means that the text is newer and valid and has replaced the held one.
	Accepted Verdict = iota
	// Known means that the view already holds the text.
	Known
	// Older means that the text is older than the held one.
	Older
	// Invalid means that the text is newer but cannot be parsed.
	Invalid
)

// String returns the verdict as a word for messages.
func (v Verdict) String() string {
	names := [...]string{"taken", "known", "older", "invalid"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// InvalidError reports a text that cannot be parsed.
type InvalidError struct {
	Version Version
	// Err is the error of the parser.
	Err error
}

// Error returns a message that names the revision and the error of the parser.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("revision %d is invalid: %v", e.Version.Revision, e.Err)
}

// Unwrap returns the error of the parser.
func (e *InvalidError) Unwrap() error {
	return e.Err
}

// View holds a document that parses to a value of type T.
type View[T any] struct {
	parse           func(text string) (T, error)
	value           T
	text            string
	version         Version
	held            bool
	acceptedAt      time.Time
	confirmedAt     time.Time
	hasConfirmation bool
	invalid         []*InvalidError
}

// New returns a view that holds no text. The result of parse must depend on the text alone.
func New[T any](parse func(text string) (T, error)) *View[T] {
	return &View[T]{parse: parse}
}

// Offer replaces the held text if the offered one is newer and valid. The held text under a
// newer revision is Known, and the view adopts that revision. Offer returns an *InvalidError
// if and only if the verdict is Invalid; it then keeps the held text.
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
	if e := v.rememberedError(offered); e != nil {
		return Invalid, fmt.Errorf("offer: %w", e)
	}
	value, err := v.parse(text)
	if err != nil {
		e := &InvalidError{Version: offered, Err: err}
		v.rememberError(e)
		return Invalid, fmt.Errorf("offer: %w", e)
	}
	v.value = value
	v.text = text
	v.version = offered
	v.held = true
	v.acceptedAt = now
	return Accepted, nil
}

// Value returns the held value, and whether there is one.
func (v *View[T]) Value() (T, bool) {
	return v.value, v.held
}

// Text returns the held text, for a peer that fetches it.
func (v *View[T]) Text() string {
	return v.text
}

// Version returns the held version, or the zero Version if there is none.
func (v *View[T]) Version() Version {
	return v.version
}

// AcceptedAt returns the time at which the held text was accepted.
func (v *View[T]) AcceptedAt() time.Time {
	return v.acceptedAt
}

// Confirm records that the held text, or an older one, was the newest at the given time. It
// reports whether that is the newest confirmation.
func (v *View[T]) Confirm(now time.Time) bool {
	isNewest := !v.hasConfirmation || now.After(v.confirmedAt)
	if isNewest {
		v.confirmedAt = now
	}
	v.hasConfirmation = true
	return isNewest
}

// IsConfirmed reports whether the view was ever confirmed.
func (v *View[T]) IsConfirmed() bool { return v.hasConfirmation }

// Age returns the time since the last confirmation, or the longest Duration if there was none
// or the view holds no text. Accepting a text does not reset the age, because its source may
// be out of date too.
func (v *View[T]) Age(now time.Time) time.Duration {
	if !v.held || !v.hasConfirmation {
		return UnknownAge
	}
	return max(now.Sub(v.confirmedAt), 0)
}

// AdoptIfSameText reports whether the view holds the text of a version that a peer announced. If it
// does and the announced revision is newer, the view adopts that revision.
func (v *View[T]) AdoptIfSameText(o Version) bool {
	if !v.held || o.Digest != v.version.Digest {
		return false
	}
	v.version.Revision = max(v.version.Revision, o.Revision)
	return true
}

// AdvanceRevision records that the held text is also the text of a later revision.
func (v *View[T]) AdvanceRevision(revision uint64) {
	if v.held {
		v.version.Revision = max(v.version.Revision, revision)
	}
}

// NeedsFetch reports whether a version that a peer announced is worth fetching: it is newer, has
// another text, and is not known to be invalid.
func (v *View[T]) NeedsFetch(o Version) bool {
	if v.held && (o.Compare(v.version) <= 0 || o.Digest == v.version.Digest) {
		return false
	}
	return o != Version{} && v.rememberedError(o) == nil
}

// rememberedError returns the remembered parse error of a version, or nil.
func (v *View[T]) rememberedError(o Version) *InvalidError {
	i := slices.IndexFunc(v.invalid, func(e *InvalidError) bool { return e.Version == o })
	if i < 0 {
		return nil
	}
	return v.invalid[i]
}

// rememberError stores a parse error. If maxInvalid are stored, it replaces the oldest one.
func (v *View[T]) rememberError(e *InvalidError) {
	if len(v.invalid) == maxInvalid {
		v.invalid = slices.Delete(v.invalid, 0, 1)
	}
	v.invalid = append(v.invalid, e)
}
