package balance

import (
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// Distances of a server from this VM.
type distance uint8

const (
	inZone distance = iota
	inRegion
	otherRegion
)

// String returns the distance's name in logs.
func (d distance) String() string { return [...]string{"zone", "region", "far"}[d] }

// server is one row of the table of backend servers.
type server struct {
	entry    registry.Entry
	distance distance
	health   belief
	pace     float64 // duration of its work over what is usual for the route
	paceAt   fleet.Time

	local       int // this VM's requests in flight
	remote      int // those of other VMs, by their last reports
	elsewhere   int // those of other zones' VMs, by the last digest
	elsewhereAt fleet.Time
	seen        fleet.Time // last outcome that a VM of the region saw; 0 for none
	served      fleet.Time // last success that a VM of the region saw; 0 for none
	used        fleet.Time
	tried       fleet.Time // last trial by this VM
	warmUntil   fleet.Time
	fullUntil   fleet.Time // the server shed a request
	leftUntil   fleet.Time // the server said that it is leaving
	cutUntil    fleet.Time // no connection from this VM
	cuts        int        // failed connections in a row
}

// attempt is a request in flight at a server.
type attempt struct {
	server  fleet.ServerID
	service fleet.Service
	route   string
	request string // its id, for events
	at      fleet.Time
	final   bool // a failure is not repeated elsewhere
	late    bool
}

// service is one row of the table of services.
type service struct {
	servers  map[fleet.ServerID]*server
	repeats  repeats
	failures ratio                // of the requests of this zone's VMs
	zones    map[fleet.Zone]share // failures that other zones saw
}

// peer is one row of the table of other VMs.
type peer struct {
	loads map[fleet.ServerID]int
	heard fleet.Time
}

// route is what is known of a route's requests.
type route struct {
	took  smooth // duration at healthy servers
	bytes smooth // of an exchange, in KB
	split float64
}

// Balancer is the deterministic state of one VM.
type Balancer struct {
	cfg      Config
	rng      rng
	servers  map[fleet.ServerID]*server
	services map[fleet.Service]*service
	peers    map[fleet.VMID]*peer
	routes   map[string]*route
	attempts map[pool.WorkID]*attempt
	covered  map[fleet.Zone]bool // zones whose servers this zone's VMs keep in use
	vms      int                 // VMs of the fleet, as far as known

	zone, region outlet
	events       []fleet.Event
}

// New returns a balancer that knows no servers.
func New(c Config) *Balancer {
	return &Balancer{
		cfg: c, rng: rng(c.Seed | 1),
		servers:  make(map[fleet.ServerID]*server),
		services: make(map[fleet.Service]*service),
		peers:    make(map[fleet.VMID]*peer),
		routes:   make(map[string]*route),
		attempts: make(map[pool.WorkID]*attempt),
		zone:     outlet{every: zoneReport, idle: zoneIdle},
		region:   outlet{every: regionReport, idle: regionIdle},
		vms:      1,
	}
}

// Configure replaces the prices and the repeat budget.
func (b *Balancer) Configure(p Prices, budget Budget) { b.cfg.Prices, b.cfg.Budget = p, budget }

// SetVMs sets the number of VMs that share the fleet's repeat budget.
func (b *Balancer) SetVMs(n int) { b.vms = max(n, 1) }

// SetCovered sets the zones whose servers this zone's VMs keep in use besides their
// own: those in which no VM is heard.
func (b *Balancer) SetCovered(zones map[fleet.Zone]bool) { b.covered = zones }

// Apply takes changes of the registry over.
func (b *Balancer) Apply(now fleet.Time, changes []registry.Change) {
	for _, c := range changes {
		if c.Entry == nil {
			b.remove(c.ID)
			continue
		}
		b.put(now, *c.Entry)
	}
}

func (b *Balancer) remove(id fleet.ServerID) {
	s := b.servers[id]
	if s == nil {
		return
	}
	delete(b.servers, id)
	delete(b.service(s.entry.Server.Service).servers, id)
}

func (b *Balancer) put(now fleet.Time, e registry.Entry) {
	old := b.servers[e.Server.ID]
	if old != nil && (old.entry.Born != e.Born || old.entry.Server.Service != e.Server.Service || old.entry.Server.Addr != e.Server.Addr) {
		b.remove(e.Server.ID) // a new incarnation has no history
		old = nil
	}
	if old != nil {
		old.entry = e
		return
	}
	s := &server{
		entry: e, distance: b.distance(e.Server), health: belief{usual, now}, pace: 1,
		warmUntil: now.Add(e.Warmup), used: now,
	}
	b.servers[e.Server.ID] = s
	b.service(e.Server.Service).servers[e.Server.ID] = s
	for _, p := range b.peers {
		s.remote += p.loads[e.Server.ID]
	}
}

func (b *Balancer) distance(s fleet.Server) distance {
	switch {
	case s.Zone == b.cfg.Zone:
		return inZone
	case s.Region == b.cfg.Region:
		return inRegion
	}
	return otherRegion
}

func (b *Balancer) service(name fleet.Service) *service {
	s := b.services[name]
	if s == nil {
		s = &service{servers: make(map[fleet.ServerID]*server)}
		b.services[name] = s
	}
	return s
}

func (b *Balancer) route(name string) *route {
	r := b.routes[name]
	if r == nil {
		r = &route{split: b.rng.float()}
		b.routes[name] = r
	}
	return r
}

// usualTime is assumed for a route of which nothing is known.
const usualTime = 200 * time.Millisecond

func (r *route) time() time.Duration {
	if r.took.n == 0 {
		return usualTime
	}
	return time.Duration(r.took.mean * float64(time.Second))
}

// load returns the requests at the server as far as this VM knows.
func (s *server) load() int { return s.local + max(s.remote, s.elsewhere) }

// rng is a small seeded generator, so that the same calls give the same choices.
type rng uint64

func (r *rng) next() uint64 {
	// SplitMix64 (Steele, Lea and Flood, 2014).
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (r *rng) float() float64 { return float64(r.next()>>11) / (1 << 53) }
