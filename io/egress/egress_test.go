package egress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/shaper"
	"bulrushlock/io/egress"
	"bulrushlock/io/proto"
)

// copyTime copies a body of size bytes and returns the time that the copy took.
func copyTime(t *testing.T, s *egress.Writer, ctx context.Context, size int, length int64) time.Duration {
	t.Helper()
	began := time.Now()
	w := httptest.NewRecorder()
	err := s.Copy(ctx, w, bytes.NewReader(make([]byte, size)), length, func() {})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, w.Body.Len(), qt.Equals, size)
	return time.Since(began)
}

// Exports of 90 KB saturate a link of 10 Mbit/s, while short responses are not delayed.
func TestExportsDoNotDelayShortResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := egress.New(shaper.New(10e6))
		var exports sync.WaitGroup
		for range 4 {
			exports.Go(func() {
				took := copyTime(t, s, t.Context(), 90_000, 90_000)
				qt.Check(t, took > 250*time.Millisecond && took < 400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
			})
		}
		for range 20 {
			time.Sleep(10 * time.Millisecond)
			qt.Check(t, copyTime(t, s, t.Context(), 5_000, 5_000), qt.Equals, time.Duration(0))
		}
		exports.Wait()
	})
}

func TestUnknownLinkRateAddsNoDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := egress.New(shaper.New(0))
		qt.Check(t, copyTime(t, s, t.Context(), 1<<20, -1), qt.Equals, time.Duration(0))
	})
}

func TestContextEndStopsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := egress.New(shaper.New(1e6))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		qt.Check(t, copyTime(t, s, ctx, 200_000, 200_000), qt.Equals, 100*time.Millisecond)
	})
}

func TestBrokenBodyIsAnError(t *testing.T) {
	s := egress.New(shaper.New(0))
	body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF))
	err := s.Copy(t.Context(), httptest.NewRecorder(), body, 8, func() {})
	var broken *proto.BrokenError
	qt.Check(t, errors.As(err, &broken), qt.IsTrue, qt.Commentf("%v", err))
}
