package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// RouteTable provides the routes, services and workspaces of the current configuration document.
type RouteTable interface {
	Route(host, path, method string) (document.RouteMatch, result.Code)
	Service(name fleet.Service) (document.Service, bool)
	Workspace(name string) (document.Workspace, bool)
	RequiresAPIKeys() bool
	WorkspaceOfKey(key document.Hash) (document.WorkspaceMatch, bool)
}

// Limits bounds the resources that one VM spends on callers and servers. Zero fields are set from
// DefaultLimits.
type Limits struct {
	MaxHeaderBytes         int           // request header, in bytes
	MaxHeaderMemory        int64         // total of what the headers of all callers take on this VM, in bytes; at least one of MaxHeaderBytes is admitted
	HeaderTimeout          time.Duration // from the first to the last byte of a request header
	BodyReadTimeout        time.Duration // longest pause between two reads of a request body
	WriteTimeout           time.Duration // longest pause between two writes of a response to a caller
	IdleTimeout            time.Duration // idle connection from a caller or to a server
	MaxReplayableBody      int           // largest request body that is buffered completely, in bytes; the rest of a longer one is streamed and not retried
	MaxBufferedBytes       int64         // total of the bodies buffered by this VM, in bytes
	MaxBufferedResponse    int           // responses of known length up to this size are buffered completely before the first byte is forwarded
	MaxStoredResponse      int           // largest response stored with an idempotency key, header and body, in bytes
	DefaultMaxBody         int64         // for routes without max_body, in bytes
	DefaultDeadline        time.Duration // for routes without a deadline
	ConnectTimeout         time.Duration // TCP connect to a server
	MaxConnsPerServer      int           // connections from this VM to one server
	BufferUnsizedResponses bool          // responses without a length are buffered, up to MaxBufferedResponse, before the first byte is forwarded
	MaxUnsentRetries       int           // additional servers tried after attempts that sent nothing, beyond the route's retries
	ReadyTimeout           time.Duration // how long a request waits for the first document; 0 refuses it immediately
	RetryAfter             time.Duration // delay suggested with refusals that have none of their own
	ServerIdleTimeout      time.Duration // idle connection to a server; IdleTimeout when 0
	SendTimeout            time.Duration // how long a server may acknowledge nothing of what was sent before its connection is closed; 0 uses the system's default
	UnusedTransportTTL     time.Duration // transports of servers that were unused for this long are evicted
}

// DefaultLimits returns the limits specified in docs/design.md, section 7.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:      32 << 10,
		MaxHeaderMemory:     16 << 20,
		HeaderTimeout:       5 * time.Second,
		BodyReadTimeout:     10 * time.Second,
		WriteTimeout:        10 * time.Second,
		IdleTimeout:         75 * time.Second,
		MaxReplayableBody:   64 << 10,
		MaxBufferedBytes:    64 << 20,
		MaxBufferedResponse: 64 << 10,
		MaxStoredResponse:   16 << 10,
		DefaultMaxBody:      16 << 20,
		DefaultDeadline:     10 * time.Second,
		ConnectTimeout:      time.Second,
		RetryAfter:          200 * time.Millisecond,
		MaxConnsPerServer:   7, // 330 connections shared by 44 VMs: the service with the fewest connections in design section 1.1
		UnusedTransportTTL:  5 * time.Minute,
	}
}

func orDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	orDefault(&l.MaxHeaderBytes, d.MaxHeaderBytes)
	orDefault(&l.MaxHeaderMemory, d.MaxHeaderMemory)
	orDefault(&l.HeaderTimeout, d.HeaderTimeout)
	orDefault(&l.BodyReadTimeout, d.BodyReadTimeout)
	orDefault(&l.WriteTimeout, d.WriteTimeout)
	orDefault(&l.IdleTimeout, d.IdleTimeout)
	orDefault(&l.MaxReplayableBody, d.MaxReplayableBody)
	orDefault(&l.MaxBufferedBytes, d.MaxBufferedBytes)
	orDefault(&l.MaxBufferedResponse, d.MaxBufferedResponse)
	orDefault(&l.MaxStoredResponse, d.MaxStoredResponse)
	orDefault(&l.DefaultMaxBody, d.DefaultMaxBody)
	orDefault(&l.DefaultDeadline, d.DefaultDeadline)
	orDefault(&l.ConnectTimeout, d.ConnectTimeout)
	orDefault(&l.MaxConnsPerServer, d.MaxConnsPerServer)
	orDefault(&l.RetryAfter, d.RetryAfter)
	orDefault(&l.ServerIdleTimeout, l.IdleTimeout)
	orDefault(&l.UnusedTransportTTL, d.UnusedTransportTTL)
	return l
}

// Config holds the parameters of a Proxy. Only Engine is required.
type Config struct {
	Engine     Engine
	Region     fleet.Region      // this VM's region; traffic to servers in other regions is counted
	RouteTable func() RouteTable // overrides Engine.Routes when set
	Logger     logr.Logger
	Tracer     trace.Tracer
	Metrics    *metrics.Set
	Limits     Limits
	Dialect    *Dialect // nil means DefaultDialect
	// KeysConfirmed reports whether the document is recent enough to accept API keys; nil means always.
	KeysConfirmed func() bool
	// NewerDocumentKnown reports whether a newer document exists, which may hold keys that this one does not; nil means
	// never.
	NewerDocumentKnown func() bool
}

// Proxy forwards HTTP requests from callers to backend servers. It is the http.Handler of the
// server that NewServer returns.
type Proxy struct {
	engine     Engine
	region     fleet.Region
	routeTable func() RouteTable
	log        logr.Logger
	tracer     trace.Tracer
	limits     Limits
	dialect    Dialect
	confirmed  func() bool // Config.KeysConfirmed
	superseded func() bool // Config.NewerDocumentKnown
	metrics    *proxyMetrics
	transports *transports
	buffers    *byteBudget
	heads      *headMemory
	ids        *idSource
	successes  atomic.Uint64 // successful requests, counted to log a sample of them

	callerConns callerConns
	exitAt      atomic.Int64 // fleet.Time of the last response during a shutdown; 0 while there is none

	mu       sync.Mutex
	inFlight int
	draining bool          // set by Drain; new requests are refused
	drained  chan struct{} // closed when inFlight reaches 0 after Drain was called
}

// New returns a Proxy. It returns an error if c.Engine is nil.
func New(c Config) (*Proxy, error) {
	if c.Engine == nil {
		return nil, errors.NotValidf("proxy without an engine")
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("proxy")
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Logger.GetSink() == nil {
		c.Logger = logr.Discard()
	}
	if c.RouteTable == nil {
		c.RouteTable = func() RouteTable { return indexTable(c.Engine.Routes()) }
	}
	if c.KeysConfirmed == nil {
		c.KeysConfirmed = func() bool { return true }
	}
	if c.NewerDocumentKnown == nil {
		c.NewerDocumentKnown = func() bool { return false }
	}
	limits := c.Limits.withDefaults()
	dialect := DefaultDialect()
	if c.Dialect != nil {
		dialect = *c.Dialect
	}
	p := &Proxy{
		engine:     c.Engine,
		region:     c.Region,
		routeTable: c.RouteTable,
		log:        c.Logger,
		tracer:     c.Tracer,
		limits:     limits,
		dialect:    dialect,
		confirmed:  c.KeysConfirmed,
		superseded: c.NewerDocumentKnown,
		metrics:    newProxyMetrics(c.Metrics),
		buffers:    &byteBudget{free: limits.MaxBufferedBytes},
		heads:      newHeadMemory(limits, dialect, c.Logger, c.Metrics),
		ids:        newIDSource(),
		drained:    make(chan struct{}),
	}
	p.transports = newTransports(limits, c.Region, p.metrics, c.Engine.Now)
	return p, nil
}

// indexTable returns x as a RouteTable. It returns a nil interface if x is nil, before the first document.
func indexTable(x *document.Index) RouteTable {
	if x == nil {
		return nil
	}
	return x
}

// beginRequest counts a request in flight. It returns false after Drain was called.
func (p *Proxy) beginRequest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.inFlight++
	p.metrics.inFlight.Inc()
	return true
}

func (p *Proxy) endRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.metrics.inFlight.Dec()
	if p.draining && p.inFlight == 0 {
		close(p.drained)
	}
}

// InFlight returns the number of requests being served, including those that still run after their
// caller disconnected.
func (p *Proxy) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Drain refuses new requests with the code Draining and waits until those in flight have ended. It
// returns the error of ctx if ctx ends first; the remaining requests then continue.
func (p *Proxy) Drain(ctx context.Context) error {
	p.setExit(ctx)
	p.mu.Lock()
	if !p.draining {
		p.draining = true
		if p.inFlight == 0 {
			close(p.drained)
		}
	}
	p.mu.Unlock()
	select {
	case <-p.drained:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Close closes idle connections to servers. Call it after Drain.
func (p *Proxy) Close() { p.transports.closeIdle() }

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := p.newExchange(w, r)
	defer x.finish()
	if !p.beginRequest() {
		x.fail(result.Draining, "this VM is draining and accepts no new requests")
		return
	}
	defer p.endRequest()
	x.serve()
}
