package pool

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of readmission and slow start.
const (
	minRunTime         = 5 * time.Second
	maxRunTime         = 25 * time.Second
	minRunSuccesses    = 5 // healthy trials in a run before a readmission
	trialHolderTimeout = 500 * time.Millisecond
	rampStep           = time.Second
	rampDuration       = 3 * rampStep
	probeInterval      = 5 * time.Second
	minProbesPassed    = 2 // consecutive passed probes before readmission on probation
)

// runFailScore is the score at which a run of trials has failed. It is lower than
// alarmThreshold, but a single straggler does not reach it.
var runFailScore = math.Log(100)

// trialState is the state of the trials of an ejected server.
type trialState struct {
	detail       map[string]string
	holder       *creditClient // client that holds the trial credit
	grantedAt    fleet.Time
	successes    int // healthy trials in the current run
	runStart     fleet.Time
	badScore     [symptomCount]float64
	lastOutcome  fleet.Time // time of the last trial outcome
	probesPassed int        // consecutive passed probes
	probing      bool
}

// requiredRunTime returns how long a run of healthy trials must last. It doubles with each
// recent ejection.
func (e *ejection) requiredRunTime() time.Duration {
	d := minRunTime
	for k := 1; k < len(e.history) && d < maxRunTime; k++ {
		d *= 2
	}
	return min(d, maxRunTime)
}

// runTrials grants the trial credit to one client at a time and readmits the server after a
// healthy run.
func (c *coord) runTrials(now fleet.Time, e *ejection) {
	r := &c.pool.rows[e.row]
	if !r.acceptsWork(now) {
		return
	}
	if e.successes >= minRunSuccesses && e.runStart > 0 && now.Sub(e.runStart) >= e.requiredRunTime() {
		c.readmit(now, e, "trial requests were healthy for the required time", now)
		return
	}
	if e.probesPassed >= minProbesPassed && now.Sub(e.since) >= e.requiredRunTime() && now.Sub(max(e.lastOutcome, e.since)) >= e.requiredRunTime() {
		// There was no idempotent work: one slot on probation before the ramp starts.
		c.readmit(now, e, "health probes pass and there is no idempotent work for trials", now.Add(minRunTime))
		return
	}
	if e.holder != nil {
		if now.Sub(e.grantedAt) < trialHolderTimeout && e.holder.live() && e.holder.acceptsTrials {
			return
		}
		c.recallTrial(e)
		return
	}
	if r.coord.outstanding > 0 || now < c.grantFrom {
		return
	}
	for range c.clients {
		c.nextClient++
		cc := c.clients[c.nextClient%len(c.clients)]
		if !cc.acceptsTrials || !cc.live() || cc.avoids(now, e.row) {
			continue
		}
		g := cc.grantFor(e.row)
		g.trial = true
		c.setTarget(cc, g, 1, 1)
		e.holder, e.grantedAt = cc, now
		return
	}
}

// recallTrial recalls the trial credit.
func (c *coord) recallTrial(e *ejection) {
	if e.holder == nil {
		return
	}
	for k := range e.holder.grants {
		if g := &e.holder.grants[k]; g.row == e.row && g.trial {
			g.trial = false
			c.setTarget(e.holder, g, 0, 0)
		}
	}
	e.holder = nil
}

// endTrials ends the trials of a client that has left or stopped syncing.
func (c *coord) endTrials(cc *creditClient) {
	for _, e := range c.ejections {
		if e.holder == cc {
			c.recallTrial(e)
		}
	}
}

// applyTrialEvidence extends the run of healthy trials, or restarts it after bad outcomes.
func (c *coord) applyTrialEvidence(now fleet.Time, i int32, ev *Evidence) {
	e := c.pool.rows[i].coord.ejection
	if e == nil || !e.inEffect() {
		return
	}
	re := c.evidenceFor(ev.Route)
	for s := range symptomCount {
		n, bad := ev.outcome(s)
		if n == 0 {
			continue
		}
		e.lastOutcome = now
		// Base rate if there is too little evidence about other servers.
		p0 := 0.05
		if re != nil {
			if p, ok := baseRate(now, re, &windows{}, s); ok {
				p0 = p
			}
		}
		goodStep, badStep, ok := logLikelihoodRatios(p0, s)
		if !ok {
			continue
		}
		e.badScore[s] = max(0, e.badScore[s]+float64(bad)*badStep+float64(n-bad)*goodStep)
		if e.badScore[s] >= runFailScore {
			e.successes, e.runStart, e.badScore = 0, 0, [symptomCount]float64{}
			return
		}
	}
	if ev.OK > 0 {
		e.successes += ev.OK
		if e.runStart == 0 {
			e.runStart = now
		}
	}
}

// readmit ends an ejection. The slow start of the server begins at rampAt.
func (c *coord) readmit(now fleet.Time, e *ejection, reason string, rampAt fleet.Time) {
	r := &c.pool.rows[e.row].coord
	c.p.event(EventReadmitted, c.pool.id, e.server, reason, map[string]string{
		"out_ms": msString(now.Sub(e.since)), "successes": strconv.Itoa(e.successes),
		"run_ms": msString(e.requiredRunTime()), "ejections_lately": strconv.Itoa(len(e.history)),
	})
	c.endEjection(now, e)
	r.ramping, r.rampStart = true, rampAt
	for s := range symptomCount {
		r.resetRun(s)
	}
}

// rampSlots returns the usable slots of a server during slow start: one, then a third, two
// thirds, and all.
func rampSlots(elapsed time.Duration, slots int) int {
	switch {
	case elapsed < rampStep:
		return 1
	case elapsed < 2*rampStep:
		return max(1, (slots+2)/3)
	case elapsed < rampDuration:
		return max(1, (2*slots+2)/3)
	}
	return slots
}

// Probe is a request to send one health probe to an ejected server.
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

// RecordProbe records the result of a probe. Passed probes alone do not readmit a server while
// there is idempotent work for trials.
func (p *Pools) RecordProbe(now fleet.Time, id fleet.PoolID, server fleet.ServerID, ok bool) {
	p.beginCall(now)
	pl := p.pools[id]
	if pl == nil || pl.coord == nil {
		return
	}
	for _, e := range pl.coord.ejections {
		if e.server == server && e.inEffect() {
			e.probing = false
			if ok {
				e.probesPassed++
			} else {
				e.probesPassed = 0
			}
		}
	}
}

// scheduleProbe requests a probe of one ejected server per probeInterval, round robin.
func (c *coord) scheduleProbe(now fleet.Time) {
	if now.Sub(c.lastProbe) < probeInterval || c.pool.service.HealthPath == "" {
		return
	}
	for range c.ejections {
		c.nextProbe++
		e := c.ejections[c.nextProbe%len(c.ejections)]
		if e.inEffect() && e.row >= 0 {
			c.lastProbe = now
			e.probing = true
			c.p.probes = append(c.p.probes, Probe{c.pool.id, c.pool.rows[e.row].server, c.pool.service.HealthPath})
			return
		}
	}
}
