package lease

import (
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// isRevoked reports whether a read failed for want of the right to read.
func isRevoked(err error) bool {
	var revoked *RevokedError
	return errors.As(err, &revoked)
}

func TestWithdrawnReaderTakesNothing(t *testing.T) {
	c := qt.New(t)
	b := New(strings.NewReader("body"))
	before := b.Lend()
	c.Assert(b.Withdraw(), qt.IsTrue)
	n, err := before.Read(make([]byte, 4))
	c.Check(n, qt.Equals, 0)
	c.Check(isRevoked(err), qt.IsTrue)
	text, err := io.ReadAll(b.Lend())
	c.Check(err, qt.IsNil)
	c.Check(string(text), qt.Equals, "body")
}

func TestReaderThatHasBegunKeepsBody(t *testing.T) {
	c := qt.New(t)
	b := New(strings.NewReader("body"))
	first := b.Lend()
	_, err := first.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	c.Check(b.Withdraw(), qt.IsFalse)
	_, err = b.Lend().Read(make([]byte, 1))
	c.Check(isRevoked(err), qt.IsTrue)
	rest, err := io.ReadAll(first)
	c.Check(err, qt.IsNil)
	c.Check(string(rest), qt.Equals, "ody")
}

func TestClosedBodyIsNotRead(t *testing.T) {
	c := qt.New(t)
	b := New(strings.NewReader("body"))
	first := b.Lend()
	b.Close()
	for _, r := range []io.Reader{first, b.Lend()} {
		n, err := r.Read(make([]byte, 4))
		c.Check(n, qt.Equals, 0)
		c.Check(isRevoked(err), qt.IsTrue)
	}
}

// TestOneReaderGetsBytes draws orders of calls: all bytes that were read belong to one reader, and
// Withdraw says "unread" only while nobody has read.
func TestOneReaderGetsBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(strings.NewReader(strings.Repeat("x", 64)))
		readers := []io.Reader{b.Lend()}
		taken := -1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"lend", "withdraw", "read"}).Draw(t, "step") {
			case "lend":
				readers = append(readers, b.Lend())
			case "withdraw":
				if unread := b.Withdraw(); unread != (taken < 0) {
					t.Fatalf("unread %v, read by %d", unread, taken)
				}
			case "read":
				i := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
				n, err := readers[i].Read(make([]byte, 1))
				if n > 0 && taken >= 0 && taken != i {
					t.Fatalf("readers %d and %d have bytes", taken, i)
				}
				if n > 0 {
					taken = i
				}
				if err != nil && n > 0 {
					t.Fatalf("a failed read took %d bytes", n)
				}
			}
		}
	})
}
