package test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// evacuationTime is the time after which a data centre that was taken out of service gets
// no new work.
const evacuationTime = 3 * time.Second

// rulesWithCentreOut returns the rules with a data centre taken out of service.
func rulesWithCentreOut(centre string) string {
	return rules + fmt.Sprintf("out centre=%s   # Test: maintenance\n", centre)
}

// startLoad sends lookups to the service of the claims, from all entries in turn, until
// stop is called.
func (s *system) startLoad(t *testing.T) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
			p := s.sendAsync(n%len(s.instances), request{method: "GET", path: "/claims/load", id: "load"})
			select {
			case <-p.done:
			case <-time.After(time.Second):
			}
		}
	}()
	t.Cleanup(func() { <-ended })
	return func() { close(done); <-ended }
}

func TestCentreOutOfServiceGetsNoNewWorkUntilRestored(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	stop := s.startLoad(t)
	defer stop()
	waitUntil(c, "both instances get work", func() bool { return s.stats(1).Total > 20 && s.stats(2).Total > 20 })
	for _, excluded := range []int{1, 2} {
		s.post(s.platformAddress, "/control/rules", rulesWithCentreOut(topology[excluded].centre))
		time.Sleep(evacuationTime)
		before, other := s.stats(excluded).Total, s.stats(3-excluded).Total
		waitUntil(c, "the other instance gets work", func() bool { return s.stats(3-excluded).Total > other+50 })
		c.Check(s.stats(excluded).Total, qt.Equals, before)
		for i := range s.instances {
			a := s.send(i, claim(fmt.Sprintf("out-%d-%d", excluded, i), ""))
			c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
			c.Check(a.server, qt.Equals, s.instances[3-excluded].name)
		}
		s.post(s.platformAddress, "/control/rules", rules)
		waitUntil(c, "the restored data centre gets work", func() bool { return s.stats(excluded).Total > before+20 })
	}
}

func TestResumedNodeRunsNoWorkAfterMissedEvacuation(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.warmUp()
	suspended := s.instances[1]
	suspended.node.signal(c, syscall.SIGSTOP)
	s.post(s.platformAddress, "/control/rules", rulesWithCentreOut(topology[1].centre))
	waitUntil(c, "the other nodes apply the rules", func() bool {
		a, err := s.status(0)
		b, err2 := s.status(2)
		return err == nil && err2 == nil && a.Rules == 2 && b.Rules == 2
	})
	// These requests wait in the socket of the suspended node, whose callers do not know
	// of the change.
	var waiting []*pending
	for i := range 20 {
		r := request{method: "GET", path: "/claims/slept", id: fmt.Sprintf("slept-%d", i)}
		if i%2 == 1 {
			r = claim(fmt.Sprintf("slept-%d", i), "")
		}
		waiting = append(waiting, s.sendAsync(1, r))
	}
	time.Sleep(evacuationTime)
	before := s.stats(1).Total
	suspended.node.signal(c, syscall.SIGCONT)
	for i, p := range waiting {
		a := <-p.done
		c.Check(a.server, qt.Not(qt.Equals), suspended.name, qt.Commentf("%d: %+v", i, a))
	}
	for i := range 20 {
		a := s.send(1, request{method: "GET", path: "/claims/awake", id: fmt.Sprintf("awake-%d", i)})
		c.Check(a.server, qt.Equals, s.instances[2].name, qt.Commentf("%+v", a))
	}
	c.Check(s.stats(1).Total, qt.Equals, before)
}

func TestRulesPropagateWhilePlatformIsDown(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	s.instances[2].node.signal(c, syscall.SIGSTOP)
	s.post(s.platformAddress, "/control/rules", rulesWithCentreOut("east"))
	waitUntil(c, "one node applies the rules", func() bool {
		status, err := s.status(0)
		return err == nil && status.Rules == 2
	})
	s.platform.kill()
	s.instances[2].node.signal(c, syscall.SIGCONT)
	for i := range s.instances {
		waitUntil(c, "all nodes apply the rules", func() bool {
			status, err := s.status(i)
			return err == nil && status.Rules == 2
		})
	}
	a := s.send(2, claim("down", ""))
	c.Check(a.server, qt.Equals, "desk-2", qt.Commentf("%+v", a))
	// A platform that restarts with an old text restarts its revision numbers as well.
	s.startPlatform(rules)
	for end := time.Now().Add(evacuationTime); time.Now().Before(end); time.Sleep(pollInterval) {
		for i := range s.instances {
			status, err := s.status(i)
			c.Assert(err, qt.IsNil)
			c.Assert(status.Rules, qt.Equals, uint64(2))
		}
	}
	a = s.send(2, claim("stale", ""))
	c.Check(a.server, qt.Equals, "desk-2", qt.Commentf("%+v", a))
}

func TestReplacedNodeGetsNewestRulesFromPeersAlone(t *testing.T) {
	s := newSystem(t, options{peers: true})
	c := s.c
	s.post(s.platformAddress, "/control/rules", rulesWithCentreOut("south"))
	waitUntil(c, "all nodes apply the rules", func() bool {
		for i := range s.instances {
			if status, err := s.status(i); err != nil || status.Rules != 2 {
				return false
			}
		}
		return true
	})
	s.platform.kill()
	s.instances[2].node.kill()
	s.startNode(2)
	s.waitReady(2)
	status, err := s.status(2)
	c.Assert(err, qt.IsNil)
	c.Check(status.Rules, qt.Equals, uint64(2))
	a := s.send(2, claim("replaced", ""))
	c.Check(a.outcome, qt.Equals, "run", qt.Commentf("%+v", a))
}

func TestInvalidRulesAreRejectedAndLastValidOnesStay(t *testing.T) {
	s := newSystem(t, options{})
	c := s.c
	refused := func(times int) {
		waitUntil(c, "the invalid rules are rejected", func() bool { return s.invalidRulesReports() >= times })
	}
	s.post(s.platformAddress, "/control/rules", "service ledger slots=10\n")
	refused(1)
	s.post(s.platformAddress, "/control/rules", rulesWithCentreOut("south"))
	for i := range s.instances {
		waitUntil(c, "the valid rules are in force", func() bool {
			status, err := s.status(i)
			return err == nil && status.Rules == 3
		})
	}
	s.post(s.platformAddress, "/control/rules", strings.ReplaceAll(rules, "#", ""))
	time.Sleep(2 * time.Second)
	for i := range s.instances {
		status, err := s.status(i)
		c.Assert(err, qt.IsNil)
		c.Check(status.Rules, qt.Equals, uint64(3))
	}
	// A node reads the platform only if no other node precedes it; the others learn of
	// new rules from peers.
	c.Check(s.invalidRulesReports() >= 2, qt.IsTrue)
	a := s.send(0, claim("good", ""))
	c.Check(a.server, qt.Equals, "desk-3", qt.Commentf("%+v", a))
}

// invalidRulesReports returns how often nodes have logged invalid rules.
func (s *system) invalidRulesReports() int {
	count := 0
	for _, n := range s.instances {
		count += strings.Count(n.node.output.String(), `"msg":"invalid"`)
	}
	return count
}
