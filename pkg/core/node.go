// Package core combines the deterministic modules of one entry VM: configuration log,
// shard ownership, idempotency keys and pools. It uses no clock, socket, goroutine,
// environment variable or global random number generator. Time and messages are passed
// in, so that a test or benchmark can run many nodes in one process.
package core

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Ranges of message kinds by module, as documented in package fleet.
const (
	kindsPerModule = 100
	moduleConfig   = 1
	moduleShard    = 2
	moduleKeys     = 3
	modulePool     = 4

	// maxLocalRounds bounds the rounds of message exchange between the VM's own modules
	// in one call. The modules need two rounds; further messages wait for the next tick.
	maxLocalRounds = 16
)

// Config holds the identity and parameters of the process.
type Config struct {
	Self    fleet.Member
	Region  fleet.Region
	Zone    fleet.Zone
	Stream  string // name of the configuration's stream in the log service
	RootKey []byte // Ed25519 public key that the first record must carry
	Seed    uint64
	Policy  pool.Policy // how slots are shared; empty selects the default policy

	// ListSettleTime is how long a new process waits before it claims shards. It must
	// exceed the lag of the platform's list. Zero selects the default of package shard.
	ListSettleTime time.Duration
}

// Node is the decision state of one entry VM. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	dir         *fleet.Directory
	index       *document.Index
	config      *configlog.Node
	shards      *shard.Manager
	keys        *keys.Keys
	pools       *pool.Pools
	openTracker *openTracker
	wanted      []shard.ID

	outbox []fleet.Envelope
	events []fleet.Event
}

// New returns a node without a directory and a document.
func New(cfg Config) *Node {
	n := &Node{cfg: cfg}
	n.config = configlog.New(configlog.Config{
		Stream: cfg.Stream, RootKey: cfg.RootKey, Self: cfg.Self, Region: cfg.Region, Seed: cfg.Seed,
	})
	n.openTracker = newOpenTracker(n.config)
	replicas := make(map[shard.Class]shard.Replica)
	n.shards = shard.New(shard.Config{
		Self: cfg.Self, Region: cfg.Region, Zone: cfg.Zone, Replicas: replicas, ListSettleTime: cfg.ListSettleTime,
	})
	n.keys = keys.New(keys.Config{
		Self: cfg.Self, Region: cfg.Region, Authority: n.shards, Membership: n.shards,
		Opened: n.openTracker.state,
	})
	n.pools = pool.New(pool.Config{
		Self: cfg.Self, Region: cfg.Region, Zone: cfg.Zone, Seed: cfg.Seed, Authority: n.shards, Policy: cfg.Policy,
	})
	replicas[shard.ClassKeys] = keysReplica{n.keys, n.openTracker}
	replicas[shard.ClassPool] = n.pools
	return n
}

// SetDirectory applies a version of the platform's list. It ignores a generation older
// than the current one.
func (n *Node) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	if n.dir != nil && dir.Generation < n.dir.Generation {
		return
	}
	n.dir = dir
	n.config.SetDirectory(now, dir)
	n.shards.SetDirectory(now, dir)
	n.keys.SetDirectory(now, dir)
	n.pools.SetDirectory(now, dir)
	n.updateWantedShards(now)
	n.settle(now)
}

// RecordIncarnation records the process of a VM that a link's hello announced.
func (n *Node) RecordIncarnation(now fleet.Time, member fleet.Member) {
	n.shards.RecordIncarnation(now, member)
}

// Tick runs the time-dependent work of all modules. It should be called every 10 ms.
func (n *Node) Tick(now fleet.Time) {
	n.config.Tick(now)
	n.shards.Tick(now)
	n.keys.Tick(now)
	n.pools.Tick(now)
	n.settle(now)
}

// Step handles a message from another VM.
func (n *Node) Step(now fleet.Time, from fleet.Member, m fleet.Message) {
	n.dispatch(now, from, m)
	n.settle(now)
}

func (n *Node) dispatch(now fleet.Time, from fleet.Member, m fleet.Message) {
	switch m.Kind() / kindsPerModule {
	case moduleConfig:
		n.config.Step(now, from, m)
	case moduleShard:
		n.shards.Step(now, from, m)
	case moduleKeys:
		n.keys.Step(now, from, m)
	case modulePool:
		n.pools.Step(now, from, m)
	}
}

// settle passes the modules' output to each other until none is left, and collects
// messages to other VMs and events.
func (n *Node) settle(now fleet.Time) {
	for range maxLocalRounds {
		n.applyDocument(now)
		n.requestOpenings()
		if !n.deliverLocal(now) {
			break
		}
	}
	n.events = append(n.events, n.config.Events()...)
	n.events = append(n.events, n.shards.Events()...)
	n.events = append(n.events, n.keys.Events()...)
	n.events = append(n.events, n.pools.Events()...)
}

func (n *Node) applyDocument(now fleet.Time) {
	index := n.config.Index()
	if index == n.index {
		return
	}
	n.index = index
	n.keys.SetDocument(now, index)
	n.pools.SetDocument(now, index)
	n.updateWantedShards(now)
}

func (n *Node) requestOpenings() {
	for _, id := range n.keys.OpenRequests() {
		n.openTracker.request(id)
	}
}

// deliverLocal delivers messages to this VM itself and queues those to other VMs. It
// reports whether there was a local message.
func (n *Node) deliverLocal(now fleet.Time) bool {
	local := false
	for _, out := range [][]fleet.Envelope{n.config.Outbox(), n.shards.Outbox(), n.keys.Outbox(), n.pools.Outbox()} {
		for _, e := range out {
			if e.To == "" || e.To == n.cfg.Self.VM {
				n.dispatch(now, n.cfg.Self, e.Message)
				local = true
				continue
			}
			n.outbox = append(n.outbox, e)
		}
	}
	return local
}

// updateWantedShards sets the shards that this region needs: its key shards and one shard
// for each pool of a service in the document.
func (n *Node) updateWantedShards(now fleet.Time) {
	if n.dir == nil || n.index == nil {
		return
	}
	ids := n.keys.Shards(n.cfg.Region)
	for _, p := range n.dir.AllPools() {
		if _, known := n.index.Service(p.Service); known && p.Region == n.cfg.Region {
			ids = append(ids, shard.PoolShard(p))
		}
	}
	n.wanted = ids
	n.shards.SetWantedShards(now, ids)
}

// Outbox returns and clears the messages to other VMs.
func (n *Node) Outbox() []fleet.Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// Events returns and clears the events since the last call.
func (n *Node) Events() []fleet.Event {
	out := n.events
	n.events = nil
	return out
}
