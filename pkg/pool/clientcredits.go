package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Timing of syncs.
const (
	awayEvery   = 400 * time.Millisecond // to a lost owner
	queueEvery  = 20 * time.Millisecond  // while work waits
	routesEvery = time.Second
	idleEvery   = 40 * time.Millisecond // when clearly more credits lie idle than reported
	idleNews    = 2
	fewQueued   = 8                // queued work that is worth a sync per round trip
	remoteFor   = 5 * time.Second  // a remote pool is synced this long after work
	spareFor    = 30 * time.Second // one spare credit is kept this long after work
)

// view returns the newest known membership of the pool's shard.
func (c *client) view() (Redirect, bool) {
	v, ok := c.p.cfg.Authority.View(c.pool.shard)
	r := Redirect{c.pool.id, v.Version, v.Owner, v.Copy}
	if c.hint != nil && (!ok || c.hint.Version > v.Version) {
		return *c.hint, true
	}
	if !ok && !c.home() && c.p.dir != nil {
		// Views are announced within a region; any VM there redirects to the owner.
		vms := fleet.Rendezvous(c.pool.shard.String(), c.p.dir.RegionVMs(c.pool.id.Region))
		if len(vms) > 0 {
			return Redirect{Pool: c.pool.id, Owner: fleet.Member{VM: vms[c.asked%len(vms)].ID, Incarnation: 1}}, true
		}
	}
	return r, ok
}

func (c *client) onRedirect(m *Redirect) {
	if co := c.pool.coord; co != nil && m.Version > co.version {
		co.superseded = m.Version
	}
	if v, ok := c.view(); ok && m.Version <= v.Version {
		return
	}
	c.hint = m
	c.wake = true
}

// desired returns the number of idle credits that the client wants to keep.
func (c *client) desired(now fleet.Time) int {
	switch quiet := now.Sub(c.lastWork); {
	case c.lastWork == 0 || quiet > spareFor || c.cutoff > 0:
		return 0
	case quiet > activeFor:
		return 1
	}
	return max(1, max(c.usedMax, c.usedOld)+1-c.used)
}

// returnIdle gives up idle credits that are not needed.
func (c *client) returnIdle(now fleet.Time) {
	if c.p.cfg.Policy != PolicyCredits || c.mode != modeOwner {
		return
	}
	excess := c.idle() - c.desired(now)
	if excess <= 0 {
		return
	}
	for _, i := range c.held {
		r := &c.pool.rows[i].cl
		if excess <= 0 || r.free() <= 0 || r.trial || c.cutoff == 0 && now.Sub(r.lastUse) < idleReturn {
			continue
		}
		n := min(excess, r.free())
		r.granted -= n
		r.grantedLong = min(r.grantedLong, r.granted)
		r.raiseFrom = c.seq + 1
		excess -= n
		c.wake = true
	}
}

// mix gives one idle credit back in exchange for one of another server, so that
// over a few syncs each server is seen by many VMs: evidence from a single VM cannot
// tell a gray server from a bad path or a bad caller.
func (c *client) mix(now fleet.Time) {
	if c.p.cfg.Policy != PolicyCredits || c.mode != modeOwner || c.cutoff > 0 || c.usedPct >= spareBelow ||
		now.Sub(c.lastMix) < syncActive || now.Sub(c.lastWork) > activeFor || c.idle() < 2 {
		return
	}
	latest := int32(-1)
	for _, i := range c.held {
		r := &c.pool.rows[i].cl
		if r.free() > 0 && !r.trial && (latest < 0 || r.lastUse > c.pool.rows[latest].cl.lastUse) {
			latest = i
		}
	}
	if latest < 0 {
		return
	}
	c.lastMix = now
	r := &c.pool.rows[latest].cl
	r.granted--
	r.grantedLong = min(r.grantedLong, r.granted)
	r.raiseFrom = c.seq + 1
}

// needSlot asks for a credit at once when none was asked for just now.
func (c *client) needSlot(now fleet.Time) {
	if !c.p.cfg.Policy.coordinated() || c.p.cfg.Policy != PolicyCredits {
		return
	}
	if c.waiting == 0 || now.Sub(c.lastSync) >= syncUrgent {
		c.sync(now)
		return
	}
	c.wake = true
}

// syncIfDue sends a sync when its time has come.
func (c *client) syncIfDue(now fleet.Time) {
	since := now.Sub(c.lastSync)
	quiet := now.Sub(c.lastWork)
	if !c.home() && (c.lastWork == 0 || quiet > remoteFor) && c.used == 0 && c.queue.n == 0 && !c.inquire {
		return
	}
	due := c.lastSync == 0 || since >= syncIdle ||
		since >= syncActive && (quiet < activeFor || c.used > 0 || c.mode != modeOwner || c.inquire) ||
		since >= syncEvidence && c.bad ||
		since >= queueEvery && c.queue.n > 0 ||
		since >= idleEvery && c.idle() >= c.toldIdle+idleNews ||
		since >= syncUrgent && c.wake
	if due {
		c.sync(now)
	}
}

// sync reports to the coordinator in use, and to a lost owner now and then.
func (c *client) sync(now fleet.Time) {
	v, ok := c.view()
	if !ok {
		return
	}
	c.mix(now)
	c.lastSync = now
	c.wake = false
	c.inquire = false
	if c.mode != modeOwner {
		if now.Sub(c.lastAway) >= awayEvery && !v.Owner.IsZero() {
			c.lastAway = now
			c.bad = false
			m := c.report(now)
			m.Away, m.Epoch, m.Ack = true, 0, 0
			m.Counts = c.takeEvidence()
			c.p.send(v.Owner.VM, m)
		}
		if v.Copy.IsZero() {
			return
		}
		c.p.send(v.Copy.VM, c.report(now))
		return
	}
	if v.Owner.IsZero() {
		return
	}
	c.bad = false
	m := c.report(now)
	m.Counts = c.takeEvidence()
	c.p.send(v.Owner.VM, m)
}

// report builds a sync without evidence.
func (c *client) report(now fleet.Time) *Sync {
	c.seq++
	c.sentAt[c.seq%uint64(len(c.sentAt))] = now
	if c.waiting == 0 {
		c.waiting = now
	}
	c.compact()
	c.arrived, c.toldIdle = 0, c.idle()
	m := &Sync{
		Pool: c.pool.id, Epoch: c.epoch, Ack: c.ack, Seq: c.seq,
		Queue:  c.queue.demands(),
		Spare:  max(0, c.desired(now)-c.idle()),
		Trials: c.lastIdem > 0 && now.Sub(c.lastIdem) < 2*activeFor,
	}
	if c.p.cfg.Policy == PolicyCredits {
		for _, i := range c.held {
			r := &c.pool.rows[i]
			total, long := max(r.cl.granted, r.cl.used), max(r.cl.grantedLong, r.cl.usedLong)
			if total > 0 {
				m.Held = append(m.Held, Held{Ref: r.ref, Total: total, Long: long, Used: r.cl.used, UsedLong: r.cl.usedLong})
			}
		}
	}
	m.Drain, c.drainTell = c.drainTell, nil
	for _, f := range c.flights {
		if left := f.work.Deadline.Sub(now); left > 0 {
			m.Horizon = max(m.Horizon, uint32(left.Milliseconds()))
		}
	}
	if now.Sub(c.lastRoutes) > routesEvery || c.lastRoutes == 0 {
		c.lastRoutes = now
		for _, r := range c.pool.learned {
			if r.dirty && r.own.Samples > 0 {
				r.dirty = false
				m.Routes = append(m.Routes, r.own)
			}
		}
	}
	return m
}

// takeEvidence returns and clears the pending counts. A lost sync loses its counts;
// links are TCP, so that this happens only when a link breaks.
func (c *client) takeEvidence() []Evidence {
	var out []Evidence
	for _, i := range c.dirty {
		r := &c.pool.rows[i].cl
		out = append(out, r.evidence...)
		r.evidence = r.evidence[:0]
	}
	c.dirty = c.dirty[:0]
	return out
}

// sent returns when the sync with this number was sent.
func (c *client) sent(seq uint64) (fleet.Time, bool) {
	if seq == 0 || seq > c.seq || c.seq-seq >= uint64(len(c.sentAt)) {
		return 0, false
	}
	return c.sentAt[seq%uint64(len(c.sentAt))], true
}

// onState applies a coordinator's answer.
func (c *client) onState(now fleet.Time, from fleet.Member, m *State) {
	sent, known := c.sent(m.Echo)
	v, ok := c.view()
	if !known || m.Version < max(c.version, v.Version) {
		return
	}
	if m.Copy {
		if ok && from == v.Copy && c.mode != modeOwner {
			c.fromCopy(now, sent, m)
		}
		return
	}
	if ok && m.Version <= v.Version && from.VM != v.Owner.VM {
		return
	}
	if m.Version > v.Version {
		c.hint = &Redirect{c.pool.id, m.Version, from, fleet.Member{}}
	}
	c.version = m.Version
	if c.mode != modeOwner {
		if now.Sub(sent) > ownerSilence {
			return
		}
		c.backToOwner(now, from, m)
	}
	if m.Epoch < c.epoch || m.Epoch == c.epoch && m.Seq <= c.ack {
		return
	}
	c.epoch, c.ack = m.Epoch, m.Seq
	c.answered(now, m.Echo)
	c.leaseEnd = max(c.leaseEnd, sent.Add(creditLease))
	c.stateAt, c.usedPct, c.cutoff = now, m.Used, int8(m.Cutoff)
	if m.Opening > 0 {
		c.openAt = now.Add(time.Duration(m.Opening) * time.Millisecond)
	}
	c.takeRoutes(m.Routes)
	c.takeEjected(now, sent, m)
	if now < c.leaseEnd && c.p.cfg.Policy == PolicyCredits {
		c.takeGrants(m)
	}
	c.pump(now)
	c.answer(now)
}

// answer syncs again soon after a state: at once when the coordinator waits for
// recalled credits or a few pieces of work still wait for one.
func (c *client) answer(now fleet.Time) {
	if c.shrunk || c.queue.n > 0 && c.arrived > 0 {
		c.wake = true
		if c.shrunk || c.queue.n <= fewQueued {
			c.shrunk = false
			c.sync(now)
		}
	}
}

// answered notes which syncs are still without an answer.
func (c *client) answered(now fleet.Time, echo uint64) {
	c.waiting = 0
	if echo < c.seq {
		if t, ok := c.sent(echo + 1); ok {
			c.waiting = t
		}
	}
}

// takeGrants applies the grant vector. A grant that the client gave back in a sync
// that the coordinator had not seen is not taken up again.
func (c *client) takeGrants(m *State) {
	shrunk := false
	was := make(map[int32]bool, len(m.Grants))
	for _, g := range m.Grants {
		i, ok := c.pool.row(g.Ref)
		if !ok {
			continue
		}
		was[i] = true
		r := &c.pool.rows[i].cl
		r.trial = g.Trial
		total, long := g.Total, g.Long
		if m.Echo < r.raiseFrom {
			total, long = min(total, r.granted), min(long, r.grantedLong)
		}
		shrunk = shrunk || total < r.granted
		r.granted, r.grantedLong = total, min(long, total)
		c.hold(i)
	}
	for _, i := range c.held {
		if r := &c.pool.rows[i].cl; !was[i] {
			shrunk = shrunk || r.granted > 0
			r.granted, r.grantedLong, r.trial = 0, 0, false
		}
	}
	c.compact()
	c.shrunk = c.shrunk || shrunk
}

// takeEjected renews, sets and ends ejections. A lease counts from the sending of
// the sync that the state answers.
func (c *client) takeEjected(now, sent fleet.Time, m *State) {
	for _, i := range c.pool.order {
		c.pool.rows[i].cl.ejected = 0
	}
	for _, ref := range m.Ejected {
		if i, ok := c.pool.row(ref); ok {
			c.pool.rows[i].cl.ejected = sent.Add(ejectionLease)
		}
	}
	for _, ref := range m.Drain {
		if i, ok := c.pool.row(ref); ok {
			r := &c.pool.rows[i]
			r.drainEnd = max(r.drainEnd, now.Add(drainAvoid))
		}
	}
}

func (c *client) takeRoutes(stats []RouteStat) {
	for _, s := range stats {
		if r := c.pool.routes[s.Route]; r != nil {
			r.shared = s
			c.pool.classify(r)
		}
	}
}

// fromCopy applies the grants of the copy, which come out of the allotments of the
// clients that turned to it.
func (c *client) fromCopy(now, sent fleet.Time, m *State) {
	end := sent.Add(creditLease)
	if now >= end {
		return
	}
	if c.mode == modeAlone {
		c.dropGrants()
		c.mode, c.epoch, c.ack = modeCopy, m.Epoch, 0
	}
	if m.Epoch < c.epoch || m.Epoch == c.epoch && m.Seq <= c.ack {
		return
	}
	c.epoch, c.ack = m.Epoch, m.Seq
	c.answered(now, m.Echo)
	c.copyEnd = max(c.copyEnd, end)
	c.stateAt, c.usedPct, c.cutoff = now, m.Used, 0
	c.takeRoutes(m.Routes)
	if c.p.cfg.Policy == PolicyCredits {
		c.takeGrants(m)
	}
	c.pump(now)
	c.answer(now)
}

// backToOwner ends the use of copy or allotment.
func (c *client) backToOwner(now fleet.Time, from fleet.Member, m *State) {
	c.mode = modeOwner
	c.epoch, c.ack = 0, 0
	c.leaseEnd = 0
	c.wake = true
	c.dropGrants()
	c.p.event(EventAway, c.pool.id, "", "coordinator answers again", map[string]string{"coordinator": from.String()})
}

func (c *client) dropGrants() {
	for _, i := range c.held {
		r := &c.pool.rows[i].cl
		r.granted, r.grantedLong, r.trial = 0, 0, false
	}
	c.compact()
}

// checkLease stops the use of credits whose lease has ended and falls back: first to
// the copy, and until that answers to this VM's allotment.
func (c *client) checkLease(now fleet.Time) {
	switch c.mode {
	case modeOwner:
		lost := c.leaseEnd > 0 && now >= c.leaseEnd
		never := c.leaseEnd == 0 && c.waiting > 0 && now.Sub(c.waiting) > ownerSilence
		if !lost && !never {
			break
		}
		c.dropGrants()
		if !c.home() && c.waiting > 0 && now.Sub(c.waiting) > ownerSilence {
			c.hint, c.waiting = nil, 0 // ask another VM of that region who the owner is
			c.asked++
		}
		if c.waiting == 0 || now.Sub(c.waiting) < ownerSilence || !c.home() {
			break // nothing was asked lately, or no fallback
		}
		c.mode, c.cutoff, c.epoch, c.ack, c.wake = modeAlone, 0, 0, 0, true
		c.p.event(EventAway, c.pool.id, "", "coordinator is silent", map[string]string{
			"silent_ms": msString(now.Sub(c.waiting)),
		})
	case modeCopy:
		if now >= c.copyEnd {
			c.mode, c.epoch, c.ack = modeAlone, 0, 0
		}
	}
	if c.p.cfg.Policy == PolicyStatic || c.mode == modeAlone && c.home() && c.p.cfg.Policy == PolicyCredits {
		c.useAllotment(now)
	}
}
