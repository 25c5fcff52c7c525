package balance

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Delays of reports after a change, and their maximum intervals without one.
const (
	zoneReportDelay         = 15 * time.Millisecond // to the VMs of the zone
	zoneReportMaxInterval   = 400 * time.Millisecond
	regionReportDelay       = 80 * time.Millisecond // to the region's other zones
	regionReportMaxInterval = time.Second
	urgentReportDelay       = 2 * time.Millisecond // after a failure
)

// maxObservations bounds one report, so that it fits into a datagram.
const maxObservations = 24

// reportQueue collects the observations for the next report to the VMs of one scope.
type reportQueue struct {
	delay, maxInterval time.Duration
	due                fleet.Time // 0: no change to report
	sent               fleet.Time
	observations       []queuedObservation
}

type queuedObservation struct {
	at          fleet.Time
	observation Observation
}

// schedule makes a report due after the queue's delay.
func (q *reportQueue) schedule(now fleet.Time) {
	if at := max(now, q.sent).Add(q.delay); q.due == 0 || at < q.due {
		q.due = at
	}
}

func (q *reportQueue) add(now fleet.Time, obs Observation, urgent bool) {
	if len(q.observations) >= maxObservations {
		q.observations = q.observations[1:]
	}
	q.observations = append(q.observations, queuedObservation{now, obs})
	q.schedule(now)
	if urgent {
		q.due = min(q.due, now.Add(urgentReportDelay))
	}
}

// enqueue queues an observation of this VM for the next reports. The region's other zones
// get all outcomes of their own servers and the failures of this zone's servers; digests
// cover the rest.
func (b *Balancer) enqueue(now fleet.Time, s *server, o Observation) {
	urgent := o.Outcome != OutcomeOK
	b.zone.add(now, o, urgent)
	if s.distance == inRegion || urgent && s.distance == inZone && o.Outcome != OutcomeUnreachable {
		b.region.add(now, o, urgent)
	}
}

// Reports returns the reports that are due, by scope; nil for none.
func (b *Balancer) Reports(now fleet.Time) (zone, region *Report) {
	return b.report(now, &b.zone, ScopeZone), b.report(now, &b.region, ScopeRegion)
}

func (b *Balancer) report(now fleet.Time, q *reportQueue, scope Scope) *Report {
	if (q.due == 0 || now < q.due) && now.Sub(q.sent) < q.maxInterval {
		return nil
	}
	r := &Report{Zone: b.cfg.Zone}
	for _, queued := range q.observations {
		queued.observation.AgeMS = now.Sub(queued.at).Milliseconds()
		r.Observations = append(r.Observations, queued.observation)
	}
	q.observations, q.due, q.sent = q.observations[:0], 0, now
	r.Loads, r.Notices = b.loads(scope), b.reportedNotices(now)
	return r
}

// Urgent reports whether the report contains evidence against a server.
func (r Report) Urgent() bool {
	return slices.ContainsFunc(r.Observations, func(o Observation) bool { return o.Outcome != OutcomeOK })
}

// NextReport returns when the next report to either scope is due at the earliest.
func (b *Balancer) NextReport() fleet.Time { return min(b.zone.next(), b.region.next()) }

func (q *reportQueue) next() fleet.Time {
	at := q.sent.Add(q.maxInterval)
	if q.due != 0 {
		at = min(at, q.due)
	}
	return at
}

// loads returns this VM's requests in flight by server: all of them for its own zone, those
// at servers outside the zone for other zones.
func (b *Balancer) loads(scope Scope) []Load {
	var out []Load
	for _, a := range b.attempts {
		s := b.servers[a.server]
		if s != nil && s.local > 0 && (scope == ScopeZone || s.distance == inRegion) {
			out = append(out, Load{Server: a.server, InFlight: s.local})
		}
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return slices.CompactFunc(out, func(x, y Load) bool { return x.Server == y.Server })
}

// Events returns and clears the events since the last call.
func (b *Balancer) Events() []fleet.Event {
	out := b.events
	b.events = nil
	return out
}

func (b *Balancer) event(e fleet.Event) { b.events = append(b.events, e) }

func formatRisk(p float64) string { return strconv.FormatFloat(p, 'f', 3, 64) }
