package balance

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Intervals of reports.
const (
	zoneReport   = 15 * time.Millisecond // after a change, to the zone
	zoneIdle     = 400 * time.Millisecond
	regionReport = 80 * time.Millisecond // after a change, to the region's other zones
	regionIdle   = time.Second
	urgentReport = 2 * time.Millisecond // after a failure
)

// maxObservations bounds one report, so that it fits into a datagram.
const maxObservations = 24

// outlet gathers what the VMs of one scope are told next.
type outlet struct {
	every, idle  time.Duration
	due          fleet.Time // 0: nothing new
	sent         fleet.Time
	observations []observed
}

type observed struct {
	at fleet.Time
	o  Observation
}

// touch makes a report due soon.
func (o *outlet) touch(now fleet.Time) {
	if at := max(now, o.sent).Add(o.every); o.due == 0 || at < o.due {
		o.due = at
	}
}

func (o *outlet) add(now fleet.Time, obs Observation, urgent bool) {
	if len(o.observations) >= maxObservations {
		o.observations = o.observations[1:]
	}
	o.observations = append(o.observations, observed{now, obs})
	o.touch(now)
	if urgent {
		o.due = min(o.due, now.Add(urgentReport))
	}
}

// tell passes an own observation on. Other zones get each outcome of their own
// servers and the failures of this zone's; for the rest digests are enough.
func (b *Balancer) tell(now fleet.Time, s *server, o Observation) {
	urgent := o.Outcome != OutcomeOK
	b.zone.add(now, o, urgent)
	if s.distance == inRegion || urgent && s.distance == inZone && o.Outcome != OutcomeUnreachable {
		b.region.add(now, o, urgent)
	}
}

// Reports returns the reports that are due, by scope. A nil report is not due.
func (b *Balancer) Reports(now fleet.Time) (zone, region *Report) {
	return b.report(now, &b.zone, ScopeZone), b.report(now, &b.region, ScopeRegion)
}

func (b *Balancer) report(now fleet.Time, o *outlet, scope Scope) *Report {
	if (o.due == 0 || now < o.due) && now.Sub(o.sent) < o.idle {
		return nil
	}
	r := &Report{Zone: b.cfg.Zone}
	for _, obs := range o.observations {
		obs.o.AgeMS = now.Sub(obs.at).Milliseconds()
		r.Observations = append(r.Observations, obs.o)
	}
	o.observations, o.due, o.sent = o.observations[:0], 0, now
	r.Loads = b.loads(scope)
	return r
}

// loads returns this VM's load: for the zone all of it, for other zones that at
// servers outside this one.
func (b *Balancer) loads(scope Scope) []Load {
	var out []Load
	for id, s := range b.servers {
		if s.local > 0 && (scope == ScopeZone || s.distance == inRegion) {
			out = append(out, Load{Server: id, InFlight: s.local})
		}
	}
	slices.SortFunc(out, func(x, y Load) int { return cmp.Compare(x.Server, y.Server) })
	return out
}

// Events returns what changed since the last call.
func (b *Balancer) Events() []fleet.Event {
	out := b.events
	b.events = nil
	return out
}

func (b *Balancer) event(e fleet.Event) { b.events = append(b.events, e) }

func formatBelief(p float64) string { return strconv.FormatFloat(p, 'f', 3, 64) }
