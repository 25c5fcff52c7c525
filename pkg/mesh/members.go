// Package mesh implements membership and messaging of a fleet's VMs without a list of VMs
// from the platform: a VM sends a Hello to the seed addresses in its settings, receives the
// VMs of its region in the replies, and keeps those that it receives messages from. Reports
// are sent in datagrams, snapshots of the state over TCP.
package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Intervals and timeouts of the membership protocol.
const (
	joinInterval          = 150 * time.Millisecond // between two Hellos to the seeds while no VM of the region is live
	silentMemberInterval  = time.Second            // between two Hellos to a silent member
	seedInterval          = 10 * time.Second       // between two Hellos to the seeds by a zone's first VM otherwise
	startupGossipInterval = 300 * time.Millisecond // between two Hellos to live members in the startupPeriod
	gossipInterval        = 2 * time.Second        // the same later; the replies list VMs unknown to this one
	startupPeriod         = 5 * time.Second        // time after the start in which startupGossipInterval applies
	silenceTimeout        = 2500 * time.Millisecond
	memberRetention       = 60 * time.Second
	listingPeriod         = 10 * time.Second       // members heard from within this time are listed in a Welcome
	delegatePeriod        = 15 * time.Second       // a VM heard from within this time can be the delegate of its zone
	isolationTimeout      = time.Second            // a VM without live peers reads addresses from the store after this time
	silentHelloSpacing    = 100 * time.Millisecond // between two Hellos to any silent members
)

// maxListedMembers bounds the members in one Welcome, which must fit into a datagram.
const maxListedMembers = 96

// maxFleetSize bounds the number of VMs that is believed of a peer. FleetSize never decreases, so a
// single wrong number would leave this VM without retries.
const maxFleetSize = 1 << 17

// Member identifies a VM to other VMs.
type Member struct {
	ID     fleet.VMID   `msgpack:"i"`
	Addr   string       `msgpack:"a"`
	Region fleet.Region `msgpack:"r"`
	Zone   fleet.Zone   `msgpack:"z"`
	Cores  float64      `msgpack:"c,omitempty"` // processor share; 0 if unknown
}

// ListedMember is a member in a Welcome.
type ListedMember struct {
	Member
	SilentMS int64 `msgpack:"s"` // milliseconds since the lister heard from the VM
}

// precedes reports whether a VM ranks before another one. VMs with more processor rank first,
// because the first VM of a zone relays for the others.
func (v Member) precedes(other Member) bool {
	if v.Cores != other.Cores {
		return v.Cores > other.Cores
	}
	return v.ID < other.ID
}

func compareRank(a, b Member) int {
	switch {
	case a.precedes(b):
		return -1
	case b.precedes(a):
		return 1
	}
	return 0
}

// member is the state of another VM.
type member struct {
	Member
	added        fleet.Time
	lastHeard    fleet.Time // 0: never
	lastHello    fleet.Time
	lossReported bool       // an event for its silence was emitted
	relaySuspect fleet.Time // not used as a relay until then
}

// Members is the table of VMs that are known to one VM. It is deterministic: it uses no
// clock, socket or goroutine.
type Members struct {
	self            Member
	seeds           []string
	members         map[fleet.VMID]*member
	live            *liveMembers
	lastSeedHello   fleet.Time         // of all seeds
	lastSilentHello fleet.Time         // to a silent member
	lastGossip      fleet.Time         // to a live member
	relayIndex      int                // round-robin position in the VMs that relay to other zones
	gossipIndex     int                // round-robin position in the live members to send a Hello to
	listIndex       int                // round-robin position in the region's members to list
	fleetSize       int                // largest number of VMs known so far to this VM or a peer
	zoneSizes       map[fleet.Zone]int // numbers of VMs of other zones, from their digests
	relay           relayState
	events          []fleet.Event
	needsState      bool // this VM has no complete state yet and looks for a VM that has
	hasStarted      bool
	startTime       fleet.Time // time of the first call of HelloTargets
}

// NewMembers returns a table without members, whose first Hellos go to the seed addresses.
func NewMembers(self Member, seeds []string) *Members {
	return &Members{self: self, seeds: seeds, members: make(map[fleet.VMID]*member), zoneSizes: make(map[fleet.Zone]int)}
}

// HelloTargets returns the addresses to send a Hello to now.
func (m *Members) HelloTargets(now fleet.Time) []string {
	if !m.hasStarted {
		m.hasStarted, m.startTime = true, now
	}
	var out []string
	isolated, leadsZone := m.LivePeers(now) == 0, m.ZoneRank(now) == 0
	interval := seedInterval
	if isolated {
		interval = joinInterval
	}
	if m.lastSeedHello == 0 || (isolated || leadsZone) && now.Sub(m.lastSeedHello) >= interval {
		m.lastSeedHello = max(now, 1)
		for _, s := range m.seeds {
			if s != m.self.Addr {
				out = append(out, s)
			}
		}
	}
	if vm := m.silentTarget(now, leadsZone); vm != nil {
		m.lastSilentHello, vm.lastHello = max(now, 1), max(now, 1)
		out = append(out, vm.Addr)
	}
	if a := m.gossipTarget(now); a != "" {
		out = append(out, a)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// silentTarget removes members that were silent for memberRetention and returns the next silent
// member to send a Hello to, or nil if none is due. Silent VMs of the region get one each
// silentMemberInterval, at most one per silentHelloSpacing, so that the loss of many VMs causes
// no burst of Hellos.
func (m *Members) silentTarget(now fleet.Time, leadsZone bool) *member {
	unreached := make(map[*member]bool)
	if leadsZone {
		unreached = m.unreachedRemotes(now)
	}
	var next *member
	for id, vm := range m.members {
		switch {
		case now.Sub(max(vm.lastHeard, vm.added)) > memberRetention:
			delete(m.members, id)
			m.live = nil
		case !(vm.Region == m.self.Region && !vm.isLive(now) || unreached[vm]):
		case vm.lastHello != 0 && now.Sub(vm.lastHello) < silentMemberInterval:
		case next == nil || vm.lastHello < next.lastHello || vm.lastHello == next.lastHello && vm.precedes(next.Member):
			next = vm
		}
	}
	if m.lastSilentHello != 0 && now.Sub(m.lastSilentHello) < silentHelloSpacing {
		return nil
	}
	return next
}

// unreachedRemotes returns the VMs of those zones of other regions in which no VM was
// heard from recently. The first VM of each zone sends a Hello to them, since it sends the
// zone's digests.
func (m *Members) unreachedRemotes(now fleet.Time) map[*member]bool {
	reached := m.latestByZone(now, func(vm *member) bool { return vm.Region != m.self.Region })
	out := make(map[*member]bool)
	for _, vm := range m.members {
		if vm.Region != m.self.Region && reached[vm.Zone] == nil {
			out[vm] = true
		}
	}
	return out
}

// SetNeedsState sets whether this VM looks for a VM with a complete state. In the startupPeriod it then
// greets live members more often.
func (m *Members) SetNeedsState(needs bool) { m.needsState = needs }

// gossipTarget returns the address of the next live member to send a Hello to, or "" if none
// is due. VMs that started at the same time discover each other in this way.
func (m *Members) gossipTarget(now fleet.Time) string {
	interval := gossipInterval
	switch {
	case now.Sub(m.startTime) >= startupPeriod:
	case m.needsState:
		interval = joinInterval
	default:
		interval = startupGossipInterval
	}
	if now.Sub(m.lastGossip) < interval {
		return ""
	}
	zone, region := m.Peers(now)
	peers := slices.Concat(zone, region)
	if len(peers) == 0 {
		return ""
	}
	slices.Sort(peers)
	m.lastGossip = now
	m.gossipIndex++
	return peers[m.gossipIndex%len(peers)]
}

// Isolated reports whether the VM is isolated: it has had time to find a live VM of its
// region and has none.
func (m *Members) Isolated(now fleet.Time) bool {
	return m.hasStarted && now.Sub(m.startTime) > isolationTimeout && m.LivePeers(now) == 0
}

// AddSeeds adds seed addresses. If any is new, a Hello to all seeds is due again.
func (m *Members) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != "" && !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
			m.lastSeedHello = 0
		}
	}
}

func (vm *member) isLive(now fleet.Time) bool {
	return vm.lastHeard != 0 && now.Sub(vm.lastHeard) <= silenceTimeout
}

// RecordHeard records a message from a VM, direct or relayed, and reports whether the VM is a member.
func (m *Members) RecordHeard(now fleet.Time, id fleet.VMID) bool {
	vm := m.members[id]
	if vm == nil {
		return false
	}
	m.heard(now, now, vm)
	return true
}

// heard records that a VM was heard from at a time up to now.
func (m *Members) heard(now, at fleet.Time, vm *member) {
	wasLive := vm.isLive(now)
	vm.lastHeard = max(vm.lastHeard, at, 1)
	if !wasLive && vm.isLive(now) {
		m.event("peer_found", vm.ID)
		vm.lossReported, m.live = false, nil
	}
}

// Add adds a VM that sent a message to this VM.
func (m *Members) Add(now fleet.Time, info Member) {
	if vm := m.add(now, info, true); vm != nil {
		m.heard(now, now, vm)
		vm.relaySuspect = 0
	}
}

// AddListed adds a VM that another VM listed. It counts as heard from when the lister heard from it.
func (m *Members) AddListed(now fleet.Time, info ListedMember) {
	vm := m.add(now, info.Member, false)
	if age := time.Duration(info.SilentMS) * time.Millisecond; vm != nil && info.SilentMS >= 0 && info.SilentMS < listingPeriod.Milliseconds() && now.Sub(0) > age {
		m.heard(now, now.Add(-age), vm)
	}
}

// add returns the member with the ID of info, or nil for this VM or incomplete information. The
// information of a known member is only replaced by its own.
func (m *Members) add(now fleet.Time, info Member, direct bool) *member {
	if info.ID == m.self.ID || info.ID == "" || info.Addr == "" {
		return nil
	}
	if !(info.Cores >= 0) {
		info.Cores = 0
	}
	vm := m.members[info.ID]
	if vm == nil {
		vm = &member{added: now}
		m.members[info.ID] = vm
	}
	if (direct || vm.Addr == "") && vm.Member != info {
		vm.Member, m.live = info, nil
	}
	return vm
}

// KnownHash returns a hash of the VMs of this region heard from recently, this one included; 0 if
// there is no other.
func (m *Members) KnownHash(now fleet.Time) uint64 {
	hash, others := xxhash.Sum64String(string(m.self.ID)), 0
	for id, vm := range m.members {
		if vm.Region == m.self.Region && vm.recentlyHeard(now) {
			hash ^= xxhash.Sum64String(string(id))
			others++
		}
	}
	if others == 0 {
		return 0
	}
	return max(hash, 1)
}

// ListUnknownTo returns the members to list in a Welcome to v. Known is the KnownHash of v: none
// are listed if it equals this VM's, or if v is in another region and has heard from VMs
// there, which list the rest.
func (m *Members) ListUnknownTo(now fleet.Time, v Member, known uint64) []ListedMember {
	if known != 0 && (v.Region != m.self.Region || known == m.KnownHash(now)) {
		return nil
	}
	return m.List(now, v)
}

func (vm *member) recentlyHeard(now fleet.Time) bool {
	return vm.lastHeard != 0 && now.Sub(vm.lastHeard) <= listingPeriod
}

// List returns the VMs to list to v: VMs of its region heard from recently, first those of its
// zone, and one VM of each zone of the other regions. Of a region with more VMs than fit into
// one Welcome, each call lists other ones.
func (m *Members) List(now fleet.Time, v Member) []ListedMember {
	list := []ListedMember{{Member: m.self}}
	var zone, region []*member
	for _, vm := range m.members {
		switch {
		case vm.Region != v.Region || !vm.recentlyHeard(now) || vm.ID == v.ID:
		case vm.Zone == v.Zone:
			zone = append(zone, vm)
		default:
			region = append(region, vm)
		}
	}
	for _, group := range [][]*member{zone, region} {
		slices.SortFunc(group, func(a, b *member) int { return compareRank(a.Member, b.Member) })
		n := min(len(group), maxListedMembers-len(list))
		start := 0
		if n < len(group) {
			start = m.listIndex
			m.listIndex += n
		}
		for i := range n {
			list = append(list, group[(start+i)%len(group)].listed(now))
		}
	}
	// One VM of each zone of the other regions, so that digests can be sent there.
	for _, vm := range m.latestByZone(now, func(vm *member) bool { return vm.Region != v.Region }) {
		list = append(list, vm.listed(now))
	}
	slices.SortFunc(list, func(a, b ListedMember) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (vm *member) listed(now fleet.Time) ListedMember {
	return ListedMember{vm.Member, now.Sub(vm.lastHeard).Milliseconds()}
}

// Delegates returns the address of one VM of each other zone, the one heard from last, for the
// zones of this region and of the other regions.
func (m *Members) Delegates(now fleet.Time) (region, otherRegions []string) {
	for _, vm := range m.latestByZone(now, func(vm *member) bool { return vm.Zone != m.self.Zone }) {
		if vm.Region == m.self.Region {
			region = append(region, vm.Addr)
		} else {
			otherRegions = append(otherRegions, vm.Addr)
		}
	}
	slices.Sort(region)
	slices.Sort(otherRegions)
	return region, otherRegions
}

// latestByZone returns the VM heard from last in each zone, among those that match.
func (m *Members) latestByZone(now fleet.Time, match func(*member) bool) map[fleet.Zone]*member {
	latest := make(map[fleet.Zone]*member)
	for _, vm := range m.members {
		if vm.lastHeard == 0 || now.Sub(vm.lastHeard) > delegatePeriod || !match(vm) {
			continue
		}
		if best := latest[vm.Zone]; best == nil || vm.lastHeard > best.lastHeard || vm.lastHeard == best.lastHeard && vm.ID < best.ID {
			latest[vm.Zone] = vm
		}
	}
	return latest
}

// ZoneRank returns the rank of this VM among the live VMs of its zone.
func (m *Members) ZoneRank(now fleet.Time) int {
	rank := 0
	for _, vm := range m.liveMembers(now).zone {
		if vm.precedes(m.self) {
			rank++
		}
	}
	return rank
}

// reporterTimeout is how long the first VM of a zone is silent until the next one reports for the zone. It is shorter
// than silenceTimeout: two VMs that report for a while cost little.
const reporterTimeout = time.Second

// ReportsForZone reports whether this VM tells other zones of the use of quotas in its zone.
func (m *Members) ReportsForZone(now fleet.Time) bool {
	for _, vm := range m.liveMembers(now).zone {
		if vm.precedes(m.self) && now.Sub(vm.lastHeard) <= reporterTimeout {
			return false
		}
	}
	return true
}

// Alone reports whether there are other VMs, and none was heard since this VM started.
func (m *Members) Alone() bool {
	for _, vm := range m.members {
		if vm.lastHeard != 0 {
			return false
		}
	}
	return slices.ContainsFunc(m.seeds, func(addr string) bool { return addr != m.self.Addr })
}

// LiveZones returns the zones of this region with a live VM, this VM's zone included.
func (m *Members) LiveZones(now fleet.Time) map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{m.self.Zone: true}
	for _, vm := range m.liveMembers(now).region {
		out[vm.Zone] = true
	}
	return out
}

// RecordFleetSize records the number of VMs known to a peer.
func (m *Members) RecordFleetSize(n int) {
	if n <= maxFleetSize {
		m.fleetSize = max(m.fleetSize, n)
	}
}

// RecordZoneSize records the number of VMs of another zone, from its digests.
func (m *Members) RecordZoneSize(zone fleet.Zone, n int) {
	if n <= maxFleetSize {
		m.zoneSizes[zone] = max(m.zoneSizes[zone], n)
	}
}

// ZoneSize returns the number of known VMs of this zone, this one included.
func (m *Members) ZoneSize() int {
	n := 1
	for _, vm := range m.members {
		if vm.Zone == m.self.Zone {
			n++
		}
	}
	return n
}

// FleetSize returns the number of known VMs of the fleet. It never decreases: the number
// divides the retry budget, and one that is too small would let the fleet exceed it.
func (m *Members) FleetSize() int {
	sizes := make(map[fleet.Zone]int)
	for _, vm := range m.members {
		sizes[vm.Zone]++
	}
	sizes[m.self.Zone]++
	for zone, n := range m.zoneSizes {
		sizes[zone] = max(sizes[zone], n)
	}
	sum := 0
	for _, n := range sizes {
		sum += n
	}
	m.fleetSize = max(m.fleetSize, sum)
	return m.fleetSize
}

// LivePeers returns the number of other live VMs of the region.
func (m *Members) LivePeers(now fleet.Time) int {
	live := m.liveMembers(now)
	return len(live.zone) + len(live.region)
}

// Peers returns the addresses of the live VMs of this VM's zone and of the region's other
// zones, in the order of their ranks. The caller must not change them.
func (m *Members) Peers(now fleet.Time) (zone, region []string) {
	live := m.liveMembers(now)
	return live.zoneAddrs, live.regionAddrs
}

// Rank returns the rank of a VM among the live VMs of the region.
func (m *Members) Rank(now fleet.Time, id fleet.VMID) int {
	v := Member{ID: id}
	if id == m.self.ID {
		v = m.self
	} else if vm := m.members[id]; vm != nil {
		v = vm.Member
	}
	rank := 0
	if m.self.precedes(v) {
		rank++
	}
	live := m.liveMembers(now)
	for _, group := range [][]*member{live.zone, live.region} {
		for _, vm := range group {
			if vm.precedes(v) {
				rank++
			}
		}
	}
	return rank
}

// Addr returns the address of a VM.
func (m *Members) Addr(id fleet.VMID) (string, bool) {
	vm := m.members[id]
	if vm == nil {
		return "", false
	}
	return vm.Addr, true
}

// Region returns the region of a VM.
func (m *Members) Region(id fleet.VMID) (fleet.Region, bool) {
	vm := m.members[id]
	if vm == nil {
		return "", false
	}
	return vm.Region, true
}

// Events returns and clears the events since the last call.
func (m *Members) Events(now fleet.Time) []fleet.Event {
	m.liveMembers(now)
	out := m.events
	m.events = nil
	return out
}

func (m *Members) event(kind fleet.EventKind, id fleet.VMID) {
	m.events = append(m.events, fleet.Event{Kind: kind, Reason: string(id)})
}
