package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// distance is how far a server is from this VM.
type distance uint8

const (
	inZone distance = iota
	inRegion
	otherRegion

	distances = 3 // number of distances
)

// String returns the distance's name in events.
func (d distance) String() string { return [...]string{"zone", "region", "far"}[d] }

// server is the state of one backend server.
type server struct {
	entry           registry.Entry
	distance        distance
	health          healthEstimate
	slowdown        float64 // duration of its requests over the route's average
	slowdownUpdated fleet.Time

	local             int // this VM's requests in flight
	remote            int // requests in flight of other VMs, by their last reports
	previousLoad      int // requests in flight of the VM whose report is being applied, by its report before
	digestLoad        int // requests in flight from outside this VM, by the last digest of the server's zone
	digestLoadUpdated fleet.Time
	lastOutcome       fleet.Time // last outcome known to this VM; 0 for none
	lastSuccess       fleet.Time // last success known to this VM; 0 for none
	lastUsed          fleet.Time
	lastTrial         fleet.Time // last trial request of this VM
	warmUntil         fleet.Time
	shedUntil         fleet.Time                // counts as full after it shed a request
	leavingUntil      fleet.Time                // not used after it announced its shutdown
	unreachableUntil  fleet.Time                // back-off after a failed connection of this VM
	connectFailures   int                       // consecutive
	pathFaults        map[fleet.VMID]fleet.Time // last path outcome of each VM with a doubtful path to the server
	staggerShare      float64                   // in [0, 1), differs between VMs
	notices           notices
}

// attempt is a request in flight at a server.
type attempt struct {
	server  fleet.ServerID
	service fleet.Service
	route   string
	request string     // its id, for events
	started fleet.Time // when the request is sent
	final   bool       // a failure is not retried
	late    bool

	incarnation int64      // of the server
	usedBefore  fleet.Time // the server's lastUsed before the attempt
}

// service is the state of one service.
type service struct {
	servers   map[fleet.ServerID]*server
	sorted    *[distances][]*server // servers by distance, sorted by ID; nil after a change
	retries   retryWindow
	failures  decayingRatio            // of requests through this zone's VMs
	zoneStats map[fleet.Zone]zoneStats // failures reported by other zones
}

// peer is the state of another VM.
type peer struct {
	zone       fleet.Zone
	loads      []Load
	lastReport fleet.Time
}

// route holds statistics of a route's requests.
type route struct {
	serviceTime     ewma    // at healthy servers
	bytes           ewma    // of request and response bodies, in KB
	backendPosition float64 // argument of the latest RouteMatch.SelectBackend; starts at random
}

// Balancer is the load-balancing state of one VM.
type Balancer struct {
	cfg          Config
	rng          rng
	servers      map[fleet.ServerID]*server
	services     map[fleet.Service]*service
	peers        map[fleet.VMID]*peer
	routes       map[string]*route
	attempts     map[pool.WorkID]*attempt
	coveredZones map[fleet.Zone]bool               // other zones whose servers this zone's VMs keep in use
	vms          int                               // known VMs of the fleet
	departed     map[fleet.ServerID]departedServer // servers with notices that are no longer registered

	limitedStarts int                         // attempts of this VM at servers that named a rate limit
	noticeChanges map[fleet.ServerID]struct{} // servers with changes of their notices that other VMs are told

	zone, region reportQueue
	events       []fleet.Event
}

// New returns a balancer without servers.
func New(c Config) *Balancer {
	return &Balancer{
		cfg: c, rng: rng(c.Seed | 1),
		servers:       make(map[fleet.ServerID]*server),
		services:      make(map[fleet.Service]*service),
		peers:         make(map[fleet.VMID]*peer),
		routes:        make(map[string]*route),
		noticeChanges: make(map[fleet.ServerID]struct{}),
		attempts:      make(map[pool.WorkID]*attempt),
		departed:      make(map[fleet.ServerID]departedServer),
		zone:          reportQueue{delay: zoneReportDelay, maxInterval: zoneReportMaxInterval},
		region:        reportQueue{delay: regionReportDelay, maxInterval: regionReportMaxInterval},
		vms:           1,
	}
}

// Configure replaces the prices and the retry budget.
func (b *Balancer) Configure(p Prices, budget RetryBudget) { b.cfg.Prices, b.cfg.Budget = p, budget }

// SetVMs sets the number of VMs that share the fleet's retry budget.
func (b *Balancer) SetVMs(n int) { b.vms = max(n, 1) }

// SetCoveredZones sets the other zones whose servers this zone's VMs keep in use: those without
// a live VM.
func (b *Balancer) SetCoveredZones(zones map[fleet.Zone]bool) { b.coveredZones = zones }

// Apply applies changes of the registry.
func (b *Balancer) Apply(now fleet.Time, changes []registry.Change) {
	for _, c := range changes {
		if c.Entry == nil {
			b.depart(now, c.ID)
			continue
		}
		b.update(now, *c.Entry)
	}
}

func (b *Balancer) remove(id fleet.ServerID) {
	s := b.servers[id]
	if s == nil {
		return
	}
	delete(b.servers, id)
	svc := b.service(s.entry.Server.Service)
	delete(svc.servers, id)
	svc.sorted = nil
}

// byDistance returns the service's servers by distance. The order does not depend on the order of
// the map, so that choices can be reproduced.
func (s *service) byDistance() *[distances][]*server {
	if s.sorted == nil {
		s.sorted = new([distances][]*server)
		for _, srv := range s.servers {
			s.sorted[srv.distance] = append(s.sorted[srv.distance], srv)
		}
		for _, group := range s.sorted {
			slices.SortFunc(group, func(x, y *server) int { return cmp.Compare(x.entry.Server.ID, y.entry.Server.ID) })
		}
	}
	return s.sorted
}

func (b *Balancer) update(now fleet.Time, e registry.Entry) {
	old := b.servers[e.Server.ID]
	if old != nil && (old.entry.Incarnation != e.Incarnation || old.entry.Server.Service != e.Server.Service || old.entry.Server.Addr != e.Server.Addr) {
		b.remove(e.Server.ID) // a new incarnation starts without history
		old = nil
	}
	if old != nil {
		old.entry = e
		return
	}
	s := &server{
		entry: e, distance: b.distance(e.Server), health: healthEstimate{baselineRisk, now}, slowdown: 1,
		warmUntil: now.Add(e.Warmup), lastUsed: now,
		staggerShare: float64(xxhash.Sum64String(string(b.cfg.Self)+"/"+string(e.Server.ID))>>11) / (1 << 53),
	}
	b.returned(s)
	b.servers[e.Server.ID] = s
	svc := b.service(e.Server.Service)
	svc.servers[e.Server.ID] = s
	svc.sorted = nil
	for _, p := range b.peers {
		for _, l := range p.loads {
			if l.Server == e.Server.ID {
				s.remote += l.InFlight
			}
		}
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
		r = &route{backendPosition: b.rng.float()}
		b.routes[name] = r
	}
	return r
}

// defaultServiceTime is assumed for a route without completed requests.
const defaultServiceTime = 200 * time.Millisecond

func (r *route) expectedTime() time.Duration {
	if r.serviceTime.count == 0 {
		return defaultServiceTime
	}
	return time.Duration(r.serviceTime.mean * float64(time.Second))
}

// load returns the requests in flight at the server that are known to this VM.
func (s *server) load() int { return s.local + max(s.remote, s.digestLoad) }

// rng is a seeded random number generator, which keeps choices reproducible.
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
