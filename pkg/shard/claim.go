package shard

import (
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// claim is an attempt to become the owner of a shard that has no members left.
type claim struct {
	attempt       uint64
	promises      map[fleet.VMID]promiseReply
	nextRequestAt fleet.Time
}

type promiseReply struct {
	incarnation fleet.Incarnation
	generation  uint64
}

// queryFanout is the number of VMs, in rendezvous order, that are queried for a view in
// addition to the known members.
const queryFanout = 3

// presumedMember reports whether the member may still hold the shard, according to the
// state of this process. It only decides when to claim; safety depends on the promises.
func (m *Manager) presumedMember(s *shardState, member fleet.Member) bool {
	return !member.IsZero() && m.Listed(member.VM) && !m.Gone(member) && !slices.Contains(s.departed, member)
}

// tickNonMember resends a promise, resolves the view, and claims the shard if it is wanted
// and has no members.
func (m *Manager) tickNonMember(now fleet.Time, s *shardState) {
	if !s.promisedTo.IsZero() && s.promisedTo != m.cfg.Self {
		if m.Gone(s.promisedTo) {
			s.promisedTo = fleet.Member{}
		} else if now >= s.retryAt {
			// Resend the promise: a claimer that no longer claims replies with its view or a release.
			s.retryAt = now.Add(m.cfg.ClaimStagger)
			m.reply(s, s.promisedTo, ClaimReply{Claim: Claim{s.id, s.promisedAttempt}, Promised: true})
		}
	}
	if !s.wanted || m.resigning {
		if s.claim != nil {
			m.abandonClaim(now, s)
		}
		return
	}
	if m.presumedMember(s, s.known.Owner) {
		s.unownedSince = 0
		return
	}
	m.query(now, s)
	if m.presumedMember(s, s.known.Copy) {
		s.unownedSince = 0
		return
	}
	if s.unownedSince == 0 {
		s.unownedSince = now
	}
	if s.claim == nil && !m.startClaim(now, s) {
		return
	}
	m.advanceClaim(now, s)
}

// Resolve implements Membership.
func (m *Manager) Resolve(now fleet.Time, id ID) {
	m.query(now, m.ensureShard(id))
}

// query requests the newest view, at most once per RetryInterval.
func (m *Manager) query(now fleet.Time, s *shardState) {
	if now < s.nextQueryAt || m.dir == nil {
		return
	}
	s.nextQueryAt = now.Add(m.cfg.RetryInterval)
	vms := m.regionVMs
	if s.id.Region != m.cfg.Region {
		vms = m.dir.RegionVMs(s.id.Region)
	}
	ranked := fleet.Rendezvous(s.name, vms)
	targets := make([]fleet.VMID, 0, queryFanout+2)
	for _, member := range []fleet.Member{s.known.Owner, s.known.Copy} {
		if !member.IsZero() {
			targets = append(targets, member.VM)
		}
	}
	for _, vm := range ranked[:min(queryFanout, len(ranked))] {
		targets = append(targets, vm.ID)
	}
	slices.Sort(targets)
	for _, vm := range slices.Compact(targets) {
		if vm != m.cfg.Self.VM {
			q := m.queueFor(vm)
			q.queries = append(q.queries, s.id)
		}
	}
}

// startClaim begins a claim when it is this VM's turn: the first VM in rendezvous
// order claims immediately, each following one ClaimStagger later.
func (m *Manager) startClaim(now fleet.Time, s *shardState) bool {
	if !m.settled(now) || !s.promisedTo.IsZero() {
		return false
	}
	rank := m.claimRank(s)
	if rank < 0 || now.Sub(s.unownedSince) < time.Duration(rank)*m.cfg.ClaimStagger {
		return false
	}
	s.attempts++
	s.promisedTo, s.promisedAttempt = m.cfg.Self, s.attempts
	s.claim = &claim{attempt: s.attempts, promises: map[fleet.VMID]promiseReply{}}
	return true
}

// claimRank returns this VM's position in the shard's rendezvous order of live VMs, or
// -1 if it is not live. The result is cached until the directory changes.
func (m *Manager) claimRank(s *shardState) int {
	if s.rankDirectory != m.dir {
		live := slices.DeleteFunc(slices.Clone(m.regionVMs), func(vm fleet.VM) bool { return vm.State != fleet.StateLive })
		s.rank = slices.IndexFunc(fleet.Rendezvous(s.name, live), func(vm fleet.VM) bool { return vm.ID == m.cfg.Self.VM })
		s.rankDirectory = m.dir
	}
	return s.rank
}

// advanceClaim requests the missing promises and takes the shard once every listed VM
// has promised. A reply based on a newer directory means that a VM unknown to this
// process may be a member; the claim then waits for that directory.
func (m *Manager) advanceClaim(now fleet.Time, s *shardState) {
	missing := false
	send := now >= s.claim.nextRequestAt
	for _, vm := range m.regionVMs {
		if vm.ID == m.cfg.Self.VM {
			continue
		}
		p, ok := s.claim.promises[vm.ID]
		if ok && p.incarnation == m.latestIncarnation[vm.ID] {
			missing = missing || p.generation > m.dir.Generation
			continue
		}
		missing = true
		if send {
			q := m.queueFor(vm.ID)
			q.claimRequests = append(q.claimRequests, Claim{s.id, s.claim.attempt})
		}
	}
	if send {
		s.claim.nextRequestAt = now.Add(m.cfg.RetryInterval)
	}
	if missing || !m.Listed(m.cfg.Self.VM) {
		return
	}
	// The incarnation is a start time. Using it as the lower bound keeps versions
	// increasing even when no VM has the last version.
	s.highestVersion = max(s.highestVersion, uint64(m.cfg.Self.Incarnation)-1)
	m.replica(s.id).Reset(s.id, now)
	m.becomeSoleMember(now, s, "claimed: all members are gone")
	m.startTransfer(now, s)
}

// abandonClaim releases all promises of the attempt and restarts the wait for this VM's
// turn to claim.
func (m *Manager) abandonClaim(now fleet.Time, s *shardState) {
	for _, vm := range m.regionVMs {
		if vm.ID != m.cfg.Self.VM {
			q := m.queueFor(vm.ID)
			q.releases = append(q.releases, Claim{s.id, s.claim.attempt})
		}
	}
	s.claim = nil
	s.unownedSince = now
	if s.promisedTo == m.cfg.Self {
		s.promisedTo = fleet.Member{}
	}
}

// reply queues a claim reply and fills in the state of the shard as known to this process.
func (m *Manager) reply(s *shardState, to fleet.Member, reply ClaimReply) {
	reply.Known, reply.Highest, reply.Generation = s.known, s.highestVersion, m.dir.Generation
	q := m.queueFor(to.VM)
	q.claimReplies = append(q.claimReplies, reply)
}

// onClaimRequest grants a promise unless this process is a member, holds the state of a
// prepared view or has promised another claimer. Claimers that are not listed are
// ignored, because their failure could not be detected later.
func (m *Manager) onClaimRequest(now fleet.Time, from fleet.Member, c Claim) {
	if !m.settled(now) || !m.Listed(from.VM) || m.Gone(from) || c.Shard.Region != m.cfg.Region {
		return
	}
	s := m.ensureShard(c.Shard)
	if s.phase == phasePending && m.Gone(s.view.Owner) {
		m.drop(now, s, "prepared view dropped: its owner is gone")
	}
	if s.phase != phaseNone {
		m.reply(s, from, ClaimReply{Claim: c, HoldsState: true})
		return
	}
	if s.claim != nil && m.ranksBefore(s, from.VM, m.cfg.Self.VM) {
		m.abandonClaim(now, s)
	}
	if !s.promisedTo.IsZero() && s.promisedTo != from && !m.Gone(s.promisedTo) {
		m.reply(s, from, ClaimReply{Claim: c, PromisedTo: s.promisedTo})
		return
	}
	if s.promisedTo == from {
		c.Attempt = max(c.Attempt, s.promisedAttempt)
	}
	s.promisedTo, s.promisedAttempt = from, c.Attempt
	s.receivedChunks, s.receivingView = nil, View{}
	s.retryAt = now.Add(m.cfg.ClaimStagger)
	m.reply(s, from, ClaimReply{Claim: c, Promised: true})
}

// ranksBefore reports whether a precedes b in the shard's rendezvous order. The
// relative order of two VMs does not depend on the directory.
func (m *Manager) ranksBefore(s *shardState, a, b fleet.VMID) bool {
	return fleet.Rendezvous(s.name, []fleet.VM{{ID: a}, {ID: b}})[0].ID == a
}

func (m *Manager) onClaimReply(now fleet.Time, from fleet.Member, reply ClaimReply) {
	m.Observe(now, reply.Known)
	s := m.shards[reply.Claim.Shard]
	if s == nil {
		return
	}
	s.highestVersion = max(s.highestVersion, reply.Highest)
	if s.claim == nil || s.claim.attempt != reply.Claim.Attempt {
		if reply.Promised {
			m.releasePromise(from, s, reply.Claim)
		}
		return
	}
	switch {
	case reply.Promised:
		if !m.Gone(from) {
			s.claim.promises[from.VM] = promiseReply{from.Incarnation, reply.Generation}
			s.scheduled = true
		}
	case reply.HoldsState:
		m.abandonClaim(now, s)
	case !reply.PromisedTo.IsZero() && m.ranksBefore(s, reply.PromisedTo.VM, m.cfg.Self.VM):
		m.abandonClaim(now, s)
	}
}

// releasePromise returns a promise that is no longer needed and sends the newest view.
func (m *Manager) releasePromise(from fleet.Member, s *shardState, c Claim) {
	q := m.queueFor(from.VM)
	q.releases = append(q.releases, c)
	m.sendView(from.VM, s.id)
}

func (m *Manager) onClaimRelease(from fleet.Member, c Claim) {
	s := m.shards[c.Shard]
	if s != nil && s.promisedTo == from && c.Attempt >= s.promisedAttempt {
		s.promisedTo = fleet.Member{}
	}
}
