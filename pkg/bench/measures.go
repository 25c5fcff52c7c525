package bench

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// runData holds the observations of a finished run.
type runData struct {
	scenario       *Scenario
	begin          time.Time
	ledger         *joinedLedger
	plan           []request
	directOverhead []time.Duration // latencies of direct calls minus work time and simulated path latency
	faultEvents    []FaultEvent
	events         []fleet.Event
	samples        []sample
	counts         map[fleet.ServerID]standin.Counts
	servers        map[fleet.ServerID]fleet.Server
	monitor        *monitor
	traffic        traffic
	vms            int
	policy         string
}

func (rd *runData) zoneOf(id fleet.ServerID) fleet.Zone { return rd.servers[id].Zone }

// measuredSpan returns the interval that weight_served_ratio covers.
func (rd *runData) measuredSpan() Span {
	if rd.scenario.Peak != nil {
		return *rd.scenario.Peak
	}
	return Span{rd.scenario.Warmup, rd.scenario.Duration}
}

func (rd *runData) measure() *Measures {
	m := &Measures{Services: map[fleet.Service]*ServiceMeasures{}, Outcomes: map[outcome]int{}, Codes: map[string]int{}, FaultEvents: rd.faultEvents}
	m.Invariants, m.Violations = rd.ledger.invariants(rd.scenario.Routes)
	rd.measureServices(m)
	rd.measureFloor(m)
	rd.measureDetection(m)
	rd.measureEjections(m)
	rd.measureWaits(m)
	rd.measureSlots(m)
	rd.measureLatency(m)
	m.ControlBytesPerVMS = &rd.traffic.controlPerVM
	if len(rd.scenario.Topology.Regions) > 1 {
		m.RegionBytes = &rd.traffic.crossRegionDelta
	}
	m.Timeline = rd.timeline()
	rd.measureRecovery(m)
	return m
}

func (rd *runData) measureServices(m *Measures) {
	servedInSpan := 0.0
	window := rd.measuredSpan()
	for i := range rd.ledger.calls {
		c := &rd.ledger.calls[i]
		m.Outcomes[c.outcome]++
		if c.outcome != outcomeAnswered {
			m.Codes[fmt.Sprintf("%s %s %s", c.route, c.outcome, c.code)]++
		}
		route := rd.scenario.Routes[c.route]
		s := m.Services[route.Service]
		if s == nil {
			s = &ServiceMeasures{}
			m.Services[route.Service] = s
		}
		if c.at < time.Duration(rd.scenario.Warmup) {
			continue
		}
		s.add(c.outcome, route.Weight, rd.ledger.servedOnce(c, route))
		if window.contains(c.at) && rd.ledger.servedOnce(c, route) {
			servedInSpan += route.Weight
		}
	}
	if bound := rd.scenario.weightBound(rd.plan, window); bound > 0 {
		m.WeightServedRatio = ptr(servedInSpan / bound)
	}
	whole := Span{rd.scenario.Warmup, rd.scenario.Duration}
	servedInRun := 0.0
	for _, s := range m.Services {
		servedInRun += s.WeightServed
	}
	if bound := rd.scenario.weightBound(rd.plan, whole); bound > 0 {
		m.WeightServedRatioRun = ptr(servedInRun / bound)
	}
}

// measureFloor counts the samples that violate a service's ejection floor.
func (rd *runData) measureFloor(m *Measures) {
	for name, p := range rd.scenario.Services {
		s := m.Services[name]
		if s == nil {
			s = &ServiceMeasures{}
			m.Services[name] = s
		}
		s.Floor, s.LowestHealthy = p.floor(), p.total()
		for _, x := range rd.samples {
			healthy, live := x.healthy[name], x.live[name]
			s.LowestHealthy = min(s.LowestHealthy, healthy)
			if healthy < live && healthy < s.Floor {
				m.FloorViolations++
			}
		}
	}
}

// minDetectionRate is the lowest request rate before the fault, in requests per second, at
// which a gray server is included in the detection measures.
const minDetectionRate = 10

// undetectedMargin is the time before a fault's end in which a regular request shows that
// the server was not detected.
const undetectedMargin = time.Second

// measureDetection measures how the fleet handled gray, leaving and flapping servers.
func (rd *runData) measureDetection(m *Measures) {
	ledgers := map[fleet.ServerID][]execution{}
	for _, list := range rd.ledger.executions {
		for _, r := range list {
			ledgers[r.server] = append(ledgers[r.server], r)
		}
	}
	var times []time.Duration
	byService := map[fleet.Service][]time.Duration{}
	var ejectedShares, readmissionDelays []float64
	for i, f := range rd.scenario.Faults {
		if f.Kind == FaultServerLeave {
			rd.measureLeaving(m, i, f, ledgers)
		}
		if f.Kind != FaultGray || f.Service != "" || !f.Mode.isDetectable() {
			continue
		}
		from, to := rd.actualSpan(i, f)
		for _, id := range f.Servers {
			if rd.rateBefore(ledgers[id], from) < minDetectionRate {
				continue
			}
			if f.Mode.Period > 0 {
				ejectedShares = append(ejectedShares, rd.ejectedShare(id, from.Add(5*time.Second), to))
			} else {
				d := lastRegularStart(ledgers[id], from, to)
				times = append(times, d)
				name := rd.servers[id].Service
				byService[name] = append(byService[name], d)
				if d > to.Sub(from)-undetectedMargin {
					m.Undetected++
				}
			}
			if delay := rd.readmissionDelay(id, to); delay > 0 {
				readmissionDelays = append(readmissionDelays, ms(delay))
			}
		}
	}
	m.DetectionMedianMS, m.DetectionWorstMS = medianWorst(times)
	for name, list := range byService {
		m.Services[name].DetectionMedianMS, m.Services[name].DetectionWorstMS = medianWorst(list)
	}
	if len(ejectedShares) > 0 {
		m.EjectedShare = ptr(slices.Min(ejectedShares))
	}
	if len(readmissionDelays) > 0 {
		m.ReadmissionWorstMS = ptr(slices.Max(readmissionDelays))
	}
}

func medianWorst(times []time.Duration) (median, worst *float64) {
	if len(times) == 0 {
		return nil, nil
	}
	slices.Sort(times)
	return ptr(ms(times[len(times)/2])), ptr(ms(times[len(times)-1]))
}

// measureLeaving measures the time from a server's listing as leaving to the start of its
// last work.
func (rd *runData) measureLeaving(m *Measures, i int, f Fault, ledgers map[fleet.ServerID][]execution) {
	from, _ := rd.actualSpan(i, f)
	for _, id := range f.Servers {
		last := ms(lastRegularStart(ledgers[id], from, from.Add(time.Duration(rd.scenario.Duration))))
		if m.LeavingLastWorkMS == nil || last > *m.LeavingLastWorkMS {
			m.LeavingLastWorkMS = &last
		}
	}
}

// isDetectable reports whether the mode is severe enough that the fleet must detect it.
func (g *GrayMode) isDetectable() bool {
	const minFailShare, minSlowdown = 0.3, 5
	return g.Fault != "" && (g.FailShare == 0 || g.FailShare >= minFailShare) || g.Slowdown >= minSlowdown
}

// actualSpan returns when a fault actually started and ended.
func (rd *runData) actualSpan(i int, f Fault) (from, to time.Time) {
	planned := f.span(time.Duration(rd.scenario.Duration))
	from, to = rd.begin.Add(time.Duration(planned.Start)), rd.begin.Add(time.Duration(planned.End))
	for _, event := range rd.faultEvents {
		if event.Fault == i && event.Started {
			from = event.At
		} else if event.Fault == i {
			to = event.At
		}
	}
	return from, to
}

// rateBefore returns the request rate of a server before a fault, in requests per second.
func (rd *runData) rateBefore(runs []execution, from time.Time) float64 {
	const window = 3 * time.Second
	n := 0
	for _, r := range runs {
		if r.Start.Before(from) && r.Start.After(from.Add(-window)) {
			n++
		}
	}
	return float64(n) / window.Seconds()
}

// lastRegularStart returns the time from the start of a fault to the start of the last
// execution under it that was not a trial, or 0 if there was none.
func lastRegularStart(runs []execution, from, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range runs {
		if !r.trial && r.Start.After(from) && r.Start.Before(to) {
			last = max(last, r.Start.Sub(from))
		}
	}
	return last
}

// ejectedShare returns the share of the samples between from and to in which some VM
// enforced an ejection of the server.
func (rd *runData) ejectedShare(id fleet.ServerID, from, to time.Time) float64 {
	ejected, all := 0, 0
	for _, s := range rd.samples {
		if s.at.After(from) && s.at.Before(to) {
			all++
			if s.ejected[id] {
				ejected++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(ejected) / float64(all)
}

// readmissionDelay returns the time from the fault's end to the last sample in which the
// server was ejected. It returns 0 if the server was not ejected after the fault's end, or
// was still ejected at the end of the run.
func (rd *runData) readmissionDelay(id fleet.ServerID, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, s := range rd.samples {
		if s.at.After(to) && s.ejected[id] {
			last = s.at.Sub(to)
		}
	}
	if n := len(rd.samples); n > 0 && last > 0 && rd.samples[n-1].ejected[id] {
		return 0
	}
	return last
}

const (
	// ejectionMergeWindow is the time within which several VMs' ejections of one server
	// count as one.
	ejectionMergeWindow = 5 * time.Second
	// ejectionGrace is how long after a fault's end an ejection still counts as correct,
	// since evidence may be in transit.
	ejectionGrace = 2 * time.Second
)

// measureEjections counts all ejections and, as false ejections, those of servers without
// a fault of their own.
func (rd *runData) measureEjections(m *Measures) {
	events := slices.Clone(rd.events)
	slices.SortFunc(events, func(a, b fleet.Event) int { return int(a.At - b.At) })
	last := map[fleet.ServerID]time.Time{}
	for _, ev := range events {
		if ev.Kind != pool.EventEjected {
			continue
		}
		at := time.Unix(0, ev.At)
		if prev, ok := last[ev.Server]; ok && at.Sub(prev) < ejectionMergeWindow {
			continue
		}
		last[ev.Server] = at
		m.Ejections++
		if !rd.hasServerFault(ev.Server, at) {
			m.FalseEjections++
			m.FalseEjectionList = append(m.FalseEjectionList, FalseEjection{ev.Server, ms(at.Sub(rd.begin)), ev.Reason, ev.Detail})
		}
	}
}

func (rd *runData) hasServerFault(id fleet.ServerID, at time.Time) bool {
	for i, f := range rd.scenario.Faults {
		if !f.isServerFault() || !contains(f.Servers, id) {
			continue
		}
		if from, to := rd.actualSpan(i, f); !at.Before(from) && at.Before(to.Add(ejectionGrace)) {
			return true
		}
	}
	return false
}

// measureWaits measures the wait of short work and the added latency.
func (rd *runData) measureWaits(m *Measures) {
	short, unkeyed, keyed := newHistogram(), newHistogram(), newHistogram()
	for i := range rd.ledger.calls {
		c := &rd.ledger.calls[i]
		if c.outcome != outcomeAnswered || c.at < time.Duration(rd.scenario.Warmup) {
			continue
		}
		wait, ok := rd.ledger.wait(c, rd.scenario.Topology, rd.zoneOf)
		if !ok {
			continue
		}
		route := rd.scenario.Routes[c.route]
		us := max(1, wait.Microseconds())
		if !route.Long && !c.straggler && !rd.scenario.nearPeak(c.at) {
			_ = short.RecordValue(us)
		}
		if len(rd.ledger.executions[c.id()]) != 1 || rd.scenario.nearPeak(c.at) || rd.servers[c.server].Region != c.region {
			continue
		}
		if route.Keyed {
			_ = keyed.RecordValue(us)
		} else {
			_ = unkeyed.RecordValue(us)
		}
	}
	m.ShortWaitP50MS, m.ShortWaitP99MS, m.ShortWaitP999MS = quantiles(short)
	m.OverheadP50MS, m.OverheadP99MS, _ = quantiles(unkeyed)
	if len(rd.directOverhead) == 0 {
		return
	}
	direct := newHistogram()
	for _, d := range rd.directOverhead {
		_ = direct.RecordValue(max(1, d.Microseconds()))
	}
	m.DirectOverheadP50MS, m.DirectOverheadP99MS, _ = quantiles(direct)
	m.AddedP50MS, m.AddedP99MS = difference(m.OverheadP50MS, m.DirectOverheadP50MS), difference(m.OverheadP99MS, m.DirectOverheadP99MS)
	_, keyedP99, _ := quantiles(keyed)
	m.AddedKeyedP99MS = difference(keyedP99, m.DirectOverheadP99MS)
}

// quantiles returns quantiles in milliseconds of a histogram in microseconds, or nil if it
// is empty.
func quantiles(h *hdrhistogram.Histogram) (p50, p99, p999 *float64) {
	if h.TotalCount() == 0 {
		return nil, nil, nil
	}
	at := func(q float64) *float64 { return ptr(float64(h.ValueAtQuantile(q)) / 1000) }
	return at(50), at(99), at(99.9)
}

func difference(a, b *float64) *float64 {
	if a == nil || b == nil {
		return nil
	}
	return ptr(*a - *b)
}

func ptr[T any](v T) *T { return &v }

// measureSlots measures the use of slots and connections, shedding, retries, requests sent
// to other regions, and queueing.
func (rd *runData) measureSlots(m *Measures) {
	started, shed := 0, 0
	slotExcess, connectionExcess := 0, 0
	for id, c := range rd.counts {
		p := rd.scenario.Services[rd.servers[id].Service]
		started, shed = started+c.Started, shed+c.Shed
		m.Probes += c.Probes
		slotExcess = max(slotExcess, rd.monitor.peakInFlight[id]-p.Slots)
		connectionExcess = max(connectionExcess, c.PeakConnections-p.Connections)
	}
	m.SlotExcess, m.ConnectionExcess = ptr(slotExcess), ptr(connectionExcess)
	if started+shed > 0 {
		m.ShedRatio = ptr(float64(shed) / float64(started+shed))
	}
	if a := rd.monitor.within(rd.outageSpan()); a.firstAttempts > 0 {
		m.RetryRatio = ptr(float64(a.retries) / float64(a.firstAttempts))
	}
	if a := rd.monitor.within(Span{rd.scenario.Warmup, rd.scenario.Duration}); a.firstAttempts > 0 && len(rd.scenario.Topology.Regions) > 1 {
		m.ExtraHopRatio = ptr(float64(a.remote) / float64(a.firstAttempts+a.retries))
	}
	m.QueuedP50MS, m.QueuedP99MS, m.QueuedP999MS = quantiles(rd.monitor.queued)
}

// outageSpan returns the span of the first gray fault of a whole service, or the run after
// the warm-up if there is none.
func (rd *runData) outageSpan() Span {
	for _, f := range rd.scenario.Faults {
		if f.Kind == FaultGray && f.Service != "" {
			return f.span(time.Duration(rd.scenario.Duration))
		}
	}
	return Span{rd.scenario.Warmup, rd.scenario.Duration}
}

func (rd *runData) measureLatency(m *Measures) {
	all, lag := newHistogram(), newHistogram()
	byService := map[fleet.Service]*hdrhistogram.Histogram{}
	callerRTT := 2 * time.Duration(rd.scenario.Topology.ToCallers)
	for i := range rd.ledger.calls {
		c := &rd.ledger.calls[i]
		_ = lag.RecordValue(max(1, c.sent.Sub(rd.begin.Add(c.at)).Microseconds()))
		if c.at >= time.Duration(rd.scenario.Warmup) && c.outcome == outcomeAnswered {
			us := max(1, (c.latency(rd.begin) + callerRTT).Microseconds())
			_ = all.RecordValue(us)
			name := rd.scenario.Routes[c.route].Service
			if byService[name] == nil {
				byService[name] = newHistogram()
			}
			_ = byService[name].RecordValue(us)
		}
	}
	for name, h := range byService {
		m.Services[name].LatencyP50MS, m.Services[name].LatencyP99MS, _ = quantiles(h)
	}
	m.LatencyP50MS, m.LatencyP99MS, m.LatencyP999MS = quantiles(all)
	_, m.GeneratorLagP99MS, _ = quantiles(lag)
}
