package pool

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// phase is the phase of an ejection.
type phase uint8

const (
	phaseProposed phase = iota + 1 // not yet acknowledged by the copy
	phaseEjected
	phaseEnded // readmitted; clients that have not received this yet may enforce it until their lease ends
)

// historyWindow is how long an ejection prolongs later ejections of the same server.
const historyWindow = 5 * time.Minute

// ejection is an entry of the ejected set, which is replicated from the owner to the copy.
type ejection struct {
	server  fleet.ServerID
	row     int32 // -1 while the server is not listed on this VM
	phase   phase
	since   fleet.Time   // start of the phase
	history []fleet.Time // times of the ejections within historyWindow
	score   float64
	cause   string
	seq     uint64 // Replicate.Seq that carries the proposal

	trialState
}

// inEffect reports whether the ejection has been activated and has not ended.
func (e *ejection) inEffect() bool { return e.phase == phaseEjected }

// mayBeEnforced reports whether the ejection is proposed or in effect, or some client may
// still enforce it.
func (e *ejection) mayBeEnforced(now fleet.Time) bool {
	return e.phase != phaseEnded || now < e.since.Add(ejectionLease+ejectionMargin)
}

// poolFloor returns the floor of the pool in servers: the larger of its share of the
// service's Floor.Servers and Floor.Percent of its own servers.
func (c *coord) poolFloor() int {
	f := c.pool.service.Floor
	poolServers := len(c.pool.sortedRows)
	allServers := 0
	for _, id := range c.p.dir.Pools(c.pool.id.Service) {
		allServers += len(c.p.dir.Pool(id))
	}
	n := 0
	if f.Servers > 0 && allServers > 0 {
		n = (f.Servers*poolServers + allServers - 1) / allServers
	}
	return max(n, (f.Percent*poolServers+99)/100)
}

// healthy returns the number of servers that are listed as live, not draining, warmed up
// and not ejected. If strict is set, a readmitted server counts as ejected until no
// client can enforce the ejection any more.
func (c *coord) healthy(now fleet.Time, strict bool) int {
	n := 0
	for _, i := range c.pool.sortedRows {
		r := &c.pool.rows[i]
		if !r.acceptsWork(now) || !c.warmedUp(now, r) {
			continue
		}
		if e := r.coord.ejection; e != nil && (strict && e.mayBeEnforced(now) || !strict && e.phase != phaseEnded) {
			continue
		}
		n++
	}
	return n
}

// propose starts the ejection of a server if the floor allows it. The ejection becomes
// active when the copy has acknowledged it, or immediately if there is no copy.
func (c *coord) propose(now fleet.Time, i int32, s symptom, recent float64) {
	r := &c.pool.rows[i]
	if c.role != shard.RoleOwner || !c.active() || now < c.ejectFrom || !r.acceptsWork(now) {
		return
	}
	if e := r.coord.ejection; e != nil && e.phase != phaseEnded {
		return
	}
	alreadyExcluded := r.coord.ejection != nil && r.coord.ejection.mayBeEnforced(now) // not counted by healthy
	healthy, floor := c.healthy(now, true), c.poolFloor()
	if !alreadyExcluded && c.warmedUp(now, r) {
		healthy--
	}
	detail := c.evidenceDetail(now, i, s, recent)
	detail["healthy_after"], detail["floor"] = strconv.Itoa(healthy), strconv.Itoa(floor)
	if healthy < floor {
		r.coord.suspect = true
		if r.coord.lastEvent == 0 || now.Sub(r.coord.lastEvent) > eventInterval {
			r.coord.lastEvent = now
			c.p.event(EventFloorRefused, c.pool.id, r.server.ID, "ejection would bring the pool below its floor", detail)
		}
		return
	}
	e := r.coord.ejection
	if e == nil {
		e = &ejection{server: r.server.ID, row: i}
		c.insertEjection(e)
		r.coord.ejection = e
	}
	e.phase, e.since, e.score = phaseProposed, now, recent
	e.cause = s.String() + " rate " + detail["rate"] + ", others " + detail["others"]
	e.trialState = trialState{detail: detail}
	if c.copyMember.IsZero() {
		c.activateEjection(now, e)
		return
	}
	e.seq = c.replicaSeq + 1
	c.replicate(now)
}

// evidenceDetail returns the evidence for an ejection as event details.
func (c *coord) evidenceDetail(now fleet.Time, i int32, s symptom, recent float64) map[string]string {
	var own, rest tally
	for _, re := range c.routes {
		if w := re.byRow[i]; w != nil {
			re.total.decay(now, s)
			w.decay(now, s)
			n, bad := otherOutcomes(&re.total.slow[s], &w.slow[s])
			own.n, own.bad = own.n+w.fast[s].n, own.bad+w.fast[s].bad
			rest.n, rest.bad = rest.n+n, rest.bad+bad
		}
	}
	return map[string]string{
		"sign": s.String(), "score": fmtFloat(c.pool.rows[i].coord.score[s]), "recent": fmtFloat(recent),
		"threshold": fmtFloat(alarmThreshold), "requests": strconv.Itoa(int(own.n + 0.5)),
		"rate": fmtFloat(own.bad / max(own.n, 1)), "others": fmtFloat(rest.bad / max(rest.n, 1)),
		"vms": strconv.Itoa(len(c.pool.rows[i].coord.sources)),
	}
}

// activateEjection puts an acknowledged ejection into effect and recalls the server's credits.
func (c *coord) activateEjection(now fleet.Time, e *ejection) {
	e.phase, e.since = phaseEjected, now
	e.history = append(e.history, now)
	c.replicaDirty = true
	if e.row >= 0 {
		r := &c.pool.rows[e.row].coord
		r.suspect, r.ramping = false, false
		r.score, r.runOutcomes, r.alarmAt, r.sources = [symptomCount]float64{}, [symptomCount]int{}, [symptomCount]fleet.Time{}, nil
		for _, re := range c.routes {
			re.removeRow(now, e.row)
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

// removeRow subtracts a server's outcomes from the totals, so that they do not raise the
// base rate of the other servers.
func (re *routeEvidence) removeRow(now fleet.Time, i int32) {
	w := re.byRow[i]
	if w == nil {
		return
	}
	for s := range symptomCount {
		re.total.decay(now, s)
		w.decay(now, s)
		for _, pair := range [][2]*tally{{&re.total.fast[s], &w.fast[s]}, {&re.total.slow[s], &w.slow[s]}} {
			pair[0].n, pair[0].bad = otherOutcomes(pair[0], pair[1])
		}
	}
	delete(re.byRow, i)
}

// insertEjection adds an entry in the order of server IDs.
func (c *coord) insertEjection(e *ejection) {
	k, _ := slices.BinarySearchFunc(c.ejections, e.server, func(x *ejection, id fleet.ServerID) int { return cmp.Compare(x.server, id) })
	c.ejections = slices.Insert(c.ejections, k, e)
}

// linkEjections links the entries of the ejected set and the table rows to each other.
func (c *coord) linkEjections(now fleet.Time) {
	for i := range c.pool.rows {
		c.pool.rows[i].coord.ejection = nil
	}
	for _, e := range c.ejections {
		e.row = -1
		if i, ok := c.pool.byID[e.server]; ok && c.pool.rows[i].listed {
			e.row = i
			c.pool.rows[i].coord.ejection = e
		}
	}
}

func (c *coord) ejectedRefs() []uint32 {
	var out []uint32
	for _, e := range c.ejections {
		if e.inEffect() {
			out = append(out, serverRef(e.server))
		}
	}
	return out
}

// enforceFloor readmits the ejected servers with the lowest scores while the pool is below
// its floor because other servers have left or failed.
func (c *coord) enforceFloor(now fleet.Time) {
	if c.role != shard.RoleOwner || len(c.ejections) == 0 {
		return
	}
	floor := c.poolFloor()
	for healthy := c.healthy(now, false); healthy < floor; healthy++ {
		var lowest *ejection
		for _, e := range c.ejections {
			if e.phase == phaseEnded || e.row < 0 || !c.pool.rows[e.row].acceptsWork(now) {
				continue
			}
			if lowest == nil || e.score < lowest.score {
				lowest = e
			}
		}
		if lowest == nil {
			return
		}
		c.p.event(EventFloorReadmitted, c.pool.id, lowest.server, "the pool fell below its floor", map[string]string{
			"healthy": strconv.Itoa(healthy), "floor": strconv.Itoa(floor),
		})
		c.endEjection(now, lowest)
		c.pool.rows[lowest.row].coord.suspect = true
	}
}

// endEjection ends an ejection; the server may get regular work again.
func (c *coord) endEjection(now fleet.Time, e *ejection) {
	e.phase, e.since = phaseEnded, now
	c.replicaDirty = true
	c.recallTrial(e)
	for _, cc := range c.clients {
		cc.stateDue = true
	}
}

// ejectionTick advances the phases and trials of all ejections.
func (c *coord) ejectionTick(now fleet.Time) {
	for k := 0; k < len(c.ejections); k++ {
		e := c.ejections[k]
		e.history = slices.DeleteFunc(e.history, func(t fleet.Time) bool { return now.Sub(t) > historyWindow })
		switch {
		case e.phase == phaseProposed && c.copyMember.IsZero():
			c.activateEjection(now, e)
		case e.phase == phaseEjected && e.row >= 0:
			c.runTrials(now, e)
		case e.row < 0 && e.phase != phaseEnded && c.pool.absent(e.server, now):
			c.endEjection(now, e) // the server has left the list
		case e.phase == phaseEnded && !e.mayBeEnforced(now) && len(e.history) == 0:
			c.ejections = slices.Delete(c.ejections, k, k+1)
			if e.row >= 0 {
				c.pool.rows[e.row].coord.ejection = nil
			}
			k--
		}
	}
	for _, i := range c.pool.sortedRows {
		if r := &c.pool.rows[i].coord; r.suspect && r.score[symptomFailure] < alarmThreshold/2 && r.score[symptomSlowness] < alarmThreshold/2 {
			r.suspect = false
		}
	}
	c.scheduleProbe(now)
}

// absent reports whether the server has been missing from the list for longer than ejectionLease.
func (pl *pool) absent(id fleet.ServerID, now fleet.Time) bool {
	i, ok := pl.byID[id]
	return !ok || !pl.rows[i].listed && now.Sub(pl.rows[i].unlistedAt) > ejectionLease
}
