// Package view holds the newest valid version of a published document.
//
// Nodes that are offered the same versions in any order converge on the same one. A view never
// returns to an older version. A View is not safe for concurrent use.
//
// Load pattern: the platform comes back from a copy of its data that is some seconds old, and gives
// out the revisions since then once more for other changes. Its epoch tells them apart. What the copy
// holds may be older than what was in force, which the edition tells.
//
// # Usage
//
//	v := view.New(rules.Parse)
//	verdict, err := v.Offer(text, view.Version{Epoch: epoch, Revision: revision}, now)
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
	// Edition is the number that the author of the document counts up, or 0 if it isn't known.
	Edition uint64
	// Epoch counts how often the platform came back from an older copy, after which it gives out
	// revisions once more. It is 0 if the platform doesn't tell.
	Epoch    uint64
	Revision uint64
	// Digest is the hash of the text. It orders texts of the same revision.
	Digest uint64
}

// Compare returns a negative number if v is older than o, zero if they are equal and a
// positive number if v is newer than o. The edition comes first: in a copy of the platform's data, an
// older one has a newer epoch.
func (v Version) Compare(o Version) int {
	return cmp.Or(v.compareEdition(o), v.CompareRevision(o), cmp.Compare(v.Edition, o.Edition), cmp.Compare(v.Digest, o.Digest))
}

// compareEdition compares two editions if both are known, as nodes of an older build don't tell them.
func (v Version) compareEdition(o Version) int {
	if v.Edition == 0 || o.Edition == 0 {
		return 0
	}
	return cmp.Compare(v.Edition, o.Edition)
}

// CompareRevision compares the places of two versions in the history of the platform.
func (v Version) CompareRevision(o Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Revision, o.Revision))
}

// IsOlderEdition reports whether v is known to be an older edition than o.
func (v Version) IsOlderEdition(o Version) bool { return v.compareEdition(o) < 0 }

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
// newer version is Known, and the view adopts that version. The digest of the offered version is
// that of text. Offer returns an *InvalidError if and only if the verdict is Invalid; it then keeps
// the held text.
func (v *View[T]) Offer(text string, offered Version, now time.Time) (Verdict, error) {
	offered.Digest = xxhash.Sum64String(text)
	if v.held {
		switch c := offered.Compare(v.version); {
		case c == 0:
			return Known, nil
		case c < 0:
			return Older, nil
		case offered.Digest == v.version.Digest:
			v.adopt(offered)
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
// does and the announced version is newer, the view adopts that version.
func (v *View[T]) AdoptIfSameText(o Version) bool {
	if !v.held || o.Digest != v.version.Digest {
		return false
	}
	v.adopt(o)
	return true
}

// adopt records that the held text is also that of version o.
func (v *View[T]) adopt(o Version) {
	edition := max(v.version.Edition, o.Edition)
	if o.CompareRevision(v.version) > 0 {
		v.version = o
	}
	v.version.Edition = edition
}

// AdvanceRevision records that the held text is also the text of a later revision of an epoch. It
// reports false for another epoch than that of the held text, whose revisions can't be compared.
func (v *View[T]) AdvanceRevision(epoch, revision uint64) bool {
	if v.held && epoch == v.version.Epoch {
		v.version.Revision = max(v.version.Revision, revision)
	}
	return epoch == v.version.Epoch
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
