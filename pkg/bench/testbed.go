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
	// readyTimeout bounds the time from the start of a fleet until it serves callers.
	readyTimeout = time.Minute
)

// ProductPolicy is the name of the product's own policy on the command line.
const ProductPolicy = "fulmarbeam"

// Policies lists the values of --policy, the product's own first.
var Policies = []string{ProductPolicy, string(pool.PolicyNoCredits), string(pool.PolicyStatic),
	string(pool.PolicyRoundRobin), string(pool.PolicyLeastOutstanding), string(pool.PolicyLocalEjection)}

func poolPolicy(name string) pool.Policy {
	if name == ProductPolicy {
		return pool.PolicyCredits
	}
	return pool.Policy(name)
}

// testbed is a running fleet with simulated servers and a fault proxy on each path.
type testbed struct {
	scenario    *Scenario
	seed        uint64
	fleet       *localfleet.Fleet
	monitor     *monitor
	direct      *standin.Backend
	directProxy *faultproxy.Proxy

	mu       sync.Mutex
	proxies  map[path]*faultproxy.Proxy
	cuts     []Fault
	servers  map[fleet.ServerID]fleet.Server // initial list rows of all servers that were started
	specs    map[fleet.VMID]localfleet.VMSpec
	crashes  []vmCrash
	events   []fleet.Event    // journals of VMs, read before they stop or at the end of the run
	replaced []replacedServer // server instances that were restarted
}

// replacedServer holds the counts and ledger of a server instance that was replaced.
type replacedServer struct {
	id     fleet.ServerID
	counts standin.Counts
	ledger []standin.LedgerEntry
}

type vmCrash struct {
	vm fleet.VMID
	at time.Time
}

// path identifies the network path from a VM to a VM, or from a zone to a server. It
// includes the address because a restarted VM or server gets a new one.
type path struct {
	fromVM   fleet.VMID // empty for paths to servers
	fromZone fleet.Zone
	toVM     fleet.VMID
	toZone   fleet.Zone
	addr     string
}

// startTestbed starts the fleet and returns once its document is in effect and all
// servers are warm.
func startTestbed(ctx context.Context, s *Scenario, policy string, seed uint64) (*testbed, error) {
	tb := &testbed{
		scenario: s, seed: seed, proxies: map[path]*faultproxy.Proxy{}, servers: map[fleet.ServerID]fleet.Server{},
		specs: map[fleet.VMID]localfleet.VMSpec{},
	}
	tb.monitor = newMonitor(tb)
	root := ed25519.NewKeyFromSeed([]byte(strings.Repeat("r", ed25519.SeedSize)))
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("b", ed25519.SeedSize)))
	cfg := localfleet.Config{
		RootKey: root, Policy: poolPolicy(policy), LinkAddress: tb.linkAddress, ServerAddress: tb.serverAddress,
		Observer: func(v localfleet.VMSpec) node.Observer { return tb.monitor.observer(v) },
	}
	for _, r := range s.Topology.Regions {
		for _, z := range r.Zones {
			for n := 1; n <= r.VMsPerZone; n++ {
				spec := localfleet.VMSpec{ID: vmID(z, n), Region: r.Name, Zone: z}
				cfg.VMs = append(cfg.VMs, spec)
				tb.specs[spec.ID] = spec
			}
		}
	}
	for name, p := range s.Services {
		for _, z := range s.Topology.zones() {
			for n := 1; n <= p.Servers[z]; n++ {
				cfg.Servers = append(cfg.Servers, tb.serverSpec(name, z, n))
			}
		}
	}
	var err error
	if tb.fleet, err = localfleet.Start(cfg); err != nil {
		return nil, errors.Trace(err)
	}
	if err := tb.prepare(ctx, cfg.VMs[0].ID, root, key); err != nil {
		tb.close()
		return nil, err
	}
	return tb, nil
}

func (tb *testbed) serverSpec(name fleet.Service, z fleet.Zone, n int) localfleet.ServerSpec {
	row := fleet.Server{ID: serverID(name, z, n), Service: name, Region: tb.scenario.Topology.regionOf(z), Zone: z}
	tb.mu.Lock()
	tb.servers[row.ID] = row
	tb.mu.Unlock()
	return tb.startSpec(row)
}

// server returns a server's list row without address and state.
func (tb *testbed) server(id fleet.ServerID) fleet.Server {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.servers[id]
}

// startSpec returns the configuration for starting a server, with a cold start if its
// service has one.
func (tb *testbed) startSpec(row fleet.Server) localfleet.ServerSpec {
	p := tb.scenario.Services[row.Service]
	spec := localfleet.ServerSpec{
		ID: row.ID, Service: row.Service, Region: row.Region, Zone: row.Zone,
		Backend: standin.BackendConfig{Slots: p.Slots, Seed: xxhash.Sum64String(string(row.ID)) + tb.seed, EchoHeader: echoHeader},
	}
	if p.ColdStart != nil {
		spec.Backend.Cold = standin.ColdStart{Duration: time.Duration(p.ColdStart.Duration), Factor: p.ColdStart.Factor}
	}
	return spec
}

// prepare publishes the document and waits until the fleet can serve callers.
func (tb *testbed) prepare(ctx context.Context, first fleet.VMID, root, key ed25519.PrivateKey) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	via := tb.fleet.Node(first)
	var regions []fleet.Region
	for _, r := range tb.scenario.Topology.Regions {
		regions = append(regions, r.Name)
	}
	err := tb.fleet.WriteGenesis(ctx, via, document.Root{
		Teams: map[string]document.Team{
			"fleet": {Keys: []string{localfleet.PublicKey(root)}, Sections: []string{document.RootSection}},
			team:    {Keys: []string{localfleet.PublicKey(key)}, Sections: []string{section}},
		},
		KeySlices: keySlices, Regions: regions,
	})
	if err != nil {
		return errors.Trace(err)
	}
	v, err := tb.fleet.Publish(ctx, via, team, section, tb.document(), key)
	if err != nil {
		return errors.Trace(err)
	}
	if v.Code != result.OK {
		return errors.Errorf("configuration document refused: %s %s", v.Name, v.Detail)
	}
	if err := tb.fleet.AwaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := tb.startDirect(); err != nil {
		return err
	}
	return tb.awaitWarm(ctx)
}

// awaitWarm waits until the cold start of the initial servers is over.
func (tb *testbed) awaitWarm(ctx context.Context) error {
	longest := Duration(0)
	for _, p := range tb.scenario.Services {
		if p.ColdStart != nil {
			longest = max(longest, p.ColdStart.Duration)
		}
	}
	select {
	case <-time.After(time.Duration(longest)):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// startDirect starts the server for direct calls behind a proxy with the latency between
// two zones of a region.
func (tb *testbed) startDirect() error {
	b, err := standin.StartBackend(standin.BackendConfig{Name: "direct", Slots: 1000, Seed: tb.seed})
	if err != nil {
		return errors.Trace(err)
	}
	tb.direct = b
	tb.directProxy, err = faultproxy.Start(b.Addr(), tb.seed)
	if err != nil {
		return errors.Trace(err)
	}
	d := time.Duration(tb.scenario.Topology.BetweenZones)
	tb.directProxy.SetFaults(faultproxy.Faults{Up: faultproxy.FlowFaults{Delay: d}, Down: faultproxy.FlowFaults{Delay: d}})
	return nil
}

func (tb *testbed) document() document.Section {
	out := document.Section{
		Services: map[fleet.Service]document.Service{}, Routes: map[string]document.Route{}, Workspaces: map[string]document.Workspace{},
	}
	for name, p := range tb.scenario.Services {
		out.Services[name] = document.Service{
			Servers: p.total(), Slots: p.Slots, Connections: p.Connections, Floor: p.Floor, Warmup: p.Warmup,
			HealthPath: healthPath, EchoHeader: echoHeader,
		}
	}
	for name, r := range tb.scenario.Routes {
		route := document.Route{
			Path: "/" + name, Methods: []string{r.Method}, Service: r.Service, Length: r.Length, Idempotent: r.Idempotent,
			Weight: r.Weight, Deadline: r.Deadline, Retries: r.Retries, WorkspaceHeader: workspaceHeader,
		}
		if r.Keyed {
			route.Key = document.KeyRequired
		}
		out.Routes[name] = route
	}
	for _, r := range tb.scenario.Topology.Regions {
		out.Workspaces[workspaceOf(r.Name)] = document.Workspace{Home: r.Name}
	}
	return out
}

func workspaceOf(r fleet.Region) string { return fmt.Sprintf("workspace-%s", r) }

// linkAddress and serverAddress return the address of the path's fault proxy, which they
// start when the path is first used.
func (tb *testbed) linkAddress(from localfleet.VMSpec, to fleet.VM) string {
	return tb.proxyAddr(path{from.ID, from.Zone, to.ID, to.Zone, to.Addr})
}

func (tb *testbed) serverAddress(from localfleet.VMSpec, to fleet.Server) string {
	return tb.proxyAddr(path{fromZone: from.Zone, toZone: to.Zone, addr: to.Addr})
}

func (tb *testbed) proxyAddr(p path) string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if proxy, ok := tb.proxies[p]; ok {
		return proxy.Addr()
	}
	proxy, err := faultproxy.Start(p.addr, tb.seed)
	if err != nil {
		return p.addr // no port left: the path has neither simulated latency nor faults
	}
	proxy.SetFaults(tb.pathFaults(p))
	tb.proxies[p] = proxy
	return proxy.Addr()
}

// pathFaults returns the latency of a path and the cuts that currently apply to it. The
// caller must hold tb.mu.
func (tb *testbed) pathFaults(p path) faultproxy.Faults {
	d := tb.scenario.Topology.oneWay(p.fromZone, p.toZone)
	f := faultproxy.Faults{Up: faultproxy.FlowFaults{Delay: d}, Down: faultproxy.FlowFaults{Delay: d}}
	for _, cut := range tb.cuts {
		up, down := cut.cutsPath(p)
		f.Up.Drop, f.Down.Drop = f.Up.Drop || up, f.Down.Drop || down
	}
	return f
}

// cutsPath reports the directions of a path that the fault cuts.
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

// setCut starts or ends a cut. Connections are reset when a cut ends because bytes were
// dropped from them, and TCP never delivers a stream with a gap.
func (tb *testbed) setCut(f Fault, active bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if active {
		tb.cuts = append(tb.cuts, f)
	} else {
		for i := range tb.cuts {
			if tb.cuts[i].Kind == f.Kind && tb.cuts[i].Start == f.Start && tb.cuts[i].Zone == f.Zone {
				tb.cuts = append(tb.cuts[:i:i], tb.cuts[i+1:]...)
				break
			}
		}
	}
	for p, proxy := range tb.proxies {
		before, after := proxy.Faults(), tb.pathFaults(p)
		proxy.SetFaults(after)
		if before.Up.Drop && !after.Up.Drop || before.Down.Drop && !after.Down.Drop {
			proxy.ResetAll()
		}
	}
}

func (tb *testbed) close() {
	if tb.fleet != nil {
		tb.fleet.Close()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, proxy := range tb.proxies {
		proxy.Close()
	}
	if tb.directProxy != nil {
		tb.directProxy.Close()
	}
	if tb.direct != nil {
		tb.direct.Close()
	}
}
