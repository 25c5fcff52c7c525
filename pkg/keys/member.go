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
	openRequestInterval = time.Second // between requests for the same opened record
	// lateReserve is by how much a Reserve may arrive after the end of its attempt.
	// Links drop what waited longer than a few seconds.
	lateReserve = time.Minute
)

// memberOf returns the table when this process is an active member of exactly this
// view. Comparing whole views, not versions, keeps apart two views that carry the
// same version after all VMs of a region lost their memory.
func (k *Keys) memberOf(now fleet.Time, v shard.View) (*table, shard.Role) {
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
	t, role := k.memberOf(now, r.View)
	if t == nil || !k.listed(from.VM) {
		// An unlisted caller waits: its end could not be noticed, and its record would
		// run for ever.
		grant.State = GrantStale
		grant.View, _ = k.cfg.Authority.View(r.View.Shard)
	} else if grant.State = k.reserve(now, t, role, r, &grant); grant.State == 0 {
		return
	}
	q := k.to(from.VM)
	q.grants = append(q.grants, grant)
}

// reserve returns the answer to a reservation, or 0 for one that is no longer wanted.
func (k *Keys) reserve(now fleet.Time, t *table, role shard.Role, r Reserve, grant *Grant) GrantState {
	if _, ended := t.released[r.Attempt]; ended || k.cfg.Membership.Gone(r.Attempt.Caller) {
		return 0
	}
	if held := t.records[r.Scope]; held != nil {
		return heldState(held, role, r, grant)
	}
	if state := k.absentState(now, t, r.Scope); state != GrantAccepted {
		return state
	}
	added := &record{r.Scope, r.Attempt, r.Fingerprint, recordRunning, nil, now}
	if t.full(added.size()) {
		return GrantFull
	}
	k.insert(t, added)
	return GrantAccepted
}

func heldState(held *record, role shard.Role, r Reserve, grant *Grant) GrantState {
	switch {
	case held.attempt == r.Attempt && held.state == recordRunning:
		return GrantAccepted
	case held.state == recordRunning && role == shard.RoleCopy:
		// The owner may have refused that attempt; only its verdict counts.
		return GrantRunning
	case held.fingerprint != r.Fingerprint:
		return GrantMismatch
	case held.state == recordDone:
		grant.Answer = held.answer
		return GrantDone
	case held.state == recordUnknown:
		return GrantUnknown
	}
	return GrantRunning
}

// absentState says whether the absence of a key proves that it has not run. The
// copy checks this as the owner does: a record that it accepted stays valid when it
// takes over, without another look at the history.
func (k *Keys) absentState(now fleet.Time, t *table, scope Scope) GrantState {
	if t.history == historyUnsure {
		k.learnHistory(now, t)
	}
	if t.history == historyLost && now.Sub(t.lostAt) >= k.retention {
		t.history = historyWhole
		k.event(t.id, "history is whole again: the retention has passed since the claim")
	}
	switch {
	case t.history == historyWhole:
		return GrantAccepted
	case t.history == historyLost:
		return GrantLost
	}
	return GrantWait
}

func (k *Keys) learnHistory(now fleet.Time, t *table) {
	switch k.cfg.Opened(t.id) {
	case OpenedByMe:
		if t.asked {
			t.history = historyWhole
			k.event(t.id, "opened for the first time")
			return
		}
		t.history = historyLost
	case OpenedBefore:
		t.history = historyLost
	case OpenNever:
		if now >= t.askOpen {
			t.askOpen = now.Add(openRequestInterval)
			t.asked = true
			k.opens = append(k.opens, t.id)
		}
		return
	default:
		return
	}
	k.event(t.id, "history was lost: unknown keys are refused until the retention has passed")
}

func (k *Keys) onEnd(now fleet.Time, from fleet.Member, e End) {
	if e.Attempt.Caller != from || e.Scope.size() > maxScopeBytes {
		return
	}
	t, _ := k.memberOf(now, e.View)
	ack := Ack{Attempt: e.Attempt, View: e.View, Applied: true}
	if t == nil || !k.end(now, t, e) {
		ack.Applied = false
		ack.View, _ = k.cfg.Authority.View(e.View.Shard)
	}
	q := k.to(from.VM)
	q.acks = append(q.acks, ack)
}

// end applies the end of an attempt. It reports false when the table is too full to
// note it; the caller then repeats.
func (k *Keys) end(now fleet.Time, t *table, e End) bool {
	held := t.records[e.Scope]
	own := held != nil && held.attempt == e.Attempt
	_, ended := t.released[e.Attempt]
	switch {
	case ended:
	case e.State == FinishNotRun && !own && held != nil && held.state != recordRunning && now.Sub(held.changed) < k.retention-lateReserve:
		// The record itself turns a late Reserve away. Without this rule each repeat of
		// an answered key would take a place in the table for the whole retention.
	case e.State == FinishNotRun:
		if own {
			k.remove(t, held)
		} else if t.full(tombstoneBytes) {
			return false
		}
		k.noteReleased(now, t, e.Attempt)
	case own && held.state != recordDone:
		k.change(now, t, held, finalState(e.State), e.Answer)
	case held == nil:
		// The record was lost with its members. The end still proves that the key ran.
		lost := &record{e.Scope, e.Attempt, e.Fingerprint, finalState(e.State), nil, now}
		if t.full(lost.size()) {
			return false
		}
		k.insert(t, lost)
		k.change(now, t, lost, lost.state, e.Answer)
	}
	return true
}

func finalState(s FinishState) recordState {
	if s == FinishDone {
		return recordDone
	}
	return recordUnknown
}

// markGone turns the running records of ended callers to unknown: they may have run.
func (k *Keys) markGone(now fleet.Time) {
	var gone []fleet.Member
	for caller := range k.running {
		if k.cfg.Membership.Gone(caller) {
			gone = append(gone, caller)
		}
	}
	slices.SortFunc(gone, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, caller := range gone {
		running := k.running[caller]
		records := slices.SortedFunc(maps.Keys(running), func(a, b *record) int {
			return cmp.Compare(a.attempt.Number, b.attempt.Number)
		})
		for _, r := range records {
			k.change(now, running[r], r, recordUnknown, nil)
		}
		k.events = append(k.events, fleet.Event{
			Kind: EventKeys, Reason: "caller's VM is gone: its running keys are unknown",
			Detail: map[string]string{"caller": caller.String()},
		})
	}
}
