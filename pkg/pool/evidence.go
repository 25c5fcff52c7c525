package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// pendingEvidence returns the unsent evidence for the attempt's server and route, adding
// it if absent.
func (c *client) pendingEvidence(a *attempt) *Evidence {
	row := &c.pool.rows[a.row]
	if len(row.client.evidence) == 0 {
		c.evidenceRows = append(c.evidenceRows, a.row)
	}
	for k := range row.client.evidence {
		if e := &row.client.evidence[k]; e.Route == a.route.ref && e.Trial == a.trial {
			return e
		}
	}
	row.client.evidence = append(row.client.evidence, Evidence{Ref: row.ref, Route: a.route.ref, Trial: a.trial})
	return &row.client.evidence[len(row.client.evidence)-1]
}

// markSlow counts an attempt as slow as soon as it exceeds the slowness threshold, so that
// a hanging server is detected before its requests end.
func (c *client) markSlow(a *attempt) {
	a.slow = true
	if c.p.cfg.Policy.coordinated() {
		c.pendingEvidence(a).Slow++
		c.failurePending = true
	}
}

// recordEnd updates evidence, measured durations, retry budget and backoff after an attempt.
func (c *client) recordEnd(now fleet.Time, a *attempt, e End) {
	row := &c.pool.rows[a.row]
	b := c.p.budget(a.work.Service)
	state := e.State
	if state == EndTimeout && a.slowAt == 0 {
		state = EndFailed // without a measured median, a timeout is the only symptom of a hanging server
	}
	switch state {
	case EndOK:
		b.countEnd(now, false)
		a.route.recordDuration(now, e.Duration)
		row.client.connectFailures = 0
	case EndFailed, EndTimeout:
		b.countEnd(now, true)
		row.client.avoidUntil = max(row.client.avoidUntil, now.Add(failureBackoff))
	case EndUnreachable:
		b.countEnd(now, true)
		row.client.connectFailures++
		row.client.avoidUntil = now.Add(failureBackoff)
		if row.client.connectFailures >= 2 {
			row.client.avoidUntil = now.Add(unreachableBackoff)
		}
	case EndShed:
		row.client.avoidUntil = max(row.client.avoidUntil, now.Add(shedBackoff))
	}
	if e.Notice.Leaving || state == EndDraining {
		c.markDraining(now, row)
	}
	if c.p.cfg.Policy == PolicyLocalEjection {
		c.applyLocalEjection(now, row, state)
	}
	if !c.p.cfg.Policy.coordinated() {
		return
	}
	switch state {
	case EndOK:
		if a.slow {
			c.pendingEvidence(a).Late++
		} else {
			c.pendingEvidence(a).OK++
		}
	case EndFailed:
		c.pendingEvidence(a).Failed++
		c.failurePending = true
	case EndUnreachable:
		c.pendingEvidence(a).Unreachable++
		c.failurePending = true
	case EndShed:
		c.pendingEvidence(a).Shed++
	}
}

// markDraining marks a server that reported that it is shutting down.
func (c *client) markDraining(now fleet.Time, row *row) {
	if now >= row.drainEnd {
		c.p.event(EventDraining, c.pool.id, row.server.ID, "server response reports that it is draining", nil)
	}
	row.drainEnd = now.Add(drainBackoff)
	c.drainReports = append(c.drainReports, row.ref)
	c.syncSoon = true
}

// Time constants of the coordinator's evidence windows.
const (
	latestWindow = 300 * time.Millisecond
	fastWindow   = 2 * time.Second
	slowWindow   = 30 * time.Second
	sourceWindow = 5 * time.Second
)

// tally counts outcomes with exponential decay.
type tally struct {
	n, bad float64 // all outcomes and bad outcomes
	at     fleet.Time
}

func (t *tally) decay(now fleet.Time, tau time.Duration) {
	if t.n == 0 || now <= t.at {
		t.at = max(t.at, now)
		return
	}
	var d decayed
	d.v, d.at = 1, t.at
	k := d.get(now, tau)
	t.n, t.bad, t.at = t.n*k, t.bad*k, now
}

func (t *tally) add(now fleet.Time, tau time.Duration, n, bad int) {
	t.decay(now, tau)
	t.n += float64(n)
	t.bad += float64(bad)
}

// symptom is a kind of bad outcome that has its own sequential test.
type symptom uint8

// Symptoms of a gray server.
const (
	symptomFailure symptom = iota
	symptomSlowness
	symptomCount
)

func (s symptom) String() string {
	if s == symptomFailure {
		return "failure"
	}
	return "slowness"
}

// outcome returns the number of all outcomes and of bad outcomes for a symptom.
func (e *Evidence) outcome(s symptom) (n, bad int) {
	if s == symptomFailure {
		bad = e.Failed + e.Unreachable
		return e.OK + e.Late + bad, bad
	}
	return e.OK + e.Slow, e.Slow
}

// windows counts the same outcomes at three time scales.
type windows struct{ latest, fast, slow [symptomCount]tally }

func (w *windows) add(now fleet.Time, s symptom, n, bad int) {
	w.latest[s].add(now, latestWindow, n, bad)
	w.fast[s].add(now, fastWindow, n, bad)
	w.slow[s].add(now, slowWindow, n, bad)
}

func (w *windows) decay(now fleet.Time, s symptom) {
	w.latest[s].decay(now, latestWindow)
	w.fast[s].decay(now, fastWindow)
	w.slow[s].decay(now, slowWindow)
}

// routeEvidence holds the pool's outcomes on one route, in total and by server row.
type routeEvidence struct {
	total windows
	byRow map[int32]*windows
}

// source holds the outcomes that one client reported for one server.
type source struct {
	client   *creditClient
	outcomes [symptomCount]tally
	runScore [symptomCount]float64 // the client's part of the score in the current run
}

// discardEvidence deletes the outcomes of a row that is reused for another server.
func (pl *pool) discardEvidence(i int32) {
	if pl.coord == nil {
		return
	}
	for _, re := range pl.coord.routes {
		delete(re.byRow, i)
	}
}

// otherOutcomes returns the outcomes in total that are not in own, all and bad.
func otherOutcomes(total, own *tally) (n, bad float64) {
	return max(0, total.n-own.n), max(0, total.bad-own.bad)
}
