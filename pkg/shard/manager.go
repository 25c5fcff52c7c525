package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// EventShard is the kind of all events of this package.
const EventShard fleet.EventKind = "shard"

// Defaults of Config.
const (
	DefaultListSettle     = 2 * time.Second
	DefaultClaimStep      = 3 * time.Second
	DefaultRetry          = 200 * time.Millisecond
	DefaultPrepareTimeout = time.Second
	avoidTime             = 5 * time.Second
)

// Config describes this process and the times of the protocol.
type Config struct {
	Self     fleet.Member
	Region   fleet.Region
	Zone     fleet.Zone
	Replicas map[Class]Replica // a class without entry carries no state

	// ListSettle is how long a new process waits before it promises or claims. It
	// must exceed the lag of the platform's list: until then the process may see an
	// older list than the process that ran on this VM before it.
	ListSettle     time.Duration
	ClaimStep      time.Duration // each next VM in rendezvous order claims this much later
	Retry          time.Duration // interval of repeats
	PrepareTimeout time.Duration // a silent candidate is given up after this time
}

func (c Config) withDefaults() Config {
	c.ListSettle = cmp.Or(c.ListSettle, DefaultListSettle)
	c.ClaimStep = cmp.Or(c.ClaimStep, DefaultClaimStep)
	c.Retry = cmp.Or(c.Retry, DefaultRetry)
	c.PrepareTimeout = cmp.Or(c.PrepareTimeout, DefaultPrepareTimeout)
	return c
}

// Membership answers about processes and learns views. Manager implements it.
type Membership interface {
	// Gone reports that the process is known to have ended.
	Gone(fleet.Member) bool
	// Listed reports that the newest directory holds the VM.
	Listed(fleet.VMID) bool
	// Observe learns an active view that a message named.
	Observe(now fleet.Time, view View)
	// Resolve asks VMs of the shard's region for the newest view.
	Resolve(now fleet.Time, id ID)
}

type phase uint8

const (
	phaseNone      phase = iota
	phasePending         // holds the state of a prepared view; never takes over
	phaseActive          // member of an active view
	phasePreparing       // active owner alone, frozen while a copy is recruited
	phaseResigning       // frozen for good, waits for the other member to go on
)

// row is the state of one shard at this process.
type row struct {
	id    ID
	name  string
	busy  bool // has timers or unchecked changes, so that Tick looks at it
	want  bool
	phase phase

	view    View   // own membership; valid unless phase is phaseNone
	known   View   // newest active view known
	highest uint64 // highest version seen, prepared ones included

	committed bool       // the copy has acknowledged the view
	retryAt   fleet.Time // next repeat of the current exchange
	prep      prepare
	avoid     map[fleet.VMID]fleet.Time // candidates that failed, until when

	parts    [][]byte // of the state under transfer to this process
	partView View

	claim          *claim
	attempts       uint64
	unownedSince   fleet.Time     // since when no member is known; zero if one is
	left           []fleet.Member // members of known that said that they hold it no more
	promise        fleet.Member
	promiseAttempt uint64
	queryAt        fleet.Time
	rank           int // this VM's turn to claim, as of directory rankFor
	rankFor        *fleet.Directory
}

type prepare struct {
	view      View
	parts     [][]byte
	giveUpAt  fleet.Time
	candidate fleet.VMID
}

// Manager decides which shards this process owns or copies. It is not safe for
// concurrent use.
type Manager struct {
	cfg       Config
	dir       *fleet.Directory
	regionVMs []fleet.VM
	settleAt  fleet.Time
	latest    map[fleet.VMID]fleet.Incarnation // newest incarnation heard of
	dropped   map[fleet.VMID]fleet.Incarnation // incarnations up to this one left the list
	rows      map[ID]*row
	order     []*row // sorted by name, so that runs are repeatable
	unsorted  bool
	resigning bool
	queues    map[fleet.VMID]*peerQueue
	events    []fleet.Event
}

var (
	_ Authority  = (*Manager)(nil)
	_ Membership = (*Manager)(nil)
)

// New returns a Manager without directory; it does nothing before SetDirectory.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:     cfg.withDefaults(),
		latest:  map[fleet.VMID]fleet.Incarnation{cfg.Self.VM: cfg.Self.Incarnation},
		dropped: map[fleet.VMID]fleet.Incarnation{},
		rows:    map[ID]*row{},
		queues:  map[fleet.VMID]*peerQueue{},
	}
}

// SetDirectory takes a newer reading of the platform's list. Older readings are ignored.
func (m *Manager) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	if m.dir == nil {
		m.settleAt = now.Add(m.cfg.ListSettle)
	} else if dir.Generation <= m.dir.Generation {
		return
	} else {
		for _, vm := range m.dir.VMs {
			if _, listed := dir.VM(vm.ID); !listed {
				m.dropped[vm.ID] = max(m.dropped[vm.ID], m.latest[vm.ID])
			}
		}
	}
	m.dir = dir
	m.regionVMs = dir.RegionVMs(m.cfg.Region)
	m.wakeAll()
}

// SawIncarnation notes a process of a VM, from a link's hello.
func (m *Manager) SawIncarnation(_ fleet.Time, member fleet.Member) {
	if member.Incarnation > m.latest[member.VM] {
		m.latest[member.VM] = member.Incarnation
		m.wakeAll()
	}
}

func (m *Manager) wakeAll() {
	for _, r := range m.order {
		r.busy = true
	}
}

// Gone implements Membership. A process is gone when a newer one of its VM was
// seen, or when the list dropped the VM after this process was seen. Silence is no
// sign.
func (m *Manager) Gone(member fleet.Member) bool {
	return m.latest[member.VM] > member.Incarnation || m.dropped[member.VM] >= member.Incarnation
}

// Listed implements Membership.
func (m *Manager) Listed(vm fleet.VMID) bool {
	if m.dir == nil {
		return false
	}
	_, ok := m.dir.VM(vm)
	return ok
}

func (m *Manager) settled(now fleet.Time) bool { return m.dir != nil && now >= m.settleAt }

func (m *Manager) row(id ID) *row {
	r := m.rows[id]
	if r == nil {
		r = &row{id: id, name: id.String()}
		m.rows[id] = r
		m.order = append(m.order, r)
		m.unsorted = true
	}
	r.busy = true
	return r
}

// Want sets the shards of this region that should exist.
func (m *Manager) Want(_ fleet.Time, ids []ID) {
	for _, r := range m.order {
		r.want = false
	}
	for _, id := range ids {
		m.row(id).want = true
	}
}

// View implements Authority.
func (m *Manager) View(id ID) (View, bool) {
	r := m.rows[id]
	if r == nil || r.known.Version == 0 {
		return View{}, false
	}
	return r.known, true
}

// Role implements Authority. It is RoleNone while a state transfer or a resignation
// holds operations back.
func (m *Manager) Role(id ID) (Role, uint64) {
	r := m.rows[id]
	if r == nil || r.phase != phaseActive {
		return RoleNone, 0
	}
	return m.roleIn(r.view), r.view.Version
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

// Resign starts handing over all shards. It cannot be undone: the process recruits
// and claims for itself no more.
func (m *Manager) Resign(fleet.Time) {
	m.resigning = true
	m.wakeAll()
}

// Resigned reports that no other VM waits for a hand-over from this process. An
// owner for which the region has no other VM counts as done.
func (m *Manager) Resigned() bool {
	if !m.resigning {
		return false
	}
	for _, r := range m.order {
		alone := r.phase == phaseActive && r.view.Copy.IsZero() && !m.hasSuccessor()
		if r.phase != phaseNone && !alone {
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
	return noState{}
}

// noState stands in for classes without a Replica.
type noState struct{}

func (noState) Export(ID) ([]byte, error)          { return nil, nil }
func (noState) Import(ID, []byte) error            { return nil }
func (noState) Lost(ID, fleet.Time)                {}
func (noState) Changed(ID, fleet.Time, Role, View) {}
func (noState) Dropped(ID)                         {}

// activate makes this process a member of an active view and announces it.
func (m *Manager) activate(now fleet.Time, r *row, view View, reason string) {
	r.view, r.known, r.left = view, view, nil
	r.highest = max(r.highest, view.Version)
	r.phase = phaseActive
	r.prep = prepare{}
	r.parts, r.partView = nil, View{}
	r.claim, r.promise = nil, fleet.Member{}
	r.committed = view.Copy.IsZero()
	r.retryAt = now
	r.busy = true
	m.replica(r.id).Changed(r.id, now, m.roleIn(view), view)
	m.event(r, reason)
	if view.Owner == m.cfg.Self {
		m.tellRegion(r.id)
	}
}

// alone makes this process the only member.
func (m *Manager) alone(now fleet.Time, r *row, reason string) {
	m.activate(now, r, View{Shard: r.id, Version: r.highest + 1, Owner: m.cfg.Self}, reason)
}

func (m *Manager) drop(now fleet.Time, r *row, reason string) {
	wasActive := r.phase != phasePending
	r.phase = phaseNone
	r.view, r.prep = View{}, prepare{}
	r.parts, r.partView = nil, View{}
	r.busy = true
	if wasActive {
		m.replica(r.id).Changed(r.id, now, RoleNone, r.known)
	}
	m.replica(r.id).Dropped(r.id)
	m.event(r, reason)
	if wasActive && m.roleIn(r.known) != RoleNone {
		m.tellRegion(r.id)
	}
}

// Observe implements Membership.
func (m *Manager) Observe(now fleet.Time, v View) {
	if r := m.rows[v.Shard]; v.Version == 0 || r != nil && v.Version <= r.known.Version {
		return
	}
	r := m.row(v.Shard)
	r.highest = max(r.highest, v.Version)
	switch {
	case r.phase == phasePending && v == r.view:
		m.activate(now, r, v, "copy of a new view")
		return
	case r.phase == phasePending && v.Version > r.view.Version:
		r.known = v
		m.drop(now, r, "prepared view was given up")
	case r.phase != phaseNone && r.phase != phasePending && v.Version > r.view.Version:
		// Only a resigned member is replaced. Anything else means that the list dropped
		// a running VM; the higher version wins.
		reason := "superseded without having resigned"
		if r.phase == phaseResigning {
			reason = "handed over"
		}
		r.known = v
		m.drop(now, r, reason)
	}
	r.known, r.left = v, nil
	if r.promise == v.Owner {
		r.promise = fleet.Member{}
	}
	if r.claim != nil && (m.alive(r, v.Owner) || m.alive(r, v.Copy)) {
		m.giveUpClaim(now, r)
	}
}

// Step handles a message from another VM.
func (m *Manager) Step(now fleet.Time, from fleet.Member, message fleet.Message) {
	m.SawIncarnation(now, from)
	switch msg := message.(type) {
	case *Views:
		for _, v := range msg.Views {
			m.Observe(now, v)
		}
		for _, v := range msg.Left {
			m.onLeft(now, from, v)
		}
	case *Query:
		for _, id := range msg.Shards {
			m.tell(from.VM, id)
		}
	case *Asks:
		for _, c := range msg.Claims {
			m.onAsk(now, from, c)
		}
	case *Replies:
		for _, reply := range msg.Replies {
			m.onReply(now, from, reply)
		}
	case *Releases:
		for _, c := range msg.Claims {
			m.onRelease(from, c)
		}
	case *Prepare:
		for _, p := range msg.Parts {
			m.onPart(now, from, p)
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
			if r := m.rows[v.Shard]; r != nil && r.view == v && from == v.Copy {
				r.committed = true
			}
		}
	case *Resign:
		for _, v := range msg.Views {
			m.onResign(now, from, v)
		}
	}
}

// tell sends the newest known view of the shard, if any, and whether this process
// has left it.
func (m *Manager) tell(vm fleet.VMID, id ID) {
	r := m.rows[id]
	if r == nil || r.known.Version == 0 {
		return
	}
	q := m.to(vm)
	q.views = append(q.views, r.known)
	if r.phase == phaseNone && m.roleIn(r.known) != RoleNone {
		q.left = append(q.left, r.known)
	}
}

// onLeft notes that a running process has dropped a shard, so that a claim need not
// wait for the end of the process.
func (m *Manager) onLeft(now fleet.Time, from fleet.Member, v View) {
	m.Observe(now, v)
	if r := m.rows[v.Shard]; r != nil && r.known == v && !slices.Contains(r.left, from) {
		r.left = append(r.left, from)
		r.busy = true
	}
}

func (m *Manager) tellRegion(id ID) {
	for _, vm := range m.regionVMs {
		if vm.ID != m.cfg.Self.VM {
			m.tell(vm.ID, id)
		}
	}
}

// Tick runs timers and reacts to changes of membership.
func (m *Manager) Tick(now fleet.Time) {
	if m.dir == nil {
		return
	}
	if m.unsorted {
		slices.SortFunc(m.order, func(a, b *row) int { return cmp.Compare(a.name, b.name) })
		m.unsorted = false
	}
	for _, r := range m.order {
		if r.busy {
			m.tickRow(now, r)
			r.busy = m.needsTick(r)
		}
	}
}

// needsTick reports that the row has a timer; other rows wait for a message, a new
// incarnation or a new directory.
func (m *Manager) needsTick(r *row) bool {
	switch r.phase {
	case phaseActive:
		return m.resigning || !r.committed || r.view.Copy.IsZero()
	case phaseNone:
		return !r.promise.IsZero() || r.claim != nil || r.want && !m.alive(r, r.known.Owner)
	case phasePending:
		return false
	}
	return true
}

func (m *Manager) tickRow(now fleet.Time, r *row) {
	switch r.phase {
	case phaseActive:
		m.tickActive(now, r)
	case phasePreparing:
		m.tickPreparing(now, r)
	case phaseResigning:
		m.tickResigning(now, r)
	case phasePending:
		if m.Gone(r.view.Owner) || m.resigning {
			m.drop(now, r, "owner of a prepared view is gone, or this VM resigns")
		}
	case phaseNone:
		m.tickOutside(now, r)
	}
}

func (m *Manager) tickActive(now fleet.Time, r *row) {
	owner := r.view.Owner == m.cfg.Self
	switch {
	case !owner && m.resigning, owner && m.resigning && !r.view.Copy.IsZero():
		r.phase = phaseResigning
		r.retryAt = now
		m.tickResigning(now, r)
	case !owner:
		if m.Gone(r.view.Owner) {
			m.alone(now, r, "took over: the owner is gone")
		}
	case r.view.Copy.IsZero():
		m.recruit(now, r)
	case m.Gone(r.view.Copy):
		m.alone(now, r, "the copy is gone")
		m.recruit(now, r)
	case !r.committed && now >= r.retryAt:
		q := m.to(r.view.Copy.VM)
		q.commits = append(q.commits, r.view)
		r.retryAt = now.Add(m.cfg.Retry)
	}
}
