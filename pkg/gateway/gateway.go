// Package gateway runs an entry VM on a platform with a store. It connects the deterministic packages
// balance, follower and mesh to the clock, the sockets and the store, and serves callers with package
// proxy.
package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
	"github.com/fulmarbeam/fulmarbeam/pkg/mesh"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
)

// Limits for callers and servers that are not in the settings.
const (
	callerKeepAlive  = 75 * time.Second       // idle connection of a caller
	serverKeepAlive  = 4 * time.Second        // idle connection to a server
	connectTimeout   = 300 * time.Millisecond // TCP connect to a server
	sendTimeout      = 1500 * time.Millisecond
	connsPerServer   = 64
	maxUnsentRetries = 3
	readyTimeout     = time.Second
	tickInterval     = 50 * time.Millisecond // between two steps without a message or a report that is due
)

// Config holds the parameters of a Gateway. Settings, Source and Dialect are required.
type Config struct {
	Settings  *settings.Gateway
	Source    registry.Source
	Dialect   *proxy.Dialect
	ReadyPath string // path at which the platform checks whether the VM accepts requests
	Logger    logr.Logger
	Metrics   *metrics.Set
	Seed      uint64
}

// Gateway is a running entry VM.
type Gateway struct {
	cfg     Config
	self    mesh.Member
	log     logr.Logger
	origin  time.Time
	proxy   *proxy.Proxy
	mesh    *mesh.Transport
	tracing *telemetry.Tracing

	callers listener
	ready   listener
	metrics listener

	index    atomic.Pointer[document.Index]
	draining atomic.Bool
	serving  atomic.Bool
	readyCh  chan struct{} // closed when the VM is ready to serve
	// documentBehind is set while this VM knows that a newer document exists.
	documentBehind atomic.Bool
	keysValidUntil atomic.Int64 // boot time until which API keys are accepted; used with workspaces.fail_closed
	nextWork       atomic.Uint64
	stop           context.CancelFunc
	ctx            context.Context

	mu             sync.Mutex // guards the following fields
	balance        *balance.Balancer
	quota          *quota.Limiter
	follower       *follower.Follower
	members        *mesh.Members
	announced      bool
	announcedEpoch int64 // epoch of the store when announced was set
	announcing     bool
	announceAt     fleet.Time // earliest time of the next announcement
	discovering    bool
	discoveredAt   fleet.Time
	pendingDigest  *balance.Digest // received from a VM of the zone before the servers are known
	digestSchedule balance.DigestSchedule
	coveredAt      fleet.Time
	zoneQueue      mesh.RelayQueue // reports for the VMs of this zone
	regionQueue    mesh.RelayQueue // reports of this zone's VMs for the region's other zones
	lastQuery      fleet.Time      // last Hello because of a report of an unknown VM
	lastTick       fleet.Time
	pause          pauseDetector
	toldRevision   uint64     // of the last document that other regions were told of
	nextStep       fleet.Time // when stepTimer fires
	stepTimer      *time.Timer
}

type listener struct {
	net.Listener
	server *http.Server
}

// New creates a Gateway and binds its listeners. Run starts it.
func New(cfg Config) (*Gateway, error) {
	s := cfg.Settings
	g := &Gateway{
		cfg: cfg, log: cfg.Logger, origin: time.Now(), readyCh: make(chan struct{}),
		self: mesh.Member{ID: fleet.VMID(s.VM.ID), Addr: s.Listen.Links, Region: fleet.Region(s.VM.Region), Zone: fleet.Zone(s.VM.Zone), Cores: s.Cores},
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	prices, budget := pricesAndBudget(s)
	g.balance = balance.New(balance.Config{
		Self: g.self.ID, Region: g.self.Region, Zone: g.self.Zone, Seed: cfg.Seed, Prices: prices, Budget: budget,
	})
	g.quota = quota.New(quota.Config{Zone: g.self.Zone, Seed: cfg.Seed, Slack: s.Quotas.Slack}, g.Now())
	seeds := seedAddresses(s)
	g.follower = follower.New(follower.Config{Self: g.self.ID, WaitForSeeds: len(seeds) > 0 && !slices.Contains(seeds, g.self.Addr),
		Revocation: s.Workspaces.Revocation.D()})
	g.members = mesh.NewMembers(g.self, seeds)
	if err := g.bind(); err != nil {
		g.Close()
		return nil, err
	}
	g.registerMetrics()
	return g, nil
}

func pricesAndBudget(s *settings.Gateway) (balance.Prices, balance.RetryBudget) {
	return balance.Prices{CrossZonePerKB: s.Prices.CrossZonePerKB, CrossRegionPerKB: s.Prices.CrossRegionPerKB},
		balance.RetryBudget{Ratio: s.RetryBudget.Ratio, Window: s.RetryBudget.Window.D(), Slack: s.RetryBudget.Slack}
}

// Reload applies changed prices, the retry budget, the slack of quotas and the seeds. It reports whether another setting
// changed, which takes effect only after a restart.
func (g *Gateway) Reload(s *settings.Gateway) (restart bool) {
	prices, budget := pricesAndBudget(s)
	g.update(func(fleet.Time) {
		g.balance.Configure(prices, budget)
		g.quota.SetSlack(s.Quotas.Slack)
		g.members.AddSeeds(seedAddresses(s))
	})
	old, now := *g.cfg.Settings, *s
	old.Prices, old.RetryBudget, old.Seeds, old.Quotas = now.Prices, now.RetryBudget, now.Seeds, now.Quotas
	restart = !reflect.DeepEqual(old, now)
	g.log.Info("settings reloaded", "restart_needed", restart)
	return restart
}

// seedAddresses returns the link addresses of the seeds. All VMs use the same port.
func seedAddresses(s *settings.Gateway) []string {
	own, err := netip.ParseAddrPort(s.Listen.Links)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range s.Seeds {
		if addr, err := settings.SeedAddr(seed); err == nil {
			out = append(out, netip.AddrPortFrom(addr, own.Port()).String())
		}
	}
	return out
}

func (g *Gateway) bind() error {
	s := g.cfg.Settings
	tracing, err := telemetry.NewTracing(context.Background(), telemetry.TracingConfig{
		Service: "fulmarbeam", VM: s.VM.ID, Region: s.VM.Region, Zone: s.VM.Zone,
		Endpoint: s.Tracing.OTLPEndpoint, SampleRatio: s.Tracing.SampleRatio,
	})
	if err != nil {
		return errors.Trace(err)
	}
	g.tracing = tracing
	g.proxy, err = proxy.New(proxy.Config{
		Engine: g, Region: g.self.Region, Logger: g.log, Tracer: tracing.Tracer("proxy"), Metrics: g.cfg.Metrics,
		Dialect: g.cfg.Dialect, Limits: g.limits(), KeysConfirmed: g.keysConfirmed, NewerDocumentKnown: g.documentBehind.Load,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if g.mesh, err = mesh.Listen(s.Listen.Links, g, g.log); err != nil {
		return errors.Annotate(err, "links")
	}
	g.callers.server = g.proxy.NewServer()
	if g.callers.Listener, err = net.Listen("tcp", s.Listen.Callers); err != nil {
		return errors.Annotate(err, "callers")
	}
	return g.bindStatus()
}

func (g *Gateway) limits() proxy.Limits {
	s := g.cfg.Settings
	l := proxy.DefaultLimits()
	l.MaxHeaderBytes, l.MaxHeaderMemory = int(s.Limits.Header), int64(s.Limits.HeaderTotal)
	l.MaxReplayableBody = int(s.Limits.BodyBuffer)
	l.MaxBufferedBytes = int64(s.Limits.BodyBufferTotal)
	l.IdleTimeout, l.ServerIdleTimeout = callerKeepAlive, serverKeepAlive
	l.ConnectTimeout, l.SendTimeout, l.MaxConnsPerServer = connectTimeout, sendTimeout, connsPerServer
	l.BufferUnsizedResponses = true
	l.MaxUnsentRetries, l.ReadyTimeout = maxUnsentRetries, readyTimeout
	return l
}

// Now returns the time since the VM started.
func (g *Gateway) Now() fleet.Time { return fleet.Time(time.Since(g.origin)) }

// Run serves until ctx ends and then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.Close()
	failed := make(chan error, 3)
	go g.mesh.Serve()
	go func() { failed <- g.proxy.Serve(g.callers.server, g.callers.Listener) }()
	go func() { failed <- g.ready.server.Serve(g.ready.Listener) }()
	if g.metrics.server != nil {
		go func() { failed <- g.metrics.server.Serve(g.metrics.Listener) }()
	}
	g.startTimer()
	g.log.Info("started", "vm", g.self.ID, "seeds", seedAddresses(g.cfg.Settings), "zone", g.self.Zone, "callers", g.callers.Addr().String(), "links", g.mesh.Addr())
	select {
	case err := <-failed:
		return errors.Annotate(err, "listener")
	case <-ctx.Done():
	}
	return g.shutdown()
}

// startTimer starts the steps that no message or request triggers.
func (g *Gateway) startTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepTimer = time.AfterFunc(0, g.timedStep)
}

// timedStep runs a step when the timer fires.
func (g *Gateway) timedStep() {
	if g.ctx.Err() != nil {
		return
	}
	g.update(func(now fleet.Time) {
		g.nextStep = 0
		if now.Sub(g.lastTick) < tickInterval && g.lastTick != 0 {
			return // only messages are due
		}
		g.lastTick = max(now, 1)
		g.balance.Tick(now)
		g.quota.Tick(now)
		g.follower.Tick(now)
		g.syncMembers(now)
	})
}

// update runs a step of the deterministic state and applies its results.
func (g *Gateway) update(step func(now fleet.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	g.detectPause(now)
	step(now)
	g.applyChanges(now)
	g.scheduleStep(now)
}

// scheduleStep sets the timer to the next tick or message, unless it fires earlier.
func (g *Gateway) scheduleStep(now fleet.Time) {
	if g.stepTimer == nil {
		return
	}
	next := min(g.lastTick.Add(tickInterval), g.balance.NextReport())
	for _, q := range []*mesh.RelayQueue{&g.zoneQueue, &g.regionQueue} {
		if due := q.Due(); due != 0 {
			next = min(next, due)
		}
	}
	if g.nextStep == 0 || next < g.nextStep {
		g.nextStep = max(next, now, 1)
		g.stepTimer.Reset(g.nextStep.Sub(now))
	}
}

// Close stops the VM immediately.
func (g *Gateway) Close() {
	g.stop()
	for _, l := range []listener{g.callers, g.ready, g.metrics} {
		if l.server != nil {
			_ = l.server.Close()
		}
		if l.Listener != nil {
			_ = l.Close()
		}
	}
	if g.mesh != nil {
		_ = g.mesh.Close()
	}
	if g.proxy != nil {
		g.proxy.Close()
	}
}
