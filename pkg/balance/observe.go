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

// Times of observations.
const (
	cutMin      = 500 * time.Millisecond // a server without connection is avoided this long, doubled each time
	cutMax      = 4 * time.Second
	leftFor     = 10 * time.Second // a server that said it is leaving is not used this long
	lateTimes   = 3                // an attempt is late after this many times the usual duration
	lateLeast   = 400 * time.Millisecond
	paceHalving = 3 * time.Second // a server's pace drifts back to the usual one with this half-life
	paceWeight  = 0.3             // of a new duration
	peerSilence = 1500 * time.Millisecond
	maxPace     = 20
)

// paceNow returns the server's pace, which drifts back to 1.
func (s *server) paceNow(now fleet.Time) float64 {
	return 1 + (s.pace-1)*math.Exp2(-now.Sub(s.paceAt).Seconds()/paceHalving.Seconds())
}

func (s *server) addPace(now fleet.Time, pace float64) {
	pace = min(pace, maxPace)
	s.pace, s.paceAt = s.paceNow(now)+paceWeight*(pace-s.paceNow(now)), now
}

// End takes the end of an attempt.
func (b *Balancer) End(now fleet.Time, id pool.WorkID, e pool.End) {
	a := b.attempts[id]
	if a == nil {
		return
	}
	delete(b.attempts, id)
	b.zone.touch(now)
	r := b.route(a.route)
	if e.State == pool.EndOK {
		r.bytes.add(time.Duration(float64(e.Bytes) / 1024 * float64(time.Second)))
	}
	s := b.servers[a.server]
	if s == nil {
		return
	}
	s.local = max(0, s.local-1)
	o := outcomeOf(e.State)
	if o == 0 || o == OutcomeTimeout && !a.late {
		return // a short deadline says nothing about the server
	}
	obs := Observation{Server: a.server, Outcome: o, Final: a.final}
	if o == OutcomeOK || o == OutcomeTimeout {
		obs.Pace = float32(min(e.Duration.Seconds()/r.time().Seconds(), maxPace))
	}
	if o == OutcomeOK && s.health.now(now) < suspectFrom {
		r.took.add(e.Duration)
	}
	b.observe(now, s, obs, true, true)
	b.tell(now, s, obs)
}

// observe moves what is believed of a server.
func (b *Balancer) observe(now fleet.Time, s *server, o Observation, own, fromZone bool) {
	at := now.Add(-time.Duration(o.AgeMS) * time.Millisecond)
	before := s.health.now(now)
	switch o.Outcome {
	case OutcomeShed:
		s.fullUntil = at.Add(fullFor)
	case OutcomeLeaving:
		s.leftUntil = at.Add(leftFor)
	case OutcomeUnreachable:
		if own {
			s.cuts++
			s.cutUntil = now.Add(min(cutMin<<min(s.cuts-1, 6), cutMax))
		}
	case OutcomeOK:
		if own {
			s.cuts, s.cutUntil = 0, 0
		}
	}
	// A server that is full sheds for its load; only one with free slots is suspect.
	if o.Outcome != OutcomeShed || s.load() < s.entry.Slots/2 {
		s.health.observe(at, o.Outcome)
		s.seen = max(s.seen, at)
	}
	if o.Outcome == OutcomeOK {
		s.served = max(s.served, at)
	}
	if o.Pace > 0 {
		s.addPace(now, float64(o.Pace))
	}
	failed := o.Outcome == OutcomeFailed || o.Outcome == OutcomeTimeout
	if (failed && o.Final || o.Outcome == OutcomeOK) && (own || fromZone) {
		b.service(s.entry.Server.Service).failures.add(now, failed)
	}
	b.noteChange(s, o, before, s.health.now(now), own)
}

// noteChange records that a server became a suspect or stopped being one.
func (b *Balancer) noteChange(s *server, o Observation, before, after float64, own bool) {
	kind := fleet.EventKind("")
	switch {
	case before < suspectFrom && after >= suspectFrom:
		kind = "server_suspected"
	case before >= suspectFrom && after < suspectFrom:
		kind = "server_readmitted"
	default:
		return
	}
	source := "peer"
	if own {
		source = "own"
	}
	b.event(fleet.Event{Kind: kind, Service: s.entry.Server.Service, Server: s.entry.Server.ID, Reason: o.Outcome.String(),
		Detail: map[string]string{"belief": formatBelief(after), "before": formatBelief(before), "source": source}})
}

// Tick marks late attempts and makes reports that are due.
func (b *Balancer) Tick(now fleet.Time) {
	for _, a := range b.lateAttempts(now) {
		a.late = true
		if s := b.servers[a.server]; s != nil {
			b.noteLate(now, a, s)
			obs := Observation{Server: a.server, Outcome: OutcomeLate, Pace: float32(now.Sub(a.at).Seconds() / b.route(a.route).time().Seconds())}
			b.observe(now, s, obs, true, true)
			b.tell(now, s, obs)
		}
	}
	for _, s := range b.servers {
		if s.elsewhere != 0 && now.Sub(s.elsewhereAt) > peerSilence {
			s.elsewhere = 0
		}
	}
	for id, p := range b.peers {
		if now.Sub(p.heard) > peerSilence {
			b.dropPeer(id)
		}
	}
}

// noteLate records what is known of the server of a late attempt: one that serves
// others at its usual pace has long work, one that serves nobody is slow or silent.
func (b *Balancer) noteLate(now fleet.Time, a *attempt, s *server) {
	served := "never"
	if s.served != 0 {
		served = strconv.FormatInt(now.Sub(s.served).Milliseconds(), 10)
	}
	b.event(fleet.Event{Kind: "attempt_late", Service: a.service, Server: a.server, Request: a.request, Reason: "no answer yet",
		Detail: map[string]string{
			"after_ms": strconv.FormatInt(now.Sub(a.at).Milliseconds(), 10), "served_ms_ago": served,
			"pace": strconv.FormatFloat(s.paceNow(now), 'f', 2, 64), "belief": formatBelief(s.health.now(now)), "load": strconv.Itoa(s.load()),
		}})
}

// lateAttempts returns attempts that became late, in a fixed order.
func (b *Balancer) lateAttempts(now fleet.Time) []*attempt {
	var out []*attempt
	for _, a := range b.attempts {
		if !a.late && now.Sub(a.at) > max(lateTimes*b.route(a.route).time(), lateLeast) {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(x, y *attempt) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.server, y.server)) })
	return out
}

// StepReport takes another VM's report.
func (b *Balancer) StepReport(now fleet.Time, from fleet.VMID, r Report) {
	b.setLoads(now, from, r)
	for _, o := range r.Observations {
		s := b.servers[o.Server]
		if s == nil || o.AgeMS < 0 {
			continue
		}
		if o.Outcome == OutcomeOK || o.Outcome == OutcomeFailed || o.Outcome == OutcomeTimeout {
			s.used = max(s.used, now.Add(-time.Duration(o.AgeMS)*time.Millisecond))
		}
		b.observe(now, s, o, false, r.Zone == b.cfg.Zone)
	}
}

func (b *Balancer) setLoads(now fleet.Time, from fleet.VMID, r Report) {
	p := b.peers[from]
	if p == nil {
		p = &peer{}
		b.peers[from] = p
	}
	p.heard = now
	loads := make(map[fleet.ServerID]int, len(r.Loads))
	for _, l := range r.Loads {
		if l.InFlight > 0 {
			loads[l.Server] = l.InFlight
		}
	}
	for id, n := range p.loads {
		if s := b.servers[id]; s != nil {
			s.remote -= n
		}
	}
	for id, n := range loads {
		if s := b.servers[id]; s != nil {
			s.remote += n
			if n > p.loads[id] {
				s.used = now
			}
		}
	}
	p.loads = loads
}

func (b *Balancer) dropPeer(id fleet.VMID) {
	p := b.peers[id]
	for sid, n := range p.loads {
		if s := b.servers[sid]; s != nil {
			s.remote -= n
		}
	}
	delete(b.peers, id)
}
