package keys

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// A fixed seed makes runs reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "4242"); err != nil {
		panic(err)
	}
}

// simActions are the possible actions of one step. Frequent actions are listed more than once.
var simActions = []string{
	"reserve", "reserve", "reserve", "reserve", "reserve", "reserve", "abandon",
	"crash", "restart", "restart", "replace", "pause", "resume", "resume", "resign",
	"partition", "heal", "store",
}

func applyAction(t *rapid.T, s *sim, action string) {
	var n *simNode
	if len(s.nodes) > 0 {
		n = s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	}
	switch {
	case action == "restart":
		s.restartMissing()
	case action == "heal":
		clear(s.blocked)
	case action == "store":
		s.storeUp = !s.storeUp
	case n == nil:
	case action == "reserve":
		key := fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))
		finish := rapid.SampledFrom([]FinishResult{FinishDone, FinishDone, FinishUnknown, FinishNotRun}).Draw(t, "finish")
		if !n.paused {
			s.reserve(n, key, finish, time.Duration(rapid.IntRange(1, 8).Draw(t, "patience"))*time.Second)
		}
	case action == "abandon":
		for id, q := range n.requests {
			if q.dispatch == 0 && !n.paused && len(n.requests) == 1 {
				n.keys.Abandon(s.clock(n), id)
				delete(n.requests, id)
			}
		}
	case action == "crash":
		s.kill(n)
	case action == "replace" && n.vm.Region == simRegion:
		s.replace(n)
	case action == "pause":
		n.paused = true
	case action == "resume":
		for _, n := range s.nodes {
			n.paused = false
		}
	case action == "resign":
		n.leaving, n.leaveAt = true, s.now
		n.manager.Resign(s.clock(n))
	case action == "partition":
		other := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "other")]
		s.blocked[[2]fleet.VMID{n.vm.ID, other.vm.ID}] = true
	}
}

// TestAtMostOnceUnderFaults guards against a key that runs twice, a key wrongly reported
// as not run, a replay of the wrong answer, two owners of a shard, and a fleet that makes
// no progress after all faults have ended.
func TestAtMostOnceUnderFaults(t *testing.T) {
	totals := map[Verdict]int{}
	codes := map[result.Code]int{}
	copies, lost := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "vms"))
		if rapid.IntRange(0, 3).Draw(t, "warm") > 0 {
			s.advance(12 * time.Second)
		}
		s.faulty = true
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			applyAction(t, s, rapid.SampledFrom(simActions).Draw(t, "action"))
			s.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * simTick)
			if len(s.problems) > 0 {
				t.Fatalf("at %v: %v\n%s", s.now, s.problems, strings.Join(s.trace, "\n"))
			}
		}
		s.endFaults()
		if len(s.problems) > 0 {
			t.Fatalf("after recovery: %v\n%s", s.problems, strings.Join(s.trace, "\n"))
		}
		for v, n := range s.verdicts {
			totals[v] += n
		}
		for c, n := range s.refusals {
			codes[c] += n
		}
		a, b := s.checkProgress(t)
		copies += a
		lost += b
	})
	t.Logf("verdicts %v, refusals %v, shards with a copy %d, with lost history %d", totals, codes, copies, lost)
}

// endFaults ends all faults and waits until delayed exchanges have completed.
func (s *sim) endFaults() {
	s.faulty = false
	s.storeUp = true
	clear(s.blocked)
	for _, n := range s.nodes {
		n.paused = false
	}
	s.advance(8 * time.Second)
	s.restartMissing()
	s.advance(40 * time.Second)
	s.restartMissing() // processes that resigned have ended by now
	s.advance(20 * time.Second)
}

// checkProgress requires an owner for each shard, a copy if there is another VM, and a
// timely verdict on new keys. It returns how many shards have a copy and how many have
// lost their history.
func (s *sim) checkProgress(t *rapid.T) (copies, lost int) {
	members := 0
	for _, n := range s.nodes {
		if n.vm.Region == simRegion {
			members++
		}
	}
	for slice := range 2 {
		owners := 0
		id := shard.KeyShard(simRegion, slice)
		for _, n := range s.nodes {
			role, _ := n.manager.Role(id)
			if role != shard.RoleOwner {
				continue
			}
			owners++
			view, _ := n.manager.View(id)
			if view.Copy.IsZero() != (members == 1) {
				t.Fatalf("%s: view %+v with %d VMs\n%s", id, view, members, strings.Join(s.trace, "\n"))
			}
			if !view.Copy.IsZero() {
				copies++
			}
			if n.keys.tables[id].history == historyLost {
				lost++
			}
		}
		if owners != 1 {
			t.Fatalf("%s has %d owners after recovery: %s", id, owners, strings.Join(s.trace, "\n"))
		}
	}
	before := s.verdicts[VerdictRun] + s.refusals[result.KeyHistoryLost]
	for i, n := range s.nodes {
		for j := range 4 {
			s.reserve(n, fmt.Sprintf("fresh-%d-%d", i, j), FinishDone, 5*time.Second)
		}
	}
	s.advance(10 * time.Second)
	if got := s.verdicts[VerdictRun] + s.refusals[result.KeyHistoryLost] - before; got != 4*len(s.nodes) {
		t.Fatalf("%d of %d new keys were decided: %v\n%s", got, 4*len(s.nodes), s.refusals, strings.Join(s.trace, "\n"))
	}
	if len(s.problems) > 0 {
		t.Fatalf("after recovery: %v", s.problems)
	}
	for _, n := range s.nodes {
		if n.keys.PendingExchanges() != 0 {
			t.Fatalf("%s has %d pending exchanges", n.self, n.keys.PendingExchanges())
		}
	}
	return copies, lost
}
