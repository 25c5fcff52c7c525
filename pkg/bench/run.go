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

// Options of a run.
type Options struct {
	Seed     uint64 // 0 takes the scenario's, which defaults to 1
	Policies []string
	Repeat   int               // runs of each policy, on seeds that follow one another
	Progress func(text string) // nil for none
}

// Run runs a scenario with each policy.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	seed := o.Seed
	for _, d := range []uint64{s.Seed, 1} {
		if seed == 0 {
			seed = d
		}
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	r := &Report{Scenario: s.Name, About: s.About, Share: s.Share, Seed: seed, CPUs: runtime.NumCPU(), Policies: map[string]*Measures{}}
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
			m, err := runBoth(ctx, s, policy, seed+uint64(i), o)
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

// runBoth runs the scenario, and beside it without long work when it asks for that.
func runBoth(ctx context.Context, s *Scenario, policy string, seed uint64, o Options) (*Measures, error) {
	m, err := runOnce(ctx, s, policy, seed)
	if err != nil || s.Beside == BesideNone {
		return m, err
	}
	o.Progress("run " + policy + " without long work")
	beside, err := runOnce(ctx, s.withoutLong(), policy, seed)
	if err != nil {
		return nil, err
	}
	m.ShortWaitBesideMS = beside.ShortWaitP99MS
	if m.ShortWaitP99MS != nil && m.ShortWaitBesideMS != nil && *m.ShortWaitBesideMS > 0 {
		m.ShortWaitP99Ratio = ptr(*m.ShortWaitP99MS / *m.ShortWaitBesideMS)
	}
	return m, nil
}

// settleTime passes between the fleet's readiness and the load, so that first
// connections between VMs are up.
const settleTime = 500 * time.Millisecond

func runOnce(ctx context.Context, s *Scenario, policy string, seed uint64) (*Measures, error) {
	plan := s.plan(seed)
	w, err := start(ctx, s, policy, seed)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if !until(ctx, time.Now().Add(settleTime)) {
		return nil, errors.Trace(ctx.Err())
	}
	e := play(ctx, w, plan)
	if ctx.Err() != nil {
		return nil, errors.Trace(ctx.Err())
	}
	e.policy = policy
	m := e.measure()
	m.ProcessorShare, m.LoadAverage = ptr(e.traffic.cores), loadAverage()
	return m, nil
}

// play sends the load under the faults and collects what all sides saw.
func play(ctx context.Context, w *world, plan []request) *evidence {
	load := newLoad(w, plan)
	director := &director{w: w, load: load}
	watching, stopWatching := context.WithCancel(ctx)
	var side sync.WaitGroup
	before, processor := w.readTraffic(), processorTime()
	begin := time.Now()
	w.watch.start(begin)
	e := &evidence{s: w.s, begin: begin, plan: plan, watch: w.watch, vms: len(w.specs)}
	side.Add(2)
	go func() { defer side.Done(); w.watch.run(watching) }()
	go func() { defer side.Done(); e.direct = w.callDirect(watching, begin) }()
	director.run(ctx, begin)
	load.run(ctx, begin)
	director.wg.Wait()
	e.traffic = before.until(w.readTraffic(), time.Since(begin), e.vms)
	e.traffic.cores = (processorTime() - processor).Seconds() / time.Since(begin).Seconds()
	stopWatching()
	side.Wait()
	for _, n := range w.fleet.Nodes() {
		w.keepEventsOf(n)
	}
	w.collect(e, load)
	e.marks = director.marks
	return e
}

// collect takes the ledgers. Servers get a moment to note the ends of cancelled work.
func (w *world) collect(e *evidence, l *load) {
	ledgers := map[fleet.ServerID][]standin.Entry{}
	e.counts = map[fleet.ServerID]standin.Counts{}
	for id, b := range w.fleet.Backends() {
		ledgers[id] = b.Ledger()
		e.counts[id] = b.Counts()
	}
	for _, x := range w.ended {
		ledgers[x.id] = append(x.ledger, ledgers[x.id]...)
		c := e.counts[x.id]
		c.Started, c.Shed, c.Probes = c.Started+x.counts.Started, c.Shed+x.counts.Shed, c.Probes+x.counts.Probes
		c.PeakConns = max(c.PeakConns, x.counts.PeakConns)
		e.counts[x.id] = c
	}
	e.events, e.servers, e.samples = w.events, w.servers, w.watch.samples
	for i := range l.calls {
		c := &l.calls[i]
		if c.outcome == outCut && w.diedDuring(c) {
			c.outcome = outLost
		}
	}
	e.books = newBooks(l.calls, ledgers)
	e.books.markTrials(w.watch.trials)
}

// diedDuring reports whether the scenario killed the call's VM while it was under way.
func (w *world) diedDuring(c *call) bool {
	for _, k := range w.killed {
		if k.vm == c.vm && k.at.After(c.sent.Add(-time.Second)) && k.at.Before(c.done.Add(time.Second)) {
			return true
		}
	}
	return false
}

// callDirect calls the server outside the pools at the scenario's rate, with work
// times as the routes have them, and returns the time beyond work and path.
func (w *world) callDirect(ctx context.Context, begin time.Time) []time.Duration {
	if w.s.Direct <= 0 {
		return nil
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idleConnections}}
	rng := rand.New(rand.NewPCG(w.seed, 4))
	names, _ := w.s.routeTable()
	type done struct {
		id   string
		took time.Duration
		warm bool
	}
	var mu sync.Mutex
	var all []done
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / w.s.Direct))
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil && time.Since(begin) < time.Duration(w.s.Duration); n++ {
		<-ticker.C
		d, _ := w.s.Routes[names[n%len(names)]].Work.draw(rng)
		r := request{n: n}
		at := time.Since(begin)
		warm := at >= time.Duration(w.s.Warmup) && !w.s.crowded(at)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if took, err := directCall(client, w.directVia.Addr(), r.id(), d); err == nil {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, done{r.id(), took, warm})
			}
		}()
	}
	wg.Wait()
	client.CloseIdleConnections()
	work := map[string]time.Duration{}
	for _, entry := range w.direct.Ledger() {
		work[entry.RequestID] = entry.End.Sub(entry.Start)
	}
	var out []time.Duration
	for _, d := range all {
		if d.warm {
			out = append(out, d.took-work[d.id]-2*time.Duration(w.s.Topology.BetweenZones))
		}
	}
	return out
}

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

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// loadAverage returns the machine's load average over a minute, or nil.
func loadAverage() *float64 {
	const one = 1 << 16 // the kernel's fixed point
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return nil
	}
	return ptr(float64(info.Loads[0]) / one)
}

// traffic is what links and paths carried.
type traffic struct {
	control      float64 // bytes sent over all links
	regions      float64 // bytes of links and requests to other regions
	regionBytes  float64
	controlPerVM float64
	cores        float64
}

// readTraffic sums up the metrics of the running VMs.
func (w *world) readTraffic() traffic {
	var t traffic
	for _, n := range w.fleet.Nodes() {
		var text strings.Builder
		n.Metrics().WritePrometheus(&text)
		own := string(w.specs[n.Member().VM].Region)
		for _, line := range strings.Split(text.String(), "\n") {
			name, labels, value := parseMetric(line)
			switch {
			case name == "fulmarbeam_link_bytes_total" && labels["direction"] == "out":
				t.control += value
				if labels["region"] != own {
					t.regions += value
				}
			case name == "fulmarbeam_region_bytes_total" && labels["region"] != own:
				t.regions += value
			}
		}
	}
	return t
}

// until returns the difference. VMs that ended take their counts with them.
func (t traffic) until(later traffic, took time.Duration, vms int) traffic {
	return traffic{
		regionBytes:  max(0, later.regions-t.regions),
		controlPerVM: max(0, later.control-t.control) / took.Seconds() / float64(vms),
	}
}
