package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/core"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

const (
	clusterTick   = 10 * time.Millisecond
	clusterRegion = fleet.Region("north")
	// clusterSettleTime is the simulated time after which each VM must have the document and
	// the owners of its shards.
	clusterSettleTime = 8 * time.Second
	// clusterWorkspace is the only workspace in the document.
	clusterWorkspace     = "workspace-0000000"
	clusterDeadline      = 2 * time.Second
	clusterResponseBytes = 200 // body size of a response that is stored with its key
)

// clusterSize describes the scale of a region of simulated VMs.
type clusterSize struct {
	vms, services, servers int // servers is the number for each service
	keyShards              int // of the region
	rate                   int // requests per second to all VMs together
	keyed                  int // requests per second with an idempotency key, included in rate
}

// cluster runs the core.Node of each VM on one simulated clock. Messages are encoded and
// decoded as on a link and arrive at the next tick.
type cluster struct {
	size        clusterSize
	clock       time.Time
	now         fleet.Time
	log         *standin.Log
	nodes       []*clusterNode
	byID        map[fleet.VMID]*clusterNode
	rng         *rand.Rand
	lastWorkID  pool.WorkID
	dueRequests float64 // requests that are due but not submitted yet, with a fraction
	submitted   int

	lastReserveID keys.ReservationID
	pendingKeys   map[keys.ReservationID]int // service of each request that waits for its key reservation
	reservations  map[pool.WorkID]keys.ReservationID

	frames, bytes int
	bytesByKind   map[fleet.Kind]int
	started       int
	running       map[fleet.Time][]runningWork
}

type clusterNode struct {
	self         fleet.Member
	core         *core.Node
	inbox        []clusterMessage
	read         *configlog.Read
	readDeadline fleet.Time
}

type clusterMessage struct {
	from  fleet.Member
	frame []byte
}

type runningWork struct {
	node *clusterNode
	id   pool.WorkID
}

func newCluster(size clusterSize) (*cluster, error) {
	c := &cluster{
		size: size, clock: time.Unix(0, 0), now: fleet.Time(time.Hour), byID: map[fleet.VMID]*clusterNode{},
		rng: rand.New(rand.NewPCG(1, 5)), bytesByKind: map[fleet.Kind]int{}, running: map[fleet.Time][]runningWork{},
		pendingKeys: map[keys.ReservationID]int{}, reservations: map[pool.WorkID]keys.ReservationID{},
	}
	c.log = standin.NewLog(standin.LogControl{}, func() time.Time { return c.clock })
	w, err := newLogWriter([]fleet.Region{clusterRegion}, size.keyShards)
	if err != nil {
		return nil, err
	}
	if err := w.writeDocument(documentSize{size.services, size.services, 1}, clusterRegion, size.servers); err != nil {
		return nil, err
	}
	for _, data := range w.records {
		if _, err := c.log.Append(context.Background(), slopeStream, data); err != nil {
			return nil, errors.Trace(err)
		}
	}
	for _, vm := range c.directory().VMs {
		self := fleet.Member{VM: vm.ID, Incarnation: 1}
		n := &clusterNode{self: self, core: core.New(core.Config{
			Self: self, Region: vm.Region, Zone: vm.Zone, Stream: slopeStream, RootKey: w.state.RootKey(), Seed: uint64(len(c.nodes)),
			ListSettleTime: 300 * time.Millisecond,
		})}
		c.nodes = append(c.nodes, n)
		c.byID[vm.ID] = n
		n.core.SetDirectory(c.now, c.directory()) // each VM has its own copy, as in separate processes
	}
	c.run(clusterSettleTime)
	for _, n := range c.nodes {
		if n.core.Index() == nil {
			return nil, errors.Errorf("%s has no document after %s", n.self.VM, clusterSettleTime)
		}
		for _, id := range n.core.WantedShards() {
			if _, known := n.core.Shards().View(id); !known {
				return nil, errors.Errorf("%s knows no owner of %s after %s", n.self.VM, id, clusterSettleTime)
			}
		}
	}
	return c, nil
}

func (c *cluster) directory() *fleet.Directory {
	var vms []fleet.VM
	for i := range c.size.vms {
		id := fleet.VMID(fmt.Sprintf("vm-%03d", i))
		vms = append(vms, fleet.VM{ID: id, Addr: string(id), Region: clusterRegion, Zone: clusterZone(i), State: fleet.StateLive})
	}
	var servers []fleet.Server
	for k := range c.size.services {
		for i := range c.size.servers {
			servers = append(servers, fleet.Server{
				ID: fleet.ServerID(fmt.Sprintf("%s-%04d", serviceName(k), i)), Service: serviceName(k), Addr: "127.0.0.1:1",
				Region: clusterRegion, Zone: clusterZone(i), State: fleet.StateLive,
			})
		}
	}
	return fleet.NewDirectory(1, vms, servers)
}

func clusterZone(i int) fleet.Zone { return fleet.Zone(fmt.Sprintf("north-%d", i%2+1)) }

// run advances the simulated clock by d.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.now, c.clock = c.now.Add(clusterTick), c.clock.Add(clusterTick)
		for _, n := range c.nodes {
			c.step(n)
		}
		c.advanceLoad()
	}
}

func (c *cluster) step(n *clusterNode) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		if message, err := wire.Decode(m.frame); err == nil {
			n.core.Step(c.now, m.from, message)
		}
	}
	c.serveLog(n)
	n.core.Tick(c.now)
	c.drainOutputs(n)
}

// serveLog performs the reads and appends of the configuration log that the node requests.
func (c *cluster) serveLog(n *clusterNode) {
	ctx := context.Background()
	config := n.core.Config()
	if n.read == nil {
		if read, wanted := config.NextRead(c.now); wanted {
			n.read, n.readDeadline = &read, c.now.Add(read.Wait)
		}
	}
	if n.read != nil {
		batch, err := c.log.Read(ctx, slopeStream, n.read.From, n.read.MaxBytes, false)
		if err == nil && (len(batch.Records) > 0 || c.now >= n.readDeadline) {
			n.read = nil
			config.ReadCompleted(c.now, batch)
			n.core.Settle(c.now)
		}
	}
	if job, wanted := config.NextAppend(c.now); wanted {
		if offset, err := c.log.Append(ctx, slopeStream, job.Data); err == nil {
			config.AppendCompleted(c.now, job.ID, offset)
			n.core.Settle(c.now)
		}
	}
}

// drainOutputs sends the node's messages, starts the work that got a slot and submits the
// requests whose key was reserved.
func (c *cluster) drainOutputs(n *clusterNode) {
	for _, e := range n.core.Outbox() {
		frame, err := wire.Encode(e.Message)
		to := c.byID[e.To]
		if err != nil || to == nil {
			continue
		}
		c.frames, c.bytes = c.frames+1, c.bytes+len(frame)
		c.bytesByKind[e.Message.Kind()] += len(frame)
		to.inbox = append(to.inbox, clusterMessage{n.self, frame})
	}
	for _, d := range n.core.WorkDecisions() {
		c.startWork(n, d)
	}
	for _, d := range n.core.ReserveDecisions() {
		service := c.pendingKeys[d.Reservation]
		delete(c.pendingKeys, d.Reservation)
		if d.Verdict == keys.VerdictRun {
			c.submit(n, service, d.Reservation)
		}
	}
	n.core.Events()
}

func (c *cluster) startWork(n *clusterNode, d pool.Decision) {
	if d.Code != result.OK {
		c.finishReservation(n, d.Work, keys.FinishNotRun)
		return
	}
	const shortest, spread = 20 * time.Millisecond, 40 // spread in milliseconds
	c.started++
	end := c.now.Add((shortest + time.Duration(c.rng.IntN(spread))*time.Millisecond).Round(clusterTick))
	c.running[end] = append(c.running[end], runningWork{n, d.Work})
}

// advanceLoad ends the work that is due and submits new work to random VMs.
func (c *cluster) advanceLoad() {
	for _, r := range c.running[c.now] {
		r.node.core.End(c.now, r.id, pool.End{State: pool.EndOK, Duration: 40 * time.Millisecond})
		c.finishReservation(r.node, r.id, keys.FinishDone)
		c.drainOutputs(r.node)
	}
	delete(c.running, c.now)
	for c.dueRequests += float64(c.size.rate) * clusterTick.Seconds(); c.dueRequests >= 1; c.dueRequests-- {
		n := c.nodes[c.rng.IntN(len(c.nodes))]
		k := c.rng.IntN(c.size.services)
		if c.submitted++; c.submitted%c.size.rate >= c.size.keyed {
			c.submit(n, k, 0)
			c.drainOutputs(n)
			continue
		}
		c.lastReserveID++
		c.pendingKeys[c.lastReserveID] = k
		scope := keys.Scope{Workspace: clusterWorkspace, Service: serviceName(k), Key: fmt.Sprintf("key-%d", c.lastReserveID)}
		n.core.Reserve(c.now, c.lastReserveID, clusterWorkspace, scope, uint64(c.lastReserveID), c.now.Add(clusterDeadline))
		c.drainOutputs(n)
	}
}

func (c *cluster) submit(n *clusterNode, service int, reservation keys.ReservationID) {
	c.lastWorkID++
	if reservation != 0 {
		c.reservations[c.lastWorkID] = reservation
	}
	d, decided := n.core.Submit(c.now, pool.Work{
		ID: c.lastWorkID, Service: serviceName(service), Route: fmt.Sprintf("route-%06d", service), Length: document.LengthLearned, Weight: 1,
		Deadline: c.now.Add(clusterDeadline), Idempotent: reservation == 0,
	})
	if decided {
		c.startWork(n, d)
	}
}

// finishReservation ends the key reservation of a request, if it has one.
func (c *cluster) finishReservation(n *clusterNode, id pool.WorkID, state keys.FinishResult) {
	reservation, ok := c.reservations[id]
	if !ok {
		return
	}
	delete(c.reservations, id)
	var response *keys.StoredResponse
	if state == keys.FinishDone {
		response = &keys.StoredResponse{Status: 200, Body: make([]byte, clusterResponseBytes)}
	}
	n.core.Finish(c.now, reservation, state, response)
}
