package bench

import (
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// bucketLength is the time resolution of the fluid model.
const bucketLength = time.Second

// weightBound returns an upper bound on the weight that any scheduler could serve from
// the requests that arrive within span. The package comment describes the model.
func (s *Scenario) weightBound(plan []request, span Span) float64 {
	served := 0.0
	for name := range s.Services {
		served += s.serviceBound(name, plan, span)
	}
	return served
}

func (s *Scenario) serviceBound(name fleet.Service, plan []request, span Span) float64 {
	freeSlotSeconds := s.capacityBuckets(name)
	var list []request
	for _, r := range plan {
		route := s.Routes[r.route]
		if route.Service == name && !r.fails && r.work <= time.Duration(route.Deadline) {
			list = append(list, r)
		}
	}
	density := func(r request) float64 { return s.Routes[r.route].Weight / r.work.Seconds() }
	slices.SortStableFunc(list, func(a, b request) int {
		switch x, y := density(a), density(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	served := 0.0
	for _, r := range list {
		route := s.Routes[r.route]
		need := r.work.Seconds()
		first := int(r.at / bucketLength)
		last := int((r.at + time.Duration(route.Deadline)) / bucketLength)
		for b := first; b <= last && b < len(freeSlotSeconds) && need > 0; b++ {
			take := min(need, freeSlotSeconds[b])
			freeSlotSeconds[b] -= take
			need -= take
		}
		if span.contains(r.at) {
			served += route.Weight * (1 - need/r.work.Seconds())
		}
	}
	return served
}

// capacityBuckets returns a service's usable slot seconds in each bucket under the
// scenario's faults. The buckets extend past the end of the run by the longest deadline,
// since work that arrives late in the run may finish after it.
func (s *Scenario) capacityBuckets(name fleet.Service) []float64 {
	const stepsPerBucket = 10
	longest := Duration(0)
	for _, r := range s.Routes {
		longest = max(longest, r.Deadline)
	}
	buckets := int((time.Duration(s.Duration)+time.Duration(longest))/bucketLength) + 2
	out := make([]float64, buckets)
	p := s.Services[name]
	for b := range out {
		for k := range stepsPerBucket {
			t := time.Duration(b)*bucketLength + time.Duration(k)*bucketLength/stepsPerBucket
			for z, n := range p.Servers {
				for i := 1; i <= n; i++ {
					out[b] += s.capacityAt(name, serverID(name, z, i), t) * float64(p.Slots) * bucketLength.Seconds() / stepsPerBucket
				}
			}
			out[b] += s.startedCapacityAt(name, t) * float64(p.Slots) * bucketLength.Seconds() / stepsPerBucket
		}
	}
	return out
}

// capacityAt returns the share of a server's slots that do useful work at t.
func (s *Scenario) capacityAt(name fleet.Service, id fleet.ServerID, t time.Duration) float64 {
	share := 1.0
	for _, f := range s.Faults {
		span := f.span(time.Duration(s.Duration))
		if !contains(f.Servers, id) && (f.Service != name || f.Kind == FaultServerStart) || t < time.Duration(span.Start) {
			continue
		}
		switch f.Kind {
		case FaultServerLeave:
			return 0
		case FaultColdRestart:
			age := t - time.Duration(span.Start) - restartDelay
			if age < 0 {
				return 0
			}
			share *= s.Services[name].ColdStart.workRate(age)
		case FaultGray:
			if f.End == 0 || t < time.Duration(f.End) {
				share *= f.Mode.workRate(t - time.Duration(span.Start))
			}
		}
	}
	return share
}

// startedCapacityAt returns the capacity at t of the servers that the scenario starts, in
// units of warm servers.
func (s *Scenario) startedCapacityAt(name fleet.Service, t time.Duration) float64 {
	out := 0.0
	for _, f := range s.Faults {
		if f.Kind == FaultServerStart && f.Service == name && t >= time.Duration(f.Start) {
			out += float64(f.Count) * s.Services[name].ColdStart.workRate(t-time.Duration(f.Start))
		}
	}
	return out
}

// workRate returns the work rate of a server at this age, relative to a warm one.
func (c *ColdStart) workRate(age time.Duration) float64 {
	if c == nil || age >= time.Duration(c.Duration) {
		return 1
	}
	return 1 / (1 + (c.Factor-1)*(1-float64(age)/float64(c.Duration)))
}

// workRate returns the rate of successful work of a gray server, relative to a healthy
// one, at the time sinceStart after the start of the fault.
func (g *GrayMode) workRate(sinceStart time.Duration) float64 {
	if g == nil || g.Period > 0 && sinceStart%time.Duration(g.Period) >= time.Duration(g.Period)/2 {
		return 1
	}
	out := 1.0
	if g.Fault != "" {
		out = 0
		if g.FailShare > 0 {
			out = 1 - g.FailShare
		}
	}
	if g.Slowdown > 0 {
		out /= g.Slowdown
	}
	return out
}
