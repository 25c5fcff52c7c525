package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Readmission and slow start.
const (
	runFirst   = 5 * time.Second
	runMost    = 25 * time.Second
	runLeast   = 5 // successes
	trialTurn  = 500 * time.Millisecond
	rampStep   = time.Second
	rampTime   = 3 * rampStep
	probeEvery = 5 * time.Second
	probesOK   = 2 // in a row before a probation
)

// runBroken is the score at which a trial run counts as broken. It is lower than
// the ejection's threshold, but one straggler does not reach it.
var runBroken = math.Log(100)

// trialState follows the trials of an ejected server.
type trialState struct {
	detail  map[string]string
	holder  *creditClient
	given   fleet.Time
	good    int
	runFrom fleet.Time
	bad     [signs]float64
	lastTry fleet.Time // last trial outcome
	probed  int        // probes passed in a row
	probing bool
}

// runTime returns how long the healthy run must last.
func (e *ejection) runTime() time.Duration {
	d := runFirst
	for k := 1; k < len(e.history) && d < runMost; k++ {
		d *= 2
	}
	return min(d, runMost)
}

// tryOut lends the trial credit and readmits after a healthy run.
func (c *coord) tryOut(now fleet.Time, e *ejection) {
	r := &c.pool.rows[e.row]
	if !r.open(now) {
		return
	}
	if e.good >= runLeast && e.runFrom > 0 && now.Sub(e.runFrom) >= e.runTime() {
		c.readmit(now, e, "healthy run of trials", now)
		return
	}
	if e.probed >= probesOK && now.Sub(e.since) >= e.runTime() && now.Sub(max(e.lastTry, e.since)) >= e.runTime() {
		// No idempotent work came by: one slot on probation before the ramp.
		c.readmit(now, e, "probes pass and there is no idempotent work to try", now.Add(runFirst))
		return
	}
	if e.holder != nil {
		if now.Sub(e.given) < trialTurn && e.holder.live() && e.holder.trials {
			return
		}
		c.clearTrial(e)
		return
	}
	if r.co.lent > 0 || now < c.openAt {
		return
	}
	for range c.clients {
		c.turn++
		cc := c.clients[c.turn%len(c.clients)]
		if !cc.trials || !cc.live() || cc.avoids(now, e.row) {
			continue
		}
		l := cc.lendOf(e.row)
		l.trial = true
		c.setTarget(cc, l, 1, 1)
		e.holder, e.given = cc, now
		return
	}
}

// clearTrial takes the trial credit back.
func (c *coord) clearTrial(e *ejection) {
	if e.holder == nil {
		return
	}
	for k := range e.holder.lends {
		if l := &e.holder.lends[k]; l.row == e.row && l.trial {
			l.trial = false
			c.setTarget(e.holder, l, 0, 0)
		}
	}
	e.holder = nil
}

// dropTrial ends the trials held by a client that is gone or silent.
func (c *coord) dropTrial(cc *creditClient) {
	for _, e := range c.ejections {
		if e.holder == cc {
			c.clearTrial(e)
		}
	}
}

// trialEvidence advances or breaks the healthy run.
func (c *coord) trialEvidence(now fleet.Time, i int32, ev *Evidence) {
	e := c.pool.rows[i].co.ej
	if e == nil || !e.out() {
		return
	}
	re := c.routeEvidence(ev.Route)
	for s := range signs {
		n, bad := ev.outcome(s)
		if n == 0 {
			continue
		}
		e.lastTry = now
		p0 := 0.05
		if re != nil {
			if p, ok := baseRate(now, re, &windows{}, s); ok {
				p0 = p
			}
		}
		good, evil, ok := ratios(p0, s)
		if !ok {
			continue
		}
		e.bad[s] = max(0, e.bad[s]+float64(bad)*evil+float64(n-bad)*good)
		if e.bad[s] >= runBroken {
			e.good, e.runFrom, e.bad = 0, 0, [signs]float64{}
			return
		}
	}
	if ev.OK > 0 {
		e.good += ev.OK
		if e.runFrom == 0 {
			e.runFrom = now
		}
	}
}

// readmit ends an ejection with a slow start from the given time on.
func (c *coord) readmit(now fleet.Time, e *ejection, why string, rampAt fleet.Time) {
	r := &c.pool.rows[e.row].co
	c.p.event(EventReadmitted, c.pool.id, e.server, why, map[string]string{
		"out_ms": msString(now.Sub(e.since)), "successes": strconv.Itoa(e.good),
		"run_ms": msString(e.runTime()), "ejections_lately": strconv.Itoa(len(e.history)),
	})
	c.endEjection(now, e)
	r.ramping, r.rampAt = true, rampAt
	for s := range signs {
		r.newRun(s)
	}
}

// rampSlots returns the slots of a server during slow start: a sixth, a third, two
// thirds, all.
func rampSlots(elapsed time.Duration, slots int) int {
	switch {
	case elapsed < rampStep:
		return 1
	case elapsed < 2*rampStep:
		return max(1, (slots+2)/3)
	case elapsed < rampTime:
		return max(1, (2*slots+2)/3)
	}
	return slots
}

// Probe asks the shell to send one health probe to an ejected server.
type Probe struct {
	Pool   fleet.PoolID
	Server fleet.Server
	Path   string
}

// Probes returns and clears the probes to send.
func (p *Pools) Probes() []Probe {
	out := p.probes
	p.probes = nil
	return out
}

// Probed reports the outcome of a probe. A passed probe alone readmits no server.
func (p *Pools) Probed(now fleet.Time, id fleet.PoolID, server fleet.ServerID, ok bool) {
	p.enter(now)
	pl := p.pools[id]
	if pl == nil || pl.coord == nil {
		return
	}
	for _, e := range pl.coord.ejections {
		if e.server == server && e.out() {
			e.probing = false
			if ok {
				e.probed++
			} else {
				e.probed = 0
			}
		}
	}
}

// orderProbe sends one ejected server a probe every 5 s, in turn.
func (c *coord) orderProbe(now fleet.Time) {
	if now.Sub(c.lastProbe) < probeEvery || c.pool.service.HealthPath == "" {
		return
	}
	for range c.ejections {
		c.probeTurn++
		e := c.ejections[c.probeTurn%len(c.ejections)]
		if e.out() && e.row >= 0 {
			c.lastProbe = now
			e.probing = true
			c.p.probes = append(c.p.probes, Probe{c.pool.id, c.pool.rows[e.row].server, c.pool.service.HealthPath})
			return
		}
	}
}
