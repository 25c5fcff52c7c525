package keys

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

const (
	openRequestInterval = time.Second // between requests for an opened record of the same shard
	// maxReserveDelay bounds how long after the end of its attempt a Reserve can arrive.
	// Links drop messages that waited longer than a few seconds.
	maxReserveDelay = time.Minute
)

// activeTable returns the table if this process is an active member of exactly this
// view. It compares whole views, because two views can have the same version after all
// VMs of a region have lost their state.
func (k *Keys) activeTable(now fleet.Time, v shard.View) (*table, shard.Role) {
	k.cfg.Membership.Observe(now, v)
	role, version := k.cfg.Authority.Role(v.Shard)
	known, _ := k.cfg.Authority.View(v.Shard)
	if role == shard.RoleNone || version != v.Version || known != v {
		return nil, shard.RoleNone
	}
	return k.tables[v.Shard], role
}

func (k *Keys) onReserve(now fleet.Time, from fleet.Member, r Reserve) {
	if r.Attempt.Caller != from || r.Scope.size() > maxScopeBytes {
		return
	}
	grant := Grant{Attempt: r.Attempt, View: r.View}
	t, role := k.activeTable(now, r.View)
	if t == nil || !k.listed(from.VM) {
		// An unlisted VM must wait: its failure could not be detected, and its record
		// would stay running forever.
		grant.State = GrantStale
		grant.View, _ = k.cfg.Authority.View(r.View.Shard)
	} else if grant.State = k.reserve(now, t, role, r, &grant); grant.State == 0 {
		return
	}
	q := k.queueFor(from.VM)
	q.grants = append(q.grants, grant)
}

// reserve returns the reply to a reservation, or 0 if the attempt has ended or its
// process is gone.
func (k *Keys) reserve(now fleet.Time, t *table, role shard.Role, r Reserve, grant *Grant) GrantState {
	if _, ended := t.tombstones[r.Attempt]; ended || k.cfg.Membership.Gone(r.Attempt.Caller) {
		return 0
	}
	if existing := t.records[r.Scope]; existing != nil {
		return stateOfExisting(existing, role, r, grant)
	}
	if state := k.stateOfAbsent(now, t, r.Scope); state != GrantAccepted {
		return state
	}
	added := &record{r.Scope, r.Attempt, r.Fingerprint, recordRunning, nil, now}
	if t.full(added.size()) {
		return GrantFull
	}
	k.insert(t, added)
	return GrantAccepted
}

func stateOfExisting(existing *record, role shard.Role, r Reserve, grant *Grant) GrantState {
	switch {
	case existing.attempt == r.Attempt && existing.state == recordRunning:
		return GrantAccepted
	case existing.state == recordRunning && role == shard.RoleCopy:
		// The owner may have refused that attempt; only the owner's reply counts.
		return GrantRunning
	case existing.fingerprint != r.Fingerprint:
		return GrantMismatch
	case existing.state == recordDone:
		grant.Answer = existing.answer
		return GrantDone
	case existing.state == recordUnknown:
		return GrantUnknown
	}
	return GrantRunning
}

// stateOfAbsent reports whether the absence of a key proves that it has not run. The
// copy checks this like the owner, because a record that the copy accepted remains
// valid when it takes over, without another check of the history.
func (k *Keys) stateOfAbsent(now fleet.Time, t *table, scope Scope) GrantState {
	if t.history == historyUnknown {
		k.resolveHistory(now, t)
	}
	if t.history == historyLost && now.Sub(t.lostAt) >= k.retention {
		t.history = historyComplete
		k.event(t.id, "history is complete again: the retention period has passed since the claim")
	}
	switch {
	case t.history == historyComplete:
		return GrantAccepted
	case t.history == historyLost:
		return GrantHistoryLost
	}
	return GrantHistoryUnknown
}

func (k *Keys) resolveHistory(now fleet.Time, t *table) {
	switch k.cfg.Opened(t.id) {
	case OpenedBySelf:
		if t.openRequested {
			t.history = historyComplete
			k.event(t.id, "opened for the first time")
			return
		}
		// This process opened the shard with an earlier table, which has been lost.
		t.history = historyLost
	case OpenedBefore:
		t.history = historyLost
	case NeverOpened:
		if now >= t.nextOpenRequestAt {
			t.nextOpenRequestAt = now.Add(openRequestInterval)
			t.openRequested = true
			k.openRequests = append(k.openRequests, t.id)
		}
		return
	default:
		return
	}
	k.event(t.id, "history was lost: unknown keys are refused until the retention period has passed")
}

func (k *Keys) onEnd(now fleet.Time, from fleet.Member, e End) {
	if e.Attempt.Caller != from || e.Scope.size() > maxScopeBytes {
		return
	}
	t, _ := k.activeTable(now, e.View)
	ack := Ack{Attempt: e.Attempt, View: e.View, Applied: true}
	if t == nil || !k.applyEnd(now, t, e) {
		ack.Applied = false
		ack.View, _ = k.cfg.Authority.View(e.View.Shard)
	}
	q := k.queueFor(from.VM)
	q.acks = append(q.acks, ack)
}

// applyEnd applies the end of an attempt. It returns false if the table has no room to
// record it; the sender then resends the end.
func (k *Keys) applyEnd(now fleet.Time, t *table, e End) bool {
	existing := t.records[e.Scope]
	own := existing != nil && existing.attempt == e.Attempt
	_, ended := t.tombstones[e.Attempt]
	switch {
	case ended:
	case e.State == FinishNotRun && !own && existing != nil && existing.state != recordRunning && now.Sub(existing.changedAt) < k.retention-maxReserveDelay:
		// The record itself rejects a late Reserve. With a tombstone, each repeat of an
		// answered key would occupy the table for the whole retention period.
	case e.State == FinishNotRun:
		if own {
			k.remove(t, existing)
		} else if t.full(tombstoneOverhead) {
			return false
		}
		k.addTombstone(now, t, e.Attempt)
	case own && existing.state != recordDone:
		k.finishRecord(now, t, existing, finalState(e.State), e.Answer)
	case existing == nil:
		// The members that held the record are gone. The end still shows that the key has
		// run (FinishDone) or may have run (FinishUnknown).
		lost := &record{e.Scope, e.Attempt, e.Fingerprint, finalState(e.State), nil, now}
		if t.full(lost.size()) {
			return false
		}
		k.insert(t, lost)
		k.finishRecord(now, t, lost, lost.state, e.Answer)
	}
	return true
}

func finalState(s FinishResult) recordState {
	if s == FinishDone {
		return recordDone
	}
	return recordUnknown
}

// handleGoneCallers marks running records as unknown if the process that ran the request
// is gone, because the request may have run.
func (k *Keys) handleGoneCallers(now fleet.Time) {
	var gone []fleet.Member
	for caller := range k.runningByCaller {
		if k.cfg.Membership.Gone(caller) {
			gone = append(gone, caller)
		}
	}
	slices.SortFunc(gone, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, caller := range gone {
		running := k.runningByCaller[caller]
		records := slices.SortedFunc(maps.Keys(running), func(a, b *record) int {
			return cmp.Compare(a.attempt.Number, b.attempt.Number)
		})
		for _, r := range records {
			k.finishRecord(now, running[r], r, recordUnknown, nil)
		}
		k.events = append(k.events, fleet.Event{
			Kind: EventKeys, Reason: "the caller's VM is gone: the results of its running keys are unknown",
			Detail: map[string]string{"caller": caller.String()},
		})
	}
}
