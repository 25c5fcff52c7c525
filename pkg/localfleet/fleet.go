// Package localfleet runs a small fleet and the stand-ins of its services in one
// process on loopback. The demo, the benchmark and tests use it.
package localfleet

import (
	"context"
	"crypto/ed25519"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/node"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

const (
	freeLoopbackPort = "127.0.0.1:0"
	// readyPollInterval is the interval at which the VMs' readiness is checked.
	readyPollInterval = 20 * time.Millisecond
	// defaultListSettleTime is shorter than the default of a real fleet, because the VM list
	// here has no lag unless ListLag is set.
	defaultListSettleTime = 300 * time.Millisecond
)

// VMSpec describes an entry VM.
type VMSpec struct {
	ID     fleet.VMID
	Region fleet.Region
	Zone   fleet.Zone
}

// ServerSpec describes a backend server.
type ServerSpec struct {
	ID      fleet.ServerID
	Service fleet.Service
	Region  fleet.Region
	Zone    fleet.Zone
	Backend standin.BackendConfig
}

// Config configures a fleet.
type Config struct {
	VMs            []VMSpec
	Servers        []ServerSpec
	RootKey        ed25519.PrivateKey
	Policy         pool.Policy
	Logger         logr.Logger
	ListSettleTime time.Duration // how long a new VM waits before it claims shards; 0 means 300 ms
	ListLag        time.Duration // delay until VMs see a change of the VM list
	DrainDelay     time.Duration // how long a stopping VM continues to accept requests
	DrainTimeout   time.Duration // limit of a graceful shutdown; 0 means 20 s

	// MapLinkAddr and MapServerAddr return the address that a VM dials for another VM or
	// a server, so that tests can put a proxy between them; nil keeps the addresses.
	MapLinkAddr   func(from VMSpec, to fleet.VM) string
	MapServerAddr func(from VMSpec, to fleet.Server) string
	// Observer returns the observer of a VM's use of slots; nil means no observers.
	Observer func(VMSpec) node.Observer
}

// Fleet is a running fleet.
type Fleet struct {
	Log  *standin.Log
	List *standin.VMList

	cfg      Config
	mu       sync.Mutex
	vms      map[fleet.VMID]*runningVM
	backends map[fleet.ServerID]*standin.Backend
}

type runningVM struct {
	spec   VMSpec
	node   *node.Node
	cancel context.CancelFunc
	done   chan error // receives the result of the node's Run
}

// Start starts the stand-ins and the VMs. Close stops them.
func Start(cfg Config) (*Fleet, error) {
	if cfg.ListSettleTime == 0 {
		cfg.ListSettleTime = defaultListSettleTime
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = 20 * time.Second
	}
	f := &Fleet{
		Log: standin.NewLog(standin.LogControl{}, nil), List: standin.NewVMList(standin.ListControl{}, nil),
		cfg: cfg, vms: make(map[fleet.VMID]*runningVM), backends: make(map[fleet.ServerID]*standin.Backend),
	}
	f.List.SetControl(standin.ListControl{LagMS: cfg.ListLag.Milliseconds()})
	for _, s := range cfg.Servers {
		if err := f.StartServer(s); err != nil {
			f.Close()
			return nil, err
		}
	}
	for _, v := range cfg.VMs {
		if err := f.StartVM(v); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// StartServer starts a backend server and adds it to the list.
func (f *Fleet) StartServer(s ServerSpec) error {
	s.Backend.Name = string(s.ID)
	b, err := standin.StartBackend(s.Backend)
	if err != nil {
		return errors.Trace(err)
	}
	f.mu.Lock()
	f.backends[s.ID] = b
	f.mu.Unlock()
	f.List.PutServer(fleet.Server{
		ID: s.ID, Service: s.Service, Addr: b.Addr(), Region: s.Region, Zone: s.Zone, State: fleet.StateLive,
	})
	return nil
}

// StartVM starts an entry VM and adds it to the list. A VM whose id was used before
// starts as a new incarnation.
func (f *Fleet) StartVM(spec VMSpec) error {
	n, err := node.New(f.nodeConfig(spec))
	if err != nil {
		return errors.Annotatef(err, "VM %s", spec.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningVM{spec: spec, node: n, cancel: cancel, done: make(chan error, 1)}
	f.mu.Lock()
	f.vms[spec.ID] = r
	f.mu.Unlock()
	f.List.PutVM(fleet.VM{ID: spec.ID, Addr: n.LinkAddr(), Region: spec.Region, Zone: spec.Zone, State: fleet.StateLive})
	go func() { r.done <- n.Run(ctx) }()
	return nil
}

func (f *Fleet) nodeConfig(spec VMSpec) node.Config {
	s := settings.Default()
	s.Fleet = "local"
	s.VM = settings.VM{ID: string(spec.ID), Region: string(spec.Region), Zone: string(spec.Zone)}
	s.Listen = settings.Listen{Callers: freeLoopbackPort, Links: freeLoopbackPort, Operators: freeLoopbackPort}
	s.Platform.ListInterval = settings.Duration(100 * time.Millisecond)
	s.DrainDelay = settings.Duration(f.cfg.DrainDelay)
	s.DrainTimeout = settings.Duration(f.cfg.DrainTimeout)
	cfg := node.Config{
		Settings: s, RootKey: f.cfg.RootKey.Public().(ed25519.PublicKey), Log: f.Log, Lister: f.List,
		Logger: f.cfg.Logger, Version: "local", Policy: f.cfg.Policy, ListSettleTime: f.cfg.ListSettleTime,
	}
	if f.cfg.MapLinkAddr != nil {
		cfg.MapLinkAddr = func(to fleet.VM) string { return f.cfg.MapLinkAddr(spec, to) }
	}
	if f.cfg.MapServerAddr != nil {
		cfg.MapServerAddr = func(to fleet.Server) string { return f.cfg.MapServerAddr(spec, to) }
	}
	if f.cfg.Observer != nil {
		cfg.Observer = f.cfg.Observer(spec)
	}
	return cfg
}

// Node returns a running VM's node, or nil.
func (f *Fleet) Node(id fleet.VMID) *node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.vms[id]; r != nil {
		return r.node
	}
	return nil
}

// Nodes returns the nodes of all running VMs in no particular order.
func (f *Fleet) Nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*node.Node, 0, len(f.vms))
	for _, r := range f.vms {
		out = append(out, r.node)
	}
	return out
}

// Backend returns a backend server, or nil.
func (f *Fleet) Backend(id fleet.ServerID) *standin.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backends[id]
}

// Backends returns the backend servers by id.
func (f *Fleet) Backends() map[fleet.ServerID]*standin.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[fleet.ServerID]*standin.Backend, len(f.backends))
	for id, b := range f.backends {
		out[id] = b
	}
	return out
}

// StopVM shuts down a VM gracefully, as the platform does: it is listed as leaving,
// signalled to stop, and removed from the list after it has stopped. It returns the error
// of the VM's shutdown, or a NotFound error when the VM is not running.
func (f *Fleet) StopVM(id fleet.VMID) error {
	r := f.removeVM(id)
	if r == nil {
		return errors.NotFoundf("VM %s", id)
	}
	f.List.PutVM(fleet.VM{ID: id, Addr: r.node.LinkAddr(), Region: r.spec.Region, Zone: r.spec.Zone, State: fleet.StateLeaving})
	r.cancel()
	err := <-r.done
	f.List.RemoveVM(id)
	return errors.Annotatef(err, "VM %s", id)
}

// KillVM stops a VM without a graceful shutdown, like a crash, and removes it from the
// list. It does nothing when the VM is not running.
func (f *Fleet) KillVM(id fleet.VMID) {
	if r := f.removeVM(id); r != nil {
		r.node.Kill()
		f.List.RemoveVM(id)
	}
}

func (f *Fleet) removeVM(id fleet.VMID) *runningVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.vms[id]
	delete(f.vms, id)
	return r
}

// Close stops all VMs and servers without a graceful shutdown.
func (f *Fleet) Close() {
	f.mu.Lock()
	vms, backends := f.vms, f.backends
	f.vms, f.backends = map[fleet.VMID]*runningVM{}, map[fleet.ServerID]*standin.Backend{}
	f.mu.Unlock()
	for _, r := range vms {
		r.node.Kill()
	}
	for _, b := range backends {
		b.Close()
	}
}

// AwaitReady waits until every VM is ready and has an owner for every shard. It
// returns an error when ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, n := range f.Nodes() {
			ready = ready && n.Readiness(ctx).Ready && n.AllShardsOwned()
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for the VMs to be ready")
		}
	}
}

// awaitListed waits until every VM has read a list that contains all running VMs.
func (f *Fleet) awaitListed(ctx context.Context) error {
	for {
		nodes := f.Nodes()
		complete := true
		for _, n := range nodes {
			rows, err := n.VMs(ctx)
			complete = complete && err == nil && countLive(rows) == len(nodes)
		}
		if complete {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "waiting for all VMs to appear in the VM list")
		}
	}
}

func countLive(rows []operator.VMStatus) int {
	live := 0
	for _, r := range rows {
		if r.Listed == fleet.StateLive.String() {
			live++
		}
	}
	return live
}
