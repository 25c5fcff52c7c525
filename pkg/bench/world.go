package bench

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

const (
	section         = "bench"
	team            = "bench"
	echoHeader      = "X-Echo-Request-Id"
	workspaceHeader = "X-Workspace"
	healthPath      = "/health"
	keySlices       = 16
	// readyLimit bounds the start of a fleet.
	readyLimit = time.Minute
)

// ProductPolicy is the name of the product's own policy on the command line.
const ProductPolicy = "fulmarbeam"

// Policies lists the names that --policy takes, the product first.
var Policies = []string{ProductPolicy, string(pool.PolicyBlind), string(pool.PolicyStatic),
	string(pool.PolicyRoundRobin), string(pool.PolicyLeastOutstanding), string(pool.PolicyLocalEjection)}

func poolPolicy(name string) pool.Policy {
	if name == ProductPolicy {
		return pool.PolicyCredits
	}
	return pool.Policy(name)
}

// world is a running fleet with its stand-ins and the proxies on its paths.
type world struct {
	s         *Scenario
	seed      uint64
	fleet     *localfleet.Fleet
	watch     *watch
	direct    *standin.Backend
	directVia *faultproxy.Proxy

	mu      sync.Mutex
	proxies map[path]*faultproxy.Proxy
	cuts    []Fault
	servers map[fleet.ServerID]fleet.Server // every server that ever ran, by its row at the start
	specs   map[fleet.VMID]localfleet.VMSpec
	killed  []vmDeath
	events  []fleet.Event // of VMs that ended
	ended   []endedServer // before a restart
}

// endedServer is what a server left behind.
type endedServer struct {
	id     fleet.ServerID
	counts standin.Counts
	ledger []standin.Entry
}

type vmDeath struct {
	vm fleet.VMID
	at time.Time
}

// path is the way from a VM to a VM, or from a zone to a server. The address is part
// of it because a replaced VM or server gets a new one.
type path struct {
	fromVM   fleet.VMID // empty on the way to a server
	fromZone fleet.Zone
	toVM     fleet.VMID
	toZone   fleet.Zone
	addr     string
}

// start starts the fleet with its document in force and every server warm.
func start(ctx context.Context, s *Scenario, policy string, seed uint64) (*world, error) {
	w := &world{
		s: s, seed: seed, proxies: map[path]*faultproxy.Proxy{}, servers: map[fleet.ServerID]fleet.Server{},
		specs: map[fleet.VMID]localfleet.VMSpec{},
	}
	w.watch = newWatch(w)
	root := ed25519.NewKeyFromSeed([]byte(strings.Repeat("r", ed25519.SeedSize)))
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("b", ed25519.SeedSize)))
	cfg := localfleet.Config{
		RootKey: root, Policy: poolPolicy(policy), LinkAddress: w.linkAddress, ServerAddress: w.serverAddress,
		Observer: func(v localfleet.VMSpec) node.Observer { return w.watch.observer(v) },
	}
	for _, r := range s.Topology.Regions {
		for _, z := range r.Zones {
			for n := 1; n <= r.VMsPerZone; n++ {
				spec := localfleet.VMSpec{ID: vmID(z, n), Region: r.Name, Zone: z}
				cfg.VMs = append(cfg.VMs, spec)
				w.specs[spec.ID] = spec
			}
		}
	}
	for name, p := range s.Services {
		for _, z := range s.Topology.zones() {
			for n := 1; n <= p.Servers[z]; n++ {
				cfg.Servers = append(cfg.Servers, w.serverSpec(name, z, n))
			}
		}
	}
	var err error
	if w.fleet, err = localfleet.Start(cfg); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.prepare(ctx, cfg.VMs[0].ID, root, key); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) serverSpec(name fleet.Service, z fleet.Zone, n int) localfleet.ServerSpec {
	row := fleet.Server{ID: serverID(name, z, n), Service: name, Region: w.s.Topology.regionOf(z), Zone: z}
	w.mu.Lock()
	w.servers[row.ID] = row
	w.mu.Unlock()
	return w.coldSpec(row)
}

// server returns a server's row without address and state.
func (w *world) server(id fleet.ServerID) fleet.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[id]
}

// coldSpec returns how to start a server, which is cold if its service has a cold
// start.
func (w *world) coldSpec(row fleet.Server) localfleet.ServerSpec {
	p := w.s.Services[row.Service]
	spec := localfleet.ServerSpec{
		ID: row.ID, Service: row.Service, Region: row.Region, Zone: row.Zone,
		Backend: standin.BackendConfig{Slots: p.Slots, Seed: xxhash.Sum64String(string(row.ID)) + w.seed, Echo: echoHeader},
	}
	if p.Cold != nil {
		spec.Backend.Cold = standin.ColdStart{Lasts: time.Duration(p.Cold.Lasts), Factor: p.Cold.Factor}
	}
	return spec
}

// prepare publishes the document and waits until callers can be served.
func (w *world) prepare(ctx context.Context, first fleet.VMID, root, key ed25519.PrivateKey) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	via := w.fleet.Node(first)
	var regions []fleet.Region
	for _, r := range w.s.Topology.Regions {
		regions = append(regions, r.Name)
	}
	err := w.fleet.Genesis(ctx, via, document.Root{
		Teams: map[string]document.Team{
			"fleet": {Keys: []string{localfleet.PublicKey(root)}, Sections: []string{document.RootSection}},
			team:    {Keys: []string{localfleet.PublicKey(key)}, Sections: []string{section}},
		},
		KeySlices: keySlices, Regions: regions,
	})
	if err != nil {
		return errors.Trace(err)
	}
	v, err := w.fleet.Publish(ctx, via, team, section, w.document(), key)
	if err != nil {
		return errors.Trace(err)
	}
	if v.Code != result.OK {
		return errors.Errorf("the document was refused: %s %s", v.Name, v.Detail)
	}
	if err := w.fleet.AwaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := w.startDirect(); err != nil {
		return err
	}
	return w.awaitWarm(ctx)
}

// awaitWarm waits out the cold start of the first servers.
func (w *world) awaitWarm(ctx context.Context) error {
	longest := Duration(0)
	for _, p := range w.s.Services {
		if p.Cold != nil {
			longest = max(longest, p.Cold.Lasts)
		}
	}
	select {
	case <-time.After(time.Duration(longest)):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// startDirect starts the server for direct calls, behind the path between two zones
// of a region.
func (w *world) startDirect() error {
	b, err := standin.StartBackend(standin.BackendConfig{Name: "direct", Slots: 1000, Seed: w.seed})
	if err != nil {
		return errors.Trace(err)
	}
	w.direct = b
	w.directVia, err = faultproxy.Start(b.Addr(), w.seed)
	if err != nil {
		return errors.Trace(err)
	}
	d := time.Duration(w.s.Topology.BetweenZones)
	w.directVia.Set(faultproxy.Faults{Up: faultproxy.Flow{Delay: d}, Down: faultproxy.Flow{Delay: d}})
	return nil
}

func (w *world) document() document.Section {
	out := document.Section{
		Services: map[fleet.Service]document.Service{}, Routes: map[string]document.Route{}, Workspaces: map[string]document.Workspace{},
	}
	for name, p := range w.s.Services {
		out.Services[name] = document.Service{
			Servers: p.total(), Slots: p.Slots, Connections: p.Connections, Floor: p.Floor, Warmup: p.Warmup,
			HealthPath: healthPath, EchoHeader: echoHeader,
		}
	}
	for name, r := range w.s.Routes {
		route := document.Route{
			Path: "/" + name, Methods: []string{r.Method}, Service: r.Service, Length: r.Length, Idempotent: r.Idempotent,
			Weight: r.Weight, Deadline: r.Deadline, Retries: r.Retries, WorkspaceHeader: workspaceHeader,
		}
		if r.Keyed {
			route.Key = document.KeyRequired
		}
		out.Routes[name] = route
	}
	for _, r := range w.s.Topology.Regions {
		out.Workspaces[workspaceOf(r.Name)] = document.Workspace{Home: r.Name}
	}
	return out
}

func workspaceOf(r fleet.Region) string { return fmt.Sprintf("workspace-%s", r) }

// linkAddress and serverAddress put a proxy on each path when it is first used.
func (w *world) linkAddress(from localfleet.VMSpec, to fleet.VM) string {
	return w.via(path{from.ID, from.Zone, to.ID, to.Zone, to.Addr})
}

func (w *world) serverAddress(from localfleet.VMSpec, to fleet.Server) string {
	return w.via(path{fromZone: from.Zone, toZone: to.Zone, addr: to.Addr})
}

func (w *world) via(p path) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x, ok := w.proxies[p]; ok {
		return x.Addr()
	}
	x, err := faultproxy.Start(p.addr, w.seed)
	if err != nil {
		return p.addr // out of ports: the path has no delay
	}
	x.Set(w.flows(p))
	w.proxies[p] = x
	return x.Addr()
}

// flows returns the state of a path under the cuts in force. mu is held.
func (w *world) flows(p path) faultproxy.Faults {
	d := w.s.Topology.oneWay(p.fromZone, p.toZone)
	f := faultproxy.Faults{Up: faultproxy.Flow{Delay: d}, Down: faultproxy.Flow{Delay: d}}
	for _, cut := range w.cuts {
		up, down := cut.cutsPath(p)
		f.Up.Cut, f.Down.Cut = f.Up.Cut || up, f.Down.Cut || down
	}
	return f
}

// cutsPath reports which directions of a path the fault cuts.
func (f Fault) cutsPath(p path) (up, down bool) {
	if f.Kind == FaultZoneCut {
		crosses := (p.fromZone == f.Zone) != (p.toZone == f.Zone)
		return crosses, crosses
	}
	if p.toVM == "" {
		return false, false
	}
	return contains(f.VMs, p.fromVM) && contains(f.ToVMs, p.toVM), contains(f.VMs, p.toVM) && contains(f.ToVMs, p.fromVM)
}

func contains[T comparable](list []T, x T) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// setCut starts or ends a cut. Connections that lost bytes are reset when the cut
// ends, since TCP never passes on a stream with a hole.
func (w *world) setCut(f Fault, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.cuts = append(w.cuts, f)
	} else {
		for i := range w.cuts {
			if w.cuts[i].Kind == f.Kind && w.cuts[i].Start == f.Start && w.cuts[i].Zone == f.Zone {
				w.cuts = append(w.cuts[:i:i], w.cuts[i+1:]...)
				break
			}
		}
	}
	for p, x := range w.proxies {
		before, after := x.Faults(), w.flows(p)
		x.Set(after)
		if before.Up.Cut && !after.Up.Cut || before.Down.Cut && !after.Down.Cut {
			x.ResetAll()
		}
	}
}

func (w *world) close() {
	if w.fleet != nil {
		w.fleet.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.proxies {
		x.Close()
	}
	if w.directVia != nil {
		w.directVia.Close()
	}
	if w.direct != nil {
		w.direct.Close()
	}
}
