package pool

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Timing of a client.
const (
	syncActive    = 200 * time.Millisecond
	syncIdle      = time.Second
	syncEvidence  = 50 * time.Millisecond // bad news goes sooner
	syncUrgent    = 10 * time.Millisecond // between two syncs for a waiting queue
	activeFor     = time.Second           // after the last work
	creditLease   = 1500 * time.Millisecond
	ejectionLease = 5 * time.Second
	ownerSilence  = 800 * time.Millisecond
	pathAvoid     = 5 * time.Second        // a server that this VM cannot reach
	failAvoid     = 100 * time.Millisecond // prefer others after a failure
	shedAvoid     = 50 * time.Millisecond
	drainAvoid    = 30 * time.Second // the server says that it leaves; its row follows in the list
	idleReturn    = time.Second      // unused credits go back
)

// clientRow is the client's part of a server's row.
type clientRow struct {
	held        bool // in client.held
	granted     int
	grantedLong int
	trial       bool
	used        int
	usedLong    int
	raiseFrom   uint64 // states that echo an earlier sync cannot raise the grant
	lastUse     fleet.Time
	avoidUntil  fleet.Time // failures or path faults seen here
	unreachable int        // in a row
	ejected     fleet.Time // obeyed until
	evidence    []Evidence

	errorsInRow  int // local-ejection policy
	localEjected fleet.Time
	localCount   int
}

func (r *clientRow) free() int     { return r.granted - r.used }
func (r *clientRow) freeLong() int { return min(r.grantedLong-r.usedLong, r.free()) }

// flight is work on a server.
type flight struct {
	work   Work
	pool   *pool
	route  *route
	row    int32
	start  fleet.Time
	slowAt fleet.Time
	long   bool
	trial  bool
	slow   bool
	at     int // in client.flights
}

// coordinator modes of a client.
type mode uint8

const (
	modeOwner mode = iota
	modeCopy       // the owner is lost; the copy lends allotments
	modeAlone      // both are lost; the client uses its own allotment
)

// client is this VM's use of one pool.
type client struct {
	p    *Pools
	pool *pool

	queue   queue
	held    []int32 // rows with a grant or work
	flights []*flight
	dirty   []int32 // rows with evidence
	used    int
	usedMax int // highest use in the current second
	usedOld int // and in the previous one
	maxTurn fleet.Time
	next    int // round robin

	mode     mode
	version  uint64
	hint     *Redirect
	asked    int // which VM of another region to ask for the owner
	epoch    uint64
	ack      uint64
	seq      uint64
	sentAt   [64]fleet.Time // by seq
	waiting  fleet.Time     // sending of the oldest sync without an answer
	leaseEnd fleet.Time
	copyEnd  fleet.Time // lease of the copy's grants
	stateAt  fleet.Time
	usedPct  int
	cutoff   int8
	openAt   fleet.Time // a new coordinator lends unreported slots from here on

	lastSync   fleet.Time
	lastAway   fleet.Time
	lastMix    fleet.Time
	lastWork   fleet.Time
	lastIdem   fleet.Time
	lastRoutes fleet.Time
	wake       bool     // sync at the next tick
	bad        bool     // failure evidence is pending
	inquire    bool     // the pool of another region: ask for its use
	arrived    int      // work queued since the last sync
	toldIdle   int      // idle credits as last reported
	shrunk     bool     // a recall is not confirmed yet
	drainTell  []uint32 // servers that said that they leave, for the next sync
}

func (c *client) init(pl *pool) { c.p, c.pool = pl.p, pl }

func (c *client) forget(i int32) {
	if k := slices.Index(c.held, i); k >= 0 {
		c.held = slices.Delete(c.held, k, k+1)
	}
	if k := slices.Index(c.dirty, i); k >= 0 {
		c.dirty = slices.Delete(c.dirty, k, k+1)
	}
}

// home reports whether the pool is in this VM's region.
func (c *client) home() bool { return c.pool.id.Region == c.p.cfg.Region }

// Submit takes in a piece of work. It answers with true when the work has a server
// or is refused at once; otherwise the decision comes later from Decisions.
func (p *Pools) Submit(now fleet.Time, w Work) (Decision, bool) {
	p.enter(now)
	if !w.IsRetry {
		p.budget(w.Service).first(now)
	}
	pl := p.choose(now, w.Service)
	if pl == nil || !pl.usable(now) {
		return Decision{Work: w.ID, Code: result.NoServer}, true
	}
	r := pl.route(w.Route, w.Length)
	if code := pl.check(now, &w, r); code != result.OK {
		return Decision{Work: w.ID, Code: code}, true
	}
	c := &pl.client
	c.lastWork = now
	if w.Idempotent {
		c.lastIdem = now
	}
	class := r.workClass(w.Weight)
	if class >= c.cutoff && (c.queue.n == 0 || class > int8(c.queue.top)) {
		if i, trial, ok := c.pick(now, &w, r.long, class); ok {
			d := c.start(now, &w, r, i, trial, 0)
			p.deliver()
			return d, true
		}
	}
	it := &item{work: w, pool: pl, route: r, since: now, class: class, long: r.long, restricted: len(w.Exclude) > 0, index: -1}
	it.expiry = it.waitsUntil(now)
	c.admit(now, it)
	c.needSlot(now)
	p.deliver()
	if d, ok := p.taken(w.ID); ok {
		return d, true
	}
	return Decision{}, false
}

// taken removes the decision about the work from those waiting to be drained.
func (p *Pools) taken(id WorkID) (Decision, bool) {
	for i, d := range p.decisions {
		if d.Work == id {
			p.decisions = slices.Delete(p.decisions, i, i+1)
			return d, true
		}
	}
	return Decision{}, false
}

// check refuses work that cannot succeed.
func (pl *pool) check(now fleet.Time, w *Work, r *route) result.Code {
	if w.Deadline > 0 && now.Add(r.median()) >= w.Deadline {
		return result.DeadlineTooClose
	}
	if len(w.Exclude) == 0 {
		return result.OK
	}
	for _, i := range pl.order {
		if row := &pl.rows[i]; row.open(now) && !slices.Contains(w.Exclude, row.server.ID) {
			return result.OK
		}
	}
	return result.ServersDeclined
}

// pick finds a server with a free credit, by the policy in force.
func (c *client) pick(now fleet.Time, w *Work, long bool, class int8) (int32, bool, bool) {
	switch c.p.cfg.Policy {
	case PolicyCredits, PolicyStatic:
	case PolicyBlind:
		return c.pickBlind(now, w)
	default:
		return c.pickBaseline(now, w)
	}
	best, found := int32(-1), false
	bestUse := fleet.Time(math.MaxInt64)
	for _, i := range c.held {
		r := &c.pool.rows[i]
		if r.cl.trial {
			if r.cl.free() > 0 && w.Idempotent && r.open(now) && !slices.Contains(w.Exclude, r.server.ID) {
				return i, true, true // a trial must be made for the server to come back
			}
			continue
		}
		if r.cl.free() <= 0 || long && r.cl.freeLong() <= 0 || !c.allowed(now, r, w) {
			continue
		}
		use := r.cl.lastUse
		if now < r.cl.avoidUntil {
			use += fleet.Time(time.Hour) // only when there is nothing else
		}
		if use < bestUse {
			best, bestUse, found = i, use, true
		}
	}
	return best, false, found
}

// allowed reports whether the row's server may get this work.
func (c *client) allowed(now fleet.Time, r *row, w *Work) bool {
	return r.open(now) && now >= r.cl.ejected && !slices.Contains(w.Exclude, r.server.ID) &&
		(r.cl.unreachable < 2 || now >= r.cl.avoidUntil)
}

// start puts work on a server.
func (c *client) start(now fleet.Time, w *Work, r *route, i int32, trial bool, queued time.Duration) Decision {
	p := c.p
	var f *flight
	if n := len(p.spareFl); n > 0 {
		f, p.spareFl = p.spareFl[n-1], p.spareFl[:n-1]
	} else {
		f = new(flight)
	}
	*f = flight{work: *w, pool: c.pool, route: r, row: i, start: now, long: r.long, trial: trial, at: len(c.flights)}
	if m := r.median(); m > 0 {
		f.slowAt = now.Add(slowFactor * m)
	}
	c.flights = append(c.flights, f)
	p.flights[w.ID] = f
	row := &c.pool.rows[i]
	c.hold(i)
	row.cl.used++
	if f.long {
		row.cl.usedLong++
	}
	row.cl.lastUse = now
	c.lastWork = now
	c.used++
	c.usedMax = max(c.usedMax, c.used)
	if c.idle() == 0 && c.p.cfg.Policy == PolicyCredits {
		c.wake = true // ask for the next spare credit
	}
	return Decision{Work: w.ID, Server: row.server, Code: result.OK, Trial: trial, Queued: queued}
}

// idle returns the number of free credits.
func (c *client) idle() int {
	n := 0
	for _, i := range c.held {
		if r := &c.pool.rows[i].cl; !r.trial {
			n += max(0, r.free())
		}
	}
	return n
}

func (c *client) hold(i int32) {
	if r := &c.pool.rows[i]; !r.cl.held {
		r.cl.held = true
		c.held = append(c.held, i)
	}
}

// compact drops rows without grant and work from the held list.
func (c *client) compact() {
	c.held = slices.DeleteFunc(c.held, func(i int32) bool {
		r := &c.pool.rows[i].cl
		if r.granted == 0 && r.used == 0 {
			r.held = false
			return true
		}
		return false
	})
}

// End reports how an attempt ended and gives its slot back.
func (p *Pools) End(now fleet.Time, id WorkID, e End) {
	p.enter(now)
	f := p.flights[id]
	if f == nil {
		return
	}
	delete(p.flights, id)
	c := &f.pool.client
	last := len(c.flights) - 1
	c.flights[f.at] = c.flights[last]
	c.flights[f.at].at = f.at
	c.flights[last] = nil
	c.flights = c.flights[:last]
	row := &f.pool.rows[f.row]
	row.cl.used--
	if f.long {
		row.cl.usedLong--
	}
	row.cl.lastUse = now
	c.used--
	if !f.slow && f.slowAt > 0 && f.start.Add(e.Duration) >= f.slowAt {
		c.markSlow(f)
	}
	c.judge(now, f, e)
	c.pump(now)
	p.spareFl = append(p.spareFl, f)
	p.deliver()
}

// Cancel withdraws queued work. Work on a server must be ended with End.
func (p *Pools) Cancel(now fleet.Time, id WorkID) {
	p.enter(now)
	if it := p.queued[id]; it != nil {
		it.pool.client.queue.remove(it)
		delete(p.queued, id)
	}
	p.decisions = slices.DeleteFunc(p.decisions, func(d Decision) bool { return d.Work == id && d.Code != result.OK })
}

// pump starts queued work on free credits, the highest class first.
func (c *client) pump(now fleet.Time) {
	for len(c.queue.restricted) > 0 && c.tryStart(now, c.queue.restricted[0]) {
	}
	for c.queue.n > 0 && !c.pumpOne(now) {
	}
}

// pumpOne starts one piece of work and reports whether there is nothing more to start.
func (c *client) pumpOne(now fleet.Time) bool {
	for cl := c.queue.top; cl >= 0; cl-- {
		short, long := c.queue.heaps[cl][0], c.queue.heaps[cl][1]
		if len(short)+len(long) == 0 {
			if cl == c.queue.top && cl > 0 {
				c.queue.top--
			}
			continue
		}
		if c.mode == modeOwner && int8(cl) < c.cutoff {
			return true
		}
		if len(short) > 0 && c.tryStart(now, short[0]) || len(long) > 0 && c.tryStart(now, long[0]) {
			return false
		}
		if len(short) > 0 {
			return true // no free credit for short work: none for any work
		}
	}
	return true
}

func (c *client) tryStart(now fleet.Time, it *item) bool {
	if it.restricted && c.pool.check(now, &it.work, it.route) != result.OK {
		c.queue.remove(it)
		c.refuse(now, it, result.ServersDeclined)
		return true
	}
	i, trial, ok := c.pick(now, &it.work, it.long, it.class)
	if !ok {
		return false
	}
	c.queue.remove(it)
	delete(c.p.queued, it.work.ID)
	c.p.decisions = append(c.p.decisions, c.start(now, &it.work, it.route, i, trial, now.Sub(it.since)))
	return true
}

// tick advances the client's timers.
func (c *client) tick(now fleet.Time) {
	if now.Sub(c.maxTurn) > time.Second {
		c.usedOld, c.usedMax, c.maxTurn = c.usedMax, c.used, now
	}
	for _, f := range c.flights {
		if !f.slow && f.slowAt > 0 && now >= f.slowAt {
			c.markSlow(f)
		}
	}
	c.expire(now)
	for _, r := range c.pool.learned {
		if r.dirty {
			c.pool.refresh(now, r)
		}
	}
	if c.p.cfg.Policy.coordinated() {
		c.checkLease(now)
		c.returnIdle(now)
		c.syncIfDue(now)
	}
	c.pump(now)
}
