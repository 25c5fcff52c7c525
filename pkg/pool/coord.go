package pool

import (
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Timing of a coordinator.
const (
	slowTickInterval  = 50 * time.Millisecond // interval of slowTick
	replicateInterval = 200 * time.Millisecond
	rebalanceInterval = 100 * time.Millisecond
	// leaseMargin is added to times that must be later than the end of a client's lease.
	leaseMargin = 250 * time.Millisecond
	// ejectionMargin is the same for ejection leases; clock rates may differ by up to 10%.
	ejectionMargin = ejectionLease / 10
)

// coord is the coordinator state of a pool. At the shard's owner it manages credits and
// ejections; at the copy it holds the replicated ejections and grants the static shares
// of clients that cannot reach the owner.
type coord struct {
	p            *Pools
	pool         *pool
	role         shard.Role
	version      uint64
	copyMember   fleet.Member // the copy in the current view; zero if there is none
	epoch        uint64
	supersededBy uint64     // a later version reported by another member
	grantFrom    fleet.Time // no slot is granted before this time; clients report what they hold first
	ejectFrom    fleet.Time // no server is ejected before this time

	clients          []*creditClient // sorted by VM
	clientsChanged   bool            // the set of clients with a valid lease changed
	totalOutstanding int
	totalSlots       int
	nextClient       int
	cutoff           int8 // lowest admission class that clients dispatch
	usedPct          int
	usedAvg          float64
	shortShareAvg    float64
	routeStats       []RouteStat
	routeStatsDirty  bool
	anyDraining      bool

	evidence          map[uint32]*routeEvidence
	routes            []*routeEvidence // in the order in which they were first seen
	alarms            []alarm
	ejections         []*ejection // sorted by server
	replicaSeq        uint64
	replicatedAt      fleet.Time
	replicaReceivedAt fleet.Time // at the copy: when the owner's last ejected set arrived
	replicaDirty      bool       // the ejected set changed since it was last replicated
	replicaAcked      uint64

	lastSlowTick   fleet.Time
	lastRebalance  fleet.Time
	lastRouteMerge fleet.Time
	lastCutoff     fleet.Time
	lastProbe      fleet.Time
	nextProbe      int
}

func newCoord(pl *pool) *coord {
	return &coord{p: pl.p, pool: pl, evidence: map[uint32]*routeEvidence{}, shortShareAvg: 1}
}

// activate applies a role and a version of the view.
func (c *coord) activate(now fleet.Time, role shard.Role, view shard.View) {
	if role == c.role && view.Version == c.version {
		return
	}
	remainsOwner := role == shard.RoleOwner && c.role == shard.RoleOwner
	c.role, c.version, c.copyMember = role, view.Version, view.Copy
	c.replicaAcked, c.replicaDirty = 0, true
	if remainsOwner {
		return // only the copy changed; clients, credits and evidence remain valid
	}
	c.restart(now, "role "+roleName(role))
}

func roleName(r shard.Role) string {
	switch r {
	case shard.RoleOwner:
		return "owner"
	case shard.RoleCopy:
		return "copy"
	}
	return "none"
}

// afterPause handles a pause of this process, during which another VM may have taken over.
func (c *coord) afterPause(now fleet.Time, gap time.Duration) {
	c.restart(now, "resumed after "+gap.Round(time.Millisecond).String())
}

// restart discards all credit state and waits for one lease so that clients can report
// what they hold.
func (c *coord) restart(now fleet.Time, reason string) {
	c.p.epoch++
	c.epoch = c.version<<20 | c.p.epoch&(1<<20-1)
	for _, cc := range c.clients {
		c.release(cc)
	}
	c.clients = nil
	c.totalOutstanding = 0
	for i := range c.pool.rows {
		r := &c.pool.rows[i].coord
		*r = coordRow{ejection: r.ejection, rampStart: r.rampStart, ramping: r.ramping}
	}
	c.evidence, c.routes, c.alarms = map[uint32]*routeEvidence{}, nil, nil
	c.cutoff = 0
	c.grantFrom = now.Add(creditLease + leaseMargin)
	c.clientsChanged = true
	c.onTableChange(now)
	c.p.event(EventCoordinator, c.pool.id, "", reason, map[string]string{
		"version": strconv.FormatUint(c.version, 10), "epoch": strconv.FormatUint(c.epoch, 10),
	})
}

// onTableChange updates the coordinator after a change of the server list.
func (c *coord) onTableChange(now fleet.Time) {
	if c.p.dir == nil {
		return
	}
	c.clientsChanged = true
	for i := range c.pool.rows {
		r := &c.pool.rows[i]
		if r.coldStart && r.listedAt == now && !r.coord.ramping {
			r.coord.ramping, r.coord.rampStart = true, now
		}
		if !r.acceptsWork(now) {
			c.recallRow(int32(i))
		}
	}
	c.linkEjections(now)
	c.enforceFloor(now)
}

// tick runs the coordinator's periodic work.
func (c *coord) tick(now fleet.Time) {
	if c.p.dir == nil {
		return
	}
	if !c.active() {
		return
	}
	c.expireClients(now)
	if c.role == shard.RoleOwner {
		c.processAlarms(now)
	}
	if now.Sub(c.lastSlowTick) >= slowTickInterval {
		c.lastSlowTick = now
		c.slowTick(now)
	}
	c.allocate(now)
	c.push(now)
}

// active reports whether this process holds its role in the version of this state and no
// later version has been reported.
func (c *coord) active() bool {
	role, version := c.p.cfg.Authority.Role(c.pool.shard)
	return role == c.role && role != shard.RoleNone && version == c.version && c.supersededBy <= version
}

// slowTick updates reservations, usage, cutoff and ejections, recalls excess credits and
// replicates the ejected set.
func (c *coord) slowTick(now fleet.Time) {
	if c.clientsChanged {
		c.updateReservations(now)
	}
	c.updateUsage(now)
	c.setCutoff(now)
	c.recallExcess(now)
	if now.Sub(c.lastRouteMerge) > routeStatInterval && c.routeStatsDirty {
		c.lastRouteMerge, c.routeStatsDirty = now, false
		c.mergeRoutes()
	}
	if c.role != shard.RoleOwner {
		return
	}
	c.ejectionTick(now)
	c.enforceFloor(now)
	if !c.copyMember.IsZero() && (c.replicaDirty || now.Sub(c.replicatedAt) > replicateInterval) {
		c.replicate(now)
	}
}

// updateReservations reserves the static shares of listed VMs without a valid lease,
// because these VMs use them without a grant. At the copy it counts the static shares
// that the copy may grant.
func (c *coord) updateReservations(now fleet.Time) {
	c.clientsChanged = false
	for i := range c.pool.rows {
		c.pool.rows[i].coord.reserved, c.pool.rows[i].coord.copySlots = 0, 0
	}
	k := 0
	for _, vm := range c.pool.partition.vms {
		for k < len(c.clients) && c.clients[k].member.VM < vm {
			k++
		}
		live := k < len(c.clients) && c.clients[k].member.VM == vm && c.clients[k].live()
		if live && now < c.clients[k].fallbackEnd {
			live = false
			c.clientsChanged = true // check again after the copy's lease has ended
		}
		switch {
		case c.role == shard.RoleCopy && live:
			c.pool.eachStaticSlot(vm, func(i int32) { c.pool.rows[i].coord.copySlots++ })
		case c.role == shard.RoleOwner && !live:
			c.pool.eachStaticSlot(vm, func(i int32) { c.pool.rows[i].coord.reserved++ })
		}
	}
}

// updateUsage updates the moving averages of the use of the pool.
func (c *coord) updateUsage(now fleet.Time) {
	used, usedLong, queued, queuedLong := 0, 0, 0, 0
	for _, cc := range c.clients {
		used += cc.used
		for k := range cc.grants {
			usedLong += cc.grants[k].usedLong
		}
		for cl := range cc.demand {
			queued += cc.demand[cl]
			queuedLong += cc.demandLong[cl]
		}
	}
	slots := 0
	for _, i := range c.pool.sortedRows {
		slots += c.slots(now, &c.pool.rows[i])
	}
	c.totalSlots = slots
	if slots > 0 {
		c.usedAvg += 0.2 * (100*float64(used)/float64(slots) - c.usedAvg)
		c.usedPct = int(c.usedAvg)
	}
	if all := used + queued; all > 0 {
		c.shortShareAvg += 0.02 * (float64(all-usedLong-queuedLong)/float64(all) - c.shortShareAvg)
	}
}

// mergeRoutes merges the route durations measured by the clients.
func (c *coord) mergeRoutes() {
	byRoute := map[uint32][]RouteStat{}
	var refs []uint32
	for _, cc := range c.clients {
		for ref, s := range cc.routes {
			if byRoute[ref] == nil {
				refs = append(refs, ref)
			}
			byRoute[ref] = append(byRoute[ref], s)
		}
	}
	slices.Sort(refs)
	c.routeStats = c.routeStats[:0:0]
	for _, ref := range refs {
		stats := byRoute[ref]
		slices.SortFunc(stats, func(a, b RouteStat) int { return int(int64(a.MedianUS) - int64(b.MedianUS)) })
		if s := mergeStats(stats); s.Samples >= minSamples {
			c.routeStats = append(c.routeStats, s)
		}
	}
}

func msString(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
