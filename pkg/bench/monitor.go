package bench

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
)

// sampleInterval is the interval between samples of all VMs' ejections.
const sampleInterval = 20 * time.Millisecond

// monitor collects the fleet's own view of a run: dispatch decisions, slot use and
// ejections.
type monitor struct {
	tb *testbed

	mu           sync.Mutex
	observers    map[fleet.VMID]*observer
	inFlight     map[fleet.ServerID]int // requests of all VMs
	peakInFlight map[fleet.ServerID]int
	begin        time.Time  // start of the load
	steps        []attempts // one for each timelineStep since begin
	trials       []trial
	queued       *hdrhistogram.Histogram // queueing time in microseconds, without work declared long
	samples      []sample
}

// attempts counts decisions that assigned a request to a server.
type attempts struct {
	firstAttempts int
	retries       int // attempts that count against the retry budget
	remote        int // to servers of another region
}

// start begins counting attempts.
func (m *monitor) start(begin time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin = begin
}

// step returns the counts of the timeline step that contains now. The caller must hold m.mu.
func (m *monitor) step(now time.Time) *attempts {
	k := max(0, int(now.Sub(m.begin)/timelineStep))
	for len(m.steps) <= k {
		m.steps = append(m.steps, attempts{})
	}
	return &m.steps[k]
}

// within sums the attempts of the steps that begin in s.
func (m *monitor) within(s Span) attempts {
	var out attempts
	for k, a := range m.steps {
		if s.contains(time.Duration(k) * timelineStep) {
			out.firstAttempts, out.retries, out.remote = out.firstAttempts+a.firstAttempts, out.retries+a.retries, out.remote+a.remote
		}
	}
	return out
}

// trial is a decision to send a trial request to an ejected server.
type trial struct {
	vm     fleet.VMID
	server fleet.ServerID
	route  string
	at     time.Time
}

// sample is the union of the ejections that the VMs enforce at one time.
type sample struct {
	at      time.Time
	ejected map[fleet.ServerID]bool
	live    map[fleet.Service]int // listed live servers
	healthy map[fleet.Service]int // of these, not ejected by any VM
}

// newHistogram returns a histogram of times in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const highest, digits = 120_000_000, 3 // highest value in microseconds, significant digits
	return hdrhistogram.New(1, highest, digits)
}

func newMonitor(tb *testbed) *monitor {
	return &monitor{
		tb: tb, observers: map[fleet.VMID]*observer{}, inFlight: map[fleet.ServerID]int{}, peakInFlight: map[fleet.ServerID]int{},
		queued: newHistogram(),
	}
}

// observer tracks the slots that one VM process has acquired.
type observer struct {
	monitor *monitor
	spec    localfleet.VMSpec
	crashed bool                           // acquisitions are ignored from then on
	work    map[pool.WorkID]fleet.ServerID // the server of each request in flight
}

func (m *monitor) observer(v localfleet.VMSpec) node.Observer {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &observer{monitor: m, spec: v, work: map[pool.WorkID]fleet.ServerID{}}
	m.observers[v.ID] = o
	return o
}

// Acquired implements node.Observer.
func (o *observer) Acquired(work pool.Work, d pool.Decision) {
	m := o.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.crashed {
		return
	}
	o.work[work.ID] = d.Server.ID
	m.inFlight[d.Server.ID]++
	m.peakInFlight[d.Server.ID] = max(m.peakInFlight[d.Server.ID], m.inFlight[d.Server.ID])
	now := time.Now()
	if m.begin.IsZero() {
		return
	}
	step := m.step(now)
	if work.IsRetry {
		step.retries++
	} else {
		step.firstAttempts++
	}
	if d.Server.Region != o.spec.Region {
		step.remote++
	}
	if d.Trial {
		m.trials = append(m.trials, trial{o.spec.ID, d.Server.ID, work.Route, now})
	}
	if work.Length != document.LengthLong && now.Sub(m.begin) > time.Duration(m.tb.scenario.Warmup) {
		_ = m.queued.RecordValue(max(1, d.Queued.Microseconds()))
	}
}

// Released implements node.Observer.
func (o *observer) Released(id pool.WorkID, _ pool.End) {
	m := o.monitor
	m.mu.Lock()
	defer m.mu.Unlock()
	if server, ok := o.work[id]; ok {
		delete(o.work, id)
		m.inFlight[server]--
	}
}

// vmCrashed releases the slots of a crashed VM's requests.
func (m *monitor) vmCrashed(id fleet.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.observers[id]
	if o == nil {
		return
	}
	o.crashed = true
	for _, server := range o.work {
		m.inFlight[server]--
	}
	clear(o.work)
}

// run takes samples until ctx is done.
func (m *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s := m.sample()
			m.mu.Lock()
			m.samples = append(m.samples, s)
			m.mu.Unlock()
		}
	}
}

func (m *monitor) sample() sample {
	s := sample{at: time.Now(), ejected: map[fleet.ServerID]bool{}, live: map[fleet.Service]int{}, healthy: map[fleet.Service]int{}}
	for _, n := range m.tb.fleet.Nodes() {
		for _, p := range n.PoolStatus() {
			for _, row := range p.Servers {
				if row.Ejected {
					s.ejected[row.Server] = true
				}
			}
		}
	}
	_, servers := m.tb.fleet.List.Rows()
	for _, row := range servers {
		if row.State != fleet.StateLive {
			continue
		}
		s.live[row.Service]++
		if !s.ejected[row.ID] {
			s.healthy[row.Service]++
		}
	}
	return s
}
