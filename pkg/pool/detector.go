package pool

import (
	"math"
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
	scoreCap      = 3 // times the threshold
	confirmShare  = 0.5
)

// Rules about the sources of evidence.
const (
	oneClient    = 0.8 // share of the bad outcomes that makes one VM the only source
	oneZone      = 0.9
	leastCompare = 5  // requests of others before they are compared
	leastElse    = 10 // requests of the only source on other servers
	leastRatio   = 3  // between bad rates that count as different
	maxRoutes    = 4096
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
	r.source(cc).seen[s].add(now, sourceWindow, n, bad)
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
		if (k+1)*bad/n > k*bad/n {
			r.score[s] += evil
		} else {
			r.score[s] += good
		}
		r.seen[s]++
		if r.score[s] <= 0 {
			r.score[s], r.seen[s] = 0, 0
		}
	}
	r.score[s] = min(r.score[s], scoreCap*threshold)
	if r.score[s] >= threshold && r.seen[s] >= leastEvidence {
		c.alarm(now, i, s)
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
	if p0 >= p1/1.2 {
		return 0, 0, false
	}
	return math.Log((1 - p1) / (1 - p0)), math.Log(p1 / p0), true
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
	case originCaller:
		r.score[s], r.seen[s] = 0, 0
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
	originCaller        // the client sees it on other servers too
)

// origin tells a gray server from a fault between some clients and the server, and
// from callers whose requests fail wherever they go.
func (c *coord) origin(now fleet.Time, i int32, s sign) ([]*creditClient, origin) {
	r := &c.pool.rows[i].co
	var all tally
	var worst *source
	for k := range r.sources {
		t := &r.sources[k].seen[s]
		t.decay(now, sourceWindow)
		all.n += t.n
		all.bad += t.bad
		if worst == nil || t.bad > worst.seen[s].bad {
			worst = &r.sources[k]
		}
	}
	if worst == nil {
		return nil, originCaller
	}
	if w := worst.seen[s]; w.bad > oneClient*all.bad {
		elseN, elseBad := c.elsewhere(now, worst.client, i, s)
		if elseN >= leastElse && elseBad/elseN*leastRatio > w.bad/w.n {
			return nil, originCaller
		}
		if differs(all.n-w.n, all.bad-w.bad, w.n, w.bad) || c.liveClients() > 1 && all.n-w.n < leastCompare {
			return []*creditClient{worst.client}, originPath
		}
		if elseN < leastElse {
			return nil, originCaller
		}
	}
	zone := worst.client.zone
	var in tally
	var group []*creditClient
	for k := range r.sources {
		if src := &r.sources[k]; src.client.zone == zone {
			in.n += src.seen[s].n
			in.bad += src.seen[s].bad
			group = append(group, src.client)
		}
	}
	if in.bad > oneZone*all.bad && c.otherZones(zone) {
		if differs(all.n-in.n, all.bad-in.bad, in.n, in.bad) || all.n-in.n < leastCompare {
			return group, originPath
		}
	}
	return nil, originServer
}

// differs reports whether enough others show a clearly lower bad rate.
func differs(n, bad, ownN, ownBad float64) bool {
	return n >= leastCompare && bad/n*leastRatio < ownBad/ownN
}

// elsewhere returns what a client saw on other servers.
func (c *coord) elsewhere(now fleet.Time, cc *creditClient, except int32, s sign) (n, bad float64) {
	for i := range c.pool.rows {
		if int32(i) == except {
			continue
		}
		r := &c.pool.rows[i].co
		for k := range r.sources {
			if r.sources[k].client == cc {
				t := &r.sources[k].seen[s]
				t.decay(now, sourceWindow)
				n += t.n
				bad += t.bad
			}
		}
	}
	return n, bad
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

// pathFault keeps the clients that see the fault away from the server; for the
// others it stays in use.
func (c *coord) pathFault(now fleet.Time, i int32, s sign, group []*creditClient) {
	r := &c.pool.rows[i]
	detail := map[string]string{"sign": s.String(), "score": fmtFloat(r.co.score[s]), "clients": strconv.Itoa(len(group))}
	for _, cc := range group {
		detail["zone"] = string(cc.zone)
		c.avoid(now, cc, i)
		src := r.co.source(cc)
		src.seen[s] = tally{}
	}
	r.co.score[s], r.co.seen[s] = 0, 0
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
