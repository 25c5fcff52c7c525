// Package mesh connects the VMs of a fleet without a list of VMs from the platform:
// a VM greets the addresses that its settings name, learns the VMs of its region from
// the answers, and keeps those that it hears. Reports go in datagrams, whole copies
// of the state over TCP.
package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Times of the membership.
const (
	greetInterval = 150 * time.Millisecond // between two greetings of one address while no VM is known
	greetMember   = time.Second            // between two greetings of a member that is silent
	greetSeeds    = 10 * time.Second       // between two greetings of the seeds by a VM that has members
	gossipNew     = 300 * time.Millisecond // between two greetings of a heard member by a VM that has just started
	gossipOld     = 2 * time.Second        // the same later; answers name VMs that this one has not met
	newFor        = 5 * time.Second        // how long a VM counts as just started
	silentAfter   = 2500 * time.Millisecond
	forgetAfter   = 60 * time.Second
	listedFor     = 10 * time.Second // members heard within this time are told to others
	delegateFor   = 15 * time.Second // a VM of another region that was heard within this time stands for its region
	lonelyAfter   = time.Second      // a VM without members asks the store for addresses after this time
)

// maxListed bounds the members in one welcome, so that it fits into a datagram.
const maxListed = 48

// Member is one VM as it is told to others.
type Member struct {
	ID     fleet.VMID   `msgpack:"i"`
	Addr   string       `msgpack:"a"`
	Region fleet.Region `msgpack:"r"`
	Zone   fleet.Zone   `msgpack:"z"`
}

// member is one row of the table of VMs.
type member struct {
	Member
	added   fleet.Time
	heard   fleet.Time // 0: never
	greeted fleet.Time
	lost    bool // it is silent, and that was noted
}

// Members is the deterministic table of VMs that one VM knows.
type Members struct {
	self     Member
	seeds    []string
	rows     map[fleet.VMID]*member
	greeted  fleet.Time         // last greeting of the seeds
	gossiped fleet.Time         // last greeting of a heard member
	relayed  int                // turn of the VMs that relay to other zones
	turn     int                // of the heard members that are greeted one after the other
	fleet    int                // largest number of VMs that this or another VM knew
	zones    map[fleet.Zone]int // VMs of other zones, by their digests
	events   []fleet.Event
	begun    bool
	started  fleet.Time // first greeting
}

// NewMembers returns a table that knows only the seeds' addresses.
func NewMembers(self Member, seeds []string) *Members {
	return &Members{self: self, seeds: seeds, rows: make(map[fleet.VMID]*member), zones: make(map[fleet.Zone]int)}
}

// Greetings returns the addresses to greet now.
func (m *Members) Greetings(now fleet.Time) []string {
	if !m.begun {
		m.begun, m.started = true, now
	}
	var out []string
	alone, leads := m.Heard(now) == 0, m.ZoneRank(now) == 0
	interval := greetSeeds
	if alone {
		interval = greetInterval
	}
	if m.greeted == 0 || (alone || leads) && now.Sub(m.greeted) >= interval {
		m.greeted = max(now, 1)
		for _, s := range m.seeds {
			if s != m.self.Addr {
				out = append(out, s)
			}
		}
	}
	away := m.unheardAway(now)
	for id, r := range m.rows {
		if now.Sub(max(r.heard, r.added)) > forgetAfter {
			delete(m.rows, id)
			continue
		}
		if (r.Region == m.self.Region && !r.live(now) || leads && away[r]) && (r.greeted == 0 || now.Sub(r.greeted) >= greetMember) {
			r.greeted = max(now, 1)
			out = append(out, r.Addr)
		}
	}
	if a := m.gossip(now); a != "" {
		out = append(out, a)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// unheardAway returns the VMs of those zones of other regions in which none was heard
// lately. The first VM of each zone greets them, since it sends the zone's digests.
func (m *Members) unheardAway(now fleet.Time) map[*member]bool {
	heard := m.newest(now, func(r *member) bool { return r.Region != m.self.Region })
	out := make(map[*member]bool)
	for _, r := range m.rows {
		if r.Region != m.self.Region && heard[r.Zone] == nil {
			out[r] = true
		}
	}
	return out
}

// gossip returns the address of the heard member whose turn it is to be greeted.
// Two VMs that started at the same moment learn of each other in this way.
func (m *Members) gossip(now fleet.Time) string {
	interval := gossipOld
	if now.Sub(m.started) < newFor {
		interval = gossipNew
	}
	if now.Sub(m.gossiped) < interval {
		return ""
	}
	zone, region := m.Peers(now)
	peers := append(zone, region...)
	if len(peers) == 0 {
		return ""
	}
	slices.Sort(peers)
	m.gossiped = now
	m.turn++
	return peers[m.turn%len(peers)]
}

// Lonely reports whether the VM has found no other VM for a while.
func (m *Members) Lonely(now fleet.Time) bool {
	return m.begun && now.Sub(m.started) > lonelyAfter && m.Heard(now) == 0
}

// AddSeeds adds addresses to greet.
func (m *Members) AddSeeds(addresses []string) {
	for _, a := range addresses {
		if a != "" && !slices.Contains(m.seeds, a) {
			m.seeds = append(m.seeds, a)
			m.greeted = 0
		}
	}
}

func (r *member) live(now fleet.Time) bool { return r.heard != 0 && now.Sub(r.heard) <= silentAfter }

// Hear notes a datagram of a VM, and reports whether its row is known.
func (m *Members) Hear(now fleet.Time, id fleet.VMID) bool {
	r := m.rows[id]
	if r == nil {
		return false
	}
	if !r.live(now) {
		m.event("peer_found", id)
	}
	r.heard, r.lost = max(now, 1), false
	return true
}

// Learn adds a VM; direct tells that the VM itself spoke.
func (m *Members) Learn(now fleet.Time, v Member, direct bool) {
	if v.ID == m.self.ID || v.ID == "" || v.Addr == "" {
		return
	}
	r := m.rows[v.ID]
	if r == nil {
		r = &member{added: now}
		m.rows[v.ID] = r
	}
	if direct || r.Addr == "" {
		r.Member = v
	}
	if direct {
		m.Hear(now, v.ID)
	}
}

// Known returns a hash of the VMs of this region that were heard lately, this one
// included; 0 if no other was heard.
func (m *Members) Known(now fleet.Time) uint64 {
	hash, others := xxhash.Sum64String(string(m.self.ID)), 0
	for id, r := range m.rows {
		if r.Region == m.self.Region && r.listed(now) {
			hash ^= xxhash.Sum64String(string(id))
			others++
		}
	}
	if others == 0 {
		return 0
	}
	return max(hash, 1)
}

// ListFor returns the VMs to name to a VM that knows those of the hash: none when it
// knows the same ones, or others of its own region, which tell it the rest.
func (m *Members) ListFor(now fleet.Time, v Member, known uint64) []Member {
	if known != 0 && (v.Region != m.self.Region || known == m.Known(now)) {
		return nil
	}
	return m.Listed(now, v.Region)
}

func (r *member) listed(now fleet.Time) bool { return r.heard != 0 && now.Sub(r.heard) <= listedFor }

// Listed returns the VMs of a region that were heard lately, and one of each zone
// elsewhere.
func (m *Members) Listed(now fleet.Time, region fleet.Region) []Member {
	list := []Member{m.self}
	for _, r := range m.rows {
		if r.Region == region && r.listed(now) && len(list) < maxListed {
			list = append(list, r.Member)
		}
	}
	// One VM of each zone elsewhere, so that digests reach the other regions.
	for _, r := range m.newest(now, func(r *member) bool { return r.Region != region }) {
		list = append(list, r.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Delegates returns the address of one VM of each other zone, for the zones of this
// region and for those of the others. It is the VM that was heard last.
func (m *Members) Delegates(now fleet.Time) (region, far []string) {
	for _, r := range m.newest(now, func(r *member) bool { return r.Zone != m.self.Zone }) {
		if r.Region == m.self.Region {
			region = append(region, r.Addr)
		} else {
			far = append(far, r.Addr)
		}
	}
	slices.Sort(region)
	slices.Sort(far)
	return region, far
}

// newest returns the VM that was heard last of each zone, among those that match.
func (m *Members) newest(now fleet.Time, match func(*member) bool) map[fleet.Zone]*member {
	best := make(map[fleet.Zone]*member)
	for _, r := range m.rows {
		if r.heard == 0 || now.Sub(r.heard) > delegateFor || !match(r) {
			continue
		}
		if b := best[r.Zone]; b == nil || r.heard > b.heard || r.heard == b.heard && r.ID < b.ID {
			best[r.Zone] = r
		}
	}
	return best
}

// ZoneRank returns the place of this VM among the heard VMs of its zone.
func (m *Members) ZoneRank(now fleet.Time) int {
	rank := 0
	for id, r := range m.rows {
		if id < m.self.ID && r.Zone == m.self.Zone && r.live(now) {
			rank++
		}
	}
	return rank
}

// LiveZones returns the zones of this region in which a VM is heard, this VM's
// included.
func (m *Members) LiveZones(now fleet.Time) map[fleet.Zone]bool {
	out := map[fleet.Zone]bool{m.self.Zone: true}
	for _, r := range m.rows {
		if r.Region == m.self.Region && r.live(now) {
			out[r.Zone] = true
		}
	}
	return out
}

// SetFleet notes how many VMs another VM knows.
func (m *Members) SetFleet(n int) { m.fleet = max(m.fleet, n) }

// SetZone notes how many VMs another zone has, as its digests say.
func (m *Members) SetZone(zone fleet.Zone, n int) { m.zones[zone] = max(m.zones[zone], n) }

// Zone returns the number of VMs of this zone as far as known.
func (m *Members) Zone() int {
	n := 1
	for _, r := range m.rows {
		if r.Zone == m.self.Zone {
			n++
		}
	}
	return n
}

// Fleet returns the number of VMs of the fleet as far as known. It is never too small
// for long, since it divides the repeat budget.
func (m *Members) Fleet() int {
	seen := make(map[fleet.Zone]int)
	for _, r := range m.rows {
		seen[r.Zone]++
	}
	seen[m.self.Zone]++
	for zone, n := range m.zones {
		seen[zone] = max(seen[zone], n)
	}
	sum := 0
	for _, n := range seen {
		sum += n
	}
	m.fleet = max(m.fleet, sum)
	return m.fleet
}

// Heard returns the number of other VMs of the region that are heard.
func (m *Members) Heard(now fleet.Time) int {
	n := 0
	for _, r := range m.rows {
		if r.Region == m.self.Region && r.live(now) {
			n++
		}
	}
	return n
}

// Peers returns the addresses of the heard VMs of this VM's zone and of the region's
// other zones.
func (m *Members) Peers(now fleet.Time) (zone, region []string) {
	for _, r := range m.rows {
		switch {
		case !r.live(now) || r.Region != m.self.Region:
		case r.Zone == m.self.Zone:
			zone = append(zone, r.Addr)
		default:
			region = append(region, r.Addr)
		}
	}
	return zone, region
}

// Relays returns the addresses of n heard VMs of each other zone of the region. They
// change with each call, so that one that has vanished without notice misses few
// messages.
func (m *Members) Relays(now fleet.Time, n int) []string {
	zones := make(map[fleet.Zone][]string)
	for _, r := range m.rows {
		if r.Region == m.self.Region && r.Zone != m.self.Zone && r.live(now) {
			zones[r.Zone] = append(zones[r.Zone], r.Addr)
		}
	}
	var out []string
	for _, list := range zones {
		slices.Sort(list)
		for i := range min(n, len(list)) {
			out = append(out, list[(m.relayed+i)%len(list)])
		}
	}
	m.relayed += n
	slices.Sort(out)
	return out
}

// Rank returns the place of a VM among the heard VMs of the region.
func (m *Members) Rank(now fleet.Time, id fleet.VMID) int {
	rank := 0
	if m.self.ID < id {
		rank++
	}
	for other, r := range m.rows {
		if other < id && r.Region == m.self.Region && r.live(now) {
			rank++
		}
	}
	return rank
}

// Addr returns the address of a VM.
func (m *Members) Addr(id fleet.VMID) (string, bool) {
	r := m.rows[id]
	if r == nil {
		return "", false
	}
	return r.Addr, true
}

// Events returns what changed since the last call.
func (m *Members) Events(now fleet.Time) []fleet.Event {
	for id, r := range m.rows {
		if r.heard != 0 && !r.lost && !r.live(now) && r.Region == m.self.Region {
			r.lost = true
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
