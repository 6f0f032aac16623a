package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

const (
	// limitedCustomer is a customer that asks for more than its limit allows. All rules hold its
	// limitedCredential.
	limitedCustomer   = "limited"
	limitedCredential = "limited-credential"
	// limitedRate is its limit in requests per second over all nodes, limitedBurst its burst.
	limitedRate  = 4
	limitedBurst = 4
	// limitedInterval is the pause between two of its requests at one node.
	limitedInterval = 150 * time.Millisecond
	// limitWindow is the time over which the sum of all nodes is bounded by limitedMost: a quarter
	// and 20 requests more than the limit.
	limitWindow = 5 * time.Second
	limitedMost = (limitedRate*5+limitedBurst)*5/4 + 20
)

// limitedRun is a claim of limitedCustomer that ran.
type limitedRun struct {
	sentAt     time.Time
	answeredAt time.Time
}

// sendAsLimited sends claims of limitedCustomer until ctx is done.
func (s *Soak) sendAsLimited(ctx context.Context, n *instance, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		sentAt := time.Now()
		outcome, status := s.claimWith(n, fmt.Sprintf("%s-%d", name, i), limitedCredential)
		if outcome == "run" {
			s.mutex.Lock()
			s.limited = append(s.limited, limitedRun{sentAt: sentAt, answeredAt: time.Now()})
			s.mutex.Unlock()
		}
		if status == http.StatusTooManyRequests && outcome != "not-run" {
			s.addViolation("claim %s-%d has status 429 and the outcome %s", name, i, outcome)
		}
		select {
		case <-time.After(limitedInterval):
		case <-ctx.Done():
		}
	}
}

// checkLimit checks that the nodes together ran no more claims of limitedCustomer in any limitWindow
// than limitedMost, and that some ran. Claims that were sent before the window or answered after it are left out, since
// it is not known when they reached their backend servers.
func (s *Soak) checkLimit() {
	s.mutex.Lock()
	runs := slices.Clone(s.limited)
	s.mutex.Unlock()
	slices.SortFunc(runs, func(a, b limitedRun) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), a.answeredAt.Compare(b.answeredAt))
	})
	if len(runs) == 0 {
		s.addViolation("no claim of customer %s ran", limitedCustomer)
	}
	if most := mostInWindow(runs); most > limitedMost {
		s.addViolation("%d claims of customer %s ran within %v, at most %d are allowed", most, limitedCustomer, limitWindow, limitedMost)
	}
}

// mostInWindow returns the largest number of runs that were sent and answered within one limitWindow.
// The runs are sorted by the time at which they were sent.
func mostInWindow(runs []limitedRun) int {
	most := 0
	for i, first := range runs {
		end := first.sentAt.Add(limitWindow)
		count := 0
		for _, r := range runs[i:] {
			if r.sentAt.After(end) {
				break
			}
			if !r.answeredAt.After(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
