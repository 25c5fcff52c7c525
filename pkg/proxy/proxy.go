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

// RouteTable is what the proxy reads from the document in force.
type RouteTable interface {
	Route(host, path, method string) (document.RouteMatch, result.Code)
	Service(name fleet.Service) (document.Service, bool)
	Workspace(name string) (document.Workspace, bool)
}

// Limits bound what one VM takes from callers and servers. Zero fields get the
// defaults of DefaultLimits.
type Limits struct {
	HeaderBytes     int           // request header, in bytes
	HeaderTime      time.Duration // from the first to the last byte of a request header
	BodyIdle        time.Duration // pause between two reads of a request body
	WriteIdle       time.Duration // pause between two writes of an answer to a caller
	KeepAlive       time.Duration // idle connection from a caller or to a server
	ReplayBody      int           // bytes of a request body that are buffered; only such requests are retried
	BufferedBytes   int64         // bodies buffered by this VM, in bytes
	AnswerBody      int           // answers of known length up to this size are read whole before the first byte is passed on
	KeptAnswer      int           // largest answer kept with an idempotency key, header and body, in bytes
	DefaultMaxBody  int64         // for routes without max_body, in bytes
	DefaultDeadline time.Duration // for routes without a deadline
	ConnectTime     time.Duration // TCP connect to a server
	ConnsPerServer  int           // connections of this VM to one server
	BufferUnsized   bool          // answers without length are read whole, up to AnswerBody, before the first byte is passed on
	UnsentAttempts  int           // further servers tried after attempts that sent nothing, beyond the route's repeats
	ReadyWait       time.Duration // a request waits this long for the first document; 0 refuses it at once
	RetryAfter      time.Duration // advice with refusals that have none of their own
	ServerKeepAlive time.Duration // idle connection to a server; KeepAlive when 0
	SendTimeout     time.Duration // sent bytes that a peer does not acknowledge end the connection; 0 leaves it to the system
	ServerIdle      time.Duration // transports of servers not used for this long are dropped
}

// DefaultLimits returns the limits of docs/design.md, section 7.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:     32 << 10,
		HeaderTime:      5 * time.Second,
		BodyIdle:        10 * time.Second,
		WriteIdle:       10 * time.Second,
		KeepAlive:       75 * time.Second,
		ReplayBody:      64 << 10,
		BufferedBytes:   64 << 20,
		AnswerBody:      64 << 10,
		KeptAnswer:      16 << 10,
		DefaultMaxBody:  16 << 20,
		DefaultDeadline: 10 * time.Second,
		ConnectTime:     time.Second,
		RetryAfter:      200 * time.Millisecond,
		ConnsPerServer:  7, // 330 connections over 44 VMs, the tightest service of design section 1.1
		ServerIdle:      5 * time.Minute,
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
	orDefault(&l.HeaderBytes, d.HeaderBytes)
	orDefault(&l.HeaderTime, d.HeaderTime)
	orDefault(&l.BodyIdle, d.BodyIdle)
	orDefault(&l.WriteIdle, d.WriteIdle)
	orDefault(&l.KeepAlive, d.KeepAlive)
	orDefault(&l.ReplayBody, d.ReplayBody)
	orDefault(&l.BufferedBytes, d.BufferedBytes)
	orDefault(&l.AnswerBody, d.AnswerBody)
	orDefault(&l.KeptAnswer, d.KeptAnswer)
	orDefault(&l.DefaultMaxBody, d.DefaultMaxBody)
	orDefault(&l.DefaultDeadline, d.DefaultDeadline)
	orDefault(&l.ConnectTime, d.ConnectTime)
	orDefault(&l.ConnsPerServer, d.ConnsPerServer)
	orDefault(&l.RetryAfter, d.RetryAfter)
	orDefault(&l.ServerKeepAlive, l.KeepAlive)
	orDefault(&l.ServerIdle, d.ServerIdle)
	return l
}

// Config configures a Proxy. Only Engine is required.
type Config struct {
	Engine  Engine
	Region  fleet.Region      // this VM's region; bytes to servers of other regions are counted
	Table   func() RouteTable // replaces Engine.Routes when set
	Logger  logr.Logger
	Tracer  trace.Tracer
	Metrics *metrics.Set
	Limits  Limits
	Dialect *Dialect // nil means DefaultDialect
}

// Proxy serves HTTP between callers and backend servers. It is an http.Handler for
// the server that NewServer builds.
type Proxy struct {
	engine     Engine
	region     fleet.Region
	table      func() RouteTable
	log        logr.Logger
	tracer     trace.Tracer
	limits     Limits
	dialect    Dialect
	metrics    *meters
	transports *transports
	buffers    *budget
	ids        *idSource
	wellServed atomic.Uint64

	mu       sync.Mutex
	inFlight int
	closed   bool          // Drain was called: new requests are refused
	idle     chan struct{} // closed when inFlight reaches 0 after Drain was called
}

// New returns a Proxy. It fails without an Engine, and without a Table while
// document.Index has no look-ups of its own.
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
	if c.Table == nil {
		c.Table = func() RouteTable { return indexTable(c.Engine.Routes()) }
	}
	limits := c.Limits.withDefaults()
	dialect := DefaultDialect()
	if c.Dialect != nil {
		dialect = *c.Dialect
	}
	p := &Proxy{
		engine:  c.Engine,
		region:  c.Region,
		table:   c.Table,
		log:     c.Logger,
		tracer:  c.Tracer,
		limits:  limits,
		dialect: dialect,
		metrics: newMeters(c.Metrics),
		buffers: &budget{free: limits.BufferedBytes},
		ids:     newIDSource(),
		idle:    make(chan struct{}),
	}
	p.transports = newTransports(limits, c.Region, p.metrics, c.Engine.Now)
	return p, nil
}

// indexTable returns the document's look-ups, or nil before the first document.
func indexTable(x *document.Index) RouteTable {
	if x == nil {
		return nil
	}
	return x
}

// enter counts a request in flight; it reports false once Drain was called.
func (p *Proxy) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.inFlight++
	p.metrics.inFlight.Inc()
	return true
}

func (p *Proxy) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.metrics.inFlight.Dec()
	if p.closed && p.inFlight == 0 {
		close(p.idle)
	}
}

// InFlight returns the number of requests being served, including those whose
// caller left while their work runs on.
func (p *Proxy) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// Drain refuses new requests with the code Draining and waits until those in flight
// have ended. It returns ctx's error when ctx ends first; requests then go on.
func (p *Proxy) Drain(ctx context.Context) error {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		if p.inFlight == 0 {
			close(p.idle)
		}
	}
	p.mu.Unlock()
	select {
	case <-p.idle:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Close drops idle connections to servers. Call it after Drain.
func (p *Proxy) Close() { p.transports.closeIdle() }

// ServeHTTP serves one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := p.newExchange(w, r)
	defer x.done()
	if !p.enter() {
		x.fail(result.Draining, "this VM no longer takes requests")
		return
	}
	defer p.leave()
	x.serve()
}
