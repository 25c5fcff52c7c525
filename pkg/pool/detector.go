package pool

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// The sequential test. A false alarm of one server needs on average at least
// 1/alpha requests; the check of the recent window and of the sources lowers the
// rate further.
const (
	alpha         = 1e-5
	leastBase     = 0.01 // smallest p0
	priorBad      = 0.1  // weight of the prior: 10 requests at 1%
	priorN        = 10
	leastOthers   = 10  // requests of other servers on a route before it is compared
	leastEvidence = 5   // requests in a run before an ejection
	grayFailure   = 0.3 // p1 of failure
	graySlowness  = 0.7 // p1 of slowness
	grayTimes     = 3   // p1 over p0 at least
	mostGray      = 0.95
	leastContrast = 1.75 // p1 over p0 below which the others are no measure
	scoreCap      = 3    // times the threshold
	confirmShare  = 0.2  // of the threshold, in the fast window
)

// Rules about the sources of evidence.
const (
	otherSupport = 1.0  // log likelihood ratio of the others' evidence that confirms a VM or zone
	otherDenial  = -3.5 // and that denies it
	leastElse    = 10   // requests of a single source on other servers
	leastRatio   = 3    // between bad rates that count as different
	maxRoutes    = 4096
	alarmRipe    = 120 * time.Millisecond // two reports of bad news
	consultEvery = 200 * time.Millisecond
	consultAvoid = time.Second
	consultVMs   = 3
)

var threshold = math.Log(1 / alpha)

// takeEvidence feeds a client's counts to the tests.
func (c *coord) takeEvidence(now fleet.Time, cc *creditClient, counts []Evidence) {
	for k := range counts {
		e := &counts[k]
		i, ok := c.pool.row(e.Ref)
		if !ok || e.OK < 0 || e.Late < 0 || e.Failed < 0 || e.Slow < 0 || e.Unreachable < 0 {
			continue
		}
		r := &c.pool.rows[i]
		if e.Trial {
			c.trialEvidence(now, i, e)
			continue
		}
		if r.co.ej != nil && r.co.ej.out() {
			continue // from before the ejection
		}
		if e.Unreachable > 0 && e.OK == 0 {
			c.avoid(now, cc, i)
		}
		re := c.routeEvidence(e.Route)
		if re == nil {
			continue
		}
		for s := range signs {
			if n, bad := e.outcome(s); n > 0 && (s != signSlowness || c.warm(now, r)) {
				c.observe(now, cc, i, re, s, n, bad)
			}
		}
	}
}

func (c *coord) routeEvidence(ref uint32) *routeEvidence {
	re := c.evidence[ref]
	if re == nil && len(c.evidence) < maxRoutes {
		re = &routeEvidence{byRow: map[int32]*windows{}}
		c.evidence[ref] = re
		c.routes = append(c.routes, re)
	}
	return re
}

// observe adds outcomes to the windows and advances the sequential test.
func (c *coord) observe(now fleet.Time, cc *creditClient, i int32, re *routeEvidence, s sign, n, bad int) {
	own := re.byRow[i]
	if own == nil {
		own = &windows{}
		re.byRow[i] = own
	}
	own.add(now, s, n, bad)
	re.total.add(now, s, n, bad)
	r := &c.pool.rows[i].co
	src := r.source(cc)
	src.seen[s].add(now, sourceWindow, n, bad)
	cc.seen[s].add(now, sourceWindow, n, bad)
	p0, ok := baseRate(now, re, own, s)
	if !ok {
		return
	}
	good, evil, ok := ratios(p0, s)
	if !ok {
		return
	}
	// Order within a report is unknown: bad outcomes are spread evenly over it.
	for k := range n {
		step := good
		if (k+1)*bad/n > k*bad/n {
			step = evil
		}
		r.score[s] += step
		src.run[s] += step
		r.seen[s]++
		if r.score[s] <= 0 {
			r.newRun(s)
		}
	}
	r.score[s] = min(r.score[s], scoreCap*threshold)
	switch {
	case r.score[s] < threshold || r.seen[s] < leastEvidence:
		r.alarmAt[s] = 0
	case r.alarmAt[s] == 0:
		r.alarmAt[s] = now
		c.alarms = append(c.alarms, alarm{i, s})
	}
}

func (r *coordRow) source(cc *creditClient) *source {
	for k := range r.sources {
		if r.sources[k].client == cc {
			return &r.sources[k]
		}
	}
	r.sources = append(r.sources, source{client: cc})
	return &r.sources[len(r.sources)-1]
}

func (c *coord) forgetSource(cc *creditClient) {
	for i := range c.pool.rows {
		r := &c.pool.rows[i].co
		for k := range r.sources {
			if r.sources[k].client == cc {
				r.sources[k] = r.sources[len(r.sources)-1]
				r.sources = r.sources[:len(r.sources)-1]
				break
			}
		}
	}
}

// baseRate returns the bad rate that the other servers show on a route, and whether
// they have shown enough to be compared with.
func baseRate(now fleet.Time, re *routeEvidence, own *windows, s sign) (float64, bool) {
	re.total.decay(now, s)
	own.decay(now, s)
	n, bad := others(&re.total.slow[s], &own.slow[s])
	if n < leastOthers {
		return 0, false
	}
	p0 := (bad + priorBad) / (n + priorN)
	n, bad = others(&re.total.fast[s], &own.fast[s])
	// The fast window follows a sudden fault of the whole pool or route.
	p0 = max(p0, (bad+priorBad)/(n+priorN), leastBase)
	return p0, true
}

// ratios returns the log likelihood ratios of a good and a bad outcome.
func ratios(p0 float64, s sign) (good, bad float64, ok bool) {
	p1 := graySlowness
	if s == signFailure {
		p1 = max(grayFailure, grayTimes*p0)
	}
	p1 = min(p1, mostGray)
	if p0 > p1/leastContrast {
		return 0, 0, false
	}
	return math.Log((1 - p1) / (1 - p0)), math.Log(p1 / p0), true
}

// alarm is a crossed threshold that waits for the reports of the other servers.
type alarm struct {
	row  int32
	sign sign
}

// ripeAlarms decides about the alarms that are old enough. A fault of the whole pool
// or a route reaches the coordinator from some servers earlier than from others.
func (c *coord) ripeAlarms(now fleet.Time) {
	c.alarms = slices.DeleteFunc(c.alarms, func(a alarm) bool {
		r := &c.pool.rows[a.row].co
		if r.alarmAt[a.sign] == 0 {
			return true
		}
		if now.Sub(r.alarmAt[a.sign]) >= alarmRipe {
			c.alarm(now, a.row, a.sign)
		}
		return r.alarmAt[a.sign] == 0
	})
}

// alarm decides what a crossed threshold means: a gray server, a path fault, or
// nothing that concerns the server.
func (c *coord) alarm(now fleet.Time, i int32, s sign) {
	r := &c.pool.rows[i].co
	recent := c.recent(now, i, s)
	if recent < confirmShare*threshold {
		r.score[s] = min(r.score[s], threshold)
		return
	}
	switch group, why := c.origin(now, i, s); why {
	case originServer:
		c.propose(now, i, s, recent)
	case originPath:
		c.pathFault(now, i, s, group)
	case originOpen:
		c.consult(now, i, group)
	}
}

// newRun starts the sequential test again.
func (r *coordRow) newRun(s sign) {
	r.score[s], r.seen[s], r.alarmAt[s] = 0, 0, 0
	for k := range r.sources {
		r.sources[k].run[s] = 0
	}
}

// recent returns the log likelihood ratio of the fast window with today's base
// rates, so that an alarm from a time when the others looked better does not count.
func (c *coord) recent(now fleet.Time, i int32, s sign) float64 {
	sum := 0.0
	for _, re := range c.routes {
		own := re.byRow[i]
		if own == nil {
			continue
		}
		p0, ok := baseRate(now, re, own, s)
		if !ok {
			continue
		}
		n, bad := others(&re.total.new[s], &own.new[s])
		p0 = max(p0, (bad+priorBad)/(n+priorN))
		if good, evil, ok := ratios(p0, s); ok {
			t := &own.fast[s]
			sum += t.bad*evil + (t.n-t.bad)*good
		}
	}
	return sum
}

// origin of an alarm.
type origin uint8

const (
	originServer origin = iota
	originPath          // only some clients see it while others do not
	originOpen          // more evidence from other clients is needed
	originCaller        // the client sees it on other servers too
)

// origin tells a gray server from a fault between some clients and the server, and
// from callers whose requests fail wherever they go. It compares the evidence of one
// VM, and of one zone's VMs, with that of all others in the current run.
func (c *coord) origin(now fleet.Time, i int32, s sign) ([]*creditClient, origin) {
	r := &c.pool.rows[i].co
	total := 0.0
	worst := -1
	for k := range r.sources {
		total += r.sources[k].run[s]
		if worst < 0 || r.sources[k].run[s] > r.sources[worst].run[s] {
			worst = k
		}
	}
	if worst < 0 {
		return nil, originOpen
	}
	w := &r.sources[worst]
	if rest := total - w.run[s]; rest < otherSupport {
		if c.sameElsewhere(now, w, s) {
			return nil, originCaller
		}
		if rest <= otherDenial && w.run[s] >= threshold {
			return []*creditClient{w.client}, originPath
		}
		if c.liveClients() > 1 {
			return []*creditClient{w.client}, originOpen
		}
	}
	in := 0.0
	var group []*creditClient
	for k := range r.sources {
		if src := &r.sources[k]; src.client.zone == w.client.zone {
			in += src.run[s]
			group = append(group, src.client)
		}
	}
	if rest := total - in; rest < otherSupport && c.otherZones(w.client.zone) {
		if rest <= otherDenial && in >= threshold {
			return group, originPath
		}
		return group, originOpen
	}
	return nil, originServer
}

// sameElsewhere reports whether a client sees on other servers what it sees on this
// one, or has not seen enough of them to tell.
func (c *coord) sameElsewhere(now fleet.Time, src *source, s sign) bool {
	all, own := &src.client.seen[s], &src.seen[s]
	all.decay(now, sourceWindow)
	own.decay(now, sourceWindow)
	n, bad := others(all, own)
	return n < leastElse || own.n == 0 || bad/n*leastRatio > own.bad/own.n
}

func (c *coord) liveClients() int {
	n := 0
	for _, cc := range c.clients {
		if cc.live() {
			n++
		}
	}
	return n
}

// otherZones reports whether the region has VMs in other zones, heard or not.
func (c *coord) otherZones(zone fleet.Zone) bool {
	for _, vm := range c.pool.allot.vms {
		if row, ok := c.p.dir.VM(vm); ok && row.Zone != zone {
			return true
		}
	}
	return false
}

// consult moves a suspect server's work from the VMs that reported it to others, so
// that their evidence tells soon whether the server or the path is at fault.
func (c *coord) consult(now fleet.Time, i int32, group []*creditClient) {
	r := &c.pool.rows[i]
	if len(group) == 0 || now.Sub(r.co.consulted) < consultEvery {
		return
	}
	r.co.consulted = now
	for _, cc := range group {
		l := cc.lendOf(i)
		l.avoidUntil = max(l.avoidUntil, now.Add(consultAvoid))
		if l.target > 0 {
			c.setTarget(cc, l, 0, 0)
		}
	}
	free := min(consultVMs, c.slots(now, r)-r.co.lent-r.co.reserved)
	for range c.clients {
		c.turn++
		cc := c.clients[c.turn%len(c.clients)]
		if free <= 0 || !cc.live() || cc.used == 0 && cc.spare == 0 || slices.Contains(group, cc) || cc.avoids(now, i) {
			continue
		}
		l := cc.lendOf(i)
		c.setTarget(cc, l, l.target+1, l.targetLong)
		free--
	}
}

// pathFault keeps the clients that see the fault away from the server; for the
// others it stays in use.
func (c *coord) pathFault(now fleet.Time, i int32, s sign, group []*creditClient) {
	r := &c.pool.rows[i]
	detail := map[string]string{"sign": s.String(), "score": fmtFloat(r.co.score[s]), "clients": strconv.Itoa(len(group))}
	for _, cc := range group {
		detail["zone"] = string(cc.zone)
		c.avoid(now, cc, i)
	}
	r.co.newRun(s)
	if r.co.told == 0 || now.Sub(r.co.told) > eventSpacing {
		r.co.told = now
		c.p.event(EventPathFault, c.pool.id, r.server.ID, "only some VMs see the fault", detail)
	}
}

// avoid keeps one client away from a server for a while.
func (c *coord) avoid(now fleet.Time, cc *creditClient, i int32) {
	l := cc.lendOf(i)
	l.avoidUntil = now.Add(pathAvoid)
	if l.target > 0 {
		c.setTarget(cc, l, 0, 0)
	}
}

// warm reports whether the server's warm-up is over.
func (c *coord) warm(now fleet.Time, r *row) bool {
	return !r.cold || now.Sub(r.born) >= max(time.Duration(c.pool.service.Warmup), rampTime)
}

func fmtFloat(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }
