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

// evidence is what a finished run left behind.
type evidence struct {
	s       *Scenario
	begin   time.Time
	books   *books
	plan    []request
	direct  []time.Duration // overhead of direct calls beyond work and path
	marks   []Mark
	events  []fleet.Event
	samples []sample
	counts  map[fleet.ServerID]standin.Counts
	servers map[fleet.ServerID]fleet.Server
	watch   *watch
	traffic traffic
	vms     int
	policy  string
}

func (e *evidence) zone(id fleet.ServerID) fleet.Zone { return e.servers[id].Zone }

// window is the time over which service is measured.
func (e *evidence) window() Span {
	if e.s.Peak != nil {
		return *e.s.Peak
	}
	return Span{e.s.Warmup, e.s.Duration}
}

func (e *evidence) measure() *Measures {
	m := &Measures{Services: map[fleet.Service]*ServiceMeasures{}, Outcomes: map[outcome]int{}, Codes: map[string]int{}, Marks: e.marks}
	m.Invariants, m.Findings = e.books.invariants(e.s.Routes)
	e.serviceMeasures(m)
	e.floor(m)
	e.detection(m)
	e.ejections(m)
	e.waits(m)
	e.slots(m)
	e.latency(m)
	m.ControlBytesPerVMS = &e.traffic.controlPerVM
	if len(e.s.Topology.Regions) > 1 {
		m.RegionBytes = &e.traffic.regionBytes
	}
	m.Timeline = e.timeline()
	e.recovery(m)
	return m
}

func (e *evidence) serviceMeasures(m *Measures) {
	answered := 0.0
	window := e.window()
	for i := range e.books.calls {
		c := &e.books.calls[i]
		m.Outcomes[c.outcome]++
		if c.outcome != outAnswered {
			m.Codes[fmt.Sprintf("%s %s %s", c.route, c.outcome, c.code)]++
		}
		route := e.s.Routes[c.route]
		s := m.Services[route.Service]
		if s == nil {
			s = &ServiceMeasures{}
			m.Services[route.Service] = s
		}
		if c.at < time.Duration(e.s.Warmup) {
			continue
		}
		s.add(c.outcome, route.Weight, e.books.servedOnce(c, route))
		if window.holds(c.at) && e.books.servedOnce(c, route) {
			answered += route.Weight
		}
	}
	if most := e.s.bound(e.plan, window); most > 0 {
		m.WeightServedRatio = ptr(answered / most)
	}
	whole := Span{e.s.Warmup, e.s.Duration}
	all := 0.0
	for _, s := range m.Services {
		all += s.WeightServed
	}
	if most := e.s.bound(e.plan, whole); most > 0 {
		m.WeightServedRatioRun = ptr(all / most)
	}
}

// floor compares the samples with the floors.
func (e *evidence) floor(m *Measures) {
	for name, p := range e.s.Services {
		s := m.Services[name]
		if s == nil {
			s = &ServiceMeasures{}
			m.Services[name] = s
		}
		s.Floor, s.LowestHealthy = p.floor(), p.total()
		for _, x := range e.samples {
			healthy, live := x.healthy[name], x.live[name]
			s.LowestHealthy = min(s.LowestHealthy, healthy)
			if healthy < live && healthy < s.Floor {
				m.FloorViolations++
			}
		}
	}
}

// leastRate is the rate above which a gray server counts for detection, in requests
// per second that it got before the fault.
const leastRate = 10

// stillServing is the time before a fault's end in which an ordinary run shows that
// the server was never kept out.
const stillServing = time.Second

// detection measures the faults of single servers.
func (e *evidence) detection(m *Measures) {
	ledgers := map[fleet.ServerID][]run{}
	for _, list := range e.books.runs {
		for _, r := range list {
			ledgers[r.server] = append(ledgers[r.server], r)
		}
	}
	var times []time.Duration
	byService := map[fleet.Service][]time.Duration{}
	var held, returned []float64
	for i, f := range e.s.Faults {
		if f.Kind == FaultLeave {
			e.leaving(m, i, f, ledgers)
		}
		if f.Kind != FaultGray || f.Service != "" || !f.Mode.sick() {
			continue
		}
		from, to := e.span(i, f)
		for _, id := range f.Servers {
			if e.rateBefore(ledgers[id], from) < leastRate {
				continue
			}
			if f.Mode.Period > 0 {
				held = append(held, e.heldOut(id, from.Add(5*time.Second), to))
			} else {
				d := lastOrdinary(ledgers[id], from, to)
				times = append(times, d)
				name := e.servers[id].Service
				byService[name] = append(byService[name], d)
				if d > to.Sub(from)-stillServing {
					m.Undetected++
				}
			}
			if back := e.back(id, to); back > 0 {
				returned = append(returned, ms(back))
			}
		}
	}
	m.DetectionMedianMS, m.DetectionWorstMS = medianWorst(times)
	for name, list := range byService {
		m.Services[name].DetectionMedianMS, m.Services[name].DetectionWorstMS = medianWorst(list)
	}
	if len(held) > 0 {
		m.HeldOutShare = ptr(slices.Min(held))
	}
	if len(returned) > 0 {
		m.ReadmittedWorstMS = ptr(slices.Max(returned))
	}
}

func medianWorst(times []time.Duration) (median, worst *float64) {
	if len(times) == 0 {
		return nil, nil
	}
	slices.Sort(times)
	return ptr(ms(times[len(times)/2])), ptr(ms(times[len(times)-1]))
}

// leaving measures when a server that was listed as leaving got its last work.
func (e *evidence) leaving(m *Measures, i int, f Fault, ledgers map[fleet.ServerID][]run) {
	from, _ := e.span(i, f)
	for _, id := range f.Servers {
		last := ms(lastOrdinary(ledgers[id], from, from.Add(time.Duration(e.s.Duration))))
		if m.LeavingLastMS == nil || last > *m.LeavingLastMS {
			m.LeavingLastMS = &last
		}
	}
}

// sick reports whether the mode is one that detection promises to find.
func (g *GrayMode) sick() bool {
	const failing, slower = 0.3, 5
	return g.Fault != "" && (g.FailShare == 0 || g.FailShare >= failing) || g.Slower >= slower
}

// span returns when a fault was in force, as it happened.
func (e *evidence) span(i int, f Fault) (from, to time.Time) {
	planned := f.span(time.Duration(e.s.Duration))
	from, to = e.begin.Add(time.Duration(planned.Start)), e.begin.Add(time.Duration(planned.End))
	for _, mark := range e.marks {
		if mark.Fault == i && mark.On {
			from = mark.At
		} else if mark.Fault == i {
			to = mark.At
		}
	}
	return from, to
}

func (e *evidence) rateBefore(runs []run, from time.Time) float64 {
	const look = 3 * time.Second
	n := 0
	for _, r := range runs {
		if r.Start.Before(from) && r.Start.After(from.Add(-look)) {
			n++
		}
	}
	return float64(n) / look.Seconds()
}

func lastOrdinary(runs []run, from, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, r := range runs {
		if !r.trial && r.Start.After(from) && r.Start.Before(to) {
			last = max(last, r.Start.Sub(from))
		}
	}
	return last
}

func (e *evidence) heldOut(id fleet.ServerID, from, to time.Time) float64 {
	out, all := 0, 0
	for _, s := range e.samples {
		if s.at.After(from) && s.at.Before(to) {
			all++
			if s.ejected[id] {
				out++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(out) / float64(all)
}

// back returns how long after the fault's end the server was last seen ejected, or 0
// when the run ended before it came back or it was not ejected then.
func (e *evidence) back(id fleet.ServerID, to time.Time) time.Duration {
	last := time.Duration(0)
	for _, s := range e.samples {
		if s.at.After(to) && s.ejected[id] {
			last = s.at.Sub(to)
		}
	}
	if n := len(e.samples); n > 0 && last > 0 && e.samples[n-1].ejected[id] {
		return 0
	}
	return last
}

const (
	// sameEpisode joins ejections of one server by several VMs.
	sameEpisode = 5 * time.Second
	// afterFault is how long after its fault's end an ejection is still right, for
	// the evidence on its way.
	afterFault = 2 * time.Second
)

// ejections counts those of servers without a fault of their own.
func (e *evidence) ejections(m *Measures) {
	events := slices.Clone(e.events)
	slices.SortFunc(events, func(a, b fleet.Event) int { return int(a.At - b.At) })
	last := map[fleet.ServerID]time.Time{}
	for _, ev := range events {
		if ev.Kind != pool.EventEjected {
			continue
		}
		at := time.Unix(0, ev.At)
		if prev, ok := last[ev.Server]; ok && at.Sub(prev) < sameEpisode {
			continue
		}
		last[ev.Server] = at
		m.Ejections++
		if !e.faulty(ev.Server, at) {
			m.FalseEjections++
			m.FalselyEjected = append(m.FalselyEjected, Ejection{ev.Server, ms(at.Sub(e.begin)), ev.Reason, ev.Detail})
		}
	}
}

func (e *evidence) faulty(id fleet.ServerID, at time.Time) bool {
	for i, f := range e.s.Faults {
		if !f.ownFault() || !contains(f.Servers, id) {
			continue
		}
		if from, to := e.span(i, f); !at.Before(from) && at.Before(to.Add(afterFault)) {
			return true
		}
	}
	return false
}

// waits measures short work's waiting and the added latency.
func (e *evidence) waits(m *Measures) {
	short, plain, keyed := newHistogram(), newHistogram(), newHistogram()
	for i := range e.books.calls {
		c := &e.books.calls[i]
		if c.outcome != outAnswered || c.at < time.Duration(e.s.Warmup) {
			continue
		}
		wait, ok := e.books.wait(c, e.s.Topology, e.zone)
		if !ok {
			continue
		}
		route := e.s.Routes[c.route]
		us := max(1, wait.Microseconds())
		if !route.Long && !c.straggler && !e.s.crowded(c.at) {
			_ = short.RecordValue(us)
		}
		if len(e.books.runs[c.id()]) != 1 || e.s.crowded(c.at) || e.servers[c.server].Region != c.region {
			continue
		}
		if route.Keyed {
			_ = keyed.RecordValue(us)
		} else {
			_ = plain.RecordValue(us)
		}
	}
	m.ShortWaitP50MS, m.ShortWaitP99MS, m.ShortWaitP999MS = quantiles(short)
	m.WaitP50MS, m.WaitP99MS, _ = quantiles(plain)
	if len(e.direct) == 0 {
		return
	}
	direct := newHistogram()
	for _, d := range e.direct {
		_ = direct.RecordValue(max(1, d.Microseconds()))
	}
	m.DirectP50MS, m.DirectP99MS, _ = quantiles(direct)
	m.AddedP50MS, m.AddedP99MS = minus(m.WaitP50MS, m.DirectP50MS), minus(m.WaitP99MS, m.DirectP99MS)
	_, k99, _ := quantiles(keyed)
	m.AddedKeyedP99MS = minus(k99, m.DirectP99MS)
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99, p999 *float64) {
	if h.TotalCount() == 0 {
		return nil, nil, nil
	}
	at := func(q float64) *float64 { return ptr(float64(h.ValueAtQuantile(q)) / 1000) }
	return at(50), at(99), at(99.9)
}

func minus(a, b *float64) *float64 {
	if a == nil || b == nil {
		return nil
	}
	return ptr(*a - *b)
}

func ptr[T any](v T) *T { return &v }

// slots measures the use of slots and connections.
func (e *evidence) slots(m *Measures) {
	started, shed := 0, 0
	slot, conn := 0, 0
	for id, c := range e.counts {
		p := e.s.Services[e.servers[id].Service]
		started, shed = started+c.Started, shed+c.Shed
		m.Probes += c.Probes
		slot = max(slot, e.watch.peak[id]-p.Slots)
		conn = max(conn, c.PeakConns-p.Connections)
	}
	m.SlotExcess, m.ConnectionExcess = ptr(slot), ptr(conn)
	if started+shed > 0 {
		m.ShedRatio = ptr(float64(shed) / float64(started+shed))
	}
	if a := e.watch.within(e.outage()); a.first > 0 {
		m.RetryRatio = ptr(float64(a.repeats) / float64(a.first))
	}
	if a := e.watch.within(Span{e.s.Warmup, e.s.Duration}); a.first > 0 && len(e.s.Topology.Regions) > 1 {
		m.ExtraHopRatio = ptr(float64(a.remote) / float64(a.first+a.repeats))
	}
	m.QueuedP50MS, m.QueuedP99MS, m.QueuedP999MS = quantiles(e.watch.queued)
}

// outage returns the time of the first fault of a whole service, or the run after the
// warm-up.
func (e *evidence) outage() Span {
	for _, f := range e.s.Faults {
		if f.Kind == FaultGray && f.Service != "" {
			return f.span(time.Duration(e.s.Duration))
		}
	}
	return Span{e.s.Warmup, e.s.Duration}
}

func (e *evidence) latency(m *Measures) {
	all, lag := newHistogram(), newHistogram()
	byService := map[fleet.Service]*hdrhistogram.Histogram{}
	trip := 2 * time.Duration(e.s.Topology.ToClients)
	for i := range e.books.calls {
		c := &e.books.calls[i]
		_ = lag.RecordValue(max(1, c.sent.Sub(e.begin.Add(c.at)).Microseconds()))
		if c.at >= time.Duration(e.s.Warmup) && c.outcome == outAnswered {
			us := max(1, (c.latency(e.begin) + trip).Microseconds())
			_ = all.RecordValue(us)
			name := e.s.Routes[c.route].Service
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
