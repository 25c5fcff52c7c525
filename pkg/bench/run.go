package bench

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// Options configures Run.
type Options struct {
	Seed     uint64 // 0 selects the scenario's seed, which defaults to 1
	Policies []string
	Repeat   int               // runs of each policy, with consecutive seeds
	Progress func(text string) // optional
}

// Run runs a scenario with each of the policies.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	seed := o.Seed
	for _, fallback := range []uint64{s.Seed, 1} {
		if seed == 0 {
			seed = fallback
		}
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &Report{Scenario: s.Name, About: s.About, Scale: s.Scale, Seed: seed, CPUs: runtime.NumCPU(), Policies: map[string]*Measures{}}
	for _, reg := range s.Topology.Regions {
		r.Size.VMs += reg.VMsPerZone * len(reg.Zones)
	}
	for _, p := range s.Services {
		r.Size.Servers += p.total()
	}
	r.Size.Requests, r.Size.CapacityRPS, r.Size.PeakRPS = len(s.plan(seed)), s.capacity(), s.peakRate()
	for _, policy := range o.Policies {
		for i := range max(1, o.Repeat) {
			o.Progress("run " + policy)
			m, err := runWithComparison(ctx, s, policy, seed+uint64(i), o)
			if err != nil {
				return nil, errors.Annotatef(err, "policy %s", policy)
			}
			if i == 0 {
				r.Policies[policy] = m
				continue
			}
			if r.Repeats == nil {
				r.Repeats = map[string][]*Measures{}
			}
			r.Repeats[policy] = append(r.Repeats[policy], m)
		}
	}
	return r, nil
}

// runWithComparison runs the scenario and, unless s.Comparison is ComparisonNone, the
// comparison run without long work and stragglers.
func runWithComparison(ctx context.Context, s *Scenario, policy string, seed uint64, o Options) (*Measures, error) {
	m, err := runOnce(ctx, s, policy, seed)
	if err != nil || s.Comparison == ComparisonNone {
		return m, err
	}
	o.Progress("run " + policy + " without long work")
	comparison, err := runOnce(ctx, s.withoutLong(), policy, seed)
	if err != nil {
		return nil, err
	}
	m.ShortWaitWithoutLongMS = comparison.ShortWaitP99MS
	if m.ShortWaitP99MS != nil && m.ShortWaitWithoutLongMS != nil && *m.ShortWaitWithoutLongMS > 0 {
		m.ShortWaitP99Ratio = ptr(*m.ShortWaitP99MS / *m.ShortWaitWithoutLongMS)
	}
	return m, nil
}

// settleTime is the delay between the fleet's readiness and the load, in which VMs
// establish their connections to each other.
const settleTime = 500 * time.Millisecond

func runOnce(ctx context.Context, s *Scenario, policy string, seed uint64) (*Measures, error) {
	plan := s.plan(seed)
	tb, err := startTestbed(ctx, s, policy, seed)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	if !sleepUntil(ctx, time.Now().Add(settleTime)) {
		return nil, errors.Trace(ctx.Err())
	}
	data := runLoad(ctx, tb, plan)
	if ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	data.policy = policy
	m := data.measure()
	m.ProcessorCores, m.LoadAverage = ptr(data.traffic.cpuCores), loadAverage()
	return m, nil
}

// runLoad sends the planned requests while faults are injected, and collects the
// observations of callers, VMs and servers.
func runLoad(ctx context.Context, tb *testbed, plan []request) *runData {
	gen := newLoadGenerator(tb, plan)
	injector := &faultInjector{tb: tb, load: gen}
	monitorCtx, stopMonitoring := context.WithCancel(ctx)
	var background sync.WaitGroup
	before, cpuBefore := tb.readTraffic(), cpuTime()
	begin := time.Now()
	tb.monitor.start(begin)
	data := &runData{scenario: tb.scenario, begin: begin, plan: plan, monitor: tb.monitor, vms: len(tb.specs)}
	background.Add(2)
	go func() { defer background.Done(); tb.monitor.run(monitorCtx) }()
	go func() { defer background.Done(); data.directOverhead = tb.callDirect(monitorCtx, begin) }()
	injector.run(ctx, begin)
	gen.run(ctx, begin)
	injector.wg.Wait()
	data.traffic = before.delta(tb.readTraffic(), time.Since(begin), data.vms)
	data.traffic.cpuCores = (cpuTime() - cpuBefore).Seconds() / time.Since(begin).Seconds()
	stopMonitoring()
	background.Wait()
	for _, n := range tb.fleet.Nodes() {
		tb.saveNodeEvents(n)
	}
	tb.collect(data, gen)
	data.faultEvents = injector.events
	return data
}

// collect joins the ledgers and counts of callers, VMs and servers, including those of
// replaced server instances.
func (tb *testbed) collect(data *runData, gen *loadGenerator) {
	ledgers := map[fleet.ServerID][]standin.LedgerEntry{}
	data.counts = map[fleet.ServerID]standin.Counts{}
	for id, b := range tb.fleet.Backends() {
		ledgers[id] = b.Ledger()
		data.counts[id] = b.Counts()
	}
	for _, x := range tb.replaced {
		ledgers[x.id] = append(x.ledger, ledgers[x.id]...)
		c := data.counts[x.id]
		c.Started, c.Shed, c.Probes = c.Started+x.counts.Started, c.Shed+x.counts.Shed, c.Probes+x.counts.Probes
		c.PeakConnections = max(c.PeakConnections, x.counts.PeakConnections)
		data.counts[x.id] = c
	}
	data.events, data.servers, data.samples = tb.events, tb.servers, tb.monitor.samples
	for i := range gen.calls {
		c := &gen.calls[i]
		if c.outcome == outcomeCut && tb.crashedDuring(c) {
			c.outcome = outcomeLost
		}
	}
	data.ledger = newJoinedLedger(gen.calls, ledgers)
	data.ledger.markTrials(tb.monitor.trials)
}

// crashedDuring reports whether the scenario killed the call's VM while the call was in
// flight, or within a second before or after it.
func (tb *testbed) crashedDuring(c *call) bool {
	for _, k := range tb.crashes {
		if k.vm == c.vm && k.at.After(c.sent.Add(-time.Second)) && k.at.Before(c.done.Add(time.Second)) {
			return true
		}
	}
	return false
}

// callDirect calls the server outside the pools at the scenario's DirectRate, with work
// times drawn from the routes' distributions. It returns the latencies minus the work time
// and the simulated path latency.
func (tb *testbed) callDirect(ctx context.Context, begin time.Time) []time.Duration {
	if tb.scenario.DirectRate <= 0 {
		return nil
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idleConnections}}
	rng := rand.New(rand.NewPCG(tb.seed, 4))
	names, _ := tb.scenario.routeTable()
	type directResult struct {
		id       string
		latency  time.Duration
		measured bool
	}
	var mu sync.Mutex
	var results []directResult
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / tb.scenario.DirectRate))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil && time.Since(begin) < time.Duration(tb.scenario.Duration); n++ {
		<-ticker.C
		work, _ := tb.scenario.Routes[names[n%len(names)]].Work.draw(rng)
		r := request{n: n}
		at := time.Since(begin)
		measured := at >= time.Duration(tb.scenario.Warmup) && !tb.scenario.nearPeak(at)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if latency, err := directCall(client, tb.directProxy.Addr(), r.id(), work); err == nil {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, directResult{r.id(), latency, measured})
			}
		}()
	}
	wg.Wait()
	client.CloseIdleConnections()
	workTimes := map[string]time.Duration{}
	for _, entry := range tb.direct.Ledger() {
		workTimes[entry.RequestID] = entry.End.Sub(entry.Start)
	}
	var out []time.Duration
	for _, d := range results {
		if d.measured {
			out = append(out, d.latency-workTimes[d.id]-2*time.Duration(tb.scenario.Topology.BetweenZones))
		}
	}
	return out
}

// directCall sends a request and returns its latency.
func directCall(client *http.Client, addr, id string, work time.Duration) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/direct", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set(standin.HeaderWork, work.String())
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return time.Since(begin), err
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadAverage returns the machine's one-minute load average, or nil if it is unavailable.
func loadAverage() *float64 {
	const fixedPointOne = 1 << 16 // the kernel reports load averages in 16.16 fixed point
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return nil
	}
	return ptr(float64(info.Loads[0]) / fixedPointOne)
}

// traffic is a reading of the fleet's byte counters, or the difference of two readings.
type traffic struct {
	controlBytes     float64 // sent over links between VMs
	crossRegionBytes float64 // sent to other regions over links and in requests
	crossRegionDelta float64 // increase of crossRegionBytes
	controlPerVM     float64 // increase of controlBytes, in bytes per second and VM
	cpuCores         float64 // mean number of cores that the process used
}

// readTraffic sums the byte counters of the running VMs.
func (tb *testbed) readTraffic() traffic {
	var t traffic
	for _, n := range tb.fleet.Nodes() {
		var text strings.Builder
		n.Metrics().WritePrometheus(&text)
		own := string(tb.specs[n.Member().VM].Region)
		for _, line := range strings.Split(text.String(), "\n") {
			name, labels, value := parseMetric(line)
			switch {
			case name == "fulmarbeam_link_bytes_total" && labels["direction"] == "out":
				t.controlBytes += value
				if labels["region"] != own {
					t.crossRegionBytes += value
				}
			case name == "fulmarbeam_region_bytes_total" && labels["region"] != own:
				t.crossRegionBytes += value
			}
		}
	}
	return t
}

// delta returns the traffic from t to a later reading, without cpuCores. The counters of
// VMs that stopped in between are lost, so differences below zero are reported as zero.
func (t traffic) delta(later traffic, elapsed time.Duration, vms int) traffic {
	return traffic{
		crossRegionDelta: max(0, later.crossRegionBytes-t.crossRegionBytes),
		controlPerVM:     max(0, later.controlBytes-t.controlBytes) / elapsed.Seconds() / float64(vms),
	}
}
