package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// serviceName is the name of a scenario's only service.
const serviceName = fleet.Service("service")

// simulation is the state of a running scenario.
type simulation struct {
	scenario   *Scenario
	rand       *rand.Rand
	now        fleet.Time
	events     eventQueue
	lastSeq    uint64
	vms        []*vm
	servers    []*server
	byID       map[fleet.ServerID]*server
	zones      map[fleet.Zone]*Zone
	totalShare float64
	report     Report
}

// event is a scheduled action.
type event struct {
	at  fleet.Time
	seq uint64 // orders events with equal times
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface. It removes the last element.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules an action after d, or at the current time if d is negative.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{sim.now.Add(max(d, 0)), sim.lastSeq, do})
}

// Run simulates a scenario and reports the outcomes of its requests.
func Run(s *Scenario, seed uint64) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	sim := &simulation{
		scenario: s, rand: rand.New(rand.NewPCG(seed, 0)), byID: make(map[fleet.ServerID]*server), zones: make(map[fleet.Zone]*Zone),
		report: Report{Scenario: s.Name, Seed: seed},
	}
	sim.build()
	sim.scheduleRestart()
	sim.scheduleNextRequest()
	end := fleet.Time(0).Add(time.Duration(s.Duration))
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.report.OverLimit, sim.report.LimitUse = sim.overLimit(), sim.limitUse()
	sim.report.finish(time.Duration(s.Duration), s.Budget)
	return &sim.report, nil
}

func (sim *simulation) build() {
	for i := range sim.scenario.Zones {
		z := &sim.scenario.Zones[i]
		sim.zones[z.Name] = z
		for n := range z.Servers {
			s := &server{entry: fleet.Server{
				ID: fleet.ServerID(fmt.Sprintf("s-%s-%03d", z.Name, n)), Service: serviceName, Region: z.Region, Zone: z.Name, State: fleet.StateLive,
			}}
			s.failing = sim.rand.Float64() < sim.scenario.Failing.Share
			sim.servers = append(sim.servers, s)
			sim.byID[s.entry.ID] = s
			if sim.scenario.Failing.Share > 0 {
				sim.scheduleFailureChange(s)
			}
		}
		for n := range z.VMs {
			sim.vms = append(sim.vms, &vm{id: vmID(z.Name, n), zone: z})
		}
	}
	sim.drawLimits()
	for _, v := range sim.vms {
		sim.start(v)
	}
	for _, r := range sim.scenario.Routes {
		sim.totalShare += r.Share
	}
}

// scheduleRestart schedules the scenario's restart of VMs, if it has one.
func (sim *simulation) scheduleRestart() {
	plan := sim.scenario.Restart
	if plan == nil {
		return
	}
	sim.schedule(time.Duration(plan.At), func() {
		for _, v := range sim.vms {
			if plan.Zone != "" && plan.Zone != v.zone.Name {
				continue
			}
			v.up = false
			sim.schedule(time.Duration(plan.Down)+time.Duration(sim.rand.Float64()*float64(plan.Spread)), func() { sim.start(v) })
		}
	})
}

// scheduleNextRequest schedules the next arrival, which schedules the one after it.
func (sim *simulation) scheduleNextRequest() {
	rate := sim.scenario.Rate
	if sim.scenario.RateAmplitude > 0 {
		rate *= 1 + sim.scenario.RateAmplitude*math.Sin(2*math.Pi*sim.now.Sub(0).Seconds()/time.Duration(sim.scenario.Period).Seconds())
	}
	sim.schedule(exponential(sim.rand, time.Duration(float64(time.Second)/rate)), func() {
		sim.startRequest()
		sim.scheduleNextRequest()
	})
}

// startRequest sends a new request to a random VM of the zones with callers. If that VM is down, the request is lost.
func (sim *simulation) startRequest() {
	v := sim.vms[sim.rand.IntN(len(sim.vms))]
	for v.zone.Idle {
		v = sim.vms[sim.rand.IntN(len(sim.vms))]
	}
	route := sim.drawRoute()
	sim.report.addRequest(sim.now, route)
	if !v.up {
		sim.report.NoVM++
		return
	}
	r := &request{route: route, startedAt: sim.now, deadline: sim.now.Add(time.Duration(route.Deadline))}
	sim.sendAttempt(v, r)
}

func (sim *simulation) drawRoute() *Route {
	x := sim.rand.Float64() * sim.totalShare
	for i := range sim.scenario.Routes {
		if x -= sim.scenario.Routes[i].Share; x < 0 {
			return &sim.scenario.Routes[i]
		}
	}
	return &sim.scenario.Routes[len(sim.scenario.Routes)-1]
}
