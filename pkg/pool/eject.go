package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// phase of an ejection.
type phase uint8

const (
	phaseProposed phase = iota + 1 // the copy has not accepted it yet
	phaseOut
	phaseEnded // readmitted; clients that missed it may still obey for a lease
)

// historyFor is how long an ejection lengthens the next ones.
const historyFor = 5 * time.Minute

// ejection is an entry of the ejected set, which owner and copy keep alike.
type ejection struct {
	server  fleet.ServerID
	row     int32 // -1 while the server is not listed here
	phase   phase
	since   fleet.Time
	history []fleet.Time
	score   float64
	cause   string
	seq     uint64 // Replicate.Seq that carries the proposal

	trialState
}

func (e *ejection) out() bool { return e.phase == phaseOut }

// holds reports whether some client may obey the ejection.
func (e *ejection) holds(now fleet.Time) bool {
	return e.phase != phaseEnded || now < e.since.Add(ejectionLease+ejectionMargin)
}

// floorOf returns the pool's part of the service's floor, in servers.
func (c *coord) floorOf() int {
	f := c.pool.service.Floor
	here := len(c.pool.order)
	all := 0
	for _, id := range c.p.dir.Pools(c.pool.id.Service) {
		all += len(c.p.dir.Pool(id))
	}
	n := 0
	if f.Servers > 0 && all > 0 {
		n = (f.Servers*here + all - 1) / all
	}
	return max(n, (f.Percent*here+99)/100)
}

// healthy counts servers that are listed live, not leaving, warm, and not ejected.
// With strict, an ejection that has ended counts until no client can obey it.
func (c *coord) healthy(now fleet.Time, strict bool) int {
	n := 0
	for _, i := range c.pool.order {
		r := &c.pool.rows[i]
		if !r.open(now) || !c.warm(now, r) {
			continue
		}
		if e := r.co.ej; e != nil && (strict && e.holds(now) || !strict && e.phase != phaseEnded) {
			continue
		}
		n++
	}
	return n
}

// propose ejects a server if the floor allows it and the copy accepts it.
func (c *coord) propose(now fleet.Time, i int32, s sign, recent float64) {
	r := &c.pool.rows[i]
	if c.role != shard.RoleOwner || !c.acting() || now < c.ejectAt || !r.open(now) {
		return
	}
	if e := r.co.ej; e != nil && e.phase != phaseEnded {
		return
	}
	own := r.co.ej != nil && r.co.ej.holds(now) // its budget is still taken
	healthy, floor := c.healthy(now, true), c.floorOf()
	if !own && c.warm(now, r) {
		healthy--
	}
	detail := c.grounds(now, i, s, recent)
	detail["healthy_after"], detail["floor"] = strconv.Itoa(healthy), strconv.Itoa(floor)
	if healthy < floor {
		r.co.suspect = true
		if r.co.told == 0 || now.Sub(r.co.told) > eventSpacing {
			r.co.told = now
			c.p.event(EventFloorRefused, c.pool.id, r.server.ID, "ejection would break the floor", detail)
		}
		return
	}
	e := r.co.ej
	if e == nil {
		e = &ejection{server: r.server.ID, row: i}
		c.insert(e)
		r.co.ej = e
	}
	e.phase, e.since, e.score = phaseProposed, now, recent
	e.cause = s.String() + " rate " + detail["rate"] + ", others " + detail["others"]
	e.trialState = trialState{detail: detail}
	if c.copyOf.IsZero() {
		c.force(now, e)
		return
	}
	e.seq = c.repSeq + 1
	c.replicate(now)
}

// grounds collects the evidence for the journal.
func (c *coord) grounds(now fleet.Time, i int32, s sign, recent float64) map[string]string {
	var own, rest tally
	for _, re := range c.routes {
		if w := re.byRow[i]; w != nil {
			re.total.decay(now, s)
			w.decay(now, s)
			n, bad := others(&re.total.slow[s], &w.slow[s])
			own.n, own.bad = own.n+w.fast[s].n, own.bad+w.fast[s].bad
			rest.n, rest.bad = rest.n+n, rest.bad+bad
		}
	}
	return map[string]string{
		"sign": s.String(), "score": fmtFloat(c.pool.rows[i].co.score[s]), "recent": fmtFloat(recent),
		"threshold": fmtFloat(threshold), "requests": strconv.Itoa(int(own.n + 0.5)),
		"rate": fmtFloat(own.bad / max(own.n, 1)), "others": fmtFloat(rest.bad / max(rest.n, 1)),
		"vms": strconv.Itoa(len(c.pool.rows[i].co.sources)),
	}
}

// force puts an accepted ejection into force.
func (c *coord) force(now fleet.Time, e *ejection) {
	e.phase, e.since = phaseOut, now
	e.history = append(e.history, now)
	c.repDirty = true
	if e.row >= 0 {
		r := &c.pool.rows[e.row].co
		r.suspect, r.ramping = false, false
		r.score, r.seen, r.alarmAt, r.sources = [signs]float64{}, [signs]int{}, [signs]fleet.Time{}, nil
		for _, re := range c.routes {
			re.drop(now, e.row)
		}
		c.recallRow(e.row)
	}
	detail := e.detail
	if detail == nil {
		detail = map[string]string{"cause": e.cause}
	}
	detail["ejections_lately"] = strconv.Itoa(len(e.history))
	c.p.event(EventEjected, c.pool.id, e.server, "ejected: "+e.cause, detail)
}

// drop takes a server's outcomes out of the totals, so that they do not raise the
// base rate for the others.
func (re *routeEvidence) drop(now fleet.Time, i int32) {
	w := re.byRow[i]
	if w == nil {
		return
	}
	for s := range signs {
		re.total.decay(now, s)
		w.decay(now, s)
		for _, pair := range [][2]*tally{{&re.total.fast[s], &w.fast[s]}, {&re.total.slow[s], &w.slow[s]}} {
			pair[0].n, pair[0].bad = others(pair[0], pair[1])
		}
	}
	delete(re.byRow, i)
}

func (c *coord) insert(e *ejection) {
	k, _ := slices.BinarySearchFunc(c.ejections, e.server, func(x *ejection, id fleet.ServerID) int { return cmp.Compare(x.server, id) })
	c.ejections = slices.Insert(c.ejections, k, e)
}

// linkEjections ties the entries to the rows of the table.
func (c *coord) linkEjections(now fleet.Time) {
	for i := range c.pool.rows {
		c.pool.rows[i].co.ej = nil
	}
	for _, e := range c.ejections {
		e.row = -1
		if i, ok := c.pool.byID[e.server]; ok && c.pool.rows[i].listed {
			e.row = i
			c.pool.rows[i].co.ej = e
		}
	}
}

func (c *coord) ejectedRefs() []uint32 {
	var out []uint32
	for _, e := range c.ejections {
		if e.out() {
			out = append(out, refOf(e.server))
		}
	}
	return out
}

// guardFloor returns the least suspect ejected server when leaves or failures have
// brought the pool below its floor.
func (c *coord) guardFloor(now fleet.Time) {
	if c.role != shard.RoleOwner || len(c.ejections) == 0 {
		return
	}
	floor := c.floorOf()
	for healthy := c.healthy(now, false); healthy < floor; healthy++ {
		var least *ejection
		for _, e := range c.ejections {
			if e.phase == phaseEnded || e.row < 0 || !c.pool.rows[e.row].open(now) {
				continue
			}
			if least == nil || e.score < least.score {
				least = e
			}
		}
		if least == nil {
			return
		}
		c.p.event(EventFloorReturn, c.pool.id, least.server, "the pool fell below its floor", map[string]string{
			"healthy": strconv.Itoa(healthy), "floor": strconv.Itoa(floor),
		})
		c.endEjection(now, least)
		c.pool.rows[least.row].co.suspect = true
	}
}

// endEjection lets the server get ordinary work again.
func (c *coord) endEjection(now fleet.Time, e *ejection) {
	e.phase, e.since = phaseEnded, now
	c.repDirty = true
	c.clearTrial(e)
	for _, cc := range c.clients {
		cc.dirty = true
	}
}

// ejectionTick advances proposals, trials and the ends of ejections.
func (c *coord) ejectionTick(now fleet.Time) {
	for k := 0; k < len(c.ejections); k++ {
		e := c.ejections[k]
		e.history = slices.DeleteFunc(e.history, func(t fleet.Time) bool { return now.Sub(t) > historyFor })
		switch {
		case e.phase == phaseProposed && c.copyOf.IsZero():
			c.force(now, e)
		case e.phase == phaseOut && e.row >= 0:
			c.tryOut(now, e)
		case e.row < 0 && e.phase != phaseEnded && c.pool.gone(e.server, now):
			c.endEjection(now, e) // the server has left the list
		case e.phase == phaseEnded && !e.holds(now) && len(e.history) == 0:
			c.ejections = slices.Delete(c.ejections, k, k+1)
			if e.row >= 0 {
				c.pool.rows[e.row].co.ej = nil
			}
			k--
		}
	}
	for _, i := range c.pool.order {
		if r := &c.pool.rows[i].co; r.suspect && r.score[signFailure] < threshold/2 && r.score[signSlowness] < threshold/2 {
			r.suspect = false
		}
	}
	c.orderProbe(now)
}

// gone reports whether the server has been absent from the list for a while.
func (pl *pool) gone(id fleet.ServerID, now fleet.Time) bool {
	i, ok := pl.byID[id]
	return !ok || !pl.rows[i].listed && now.Sub(pl.rows[i].goneAt) > ejectionLease
}
