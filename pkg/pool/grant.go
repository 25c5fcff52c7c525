package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Parameters of credit allocation.
const (
	maxUsageForSpares = 85 // percent of slots in use, below which spare credits are granted
	ungrantedReserve  = 10 // percent of slots not granted as spare credits, kept for queued work
	maxScannedRows    = 64 // usable rows examined to find the one with the lowest share of slots outstanding or reserved
	minShortShare     = 1.0 / 6
	cutoffHorizon     = 50 * time.Millisecond // work that the pool can serve within this time is not cut off
	minCutoffMargin   = 2
)

// slots returns the number of the server's slots that may be granted now, apart from the
// trial credit.
func (c *coord) slots(now fleet.Time, r *row) int {
	if !r.acceptsWork(now) || r.coord.ejection != nil && r.coord.ejection.inEffect() && c.enforcesEjections(now) {
		return 0
	}
	n := c.pool.service.Slots
	if c.role == shard.RoleCopy {
		return min(n, r.coord.copySlots)
	}
	if r.coord.ramping {
		n = min(n, rampSlots(now.Sub(r.coord.rampStart), c.pool.service.Slots))
		if n == c.pool.service.Slots {
			r.coord.ramping = false
		}
	}
	return n
}

// enforcesEjections reports whether this member must enforce the ejected set. If the owner
// does not answer, the copy stops enforcing it when the clients do: without an owner
// nothing readmits servers when the pool falls below its floor.
func (c *coord) enforcesEjections(now fleet.Time) bool {
	return c.role != shard.RoleCopy || now < c.replicaReceivedAt.Add(ejectionLease+ejectionMargin)
}

// longSlots returns the number of a server's slots that long work may occupy. Short work
// keeps its recent share of the load, but at least minShortShare.
func (c *coord) longSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	keep := int(math.Ceil(float64(slots) * max(minShortShare, c.shortShareAvg)))
	return max(1, slots-max(1, keep))
}

// findRow returns, of the rows with a free slot for the client, the one with the lowest
// share of slots outstanding or reserved. Suspect servers, which only the floor keeps from
// ejection, come last.
func (c *coord) findRow(now fleet.Time, cc *creditClient, long bool) (int32, bool) {
	best, bestCost := int32(-1), math.MaxFloat64
	n := len(c.pool.sortedRows)
	if n == 0 {
		return -1, false
	}
	scanned, from := 0, c.p.rng.IntN(n)
	for k := 0; k < n && scanned < maxScannedRows; k++ {
		i := c.pool.sortedRows[(from+k)%n]
		r := &c.pool.rows[i]
		slots := c.slots(now, r)
		if slots-r.coord.outstanding-r.coord.reserved <= 0 || long && r.coord.outstandingLong >= c.longSlots(slots) {
			continue
		}
		if cc.avoids(now, i) {
			continue
		}
		scanned++
		cost := float64(r.coord.outstanding+r.coord.reserved) / float64(slots)
		if r.coord.suspect {
			cost += 1
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// avoids reports whether the client must not use the server at present.
func (cc *creditClient) avoids(now fleet.Time, row int32) bool {
	for k := range cc.grants {
		if cc.grants[k].row == row {
			return now < cc.grants[k].avoidUntil
		}
	}
	return false
}

// grant grants the client one more slot and reports whether it found one.
func (c *coord) grant(now fleet.Time, cc *creditClient, long bool) bool {
	if c.totalOutstanding >= c.totalSlots {
		return false
	}
	i, ok := c.findRow(now, cc, long)
	if !ok {
		return false
	}
	g := cc.grantFor(i)
	slots := c.slots(now, &c.pool.rows[i])
	extra := 0
	if long || c.pool.rows[i].coord.outstandingLong < c.longSlots(slots) {
		extra = 1
	}
	c.setTarget(cc, g, g.target+1, g.targetLong+extra)
	return true
}

// allocate grants free slots by descending class, and round robin within a class. If no
// demand is left and the pool is not busy, it grants spare credits.
func (c *coord) allocate(now fleet.Time) {
	if now < c.grantFrom || len(c.clients) == 0 || c.p.cfg.Policy != PolicyCredits {
		return
	}
	unserved := 0
	for cl := classes - 1; cl >= 0; cl-- {
		for progress := true; progress; {
			progress = false
			c.nextClient++
			for k := range c.clients {
				cc := c.clients[(c.nextClient+k)%len(c.clients)]
				if cc.demand[cl] <= 0 || !cc.live() {
					continue
				}
				long := cc.demandLong[cl] >= cc.demand[cl]
				if !c.grant(now, cc, long) {
					continue
				}
				cc.demand[cl]--
				if long {
					cc.demandLong[cl]--
				}
				progress = true
			}
		}
		for _, cc := range c.clients {
			if cc.live() {
				unserved += cc.demand[cl]
			}
		}
	}
	if unserved > 0 {
		c.recallIdle(unserved)
		return
	}
	c.grantSpares(now)
}

// grantSpares grants spare credits round robin while utilization is below maxUsageForSpares.
func (c *coord) grantSpares(now fleet.Time) {
	if c.usedPct >= maxUsageForSpares {
		return
	}
	limit := c.totalSlots - c.totalSlots*ungrantedReserve/100
	for progress := true; progress; {
		progress = false
		c.nextClient++
		for k := range c.clients {
			cc := c.clients[(c.nextClient+k)%len(c.clients)]
			if cc.wantedSpare > 0 && cc.live() && c.totalOutstanding < limit && c.grant(now, cc, false) {
				cc.wantedSpare--
				progress = true
			}
		}
	}
}

// recallIdle recalls unused credits for work that is queued at other clients.
func (c *coord) recallIdle(shortfall int) {
	for _, cc := range c.clients {
		for k := range cc.grants {
			shortfall -= max(0, cc.grants[k].outstanding-max(cc.grants[k].target, cc.grants[k].used)) // already being returned
		}
	}
	for k := 0; k < len(c.clients) && shortfall > 0; k++ {
		cc := c.clients[(c.nextClient+k)%len(c.clients)]
		if cc.queued > 0 || !cc.live() {
			continue
		}
		for j := range cc.grants {
			g := &cc.grants[j]
			if n := min(g.target-g.used, shortfall); n > 0 && !g.trial {
				c.setTarget(cc, g, g.target-n, min(g.targetLong, g.target-n))
				shortfall -= n
			}
		}
	}
}

// setCutoff updates the cutoff: the highest class at which the queued work of this and
// all higher classes exceeds what the pool serves within cutoffHorizon. Clients do not
// dispatch work of lower classes. Up to minCutoffMargin pieces of queued work cause no cutoff.
func (c *coord) setCutoff(now fleet.Time) {
	if c.role != shard.RoleOwner || c.p.cfg.Policy != PolicyCredits {
		return
	}
	margin := minCutoffMargin
	if d := c.meanDuration(); d > 0 {
		margin = max(margin, int(float64(c.totalSlots)*float64(cutoffHorizon)/float64(d)))
	}
	next, sum := int8(0), 0
	for cl := classes - 1; cl > 0 && next == 0; cl-- {
		for _, cc := range c.clients {
			sum += cc.demand[cl]
		}
		if sum > margin {
			next = int8(cl)
		}
	}
	if next == c.cutoff {
		return
	}
	if c.lastCutoff == 0 || now.Sub(c.lastCutoff) > time.Second {
		c.lastCutoff = now
		c.p.event(EventAdmissionCutoff, c.pool.id, "", "admission cutoff class changed", map[string]string{
			"from": strconv.Itoa(int(c.cutoff)), "to": strconv.Itoa(int(next)),
			"queued": strconv.Itoa(sum), "slots": strconv.Itoa(c.totalSlots),
		})
	}
	c.cutoff = next
	for _, cc := range c.clients {
		cc.stateDue = true
	}
}

// meanDuration returns the mean request duration over all routes.
func (c *coord) meanDuration() time.Duration {
	var sum, n float64
	for _, s := range c.routeStats {
		sum += float64(s.MeanUS) * float64(s.Samples)
		n += float64(s.Samples)
	}
	if n == 0 {
		return initialDuration
	}
	return time.Duration(sum/n) * time.Microsecond
}

// recallExcess recalls credits of servers that have more slots outstanding than allowed, and
// rebalances credits between clients while work is queued.
func (c *coord) recallExcess(now fleet.Time) {
	for _, i := range c.pool.sortedRows {
		r := &c.pool.rows[i]
		if excess := r.coord.outstanding + r.coord.reserved - c.slots(now, r); excess > 0 && r.coord.outstanding > 0 {
			c.recallRowExcess(i, excess)
		}
	}
	if c.p.cfg.Policy != PolicyCredits || now.Sub(c.lastRebalance) < rebalanceInterval {
		return
	}
	c.lastRebalance = now
	c.rebalance()
}

func (c *coord) recallRowExcess(i int32, excess int) {
	for _, cc := range c.clients {
		for k := range cc.grants {
			g := &cc.grants[k]
			if g.row != i || g.trial {
				continue
			}
			excess -= max(0, g.outstanding-g.target)
			if n := min(g.target, excess); n > 0 {
				c.setTarget(cc, g, g.target-n, min(g.targetLong, g.target-n))
				excess -= n
			}
		}
	}
}

// rebalance recalls one credit from each client whose share of the credits clearly exceeds
// its share of the demand.
func (c *coord) rebalance() {
	demand, held, waiting := 0, 0, 0
	for _, cc := range c.clients {
		if cc.live() {
			demand += cc.queued + cc.used
			held += cc.totalTarget()
			waiting += cc.queued
		}
	}
	if waiting == 0 || demand == 0 {
		return
	}
	for _, cc := range c.clients {
		if !cc.live() {
			continue
		}
		target := cc.totalTarget()
		fair := float64(held) * float64(cc.queued+cc.used) / float64(demand)
		if float64(target) > 1.25*fair+1.5 {
			c.recallOne(cc)
		}
	}
}

func (cc *creditClient) totalTarget() int {
	n := 0
	for k := range cc.grants {
		n += cc.grants[k].target
	}
	return n
}

// recallOne recalls a credit on the server on which the client has the most.
func (c *coord) recallOne(cc *creditClient) {
	best := -1
	for k := range cc.grants {
		if g := &cc.grants[k]; g.target > 0 && !g.trial && (best < 0 || g.target > cc.grants[best].target) {
			best = k
		}
	}
	if best >= 0 {
		g := &cc.grants[best]
		c.setTarget(cc, g, g.target-1, min(g.targetLong, g.target-1))
	}
}
