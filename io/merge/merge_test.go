package merge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bulrushlock/core/ring"
	"bulrushlock/io/admin"
	"bulrushlock/io/fetch"
	"bulrushlock/io/loop"
)

// fakeNode is a node that serves an event log.
type fakeNode struct {
	incarnation string
	ring        *ring.Ring[loop.Record]
	address     netip.AddrPort
}

// newFakeNode starts a node that holds at most capacity events.
func newFakeNode(t *testing.T, capacity int) *fakeNode {
	l := &fakeNode{incarnation: "1", ring: ring.New[loop.Record](capacity)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		a := admin.Timeline{Incarnation: l.incarnation}
		a.Records, a.Next, a.Dropped = l.ring.Since(since, 2)
		_ = json.NewEncoder(w).Encode(a)
	}))
	t.Cleanup(s.Close)
	l.address = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return l
}

// add adds an event with the given stamp.
func (l *fakeNode) add(stamp string) { l.ring.Add(loop.Record{Stamp: stamp}) }

// stamps returns the stamps of records, separated by spaces.
func stamps(records []loop.Record) string {
	var s []string
	for _, r := range records {
		s = append(s, r.Stamp)
	}
	return strings.Join(s, " ")
}

func TestReadMergesByStamp(t *testing.T) {
	c := qt.New(t)
	a, b := newFakeNode(t, 8), newFakeNode(t, 2)
	for _, s := range []string{"10.0", "10.2", "30.0"} {
		a.add(s)
	}
	for _, s := range []string{"5.0", "10.1", "40.0"} {
		b.add(s)
	}
	m := New(fetch.New(time.Second), []netip.AddrPort{a.address, b.address})
	p := m.Read(t.Context(), time.Unix(0, 35))
	c.Check(stamps(p.Records), qt.Equals, "10.0 10.1 10.2 30.0")
	c.Assert(p.Dropped, qt.HasLen, 1)
	c.Check(p.Dropped[0], qt.Equals, DroppedEvents{Node: b.address, Count: 1})
	c.Check(p.Failed, qt.HasLen, 0)
	a.add("35.0")
	p = m.Read(t.Context(), time.Time{})
	c.Check(stamps(p.Records), qt.Equals, "35.0 40.0")
	c.Check(p.Dropped, qt.HasLen, 0)
}

func TestReadContinuesAfterRestart(t *testing.T) {
	c := qt.New(t)
	a := newFakeNode(t, 8)
	a.add("1.0")
	a.add("2.0")
	m := New(fetch.New(time.Second), []netip.AddrPort{a.address})
	c.Assert(stamps(m.Read(t.Context(), time.Time{}).Records), qt.Equals, "1.0 2.0")
	a.incarnation, a.ring = "2", ring.New[loop.Record](8)
	for _, s := range []string{"3.0", "4.0", "5.0"} {
		a.add(s)
	}
	c.Assert(stamps(m.Read(t.Context(), time.Time{}).Records), qt.Equals, "3.0 4.0 5.0")
}

func TestReadReportsFailedNodes(t *testing.T) {
	c := qt.New(t)
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	p := New(fetch.New(time.Second), []netip.AddrPort{gone}).Read(t.Context(), time.Time{})
	c.Assert(p.Failed, qt.HasLen, 1)
	c.Check(p.Failed[0].Node, qt.Equals, gone)
}
