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

// sampleInterval is the pause between two samples of all VMs' ejections.
const sampleInterval = 20 * time.Millisecond

// watch collects what the fleet itself says during a run.
type watch struct {
	w *world

	mu        sync.Mutex
	observers map[fleet.VMID]*observer
	used      map[fleet.ServerID]int // requests under way, over all VMs
	peak      map[fleet.ServerID]int
	begin     time.Time  // of the load
	steps     []attempts // by timelineStep since begin
	trials    []trial
	queued    *hdrhistogram.Histogram // microseconds, work that is not declared long
	samples   []sample
}

// attempts counts the decisions that gave work a server.
type attempts struct {
	first   int // no repeats
	repeats int
	remote  int // at servers of another region
}

// start begins the count of attempts.
func (c *watch) start(begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin = begin
}

// step returns the counts at this time. mu is held.
func (c *watch) step(now time.Time) *attempts {
	k := max(0, int(now.Sub(c.begin)/timelineStep))
	for len(c.steps) <= k {
		c.steps = append(c.steps, attempts{})
	}
	return &c.steps[k]
}

// within sums up the attempts of a time of the run.
func (c *watch) within(s Span) attempts {
	var out attempts
	for k, a := range c.steps {
		if s.holds(time.Duration(k) * timelineStep) {
			out.first, out.repeats, out.remote = out.first+a.first, out.repeats+a.repeats, out.remote+a.remote
		}
	}
	return out
}

// trial is a decision to run work on a server after its ejection.
type trial struct {
	vm     fleet.VMID
	server fleet.ServerID
	route  string
	at     time.Time
}

// sample is the union of all VMs' obeyed ejections at one time.
type sample struct {
	at      time.Time
	ejected map[fleet.ServerID]bool
	live    map[fleet.Service]int // listed live servers
	healthy map[fleet.Service]int // of these, in no VM's ejected set
}

func newHistogram() *hdrhistogram.Histogram {
	const highest, digits = 120_000_000, 3 // two minutes in microseconds
	return hdrhistogram.New(1, highest, digits)
}

func newWatch(w *world) *watch {
	return &watch{
		w: w, observers: map[fleet.VMID]*observer{}, used: map[fleet.ServerID]int{}, peak: map[fleet.ServerID]int{},
		queued: newHistogram(),
	}
}

// observer sees one VM process's slots.
type observer struct {
	watch *watch
	spec  localfleet.VMSpec
	ended bool
	work  map[pool.WorkID]fleet.ServerID
}

func (c *watch) observer(v localfleet.VMSpec) node.Observer {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &observer{watch: c, spec: v, work: map[pool.WorkID]fleet.ServerID{}}
	c.observers[v.ID] = o
	return o
}

// Acquired implements node.Observer.
func (o *observer) Acquired(work pool.Work, d pool.Decision) {
	c := o.watch
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.ended {
		return
	}
	o.work[work.ID] = d.Server.ID
	c.used[d.Server.ID]++
	c.peak[d.Server.ID] = max(c.peak[d.Server.ID], c.used[d.Server.ID])
	now := time.Now()
	if c.begin.IsZero() {
		return
	}
	step := c.step(now)
	if work.IsRetry {
		step.repeats++
	} else {
		step.first++
	}
	if d.Server.Region != o.spec.Region {
		step.remote++
	}
	if d.Trial {
		c.trials = append(c.trials, trial{o.spec.ID, d.Server.ID, work.Route, now})
	}
	if work.Length != document.LengthLong && now.Sub(c.begin) > time.Duration(c.w.s.Warmup) {
		_ = c.queued.RecordValue(max(1, d.Queued.Microseconds()))
	}
}

// Released implements node.Observer.
func (o *observer) Released(id pool.WorkID, _ pool.End) {
	c := o.watch
	c.mu.Lock()
	defer c.mu.Unlock()
	if server, ok := o.work[id]; ok {
		delete(o.work, id)
		c.used[server]--
	}
}

// vmEnded forgets the requests of a VM that crashed.
func (c *watch) vmEnded(id fleet.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.observers[id]
	if o == nil {
		return
	}
	o.ended = true
	for _, server := range o.work {
		c.used[server]--
	}
	clear(o.work)
}

// run samples until ctx ends.
func (c *watch) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s := c.sample()
			c.mu.Lock()
			c.samples = append(c.samples, s)
			c.mu.Unlock()
		}
	}
}

func (c *watch) sample() sample {
	s := sample{at: time.Now(), ejected: map[fleet.ServerID]bool{}, live: map[fleet.Service]int{}, healthy: map[fleet.Service]int{}}
	for _, n := range c.w.fleet.Nodes() {
		for _, p := range n.PoolStatus() {
			for _, row := range p.Servers {
				if row.Ejected {
					s.ejected[row.Server] = true
				}
			}
		}
	}
	_, servers := c.w.fleet.List.Rows()
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
