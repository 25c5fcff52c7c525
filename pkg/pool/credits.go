package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// lend is what the coordinator lent to one client on one server. The client never
// holds more than the target of some state it has seen, so the coordinator counts
// lent >= target until a sync that acknowledges the last change reports less.
type lend struct {
	row        int32
	target     int
	targetLong int
	lent       int
	lentLong   int
	used       int // as last reported
	usedLong   int
	changed    uint64 // State.Seq that carries the last change of the target
	avoidUntil fleet.Time
	trial      bool // the server is ejected and this is its trial credit
}

// creditClient is the coordinator's record of one client.
type creditClient struct {
	member   fleet.Member
	zone     fleet.Zone
	seq      uint64
	heard    fleet.Time
	horizon  fleet.Time // last deadline of the work that it reported in flight
	stateSeq uint64
	acked    uint64
	lends    []lend // sorted by row
	need     [classes]int
	needLong [classes]int
	queued   int
	spare    int
	used     int
	away     bool
	awayEnd  fleet.Time
	expired  bool
	trials   bool
	dirty    bool // a state is due
	routes   map[uint32]RouteStat
	seen     [signs]tally // evidence from this client about all servers
	sentStat fleet.Time
}

// live reports whether the client's lease at the coordinator holds.
func (cc *creditClient) live() bool { return !cc.expired && !cc.away }

// lendOf returns the entry of a row, adding it if absent.
func (cc *creditClient) lendOf(row int32) *lend {
	k, ok := slices.BinarySearchFunc(cc.lends, row, func(l lend, r int32) int { return cmp.Compare(l.row, r) })
	if !ok {
		cc.lends = slices.Insert(cc.lends, k, lend{row: row})
	}
	return &cc.lends[k]
}

// coordRow is the coordinator's part of a server's row.
type coordRow struct {
	lent      int
	lentLong  int
	reserved  int // allotments of VMs that have lost this coordinator
	copyCap   int // at the copy: allotments of the clients that turned to it
	rampAt    fleet.Time
	ramping   bool
	suspect   bool // held back by the floor: used last
	score     [signs]float64
	seen      [signs]int        // evidence in the current run
	alarmAt   [signs]fleet.Time // when the score crossed the threshold
	sources   []source
	told      fleet.Time
	consulted fleet.Time
	ej        *ejection
}

// setLent keeps the row's sums in step.
func (c *coord) setLent(l *lend, lent, long int) {
	r := &c.pool.rows[l.row].co
	r.lent += lent - l.lent
	r.lentLong += long - l.lentLong
	c.lentAll += lent - l.lent
	l.lent, l.lentLong = lent, long
}

// setTarget changes what a client may hold.
func (c *coord) setTarget(cc *creditClient, l *lend, total, long int) {
	if l.target == total && l.targetLong == long {
		return
	}
	l.target, l.targetLong = total, long
	l.changed = cc.stateSeq + 1
	c.setLent(l, max(l.lent, total), max(l.lentLong, long))
	cc.dirty = true
}

// clientFor returns the record of a process, replacing that of an earlier process
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
		c.forgetSource(cc)
		c.clients = slices.Delete(c.clients, k, k+1)
	}
	cc := &creditClient{member: from, routes: map[uint32]RouteStat{}}
	if vm, listed := c.p.dir.VM(from.VM); listed {
		cc.zone = vm.Zone
	}
	c.clients = slices.Insert(c.clients, k, cc)
	return cc
}

// release frees everything lent to a client.
func (c *coord) release(cc *creditClient) {
	for k := range cc.lends {
		c.setLent(&cc.lends[k], 0, 0)
	}
	cc.lends = cc.lends[:0]
	c.dropTrial(cc)
	c.membersChanged = true
}

// onSync takes in a client's report and answers it.
func (c *coord) onSync(now fleet.Time, from fleet.Member, m *Sync) {
	cc := c.clientFor(now, from)
	if cc.member != from || m.Seq <= cc.seq {
		return
	}
	adopt := cc.seq == 0 && m.Epoch != c.epoch && !m.Away
	if m.Away != cc.away || cc.expired || cc.seq == 0 {
		c.membersChanged = true
	}
	cc.seq, cc.heard, cc.expired = m.Seq, now, false
	cc.horizon = now.Add(time.Duration(m.Horizon) * time.Millisecond)
	if cc.away && !m.Away {
		cc.awayEnd = now.Add(creditLease + ownerSilence)
	}
	cc.away = m.Away
	cc.trials = m.Trials && !m.Away
	ack := m.Ack
	if m.Epoch != c.epoch {
		ack = 0
	}
	cc.acked = max(cc.acked, ack)
	c.takeHeld(cc, m.Held, ack, adopt)
	c.takeDemand(cc, m)
	c.takeDrain(now, m.Drain)
	if c.role == shard.RoleOwner {
		c.takeEvidence(now, cc, m.Counts)
	}
	for _, s := range m.Routes {
		cc.routes[s.Route] = s
		c.statsDirty = true
	}
	cc.dirty = true
	c.allocate(now)
	c.push(now)
}

// takeHeld compares what the client reports with what was lent.
func (c *coord) takeHeld(cc *creditClient, held []Held, ack uint64, adopt bool) {
	cc.used = 0
	reported := make(map[int32]Held, len(held))
	for _, h := range held {
		i, ok := c.pool.row(h.Ref)
		if !ok {
			continue
		}
		reported[i] = h
		cc.used += h.Used
		l := cc.lendOf(i)
		if adopt && h.Total > 0 {
			// Lent by the former coordinator: it stays with the client.
			l.target, l.targetLong = h.Total, h.Long
			c.setLent(l, max(l.lent, h.Total), max(l.lentLong, h.Long))
		}
	}
	for k := range cc.lends {
		l := &cc.lends[k]
		h := reported[l.row]
		l.used, l.usedLong = h.Used, h.UsedLong
		if cc.away {
			l.target, l.targetLong, l.changed = 0, 0, cc.stateSeq+1
			c.setLent(l, h.Used, h.UsedLong)
			continue
		}
		if !adopt && ack >= l.changed {
			l.target, l.targetLong = min(l.target, h.Total), min(l.targetLong, h.Long)
			c.setLent(l, max(l.target, h.Total), max(l.targetLong, h.Long))
			continue
		}
		c.setLent(l, max(l.lent, h.Total), max(l.lentLong, h.Long))
	}
	cc.lends = slices.DeleteFunc(cc.lends, func(l lend) bool {
		return l.target == 0 && l.lent == 0 && l.avoidUntil <= c.p.now
	})
}

// takeDemand notes the queued work that no credit under way will serve.
func (c *coord) takeDemand(cc *creditClient, m *Sync) {
	clear(cc.need[:])
	clear(cc.needLong[:])
	cc.queued, cc.spare = 0, m.Spare
	coming, comingLong := 0, 0 // credits under way or idle at the client
	for k := range cc.lends {
		if l := &cc.lends[k]; !l.trial {
			coming += max(0, l.target-l.used)
			comingLong += max(0, min(l.targetLong-l.usedLong, l.target-l.used))
		}
	}
	for _, d := range m.Queue {
		if d.Class < 0 || d.Class >= classes || d.Count <= 0 || d.Long < 0 || d.Long > d.Count {
			continue
		}
		cc.queued += d.Count
		long := min(comingLong, d.Long)
		short := min(coming-long, d.Count-d.Long)
		coming -= long + short
		comingLong = min(comingLong-long, coming)
		cc.need[d.Class] = d.Count - long - short
		cc.needLong[d.Class] = d.Long - long
	}
	cc.spare = max(0, cc.spare-coming)
}

func (c *coord) takeDrain(now fleet.Time, refs []uint32) {
	for _, ref := range refs {
		if i, ok := c.pool.row(ref); ok {
			r := &c.pool.rows[i]
			r.drainEnd = max(r.drainEnd, now.Add(drainAvoid))
			c.drains = true
			c.recallRow(i)
		}
	}
}

// recallRow takes a server's credits back from all clients.
func (c *coord) recallRow(i int32) {
	for _, cc := range c.clients {
		k, ok := slices.BinarySearchFunc(cc.lends, i, func(l lend, r int32) int { return cmp.Compare(l.row, r) })
		if ok && cc.lends[k].target > 0 {
			c.setTarget(cc, &cc.lends[k], 0, 0)
		}
	}
	for _, cc := range c.clients {
		cc.dirty = true
	}
}

// expire ends the leases of silent clients. Work that a listed VM reported in
// flight keeps its slots until the last deadline it named, since it still runs.
func (c *coord) expire(now fleet.Time) {
	for k := 0; k < len(c.clients); k++ {
		cc := c.clients[k]
		if now.Sub(cc.heard) < creditLease {
			continue
		}
		_, listed := c.p.dir.VM(cc.member.VM)
		if !cc.expired {
			cc.expired = true
			cc.queued, cc.spare, cc.trials = 0, 0, false
			clear(cc.need[:])
			c.dropTrial(cc)
			c.membersChanged = true
			for j := range cc.lends {
				l := &cc.lends[j]
				l.target, l.targetLong = 0, 0
				c.setLent(l, l.used, l.usedLong)
			}
		}
		if !listed || now >= cc.horizon {
			for j := range cc.lends {
				c.setLent(&cc.lends[j], 0, 0)
			}
			cc.lends = cc.lends[:0]
		}
		if !listed {
			c.forgetSource(cc)
			c.clients = slices.Delete(c.clients, k, k+1)
			k--
		}
	}
}

// push sends the states that are due.
func (c *coord) push(now fleet.Time) {
	for _, cc := range c.clients {
		if cc.dirty && !cc.expired {
			cc.dirty = false
			c.p.send(cc.member.VM, c.state(now, cc))
		}
	}
}

// state builds the state of a client.
func (c *coord) state(now fleet.Time, cc *creditClient) *State {
	cc.stateSeq++
	m := &State{
		Pool: c.pool.id, Version: c.version, Epoch: c.epoch, Seq: cc.stateSeq, Echo: cc.seq,
		Copy: c.role == shard.RoleCopy, Cutoff: int(c.cutoff), Used: c.usedPct,
	}
	for k := range cc.lends {
		if l := &cc.lends[k]; l.target > 0 {
			m.Grants = append(m.Grants, Grant{Ref: c.pool.rows[l.row].ref, Total: l.target, Long: l.targetLong, Trial: l.trial})
		}
	}
	if c.role == shard.RoleOwner {
		m.Ejected = c.ejectedRefs()
	}
	if c.drains {
		m.Drain = c.drainRefs(now)
	}
	if now.Sub(cc.sentStat) > routesEvery || cc.sentStat == 0 {
		cc.sentStat = now
		m.Routes = c.stats
	}
	return m
}

func (c *coord) drainRefs(now fleet.Time) []uint32 {
	var out []uint32
	for _, i := range c.pool.order {
		if r := &c.pool.rows[i]; now < r.drainEnd {
			out = append(out, r.ref)
		}
	}
	c.drains = len(out) > 0
	return out
}
