// Package merge reads the event logs of several nodes and orders their events by the stamps
// of the hybrid logical clock.
//
// # Usage
//
//	m := merge.New(fetch.New(2*time.Second), nodes)
//	batch := m.Read(ctx, time.Time{})
//	for _, r := range batch.Records {
//		fmt.Println(r)
//	}
//	batch = m.Read(ctx, time.Now().Add(-time.Second)) // new events, except those of the last second
package merge

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bulrushlock/core/clock"
	"bulrushlock/io/admin"
	"bulrushlock/io/fetch"
	"bulrushlock/io/loop"
)

// maxReads is the largest number of responses that one Read takes from a node.
const maxReads = 16

// Merger reads the event logs of a set of nodes incrementally.
type Merger struct {
	client  *fetch.Client
	sources []*source
	pending []event
}

// source is the event log of one node.
type source struct {
	node        netip.AddrPort
	incarnation string
	next        uint64
}

// event is a record and its parsed stamp.
type event struct {
	stamp  clock.Stamp
	record loop.Record
}

// DroppedEvents is the number of events of a node that were dropped before they were read.
type DroppedEvents struct {
	Node  netip.AddrPort `json:"node"`
	Count uint64         `json:"count"`
}

// Failure is a node whose event log could not be read.
type Failure struct {
	Node netip.AddrPort
	Err  error
}

// Batch is the result of one read of the merged event log.
type Batch struct {
	Records []loop.Record
	Dropped []DroppedEvents
	Failed  []Failure
}

// New returns a Merger that starts with the oldest events of the nodes.
func New(r *fetch.Client, nodes []netip.AddrPort) *Merger {
	m := &Merger{client: r}
	for _, n := range nodes {
		m.sources = append(m.sources, &source{node: n})
	}
	return m
}

// readResult is the result of reading one node.
type readResult struct {
	events  []event
	dropped uint64
	err     error
}

// Read returns the events that arrived since the last call, in order. Events after until
// are held back for the next call, so that events that arrive late are still ordered; the
// zero time holds back none.
func (m *Merger) Read(ctx context.Context, until time.Time) Batch {
	results := make(chan func(*Batch), len(m.sources))
	for _, s := range m.sources {
		go func() {
			result := m.readNode(ctx, s)
			results <- func(batch *Batch) { m.collect(batch, s, result) }
		}()
	}
	var batch Batch
	for range m.sources {
		(<-results)(&batch)
	}
	slices.SortFunc(batch.Dropped, func(a, b DroppedEvents) int { return a.Node.Compare(b.Node) })
	slices.SortFunc(batch.Failed, func(a, b Failure) int { return a.Node.Compare(b.Node) })
	batch.Records = m.takeUntil(until)
	return batch
}

// readNode reads the events of one node from where the last read ended.
func (m *Merger) readNode(ctx context.Context, s *source) readResult {
	var result readResult
	for range maxReads {
		response := fetch.One[admin.Timeline](ctx, m.client, s.node, fmt.Sprintf("/timeline?since=%d", s.next))
		if response.Err != nil {
			result.err = response.Err
			return result
		}
		t := response.Value
		if s.incarnation != "" && t.Incarnation != s.incarnation {
			// A restarted node numbers its events from 0.
			s.incarnation, s.next = t.Incarnation, 0
			continue
		}
		s.incarnation = t.Incarnation
		result.dropped += t.Dropped
		for _, r := range t.Records {
			result.events = append(result.events, eventOf(r))
		}
		s.next = t.Next
		if len(t.Records) == 0 {
			return result
		}
	}
	return result
}

// eventOf returns r with its parsed stamp. A record with an invalid stamp is ordered by its
// time.
func eventOf(r loop.Record) event {
	s, err := clock.Parse(r.Stamp)
	if err != nil {
		s = clock.Stamp{Wall: r.At.UnixNano()}
	}
	return event{stamp: s, record: r}
}

// collect adds the result of reading one node to batch and to the pending events.
func (m *Merger) collect(batch *Batch, s *source, result readResult) {
	m.pending = append(m.pending, result.events...)
	if result.dropped > 0 {
		batch.Dropped = append(batch.Dropped, DroppedEvents{Node: s.node, Count: result.dropped})
	}
	if result.err != nil {
		batch.Failed = append(batch.Failed, Failure{Node: s.node, Err: result.err})
	}
}

// takeUntil removes and returns the pending events up to until, in order.
func (m *Merger) takeUntil(until time.Time) []loop.Record {
	slices.SortFunc(m.pending, func(a, b event) int {
		return cmp.Or(a.stamp.Compare(b.stamp), cmp.Compare(a.record.Instance, b.record.Instance))
	})
	count := len(m.pending)
	if !until.IsZero() {
		count, _ = slices.BinarySearchFunc(m.pending, until, func(e event, t time.Time) int {
			return e.stamp.Time().Compare(t)
		})
	}
	records := make([]loop.Record, count)
	for i, e := range m.pending[:count] {
		records[i] = e.record
	}
	m.pending = slices.Delete(m.pending, 0, count)
	return records
}
