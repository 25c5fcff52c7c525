package shard

import (
	"bytes"
	"errors"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// candidate returns the process to become the copy: the first in rendezvous order in
// another zone, or on another VM if the directory has no live VM in another zone.
func (m *Manager) candidate(now fleet.Time, s *shardState) (fleet.Member, bool) {
	otherZone := slices.ContainsFunc(m.regionVMs, func(vm fleet.VM) bool {
		return vm.Zone != m.cfg.Zone && vm.State == fleet.StateLive
	})
	for _, vm := range fleet.Rendezvous(s.name, m.regionVMs) {
		incarnation := m.latestIncarnation[vm.ID]
		usable := vm.ID != m.cfg.Self.VM && vm.State == fleet.StateLive && incarnation != 0 &&
			(vm.Zone != m.cfg.Zone || !otherZone) && now >= s.excludedUntil[vm.ID]
		if usable {
			return fleet.Member{VM: vm.ID, Incarnation: incarnation}, true
		}
	}
	return fleet.Member{}, false
}

// startTransfer freezes the shard and sends its state to a candidate copy. Each try
// uses a new version, so that a version never stands for two memberships.
func (m *Manager) startTransfer(now fleet.Time, s *shardState) {
	if now < s.retryAt {
		return
	}
	s.retryAt = now.Add(m.cfg.RetryInterval)
	candidate, ok := m.candidate(now, s)
	if !ok {
		s.retryAt = now.Add(m.cfg.PrepareTimeout)
		return
	}
	state, err := m.replica(s.id).Export(s.id)
	if errors.Is(err, ErrNoHistory) {
		if m.resigning {
			m.drop(now, s, "resigned before any operation was admitted")
		}
		return
	}
	if err != nil {
		m.event(s, "export failed: "+err.Error())
		s.retryAt = now.Add(m.cfg.PrepareTimeout)
		return
	}
	s.highestVersion++
	s.phase = phasePreparing
	s.transfer = stateTransfer{
		view:      View{Shard: s.id, Version: s.highestVersion, Owner: m.cfg.Self, Copy: candidate},
		chunks:    slices.Collect(slices.Chunk(state, chunkBytes)),
		deadline:  now.Add(m.cfg.PrepareTimeout),
		candidate: candidate.VM,
	}
	if len(s.transfer.chunks) == 0 {
		s.transfer.chunks = [][]byte{{}}
	}
	m.sendChunks(s)
}

func (m *Manager) sendChunks(s *shardState) {
	q := m.queueFor(s.transfer.candidate)
	for i, data := range s.transfer.chunks {
		q.chunks = append(q.chunks, StateChunk{View: s.transfer.view, Index: i, Total: len(s.transfer.chunks), Data: data})
	}
}

func (m *Manager) tickPreparing(now fleet.Time, s *shardState) {
	switch {
	case now >= s.transfer.deadline || m.Gone(s.transfer.view.Copy):
		m.abortTransfer(now, s)
	case now >= s.retryAt:
		s.retryAt = now.Add(m.cfg.RetryInterval)
		m.sendChunks(s)
	}
}

// abortTransfer returns to the old view. This is safe because the candidate cannot
// have become active: no message has named the prepared view as active.
func (m *Manager) abortTransfer(now fleet.Time, s *shardState) {
	if s.excludedUntil == nil {
		s.excludedUntil = map[fleet.VMID]fleet.Time{}
	}
	s.excludedUntil[s.transfer.candidate] = now.Add(candidateBackoff)
	s.transfer = stateTransfer{}
	s.phase = phaseActive
	s.retryAt = now
	s.scheduled = true
}

func (m *Manager) onChunk(now fleet.Time, from fleet.Member, chunk StateChunk) {
	v := chunk.View
	if v.Copy.VM == m.cfg.Self.VM && v.Copy != m.cfg.Self {
		// The owner addresses an earlier process of this VM; the reply shows it the new incarnation.
		m.sendPrepared(from, v, false)
		return
	}
	if v.Copy != m.cfg.Self || v.Owner != from || chunk.Total < 1 || chunk.Total > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Total {
		return
	}
	s := m.ensureShard(v.Shard)
	if s.view == v && s.phase != phaseNone {
		m.sendPrepared(from, v, s.phase != phaseResigning)
		return
	}
	if !m.canJoin(s, v) {
		m.sendPrepared(from, v, false)
		m.sendView(from.VM, v.Shard)
		return
	}
	if s.receivingView != v || len(s.receivedChunks) != chunk.Total {
		s.receivingView, s.receivedChunks = v, make([][]byte, chunk.Total)
	}
	s.receivedChunks[chunk.Index] = chunk.Data
	if chunk.Data == nil {
		s.receivedChunks[chunk.Index] = []byte{}
	}
	if slices.ContainsFunc(s.receivedChunks, func(b []byte) bool { return b == nil }) {
		return
	}
	state := bytes.Join(s.receivedChunks, nil)
	s.receivedChunks, s.receivingView = nil, View{}
	if s.phase == phasePending {
		m.drop(now, s, "prepared view was abandoned")
	}
	if err := m.replica(v.Shard).Import(v.Shard, state); err != nil {
		m.event(s, "import failed: "+err.Error())
		m.replica(v.Shard).Discard(v.Shard)
		m.sendPrepared(from, v, false)
		return
	}
	s.phase, s.view = phasePending, v
	s.highestVersion = max(s.highestVersion, v.Version)
	s.claim, s.promisedTo = nil, fleet.Member{}
	m.sendPrepared(from, v, true)
}

// canJoin reports whether this process may hold the state of a prepared view. The
// owner must be listed, because its failure could not be detected otherwise.
func (m *Manager) canJoin(s *shardState, v View) bool {
	promised := !s.promisedTo.IsZero() && s.promisedTo != v.Owner && !m.Gone(s.promisedTo)
	newer := v.Version > s.known.Version && (s.phase == phaseNone || s.phase == phasePending && v.Version > s.view.Version)
	return newer && !promised && !m.resigning && m.Listed(v.Owner.VM) && !m.Gone(v.Owner)
}

func (m *Manager) sendPrepared(to fleet.Member, v View, ok bool) {
	q := m.queueFor(to.VM)
	q.prepared = append(q.prepared, PreparedView{View: v, OK: ok})
}

func (m *Manager) onPrepared(now fleet.Time, from fleet.Member, p PreparedView) {
	s := m.shards[p.View.Shard]
	if s == nil || from.VM != p.View.Copy.VM || p.OK && from != p.View.Copy {
		return
	}
	switch {
	case s.phase == phasePreparing && s.transfer.view == p.View && p.OK:
		m.activate(now, s, p.View, "copy added")
		m.tickActive(now, s)
	case s.phase == phasePreparing && s.transfer.view == p.View:
		m.abortTransfer(now, s)
	case p.OK:
		// Late reply: send the newest view so that the sender drops its state.
		m.sendView(from.VM, p.View.Shard)
	}
}

// onCommit activates the prepared view, if this process still holds it, and acknowledges
// the commit.
func (m *Manager) onCommit(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	s := m.shards[v.Shard]
	if s != nil && s.phase == phaseActive && s.view == v {
		q := m.queueFor(from.VM)
		q.committed = append(q.committed, v)
		return
	}
	if s != nil && s.phase == phaseNone && s.known == v {
		// This process resigned and dropped the state after it had acknowledged the Prepare.
		// The owner must not wait for a copy that no longer holds the shard.
		q := m.queueFor(from.VM)
		q.resigns = append(q.resigns, v)
		return
	}
	m.sendView(from.VM, v.Shard)
}

// tickResigning resends the resignation until a newer view arrives. If the other member
// is gone, it may have continued as the only member before it ended, so the state of
// this process may be stale and is dropped.
func (m *Manager) tickResigning(now fleet.Time, s *shardState) {
	other := s.view.Owner
	if other == m.cfg.Self {
		other = s.view.Copy
	}
	switch {
	case m.Gone(other):
		m.drop(now, s, "resigned, and the other member is gone")
	case now >= s.retryAt:
		s.retryAt = now.Add(m.cfg.RetryInterval)
		q := m.queueFor(other.VM)
		q.resigns = append(q.resigns, s.view)
	}
}

// onResign makes this process the only member after the other one has resigned. If both
// resign, only the owner continues: a copy that has resigned never takes over, otherwise
// both members would continue.
func (m *Manager) onResign(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	s := m.shards[v.Shard]
	current := s != nil && s.view == v && (s.phase == phaseActive || s.phase == phaseResigning)
	switch {
	case current && from == v.Copy && m.cfg.Self == v.Owner:
		m.becomeSoleMember(now, s, "the copy resigned")
	case current && from == v.Owner && m.cfg.Self == v.Copy && s.phase == phaseActive:
		m.becomeSoleMember(now, s, "the owner resigned")
	case current:
	default:
		m.sendView(from.VM, v.Shard)
	}
}
