// Package node runs one entry VM. It connects the deterministic core to the clock, the
// links, the platform clients, the HTTP listeners and the journal.
package node

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/core"
	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/journal"
	"github.com/fulmarbeam/fulmarbeam/pkg/keys"
	"github.com/fulmarbeam/fulmarbeam/pkg/link"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/proxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/settings"
	"github.com/fulmarbeam/fulmarbeam/pkg/telemetry"
	"github.com/fulmarbeam/fulmarbeam/pkg/tlsconf"
)

// Intervals and timeouts of the node's loops.
const (
	tickInterval = 10 * time.Millisecond
	// idlePollInterval is the interval at which an idle loop polls the configuration module
	// for a read or an append.
	idlePollInterval = 20 * time.Millisecond
	// listRetryDelay is the delay after a failed read of the platform's list.
	listRetryDelay = 500 * time.Millisecond
	// metricsMaxHeader is the size of a header of the metrics listener in bytes, to which net/http adds 4 KiB.
	metricsMaxHeader = 4 << 10
	// operatorShutdownTimeout bounds the graceful shutdown of the operator API.
	operatorShutdownTimeout = time.Second
)

// ConfigStream is the name of the configuration's stream in the log service.
const ConfigStream = "config"

// Config configures a Node. Settings, Log and Lister are required.
type Config struct {
	Settings *settings.Settings
	RootKey  []byte // Ed25519 public key expected in the genesis record
	Log      platformapi.Log
	Lister   platformapi.Lister
	Logger   logr.Logger
	Version  string      // of the program, shown by the operator API
	Policy   pool.Policy // slot allocation policy; empty means the default

	// Incarnation identifies this process among those of the VM; zero means the start time.
	Incarnation fleet.Incarnation
	// ListSettleTime is how long a new process waits before it claims shards; see core.Config.
	ListSettleTime time.Duration
	// MapLinkAddr and MapServerAddr override addresses from the platform's list, so that a
	// test can interpose a proxy. Nil means no override.
	MapLinkAddr   func(fleet.VM) string
	MapServerAddr func(fleet.Server) string
	// Observer is notified when slots are acquired and released; nil for none.
	Observer Observer
}

// Observer is notified of the use of slots, for measurements. Its methods are called
// concurrently and must not block.
type Observer interface {
	// Acquired is called when work has been assigned to a server.
	Acquired(work pool.Work, decision pool.Decision)
	// Released is called when that work has ended.
	Released(id pool.WorkID, end pool.End)
}

// Node is a running entry VM.
type Node struct {
	cfg       Config
	self      fleet.Member
	region    fleet.Region
	zone      fleet.Zone
	log       logr.Logger
	startTime time.Time
	metrics   *metrics.Set
	tracing   *telemetry.Tracing

	probeClient   *http.Client
	links         *link.Links
	proxy         *proxy.Proxy
	journal       *journal.Recorder
	callers       listener
	operators     listener
	metricsServer listener

	cancelLoops    context.CancelFunc
	loops          sync.WaitGroup
	draining       atomic.Bool
	drainRequested chan struct{}
	drainOnce      sync.Once
	lastID         atomic.Uint64                  // newest id of work or of a reservation
	index          atomic.Pointer[document.Index] // the core's index, for readers without mu
	selfListed     atomic.Bool                    // the platform's list has contained this VM

	mu             sync.Mutex // guards the fields below
	core           *core.Node
	workWaiters    map[pool.WorkID]chan pool.Decision
	reserveWaiters map[keys.ReservationID]chan keys.Decision
	editWaiters    map[string][]chan configlog.Verdict
}

// listener is an HTTP server with its listening socket.
type listener struct {
	net.Listener
	server *http.Server
}

// New binds the listeners and builds the node. Run starts it.
func New(cfg Config) (*Node, error) {
	n := &Node{
		cfg: cfg, log: cfg.Logger, startTime: time.Now(), metrics: telemetry.NewMetrics(),
		region: fleet.Region(cfg.Settings.VM.Region), zone: fleet.Zone(cfg.Settings.VM.Zone),
		drainRequested: make(chan struct{}),
		probeClient:    newProbeClient(),
		workWaiters:    make(map[pool.WorkID]chan pool.Decision),
		reserveWaiters: make(map[keys.ReservationID]chan keys.Decision),
		editWaiters:    make(map[string][]chan configlog.Verdict),
	}
	if n.log.GetSink() == nil {
		n.log = logr.Discard()
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = fleet.Incarnation(n.startTime.UnixNano())
	}
	n.self = fleet.Member{VM: fleet.VMID(cfg.Settings.VM.ID), Incarnation: cfg.Incarnation}
	seed := maphash.Comparable(maphash.MakeSeed(), n.self)
	n.core = core.New(core.Config{
		Self: n.self, Region: n.region, Zone: n.zone, Stream: ConfigStream, RootKey: cfg.RootKey,
		Seed: seed, Policy: cfg.Policy, ListSettleTime: cfg.ListSettleTime,
	})
	n.journal = journal.NewRecorder(journal.Config{
		Self: n.self, Seed: seed, Log: cfg.Log, Now: n.Now, Logger: n.log, Metrics: n.metrics,
	})
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	n.registerMetrics()
	return n, nil
}

func (n *Node) build() error {
	s := n.cfg.Settings
	tracing, err := telemetry.NewTracing(context.Background(), telemetry.TracingConfig{
		Service: "fulmarbeam", VM: s.VM.ID, Region: s.VM.Region, Zone: s.VM.Zone,
		Endpoint: s.Tracing.OTLPEndpoint, SampleRatio: s.Tracing.SampleRatio,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.tracing = tracing
	if err := n.buildOperators(); err != nil {
		return err
	}
	if err := n.buildLinks(); err != nil {
		return err
	}
	if err := n.buildProxy(); err != nil {
		return err
	}
	return n.buildMetrics()
}

func (n *Node) buildLinks() error {
	s := n.cfg.Settings
	source, err := tlsSource(s.TLS.Links)
	if err != nil {
		return err
	}
	operators := s.Advertise.Operators
	if operators == "" {
		operators = n.operators.Addr().String()
	}
	n.links, err = link.New(link.Config{
		Self: n.self, Fleet: s.Fleet, Region: n.region, Zone: n.zone,
		ListenAddr: s.Listen.Links, AdvertiseAddr: s.Advertise.Links, OperatorAddr: operators, TLS: source,
		Handler: n.handleMessage, OnHello: n.handleHello, OnRefused: n.handleRefused, DialListed: true, RegionOf: n.regionOf,
		Logger: n.log, Metrics: n.metrics,
	})
	return errors.Trace(err)
}

func tlsSource(files settings.TLSFiles) (*tlsconf.Source, error) {
	if !files.Enabled() {
		return nil, nil
	}
	source, err := tlsconf.New(tlsconf.Files{Cert: files.Cert, Key: files.Key, CA: files.CA})
	return source, errors.Trace(err)
}

func (n *Node) buildProxy() error {
	s := n.cfg.Settings
	limits := proxy.DefaultLimits()
	limits.MaxHeaderBytes, limits.MaxHeaderMemory = int(s.Limits.Header), int64(s.Limits.HeaderTotal)
	limits.MaxReplayableBody = int(s.Limits.BodyBuffer)
	limits.MaxBufferedBytes = int64(s.Limits.BodyBufferTotal)
	var err error
	n.proxy, err = proxy.New(proxy.Config{
		Engine: n, Region: n.region, Logger: n.log, Tracer: n.tracing.Tracer("proxy"), Metrics: n.metrics, Limits: limits,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.callers.server = n.proxy.NewServer()
	n.callers.Listener, err = net.Listen("tcp", s.Listen.Callers)
	return errors.Annotatef(err, "callers")
}

func (n *Node) buildOperators() error {
	s := n.cfg.Settings
	source, err := tlsSource(s.TLS.Operators)
	if err != nil {
		return err
	}
	n.operators.server = operator.NewServer(operator.Options{Backend: n, Logger: n.log, Dial: n.dialOperators(source)})
	if source != nil {
		n.operators.server.TLSConfig = source.ServerConfig()
	}
	n.operators.Listener, err = net.Listen("tcp", s.Listen.Operators)
	return errors.Annotatef(err, "operators")
}

func (n *Node) buildMetrics() error {
	addr := n.cfg.Settings.Listen.Metrics
	if addr == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", telemetry.MetricsHandler(n.metrics))
	n.metricsServer.server = &http.Server{Handler: mux, ReadHeaderTimeout: listRetryDelay, MaxHeaderBytes: metricsMaxHeader}
	var err error
	n.metricsServer.Listener, err = net.Listen("tcp", addr)
	return errors.Annotatef(err, "metrics")
}

func (n *Node) closeListeners() {
	for _, l := range []listener{n.callers, n.operators, n.metricsServer} {
		if l.Listener != nil {
			_ = l.Close()
		}
	}
	if n.links != nil {
		_ = n.links.Close()
	}
}

// LinkAddr, CallersAddr and OperatorsAddr return the bound addresses.
func (n *Node) LinkAddr() string      { return n.links.Addr() }
func (n *Node) CallersAddr() string   { return n.callers.Addr().String() }
func (n *Node) OperatorsAddr() string { return n.operators.Addr().String() }

// Member returns the id and incarnation of this process.
func (n *Node) Member() fleet.Member { return n.self }

// Metrics returns the node's metrics set.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Now returns the time since the node was built.
func (n *Node) Now() fleet.Time { return fleet.Time(time.Since(n.startTime)) }

// Run serves until ctx ends or a drain is requested, then shuts down gracefully. It returns
// nil after a complete shutdown.
func (n *Node) Run(ctx context.Context) error {
	loopCtx, cancel := context.WithCancel(context.Background())
	n.cancelLoops = cancel
	defer n.Kill()
	for _, loop := range []func(context.Context){n.tickLoop, n.listLoop, n.readLoop, n.appendLoop, n.journal.Run} {
		n.loops.Add(1)
		go func() {
			defer n.loops.Done()
			loop(loopCtx)
		}()
	}
	serveErrors := make(chan error, 3)
	go func() { serveErrors <- n.proxy.Serve(n.callers.server, n.callers.Listener) }()
	go func() { serveErrors <- n.serveOperators() }()
	if n.metricsServer.server != nil {
		go func() { serveErrors <- n.metricsServer.server.Serve(n.metricsServer.Listener) }()
	}
	n.log.Info("started", "vm", n.self.String(), "callers", n.CallersAddr(), "links", n.LinkAddr(), "operators", n.OperatorsAddr())
	select {
	case err := <-serveErrors:
		return errors.Annotate(err, "listener")
	case <-ctx.Done():
	case <-n.drainRequested:
	}
	return n.shutdown()
}

func (n *Node) serveOperators() error {
	if n.operators.server.TLSConfig != nil {
		return n.operators.server.ServeTLS(n.operators.Listener, "", "")
	}
	return n.operators.server.Serve(n.operators.Listener)
}

// Kill stops the node immediately without a handover, as a crash would.
func (n *Node) Kill() {
	if n.cancelLoops != nil {
		n.cancelLoops()
	}
	n.closeListeners()
	for _, l := range []listener{n.callers, n.operators, n.metricsServer} {
		if l.server != nil {
			_ = l.server.Close()
		}
	}
	n.loops.Wait()
}
