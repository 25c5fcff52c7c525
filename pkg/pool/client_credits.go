package pool

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Timing of syncs.
const (
	lostOwnerSyncInterval = 400 * time.Millisecond // to an owner that does not answer
	queuedSyncInterval    = 20 * time.Millisecond  // while work is queued
	routeStatInterval     = time.Second
	idleReportInterval    = 40 * time.Millisecond // when at least idleReportDelta more credits are idle than last reported
	idleReportDelta       = 2
	smallQueue            = 8                // queue length up to which a state is answered immediately with a sync
	remoteSyncPeriod      = 5 * time.Second  // syncs with the pool of another region continue this long after the last work
	spareCreditPeriod     = 30 * time.Second // one spare credit is kept this long after the last work
)

// currentView returns the newest known membership of the pool's shard.
func (c *client) currentView() (Redirect, bool) {
	v, ok := c.p.cfg.Authority.View(c.pool.shard)
	r := Redirect{c.pool.id, v.Version, v.Owner, v.Copy}
	if c.redirect != nil && (!ok || c.redirect.Version > v.Version) {
		return *c.redirect, true
	}
	if !ok && !c.inOwnRegion() && c.p.dir != nil {
		// Views are announced only within a region; any VM there redirects to the owner.
		vms := fleet.Rendezvous(c.pool.shard.String(), c.p.dir.RegionVMs(c.pool.id.Region))
		if len(vms) > 0 {
			return Redirect{Pool: c.pool.id, Owner: fleet.Member{VM: vms[c.remoteIndex%len(vms)].ID, Incarnation: 1}}, true
		}
	}
	return r, ok
}

func (c *client) onRedirect(m *Redirect) {
	if co := c.pool.coord; co != nil && m.Version > co.version {
		co.supersededBy = m.Version
	}
	if v, ok := c.currentView(); ok && m.Version <= v.Version {
		return
	}
	c.redirect = m
	c.syncSoon = true
}

// desiredIdle returns the number of idle credits that the client wants to keep.
func (c *client) desiredIdle(now fleet.Time) int {
	switch sinceWork := now.Sub(c.lastWork); {
	case c.lastWork == 0 || sinceWork > spareCreditPeriod || c.cutoff > 0:
		return 0
	case sinceWork > activePeriod:
		return 1
	}
	return max(1, max(c.peakUsed, c.prevPeakUsed)+1-c.used)
}

// returnIdleCredits returns the idle credits that exceed desiredIdle.
func (c *client) returnIdleCredits(now fleet.Time) {
	if c.p.cfg.Policy != PolicyCredits || c.mode != modeOwner {
		return
	}
	excess := c.idleCredits() - c.desiredIdle(now)
	if excess <= 0 {
		return
	}
	for _, i := range c.held {
		r := &c.pool.rows[i].client
		if excess <= 0 || r.free() <= 0 || r.trial || c.cutoff == 0 && now.Sub(r.lastUse) < idleCreditTimeout {
			continue
		}
		n := min(excess, r.free())
		r.granted -= n
		r.grantedLong = min(r.grantedLong, r.granted)
		r.minRaiseSeq = c.seq + 1
		excess -= n
		c.syncSoon = true
	}
}

// exchangeCredit returns one idle credit in exchange for one on another server, so that
// over a few syncs each server is used by many VMs: evidence from a single VM cannot
// distinguish a gray server from a faulty network path or a faulty caller.
func (c *client) exchangeCredit(now fleet.Time) {
	if c.p.cfg.Policy != PolicyCredits || c.mode != modeOwner || c.cutoff > 0 || c.usedPct >= maxUsageForSpares ||
		now.Sub(c.lastExchange) < activeSyncInterval || now.Sub(c.lastWork) > activePeriod || c.idleCredits() < 2 {
		return
	}
	latest := int32(-1)
	for _, i := range c.held {
		r := &c.pool.rows[i].client
		if r.free() > 0 && !r.trial && (latest < 0 || r.lastUse > c.pool.rows[latest].client.lastUse) {
			latest = i
		}
	}
	if latest < 0 {
		return
	}
	c.lastExchange = now
	r := &c.pool.rows[latest].client
	r.granted--
	r.grantedLong = min(r.grantedLong, r.granted)
	r.minRaiseSeq = c.seq + 1
}

// requestCredit syncs immediately to get a credit unless a recent sync is unanswered.
func (c *client) requestCredit(now fleet.Time) {
	if !c.p.cfg.Policy.coordinated() || c.p.cfg.Policy != PolicyCredits {
		return
	}
	if c.oldestUnanswered == 0 || now.Sub(c.lastSync) >= minSyncInterval {
		c.sync(now)
		return
	}
	c.syncSoon = true
}

// syncIfDue sends a sync if one of the intervals has elapsed.
func (c *client) syncIfDue(now fleet.Time) {
	since := now.Sub(c.lastSync)
	sinceWork := now.Sub(c.lastWork)
	if !c.inOwnRegion() && (c.lastWork == 0 || sinceWork > remoteSyncPeriod) && c.used == 0 && c.queue.n == 0 && !c.queryUsage {
		return
	}
	due := c.lastSync == 0 || since >= idleSyncInterval ||
		since >= activeSyncInterval && (sinceWork < activePeriod || c.used > 0 || c.mode != modeOwner || c.queryUsage) ||
		since >= evidenceSyncInterval && c.failurePending ||
		since >= queuedSyncInterval && c.queue.n > 0 ||
		since >= idleReportInterval && c.idleCredits() >= c.reportedIdle+idleReportDelta ||
		since >= minSyncInterval && c.syncSoon
	if due {
		c.sync(now)
	}
}

// sync reports to the coordinator in use, and at a longer interval to an owner that does
// not answer.
func (c *client) sync(now fleet.Time) {
	v, ok := c.currentView()
	if !ok {
		return
	}
	c.exchangeCredit(now)
	c.lastSync = now
	c.syncSoon = false
	c.queryUsage = false
	if c.mode != modeOwner {
		if now.Sub(c.lastLostOwnerSync) >= lostOwnerSyncInterval && !v.Owner.IsZero() {
			c.lastLostOwnerSync = now
			c.failurePending = false
			m := c.buildSync(now)
			m.OnFallback, m.Epoch, m.Ack = true, 0, 0
			m.Evidence = c.flushEvidence()
			c.p.send(v.Owner.VM, m)
		}
		if v.Copy.IsZero() {
			return
		}
		c.p.send(v.Copy.VM, c.buildSync(now))
		return
	}
	if v.Owner.IsZero() {
		return
	}
	c.failurePending = false
	m := c.buildSync(now)
	m.Evidence = c.flushEvidence()
	c.p.send(v.Owner.VM, m)
}

// buildSync returns a sync without evidence.
func (c *client) buildSync(now fleet.Time) *Sync {
	c.seq++
	c.sentAt[c.seq%uint64(len(c.sentAt))] = now
	if c.oldestUnanswered == 0 {
		c.oldestUnanswered = now
	}
	c.compactHeld()
	c.queuedSinceSync, c.reportedIdle = 0, c.idleCredits()
	m := &Sync{
		Pool: c.pool.id, Epoch: c.epoch, Ack: c.ack, Seq: c.seq,
		Demand:        c.queue.demands(),
		WantedSpare:   max(0, c.desiredIdle(now)-c.idleCredits()),
		AcceptsTrials: c.lastIdempotent > 0 && now.Sub(c.lastIdempotent) < 2*activePeriod,
	}
	if c.p.cfg.Policy == PolicyCredits {
		for _, i := range c.held {
			r := &c.pool.rows[i]
			total, long := max(r.client.granted, r.client.used), max(r.client.grantedLong, r.client.usedLong)
			if total > 0 {
				m.Held = append(m.Held, HeldCredits{Ref: r.ref, Total: total, Long: long, Used: r.client.used, UsedLong: r.client.usedLong})
			}
		}
	}
	m.DrainingServers, c.drainReports = c.drainReports, nil
	for _, a := range c.attempts {
		if left := a.work.Deadline.Sub(now); left > 0 {
			m.MaxDeadlineMS = max(m.MaxDeadlineMS, uint32(left.Milliseconds()))
		}
	}
	if now.Sub(c.lastRouteStats) > routeStatInterval || c.lastRouteStats == 0 {
		c.lastRouteStats = now
		for _, r := range c.pool.routeList {
			if r.unreported && r.ownStat.Samples > 0 {
				r.unreported = false
				m.Routes = append(m.Routes, r.ownStat)
			}
		}
	}
	return m
}

// flushEvidence returns and clears the pending counts. The counts of a lost sync are
// lost; links use TCP, so this happens only when a connection breaks.
func (c *client) flushEvidence() []Evidence {
	var out []Evidence
	for _, i := range c.evidenceRows {
		r := &c.pool.rows[i].client
		out = append(out, r.evidence...)
		r.evidence = r.evidence[:0]
	}
	c.evidenceRows = c.evidenceRows[:0]
	return out
}

// sentTime returns when the sync with this sequence number was sent.
func (c *client) sentTime(seq uint64) (fleet.Time, bool) {
	if seq == 0 || seq > c.seq || c.seq-seq >= uint64(len(c.sentAt)) {
		return 0, false
	}
	return c.sentAt[seq%uint64(len(c.sentAt))], true
}

// onState applies a State from a coordinator.
func (c *client) onState(now fleet.Time, from fleet.Member, m *State) {
	sent, known := c.sentTime(m.SyncSeq)
	v, ok := c.currentView()
	if !known || m.Version < max(c.version, v.Version) {
		return
	}
	if m.Copy {
		if ok && from == v.Copy && c.mode != modeOwner {
			c.applyCopyState(now, sent, m)
		}
		return
	}
	if ok && m.Version <= v.Version && from.VM != v.Owner.VM {
		return
	}
	if m.Version > v.Version {
		c.redirect = &Redirect{c.pool.id, m.Version, from, fleet.Member{}}
	}
	c.version = m.Version
	if c.mode != modeOwner {
		if now.Sub(sent) > ownerTimeout {
			return
		}
		c.returnToOwner(now, from, m)
	}
	if m.Epoch < c.epoch || m.Epoch == c.epoch && m.Seq <= c.ack {
		return
	}
	c.epoch, c.ack = m.Epoch, m.Seq
	c.markAnswered(now, m.SyncSeq)
	c.leaseEnd = max(c.leaseEnd, sent.Add(creditLease))
	c.lastState, c.usedPct, c.cutoff = now, m.UsedPercent, int8(m.Cutoff)
	if m.GrantDelayMS > 0 {
		c.grantingFrom = now.Add(time.Duration(m.GrantDelayMS) * time.Millisecond)
	}
	c.applyRouteStats(m.Routes)
	c.applyEjections(now, sent, m)
	if now < c.leaseEnd && c.p.cfg.Policy == PolicyCredits {
		c.applyGrants(m)
	}
	c.startQueued(now)
	c.syncAfterState(now)
}

// syncAfterState sends another sync after a state: immediately if the coordinator waits
// for recalled credits or only a few pieces of work are queued, else at the next tick.
func (c *client) syncAfterState(now fleet.Time) {
	if c.recallPending || c.queue.n > 0 && c.queuedSinceSync > 0 {
		c.syncSoon = true
		if c.recallPending || c.queue.n <= smallQueue {
			c.recallPending = false
			c.sync(now)
		}
	}
}

// markAnswered updates the send time of the oldest unanswered sync.
func (c *client) markAnswered(now fleet.Time, syncSeq uint64) {
	c.oldestUnanswered = 0
	if syncSeq < c.seq {
		if t, ok := c.sentTime(syncSeq + 1); ok {
			c.oldestUnanswered = t
		}
	}
}

// applyGrants applies the grants of a state. A grant that the client returned in a sync
// that the coordinator had not yet seen is not raised again.
func (c *client) applyGrants(m *State) {
	shrunk := false
	granted := make(map[int32]bool, len(m.Grants))
	for _, g := range m.Grants {
		i, ok := c.pool.row(g.Ref)
		if !ok {
			continue
		}
		granted[i] = true
		r := &c.pool.rows[i].client
		r.trial = g.Trial
		total, long := g.Total, g.Long
		if m.SyncSeq < r.minRaiseSeq {
			total, long = min(total, r.granted), min(long, r.grantedLong)
		}
		shrunk = shrunk || total < r.granted
		r.granted, r.grantedLong = total, min(long, total)
		c.addHeld(i)
	}
	for _, i := range c.held {
		if r := &c.pool.rows[i].client; !granted[i] {
			shrunk = shrunk || r.granted > 0
			r.granted, r.grantedLong, r.trial = 0, 0, false
		}
	}
	c.compactHeld()
	c.recallPending = c.recallPending || shrunk
}

// applyEjections sets, renews and ends ejections. The lease counts from the time at
// which the sync that the state answers was sent.
func (c *client) applyEjections(now, sent fleet.Time, m *State) {
	for _, i := range c.pool.sortedRows {
		c.pool.rows[i].client.ejectedUntil = 0
	}
	for _, ref := range m.Ejected {
		if i, ok := c.pool.row(ref); ok {
			c.pool.rows[i].client.ejectedUntil = sent.Add(ejectionLease)
		}
	}
	for _, ref := range m.DrainingServers {
		if i, ok := c.pool.row(ref); ok {
			r := &c.pool.rows[i]
			r.drainEnd = max(r.drainEnd, now.Add(drainBackoff))
		}
	}
}

func (c *client) applyRouteStats(stats []RouteStat) {
	for _, s := range stats {
		if r := c.pool.routesByRef[s.Route]; r != nil {
			r.sharedStat = s
			c.pool.classify(r)
		}
	}
}

// applyCopyState applies a state from the copy, which grants the static shares of the
// clients that have switched to it.
func (c *client) applyCopyState(now, sent fleet.Time, m *State) {
	end := sent.Add(creditLease)
	if now >= end {
		return
	}
	if c.mode == modeStatic {
		c.dropGrants()
		c.mode, c.epoch, c.ack = modeCopy, m.Epoch, 0
	}
	if m.Epoch < c.epoch || m.Epoch == c.epoch && m.Seq <= c.ack {
		return
	}
	c.epoch, c.ack = m.Epoch, m.Seq
	c.markAnswered(now, m.SyncSeq)
	c.copyLeaseEnd = max(c.copyLeaseEnd, end)
	c.lastState, c.usedPct, c.cutoff = now, m.UsedPercent, 0
	c.applyRouteStats(m.Routes)
	if c.p.cfg.Policy == PolicyCredits {
		c.applyGrants(m)
	}
	c.startQueued(now)
	c.syncAfterState(now)
}

// returnToOwner ends the use of the copy or of the static share.
func (c *client) returnToOwner(now fleet.Time, from fleet.Member, m *State) {
	c.mode = modeOwner
	c.epoch, c.ack = 0, 0
	c.leaseEnd = 0
	c.syncSoon = true
	c.dropGrants()
	c.p.event(EventCoordinatorLost, c.pool.id, "", "pool coordinator answers again", map[string]string{"coordinator": from.String()})
}

func (c *client) dropGrants() {
	for _, i := range c.held {
		r := &c.pool.rows[i].client
		r.granted, r.grantedLong, r.trial = 0, 0, false
	}
	c.compactHeld()
}

// checkLease drops credits whose lease has ended and falls back to the copy. Until the
// copy answers, it uses this VM's static share.
func (c *client) checkLease(now fleet.Time) {
	switch c.mode {
	case modeOwner:
		expired := c.leaseEnd > 0 && now >= c.leaseEnd
		neverAnswered := c.leaseEnd == 0 && c.oldestUnanswered > 0 && now.Sub(c.oldestUnanswered) > ownerTimeout
		if !expired && !neverAnswered {
			break
		}
		c.dropGrants()
		if !c.inOwnRegion() && c.oldestUnanswered > 0 && now.Sub(c.oldestUnanswered) > ownerTimeout {
			c.redirect, c.oldestUnanswered = nil, 0 // query another VM of that region for the owner
			c.remoteIndex++
		}
		if c.oldestUnanswered == 0 || now.Sub(c.oldestUnanswered) < ownerTimeout || !c.inOwnRegion() {
			break // no sync has timed out, or the pool has no fallback
		}
		c.mode, c.cutoff, c.epoch, c.ack, c.syncSoon = modeStatic, 0, 0, 0, true
		c.p.event(EventCoordinatorLost, c.pool.id, "", "pool coordinator does not answer", map[string]string{
			"silent_ms": msString(now.Sub(c.oldestUnanswered)),
		})
	case modeCopy:
		if now >= c.copyLeaseEnd {
			c.mode, c.epoch, c.ack = modeStatic, 0, 0
		}
	}
	if c.p.cfg.Policy == PolicyStatic || c.mode == modeStatic && c.inOwnRegion() && c.p.cfg.Policy == PolicyCredits {
		c.useStaticShare(now)
	}
}
