// Package localfleet starts a small fleet with its stand-ins in one process on
// loopback. The demo, the bench and tests use it.
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
	anyPort = "127.0.0.1:0"
	// readyPoll is the pause between two looks at the VMs' readiness.
	readyPoll = 20 * time.Millisecond
	// defaultSettle replaces the wait for a lagging list: the list here has no lag
	// unless a test sets one.
	defaultSettle = 300 * time.Millisecond
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

// Config describes a fleet.
type Config struct {
	VMs          []VMSpec
	Servers      []ServerSpec
	RootKey      ed25519.PrivateKey
	Policy       pool.Policy
	Logger       logr.Logger
	ListSettle   time.Duration // of new VMs; 0 means 300 ms
	ListLag      time.Duration // of the VM list
	DrainDelay   time.Duration
	DrainTimeout time.Duration // 0 means 20 s

	// LinkAddress and ServerAddress put proxies on paths; nil keeps the addresses.
	LinkAddress   func(from VMSpec, to fleet.VM) string
	ServerAddress func(from VMSpec, to fleet.Server) string
	// Observer returns the observer of a VM's slots; nil for none.
	Observer func(VMSpec) node.Observer
}

// Fleet is a running fleet.
type Fleet struct {
	Log  *standin.Log
	List *standin.VMList

	cfg      Config
	mu       sync.Mutex
	nodes    map[fleet.VMID]*running
	backends map[fleet.ServerID]*standin.Backend
}

type running struct {
	spec   VMSpec
	node   *node.Node
	cancel context.CancelFunc
	done   chan error
}

// Start starts the stand-ins and the VMs. Close ends them.
func Start(cfg Config) (*Fleet, error) {
	if cfg.ListSettle == 0 {
		cfg.ListSettle = defaultSettle
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = 20 * time.Second
	}
	f := &Fleet{
		Log: standin.NewLog(standin.LogControl{}, nil), List: standin.NewVMList(standin.ListControl{}, nil),
		cfg: cfg, nodes: make(map[fleet.VMID]*running), backends: make(map[fleet.ServerID]*standin.Backend),
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

// StartServer starts a backend server and lists it.
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

// StartVM starts an entry VM and lists it. A VM that ran before under the same id
// starts as a newer incarnation.
func (f *Fleet) StartVM(spec VMSpec) error {
	n, err := node.New(f.nodeConfig(spec))
	if err != nil {
		return errors.Annotatef(err, "VM %s", spec.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{spec: spec, node: n, cancel: cancel, done: make(chan error, 1)}
	f.mu.Lock()
	f.nodes[spec.ID] = r
	f.mu.Unlock()
	f.List.PutVM(fleet.VM{ID: spec.ID, Addr: n.LinkAddr(), Region: spec.Region, Zone: spec.Zone, State: fleet.StateLive})
	go func() { r.done <- n.Run(ctx) }()
	return nil
}

func (f *Fleet) nodeConfig(spec VMSpec) node.Config {
	s := settings.Default()
	s.Fleet = "local"
	s.VM = settings.VM{ID: string(spec.ID), Region: string(spec.Region), Zone: string(spec.Zone)}
	s.Listen = settings.Listen{Callers: anyPort, Links: anyPort, Operators: anyPort}
	s.Platform.ListInterval = settings.Duration(100 * time.Millisecond)
	s.DrainDelay = settings.Duration(f.cfg.DrainDelay)
	s.DrainTimeout = settings.Duration(f.cfg.DrainTimeout)
	cfg := node.Config{
		Settings: s, RootKey: f.cfg.RootKey.Public().(ed25519.PublicKey), Log: f.Log, Lister: f.List,
		Logger: f.cfg.Logger, Version: "local", Policy: f.cfg.Policy, ListSettle: f.cfg.ListSettle,
	}
	if f.cfg.LinkAddress != nil {
		cfg.LinkAddress = func(to fleet.VM) string { return f.cfg.LinkAddress(spec, to) }
	}
	if f.cfg.ServerAddress != nil {
		cfg.ServerAddress = func(to fleet.Server) string { return f.cfg.ServerAddress(spec, to) }
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
	if r := f.nodes[id]; r != nil {
		return r.node
	}
	return nil
}

// Nodes returns the running nodes in no order.
func (f *Fleet) Nodes() []*node.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*node.Node, 0, len(f.nodes))
	for _, r := range f.nodes {
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

// StopVM shuts a VM down gracefully as the platform does: it is listed as leaving,
// told to end, and dropped from the list once it has ended.
func (f *Fleet) StopVM(id fleet.VMID) error {
	r := f.take(id)
	if r == nil {
		return errors.NotFoundf("VM %s", id)
	}
	f.List.PutVM(fleet.VM{ID: id, Addr: r.node.LinkAddr(), Region: r.spec.Region, Zone: r.spec.Zone, State: fleet.StateLeaving})
	r.cancel()
	err := <-r.done
	f.List.RemoveVM(id)
	return errors.Annotatef(err, "VM %s", id)
}

// KillVM ends a VM as a crash does and drops it from the list.
func (f *Fleet) KillVM(id fleet.VMID) {
	if r := f.take(id); r != nil {
		r.node.Kill()
		f.List.RemoveVM(id)
	}
}

func (f *Fleet) take(id fleet.VMID) *running {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.nodes[id]
	delete(f.nodes, id)
	return r
}

// Close ends everything at once.
func (f *Fleet) Close() {
	f.mu.Lock()
	nodes, backends := f.nodes, f.backends
	f.nodes, f.backends = map[fleet.VMID]*running{}, map[fleet.ServerID]*standin.Backend{}
	f.mu.Unlock()
	for _, r := range nodes {
		r.node.Kill()
	}
	for _, b := range backends {
		b.Close()
	}
}

// AwaitReady waits until every VM serves callers.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for {
		ready := true
		for _, n := range f.Nodes() {
			ready = ready && n.Readiness(ctx).Ready && n.Settled()
		}
		if ready {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "VMs are not ready")
		}
	}
}

// awaitListed waits until every VM has read a list that holds all VMs.
func (f *Fleet) awaitListed(ctx context.Context) error {
	for {
		nodes := f.Nodes()
		complete := true
		for _, n := range nodes {
			rows, err := n.VMs(ctx)
			complete = complete && err == nil && listedRows(rows) == len(nodes)
		}
		if complete {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "the VM list does not hold all VMs")
		}
	}
}

func listedRows(rows []operator.VMStatus) int {
	listed := 0
	for _, r := range rows {
		if r.Listed == fleet.StateLive.String() {
			listed++
		}
	}
	return listed
}
