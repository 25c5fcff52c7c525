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

// Policy says how the slots of a pool are shared between VMs.
type Policy string

// Policies. PolicyCredits is the product; the others exist for comparison.
const (
	PolicyCredits          Policy = "credits"
	PolicyBlind            Policy = "blind"             // dispatch at once, retry after a shed
	PolicyStatic           Policy = "static"            // each VM its allotment of slots
	PolicyRoundRobin       Policy = "round-robin"       // no ejection
	PolicyLeastOutstanding Policy = "least-outstanding" // fewest own requests, no ejection
	PolicyLocalEjection    Policy = "local-ejection"    // each VM ejects alone
)

// coordinated reports whether the policy uses the coordinator's ejections.
func (p Policy) coordinated() bool {
	return p == PolicyCredits || p == PolicyBlind || p == PolicyStatic
}

// pauseGap is the time between two calls after which this process counts as having
// been paused: Tick comes about every 10 ms.
const pauseGap = 500 * time.Millisecond

// Config holds what Pools needs from its process.
type Config struct {
	Self      fleet.Member
	Region    fleet.Region
	Zone      fleet.Zone
	Seed      uint64
	Authority shard.Authority
	Policy    Policy // default PolicyCredits
}

// Pools is the pool module of one VM: a client of every pool it uses and the
// coordinator of the pools whose shard it owns. It is not safe for concurrent use.
type Pools struct {
	cfg      Config
	rng      *rand.Rand
	now      fleet.Time
	epoch    uint64
	dir      *fleet.Directory
	doc      *document.Index
	services map[fleet.Service]document.Service

	pools   map[fleet.PoolID]*pool
	list    []*pool // sorted by pool ID
	budgets map[fleet.Service]*budget
	flights map[WorkID]*flight
	queued  map[WorkID]*item
	spareFl []*flight

	outbox    []fleet.Envelope
	local     []fleet.Message
	draining  bool // local messages are being delivered
	events    []fleet.Event
	decisions []Decision
	probes    []Probe
}

// New returns the module without directory and document; Submit refuses until both are set.
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
		flights:  map[WorkID]*flight{},
		queued:   map[WorkID]*item{},
	}
}

// SetDirectory takes a new reading of the platform's list.
func (p *Pools) SetDirectory(now fleet.Time, dir *fleet.Directory) {
	p.enter(now)
	p.dir = dir
	p.rebuild()
	p.deliver()
}

// SetDocument takes a new configuration into force.
func (p *Pools) SetDocument(now fleet.Time, doc *document.Index) {
	p.enter(now)
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

// rebuild brings the tables in line with directory and document.
func (p *Pools) rebuild() {
	if p.dir == nil || p.doc == nil {
		return
	}
	for _, id := range p.dir.AllPools() {
		if s, ok := p.services[id.Service]; ok {
			p.ensure(id).service = s
		}
	}
	for _, pl := range p.list {
		if s, ok := p.services[pl.id.Service]; ok {
			pl.service = s
		}
		pl.setVMs(p.dir.RegionVMs(pl.id.Region))
		pl.setServers(p.now, p.dir.Pool(pl.id))
	}
}

func (p *Pools) ensure(id fleet.PoolID) *pool {
	pl := p.pools[id]
	if pl == nil {
		pl = &pool{
			p: p, id: id, shard: shard.PoolShard(id), service: p.services[id.Service],
			byRef: map[uint32]int32{}, byID: map[fleet.ServerID]int32{},
			routes: map[uint32]*route{}, names: map[string]*route{},
		}
		pl.client.init(pl)
		p.pools[id] = pl
		p.list = append(p.list, pl)
		slices.SortFunc(p.list, func(a, b *pool) int {
			return cmp.Or(cmp.Compare(a.id.Service, b.id.Service), cmp.Compare(a.id.Region, b.id.Region))
		})
	}
	return pl
}

// enter starts every call: it notices that the process was paused.
func (p *Pools) enter(now fleet.Time) {
	gap := now.Sub(p.now)
	first := p.now == 0
	p.now = max(p.now, now)
	if first || gap <= pauseGap {
		return
	}
	for _, pl := range p.list {
		if pl.coord != nil {
			pl.coord.resumed(now, gap)
		}
	}
}

// Tick advances timers. It is called about every 10 ms.
func (p *Pools) Tick(now fleet.Time) {
	p.enter(now)
	for _, pl := range p.list {
		if pl.coord != nil {
			pl.coord.tick(now)
		}
		pl.client.tick(now)
	}
	p.deliver()
}

// Step handles a message from another VM.
func (p *Pools) Step(now fleet.Time, from fleet.Member, m fleet.Message) {
	p.enter(now)
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
		if pl.coord.acting() {
			pl.coord.onSync(p.now, from, m)
			return
		}
	}
	if view, ok := p.cfg.Authority.View(shard.PoolShard(m.Pool)); ok {
		p.send(from.VM, &Redirect{m.Pool, view.Version, view.Owner, view.Copy})
	}
}

// send queues a message; one to the own VM is delivered at the end of the call.
func (p *Pools) send(to fleet.VMID, m fleet.Message) {
	if to == p.cfg.Self.VM {
		p.local = append(p.local, m)
		return
	}
	p.outbox = append(p.outbox, fleet.Envelope{To: to, Message: m})
}

func (p *Pools) deliver() {
	if p.draining {
		return
	}
	p.draining = true
	for len(p.local) > 0 {
		m := p.local[0]
		p.local = p.local[1:]
		p.handle(p.cfg.Self, m)
	}
	p.local = nil
	p.draining = false
}

// Outbox returns and clears the messages to send.
func (p *Pools) Outbox() []fleet.Envelope {
	out := p.outbox
	p.outbox = nil
	return out
}

// Events returns and clears the journal's new events.
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

// Kinds of events.
const (
	EventEjected      fleet.EventKind = "server_ejected"
	EventReadmitted   fleet.EventKind = "server_readmitted"
	EventPathFault    fleet.EventKind = "path_fault"
	EventFloorRefused fleet.EventKind = "floor_refused_ejection"
	EventFloorReturn  fleet.EventKind = "floor_returned_server"
	EventBudget       fleet.EventKind = "retry_budget_spent"
	EventCutoff       fleet.EventKind = "admission_cutoff"
	EventCoordinator  fleet.EventKind = "pool_coordinator"
	EventAway         fleet.EventKind = "pool_coordinator_lost"
	EventDraining     fleet.EventKind = "server_draining"
)

// eventSpacing limits repeated events of one kind about one thing.
const eventSpacing = 5 * time.Second

func (p *Pools) event(kind fleet.EventKind, id fleet.PoolID, server fleet.ServerID, reason string, detail map[string]string) {
	if detail == nil {
		detail = map[string]string{}
	}
	if id.Region != "" {
		detail["pool"] = id.String()
	}
	p.events = append(p.events, fleet.Event{Kind: kind, Service: id.Service, Server: server, Reason: reason, Detail: detail})
}
