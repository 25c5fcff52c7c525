package pool

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Timing of a client of a pool.
const (
	activeSyncInterval   = 200 * time.Millisecond
	idleSyncInterval     = time.Second
	evidenceSyncInterval = 50 * time.Millisecond // failures and slowness are reported sooner
	minSyncInterval      = 10 * time.Millisecond // between two syncs while work is queued
	activePeriod         = time.Second           // time after the last work during which the client counts as active
	creditLease          = 1500 * time.Millisecond
	ejectionLease        = 5 * time.Second
	ownerTimeout         = 800 * time.Millisecond
	unreachableBackoff   = 5 * time.Second        // after repeated failures to connect to a server
	failureBackoff       = 100 * time.Millisecond // other servers are preferred after a failure
	shedBackoff          = 50 * time.Millisecond
	drainBackoff         = 30 * time.Second // bridges the time until the server list shows that the server is leaving
	idleCreditTimeout    = time.Second      // unused credits are returned after this time
)

// clientRow is the client's state of one server.
type clientRow struct {
	inHeld          bool // the row is in client.held
	granted         int
	grantedLong     int
	trial           bool
	used            int
	usedLong        int
	minRaiseSeq     uint64 // a State that answers an earlier Sync cannot raise the grant
	lastUse         fleet.Time
	avoidUntil      fleet.Time // set after failures or path faults seen by this VM
	connectFailures int        // consecutive failures to connect
	ejectedUntil    fleet.Time // the ejection is in effect until this time
	evidence        []Evidence

	consecutiveErrors int // used by PolicyLocalEjection only
	localEjectedUntil fleet.Time
	localEjections    int
}

func (r *clientRow) free() int     { return r.granted - r.used }
func (r *clientRow) freeLong() int { return min(r.grantedLong-r.usedLong, r.free()) }

// attempt is work in progress on a server.
type attempt struct {
	work   Work
	pool   *pool
	route  *route
	row    int32
	start  fleet.Time
	slowAt fleet.Time
	long   bool
	trial  bool
	slow   bool
	index  int // in client.attempts
}

// creditMode is the source of a client's credits.
type creditMode uint8

const (
	modeOwner  creditMode = iota
	modeCopy              // the owner does not answer; the copy grants the static shares
	modeStatic            // neither answers; the client uses its own static share
)

// client is the state of this VM as a client of one pool.
type client struct {
	p    *Pools
	pool *pool

	queue        queue
	held         []int32 // rows with granted or used credits
	attempts     []*attempt
	evidenceRows []int32 // rows with evidence not yet sent
	used         int
	peakUsed     int // highest value of used in the current second
	prevPeakUsed int // and in the previous second
	peakReset    fleet.Time
	nextRow      int // position of round-robin selection

	mode             creditMode
	version          uint64
	redirect         *Redirect
	remoteIndex      int // selects the VM of another region that is queried for the owner
	epoch            uint64
	ack              uint64
	seq              uint64
	sentAt           [64]fleet.Time // send times, indexed by seq modulo the length
	oldestUnanswered fleet.Time     // send time of the oldest unanswered sync; 0 if none
	leaseEnd         fleet.Time
	copyLeaseEnd     fleet.Time // end of the lease on the copy's grants
	lastState        fleet.Time
	usedPct          int
	cutoff           int8       // lowest admission class that is dispatched
	grantingFrom     fleet.Time // time from which a new coordinator grants slots that no client has reported

	lastSync          fleet.Time
	lastLostOwnerSync fleet.Time
	lastExchange      fleet.Time
	lastWork          fleet.Time
	lastIdempotent    fleet.Time
	lastRouteStats    fleet.Time
	syncSoon          bool     // a sync is due at the next tick
	failurePending    bool     // evidence of failure or slowness is waiting to be sent
	queryUsage        bool     // sync with the pool of another region to learn its usage
	queuedSinceSync   int      // pieces of work queued since the last sync
	reportedIdle      int      // idle credits at the last sync
	recallPending     bool     // the coordinator has recalled credits and waits for confirmation
	drainReports      []uint32 // servers that reported draining, for the next sync
}

func (c *client) init(pl *pool) { c.p, c.pool = pl.p, pl }

// removeRow drops the references to a row that is reused for another server.
func (c *client) removeRow(i int32) {
	if k := slices.Index(c.held, i); k >= 0 {
		c.held = slices.Delete(c.held, k, k+1)
	}
	if k := slices.Index(c.evidenceRows, i); k >= 0 {
		c.evidenceRows = slices.Delete(c.evidenceRows, k, k+1)
	}
}

// inOwnRegion reports whether the pool is in this VM's region.
func (c *client) inOwnRegion() bool { return c.pool.id.Region == c.p.cfg.Region }

// Submit accepts a piece of work. It returns a decision and true if the work was
// dispatched or refused immediately; otherwise the decision is returned by a later call
// of Decisions.
func (p *Pools) Submit(now fleet.Time, w Work) (Decision, bool) {
	p.beginCall(now)
	if !w.IsRetry {
		p.budget(w.Service).countFirst(now)
	}
	pl := p.choosePool(now, w.Service)
	if pl == nil || !pl.usable(now) {
		return Decision{Work: w.ID, Code: result.NoServer}, true
	}
	r := pl.route(w.Route, w.Length)
	if code := pl.precheck(now, &w, r); code != result.OK {
		return Decision{Work: w.ID, Code: code}, true
	}
	c := &pl.client
	c.lastWork = now
	if w.Idempotent {
		c.lastIdempotent = now
	}
	class := r.workClass(w.Weight)
	if class >= c.cutoff && (c.queue.n == 0 || class > int8(c.queue.topClass)) {
		if i, trial, ok := c.pickServer(now, &w, r.long, class); ok {
			d := c.startAttempt(now, &w, r, i, trial, 0)
			p.deliver()
			return d, true
		}
	}
	it := &queueItem{work: w, pool: pl, route: r, queuedAt: now, class: class, long: r.long, restricted: len(w.Exclude) > 0, index: -1}
	it.expiry = it.waitLimit(now)
	c.enqueue(now, it)
	c.requestCredit(now)
	p.deliver()
	if d, ok := p.takeDecision(w.ID); ok {
		return d, true
	}
	return Decision{}, false
}

// takeDecision removes and returns the pending decision about the work.
func (p *Pools) takeDecision(id WorkID) (Decision, bool) {
	for i, d := range p.decisions {
		if d.Work == id {
			p.decisions = slices.Delete(p.decisions, i, i+1)
			return d, true
		}
	}
	return Decision{}, false
}

// precheck returns a refusal code for work that cannot succeed, else result.OK.
func (pl *pool) precheck(now fleet.Time, w *Work, r *route) result.Code {
	if w.Deadline > 0 && now.Add(r.median()) >= w.Deadline {
		return result.DeadlineTooClose
	}
	if len(w.Exclude) == 0 {
		return result.OK
	}
	for _, i := range pl.sortedRows {
		if row := &pl.rows[i]; row.acceptsWork(now) && !slices.Contains(w.Exclude, row.server.ID) {
			return result.OK
		}
	}
	return result.ServersDeclined
}

// pickServer selects a server by the configured policy; with PolicyCredits and
// PolicyStatic, the least recently used server with a free credit. The first boolean
// reports that the work is a trial, the second that a server was found.
func (c *client) pickServer(now fleet.Time, w *Work, long bool, class int8) (int32, bool, bool) {
	switch c.p.cfg.Policy {
	case PolicyCredits, PolicyStatic:
	case PolicyNoCredits:
		return c.pickWithoutCredits(now, w)
	default:
		return c.pickBaseline(now, w)
	}
	best, found := int32(-1), false
	bestUse := fleet.Time(math.MaxInt64)
	for _, i := range c.held {
		r := &c.pool.rows[i]
		if r.client.trial {
			if r.client.free() > 0 && w.Idempotent && r.acceptsWork(now) && !slices.Contains(w.Exclude, r.server.ID) {
				return i, true, true // trials take precedence, since the server is readmitted only after them
			}
			continue
		}
		if r.client.free() <= 0 || long && r.client.freeLong() <= 0 || !c.eligible(now, r, w) {
			continue
		}
		use := r.client.lastUse
		if now < r.client.avoidUntil {
			use += fleet.Time(time.Hour) // rank after all other servers
		}
		if use < bestUse {
			best, bestUse, found = i, use, true
		}
	}
	return best, false, found
}

// eligible reports whether the row's server may get this work.
func (c *client) eligible(now fleet.Time, r *row, w *Work) bool {
	return r.acceptsWork(now) && now >= r.client.ejectedUntil && !slices.Contains(w.Exclude, r.server.ID) &&
		(r.client.connectFailures < 2 || now >= r.client.avoidUntil)
}

// startAttempt dispatches work to a server.
func (c *client) startAttempt(now fleet.Time, w *Work, r *route, i int32, trial bool, queued time.Duration) Decision {
	p := c.p
	var a *attempt
	if n := len(p.freeAttempts); n > 0 {
		a, p.freeAttempts = p.freeAttempts[n-1], p.freeAttempts[:n-1]
	} else {
		a = new(attempt)
	}
	*a = attempt{work: *w, pool: c.pool, route: r, row: i, start: now, long: r.long, trial: trial, index: len(c.attempts)}
	if m := r.median(); m > 0 {
		a.slowAt = now.Add(slowFactor * m)
	}
	c.attempts = append(c.attempts, a)
	p.attempts[w.ID] = a
	row := &c.pool.rows[i]
	c.addHeld(i)
	row.client.used++
	if a.long {
		row.client.usedLong++
	}
	row.client.lastUse = now
	c.lastWork = now
	c.used++
	c.peakUsed = max(c.peakUsed, c.used)
	if c.idleCredits() == 0 && c.p.cfg.Policy == PolicyCredits {
		c.syncSoon = true // request another spare credit
	}
	return Decision{Work: w.ID, Server: row.server, Code: result.OK, Trial: trial, Queued: queued}
}

// idleCredits returns the number of free credits, without trials.
func (c *client) idleCredits() int {
	n := 0
	for _, i := range c.held {
		if r := &c.pool.rows[i].client; !r.trial {
			n += max(0, r.free())
		}
	}
	return n
}

func (c *client) addHeld(i int32) {
	if r := &c.pool.rows[i]; !r.client.inHeld {
		r.client.inHeld = true
		c.held = append(c.held, i)
	}
}

// compactHeld removes rows without granted or used credits from the held list.
func (c *client) compactHeld() {
	c.held = slices.DeleteFunc(c.held, func(i int32) bool {
		r := &c.pool.rows[i].client
		if r.granted == 0 && r.used == 0 {
			r.inHeld = false
			return true
		}
		return false
	})
}

// End records how an attempt ended and frees its slot.
func (p *Pools) End(now fleet.Time, id WorkID, e End) {
	p.beginCall(now)
	a := p.attempts[id]
	if a == nil {
		return
	}
	delete(p.attempts, id)
	c := &a.pool.client
	last := len(c.attempts) - 1
	c.attempts[a.index] = c.attempts[last]
	c.attempts[a.index].index = a.index
	c.attempts[last] = nil
	c.attempts = c.attempts[:last]
	row := &a.pool.rows[a.row]
	row.client.used--
	if a.long {
		row.client.usedLong--
	}
	row.client.lastUse = now
	c.used--
	if !a.slow && a.slowAt > 0 && a.start.Add(e.Duration) >= a.slowAt {
		c.markSlow(a)
	}
	c.recordEnd(now, a, e)
	c.startQueued(now)
	p.freeAttempts = append(p.freeAttempts, a)
	p.deliver()
}

// Cancel removes queued work. Work that was dispatched must be ended with End.
func (p *Pools) Cancel(now fleet.Time, id WorkID) {
	p.beginCall(now)
	if it := p.queued[id]; it != nil {
		it.pool.client.queue.remove(it)
		delete(p.queued, id)
	}
	p.decisions = slices.DeleteFunc(p.decisions, func(d Decision) bool { return d.Work == id && d.Code != result.OK })
}

// startQueued dispatches queued work to free credits, highest class first.
func (c *client) startQueued(now fleet.Time) {
	for len(c.queue.restricted) > 0 && c.tryStart(now, c.queue.restricted[0]) {
	}
	for c.queue.n > 0 && !c.startNextQueued(now) {
	}
}

// startNextQueued dispatches one piece of work. It returns true if no more work can be
// dispatched.
func (c *client) startNextQueued(now fleet.Time) bool {
	for cl := c.queue.topClass; cl >= 0; cl-- {
		short, long := c.queue.heaps[cl][0], c.queue.heaps[cl][1]
		if len(short)+len(long) == 0 {
			if cl == c.queue.topClass && cl > 0 {
				c.queue.topClass--
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
			return true // without a free credit for short work there is none for any work
		}
	}
	return true
}

func (c *client) tryStart(now fleet.Time, it *queueItem) bool {
	if it.restricted && c.pool.precheck(now, &it.work, it.route) != result.OK {
		c.queue.remove(it)
		c.refuse(now, it, result.ServersDeclined)
		return true
	}
	i, trial, ok := c.pickServer(now, &it.work, it.long, it.class)
	if !ok {
		return false
	}
	c.queue.remove(it)
	delete(c.p.queued, it.work.ID)
	c.p.decisions = append(c.p.decisions, c.startAttempt(now, &it.work, it.route, i, trial, now.Sub(it.queuedAt)))
	return true
}

// tick runs the client's periodic work.
func (c *client) tick(now fleet.Time) {
	if now.Sub(c.peakReset) > time.Second {
		c.prevPeakUsed, c.peakUsed, c.peakReset = c.peakUsed, c.used, now
	}
	for _, a := range c.attempts {
		if !a.slow && a.slowAt > 0 && now >= a.slowAt {
			c.markSlow(a)
		}
	}
	c.expireQueued(now)
	for _, r := range c.pool.routeList {
		if r.unreported {
			c.pool.refresh(now, r)
		}
	}
	if c.p.cfg.Policy.coordinated() {
		c.checkLease(now)
		c.returnIdleCredits(now)
		c.syncIfDue(now)
	}
	c.startQueued(now)
}
