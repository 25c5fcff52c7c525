package balance

import (
	"math"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Weights of the cost function, in units of one successful request.
const (
	retryableCost     = 0.35 // of a failure that can be retried, relative to one that cannot
	latencyCost       = 0.4  // of a response later than the latency objective
	loadCost          = 0.02 // of a server with all slots in use; less than the cost of queueing
	highLoadCost      = 0.15 // of the share of slots in use above highLoadThreshold
	highLoadThreshold = 0.7
	costJitter        = 0.01 // breaks ties between equal servers
	crossZoneCost     = 0.01 // of a server in another zone, whose state is known less well
	crossRegionCost   = 0.15
	busyZoneCost      = 0.6  // added to crossRegionCost for a server whose zone is busy
	headersKB         = 0.5  // of a request's and a response's headers together
	warmupSlowdown    = 2.0  // minimum slowdown of a server that is warming up
	unreachableRisk   = 0.95 // minimum risk of a server that this VM cannot connect to
	suspectThreshold  = 0.3  // risk from which a server is a suspect
	limitWaitCost     = 0.5  // of a wait for a rate limit that takes all of the latency objective
)

// Trial requests to suspects and to idle servers.
const (
	trialInterval       = 800 * time.Millisecond // between two trial requests of this VM to a suspect
	idleTrialDelay      = 1 * time.Second        // idle time after which a healthy server gets a trial request
	minTrialRetries     = 2                      // retries that must be left in the budget
	trialDeadlineFactor = 3                      // minimum ratio of the time left to the expected service time
)

// Spreading of requests over idle servers, especially while a service fails.
const (
	idleUseMaxRisk     = 0.1  // risk up to which an idle server is used at any time
	spreadFailureRatio = 0.08 // failure ratio from which requests are also spread over riskier servers
	spreadMaxRisk      = 0.85 // risk of a server that failed about 2 s ago
	spreadMaxIdle      = 900 * time.Millisecond
	spreadMaxLoad      = 1               // requests in flight at an idle server: a single one may be a long request
	unknownMaxIdle     = 3 * time.Second // of a server whose risk has returned to the baseline, or that was never used

	// While a service fails, most of its servers must get requests in any 2 s (its capacity floor), and a
	// server that failed counts again 2 s later, whatever its risk. The idle time after which any
	// server is used, and the longest delay by which the VMs of a zone differ.
	floorMaxIdleIdempotent = 1200 * time.Millisecond
	floorMaxIdle           = 1600 * time.Millisecond
	floorIdleStagger       = 250 * time.Millisecond
)

// maxLimitWait is the longest time that a request waits for the rate limit of a server. A request that could
// not be served within its latency objective after the wait does not wait.
const maxLimitWait = time.Second

// Back-off and Retry-After times.
const (
	shedBackoff        = 200 * time.Millisecond // a server that shed a request counts as full for this long
	noServerRetryAfter = 300 * time.Millisecond // Retry-After when a service has no server
	minRetryAfter      = 50 * time.Millisecond
)

// queueWaitShare is the share of the time left that a request may wait in a server's queue,
// by priority; requests of lower priority are refused earlier.
var queueWaitShare = [...]float64{0.9, 0.75, 0.6}

// goldenRatio is the fractional part of the golden ratio. Steps of it modulo 1 form a
// low-discrepancy sequence, which spreads consecutive requests of a route evenly over its
// backends.
const goldenRatio = 0.6180339887498949

// SelectBackend selects one of the route's backends by weight.
func (b *Balancer) SelectBackend(m document.RouteMatch) fleet.Service {
	r := b.route(m.Name)
	r.backendPosition = math.Mod(r.backendPosition+goldenRatio, 1)
	return m.SelectBackend(r.backendPosition)
}

// MayRetry spends one retry of the service's retry budget if any is left.
func (b *Balancer) MayRetry(now fleet.Time, name fleet.Service) bool {
	if b.service(name).retries.take(now, b.cfg.Budget, b.vms) {
		return true
	}
	b.event(fleet.Event{Kind: "budget_spent", Service: name, Reason: "retry budget exhausted"})
	return false
}

// candidate is a server with the predicted outcome of a request sent to it.
type candidate struct {
	server        *server
	risk          float64       // probability that the server is failing
	limitWait     time.Duration // until the server's rate limit allows the request
	queueWait     time.Duration // in the server's queue
	serviceTime   time.Duration // expected, after the queue wait
	meetsDeadline bool          // the queue wait leaves enough of the request's time
	cost          float64
}

// Choose selects a server for the request, or refuses it.
func (b *Balancer) Choose(now fleet.Time, w pool.Work) pool.Decision {
	svc := b.service(w.Service)
	if !w.IsRetry && len(w.Exclude) == 0 {
		svc.retries.addRequest(now, b.cfg.Budget)
	}
	candidates, held := b.candidates(now, svc, w)
	if len(candidates) == 0 && held.count > 0 {
		return pool.Decision{Work: w.ID, Code: result.NoCapacity, RetryAfter: max(held.until, noServerRetryAfter), Selection: pool.SelectionInputs{Held: held.count}}
	}
	if len(candidates) == 0 {
		return pool.Decision{Work: w.ID, Code: result.NoServer, RetryAfter: noServerRetryAfter}
	}
	best := &candidates[0]
	for i := range candidates {
		if candidates[i].cost < best.cost {
			best = &candidates[i]
		}
	}
	trial := b.trialCandidate(now, svc, w, candidates, best)
	if trial == nil {
		trial = b.idleCandidate(now, svc, w, candidates, best)
	}
	if trial != nil {
		best = trial
		best.server.lastTrial = now
	}
	if !best.meetsDeadline {
		inputs := pool.SelectionInputs{Risk: best.risk, Load: best.server.load(), Wait: best.queueWait, Servers: len(candidates), Held: held.count}
		return pool.Decision{Work: w.ID, Code: result.NoCapacity, RetryAfter: max(best.queueWait/2, minRetryAfter), Selection: inputs}
	}
	inputs := pool.SelectionInputs{Risk: best.risk, Age: now.Sub(best.server.health.updated), Load: best.server.load(), Wait: best.queueWait, Locality: best.server.distance.String(), Servers: len(candidates), Held: held.count}
	b.startAttempt(now, w, best.server, best.limitWait)
	return pool.Decision{Work: w.ID, Server: best.server.entry.Server, Delay: best.limitWait, Trial: trial != nil, Selection: inputs}
}

// candidates evaluates the servers that may be the cheapest, nearest first. Servers of another zone
// or region are left out if the cost of the transfer alone exceeds the cost of a nearer server.
func (b *Balancer) candidates(now fleet.Time, svc *service, w pool.Work) ([]candidate, heldServers) {
	r := b.route(w.Route)
	var out []candidate
	var held heldServers
	best := math.Inf(1)
	for d, servers := range svc.byDistance() {
		d := distance(d)
		if best <= b.transferCost(d, r, w) && (d != inRegion || len(b.coveredZones) == 0) {
			continue
		}
		out = slices.Grow(out, len(servers))
		for _, s := range servers {
			if s.isLeaving(now) || slices.Contains(w.Exclude, s.entry.Server.ID) {
				continue
			}
			if now < s.notices.pausedUntil {
				held.add(s.notices.pausedUntil.Sub(now))
				continue
			}
			wait := b.limitWait(now, s)
			if wait > maxLimitWait {
				held.add(wait)
				continue
			}
			c := b.evaluate(now, s, r, w, wait)
			if wait > 0 && wait+c.queueWait+c.serviceTime > w.LatencyObjective {
				held.add(wait)
				continue
			}
			if d == otherRegion && svc.zoneUnavailable(now, s.entry.Server.Zone) {
				c.cost += busyZoneCost
			}
			c.cost += costJitter * b.rng.float()
			best = min(best, c.cost)
			out = append(out, c)
		}
	}
	return out, held
}

// evaluate predicts the outcome of the request at a server whose rate limit allows it after limitWait.
func (b *Balancer) evaluate(now fleet.Time, s *server, r *route, w pool.Work, limitWait time.Duration) candidate {
	c := candidate{server: s, risk: s.health.riskAt(now), limitWait: limitWait}
	if now < s.unreachableUntil {
		c.risk = max(c.risk, unreachableRisk)
	}
	slots := float64(max(s.entry.Slots, 1))
	load := float64(s.load())
	if now < s.shedUntil {
		load = max(load, slots+1)
	}
	slowdown := s.currentSlowdown(now)
	if now < s.warmUntil {
		slowdown = max(slowdown, warmupSlowdown)
	}
	c.serviceTime = time.Duration(slowdown * float64(r.expectedTime()))
	c.queueWait = time.Duration(max(0, load+1-slots) / slots * float64(c.serviceTime))
	failure := c.risk
	if w.Idempotent && w.MaxRetries > 0 {
		failure *= retryableCost
	}
	share := queueWaitShare[min(max(w.Priority, 0), len(queueWaitShare)-1)]
	c.meetsDeadline = c.limitWait+c.queueWait+c.serviceTime/2 <= time.Duration(share*float64(w.Deadline.Sub(now)))
	if !c.meetsDeadline {
		failure = 1
	}
	c.cost = failure + latencyCost*lateness(c.limitWait+c.queueWait+c.serviceTime, w.LatencyObjective) + loadCost*load/slots + highLoadCost*max(0, load/slots-highLoadThreshold) + b.transferCost(s.distance, r, w)
	if limitWait > 0 {
		c.cost += limitWaitCost * limitWait.Seconds() / w.LatencyObjective.Seconds()
	}
	return c
}

// lateness rises from 0 at 0.6 times the objective to 1 at 1.6 times.
func lateness(expected, objective time.Duration) float64 {
	if objective <= 0 {
		return 1
	}
	x := float64(expected)/float64(objective) - 0.6
	return min(max(x, 0), 1)
}

func (b *Balancer) transferCost(d distance, r *route, w pool.Work) float64 {
	kb := float64(w.Bytes)/1024 + r.bytes.mean + headersKB
	switch d {
	case inRegion:
		return crossZoneCost + kb*b.cfg.Prices.CrossZonePerKB
	case otherRegion:
		return crossRegionCost + kb*b.cfg.Prices.CrossRegionPerKB
	}
	return 0
}

// trialCandidate returns a server to try with a request that can be retried: a suspect
// that has no request in flight and no recent trial, or a server that has been idle.
func (b *Balancer) trialCandidate(now fleet.Time, svc *service, w pool.Work, candidates []candidate, best *candidate) *candidate {
	if !w.Idempotent || w.MaxRetries < 1 || w.IsRetry || w.Deadline.Sub(now) < trialDeadlineFactor*best.serviceTime {
		return nil
	}
	if svc.retries.remaining(now, b.cfg.Budget, b.vms) < minTrialRetries {
		return nil
	}
	var found *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.server.distance > best.server.distance || c.server == best.server || c.limitWait > 0 || !b.canTry(now, c) {
			continue
		}
		if found == nil || c.risk < found.risk {
			found = c
		}
	}
	return found
}

// idleCandidate returns a server that no VM has used for a while. Healthy servers are kept
// in use. While the service as a whole fails more often than usual, the risk of a single
// server is less conclusive, and avoiding risky servers must not reduce the service's
// capacity below its floor. Servers whose last failure was some time ago are then used too,
// the longest idle first once one has been idle for floorMaxIdle.
func (b *Balancer) idleCandidate(now fleet.Time, svc *service, w pool.Work, candidates []candidate, best *candidate) *candidate {
	failing := svc.failureRatio(now) >= spreadFailureRatio
	floorIdle := floorMaxIdle
	if w.Idempotent {
		floorIdle = floorMaxIdleIdempotent
	}
	var found, longestIdle *candidate
	for i := range candidates {
		c := &candidates[i]
		s := c.server
		eligible := s.distance == inZone || b.coveredZones[s.entry.Server.Zone]
		if c == best || !eligible || s.notices.limit.named || now < s.unreachableUntil {
			continue
		}
		idle := now.Sub(s.lastUsed)
		if failing && idle >= floorIdle+b.stagger(s) && (longestIdle == nil || s.lastUsed < longestIdle.server.lastUsed) {
			longestIdle = c
		}
		if s.load() <= spreadMaxLoad && idle >= maxIdle(c.risk, failing) && (found == nil || c.risk < found.risk) {
			found = c
		}
	}
	if longestIdle != nil {
		return longestIdle
	}
	return found
}

// stagger returns how much later than others this VM sends a request to an idle server. The VMs of
// a zone see a server become idle at the same time, and one request is enough.
func (b *Balancer) stagger(s *server) time.Duration {
	return time.Duration(s.staggerShare * float64(floorIdleStagger))
}

// maxIdle returns how long a server of the given risk may stay idle.
func maxIdle(risk float64, failing bool) time.Duration {
	switch {
	case risk <= idleUseMaxRisk, failing && risk <= spreadMaxRisk:
		return spreadMaxIdle
	case risk <= baselineRisk+digestMinDeviation:
		return unknownMaxIdle
	}
	return math.MaxInt64
}

func (b *Balancer) canTry(now fleet.Time, c *candidate) bool {
	s := c.server
	if s.load() > 0 || now < s.unreachableUntil || now < s.shedUntil {
		return false
	}
	if c.risk < suspectThreshold {
		return !s.notices.limit.named && now.Sub(s.lastUsed) >= idleTrialDelay
	}
	return now.Sub(s.lastTrial) >= trialInterval && now.Sub(s.lastUsed) >= trialInterval
}

// startAttempt records an attempt that is sent to the server after delay.
func (b *Balancer) startAttempt(now fleet.Time, w pool.Work, s *server, delay time.Duration) {
	s.local++
	b.attempts[w.ID] = &attempt{server: s.entry.Server.ID, service: w.Service, route: w.Route, request: w.RequestID, started: now.Add(delay), final: !w.Idempotent || w.MaxRetries < 1,
		incarnation: s.entry.Incarnation, usedBefore: s.lastUsed}
	if s.notices.limit.named {
		b.startLimited(now, now.Add(delay), s)
	}
	s.lastUsed = now.Add(delay)
	b.zone.schedule(now)
}
