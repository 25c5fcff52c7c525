package pool

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Parameters of the sequential probability ratio test. p0 is the rate of bad outcomes at
// the other servers, p1 the assumed rate at a gray server. A healthy server causes a false
// alarm at most once per 1/alpha requests on average; the checks of the recent window
// and of the sources reduce the rate further.
const (
	alpha            = 1e-5
	minBaseRate      = 0.01 // lower bound of p0
	priorBad         = 0.1  // bad outcomes of the prior for p0, together with priorN: 10 requests at 1%
	priorN           = 10
	minOtherRequests = 10  // requests on a route at other servers, below which there is no base rate
	minRunRequests   = 5   // requests in a run, below which no alarm is raised
	grayFailureRate  = 0.3 // lower bound of p1 for failures
	graySlownessRate = 0.7 // p1 for slowness
	minGrayRatio     = 3   // lower bound of p1/p0 for failures
	maxGrayRate      = 0.95
	minRateRatio     = 1.75 // p1/p0 below which the other servers are no usable reference
	maxScoreFactor   = 3    // upper bound of the score, as a multiple of alarmThreshold
	confirmFactor    = 0.2  // share of alarmThreshold that the fast window must reach to confirm an alarm
)

// Parameters for locating a fault from the sources of evidence.
const (
	supportScore         = 1.0  // log likelihood ratio at which the evidence of others confirms that of a VM or zone
	refuteScore          = -3.5 // log likelihood ratio at which it contradicts it
	minElsewhereRequests = 10   // requests of a single source on other servers, below which they are not compared
	minElsewhereRatio    = 3    // ratio between bad rates that count as different
	maxRoutes            = 4096
	alarmDelay           = 120 * time.Millisecond // covers two evidence syncs
	crossCheckInterval   = 200 * time.Millisecond
	crossCheckBackoff    = time.Second
	crossCheckVMs        = 3
)

var alarmThreshold = math.Log(1 / alpha)

// applyEvidence adds a client's counts to the sequential tests.
func (c *coord) applyEvidence(now fleet.Time, cc *creditClient, counts []Evidence) {
	for k := range counts {
		e := &counts[k]
		i, ok := c.pool.row(e.Ref)
		if !ok || e.OK < 0 || e.Late < 0 || e.Failed < 0 || e.Slow < 0 || e.Unreachable < 0 {
			continue
		}
		r := &c.pool.rows[i]
		if e.Trial {
			c.applyTrialEvidence(now, i, e)
			continue
		}
		if r.coord.ejection != nil && r.coord.ejection.inEffect() {
			continue // the outcomes are from before the ejection
		}
		if e.Unreachable > 0 && e.OK == 0 {
			c.avoidServer(now, cc, i)
		}
		re := c.evidenceFor(e.Route)
		if re == nil {
			continue
		}
		for s := range symptomCount {
			if n, bad := e.outcome(s); n > 0 && (s != symptomSlowness || c.warmedUp(now, r)) {
				c.observe(now, cc, i, re, s, n, bad)
			}
		}
	}
}

// evidenceFor returns the outcomes of a route, or nil if there are too many routes.
func (c *coord) evidenceFor(ref uint32) *routeEvidence {
	re := c.evidence[ref]
	if re == nil && len(c.evidence) < maxRoutes {
		re = &routeEvidence{byRow: map[int32]*windows{}}
		c.evidence[ref] = re
		c.routes = append(c.routes, re)
	}
	return re
}

// observe adds outcomes to the windows and advances the sequential test.
func (c *coord) observe(now fleet.Time, cc *creditClient, i int32, re *routeEvidence, s symptom, n, bad int) {
	own := re.byRow[i]
	if own == nil {
		own = &windows{}
		re.byRow[i] = own
	}
	own.add(now, s, n, bad)
	re.total.add(now, s, n, bad)
	r := &c.pool.rows[i].coord
	src := r.sourceOf(cc)
	src.outcomes[s].add(now, sourceWindow, n, bad)
	cc.outcomes[s].add(now, sourceWindow, n, bad)
	p0, ok := baseRate(now, re, own, s)
	if !ok {
		return
	}
	goodStep, badStep, ok := logLikelihoodRatios(p0, s)
	if !ok {
		return
	}
	// The order within a report is unknown, so bad outcomes are spread evenly over it.
	for k := range n {
		step := goodStep
		if (k+1)*bad/n > k*bad/n {
			step = badStep
		}
		r.score[s] += step
		src.runScore[s] += step
		r.runOutcomes[s]++
		if r.score[s] <= 0 {
			r.resetRun(s)
		}
	}
	r.score[s] = min(r.score[s], maxScoreFactor*alarmThreshold)
	switch {
	case r.score[s] < alarmThreshold || r.runOutcomes[s] < minRunRequests:
		r.alarmAt[s] = 0
	case r.alarmAt[s] == 0:
		r.alarmAt[s] = now
		c.alarms = append(c.alarms, alarm{i, s})
	}
}

func (r *coordRow) sourceOf(cc *creditClient) *source {
	for k := range r.sources {
		if r.sources[k].client == cc {
			return &r.sources[k]
		}
	}
	r.sources = append(r.sources, source{client: cc})
	return &r.sources[len(r.sources)-1]
}

func (c *coord) removeSource(cc *creditClient) {
	for i := range c.pool.rows {
		r := &c.pool.rows[i].coord
		for k := range r.sources {
			if r.sources[k].client == cc {
				r.sources[k] = r.sources[len(r.sources)-1]
				r.sources = r.sources[:len(r.sources)-1]
				break
			}
		}
	}
}

// baseRate returns the rate of bad outcomes of the other servers on a route. It returns
// false if they have served too few requests for a comparison.
func baseRate(now fleet.Time, re *routeEvidence, own *windows, s symptom) (float64, bool) {
	re.total.decay(now, s)
	own.decay(now, s)
	n, bad := otherOutcomes(&re.total.slow[s], &own.slow[s])
	if n < minOtherRequests {
		return 0, false
	}
	p0 := (bad + priorBad) / (n + priorN)
	n, bad = otherOutcomes(&re.total.fast[s], &own.fast[s])
	// The fast window reacts to a sudden fault of the whole pool or route.
	p0 = max(p0, (bad+priorBad)/(n+priorN), minBaseRate)
	return p0, true
}

// logLikelihoodRatios returns the log likelihood ratios of a good and a bad outcome. It
// returns false if the base rate p0 is too close to the rate of a gray server.
func logLikelihoodRatios(p0 float64, s symptom) (good, bad float64, ok bool) {
	p1 := graySlownessRate
	if s == symptomFailure {
		p1 = max(grayFailureRate, minGrayRatio*p0)
	}
	p1 = min(p1, maxGrayRate)
	if p0 > p1/minRateRatio {
		return 0, 0, false
	}
	return math.Log((1 - p1) / (1 - p0)), math.Log(p1 / p0), true
}

// alarm is a score above the threshold that waits for reports about the other servers.
type alarm struct {
	row     int32
	symptom symptom
}

// processAlarms handles the alarms that are older than alarmDelay. The delay is needed
// because a fault of the whole pool or of a route is reported for some servers earlier
// than for others.
func (c *coord) processAlarms(now fleet.Time) {
	c.alarms = slices.DeleteFunc(c.alarms, func(a alarm) bool {
		r := &c.pool.rows[a.row].coord
		if r.alarmAt[a.symptom] == 0 {
			return true
		}
		if now.Sub(r.alarmAt[a.symptom]) >= alarmDelay {
			c.handleAlarm(now, a.row, a.symptom)
		}
		return r.alarmAt[a.symptom] == 0
	})
}

// handleAlarm classifies an alarm: a gray server, a fault of a network path, or a cause
// that is unrelated to the server.
func (c *coord) handleAlarm(now fleet.Time, i int32, s symptom) {
	r := &c.pool.rows[i].coord
	recent := c.recentScore(now, i, s)
	if recent < confirmFactor*alarmThreshold {
		r.score[s] = min(r.score[s], alarmThreshold)
		return
	}
	switch group, origin := c.locateFault(now, i, s); origin {
	case originServer:
		c.propose(now, i, s, recent)
	case originPath:
		c.handlePathFault(now, i, s, group)
	case originUnknown:
		c.crossCheck(now, i, group)
	}
}

// resetRun restarts the sequential test.
func (r *coordRow) resetRun(s symptom) {
	r.score[s], r.runOutcomes[s], r.alarmAt[s] = 0, 0, 0
	for k := range r.sources {
		r.sources[k].runScore[s] = 0
	}
}

// recentScore returns the log likelihood ratio of the fast window under the current base
// rates. It rejects alarms that built up while the other servers had lower bad rates.
func (c *coord) recentScore(now fleet.Time, i int32, s symptom) float64 {
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
		n, bad := otherOutcomes(&re.total.latest[s], &own.latest[s])
		p0 = max(p0, (bad+priorBad)/(n+priorN))
		if goodStep, badStep, ok := logLikelihoodRatios(p0, s); ok {
			t := &own.fast[s]
			sum += t.bad*badStep + (t.n-t.bad)*goodStep
		}
	}
	return sum
}

// faultOrigin is the location of the fault behind an alarm.
type faultOrigin uint8

const (
	originServer  faultOrigin = iota
	originPath                // only some clients observe the fault
	originUnknown             // more evidence from other clients is needed
	originCaller              // the client observes the same on other servers
)

// locateFault distinguishes a gray server from a fault between some clients and the
// server, and from callers whose requests fail on every server. It compares the evidence
// of one VM, and of the VMs of one zone, with that of all others in the current run. It
// returns the clients on the affected side, if any.
func (c *coord) locateFault(now fleet.Time, i int32, s symptom) ([]*creditClient, faultOrigin) {
	r := &c.pool.rows[i].coord
	total := 0.0
	worst := -1
	for k := range r.sources {
		total += r.sources[k].runScore[s]
		if worst < 0 || r.sources[k].runScore[s] > r.sources[worst].runScore[s] {
			worst = k
		}
	}
	if worst < 0 {
		return nil, originUnknown
	}
	w := &r.sources[worst]
	if rest := total - w.runScore[s]; rest < supportScore {
		if c.seesSameElsewhere(now, w, s) {
			return nil, originCaller
		}
		if rest <= refuteScore && w.runScore[s] >= alarmThreshold {
			return []*creditClient{w.client}, originPath
		}
		if c.liveClients() > 1 {
			return []*creditClient{w.client}, originUnknown
		}
	}
	zoneScore := 0.0
	var group []*creditClient
	for k := range r.sources {
		if src := &r.sources[k]; src.client.zone == w.client.zone {
			zoneScore += src.runScore[s]
			group = append(group, src.client)
		}
	}
	if rest := total - zoneScore; rest < supportScore && c.hasOtherZones(w.client.zone) {
		if rest <= refuteScore && zoneScore >= alarmThreshold {
			return group, originPath
		}
		return group, originUnknown
	}
	return nil, originServer
}

// seesSameElsewhere reports whether a client observes a similar bad rate on other servers,
// or has too few requests there for a comparison.
func (c *coord) seesSameElsewhere(now fleet.Time, src *source, s symptom) bool {
	all, own := &src.client.outcomes[s], &src.outcomes[s]
	all.decay(now, sourceWindow)
	own.decay(now, sourceWindow)
	n, bad := otherOutcomes(all, own)
	return n < minElsewhereRequests || own.n == 0 || bad/n*minElsewhereRatio > own.bad/own.n
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

// hasOtherZones reports whether the region has VMs in other zones, whether or not they
// have sent a sync.
func (c *coord) hasOtherZones(zone fleet.Zone) bool {
	for _, vm := range c.pool.partition.vms {
		if row, ok := c.p.dir.VM(vm); ok && row.Zone != zone {
			return true
		}
	}
	return false
}

// crossCheck moves credits of a suspect server from the VMs that reported it to other
// VMs, whose evidence then shows whether the server or the network path is faulty.
func (c *coord) crossCheck(now fleet.Time, i int32, group []*creditClient) {
	r := &c.pool.rows[i]
	if len(group) == 0 || now.Sub(r.coord.lastCrossCheck) < crossCheckInterval {
		return
	}
	r.coord.lastCrossCheck = now
	for _, cc := range group {
		g := cc.grantFor(i)
		g.avoidUntil = max(g.avoidUntil, now.Add(crossCheckBackoff))
		if g.target > 0 {
			c.setTarget(cc, g, 0, 0)
		}
	}
	free := min(crossCheckVMs, c.slots(now, r)-r.coord.outstanding-r.coord.reserved)
	for range c.clients {
		c.nextClient++
		cc := c.clients[c.nextClient%len(c.clients)]
		if free <= 0 || !cc.live() || cc.used == 0 && cc.wantedSpare == 0 || slices.Contains(group, cc) || cc.avoids(now, i) {
			continue
		}
		g := cc.grantFor(i)
		c.setTarget(cc, g, g.target+1, g.targetLong)
		free--
	}
}

// handlePathFault stops the clients that observe the fault from using the server. The
// other clients continue to use it.
func (c *coord) handlePathFault(now fleet.Time, i int32, s symptom, group []*creditClient) {
	r := &c.pool.rows[i]
	detail := map[string]string{"sign": s.String(), "score": fmtFloat(r.coord.score[s]), "clients": strconv.Itoa(len(group))}
	for _, cc := range group {
		detail["zone"] = string(cc.zone)
		c.avoidServer(now, cc, i)
	}
	r.coord.resetRun(s)
	if r.coord.lastEvent == 0 || now.Sub(r.coord.lastEvent) > eventInterval {
		r.coord.lastEvent = now
		c.p.event(EventPathFault, c.pool.id, r.server.ID, "fault is seen by only some VMs", detail)
	}
}

// avoidServer stops one client from using a server for unreachableBackoff.
func (c *coord) avoidServer(now fleet.Time, cc *creditClient, i int32) {
	g := cc.grantFor(i)
	g.avoidUntil = now.Add(unreachableBackoff)
	if g.target > 0 {
		c.setTarget(cc, g, 0, 0)
	}
}

// warmedUp reports whether the server's warm-up has ended.
func (c *coord) warmedUp(now fleet.Time, r *row) bool {
	return !r.coldStart || now.Sub(r.listedAt) >= max(time.Duration(c.pool.service.Warmup), rampDuration)
}

func fmtFloat(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }
