package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Rules of lending.
const (
	spareBelow  = 85 // percent of slots in use below which spare credits are lent
	keepUnlent  = 10 // percent of slots not lent as spares, for work that waits
	scanRows    = 64 // rows looked at to find the least lent one
	shortLeast  = 1.0 / 6
	cutoffAhead = 50 * time.Millisecond // queued work that is served within this time is above the margin
	leastMargin = 2
)

// slots returns how many slots of the server may be lent now, apart from trials.
func (c *coord) slots(now fleet.Time, r *row) int {
	if !r.open(now) || r.co.ej != nil && r.co.ej.out() && c.obeys(now) {
		return 0
	}
	n := c.pool.service.Slots
	if c.role == shard.RoleCopy {
		return min(n, r.co.copyCap)
	}
	if r.co.ramping {
		n = min(n, rampSlots(now.Sub(r.co.rampAt), c.pool.service.Slots))
		if n == c.pool.service.Slots {
			r.co.ramping = false
		}
	}
	return n
}

// obeys reports whether the ejected set binds this member. The copy of a silent owner
// forgets it as clients do: nobody guards the floor of a set that nobody changes.
func (c *coord) obeys(now fleet.Time) bool {
	return c.role != shard.RoleCopy || now < c.repHeard.Add(ejectionLease+ejectionMargin)
}

// longSlots returns how many of a server's slots long work may occupy.
func (c *coord) longSlots(slots int) int {
	if slots <= 1 {
		return slots
	}
	keep := int(math.Ceil(float64(slots) * max(shortLeast, c.shortAvg)))
	return max(1, slots-max(1, keep))
}

// findRow returns the row with the smallest lent share that has a free slot for the
// client. Suspects held back by the floor come last.
func (c *coord) findRow(now fleet.Time, cc *creditClient, long bool) (int32, bool) {
	best, bestCost := int32(-1), math.MaxFloat64
	n := len(c.pool.order)
	if n == 0 {
		return -1, false
	}
	scanned, from := 0, c.p.rng.IntN(n)
	for k := 0; k < n && scanned < scanRows; k++ {
		i := c.pool.order[(from+k)%n]
		r := &c.pool.rows[i]
		slots := c.slots(now, r)
		if slots-r.co.lent-r.co.reserved <= 0 || long && r.co.lentLong >= c.longSlots(slots) {
			continue
		}
		if cc.avoids(now, i) {
			continue
		}
		scanned++
		cost := float64(r.co.lent+r.co.reserved) / float64(slots)
		if r.co.suspect {
			cost += 1
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best, best >= 0
}

// avoids reports whether the client cannot reach the server.
func (cc *creditClient) avoids(now fleet.Time, row int32) bool {
	for k := range cc.lends {
		if cc.lends[k].row == row {
			return now < cc.lends[k].avoidUntil
		}
	}
	return false
}

// grant lends one more slot to the client.
func (c *coord) grant(now fleet.Time, cc *creditClient, long bool) bool {
	if c.lentAll >= c.slotsAll {
		return false
	}
	i, ok := c.findRow(now, cc, long)
	if !ok {
		return false
	}
	l := cc.lendOf(i)
	slots := c.slots(now, &c.pool.rows[i])
	extra := 0
	if long || c.pool.rows[i].co.lentLong < c.longSlots(slots) {
		extra = 1
	}
	c.setTarget(cc, l, l.target+1, l.targetLong+extra)
	return true
}

// allocate lends free slots in class order, and within a class in turn. Without
// waiting work it lends spare credits while the pool is not busy.
func (c *coord) allocate(now fleet.Time) {
	if now < c.openAt || len(c.clients) == 0 || c.p.cfg.Policy != PolicyCredits {
		return
	}
	short := 0
	for cl := classes - 1; cl >= 0; cl-- {
		for progress := true; progress; {
			progress = false
			c.turn++
			for k := range c.clients {
				cc := c.clients[(c.turn+k)%len(c.clients)]
				if cc.need[cl] <= 0 || !cc.live() {
					continue
				}
				long := cc.needLong[cl] >= cc.need[cl]
				if !c.grant(now, cc, long) {
					continue
				}
				cc.need[cl]--
				if long {
					cc.needLong[cl]--
				}
				progress = true
			}
		}
		for _, cc := range c.clients {
			if cc.live() {
				short += cc.need[cl]
			}
		}
	}
	if short > 0 {
		c.recallIdle(short)
		return
	}
	c.lendSpare(now)
}

func (c *coord) lendSpare(now fleet.Time) {
	if c.usedPct >= spareBelow {
		return
	}
	most := c.slotsAll - c.slotsAll*keepUnlent/100
	for progress := true; progress; {
		progress = false
		c.turn++
		for k := range c.clients {
			cc := c.clients[(c.turn+k)%len(c.clients)]
			if cc.spare > 0 && cc.live() && c.lentAll < most && c.grant(now, cc, false) {
				cc.spare--
				progress = true
			}
		}
	}
}

// recallIdle takes unused credits back for work that waits elsewhere.
func (c *coord) recallIdle(short int) {
	for _, cc := range c.clients {
		for k := range cc.lends {
			short -= max(0, cc.lends[k].lent-max(cc.lends[k].target, cc.lends[k].used)) // coming back already
		}
	}
	for k := 0; k < len(c.clients) && short > 0; k++ {
		cc := c.clients[(c.turn+k)%len(c.clients)]
		if cc.queued > 0 || !cc.live() {
			continue
		}
		for j := range cc.lends {
			l := &cc.lends[j]
			if n := min(l.target-l.used, short); n > 0 && !l.trial {
				c.setTarget(cc, l, l.target-n, min(l.targetLong, l.target-n))
				short -= n
			}
		}
	}
}

// setCutoff finds the class at the margin: from the top down, the class at which
// the queued work exceeds what the pool serves shortly.
func (c *coord) setCutoff(now fleet.Time) {
	if c.role != shard.RoleOwner || c.p.cfg.Policy != PolicyCredits {
		return
	}
	margin := leastMargin
	if d := c.meanDuration(); d > 0 {
		margin = max(margin, int(float64(c.slotsAll)*float64(cutoffAhead)/float64(d)))
	}
	next, sum := int8(0), 0
	for cl := classes - 1; cl > 0 && next == 0; cl-- {
		for _, cc := range c.clients {
			sum += cc.need[cl]
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
		c.p.event(EventCutoff, c.pool.id, "", "class at the margin changed", map[string]string{
			"from": strconv.Itoa(int(c.cutoff)), "to": strconv.Itoa(int(next)),
			"queued": strconv.Itoa(sum), "slots": strconv.Itoa(c.slotsAll),
		})
	}
	c.cutoff = next
	for _, cc := range c.clients {
		cc.dirty = true
	}
}

func (c *coord) meanDuration() time.Duration {
	var sum, n float64
	for _, s := range c.stats {
		sum += float64(s.Mean) * float64(s.Samples)
		n += float64(s.Samples)
	}
	if n == 0 {
		return initialDuration
	}
	return time.Duration(sum/n) * time.Microsecond
}

// trim takes credits back where more is lent than may be, and evens out the use of
// the pool between clients with waiting work.
func (c *coord) trim(now fleet.Time) {
	for _, i := range c.pool.order {
		r := &c.pool.rows[i]
		if over := r.co.lent + r.co.reserved - c.slots(now, r); over > 0 && r.co.lent > 0 {
			c.trimRow(i, over)
		}
	}
	if c.p.cfg.Policy != PolicyCredits || now.Sub(c.lastFair) < fairEvery {
		return
	}
	c.lastFair = now
	c.evenOut()
}

func (c *coord) trimRow(i int32, over int) {
	for _, cc := range c.clients {
		for k := range cc.lends {
			l := &cc.lends[k]
			if l.row != i || l.trial {
				continue
			}
			over -= max(0, l.lent-l.target)
			if n := min(l.target, over); n > 0 {
				c.setTarget(cc, l, l.target-n, min(l.targetLong, l.target-n))
				over -= n
			}
		}
	}
}

// evenOut recalls one credit at a time from clients that hold clearly more than
// their share of the demand.
func (c *coord) evenOut() {
	demand, held, waiting := 0, 0, 0
	for _, cc := range c.clients {
		if cc.live() {
			demand += cc.queued + cc.used
			held += cc.targets()
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
		have := cc.targets()
		fair := float64(held) * float64(cc.queued+cc.used) / float64(demand)
		if float64(have) > 1.25*fair+1.5 {
			c.recallOne(cc)
		}
	}
}

func (cc *creditClient) targets() int {
	n := 0
	for k := range cc.lends {
		n += cc.lends[k].target
	}
	return n
}

func (c *coord) recallOne(cc *creditClient) {
	best := -1
	for k := range cc.lends {
		if l := &cc.lends[k]; l.target > 0 && !l.trial && (best < 0 || l.target > cc.lends[best].target) {
			best = k
		}
	}
	if best >= 0 {
		l := &cc.lends[best]
		c.setTarget(cc, l, l.target-1, min(l.targetLong, l.target-1))
	}
}
