package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bulrushlock/core/creds"
)

const (
	// steadyCustomer is the customer of the callers. All rules hold its steadyCredential.
	steadyCustomer   = "steady"
	steadyCredential = "steady-credential"
	// strangeCredential is a credential that no rules hold.
	strangeCredential = "strange-credential"
	// strangerInterval is the pause between two requests of a stranger.
	strangerInterval = 200 * time.Millisecond
)

// rollingCredential returns the credential that a version of the rules brings, and which the
// second version after it withdraws.
func rollingCredential(version int) string { return fmt.Sprintf("rolling-credential-%d", version) }

// customersText returns the rules of the customers in a version of the rules.
func customersText(version int) string {
	return fmt.Sprintf("customer %s keys=%s   # soak: the callers\ncustomer rolling keys=%s,%s   # soak: new credentials\ncustomer %s keys=%s rate=%d burst=%d   # soak: a limit\n",
		steadyCustomer, creds.Digest(steadyCredential), creds.Digest(rollingCredential(version)), creds.Digest(rollingCredential(version-1)),
		limitedCustomer, creds.Digest(limitedCredential), limitedRate, limitedBurst)
}

// sendAsStranger sends claims with a credential that no rules hold, until ctx is done. None of
// them may run.
func (s *Soak) sendAsStranger(ctx context.Context, n *instance, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%s-%d", name, i)
		if outcome, _ := s.claimWith(n, id, strangeCredential); outcome == "run" {
			s.addViolation("claim %s of a stranger ran", id)
		}
		s.mutex.Lock()
		s.strangers = append(s.strangers, id)
		s.mutex.Unlock()
		select {
		case <-time.After(strangerInterval):
		case <-ctx.Done():
		}
	}
}

// claimWith sends a claim with a credential to a node, and returns its outcome and status. Without a
// response both are empty.
func (s *Soak) claimWith(n *instance, id, credential string) (outcome string, status int) {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.callers.String()+"/claims", strings.NewReader(id))
	if err != nil {
		s.addViolation("create request %s: %v", id, err)
		return "", 0
	}
	r.Header.Set("Id", id)
	r.Header.Set("Authorization", "Bearer "+credential)
	resp, err := s.deployment.client.Do(r)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", 0
	}
	return resp.Header.Get("Bulrushlock-Outcome"), resp.StatusCode
}

const (
	// judgeTime is the time within which a node judges a credential after recovery, and
	// judgeInterval the pause between two claims meanwhile.
	judgeTime     = 10 * time.Second
	judgeInterval = 200 * time.Millisecond
)

// claimUntilJudged sends a claim until the node judges its credential. A node whose rules nobody has
// confirmed for a moment can neither take nor refuse one, and responds with 503.
func (s *Soak) claimUntilJudged(n *instance, id, credential string) (outcome string, status int) {
	for end := time.Now().Add(judgeTime); ; time.Sleep(judgeInterval) {
		outcome, status = s.claimWith(n, id, credential)
		if status != http.StatusServiceUnavailable || time.Now().After(end) {
			return outcome, status
		}
	}
}

// checkCredentials checks after recovery that each node takes the newest credential and none that
// was withdrawn, and that no claim of a stranger ran.
func (s *Soak) checkCredentials() {
	newest := s.deployment.versions
	for i, n := range s.deployment.instances {
		if outcome, status := s.claimWith(n, fmt.Sprintf("%d-%d-newest", s.options.Seed, i), rollingCredential(newest)); status == http.StatusUnauthorized {
			s.addViolation("node %s refuses the newest credential: %s", n.name, outcome)
		}
		for version := range newest - 1 {
			id := fmt.Sprintf("%d-%d-old-%d", s.options.Seed, i, version)
			if outcome, status := s.claimUntilJudged(n, id, rollingCredential(version)); status != http.StatusUnauthorized {
				s.addViolation("node %s does not refuse withdrawn credential %d of %d: %s, status %d", n.name, version, newest, outcome, status)
			}
			s.strangers = append(s.strangers, id)
		}
	}
	for _, id := range s.strangers {
		if runs, err := s.deployment.countRuns(id); err != nil || runs > 0 {
			s.addViolation("claim %s of a stranger ran %d times: %v", id, runs, err)
		}
	}
}
