package shard

import (
	"bytes"
	"errors"
	"slices"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// candidate returns the process to recruit: the first by rendezvous hashing in
// another zone, or on another VM when the list holds no other zone.
func (m *Manager) candidate(now fleet.Time, r *row) (fleet.Member, bool) {
	otherZone := slices.ContainsFunc(m.regionVMs, func(vm fleet.VM) bool {
		return vm.Zone != m.cfg.Zone && vm.State == fleet.StateLive
	})
	for _, vm := range fleet.Rendezvous(r.name, m.regionVMs) {
		incarnation := m.latest[vm.ID]
		usable := vm.ID != m.cfg.Self.VM && vm.State == fleet.StateLive && incarnation != 0 &&
			(vm.Zone != m.cfg.Zone || !otherZone) && now >= r.avoid[vm.ID]
		if usable {
			return fleet.Member{VM: vm.ID, Incarnation: incarnation}, true
		}
	}
	return fleet.Member{}, false
}

// recruit freezes the shard and sends its state to a candidate. Each try has a
// version of its own, so that a version never names two memberships.
func (m *Manager) recruit(now fleet.Time, r *row) {
	if now < r.retryAt {
		return
	}
	r.retryAt = now.Add(m.cfg.Retry)
	candidate, ok := m.candidate(now, r)
	if !ok {
		r.retryAt = now.Add(m.cfg.PrepareTimeout)
		return
	}
	state, err := m.replica(r.id).Export(r.id)
	if errors.Is(err, ErrNoHistory) {
		if m.resigning {
			m.drop(now, r, "resigned before anything was admitted")
		}
		return
	}
	if err != nil {
		m.event(r, "export failed: "+err.Error())
		r.retryAt = now.Add(m.cfg.PrepareTimeout)
		return
	}
	r.highest++
	r.phase = phasePreparing
	r.prep = prepare{
		view:      View{Shard: r.id, Version: r.highest, Owner: m.cfg.Self, Copy: candidate},
		parts:     slices.Collect(slices.Chunk(state, partBytes)),
		giveUpAt:  now.Add(m.cfg.PrepareTimeout),
		candidate: candidate.VM,
	}
	if len(r.prep.parts) == 0 {
		r.prep.parts = [][]byte{{}}
	}
	m.sendParts(r)
}

func (m *Manager) sendParts(r *row) {
	q := m.to(r.prep.candidate)
	for i, data := range r.prep.parts {
		q.parts = append(q.parts, Part{View: r.prep.view, Index: i, Total: len(r.prep.parts), Data: data})
	}
}

func (m *Manager) tickPreparing(now fleet.Time, r *row) {
	switch {
	case now >= r.prep.giveUpAt || m.Gone(r.prep.view.Copy):
		m.giveUpPrepare(now, r)
	case now >= r.retryAt:
		r.retryAt = now.Add(m.cfg.Retry)
		m.sendParts(r)
	}
}

// giveUpPrepare returns to the old view. The candidate never became active: no
// message has named the prepared view as active.
func (m *Manager) giveUpPrepare(now fleet.Time, r *row) {
	if r.avoid == nil {
		r.avoid = map[fleet.VMID]fleet.Time{}
	}
	r.avoid[r.prep.candidate] = now.Add(avoidTime)
	r.prep = prepare{}
	r.phase = phaseActive
	r.retryAt = now
	r.busy = true
}

func (m *Manager) onPart(now fleet.Time, from fleet.Member, p Part) {
	v := p.View
	if v.Copy.VM == m.cfg.Self.VM && v.Copy != m.cfg.Self {
		// The owner has not heard of this process yet; the answer tells it.
		m.answerPrepare(from, v, false)
		return
	}
	if v.Copy != m.cfg.Self || v.Owner != from || p.Total < 1 || p.Total > maxParts || p.Index < 0 || p.Index >= p.Total {
		return
	}
	r := m.row(v.Shard)
	if r.view == v && r.phase != phaseNone {
		m.answerPrepare(from, v, r.phase != phaseResigning)
		return
	}
	if !m.mayJoin(r, v) {
		m.answerPrepare(from, v, false)
		m.tell(from.VM, v.Shard)
		return
	}
	if r.partView != v || len(r.parts) != p.Total {
		r.partView, r.parts = v, make([][]byte, p.Total)
	}
	r.parts[p.Index] = p.Data
	if p.Data == nil {
		r.parts[p.Index] = []byte{}
	}
	if slices.ContainsFunc(r.parts, func(b []byte) bool { return b == nil }) {
		return
	}
	state := bytes.Join(r.parts, nil)
	r.parts, r.partView = nil, View{}
	if r.phase == phasePending {
		m.drop(now, r, "prepared view was given up")
	}
	if err := m.replica(v.Shard).Import(v.Shard, state); err != nil {
		m.event(r, "import failed: "+err.Error())
		m.replica(v.Shard).Dropped(v.Shard)
		m.answerPrepare(from, v, false)
		return
	}
	r.phase, r.view = phasePending, v
	r.highest = max(r.highest, v.Version)
	r.claim, r.promise = nil, fleet.Member{}
	m.answerPrepare(from, v, true)
}

// mayJoin reports whether this process may hold the state of a prepared view. The
// owner must be listed here, because only then its end can be noticed later.
func (m *Manager) mayJoin(r *row, v View) bool {
	bound := !r.promise.IsZero() && r.promise != v.Owner && !m.Gone(r.promise)
	newer := v.Version > r.known.Version && (r.phase == phaseNone || r.phase == phasePending && v.Version > r.view.Version)
	return newer && !bound && !m.resigning && m.Listed(v.Owner.VM) && !m.Gone(v.Owner)
}

func (m *Manager) answerPrepare(to fleet.Member, v View, ok bool) {
	q := m.to(to.VM)
	q.prepared = append(q.prepared, PreparedView{View: v, OK: ok})
}

func (m *Manager) onPrepared(now fleet.Time, from fleet.Member, p PreparedView) {
	r := m.rows[p.View.Shard]
	if r == nil || from.VM != p.View.Copy.VM || p.OK && from != p.View.Copy {
		return
	}
	switch {
	case r.phase == phasePreparing && r.prep.view == p.View && p.OK:
		m.activate(now, r, p.View, "recruited a copy")
		m.tickActive(now, r)
	case r.phase == phasePreparing && r.prep.view == p.View:
		m.giveUpPrepare(now, r)
	case p.OK:
		// A late answer: the newest view lets the sender drop its state.
		m.tell(from.VM, p.View.Shard)
	}
}

func (m *Manager) onCommit(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	r := m.rows[v.Shard]
	if r != nil && r.phase == phaseActive && r.view == v {
		q := m.to(from.VM)
		q.committed = append(q.committed, v)
		return
	}
	if r != nil && r.phase == phaseNone && r.known == v {
		// The state was dropped after the prepare was answered, because this process
		// resigns. The owner must not wait for a copy that does not hold the shard.
		q := m.to(from.VM)
		q.resigns = append(q.resigns, v)
		return
	}
	m.tell(from.VM, v.Shard)
}

// tickResigning repeats the resignation until a newer view is learned. When the
// other member is gone it may have gone on alone before, so this process's state
// may be old and is dropped.
func (m *Manager) tickResigning(now fleet.Time, r *row) {
	other := r.view.Owner
	if other == m.cfg.Self {
		other = r.view.Copy
	}
	switch {
	case m.Gone(other):
		m.drop(now, r, "resigned to a member that is gone")
	case now >= r.retryAt:
		r.retryAt = now.Add(m.cfg.Retry)
		q := m.to(other.VM)
		q.resigns = append(q.resigns, r.view)
	}
}

// onResign goes on alone. When both members resign the owner goes on: a copy that
// has resigned never takes over, otherwise both would.
func (m *Manager) onResign(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	r := m.rows[v.Shard]
	current := r != nil && r.view == v && (r.phase == phaseActive || r.phase == phaseResigning)
	switch {
	case current && from == v.Copy && m.cfg.Self == v.Owner:
		m.alone(now, r, "the copy resigned")
	case current && from == v.Owner && m.cfg.Self == v.Copy && r.phase == phaseActive:
		m.alone(now, r, "the owner resigned")
	case current:
	default:
		m.tell(from.VM, v.Shard)
	}
}
