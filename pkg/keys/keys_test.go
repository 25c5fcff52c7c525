package keys

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// warmSim returns a simulation without faults in which all key shards are open, and its nodes.
func warmSim(t require.TestingT, vms int) (*sim, []*simNode) {
	s := newSim(1, vms)
	s.advance(12 * time.Second)
	for i := range 8 { // lets the VM of the other region receive the views
		s.reserve(s.nodes[vms], fmt.Sprintf("warm-%d", i), FinishNotRun, time.Second)
	}
	s.advance(3 * time.Second)
	clear(s.verdicts)
	require.Empty(t, s.problems)
	return s, s.nodes
}

// ownerTable returns the table at the owner of the key's shard.
func ownerTable(s *sim, key string) (*simNode, *table) {
	id, _ := s.nodes[0].keys.shardOf("w", Scope{Workspace: "w", Service: "pay", Key: key})
	for _, n := range s.nodes {
		if role, _ := n.manager.Role(id); role == shard.RoleOwner {
			return n, n.keys.tables[id]
		}
	}
	return nil, nil
}

// Guards against a record that nobody ends, created by a Reserve that arrives twice or
// after its release.
func TestReserveAfterReleaseIsIgnored(t *testing.T) {
	s, nodes := warmSim(t, 2)
	owner, table := ownerTable(s, "k")
	caller := nodes[2]
	view, _ := owner.manager.View(table.id)
	a := Attempt{caller.self, 99}
	scope := Scope{Workspace: "w", Service: "pay", Key: "k"}
	now := s.clock(owner)
	reserve := &Reserves{[]Reserve{{View: view, Scope: scope, Attempt: a}}}
	release := &Ends{[]End{{View: view, Scope: scope, Attempt: a, State: FinishNotRun}}}
	owner.keys.Step(now, caller.self, release)
	owner.keys.Step(now, caller.self, reserve)
	require.Empty(t, table.records)
	a.Number++
	owner.keys.Step(now, caller.self, &Reserves{[]Reserve{{View: view, Scope: scope, Attempt: a}}})
	require.Len(t, table.records, 1)
	release.Ends[0].Attempt = a
	owner.keys.Step(now, caller.self, release)
	owner.keys.Step(now, caller.self, &Reserves{[]Reserve{{View: view, Scope: scope, Attempt: a}}})
	require.Empty(t, table.records)
}

// Guards against a lost result, or a freed key, when the failure of the caller's VM is
// detected before its Finish arrives.
func TestFinishAfterCallersVMIsGone(t *testing.T) {
	s, nodes := warmSim(t, 2)
	s.reserve(nodes[2], "k", FinishDone, time.Second)
	owner, table := ownerTable(s, "k")
	for i := 0; i < 10 && len(table.records) == 0; i++ {
		s.advance(simTick)
	}
	require.Len(t, table.records, 1)
	var existing *record
	for _, r := range table.records {
		existing = r
	}
	newer := fleet.Member{VM: existing.attempt.Origin.VM, Incarnation: existing.attempt.Origin.Incarnation + 1}
	owner.manager.RecordIncarnation(s.clock(owner), newer)
	owner.keys.Tick(s.clock(owner))
	require.Equal(t, recordUnknown, existing.state)
	view, _ := owner.manager.View(table.id)
	owner.keys.Step(s.clock(owner), existing.attempt.Origin, &Ends{[]End{{
		View: view, Scope: existing.scope, Attempt: existing.attempt, State: FinishDone, Response: &StoredResponse{Status: 201},
	}}})
	require.Equal(t, recordDone, existing.state)
	require.Equal(t, 201, existing.response.Status)
}

// Guards against a dispatch after the caller's VM was paused beyond the dispatch limit,
// and against a second run of a stored key or of another request under the same key.
func TestReplayMismatchAndLateDispatch(t *testing.T) {
	s, nodes := warmSim(t, 2)
	s.reserve(nodes[2], "k", FinishDone, 5*time.Second)
	s.advance(2 * time.Second)
	require.Equal(t, 1, s.verdicts[VerdictRun])
	s.reserve(nodes[0], "k", FinishDone, 5*time.Second)
	s.advance(time.Second)
	require.Equal(t, 1, s.verdicts[VerdictReplay])
	n := nodes[1]
	scope := Scope{Workspace: "w", Service: "pay", Key: "k"}
	n.requests[77] = &simRequest{id: 77, key: "k", start: s.now}
	n.keys.Reserve(s.clock(n), 77, "w", scope, 2, s.clock(n).Add(time.Second))
	s.advance(time.Second)
	require.Equal(t, 1, s.refusals[result.KeyMismatch])
	remote := nodes[2]
	s.reserve(remote, "late", FinishDone, 20*time.Second)
	s.advance(simTick)
	remote.paused = true
	s.advance(5 * time.Second)
	remote.paused = false
	s.advance(time.Second)
	require.Equal(t, 1, s.refusals[result.DispatchTooLate])
	require.Empty(t, s.runs["late"])
	require.Empty(t, s.problems)
}

// Guards against tables above their limits, refusals of new keys that are not reported
// as not run, and records that outlive the retention period.
func TestTableBoundsAndRetention(t *testing.T) {
	s, nodes := warmSim(t, 1)
	n := nodes[0]
	for i := range 2*MaxRecords + 400 {
		s.reserve(n, fmt.Sprintf("k%d", i), FinishDone, time.Second)
	}
	s.advance(5 * time.Second)
	require.Positive(t, s.refusals[result.KeyTableFull])
	for _, table := range n.keys.tables {
		require.LessOrEqual(t, len(table.records)+len(table.tombstones), MaxRecords)
		require.LessOrEqual(t, table.bytes, MaxTableBytes)
	}
	n.keys.Tick(s.clock(n).Add(DefaultRetention + time.Second))
	for _, table := range n.keys.tables {
		require.Empty(t, table.records)
		require.Zero(t, table.bytes)
	}
	require.Empty(t, s.problems)
}

// Guards against a copy that accepts unknown keys although its history is lost: after a
// takeover they would run, because only the old owner's history check refused them.
func TestCopyChecksLostHistory(t *testing.T) {
	s, _ := warmSim(t, 2)
	owner, table := ownerTable(s, "k")
	view, _ := owner.manager.View(table.id)
	for _, n := range s.nodes {
		if n.self != view.Copy {
			continue
		}
		copyTable := n.keys.tables[table.id]
		copyTable.history, copyTable.lostAt = historyLost, s.clock(n)
		scope := Scope{Workspace: "w", Service: "pay", Key: "k"}
		n.keys.Step(s.clock(n), owner.self, &Reserves{[]Reserve{{View: view, Scope: scope, Attempt: Attempt{owner.self, 9}}}})
		require.Empty(t, copyTable.records)
	}
}

func BenchmarkReserveFinish(b *testing.B) {
	s, nodes := warmSim(b, 1)
	n := nodes[0]
	now := s.clock(n)
	id := ReservationID(1 << 32)
	for b.Loop() {
		id++
		now = now.Add(time.Millisecond)
		scope := Scope{Workspace: "w", Service: "pay", Key: fmt.Sprintf("key-%d", id)}
		n.keys.Reserve(now, id, "w", scope, 1, now.Add(time.Second))
		if d := n.keys.Decisions(); len(d) != 1 || d[0].Verdict != VerdictRun {
			b.Fatal(d)
		}
		n.keys.Finish(now, id, FinishNotRun, nil)
		if id%64 == 0 {
			now = now.Add(time.Minute) // keeps the table below its limit
			n.keys.Tick(now)
			n.keys.Outbox()
		}
	}
}

// Guards against repeats of an answered key that fill the table, so that new keys are
// refused for the whole retention period.
func TestRepeatsDoNotFillTable(t *testing.T) {
	s, nodes := warmSim(t, 2)
	s.reserve(nodes[2], "k", FinishDone, 5*time.Second)
	s.advance(2 * time.Second)
	owner, table := ownerTable(s, "k")
	require.Len(t, table.records, 1)
	before := len(table.tombstones)
	const batch = 64
	for i := 0; i <= MaxRecords; i += batch {
		for range batch {
			s.reserve(nodes[0], "k", FinishDone, 5*time.Second)
		}
		s.advance(simTick)
	}
	s.advance(time.Second)
	require.Greater(t, s.verdicts[VerdictReplay], MaxRecords)
	require.Len(t, table.tombstones, before)

	// Shortly before its expiry the record no longer protects against a late Reserve.
	now := s.clock(owner).Add(owner.keys.retention - maxReserveDelay)
	view, _ := owner.manager.View(table.id)
	owner.keys.Step(now, nodes[2].self, &Ends{[]End{{
		View: view, Scope: Scope{Workspace: "w", Service: "pay", Key: "k"}, Attempt: Attempt{nodes[2].self, 9999}, State: FinishNotRun,
	}}})
	require.Len(t, table.tombstones, before+1)
	require.Empty(t, s.problems)
}
