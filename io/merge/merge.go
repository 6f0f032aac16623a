// Package merge reads the time lines of many nodes and puts their events into
// one order by the stamps of the hybrid logical clock.
//
// # Usage
//
//	m := merge.New(reach.New(2*time.Second), nodes)
//	p := m.Read(ctx, time.Time{})
//	for _, r := range p.Records {
//		print(r)
//	}
//	p = m.Read(ctx, time.Now().Add(-time.Second)) // what came since, but for the last second
package merge

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"bulrushlock/core/clock"
	"bulrushlock/io/loop"
	"bulrushlock/io/oper"
	"bulrushlock/io/reach"
)

// mostReads is the largest number of answers that are read from one node in one go.
const mostReads = 16

// Merge reads the time lines of some nodes from where it last ended.
type Merge struct {
	reach   *reach.Reach
	sources []*source
	waiting []event
}

// source is the time line of one node.
type source struct {
	node netip.AddrPort
	life string
	next uint64
}

// event is an event with its stamp.
type event struct {
	stamp  clock.Stamp
	record loop.Record
}

// Loss counts the events of a node that were dropped before they were read.
type Loss struct {
	Node  netip.AddrPort `json:"node"`
	Count uint64         `json:"count"`
}

// Failure is a node whose time line could not be read.
type Failure struct {
	Node netip.AddrPort
	Err  error
}

// Part is a part of the merged time line.
type Part struct {
	Records []loop.Record
	Dropped []Loss
	Failed  []Failure
}

// New returns a Merge that begins with the oldest events of the nodes.
func New(r *reach.Reach, nodes []netip.AddrPort) *Merge {
	m := &Merge{reach: r}
	for _, n := range nodes {
		m.sources = append(m.sources, &source{node: n})
	}
	return m
}

// pulled is what was read from one node.
type pulled struct {
	events  []event
	dropped uint64
	err     error
}

// Read returns the events that came since the last call, in order. Events after
// the time until are kept for the next call, so that late ones find their place;
// the zero time keeps none.
func (m *Merge) Read(ctx context.Context, until time.Time) Part {
	results := make(chan func(*Part), len(m.sources))
	for _, s := range m.sources {
		go func() {
			p := m.pull(ctx, s)
			results <- func(part *Part) { m.take(part, s, p) }
		}()
	}
	var part Part
	for range m.sources {
		(<-results)(&part)
	}
	slices.SortFunc(part.Dropped, func(a, b Loss) int { return a.Node.Compare(b.Node) })
	slices.SortFunc(part.Failed, func(a, b Failure) int { return a.Node.Compare(b.Node) })
	part.Records = m.release(until)
	return part
}

// pull reads the events of one node from where the last read ended.
func (m *Merge) pull(ctx context.Context, s *source) pulled {
	var p pulled
	for range mostReads {
		a := reach.One[oper.Timeline](ctx, m.reach, s.node, fmt.Sprintf("/timeline?since=%d", s.next))
		if a.Err != nil {
			p.err = a.Err
			return p
		}
		t := a.Value
		if s.life != "" && t.Life != s.life {
			// A node that was started again counts its events from 0.
			s.life, s.next = t.Life, 0
			continue
		}
		s.life = t.Life
		p.dropped += t.Dropped
		for _, r := range t.Records {
			p.events = append(p.events, eventOf(r))
		}
		s.next = t.Next
		if len(t.Records) == 0 {
			return p
		}
	}
	return p
}

// eventOf returns r with its stamp. An event whose stamp cannot be read is placed by its time.
func eventOf(r loop.Record) event {
	s, err := clock.Parse(r.Stamp)
	if err != nil {
		s = clock.Stamp{Wall: r.At.UnixNano()}
	}
	return event{stamp: s, record: r}
}

// take puts what was read from one node into part.
func (m *Merge) take(part *Part, s *source, p pulled) {
	m.waiting = append(m.waiting, p.events...)
	if p.dropped > 0 {
		part.Dropped = append(part.Dropped, Loss{Node: s.node, Count: p.dropped})
	}
	if p.err != nil {
		part.Failed = append(part.Failed, Failure{Node: s.node, Err: p.err})
	}
}

// release returns the waiting events up to the time until in order.
func (m *Merge) release(until time.Time) []loop.Record {
	slices.SortFunc(m.waiting, func(a, b event) int {
		return cmp.Or(a.stamp.Compare(b.stamp), cmp.Compare(a.record.Instance, b.record.Instance))
	})
	count := len(m.waiting)
	if !until.IsZero() {
		count, _ = slices.BinarySearchFunc(m.waiting, until, func(e event, t time.Time) int {
			return e.stamp.Time().Compare(t)
		})
	}
	records := make([]loop.Record, count)
	for i, e := range m.waiting[:count] {
		records[i] = e.record
	}
	m.waiting = slices.Delete(m.waiting, 0, count)
	return records
}
