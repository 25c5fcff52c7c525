package pool

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

const (
	ms           = time.Millisecond
	networkDelay = 1500 * time.Microsecond
	service      = fleet.Service("ticket-desk")
	region       = fleet.Region("addis")
)

var poolID = fleet.PoolID{Service: service, Region: region}

type simEvent struct {
	at  fleet.Time
	seq int
	f   func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any     { o := *h; x := o[len(o)-1]; *h = o[:len(o)-1]; return x }

// simAuthority is one VM's view of the pool's shard.
type simAuthority struct {
	view shard.View
	role shard.Role
}

func (a *simAuthority) View(shard.ID) (shard.View, bool)   { return a.view, true }
func (a *simAuthority) Role(shard.ID) (shard.Role, uint64) { return a.role, a.view.Version }

type simVM struct {
	member fleet.Member
	zone   fleet.Zone
	p      *Pools
	auth   *simAuthority
	paused bool
	inbox  []func() // calls deferred during a pause
}

type simServer struct {
	row         fleet.Server
	running     int
	maxRunning  int
	fail        float64 // probability that a request fails
	slow        float64 // factor by which the work time is multiplied
	regularWork []fleet.Time
	served      int
	draining    bool                        // responds that it is shutting down
	drainSheds  bool                        // the same in refusals
	unreachable bool                        // accepts no connection
	grayAt      func(at time.Duration) bool // whether fail and slow apply at this time; nil means always
}

type simRoute struct {
	name          string
	work          time.Duration // median
	spread        float64       // sigma of the log-normal work time
	weight        float64
	length        document.Length
	fail          float64 // probability of failure on every server
	share         float64
	deadline      time.Duration
	nonIdempotent bool
}

// sim simulates a few VMs, a network with latency and partitions, and servers with slots.
type sim struct {
	t              *testing.T
	rng            *rand.Rand
	now            fleet.Time
	heap           simHeap
	seq            int
	vms            []*simVM
	servers        map[fleet.ServerID]*simServer
	ids            []fleet.ServerID
	slots          int
	routes         []simRoute
	rate           float64 // requests per second over all VMs
	stragglerShare float64 // share of requests whose work time is 50 times longer
	linkCut        func(from, to fleet.VMID) bool
	serverCut      func(vm *simVM, s *simServer) bool
	onTick         func()
	nextID         WorkID
	frames         int
	bytes          int
	dirGen         uint64

	arrivals               []*request
	requests               map[WorkID]*request
	events                 []fleet.Event
	waits                  map[string][]time.Duration
	firstAttempts, retries int
	sheds, failed, done    int
	refusals               map[result.Code]int
	measureFrom            fleet.Time
}

func newSim(t *testing.T, seed uint64, vms, servers int, floor document.Floor, policy Policy) *sim {
	s := &sim{
		requests: map[WorkID]*request{},
		t:        t, rng: rand.New(rand.NewPCG(seed, 7)), now: fleet.Time(time.Hour), servers: map[fleet.ServerID]*simServer{}, slots: 6,
		routes:    []simRoute{{name: "menu", work: 20 * ms, spread: 0.3, weight: 1, share: 1, deadline: 10 * time.Second}},
		linkCut:   func(fleet.VMID, fleet.VMID) bool { return false },
		serverCut: func(*simVM, *simServer) bool { return false },
		onTick:    func() {}, waits: map[string][]time.Duration{}, refusals: map[result.Code]int{},
	}
	for i := range servers {
		id := fleet.ServerID(fmt.Sprintf("s%02d", i))
		s.ids = append(s.ids, id)
		s.servers[id] = &simServer{slow: 1, row: fleet.Server{ID: id, Service: service, Region: region, Zone: simZone(i), State: fleet.StateLive}}
	}
	for i := range vms {
		vm := &simVM{member: fleet.Member{VM: fleet.VMID(fmt.Sprintf("v%02d", i)), Incarnation: 1}, zone: simZone(i), auth: &simAuthority{}}
		vm.p = New(Config{Self: vm.member, Region: region, Zone: vm.zone, Seed: seed, Authority: vm.auth, Policy: policy})
		s.vms = append(s.vms, vm)
	}
	doc := &document.Index{Doc: &document.Document{Sections: map[string]document.Section{"t": {Services: map[fleet.Service]document.Service{
		service: {Servers: servers, Slots: s.slots, Floor: floor, Connections: 330, HealthPath: "/health"},
	}}}}}
	dir := s.directory()
	for _, vm := range s.vms {
		vm.p.SetDirectory(s.now, dir)
		vm.p.SetDocument(s.now, doc)
	}
	s.setView(1, 0, 1, true)
	for i, vm := range s.vms {
		s.after(time.Duration(i)*ms/4, func() { s.tick(vm) })
	}
	s.after(3*time.Second, func() { s.arrive() })
	return s
}

func simZone(i int) fleet.Zone { return fleet.Zone([]string{"addis-a", "addis-b"}[i%2]) }

func (s *sim) directory() *fleet.Directory {
	s.dirGen++
	var vms []fleet.VM
	for _, vm := range s.vms {
		vms = append(vms, fleet.VM{ID: vm.member.VM, Region: region, Zone: vm.zone, State: fleet.StateLive})
	}
	var rows []fleet.Server
	for _, id := range s.ids {
		rows = append(rows, s.servers[id].row)
	}
	return fleet.NewDirectory(s.dirGen, vms, rows)
}

// setView installs a view of the pool's shard; a negative replica means no copy. If lost is
// set, the new owner starts without the state of the earlier members.
func (s *sim) setView(version uint64, owner, replica int, lost bool) {
	v := shard.View{Shard: shard.PoolShard(poolID), Version: version, Owner: s.vms[owner].member}
	if replica >= 0 {
		v.Copy = s.vms[replica].member
	}
	for i, vm := range s.vms {
		vm.auth.view, vm.auth.role = v, shard.RoleNone
		switch i {
		case owner:
			vm.auth.role = shard.RoleOwner
			if lost {
				vm.p.Reset(v.Shard, s.now)
			}
		case replica:
			vm.auth.role = shard.RoleCopy
		}
		if i == owner || i == replica {
			vm.p.RoleChanged(v.Shard, s.now, vm.auth.role, v)
		}
		s.flush(vm)
	}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.heap, simEvent{s.now.Add(d), s.seq, f})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.heap) > 0 && s.heap[0].at <= end {
		e := heap.Pop(&s.heap).(simEvent)
		s.now = e.at
		e.f()
	}
	s.now = end
}

func (s *sim) tick(vm *simVM) {
	if !vm.paused {
		vm.p.Tick(s.now)
		s.flush(vm)
	}
	if vm == s.vms[0] {
		s.onTick()
	}
	s.after(10*ms, func() { s.tick(vm) })
}

func (s *sim) setDirectory() {
	dir := s.directory()
	for _, vm := range s.vms {
		s.at(vm, func() { vm.p.SetDirectory(s.now, dir) })
	}
}

// at runs f on the VM, after the end of its pause if it is paused.
func (s *sim) at(vm *simVM, f func()) {
	if vm.paused {
		vm.inbox = append(vm.inbox, f)
		return
	}
	f()
	s.flush(vm)
}

func (s *sim) resume(vm *simVM) {
	vm.paused = false
	for _, f := range vm.inbox {
		f()
		s.flush(vm)
	}
	vm.inbox = nil
}

func (s *sim) flush(vm *simVM) {
	for _, e := range vm.p.Outbox() {
		frame, err := wire.Encode(e.Message)
		require.NoError(s.t, err)
		s.frames++
		s.bytes += len(frame)
		to := int(e.To[1]-'0')*10 + int(e.To[2]-'0')
		if to >= len(s.vms) || s.linkCut(vm.member.VM, e.To) {
			continue
		}
		s.after(networkDelay, func() {
			m, err := wire.Decode(frame)
			require.NoError(s.t, err)
			s.at(s.vms[to], func() { s.vms[to].p.Step(s.now, vm.member, m) })
		})
	}
	for _, probe := range vm.p.Probes() { // health probes pass even on gray servers
		s.after(25*ms, func() { s.at(vm, func() { vm.p.RecordProbe(s.now, probe.Pool, probe.Server.ID, true) }) })
	}
	s.events = append(s.events, vm.p.Events()...)
	for _, d := range vm.p.Decisions() {
		s.onDecision(vm, d)
	}
}

// request is a caller's request with all its attempts.
type request struct {
	route     *simRoute
	work      Work
	arrivedAt fleet.Time
	attempt   int
	counted   bool
	workTime  time.Duration // on a healthy server
	queued    time.Duration
	ok        bool
}

func (s *sim) arrive() {
	if s.rate > 0 {
		s.request(s.vms[s.rng.IntN(len(s.vms))], s.pickRoute())
		s.after(time.Duration(s.rng.ExpFloat64()/s.rate*1e9), s.arrive)
		return
	}
	s.after(10*ms, s.arrive)
}

func (s *sim) pickRoute() *simRoute {
	x := s.rng.Float64()
	for i := range s.routes {
		if x -= s.routes[i].share; x < 0 {
			return &s.routes[i]
		}
	}
	return &s.routes[0]
}

func (s *sim) request(vm *simVM, r *simRoute) {
	q := &request{route: r, arrivedAt: s.now, counted: s.measureFrom > 0 && s.now >= s.measureFrom}
	q.work = Work{Service: service, Route: r.name, Length: r.length, Weight: r.weight, Deadline: s.now.Add(r.deadline), Idempotent: !r.nonIdempotent}
	q.workTime = time.Duration(float64(r.work) * math.Exp(r.spread*s.rng.NormFloat64()))
	if s.rng.Float64() < s.stragglerShare && r.length != document.LengthLong {
		q.workTime *= 50
	}
	s.arrivals = append(s.arrivals, q)
	s.at(vm, func() { s.submit(vm, q) })
}

func (s *sim) submit(vm *simVM, q *request) {
	s.nextID++
	q.work.ID = s.nextID
	s.requests[q.work.ID] = q
	if d, ok := vm.p.Submit(s.now, q.work); ok {
		s.onDecision(vm, d)
	}
}

func (s *sim) onDecision(vm *simVM, d Decision) {
	q := s.requests[d.Work]
	if d.Code != result.OK {
		delete(s.requests, d.Work)
		s.refusals[d.Code]++
		return
	}
	q.queued += d.Queued
	if q.counted && q.attempt == 0 {
		s.waits[q.route.name] = append(s.waits[q.route.name], d.Queued)
	}
	if q.attempt == 0 {
		s.firstAttempts++
	} else {
		s.retries++
	}
	srv := s.servers[d.Server.ID]
	if !d.Trial {
		srv.regularWork = append(srv.regularWork, s.now)
	}
	if srv.unreachable || s.serverCut(vm, srv) {
		s.after(250*ms, func() { s.end(vm, q, End{State: EndUnreachable, Duration: 250 * ms}) })
		return
	}
	s.after(networkDelay/3, func() { s.serve(vm, q, srv) })
}

func (s *sim) serve(vm *simVM, q *request, srv *simServer) {
	if srv.draining {
		s.after(networkDelay/3, func() { s.end(vm, q, End{State: EndDraining, Duration: ms}) })
		return
	}
	if srv.drainSheds {
		s.after(networkDelay/3, func() { s.end(vm, q, End{State: EndShed, Duration: ms, Notice: ServerNotice{Leaving: true}}) })
		return
	}
	if srv.running >= s.slots {
		s.sheds++
		s.after(networkDelay/3, func() { s.end(vm, q, End{State: EndShed, Duration: ms}) })
		return
	}
	srv.running++
	srv.maxRunning = max(srv.maxRunning, srv.running)
	gray := srv.grayAt == nil || srv.grayAt(s.now.Sub(fleet.Time(time.Hour)))
	d := q.workTime
	if gray {
		d = time.Duration(float64(d) * srv.slow)
	}
	e := End{State: EndOK, Duration: d + ms}
	if gray && s.rng.Float64() < srv.fail || s.rng.Float64() < q.route.fail {
		e.State, d = EndFailed, d/4
	}
	s.after(d, func() {
		srv.running--
		srv.served++
		s.after(networkDelay/3, func() { s.end(vm, q, e) })
	})
}

func (s *sim) end(vm *simVM, q *request, e End) {
	s.at(vm, func() {
		delete(s.requests, q.work.ID)
		vm.p.End(s.now, q.work.ID, e)
		if e.State == EndOK {
			s.done++
			q.ok = s.now <= q.work.Deadline
			return
		}
		if q.work.Idempotent && q.attempt < 2 && vm.p.MayRetry(s.now, service) {
			q.attempt++
			q.work.IsRetry = true
			q.work.Exclude = nil
			s.submit(vm, q)
			return
		}
		s.failed++
	})
}

// checkSlots fails the test if the VMs together hold more credits on a server than it has slots.
func (s *sim) checkSlots() {
	for i, id := range s.ids {
		held := 0
		for _, vm := range s.vms {
			pl := vm.p.pools[poolID]
			if i < len(pl.sortedRows) {
				r := &pl.rows[pl.sortedRows[i]].client
				held += max(r.granted, r.used)
			}
		}
		require.LessOrEqual(s.t, held, s.slots, "credits of %s at %v", id, s.now.Sub(fleet.Time(time.Hour)))
	}
}

func (s *sim) count(kind fleet.EventKind) int {
	n := 0
	for _, e := range s.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}
