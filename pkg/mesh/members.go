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
	listingPeriod         = 10 * time.Second // members heard from within this time are listed in a Welcome
	delegatePeriod        = 15 * time.Second // a VM heard from within this time can be the delegate of its zone
	isolationTimeout      = time.Second      // a VM without live peers reads addresses from the store after this time
)

// maxListedMembers bounds the members in one Welcome, which must fit into a datagram.
const maxListedMembers = 48

// Member identifies a VM to other VMs.
type Member struct {
	ID     fleet.VMID   `msgpack:"i"`
	Addr   string       `msgpack:"a"`
	Region fleet.Region `msgpack:"r"`
	Zone   fleet.Zone   `msgpack:"z"`
}

// member is the state of another VM.
type member struct {
	Member
	added        fleet.Time
	lastHeard    fleet.Time // 0: never
	lastHello    fleet.Time
	lossReported bool // an event for its silence was emitted
}

// Members is the table of VMs that are known to one VM. It is deterministic: it uses no
// clock, socket or goroutine.
type Members struct {
	self          Member
	seeds         []string
	members       map[fleet.VMID]*member
	lastSeedHello fleet.Time         // of all seeds
	lastGossip    fleet.Time         // to a live member
	relayIndex    int                // round-robin position in the VMs that relay to other zones
	gossipIndex   int                // round-robin position in the live members to send a Hello to
	fleetSize     int                // largest number of VMs known so far to this VM or a peer
	zoneSizes     map[fleet.Zone]int // numbers of VMs of other zones, from their digests
	events        []fleet.Event
	hasStarted    bool
	startTime     fleet.Time // time of the first call of HelloTargets
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
	unreached := m.unreachedRemotes(now)
	for id, vm := range m.members {
		if now.Sub(max(vm.lastHeard, vm.added)) > memberRetention {
			delete(m.members, id)
			continue
		}
		if (vm.Region == m.self.Region && !vm.isLive(now) || leadsZone && unreached[vm]) && (vm.lastHello == 0 || now.Sub(vm.lastHello) >= silentMemberInterval) {
			vm.lastHello = max(now, 1)
			out = append(out, vm.Addr)
		}
	}
	if a := m.gossipTarget(now); a != "" {
		out = append(out, a)
	}
	slices.Sort(out)
	return slices.Compact(out)
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

// gossipTarget returns the address of the next live member to send a Hello to, or "" if none
// is due. VMs that started at the same time discover each other in this way.
func (m *Members) gossipTarget(now fleet.Time) string {
	interval := gossipInterval
	if now.Sub(m.startTime) < startupPeriod {
		interval = startupGossipInterval
	}
	if now.Sub(m.lastGossip) < interval {
		return ""
	}
	zone, region := m.Peers(now)
	peers := append(zone, region...)
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

// RecordHeard records a datagram from a VM, and reports whether the VM is a member.
func (m *Members) RecordHeard(now fleet.Time, id fleet.VMID) bool {
	vm := m.members[id]
	if vm == nil {
		return false
	}
	if !vm.isLive(now) {
		m.event("peer_found", id)
	}
	vm.lastHeard, vm.lossReported = max(now, 1), false
	return true
}

// Add adds a VM; direct means that the information came from the VM itself.
func (m *Members) Add(now fleet.Time, info Member, direct bool) {
	if info.ID == m.self.ID || info.ID == "" || info.Addr == "" {
		return
	}
	vm := m.members[info.ID]
	if vm == nil {
		vm = &member{added: now}
		m.members[info.ID] = vm
	}
	if direct || vm.Addr == "" {
		vm.Member = info
	}
	if direct {
		m.RecordHeard(now, info.ID)
	}
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
func (m *Members) ListUnknownTo(now fleet.Time, v Member, known uint64) []Member {
	if known != 0 && (v.Region != m.self.Region || known == m.KnownHash(now)) {
		return nil
	}
	return m.List(now, v.Region)
}

func (vm *member) recentlyHeard(now fleet.Time) bool {
	return vm.lastHeard != 0 && now.Sub(vm.lastHeard) <= listingPeriod
}

// List returns the VMs of a region heard from recently, and one VM of each zone of the
// other regions.
func (m *Members) List(now fleet.Time, region fleet.Region) []Member {
	list := []Member{m.self}
	for _, vm := range m.members {
		if vm.Region == region && vm.recentlyHeard(now) && len(list) < maxListedMembers {
			list = append(list, vm.Member)
		}
	}
	// One VM of each zone of the other regions, so that digests can be sent there.
	for _, vm := range m.latestByZone(now, func(vm *member) bool { return vm.Region != region }) {
		list = append(list, vm.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
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
	for id, vm := range m.members {
		if id < m.self.ID && vm.Zone == m.self.Zone && vm.isLive(now) {
			rank++
		}
	}
	return rank
}

// LiveZones returns the zones of this region with a live VM, this VM's zone included.
func (m *Members) LiveZones(now fleet.Time) map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{m.self.Zone: true}
	for _, vm := range m.members {
		if vm.Region == m.self.Region && vm.isLive(now) {
			out[vm.Zone] = true
		}
	}
	return out
}

// RecordFleetSize records the number of VMs known to a peer.
func (m *Members) RecordFleetSize(n int) { m.fleetSize = max(m.fleetSize, n) }

// RecordZoneSize records the number of VMs of another zone, from its digests.
func (m *Members) RecordZoneSize(zone fleet.Zone, n int) {
	m.zoneSizes[zone] = max(m.zoneSizes[zone], n)
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
	n := 0
	for _, vm := range m.members {
		if vm.Region == m.self.Region && vm.isLive(now) {
			n++
		}
	}
	return n
}

// Peers returns the addresses of the live VMs of this VM's zone and of the region's other
// zones.
func (m *Members) Peers(now fleet.Time) (zone, region []string) {
	for _, vm := range m.members {
		switch {
		case !vm.isLive(now) || vm.Region != m.self.Region:
		case vm.Zone == m.self.Zone:
			zone = append(zone, vm.Addr)
		default:
			region = append(region, vm.Addr)
		}
	}
	return zone, region
}

// Relays returns the addresses of n live VMs of each other zone of the region. They rotate
// with each call, so that few messages are lost at a VM whose failure is not yet detected.
func (m *Members) Relays(now fleet.Time, n int) []string {
	zones := make(map[fleet.Zone][]string)
	for _, vm := range m.members {
		if vm.Region == m.self.Region && vm.Zone != m.self.Zone && vm.isLive(now) {
			zones[vm.Zone] = append(zones[vm.Zone], vm.Addr)
		}
	}
	var out []string
	for _, list := range zones {
		slices.Sort(list)
		for i := range min(n, len(list)) {
			out = append(out, list[(m.relayIndex+i)%len(list)])
		}
	}
	m.relayIndex += n
	slices.Sort(out)
	return out
}

// Rank returns the rank of a VM among the live VMs of the region.
func (m *Members) Rank(now fleet.Time, id fleet.VMID) int {
	rank := 0
	if m.self.ID < id {
		rank++
	}
	for other, vm := range m.members {
		if other < id && vm.Region == m.self.Region && vm.isLive(now) {
			rank++
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

// Events returns and clears the events since the last call.
func (m *Members) Events(now fleet.Time) []fleet.Event {
	for id, vm := range m.members {
		if vm.lastHeard != 0 && !vm.lossReported && !vm.isLive(now) && vm.Region == m.self.Region {
			vm.lossReported = true
			m.event("peer_lost", id)
		}
	}
	out := m.events
	m.events = nil
	return out
}

func (m *Members) event(kind fleet.EventKind, id fleet.VMID) {
	m.events = append(m.events, fleet.Event{Kind: kind, Reason: string(id)})
}
