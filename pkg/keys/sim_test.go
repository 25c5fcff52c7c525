package keys

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// The simulator runs a Manager and Keys per VM on one fake clock. Its network loses,
// delays, duplicates and reorders frames, and each VM reads the VM list and the
// configuration log with a lag.
const (
	simTick            = 25 * time.Millisecond
	simListLag         = 1500 * time.Millisecond // less than shard.DefaultListSettleTime, as the protocol requires
	simIncarnationStep = 1000                    // incarnations are start times, so they differ by much more than versions do
	simDrainTimeout    = 20 * time.Second        // upper bound of a shutdown
	simRegion          = fleet.Region("r")
	simRemote          = fleet.Region("s")
)

type simList struct {
	at  time.Duration
	dir *fleet.Directory
}

// simRun is one run of a key: when its request arrived and when it ran.
type simRun struct{ start, at time.Duration }

type simRequest struct {
	id         ReservationID
	key        string
	start      time.Duration
	dispatch   time.Duration // when the first byte is sent; 0 before the decision
	dispatchBy fleet.Time
	finishAt   time.Duration
	ran        bool
	finish     FinishResult
}

type simNode struct {
	vm       fleet.VM
	self     fleet.Member
	manager  *shard.Manager
	keys     *Keys
	offset   time.Duration // of this process's clock from the simulation's
	lag      time.Duration // with which it reads the VM list and the configuration log
	paused   bool
	leaving  bool
	leaveAt  time.Duration
	listAt   int // index of the newest VM list read, -1 before the first
	inbox    []func()
	requests map[ReservationID]*simRequest
}

type simOpened struct {
	id shard.ID
	by fleet.Member
	at time.Duration
}

type sim struct {
	rng      *rand.Rand
	now      time.Duration
	nodes    []*simNode // live processes
	vms      []fleet.VM
	lists    []simList
	inFlight map[time.Duration][]func()
	blocked  map[[2]fleet.VMID]bool
	faulty   bool // the network loses, delays and duplicates frames
	storeUp  bool // the configuration log is available
	opened   []simOpened
	starts   uint64
	requests ReservationID
	runs     map[string][]simRun
	refusals map[result.Code]int
	verdicts map[Verdict]int
	problems []string
	trace    []string // events of all VMs, printed on failure
	index    *document.Index
}

func newSim(seed uint64, vms int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 7)), inFlight: map[time.Duration][]func(){},
		blocked: map[[2]fleet.VMID]bool{}, runs: map[string][]simRun{}, storeUp: true,
		refusals: map[result.Code]int{}, verdicts: map[Verdict]int{},
		index: &document.Index{Doc: &document.Document{
			Root: document.Root{KeySlices: 2, Regions: []fleet.Region{simRegion}},
		}},
	}
	for i := range vms {
		s.vms = append(s.vms, fleet.VM{
			ID: fleet.VMID(fmt.Sprintf("vm%d", i)), Region: simRegion,
			Zone: fleet.Zone(fmt.Sprintf("z%d", i%2)), State: fleet.StateLive,
		})
	}
	s.vms = append(s.vms, fleet.VM{ID: "far", Region: simRemote, Zone: "z9", State: fleet.StateLive})
	s.publish()
	for _, vm := range s.vms {
		s.start(vm)
	}
	return s
}

func (s *sim) publish() {
	s.lists = append(s.lists, simList{s.now, fleet.NewDirectory(uint64(len(s.lists)+1), s.vms, nil)})
}

func (s *sim) start(vm fleet.VM) *simNode {
	s.starts++
	n := &simNode{
		vm: vm, self: fleet.Member{VM: vm.ID, Incarnation: fleet.Incarnation(s.starts * simIncarnationStep)},
		offset: time.Duration(s.rng.Int64N(int64(time.Hour))), listAt: -1,
		lag: time.Duration(s.rng.Int64N(int64(simListLag))), requests: map[ReservationID]*simRequest{},
	}
	replicas := map[shard.Class]shard.Replica{}
	n.manager = shard.New(shard.Config{Self: n.self, Region: vm.Region, Zone: vm.Zone, Replicas: replicas})
	n.keys = New(Config{
		Self: n.self, Region: vm.Region, Authority: n.manager, Membership: n.manager,
		Opened: func(id shard.ID) OpenState { return s.readOpened(n, id) },
	})
	replicas[shard.ClassKeys] = n.keys
	n.keys.SetDocument(s.clock(n), s.index)
	if vm.Region == simRegion {
		n.manager.SetWantedShards(s.clock(n), n.keys.Shards(simRegion))
	}
	s.nodes = append(s.nodes, n)
	for _, other := range s.nodes { // hello messages of the links
		if other != n {
			s.hello(n, other)
			s.hello(other, n)
		}
	}
	return n
}

func (s *sim) hello(from, to *simNode) {
	member := from.self
	s.deliver(from.vm.ID, to.vm.ID, func(n *simNode) { n.manager.RecordIncarnation(s.clock(n), member) })
}

func (s *sim) clock(n *simNode) fleet.Time { return fleet.Time(s.now + n.offset) }

func (s *sim) readOpened(n *simNode, id shard.ID) OpenState {
	if !s.storeUp {
		return OpenUnknown
	}
	for _, o := range s.opened {
		switch {
		case o.id != id || o.at > s.now-n.lag:
		case o.by == n.self:
			return OpenedBySelf
		default:
			return OpenedBefore
		}
	}
	return NeverOpened
}

// deliver schedules f for the process that runs on the VM at arrival, subject to faults.
func (s *sim) deliver(from, to fleet.VMID, f func(*simNode)) {
	copies := 1
	if s.faulty {
		if s.blocked[[2]fleet.VMID{from, to}] || s.rng.IntN(10) == 0 {
			return
		}
		copies += s.rng.IntN(10) / 9
	}
	for range copies {
		delay := simTick
		if s.faulty {
			delay += time.Duration(s.rng.IntN(4)) * simTick
			if s.rng.IntN(20) == 0 {
				delay += time.Duration(s.rng.IntN(400)) * simTick
			}
		}
		s.inFlight[s.now+delay] = append(s.inFlight[s.now+delay], func() {
			if i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.vm.ID == to }); i >= 0 {
				n := s.nodes[i]
				n.inbox = append(n.inbox, func() { f(n) })
			}
		})
	}
}

func (s *sim) send(n *simNode, envelopes []fleet.Envelope) {
	for _, e := range envelopes {
		frame, err := wire.Encode(e.Message)
		if err != nil {
			s.problems = append(s.problems, err.Error())
			continue
		}
		from := n.self
		s.deliver(n.vm.ID, e.To, func(to *simNode) {
			message, err := wire.Decode(frame)
			if err != nil {
				s.problems = append(s.problems, err.Error())
				return
			}
			to.manager.Step(s.clock(to), from, message)
			to.keys.Step(s.clock(to), from, message)
		})
	}
}

// advance runs the simulation for a duration.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		if s.now%time.Second == 0 { // heartbeats name the sender's process, like hello messages
			for _, from := range s.nodes {
				for _, to := range s.nodes {
					if from != to && !from.paused {
						s.hello(from, to)
					}
				}
			}
		}
		flights := s.inFlight[s.now]
		delete(s.inFlight, s.now)
		for _, f := range flights {
			f()
		}
		for _, n := range slices.Clone(s.nodes) {
			if !n.paused {
				s.run(n)
			}
		}
		s.checkOwners()
	}
}

func (s *sim) run(n *simNode) {
	now := s.clock(n)
	for i := n.listAt + 1; i < len(s.lists) && s.lists[i].at <= s.now-n.lag || i == 0; i++ {
		n.listAt = i
		n.manager.SetDirectory(now, s.lists[i].dir)
		n.keys.SetDirectory(now, s.lists[i].dir)
	}
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f()
	}
	n.manager.Tick(now)
	n.keys.Tick(now)
	s.serve(n)
	for _, e := range append(n.manager.Events(), n.keys.Events()...) {
		s.trace = append(s.trace, fmt.Sprintf("%v %s: %s %v", s.now, n.self, e.Reason, e.Detail))
	}
	for _, id := range n.keys.OpenRequests() {
		if s.storeUp {
			s.opened = append(s.opened, simOpened{id, n.self, s.now + time.Duration(s.rng.IntN(40))*simTick})
			slices.SortStableFunc(s.opened, func(a, b simOpened) int { return int(a.at - b.at) })
		}
	}
	s.send(n, n.manager.Outbox())
	s.send(n, n.keys.Outbox())
	settled := n.manager.Resigned() && n.keys.PendingExchanges() == 0 && len(n.requests) == 0
	if n.leaving && (settled || s.now-n.leaveAt > simDrainTimeout) {
		s.kill(n)
	}
}

// serve acts as the proxy: it dispatches and finishes requests that were decided to run.
func (s *sim) serve(n *simNode) {
	for _, d := range n.keys.Decisions() {
		s.onDecision(n, n.requests[d.Reserve], d)
	}
	ids := make([]ReservationID, 0, len(n.requests))
	for id := range n.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		q := n.requests[id]
		switch {
		case q.dispatch == 0:
		case !q.ran && s.now >= q.dispatch:
			if s.clock(n) >= q.dispatchBy || q.finish == FinishNotRun {
				n.keys.Finish(s.clock(n), q.id, FinishNotRun, nil)
				delete(n.requests, id)
				continue
			}
			q.ran = true
			s.trace = append(s.trace, fmt.Sprintf("%v %s: ran %s, attempt %d", s.now, n.self, q.key, n.keys.requests[q.id].number))
			s.runs[q.key] = append(s.runs[q.key], simRun{q.start, s.now})
			if len(s.runs[q.key]) > 1 {
				s.problems = append(s.problems, fmt.Sprintf("key %s ran %d times: %v, last by %s", q.key, len(s.runs[q.key]), s.runs[q.key], n.self))
			}
		case q.ran && s.now >= q.finishAt:
			n.keys.Finish(s.clock(n), q.id, q.finish, &Answer{Status: 200, Body: []byte(q.key)})
			delete(n.requests, id)
		}
	}
}

func (s *sim) onDecision(n *simNode, q *simRequest, d Decision) {
	s.verdicts[d.Verdict]++
	switch d.Verdict {
	case VerdictRun:
		q.dispatchBy = d.DispatchBy
		q.dispatch = s.now + time.Duration(s.rng.IntN(4))*simTick
		q.finishAt = q.dispatch + time.Duration(1+s.rng.IntN(40))*simTick
		return
	case VerdictReplay:
		if len(s.runs[q.key]) == 0 || string(d.Answer.Body) != q.key {
			s.problems = append(s.problems, "replay of a key that did not run: "+q.key)
		}
	case VerdictRefuse:
		s.trace = append(s.trace, fmt.Sprintf("%v %s: refused %s with %s", s.now, n.self, q.key, d.Code))
		s.refusals[d.Code]++
		if d.Code.Info().Outcome == result.OutcomeNotRun {
			for _, r := range s.runs[q.key] {
				if r.at < q.start {
					s.problems = append(s.problems, fmt.Sprintf("refused with %s but key %s had run", d.Code, q.key))
				}
			}
		}
	}
	delete(n.requests, d.Reserve)
}

// reserve starts a request that ends with the result finish if it runs.
func (s *sim) reserve(n *simNode, key string, finish FinishResult, timeout time.Duration) *simRequest {
	s.requests++
	q := &simRequest{id: s.requests, key: key, start: s.now, finish: finish}
	n.requests[q.id] = q
	scope := Scope{Workspace: "w", Service: "pay", Key: key}
	n.keys.Reserve(s.clock(n), q.id, "w", scope, 1, s.clock(n).Add(timeout))
	return q
}

func (s *sim) kill(n *simNode) {
	s.nodes = slices.DeleteFunc(s.nodes, func(o *simNode) bool { return o == n })
}

// replace removes a VM permanently and adds a new one to the list.
func (s *sim) replace(n *simNode) {
	s.kill(n)
	s.vms = slices.DeleteFunc(slices.Clone(s.vms), func(vm fleet.VM) bool { return vm.ID == n.vm.ID })
	vm := n.vm
	vm.ID = fleet.VMID(fmt.Sprintf("vm-n%d", s.starts))
	s.vms = append(s.vms, vm)
	s.publish()
	s.start(vm)
}

// restartMissing starts a process on each VM that has none.
func (s *sim) restartMissing() {
	for _, vm := range s.vms {
		if !slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n.vm.ID == vm.ID }) {
			s.start(vm)
		}
	}
}

// checkOwners records a problem if two processes act as owner of one shard.
func (s *sim) checkOwners() {
	for slice := range 2 {
		id := shard.KeyShard(simRegion, slice)
		var owners []string
		for _, n := range s.nodes {
			if role, version := n.manager.Role(id); role == shard.RoleOwner {
				owners = append(owners, fmt.Sprintf("%s@%d", n.self, version))
			}
		}
		if len(owners) > 1 {
			s.problems = append(s.problems, fmt.Sprintf("%s has owners %v", id, owners))
		}
	}
}
