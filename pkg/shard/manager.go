package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// EventShard is the kind of all events that this package emits.
const EventShard fleet.EventKind = "shard"

// Defaults of Config.
const (
	DefaultListSettleTime = 2 * time.Second
	DefaultClaimStagger   = 3 * time.Second
	DefaultRetryInterval  = 200 * time.Millisecond
	DefaultPrepareTimeout = time.Second
	candidateBackoff      = 5 * time.Second
)

// Config holds the identity of this process and the timing of the protocol.
type Config struct {
	Self     fleet.Member
	Region   fleet.Region
	Zone     fleet.Zone
	Replicas map[Class]Replica // a class without an entry carries no state

	// ListSettleTime is how long a new process waits before it promises or claims. It
	// must exceed the lag of the platform's VM list: until then this process may see
	// an older list than the previous process on this VM did.
	ListSettleTime time.Duration
	ClaimStagger   time.Duration // delay between the claims of successive VMs in rendezvous order
	RetryInterval  time.Duration // interval between resends
	PrepareTimeout time.Duration // a candidate that does not answer within this time is replaced
}

func (c Config) withDefaults() Config {
	c.ListSettleTime = cmp.Or(c.ListSettleTime, DefaultListSettleTime)
	c.ClaimStagger = cmp.Or(c.ClaimStagger, DefaultClaimStagger)
	c.RetryInterval = cmp.Or(c.RetryInterval, DefaultRetryInterval)
	c.PrepareTimeout = cmp.Or(c.PrepareTimeout, DefaultPrepareTimeout)
	return c
}

// Membership tracks processes and views. Manager implements it.
type Membership interface {
	// Gone reports whether the process is known to have ended.
	Gone(fleet.Member) bool
	// Listed reports whether the newest directory contains the VM.
	Listed(fleet.VMID) bool
	// Observe records an active view named by a message.
	Observe(now fleet.Time, view View)
	// Resolve queries VMs of the shard's region for the newest view.
	Resolve(now fleet.Time, id ID)
}

type phase uint8

const (
	phaseNone      phase = iota
	phasePending         // holds the state of a prepared view; never takes over
	phaseActive          // member of an active view
	phasePreparing       // sole owner, frozen while its state is transferred to a new copy
	phaseResigning       // permanently frozen, waits for the other member to take over
)

// shardState is the protocol state of one shard at this process.
type shardState struct {
	id        ID
	name      string
	scheduled bool // has timers or unprocessed changes, so Tick must visit it
	wanted    bool // should have an owner, see SetWantedShards
	phase     phase

	view           View   // own view, prepared or active; zero in phaseNone
	known          View   // newest known active view
	highestVersion uint64 // highest version seen, prepared views included

	committed     bool       // the copy has acknowledged the view
	retryAt       fleet.Time // next resend in the current exchange
	transfer      stateTransfer
	excludedUntil map[fleet.VMID]fleet.Time // candidates that failed a transfer

	receivedChunks [][]byte // chunks of the state being transferred to this process
	receivingView  View     // view that receivedChunks belong to

	claim           *claim
	attempts        uint64         // claim attempts so far; the number of the latest one
	unownedSince    fleet.Time     // when the last known member was lost; zero while one is known
	departed        []fleet.Member // members of known that announced that they dropped the shard
	promisedTo      fleet.Member   // claimer that has this process's promise, possibly itself; zero if none
	promisedAttempt uint64
	nextQueryAt     fleet.Time
	rank            int // cached result of claimRank, valid while rankDirectory is the current directory
	rankDirectory   *fleet.Directory
}

type stateTransfer struct {
	view      View
	chunks    [][]byte
	deadline  fleet.Time
	candidate fleet.VMID
}

// Manager runs the ownership protocol for all shards of this process. It is not safe
// for concurrent use.
type Manager struct {
	cfg                Config
	dir                *fleet.Directory
	regionVMs          []fleet.VM
	settledAt          fleet.Time
	latestIncarnation  map[fleet.VMID]fleet.Incarnation // newest incarnation seen per VM
	removedIncarnation map[fleet.VMID]fleet.Incarnation // newest incarnation seen when the VM left the directory
	shards             map[ID]*shardState
	ordered            []*shardState // sorted by name, so that runs are reproducible
	unsorted           bool
	resigning          bool
	queues             map[fleet.VMID]*peerQueue
	events             []fleet.Event
}

var (
	_ Authority  = (*Manager)(nil)
	_ Membership = (*Manager)(nil)
)

// New returns a Manager without a directory. It takes no action before SetDirectory is called.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:                cfg.withDefaults(),
		latestIncarnation:  map[fleet.VMID]fleet.Incarnation{cfg.Self.VM: cfg.Self.Incarnation},
		removedIncarnation: map[fleet.VMID]fleet.Incarnation{},
		shards:             map[ID]*shardState{},
		queues:             map[fleet.VMID]*peerQueue{},
	}
}

// SetDirectory installs a newer VM directory. Directories that are not newer are ignored.
func (m *Manager) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	if m.dir == nil {
		m.settledAt = now.Add(m.cfg.ListSettleTime)
	} else if dir.Generation <= m.dir.Generation {
		return
	} else {
		for _, vm := range m.dir.VMs {
			if _, listed := dir.VM(vm.ID); !listed {
				m.removedIncarnation[vm.ID] = max(m.removedIncarnation[vm.ID], m.latestIncarnation[vm.ID])
			}
		}
	}
	m.dir = dir
	m.regionVMs = dir.RegionVMs(m.cfg.Region)
	m.scheduleAll()
}

// RecordIncarnation records that a process was seen, for example in a link's hello message.
func (m *Manager) RecordIncarnation(_ fleet.Time, member fleet.Member) {
	if member.Incarnation > m.latestIncarnation[member.VM] {
		m.latestIncarnation[member.VM] = member.Incarnation
		m.scheduleAll()
	}
}

func (m *Manager) scheduleAll() {
	for _, s := range m.ordered {
		s.scheduled = true
	}
}

// Gone implements Membership. A process is gone if a newer process of its VM was seen,
// or if the VM left the directory after the process was seen. A process that is merely
// unreachable does not count as gone.
func (m *Manager) Gone(member fleet.Member) bool {
	return m.latestIncarnation[member.VM] > member.Incarnation || m.removedIncarnation[member.VM] >= member.Incarnation
}

// Listed implements Membership.
func (m *Manager) Listed(vm fleet.VMID) bool {
	if m.dir == nil {
		return false
	}
	_, ok := m.dir.VM(vm)
	return ok
}

// settled reports whether ListSettleTime has passed since the first directory.
func (m *Manager) settled(now fleet.Time) bool { return m.dir != nil && now >= m.settledAt }

func (m *Manager) ensureShard(id ID) *shardState {
	s := m.shards[id]
	if s == nil {
		s = &shardState{id: id, name: id.String()}
		m.shards[id] = s
		m.ordered = append(m.ordered, s)
		m.unsorted = true
	}
	s.scheduled = true
	return s
}

// SetWantedShards sets the shards of this region that should have an owner.
func (m *Manager) SetWantedShards(_ fleet.Time, ids []ID) {
	for _, s := range m.ordered {
		s.wanted = false
	}
	for _, id := range ids {
		m.ensureShard(id).wanted = true
	}
}

// View implements Authority.
func (m *Manager) View(id ID) (View, bool) {
	s := m.shards[id]
	if s == nil || s.known.Version == 0 {
		return View{}, false
	}
	return s.known, true
}

// Role implements Authority. It returns RoleNone while a state transfer or a
// resignation blocks operations.
func (m *Manager) Role(id ID) (Role, uint64) {
	s := m.shards[id]
	if s == nil || s.phase != phaseActive {
		return RoleNone, 0
	}
	return m.roleIn(s.view), s.view.Version
}

func (m *Manager) roleIn(v View) Role {
	switch m.cfg.Self {
	case v.Owner:
		return RoleOwner
	case v.Copy:
		return RoleCopy
	}
	return RoleNone
}

// Resign starts the hand-over of all shards. It cannot be undone: this process no
// longer claims shards or becomes their copy.
func (m *Manager) Resign(fleet.Time) {
	m.resigning = true
	m.scheduleAll()
}

// Resigned reports whether all shards are handed over. A shard counts as handed over
// if this process is its only member and the region has no other live VM.
func (m *Manager) Resigned() bool {
	if !m.resigning {
		return false
	}
	for _, s := range m.ordered {
		alone := s.phase == phaseActive && s.view.Copy.IsZero() && !m.hasSuccessor()
		if s.phase != phaseNone && !alone {
			return false
		}
	}
	return true
}

func (m *Manager) hasSuccessor() bool {
	return slices.ContainsFunc(m.regionVMs, func(vm fleet.VM) bool {
		return vm.ID != m.cfg.Self.VM && vm.State == fleet.StateLive
	})
}

func (m *Manager) replica(id ID) Replica {
	if replica := m.cfg.Replicas[id.Class]; replica != nil {
		return replica
	}
	return noopReplica{}
}

// noopReplica is used for classes without a Replica.
type noopReplica struct{}

func (noopReplica) Export(ID) ([]byte, error)              { return nil, nil }
func (noopReplica) Import(ID, []byte) error                { return nil }
func (noopReplica) Reset(ID, fleet.Time)                   {}
func (noopReplica) RoleChanged(ID, fleet.Time, Role, View) {}
func (noopReplica) Discard(ID)                             {}

// activate makes this process a member of an active view. An owner announces the view.
func (m *Manager) activate(now fleet.Time, s *shardState, view View, reason string) {
	s.view, s.known, s.departed = view, view, nil
	s.highestVersion = max(s.highestVersion, view.Version)
	s.phase = phaseActive
	s.transfer = stateTransfer{}
	s.receivedChunks, s.receivingView = nil, View{}
	s.claim, s.promisedTo = nil, fleet.Member{}
	s.committed = view.Copy.IsZero()
	s.retryAt = now
	s.scheduled = true
	m.replica(s.id).RoleChanged(s.id, now, m.roleIn(view), view)
	m.event(s, reason)
	if view.Owner == m.cfg.Self {
		m.broadcastView(s.id)
	}
}

// becomeSoleMember activates a new view with this process as the only member.
func (m *Manager) becomeSoleMember(now fleet.Time, s *shardState, reason string) {
	m.activate(now, s, View{Shard: s.id, Version: s.highestVersion + 1, Owner: m.cfg.Self}, reason)
}

// drop ends the membership or the prepared view of this process and discards the state.
func (m *Manager) drop(now fleet.Time, s *shardState, reason string) {
	wasActive := s.phase != phasePending
	s.phase = phaseNone
	s.view, s.transfer = View{}, stateTransfer{}
	s.receivedChunks, s.receivingView = nil, View{}
	s.scheduled = true
	if wasActive {
		m.replica(s.id).RoleChanged(s.id, now, RoleNone, s.known)
	}
	m.replica(s.id).Discard(s.id)
	m.event(s, reason)
	if wasActive && m.roleIn(s.known) != RoleNone {
		m.broadcastView(s.id)
	}
}

// Observe implements Membership.
func (m *Manager) Observe(now fleet.Time, v View) {
	if s := m.shards[v.Shard]; v.Version == 0 || s != nil && v.Version <= s.known.Version {
		return
	}
	s := m.ensureShard(v.Shard)
	s.highestVersion = max(s.highestVersion, v.Version)
	switch {
	case s.phase == phasePending && v == s.view:
		m.activate(now, s, v, "became the copy")
		return
	case s.phase == phasePending && v.Version > s.view.Version:
		s.known = v
		m.drop(now, s, "prepared view was abandoned")
	case s.phase != phaseNone && s.phase != phasePending && v.Version > s.view.Version:
		// A member is replaced only after it has resigned, unless the platform's list
		// dropped a running VM. In that case the higher version wins.
		reason := "replaced without having resigned"
		if s.phase == phaseResigning {
			reason = "handed over"
		}
		s.known = v
		m.drop(now, s, reason)
	}
	s.known, s.departed = v, nil
	if s.promisedTo == v.Owner {
		s.promisedTo = fleet.Member{}
	}
	if s.claim != nil && (m.presumedMember(s, v.Owner) || m.presumedMember(s, v.Copy)) {
		m.abandonClaim(now, s)
	}
}

// Step handles a message from another VM.
func (m *Manager) Step(now fleet.Time, from fleet.Member, message fleet.Message) {
	m.RecordIncarnation(now, from)
	switch msg := message.(type) {
	case *Views:
		for _, v := range msg.Views {
			m.Observe(now, v)
		}
		for _, v := range msg.Departed {
			m.onDeparted(now, from, v)
		}
	case *ViewQuery:
		for _, id := range msg.Shards {
			m.sendView(from.VM, id)
		}
	case *ClaimRequests:
		for _, c := range msg.Claims {
			m.onClaimRequest(now, from, c)
		}
	case *ClaimReplies:
		for _, reply := range msg.Replies {
			m.onClaimReply(now, from, reply)
		}
	case *ClaimReleases:
		for _, c := range msg.Claims {
			m.onClaimRelease(from, c)
		}
	case *Prepare:
		for _, p := range msg.Parts {
			m.onChunk(now, from, p)
		}
	case *Prepared:
		for _, p := range msg.Views {
			m.onPrepared(now, from, p)
		}
	case *Commit:
		for _, v := range msg.Views {
			m.onCommit(now, from, v)
		}
	case *Committed:
		for _, v := range msg.Views {
			if s := m.shards[v.Shard]; s != nil && s.view == v && from == v.Copy {
				s.committed = true
			}
		}
	case *Resign:
		for _, v := range msg.Views {
			m.onResign(now, from, v)
		}
	}
}

// sendView sends the newest known view of the shard, if any, and whether this process
// has dropped it.
func (m *Manager) sendView(vm fleet.VMID, id ID) {
	s := m.shards[id]
	if s == nil || s.known.Version == 0 {
		return
	}
	q := m.queueFor(vm)
	q.views = append(q.views, s.known)
	if s.phase == phaseNone && m.roleIn(s.known) != RoleNone {
		q.departed = append(q.departed, s.known)
	}
}

// onDeparted records that a running process has dropped a shard, so that a claim need
// not wait until the process ends.
func (m *Manager) onDeparted(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	if s := m.shards[v.Shard]; s != nil && s.known == v && !slices.Contains(s.departed, from) {
		s.departed = append(s.departed, from)
		s.scheduled = true
	}
}

func (m *Manager) broadcastView(id ID) {
	for _, vm := range m.regionVMs {
		if vm.ID != m.cfg.Self.VM {
			m.sendView(vm.ID, id)
		}
	}
}

// Tick runs due timers and reacts to membership changes.
func (m *Manager) Tick(now fleet.Time) {
	if m.dir == nil {
		return
	}
	if m.unsorted {
		slices.SortFunc(m.ordered, func(a, b *shardState) int { return cmp.Compare(a.name, b.name) })
		m.unsorted = false
	}
	for _, s := range m.ordered {
		if s.scheduled {
			m.tickShard(now, s)
			s.scheduled = m.needsTick(s)
		}
	}
}

// needsTick reports whether the shard has a timer. Other shards wait for a message, a
// new incarnation or a new directory.
func (m *Manager) needsTick(s *shardState) bool {
	switch s.phase {
	case phaseActive:
		return m.resigning || !s.committed || s.view.Copy.IsZero()
	case phaseNone:
		return !s.promisedTo.IsZero() || s.claim != nil || s.wanted && !m.presumedMember(s, s.known.Owner)
	case phasePending:
		return false
	}
	return true
}

func (m *Manager) tickShard(now fleet.Time, s *shardState) {
	switch s.phase {
	case phaseActive:
		m.tickActive(now, s)
	case phasePreparing:
		m.tickPreparing(now, s)
	case phaseResigning:
		m.tickResigning(now, s)
	case phasePending:
		if m.Gone(s.view.Owner) || m.resigning {
			m.drop(now, s, "prepared view dropped: its owner is gone or this VM resigns")
		}
	case phaseNone:
		m.tickNonMember(now, s)
	}
}

func (m *Manager) tickActive(now fleet.Time, s *shardState) {
	owner := s.view.Owner == m.cfg.Self
	switch {
	case !owner && m.resigning, owner && m.resigning && !s.view.Copy.IsZero():
		s.phase = phaseResigning
		s.retryAt = now
		m.tickResigning(now, s)
	case !owner:
		if m.Gone(s.view.Owner) {
			m.becomeSoleMember(now, s, "took over: the owner is gone")
		}
	case s.view.Copy.IsZero():
		m.startTransfer(now, s)
	case m.Gone(s.view.Copy):
		m.becomeSoleMember(now, s, "the copy is gone")
		m.startTransfer(now, s)
	case !s.committed && now >= s.retryAt:
		q := m.queueFor(s.view.Copy.VM)
		q.commits = append(q.commits, s.view)
		s.retryAt = now.Add(m.cfg.RetryInterval)
	}
}
