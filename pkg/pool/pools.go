package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/shard"
)

// Policy selects how the slots of a pool are shared between VMs.
type Policy string

// Policies. PolicyCredits is the default; the others exist for comparison.
const (
	PolicyCredits          Policy = "credits"
	PolicyNoCredits        Policy = "blind"             // dispatch without credits, retry when the server sheds
	PolicyStatic           Policy = "static"            // each VM has a fixed share of the slots
	PolicyRoundRobin       Policy = "round-robin"       // no ejection
	PolicyLeastOutstanding Policy = "least-outstanding" // fewest own requests, no ejection
	PolicyLocalEjection    Policy = "local-ejection"    // each VM ejects on its own
)

// coordinated reports whether the policy uses the coordinator's ejections.
func (p Policy) coordinated() bool {
	return p == PolicyCredits || p == PolicyNoCredits || p == PolicyStatic
}

// pauseThreshold is the time between two calls after which the process is assumed to have
// been paused. Tick is called about every 10 ms.
const pauseThreshold = 500 * time.Millisecond

// Config holds the configuration of Pools.
type Config struct {
	Self      fleet.Member
	Region    fleet.Region
	Zone      fleet.Zone
	Seed      uint64
	Authority shard.Authority
	Policy    Policy // default PolicyCredits
}

// Pools is the pool module of one VM: a client of every pool that it uses and the
// coordinator of the pools whose shards it owns. It is not safe for concurrent use.
type Pools struct {
	cfg      Config
	rng      *rand.Rand
	now      fleet.Time
	epoch    uint64 // number of coordinator restarts; the low bits of a coordinator's epoch
	dir      *fleet.Directory
	doc      *document.Index
	services map[fleet.Service]document.Service

	pools        map[fleet.PoolID]*pool
	poolList     []*pool // sorted by pool ID
	budgets      map[fleet.Service]*budget
	attempts     map[WorkID]*attempt
	queued       map[WorkID]*queueItem
	freeAttempts []*attempt

	outbox       []fleet.Envelope
	selfMessages []fleet.Message
	delivering   bool // deliver is running
	events       []fleet.Event
	decisions    []Decision
	probes       []Probe
}

// New returns Pools without a directory and a document. Submit refuses work until both are set.
func New(cfg Config) *Pools {
	if cfg.Policy == "" {
		cfg.Policy = PolicyCredits
	}
	return &Pools{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Self.Incarnation))),
		services: map[fleet.Service]document.Service{},
		pools:    map[fleet.PoolID]*pool{},
		budgets:  map[fleet.Service]*budget{},
		attempts: map[WorkID]*attempt{},
		queued:   map[WorkID]*queueItem{},
	}
}

// SetDirectory applies a new version of the platform's list of VMs and servers.
func (p *Pools) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	p.beginCall(now)
	p.dir = dir
	p.rebuild()
	p.deliver()
}

// SetDocument applies a new configuration.
func (p *Pools) SetDocument(now fleet.Time, doc *document.Index) {
	p.beginCall(now)
	p.doc = doc
	clear(p.services)
	for _, section := range doc.Doc.Sections {
		for name, s := range section.Services {
			p.services[name] = s
		}
	}
	p.rebuild()
	p.deliver()
}

// rebuild updates all pools from the directory and the document.
func (p *Pools) rebuild() {
	if p.dir == nil || p.doc == nil {
		return
	}
	for _, id := range p.dir.AllPools() {
		if s, ok := p.services[id.Service]; ok {
			p.poolFor(id).service = s
		}
	}
	for _, pl := range p.poolList {
		if s, ok := p.services[pl.id.Service]; ok {
			pl.service = s
		}
		pl.setVMs(p.dir.RegionVMs(pl.id.Region))
		pl.setServers(p.now, p.dir.Pool(pl.id))
	}
}

// poolFor returns the pool, adding it if absent.
func (p *Pools) poolFor(id fleet.PoolID) *pool {
	pl := p.pools[id]
	if pl == nil {
		pl = &pool{
			p: p, id: id, shard: shard.PoolShard(id), service: p.services[id.Service],
			byRef: map[uint32]int32{}, byID: map[fleet.ServerID]int32{},
			routesByRef: map[uint32]*route{}, routesByName: map[string]*route{},
		}
		pl.client.init(pl)
		p.pools[id] = pl
		p.poolList = append(p.poolList, pl)
		slices.SortFunc(p.poolList, func(a, b *pool) int {
			return cmp.Or(cmp.Compare(a.id.Service, b.id.Service), cmp.Compare(a.id.Region, b.id.Region))
		})
	}
	return pl
}

// beginCall must be called first by every exported method that has a now parameter. It
// detects pauses of the process.
func (p *Pools) beginCall(now fleet.Time) {
	gap := now.Sub(p.now)
	first := p.now == 0
	p.now = max(p.now, now)
	if first || gap <= pauseThreshold {
		return
	}
	for _, pl := range p.poolList {
		if pl.coord != nil {
			pl.coord.afterPause(now, gap)
		}
	}
}

// Tick runs periodic work. It must be called about every 10 ms.
func (p *Pools) Tick(now fleet.Time) {
	p.beginCall(now)
	for _, pl := range p.poolList {
		if pl.coord != nil {
			pl.coord.tick(now)
		}
		pl.client.tick(now)
	}
	p.deliver()
}

// Step handles a message from another VM.
func (p *Pools) Step(now fleet.Time, from fleet.Member, m fleet.Message) {
	p.beginCall(now)
	p.handle(from, m)
	p.deliver()
}

func (p *Pools) handle(from fleet.Member, m fleet.Message) {
	switch m := m.(type) {
	case *Sync:
		p.onSync(from, m)
	case *State:
		if pl := p.pools[m.Pool]; pl != nil {
			pl.client.onState(p.now, from, m)
		}
	case *Redirect:
		if pl := p.pools[m.Pool]; pl != nil {
			pl.client.onRedirect(m)
		}
	case *Replicate:
		p.onReplicate(from, m)
	case *ReplicateAck:
		if pl := p.pools[m.Pool]; pl != nil && pl.coord != nil {
			pl.coord.onReplicateAck(p.now, from, m)
		}
	}
}

func (p *Pools) onSync(from fleet.Member, m *Sync) {
	pl := p.pools[m.Pool]
	if pl != nil && pl.coord != nil {
		if pl.coord.active() {
			pl.coord.onSync(p.now, from, m)
			return
		}
	}
	if view, ok := p.cfg.Authority.View(shard.PoolShard(m.Pool)); ok {
		p.send(from.VM, &Redirect{m.Pool, view.Version, view.Owner, view.Copy})
	}
}

// send queues a message. A message to this VM itself is delivered at the end of the call.
func (p *Pools) send(to fleet.VMID, m fleet.Message) {
	if to == p.cfg.Self.VM {
		p.selfMessages = append(p.selfMessages, m)
		return
	}
	p.outbox = append(p.outbox, fleet.Envelope{To: to, Message: m})
}

// deliver handles the messages that this VM has sent to itself.
func (p *Pools) deliver() {
	if p.delivering {
		return
	}
	p.delivering = true
	for len(p.selfMessages) > 0 {
		m := p.selfMessages[0]
		p.selfMessages = p.selfMessages[1:]
		p.handle(p.cfg.Self, m)
	}
	p.selfMessages = nil
	p.delivering = false
}

// Outbox returns and clears the messages to send.
func (p *Pools) Outbox() []fleet.Envelope {
	out := p.outbox
	p.outbox = nil
	return out
}

// Events returns and clears the events for the journal.
func (p *Pools) Events() []fleet.Event {
	out := p.events
	p.events = nil
	return out
}

// Decisions returns and clears the decisions about queued work.
func (p *Pools) Decisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}

// Event kinds of this package.
const (
	EventEjected          fleet.EventKind = "server_ejected"
	EventReadmitted       fleet.EventKind = "server_readmitted"
	EventPathFault        fleet.EventKind = "path_fault"
	EventFloorRefused     fleet.EventKind = "floor_refused_ejection"
	EventFloorReadmitted  fleet.EventKind = "floor_returned_server"
	EventRetryBudgetSpent fleet.EventKind = "retry_budget_spent"
	EventAdmissionCutoff  fleet.EventKind = "admission_cutoff"
	EventCoordinator      fleet.EventKind = "pool_coordinator"
	EventCoordinatorLost  fleet.EventKind = "pool_coordinator_lost"
	EventDraining         fleet.EventKind = "server_draining"
)

// eventInterval is the minimum time between repeated events about the same condition.
const eventInterval = 5 * time.Second

func (p *Pools) event(kind fleet.EventKind, id fleet.PoolID, server fleet.ServerID, reason string, detail map[string]string) {
	if detail == nil {
		detail = map[string]string{}
	}
	if id.Region != "" {
		detail["pool"] = id.String()
	}
	p.events = append(p.events, fleet.Event{Kind: kind, Service: id.Service, Server: server, Reason: reason, Detail: detail})
}
