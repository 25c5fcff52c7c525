package fleetsim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// serviceName is the one service of a scenario.
const serviceName = fleet.Service("service")

// world is a running scenario.
type world struct {
	s       *Scenario
	rand    *rand.Rand
	now     fleet.Time
	events  events
	order   uint64
	vms     []*vm
	servers []*server
	byID    map[fleet.ServerID]*server
	zones   map[fleet.Zone]*Zone
	shares  float64
	report  Report
}

// event is something that happens at an instant.
type event struct {
	at    fleet.Time
	order uint64 // of events at the same instant
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push and Pop implement heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last element.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(max(d, 0)), w.order, do})
}

// Run plays a scenario and reports what became of its requests.
func Run(s *Scenario, seed uint64) (*Report, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &world{
		s: s, rand: rand.New(rand.NewPCG(seed, 0)), byID: make(map[fleet.ServerID]*server), zones: make(map[fleet.Zone]*Zone),
		report: Report{Scenario: s.Name, Seed: seed},
	}
	w.build()
	w.restart()
	w.load()
	end := fleet.Time(0).Add(time.Duration(s.Duration))
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.report.finish(time.Duration(s.Duration), s.Budget)
	return &w.report, nil
}

func (w *world) build() {
	for i := range w.s.Zones {
		z := &w.s.Zones[i]
		w.zones[z.Name] = z
		for n := range z.Servers {
			s := &server{entry: fleet.Server{
				ID: fleet.ServerID(fmt.Sprintf("s-%s-%03d", z.Name, n)), Service: serviceName, Region: z.Region, Zone: z.Name, State: fleet.StateLive,
			}}
			s.failing = w.rand.Float64() < w.s.Failing.Share
			w.servers = append(w.servers, s)
			w.byID[s.entry.ID] = s
			if w.s.Failing.Share > 0 {
				w.flip(s)
			}
		}
		for n := range z.VMs {
			w.vms = append(w.vms, &vm{id: vmID(z.Name, n), zone: z})
		}
	}
	for _, v := range w.vms {
		w.start(v)
	}
	for _, r := range w.s.Routes {
		w.shares += r.Share
	}
}

// restart plans the stop and start of all VMs.
func (w *world) restart() {
	plan := w.s.Restart
	if plan == nil {
		return
	}
	w.after(time.Duration(plan.At), func() {
		for _, v := range w.vms {
			v.up = false
			w.after(time.Duration(plan.Down)+time.Duration(w.rand.Float64()*float64(plan.Spread)), func() { w.start(v) })
		}
	})
}

// load plans the next request.
func (w *world) load() {
	rate := w.s.Rate
	if w.s.Swing > 0 {
		rate *= 1 + w.s.Swing*math.Sin(2*math.Pi*w.now.Sub(0).Seconds()/time.Duration(w.s.Period).Seconds())
	}
	w.after(exponential(w.rand, time.Duration(float64(time.Second)/rate)), func() {
		w.request()
		w.load()
	})
}

// request gives a new request to a VM. One whose VM is down reaches no VM.
func (w *world) request() {
	v := w.vms[w.rand.IntN(len(w.vms))]
	route := w.route()
	w.report.owe(w.now, route)
	if !v.up {
		w.report.NoVM++
		return
	}
	r := &request{route: route, begun: w.now, deadline: w.now.Add(time.Duration(route.Deadline))}
	w.serve(v, r)
}

func (w *world) route() *Route {
	x := w.rand.Float64() * w.shares
	for i := range w.s.Routes {
		if x -= w.s.Routes[i].Share; x < 0 {
			return &w.s.Routes[i]
		}
	}
	return &w.s.Routes[len(w.s.Routes)-1]
}
