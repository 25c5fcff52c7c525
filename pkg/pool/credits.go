package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// grantRecord is what the coordinator has granted to one client on one server. The client
// may still hold the target of any earlier state, so outstanding stays at the highest of
// these targets until a sync that acknowledges the last change reports less.
type grantRecord struct {
	row             int32
	target          int
	targetLong      int
	outstanding     int
	outstandingLong int
	used            int // as last reported by the client
	usedLong        int
	changedSeq      uint64 // State.Seq of the last change of the target
	avoidUntil      fleet.Time
	trial           bool // the trial credit of an ejected server
}

// creditClient is the coordinator's state of one client.
type creditClient struct {
	member         fleet.Member
	zone           fleet.Zone
	seq            uint64
	lastSync       fleet.Time
	lastDeadline   fleet.Time // latest deadline of the in-flight work that the client reported
	stateSeq       uint64
	acked          uint64
	grants         []grantRecord // sorted by row
	demand         [classes]int
	demandLong     [classes]int
	queued         int
	wantedSpare    int
	used           int
	onFallback     bool
	fallbackEnd    fleet.Time // the client's static share stays reserved until then, after its return from the fallback
	expired        bool
	acceptsTrials  bool
	stateDue       bool // a State must be sent
	routes         map[uint32]RouteStat
	outcomes       [symptomCount]tally // outcomes reported by this client, over all servers
	routeStatsSent fleet.Time
}

// live reports whether the client has a valid lease from this coordinator.
func (cc *creditClient) live() bool { return !cc.expired && !cc.onFallback }

// grantFor returns the record of a row, adding it if absent.
func (cc *creditClient) grantFor(row int32) *grantRecord {
	k, ok := slices.BinarySearchFunc(cc.grants, row, func(g grantRecord, r int32) int { return cmp.Compare(g.row, r) })
	if !ok {
		cc.grants = slices.Insert(cc.grants, k, grantRecord{row: row})
	}
	return &cc.grants[k]
}

// coordRow is the coordinator's state of one server.
type coordRow struct {
	outstanding     int
	outstandingLong int
	reserved        int // slots in the static shares of VMs that do not use this coordinator
	copySlots       int // at the copy: slots in the static shares of the clients that have switched to it
	rampStart       fleet.Time
	ramping         bool
	suspect         bool // not ejected because of the floor; used after all other servers
	score           [symptomCount]float64
	runOutcomes     [symptomCount]int        // number of outcomes in the current run of the test
	alarmAt         [symptomCount]fleet.Time // when the score crossed the alarm threshold; 0 if below
	sources         []source
	lastEvent       fleet.Time
	lastCrossCheck  fleet.Time
	ejection        *ejection
}

// setOutstanding changes the number of outstanding slots of a record and updates the totals
// of the row and the pool.
func (c *coord) setOutstanding(g *grantRecord, outstanding, long int) {
	r := &c.pool.rows[g.row].coord
	r.outstanding += outstanding - g.outstanding
	r.outstandingLong += long - g.outstandingLong
	c.totalOutstanding += outstanding - g.outstanding
	g.outstanding, g.outstandingLong = outstanding, long
}

// setTarget changes the credits that a client may hold.
func (c *coord) setTarget(cc *creditClient, g *grantRecord, total, long int) {
	if g.target == total && g.targetLong == long {
		return
	}
	g.target, g.targetLong = total, long
	g.changedSeq = cc.stateSeq + 1
	c.setOutstanding(g, max(g.outstanding, total), max(g.outstandingLong, long))
	cc.stateDue = true
}

// clientFor returns the state of a client process. It replaces that of an earlier process
// of the same VM.
func (c *coord) clientFor(now fleet.Time, from fleet.Member) *creditClient {
	k, ok := slices.BinarySearchFunc(c.clients, from.VM, func(cc *creditClient, vm fleet.VMID) int {
		return cmp.Compare(cc.member.VM, vm)
	})
	if ok {
		cc := c.clients[k]
		if cc.member.Incarnation >= from.Incarnation {
			return cc
		}
		c.release(cc)
		c.removeSource(cc)
		c.clients = slices.Delete(c.clients, k, k+1)
	}
	cc := &creditClient{member: from, routes: map[uint32]RouteStat{}}
	if vm, listed := c.p.dir.VM(from.VM); listed {
		cc.zone = vm.Zone
	}
	c.clients = slices.Insert(c.clients, k, cc)
	return cc
}

// release frees all slots granted to a client.
func (c *coord) release(cc *creditClient) {
	for k := range cc.grants {
		c.setOutstanding(&cc.grants[k], 0, 0)
	}
	cc.grants = cc.grants[:0]
	c.endTrials(cc)
	c.clientsChanged = true
}

// onSync applies a client's report and sends the states that are due.
func (c *coord) onSync(now fleet.Time, from fleet.Member, m *Sync) {
	cc := c.clientFor(now, from)
	if cc.member != from || m.Seq <= cc.seq {
		return
	}
	adopt := cc.seq == 0 && m.Epoch != c.epoch && !m.OnFallback
	if m.OnFallback != cc.onFallback || cc.expired || cc.seq == 0 {
		c.clientsChanged = true
	}
	cc.seq, cc.lastSync, cc.expired = m.Seq, now, false
	cc.lastDeadline = now.Add(time.Duration(m.MaxDeadlineMS) * time.Millisecond)
	if cc.onFallback && !m.OnFallback {
		cc.fallbackEnd = now.Add(creditLease + ownerTimeout)
	}
	cc.onFallback = m.OnFallback
	cc.acceptsTrials = m.AcceptsTrials && !m.OnFallback
	ack := m.Ack
	if m.Epoch != c.epoch {
		ack = 0
	}
	cc.acked = max(cc.acked, ack)
	c.reconcileHeld(cc, m.Held, ack, adopt)
	c.updateDemand(cc, m)
	c.applyDrains(now, m.DrainingServers)
	if c.role == shard.RoleOwner {
		c.applyEvidence(now, cc, m.Evidence)
	}
	for _, s := range m.Routes {
		cc.routes[s.Route] = s
		c.routeStatsDirty = true
	}
	cc.stateDue = true
	c.allocate(now)
	c.push(now)
}

// reconcileHeld updates the outstanding slots from the credits that the client reports. If
// adopt is set, the client still holds credits of the previous coordinator.
func (c *coord) reconcileHeld(cc *creditClient, held []HeldCredits, ack uint64, adopt bool) {
	cc.used = 0
	reported := make(map[int32]HeldCredits, len(held))
	for _, h := range held {
		i, ok := c.pool.row(h.Ref)
		if !ok {
			continue
		}
		reported[i] = h
		cc.used += h.Used
		g := cc.grantFor(i)
		if adopt && h.Total > 0 {
			// Granted by the previous coordinator: the client keeps them.
			g.target, g.targetLong = h.Total, h.Long
			c.setOutstanding(g, max(g.outstanding, h.Total), max(g.outstandingLong, h.Long))
		}
	}
	for k := range cc.grants {
		g := &cc.grants[k]
		h := reported[g.row]
		g.used, g.usedLong = h.Used, h.UsedLong
		if cc.onFallback {
			g.target, g.targetLong, g.changedSeq = 0, 0, cc.stateSeq+1
			c.setOutstanding(g, h.Used, h.UsedLong)
			continue
		}
		if !adopt && ack >= g.changedSeq {
			g.target, g.targetLong = min(g.target, h.Total), min(g.targetLong, h.Long)
			c.setOutstanding(g, max(g.target, h.Total), max(g.targetLong, h.Long))
			continue
		}
		c.setOutstanding(g, max(g.outstanding, h.Total), max(g.outstandingLong, h.Long))
	}
	cc.grants = slices.DeleteFunc(cc.grants, func(g grantRecord) bool {
		return g.target == 0 && g.outstanding == 0 && g.avoidUntil <= c.p.now
	})
}

// updateDemand records the queued work that the client's unused credits do not cover.
func (c *coord) updateDemand(cc *creditClient, m *Sync) {
	clear(cc.demand[:])
	clear(cc.demandLong[:])
	cc.queued, cc.wantedSpare = 0, m.WantedSpare
	available, availableLong := 0, 0 // credits idle at the client or granted and not yet received
	for k := range cc.grants {
		if g := &cc.grants[k]; !g.trial {
			available += max(0, g.target-g.used)
			availableLong += max(0, min(g.targetLong-g.usedLong, g.target-g.used))
		}
	}
	for _, d := range m.Demand {
		if d.Class < 0 || d.Class >= classes || d.Count <= 0 || d.Long < 0 || d.Long > d.Count {
			continue
		}
		cc.queued += d.Count
		long := min(availableLong, d.Long)
		short := min(available-long, d.Count-d.Long)
		available -= long + short
		availableLong = min(availableLong-long, available)
		cc.demand[d.Class] = d.Count - long - short
		cc.demandLong[d.Class] = d.Long - long
	}
	cc.wantedSpare = max(0, cc.wantedSpare-available)
}

// applyDrains stops work on servers that a client saw draining.
func (c *coord) applyDrains(now fleet.Time, refs []uint32) {
	for _, ref := range refs {
		if i, ok := c.pool.row(ref); ok {
			r := &c.pool.rows[i]
			r.drainEnd = max(r.drainEnd, now.Add(drainBackoff))
			c.anyDraining = true
			c.recallRow(i)
		}
	}
}

// recallRow recalls a server's credits from all clients.
func (c *coord) recallRow(i int32) {
	for _, cc := range c.clients {
		k, ok := slices.BinarySearchFunc(cc.grants, i, func(g grantRecord, r int32) int { return cmp.Compare(g.row, r) })
		if ok && cc.grants[k].target > 0 {
			c.setTarget(cc, &cc.grants[k], 0, 0)
		}
	}
	for _, cc := range c.clients {
		cc.stateDue = true
	}
}

// expireClients ends the leases of clients that have stopped syncing. In-flight work
// reported by a VM that is still listed keeps its slots until the latest deadline that
// the VM reported, since it may still be running.
func (c *coord) expireClients(now fleet.Time) {
	for k := 0; k < len(c.clients); k++ {
		cc := c.clients[k]
		if now.Sub(cc.lastSync) < creditLease {
			continue
		}
		_, listed := c.p.dir.VM(cc.member.VM)
		if !cc.expired {
			cc.expired = true
			cc.queued, cc.wantedSpare, cc.acceptsTrials = 0, 0, false
			clear(cc.demand[:])
			c.endTrials(cc)
			c.clientsChanged = true
			for j := range cc.grants {
				g := &cc.grants[j]
				g.target, g.targetLong = 0, 0
				c.setOutstanding(g, g.used, g.usedLong)
			}
		}
		if !listed || now >= cc.lastDeadline {
			for j := range cc.grants {
				c.setOutstanding(&cc.grants[j], 0, 0)
			}
			cc.grants = cc.grants[:0]
		}
		if !listed {
			c.removeSource(cc)
			c.clients = slices.Delete(c.clients, k, k+1)
			k--
		}
	}
}

// push sends a State to each client for which one is due.
func (c *coord) push(now fleet.Time) {
	for _, cc := range c.clients {
		if cc.stateDue && !cc.expired {
			cc.stateDue = false
			c.p.send(cc.member.VM, c.state(now, cc))
		}
	}
}

// state returns the State message for a client.
func (c *coord) state(now fleet.Time, cc *creditClient) *State {
	cc.stateSeq++
	m := &State{
		Pool: c.pool.id, Version: c.version, Epoch: c.epoch, Seq: cc.stateSeq, SyncSeq: cc.seq,
		Copy: c.role == shard.RoleCopy, Cutoff: int(c.cutoff), UsedPercent: c.usedPct,
	}
	if left := c.grantFrom.Sub(now); left > 0 {
		m.GrantDelayMS = int(left/time.Millisecond) + 1
	}
	for k := range cc.grants {
		if g := &cc.grants[k]; g.target > 0 {
			m.Grants = append(m.Grants, Grant{Ref: c.pool.rows[g.row].ref, Total: g.target, Long: g.targetLong, Trial: g.trial})
		}
	}
	if c.role == shard.RoleOwner {
		m.Ejected = c.ejectedRefs()
	}
	if c.anyDraining {
		m.DrainingServers = c.drainRefs(now)
	}
	if now.Sub(cc.routeStatsSent) > routeStatInterval || cc.routeStatsSent == 0 {
		cc.routeStatsSent = now
		m.Routes = c.routeStats
	}
	return m
}

func (c *coord) drainRefs(now fleet.Time) []uint32 {
	var out []uint32
	for _, i := range c.pool.sortedRows {
		if r := &c.pool.rows[i]; now < r.drainEnd {
			out = append(out, r.ref)
		}
	}
	c.anyDraining = len(out) > 0
	return out
}
