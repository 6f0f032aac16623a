package allot_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"bulrushlock/core/allot"
)

// shares are token buckets at all nodes, whose sums of rates and sizes are those of one limit.
type shares struct {
	limit  allot.Limit
	tokens []float64
	last   []time.Time
	// weights are the parts of the nodes. They sum up to 1.
	weights []float64
	recent  []float64
}

// newShares returns equal shares of a limit for count nodes, full at the time at. They may hold what
// the bound of a window allows beyond the limit.
func newShares(l allot.Limit, count int, at time.Time) *shares {
	s := &shares{limit: l}
	for range count {
		s.tokens = append(s.tokens, s.size()/float64(count))
		s.last = append(s.last, at)
		s.weights = append(s.weights, 1/float64(count))
		s.recent = append(s.recent, 0)
	}
	return s
}

// size returns the sum of the sizes of all buckets.
func (s *shares) size() float64 {
	return float64(s.limit.Burst) + overage*(s.limit.Rate*window.Seconds()+float64(s.limit.Burst)) + slack
}

// take takes a token at a node.
func (s *shares) take(now time.Time, node int) bool {
	s.tokens[node] += s.limit.Rate * s.weights[node] * now.Sub(s.last[node]).Seconds()
	s.tokens[node] = min(s.tokens[node], s.size()*s.weights[node])
	s.last[node] = now
	s.recent[node]++
	if s.tokens[node] < 1 {
		return false
	}
	s.tokens[node]--
	return true
}

// follow sets the shares by the demand since the last call. Each node keeps a tenth of an equal share.
func (s *shares) follow() {
	const kept = 0.1
	sum := 0.0
	for _, n := range s.recent {
		sum += n
	}
	for i := range s.weights {
		s.weights[i] = 1 / float64(len(s.weights))
		if sum > 0 {
			s.weights[i] = kept*s.weights[i] + (1-kept)*s.recent[i]/sum
		}
		s.recent[i] /= 2
	}
}

// refusedByShares returns the share of refused requests with equal shares, or with ones that follow
// the demand once a second, for customers like those of TestCustomersBelowTheirLimitsAreServed.
func refusedByShares(nodes int, limits []allot.Limit, demand []float64, follows bool) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	offered, refused := 0, 0
	for i, l := range limits {
		s := newShares(l, nodes, startTime)
		next := startTime.Add(time.Second)
		for now := startTime; now.Before(startTime.Add(30 * time.Second)); {
			now = now.Add(time.Duration(random.ExpFloat64() / demand[i] * float64(time.Second)))
			for follows && now.After(next) {
				s.follow()
				next = next.Add(time.Second)
			}
			offered++
			if !s.take(now, random.IntN(nodes)) {
				refused++
			}
		}
	}
	return float64(refused) / float64(offered)
}

// TestSharesRefuseMoreThanOwners compares what was weighed: customers that ask for five eighths of
// their limits, at random nodes.
func TestSharesRefuseMoreThanOwners(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ nodes, customers, rate int }{{13, 20, 400}, {78, 81, 840}, {designNodes, 800, 8400}} {
		limits, demand := customers(size.customers, float64(size.rate), 1)
		equal := refusedByShares(size.nodes, limits, demand, false)
		following := refusedByShares(size.nodes, limits, demand, true)
		f := newSimFleet(size.nodes, 3, limits, 1)
		f.advance(10 * time.Second)
		const length = 10 * time.Second
		for i, l := range limits {
			f.load(l.Customer, demand[i], f.now.Add(length))
		}
		f.advance(length)
		offered, refused, busiest := 0, 0, 0
		for _, l := range limits {
			offered += f.offered[l.Customer]
			refused += f.refused[l.Customer]
		}
		for _, n := range f.nodes {
			busiest = max(busiest, f.sent[n])
		}
		lent := float64(refused) / float64(offered)
		mean := float64(f.asks) * 2 * messageBytes / float64(size.nodes) / length.Seconds()
		most := float64(busiest) * messageBytes / length.Seconds()
		t.Logf("%d nodes, %d customers: refused with equal shares %.3f, shares that follow %.3f, owners %.4f; bytes sent a node and second %.0f, at most %.0f",
			size.nodes, size.customers, equal, following, lent, mean, most)
		if lent > 0.01 || lent > equal || lent > following {
			t.Errorf("%d nodes: owners refuse %.4f", size.nodes, lent)
		}
		if size.nodes == designNodes && most > controlBytes {
			t.Errorf("%d nodes: a node sends %.0f bytes a second, at most %d are meant", size.nodes, most, controlBytes)
		}
	}
}

// controlBytes is the number of bytes a second that a node may send to control a fleet of
// designNodes.
const (
	controlBytes = 5000
	designNodes  = 820
)
