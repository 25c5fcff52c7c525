package shard

import (
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// claim is an attempt to become the owner of a shard without members.
type claim struct {
	attempt uint64
	replies map[fleet.VMID]promiseReply
	askAt   fleet.Time
}

type promiseReply struct {
	incarnation fleet.Incarnation
	generation  uint64
}

// queryWidth is how many VMs, in rendezvous order, are asked for an unknown view.
const queryWidth = 3

// alive reports that the member may hold the shard as far as is known here. It
// guides claims only; safety rests on the promises.
func (m *Manager) alive(r *row, member fleet.Member) bool {
	return !member.IsZero() && m.Listed(member.VM) && !m.Gone(member) && !slices.Contains(r.left, member)
}

func (m *Manager) tickOutside(now fleet.Time, r *row) {
	if !r.promise.IsZero() && r.promise != m.cfg.Self {
		if m.Gone(r.promise) {
			r.promise = fleet.Member{}
		} else if now >= r.retryAt {
			// The claimer answers with its view or a release if it no longer claims.
			r.retryAt = now.Add(m.cfg.ClaimStep)
			m.reply(r, r.promise, Reply{Claim: Claim{r.id, r.promiseAttempt}, Promised: true})
		}
	}
	if !r.want || m.resigning {
		if r.claim != nil {
			m.giveUpClaim(now, r)
		}
		return
	}
	if m.alive(r, r.known.Owner) {
		r.unownedSince = 0
		return
	}
	m.query(now, r)
	if m.alive(r, r.known.Copy) {
		r.unownedSince = 0
		return
	}
	if r.unownedSince == 0 {
		r.unownedSince = now
	}
	if r.claim == nil && !m.startClaim(now, r) {
		return
	}
	m.pursueClaim(now, r)
}

// Resolve implements Membership.
func (m *Manager) Resolve(now fleet.Time, id ID) {
	m.query(now, m.row(id))
}

func (m *Manager) query(now fleet.Time, r *row) {
	if now < r.queryAt || m.dir == nil {
		return
	}
	r.queryAt = now.Add(m.cfg.Retry)
	vms := m.regionVMs
	if r.id.Region != m.cfg.Region {
		vms = m.dir.RegionVMs(r.id.Region)
	}
	ranked := fleet.Rendezvous(r.name, vms)
	asked := make([]fleet.VMID, 0, queryWidth+2)
	for _, member := range []fleet.Member{r.known.Owner, r.known.Copy} {
		if !member.IsZero() {
			asked = append(asked, member.VM)
		}
	}
	for _, vm := range ranked[:min(queryWidth, len(ranked))] {
		asked = append(asked, vm.ID)
	}
	slices.Sort(asked)
	for _, vm := range slices.Compact(asked) {
		if vm != m.cfg.Self.VM {
			q := m.to(vm)
			q.queries = append(q.queries, r.id)
		}
	}
}

// startClaim begins an attempt when it is this VM's turn: the first by rendezvous
// hashing at once, each next one ClaimStep later.
func (m *Manager) startClaim(now fleet.Time, r *row) bool {
	if !m.settled(now) || !r.promise.IsZero() {
		return false
	}
	rank := m.claimRank(r)
	if rank < 0 || now.Sub(r.unownedSince) < time.Duration(rank)*m.cfg.ClaimStep {
		return false
	}
	r.attempts++
	r.promise, r.promiseAttempt = m.cfg.Self, r.attempts
	r.claim = &claim{attempt: r.attempts, replies: map[fleet.VMID]promiseReply{}}
	return true
}

// claimRank returns this VM's place in the shard's rendezvous order of live VMs, or
// -1 when it is not one of them. It is computed once per directory.
func (m *Manager) claimRank(r *row) int {
	if r.rankFor != m.dir {
		live := slices.DeleteFunc(slices.Clone(m.regionVMs), func(vm fleet.VM) bool { return vm.State != fleet.StateLive })
		r.rank = slices.IndexFunc(fleet.Rendezvous(r.name, live), func(vm fleet.VM) bool { return vm.ID == m.cfg.Self.VM })
		r.rankFor = m.dir
	}
	return r.rank
}

// pursueClaim asks the VMs that have not promised, and takes the shard when every
// listed VM has. An answer from a newer list than ours means that a VM unknown
// here may be a member; the claim then waits for that list.
func (m *Manager) pursueClaim(now fleet.Time, r *row) {
	missing := false
	ask := now >= r.claim.askAt
	for _, vm := range m.regionVMs {
		if vm.ID == m.cfg.Self.VM {
			continue
		}
		p, ok := r.claim.replies[vm.ID]
		if ok && p.incarnation == m.latest[vm.ID] {
			missing = missing || p.generation > m.dir.Generation
			continue
		}
		missing = true
		if ask {
			q := m.to(vm.ID)
			q.asks = append(q.asks, Claim{r.id, r.claim.attempt})
		}
	}
	if ask {
		r.claim.askAt = now.Add(m.cfg.Retry)
	}
	if missing || !m.Listed(m.cfg.Self.VM) {
		return
	}
	// The incarnation (start time) keeps versions rising even when no VM remembers
	// the last one.
	r.highest = max(r.highest, uint64(m.cfg.Self.Incarnation)-1)
	m.replica(r.id).Lost(r.id, now)
	m.alone(now, r, "claimed: no member is left")
	m.recruit(now, r)
}

// giveUpClaim releases all promises of the attempt and waits for its turn again.
func (m *Manager) giveUpClaim(now fleet.Time, r *row) {
	for _, vm := range m.regionVMs {
		if vm.ID != m.cfg.Self.VM {
			q := m.to(vm.ID)
			q.releases = append(q.releases, Claim{r.id, r.claim.attempt})
		}
	}
	r.claim = nil
	r.unownedSince = now
	if r.promise == m.cfg.Self {
		r.promise = fleet.Member{}
	}
}

func (m *Manager) reply(r *row, to fleet.Member, reply Reply) {
	reply.Known, reply.Highest, reply.Generation = r.known, r.highest, m.dir.Generation
	q := m.to(to.VM)
	q.replies = append(q.replies, reply)
}

// onAsk promises, unless this process is a member or has promised another claimer.
// It promises listed claimers only, because only their end can be noticed later.
func (m *Manager) onAsk(now fleet.Time, from fleet.Member, c Claim) {
	if !m.settled(now) || !m.Listed(from.VM) || m.Gone(from) || c.Shard.Region != m.cfg.Region {
		return
	}
	r := m.row(c.Shard)
	if r.phase == phasePending && m.Gone(r.view.Owner) {
		m.drop(now, r, "owner of a prepared view is gone")
	}
	if r.phase != phaseNone {
		m.reply(r, from, Reply{Claim: c, Held: true})
		return
	}
	if r.claim != nil && m.before(r, from.VM, m.cfg.Self.VM) {
		m.giveUpClaim(now, r)
	}
	if !r.promise.IsZero() && r.promise != from && !m.Gone(r.promise) {
		m.reply(r, from, Reply{Claim: c, Bound: r.promise})
		return
	}
	if r.promise == from {
		c.Attempt = max(c.Attempt, r.promiseAttempt)
	}
	r.promise, r.promiseAttempt = from, c.Attempt
	r.parts, r.partView = nil, View{}
	r.retryAt = now.Add(m.cfg.ClaimStep)
	m.reply(r, from, Reply{Claim: c, Promised: true})
}

// before reports that a comes before b in the shard's rendezvous order, which does
// not depend on the list.
func (m *Manager) before(r *row, a, b fleet.VMID) bool {
	return fleet.Rendezvous(r.name, []fleet.VM{{ID: a}, {ID: b}})[0].ID == a
}

func (m *Manager) onReply(now fleet.Time, from fleet.Member, reply Reply) {
	m.Observe(now, reply.Known)
	r := m.rows[reply.Claim.Shard]
	if r == nil {
		return
	}
	r.highest = max(r.highest, reply.Highest)
	if r.claim == nil || r.claim.attempt != reply.Claim.Attempt {
		if reply.Promised {
			m.settlePromise(from, r, reply.Claim)
		}
		return
	}
	switch {
	case reply.Promised:
		if !m.Gone(from) {
			r.claim.replies[from.VM] = promiseReply{from.Incarnation, reply.Generation}
			r.busy = true
		}
	case reply.Held:
		m.giveUpClaim(now, r)
	case !reply.Bound.IsZero() && m.before(r, reply.Bound.VM, m.cfg.Self.VM):
		m.giveUpClaim(now, r)
	}
}

// settlePromise answers a promise that is no longer needed.
func (m *Manager) settlePromise(from fleet.Member, r *row, c Claim) {
	q := m.to(from.VM)
	q.releases = append(q.releases, c)
	m.tell(from.VM, r.id)
}

func (m *Manager) onRelease(from fleet.Member, c Claim) {
	r := m.rows[c.Shard]
	if r != nil && r.promise == from && c.Attempt >= r.promiseAttempt {
		r.promise = fleet.Member{}
	}
}
