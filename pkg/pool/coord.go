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
	slowCycle      = 50 * time.Millisecond // cutoff, ramps, recalls
	replicateEvery = 200 * time.Millisecond
	fairEvery      = 100 * time.Millisecond
	// leaseMargin is added where an end must lie after that of a client's lease.
	leaseMargin = 250 * time.Millisecond
	// ejectionMargin is the same for ejections: clock rates may differ by 10%.
	ejectionMargin = ejectionLease / 10
)

// coord is the coordinator's state of a pool at the shard's owner, and the kept
// ejections and the slots of turned-away clients at its copy.
type coord struct {
	p          *Pools
	pool       *pool
	role       shard.Role
	version    uint64
	copyOf     fleet.Member // the copy of the current view; zero while the owner is alone
	epoch      uint64
	superseded uint64     // a later version that another member told of
	openAt     fleet.Time // no unreported slot is lent before
	ejectAt    fleet.Time // no ejection before

	clients        []*creditClient // sorted by VM
	membersChanged bool            // the set of clients with a lease changed
	lentAll        int
	slotsAll       int
	turn           int
	cutoff         int8
	usedPct        int
	usedAvg        float64
	shortAvg       float64
	stats          []RouteStat
	statsDirty     bool
	drains         bool

	evidence  map[uint32]*routeEvidence
	routes    []*routeEvidence // in order of appearance
	alarms    []alarm
	ejections []*ejection // sorted by server
	repSeq    uint64
	repSent   fleet.Time
	repHeard  fleet.Time // at the copy: the owner's last ejected set
	repDirty  bool
	repAcked  uint64

	lastSlow   fleet.Time
	lastFair   fleet.Time
	lastStats  fleet.Time
	lastCutoff fleet.Time
	lastProbe  fleet.Time
	probeTurn  int
}

func newCoord(pl *pool) *coord {
	return &coord{p: pl.p, pool: pl, evidence: map[uint32]*routeEvidence{}, shortAvg: 1}
}

// activate starts the coordinator's part for a role and version.
func (c *coord) activate(now fleet.Time, role shard.Role, view shard.View) {
	if role == c.role && view.Version == c.version {
		return
	}
	stays := role == shard.RoleOwner && c.role == shard.RoleOwner
	c.role, c.version, c.copyOf = role, view.Version, view.Copy
	c.repAcked, c.repDirty = 0, true
	if stays {
		return // the copy changed; clients, credits and evidence go on
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

// resumed handles a gap in this process's time: others may have acted meanwhile.
func (c *coord) resumed(now fleet.Time, gap time.Duration) {
	c.restart(now, "resumed after "+gap.Round(time.Millisecond).String())
}

// restart forgets what was lent and waits one lease for the clients' reports.
func (c *coord) restart(now fleet.Time, why string) {
	c.p.epoch++
	c.epoch = c.version<<20 | c.p.epoch&(1<<20-1)
	for _, cc := range c.clients {
		c.release(cc)
	}
	c.clients = nil
	c.lentAll = 0
	for i := range c.pool.rows {
		r := &c.pool.rows[i].co
		*r = coordRow{ej: r.ej, rampAt: r.rampAt, ramping: r.ramping}
	}
	c.evidence, c.routes, c.alarms = map[uint32]*routeEvidence{}, nil, nil
	c.cutoff = 0
	c.openAt = now.Add(creditLease + leaseMargin)
	c.membersChanged = true
	c.tableChanged(now)
	c.p.event(EventCoordinator, c.pool.id, "", why, map[string]string{
		"version": strconv.FormatUint(c.version, 10), "epoch": strconv.FormatUint(c.epoch, 10),
	})
}

// tableChanged follows a change of the list.
func (c *coord) tableChanged(now fleet.Time) {
	if c.p.dir == nil {
		return
	}
	c.membersChanged = true
	for i := range c.pool.rows {
		r := &c.pool.rows[i]
		if r.cold && r.born == now && !r.co.ramping {
			r.co.ramping, r.co.rampAt = true, now
		}
		if !r.open(now) {
			c.recallRow(int32(i))
		}
	}
	c.linkEjections(now)
	c.guardFloor(now)
}

// tick advances the coordinator's timers.
func (c *coord) tick(now fleet.Time) {
	if c.p.dir == nil {
		return
	}
	if !c.acting() {
		return
	}
	c.expire(now)
	if c.role == shard.RoleOwner {
		c.ripeAlarms(now)
	}
	if now.Sub(c.lastSlow) >= slowCycle {
		c.lastSlow = now
		c.slowTick(now)
	}
	c.allocate(now)
	c.push(now)
}

// acting reports whether this process holds the role in the version that the state
// belongs to, and knows of no later one.
func (c *coord) acting() bool {
	role, version := c.p.cfg.Authority.Role(c.pool.shard)
	return role == c.role && role != shard.RoleNone && version == c.version && c.superseded <= version
}

func (c *coord) slowTick(now fleet.Time) {
	if c.membersChanged {
		c.reserve(now)
	}
	c.measure(now)
	c.setCutoff(now)
	c.trim(now)
	if now.Sub(c.lastStats) > routesEvery && c.statsDirty {
		c.lastStats, c.statsDirty = now, false
		c.mergeRoutes()
	}
	if c.role != shard.RoleOwner {
		return
	}
	c.ejectionTick(now)
	c.guardFloor(now)
	if !c.copyOf.IsZero() && (c.repDirty || now.Sub(c.repSent) > replicateEvery) {
		c.replicate(now)
	}
}

// reserve keeps the allotments of listed VMs without a lease free, since they use
// them without asking; at the copy it adds up the allotments that it may lend.
func (c *coord) reserve(now fleet.Time) {
	c.membersChanged = false
	for i := range c.pool.rows {
		c.pool.rows[i].co.reserved, c.pool.rows[i].co.copyCap = 0, 0
	}
	k := 0
	for _, vm := range c.pool.allot.vms {
		for k < len(c.clients) && c.clients[k].member.VM < vm {
			k++
		}
		live := k < len(c.clients) && c.clients[k].member.VM == vm && c.clients[k].live()
		if live && now < c.clients[k].awayEnd {
			live = false
			c.membersChanged = true // look again when the copy's lease has ended
		}
		switch {
		case c.role == shard.RoleCopy && live:
			c.pool.allotted(vm, func(i int32) { c.pool.rows[i].co.copyCap++ })
		case c.role == shard.RoleOwner && !live:
			c.pool.allotted(vm, func(i int32) { c.pool.rows[i].co.reserved++ })
		}
	}
}

// measure follows the use of the pool.
func (c *coord) measure(now fleet.Time) {
	used, usedLong, queued, queuedLong := 0, 0, 0, 0
	for _, cc := range c.clients {
		used += cc.used
		for k := range cc.lends {
			usedLong += cc.lends[k].usedLong
		}
		for cl := range cc.need {
			queued += cc.need[cl]
			queuedLong += cc.needLong[cl]
		}
	}
	slots := 0
	for _, i := range c.pool.order {
		slots += c.slots(now, &c.pool.rows[i])
	}
	c.slotsAll = slots
	if slots > 0 {
		c.usedAvg += 0.2 * (100*float64(used)/float64(slots) - c.usedAvg)
		c.usedPct = int(c.usedAvg)
	}
	if all := used + queued; all > 0 {
		c.shortAvg += 0.02 * (float64(all-usedLong-queuedLong)/float64(all) - c.shortAvg)
	}
}

// mergeRoutes merges the clients' learned durations.
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
	c.stats = c.stats[:0:0]
	for _, ref := range refs {
		stats := byRoute[ref]
		slices.SortFunc(stats, func(a, b RouteStat) int { return int(int64(a.Median) - int64(b.Median)) })
		if s := mergeStats(stats); s.Samples >= learnSamples {
			c.stats = append(c.stats, s)
		}
	}
}

func msString(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
