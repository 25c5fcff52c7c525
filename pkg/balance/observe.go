package balance

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// Parameters of the evaluation of outcomes.
const (
	unreachableBackoffMin = 500 * time.Millisecond // for a server that cannot be connected to, doubled with each failure
	unreachableBackoffMax = 4 * time.Second
	leavingTTL            = 10 * time.Second // how long a server that announced its shutdown is not used
	lateFactor            = 3                // an attempt is late after this many times the expected duration
	lateMin               = 400 * time.Millisecond
	slowdownHalfLife      = 3 * time.Second // of the decay of a server's slowdown towards 1
	slowdownWeight        = 0.3             // of a new value
	peerTimeout           = 1500 * time.Millisecond
	maxSlowdown           = 20
	pathFaultTTL          = 3 * time.Second  // how long a VM's path to a server is doubted after a path outcome
	maxReportedLoad       = 1 << 16          // requests in flight of one VM at one server; a report with more is wrong
	maxObservationAge     = 10 * time.Second // an older observation in a report is not evidence
)

// currentSlowdown returns the server's slowdown, which decays towards 1.
func (s *server) currentSlowdown(now fleet.Time) float64 {
	return 1 + (s.slowdown-1)*math.Exp2(-now.Sub(s.slowdownUpdated).Seconds()/slowdownHalfLife.Seconds())
}

func (s *server) addSlowdown(now fleet.Time, slowdown float64) {
	slowdown = min(slowdown, maxSlowdown)
	s.slowdown, s.slowdownUpdated = s.currentSlowdown(now)+slowdownWeight*(slowdown-s.currentSlowdown(now)), now
}

// End records the end of an attempt.
func (b *Balancer) End(now fleet.Time, id pool.WorkID, e pool.End) {
	a := b.attempts[id]
	if a == nil {
		return
	}
	delete(b.attempts, id)
	b.zone.schedule(now)
	r := b.route(a.route)
	if e.State == pool.EndOK {
		r.bytes.add(time.Duration(float64(e.Bytes) / 1024 * float64(time.Second)))
	}
	s := b.servers[a.server]
	if s == nil {
		return
	}
	s.local = max(0, s.local-1)
	if s.entry.Incarnation == a.incarnation && endsLimit(e) {
		b.endLimit(now, e.RespondedAt, s)
	}
	o := outcomeOf(e.State)
	if o == 0 || o == OutcomeTimeout && !a.late {
		return // a short deadline is no evidence against the server
	}
	obs := Observation{Server: a.server, Outcome: o, Final: a.final}
	if o == OutcomeOK || o == OutcomeTimeout {
		obs.Slowdown = float32(min(e.Duration.Seconds()/r.expectedTime().Seconds(), maxSlowdown))
	}
	if o == OutcomeOK && s.health.riskAt(now) < suspectThreshold {
		r.serviceTime.add(e.Duration)
	}
	if o == OutcomeUnreachable && s.lastUsed == a.started {
		s.lastUsed = a.usedBefore // the request did not arrive
	}
	b.observe(now, s, obs, b.cfg.Self, true)
	b.enqueue(now, s, obs)
}

// isPathOutcome reports whether the path between a VM and the server may be the cause of an outcome.
func isPathOutcome(o Outcome) bool {
	return o == OutcomeLate || o == OutcomeTimeout || o == OutcomeUnreachable
}

// countsAgainstServer records which VMs have trouble on their path to the server, and reports whether
// the outcome of another VM is evidence about the server itself. Repeated path outcomes of one VM are
// not, and a failed connection of a VM is only if another VM has trouble as well.
func (s *server) countsAgainstServer(at fleet.Time, from, self fleet.VMID, o Outcome) bool {
	if o == OutcomeOK || o == OutcomeFailed {
		delete(s.pathFaults, from)
	}
	if !isPathOutcome(o) {
		return true
	}
	others := 0
	for vm, fault := range s.pathFaults {
		if at.Sub(fault) >= pathFaultTTL {
			delete(s.pathFaults, vm)
		} else if vm != from {
			others++
		}
	}
	_, repeated := s.pathFaults[from]
	if s.pathFaults == nil {
		s.pathFaults = make(map[fleet.VMID]fleet.Time)
	}
	s.pathFaults[from] = at
	return from == self || !repeated && (o != OutcomeUnreachable || others > 0)
}

// observe updates the state of a server with an observation of a VM. FromZone means that the observing VM is
// in the zone of this VM.
func (b *Balancer) observe(now fleet.Time, s *server, o Observation, from fleet.VMID, fromZone bool) {
	own := from == b.cfg.Self
	at := now.Add(-time.Duration(o.AgeMS) * time.Millisecond)
	before := s.health.riskAt(now)
	switch o.Outcome {
	case OutcomeShed:
		s.shedUntil = at.Add(shedBackoff)
	case OutcomeLeaving:
		s.leavingUntil = at.Add(leavingTTL)
	case OutcomeUnreachable:
		if own {
			s.connectFailures++
			s.unreachableUntil = now.Add(min(unreachableBackoffMin<<min(s.connectFailures-1, 6), unreachableBackoffMax))
		}
	case OutcomeOK:
		if own {
			s.connectFailures, s.unreachableUntil = 0, 0
		}
	}
	counts := s.countsAgainstServer(at, from, b.cfg.Self, o.Outcome)
	// A full server sheds because of its load; shedding with free slots indicates a failure.
	if counts && (o.Outcome != OutcomeShed || s.load() < s.entry.Slots/2) {
		s.health.observe(at, o.Outcome)
		s.lastOutcome = max(s.lastOutcome, at)
	}
	if o.Outcome == OutcomeOK {
		s.lastSuccess = max(s.lastSuccess, at)
	}
	if o.Slowdown > 0 {
		s.addSlowdown(now, float64(o.Slowdown))
	}
	failed := o.Outcome == OutcomeFailed || o.Outcome == OutcomeTimeout
	if (failed && o.Final || o.Outcome == OutcomeOK) && (own || fromZone) {
		b.service(s.entry.Server.Service).failures.add(now, failed)
	}
	if own {
		b.recordSuspectChange(s, o, before, s.health.riskAt(now))
	}
}

// recordSuspectChange records that an outcome at this VM made a server a suspect or ended that. What other
// VMs report is recorded there, since one line at each VM would grow with the square of the fleet.
func (b *Balancer) recordSuspectChange(s *server, o Observation, before, after float64) {
	kind := fleet.EventKind("")
	switch {
	case before < suspectThreshold && after >= suspectThreshold:
		kind = "server_suspected"
	case before >= suspectThreshold && after < suspectThreshold:
		kind = "server_readmitted"
	default:
		return
	}
	b.event(fleet.Event{Kind: kind, Service: s.entry.Server.Service, Server: s.entry.Server.ID, Reason: o.Outcome.String(),
		Detail: map[string]string{"belief": formatRisk(after), "before": formatRisk(before)}})
}

// Tick marks late attempts and expires the load reported by silent peers.
func (b *Balancer) Tick(now fleet.Time) {
	for _, a := range b.lateAttempts(now) {
		a.late = true
		if s := b.servers[a.server]; s != nil {
			b.recordLateAttempt(now, a, s)
			obs := Observation{Server: a.server, Outcome: OutcomeLate, Slowdown: float32(now.Sub(a.started).Seconds() / b.route(a.route).expectedTime().Seconds())}
			b.observe(now, s, obs, b.cfg.Self, true)
			b.enqueue(now, s, obs)
		}
	}
	for _, s := range b.servers {
		if s.digestLoad != 0 && now.Sub(s.digestLoadUpdated) > peerTimeout {
			s.digestLoad = 0
		}
	}
	b.forgetDeparted(now)
	for id, p := range b.peers {
		if now.Sub(p.lastReport) > peerTimeout {
			b.removePeer(id)
		}
	}
}

// recordLateAttempt emits an event with the state of a late attempt's server: a server that
// completes other requests at its usual speed is processing a long request; one that
// completes none is slow or hangs.
func (b *Balancer) recordLateAttempt(now fleet.Time, a *attempt, s *server) {
	served := "never"
	if s.lastSuccess != 0 {
		served = strconv.FormatInt(now.Sub(s.lastSuccess).Milliseconds(), 10)
	}
	b.event(fleet.Event{Kind: "attempt_late", Service: a.service, Server: a.server, Request: a.request, Reason: "no response yet",
		Detail: map[string]string{
			"after_ms": strconv.FormatInt(now.Sub(a.started).Milliseconds(), 10), "served_ms_ago": served,
			"pace": strconv.FormatFloat(s.currentSlowdown(now), 'f', 2, 64), "belief": formatRisk(s.health.riskAt(now)), "load": strconv.Itoa(s.load()),
		}})
}

// lateAttempts returns attempts that became late, in a deterministic order.
func (b *Balancer) lateAttempts(now fleet.Time) []*attempt {
	var out []*attempt
	for _, a := range b.attempts {
		if !a.late && now.Sub(a.started) > max(lateFactor*b.route(a.route).expectedTime(), lateMin) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int {
		return cmp.Or(cmp.Compare(x.started, y.started), cmp.Compare(x.server, y.server))
	})
	return out
}

// ApplyReport applies a report received from another VM.
func (b *Balancer) ApplyReport(now fleet.Time, from fleet.VMID, r Report) {
	b.setLoads(now, from, r)
	for _, u := range r.Notices {
		b.applyNotice(now, from, u)
	}
	for _, o := range r.Observations {
		s := b.servers[o.Server]
		if s == nil || o.AgeMS < 0 || o.AgeMS > maxObservationAge.Milliseconds() {
			continue
		}
		if o.Outcome == OutcomeOK || o.Outcome == OutcomeFailed {
			s.lastUsed = max(s.lastUsed, now.Add(-time.Duration(o.AgeMS)*time.Millisecond))
		}
		b.observe(now, s, o, from, r.Zone == b.cfg.Zone)
	}
}

// setLoads replaces the requests in flight that a VM reported.
func (b *Balancer) setLoads(now fleet.Time, from fleet.VMID, r Report) {
	p := b.peers[from]
	if p == nil {
		p = &peer{}
		b.peers[from] = p
		b.tellNotices(now)
	}
	p.lastReport, p.zone = now, r.Zone
	old := p.loads
	p.loads = slices.DeleteFunc(r.Loads, func(l Load) bool { return l.InFlight <= 0 || l.InFlight > maxReportedLoad })
	for _, l := range old {
		if s := b.servers[l.Server]; s != nil {
			s.remote -= l.InFlight
			s.previousLoad = l.InFlight
		}
	}
	for _, l := range p.loads {
		if s := b.servers[l.Server]; s != nil {
			s.remote += l.InFlight
			if _, doubtful := s.pathFaults[from]; l.InFlight > s.previousLoad && !doubtful {
				s.lastUsed = now
			}
		}
	}
	for _, l := range old {
		if s := b.servers[l.Server]; s != nil {
			s.previousLoad = 0
		}
	}
}

func (b *Balancer) removePeer(id fleet.VMID) {
	for _, l := range b.peers[id].loads {
		if s := b.servers[l.Server]; s != nil {
			s.remote -= l.InFlight
		}
	}
	delete(b.peers, id)
}
