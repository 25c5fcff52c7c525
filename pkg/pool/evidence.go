package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// count returns the pending evidence of a route on a row.
func (c *client) count(f *flight) *Evidence {
	row := &c.pool.rows[f.row]
	if len(row.cl.evidence) == 0 {
		c.dirty = append(c.dirty, f.row)
	}
	for k := range row.cl.evidence {
		if e := &row.cl.evidence[k]; e.Route == f.route.ref && e.Trial == f.trial {
			return e
		}
	}
	row.cl.evidence = append(row.cl.evidence, Evidence{Ref: row.ref, Route: f.route.ref, Trial: f.trial})
	return &row.cl.evidence[len(row.cl.evidence)-1]
}

// markSlow counts slowness when the threshold is passed, so that a hanging server
// is noticed before its requests end.
func (c *client) markSlow(f *flight) {
	f.slow = true
	if c.p.cfg.Policy.coordinated() {
		c.count(f).Slow++
		c.bad = true
	}
}

// judge turns an attempt's end into evidence, learned durations and avoidance.
func (c *client) judge(now fleet.Time, f *flight, e End) {
	row := &c.pool.rows[f.row]
	b := c.p.budget(f.work.Service)
	state := e.State
	if state == EndTimeout && f.slowAt == 0 {
		state = EndFailed // nothing learned yet: a timeout is the only sign of hanging
	}
	switch state {
	case EndOK:
		b.ended(now, false)
		f.route.learn(now, e.Duration)
		row.cl.unreachable = 0
	case EndFailed, EndTimeout:
		b.ended(now, true)
		row.cl.avoidUntil = max(row.cl.avoidUntil, now.Add(failAvoid))
	case EndUnreachable:
		b.ended(now, true)
		row.cl.unreachable++
		row.cl.avoidUntil = now.Add(failAvoid)
		if row.cl.unreachable >= 2 {
			row.cl.avoidUntil = now.Add(pathAvoid)
		}
	case EndShed:
		row.cl.avoidUntil = max(row.cl.avoidUntil, now.Add(shedAvoid))
	case EndDraining:
		c.draining(now, row)
	}
	if c.p.cfg.Policy == PolicyLocalEjection {
		c.judgeLocal(now, row, state)
	}
	if !c.p.cfg.Policy.coordinated() {
		return
	}
	switch state {
	case EndOK:
		if f.slow {
			c.count(f).Late++
		} else {
			c.count(f).OK++
		}
	case EndFailed:
		c.count(f).Failed++
		c.bad = true
	case EndUnreachable:
		c.count(f).Unreachable++
		c.bad = true
	case EndShed:
		c.count(f).Shed++
	}
}

// draining marks a server that says that it is leaving.
func (c *client) draining(now fleet.Time, row *row) {
	if now >= row.drainEnd {
		c.p.event(EventDraining, c.pool.id, row.server.ID, "the server's reply says that it is leaving", nil)
	}
	row.drainEnd = now.Add(drainAvoid)
	c.drainTell = append(c.drainTell, row.ref)
	c.wake = true
}

// Windows of the coordinator's evidence.
const (
	newWindow    = 300 * time.Millisecond
	fastWindow   = 2 * time.Second
	slowWindow   = 30 * time.Second
	sourceWindow = 5 * time.Second
)

// tally counts outcomes in a decaying window.
type tally struct {
	n, bad float64 // attempts and bad ones
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

// sign is a kind of bad outcome with its own sequential test.
type sign uint8

// Signs of a gray server.
const (
	signFailure sign = iota
	signSlowness
	signs
)

func (s sign) String() string {
	if s == signFailure {
		return "failure"
	}
	return "slowness"
}

// outcome returns attempts and bad ones for a sign.
func (e *Evidence) outcome(s sign) (n, bad int) {
	if s == signFailure {
		bad = e.Failed + e.Unreachable
		return e.OK + e.Late + bad, bad
	}
	return e.OK + e.Slow, e.Slow
}

// windows are the outcomes of one thing at three time scales.
type windows struct{ new, fast, slow [signs]tally }

func (w *windows) add(now fleet.Time, s sign, n, bad int) {
	w.new[s].add(now, newWindow, n, bad)
	w.fast[s].add(now, fastWindow, n, bad)
	w.slow[s].add(now, slowWindow, n, bad)
}

func (w *windows) decay(now fleet.Time, s sign) {
	w.new[s].decay(now, newWindow)
	w.fast[s].decay(now, fastWindow)
	w.slow[s].decay(now, slowWindow)
}

// routeEvidence holds the pool's outcomes on one route, in total and by server.
type routeEvidence struct {
	total windows
	byRow map[int32]*windows
}

// source holds what one client saw of one server.
type source struct {
	client *creditClient
	seen   [signs]tally
	run    [signs]float64 // its part of the score since the run began
}

// forgetEvidence drops what is known about a row that is reused for another server.
func (pl *pool) forgetEvidence(i int32) {
	if pl.coord == nil {
		return
	}
	for _, re := range pl.coord.routes {
		delete(re.byRow, i)
	}
}

// others returns attempts and bad ones of all servers but one on a route.
func others(total, own *tally) (n, bad float64) {
	return max(0, total.n-own.n), max(0, total.bad-own.bad)
}
