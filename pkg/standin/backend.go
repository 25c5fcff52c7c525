package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Request headers that control how the server handles one request. The query
// parameters work, status and size have the same meaning.
const (
	HeaderWork   = "X-Standin-Work"   // work time as a Go duration
	HeaderStatus = "X-Standin-Status" // status code of the response
	HeaderSize   = "X-Standin-Size"   // size of the response body in bytes
)

// Headers of the protocol between the fleet and backend servers.
const (
	headerShed     = "X-Fulmar-Shed"
	headerDeclined = "X-Fulmar-Declined"
	headerDraining = "X-Fulmar-Draining"
	headerDeadline = "X-Fulmar-Deadline-Ms"
)

const (
	defaultSlots    = 6
	maxRequestBody  = 32 << 20 // bytes; the rest of a longer request body is ignored
	healthPath      = "/health"
	maxResponseBody = 64 << 20 // bytes; a larger size in a request is ignored
)

// WorkTime is a log-normal distribution of work times, in which a share of the
// requests (stragglers) takes longer by a constant factor.
type WorkTime struct {
	Median          time.Duration `json:"median"`
	Sigma           float64       `json:"sigma"`            // standard deviation of the logarithm; 0 for a constant time
	StragglerShare  float64       `json:"straggler_share"`  // 0 to 1
	StragglerFactor float64       `json:"straggler_factor"` // factor on the work time of stragglers
}

// BackendConfig configures a backend server. The zero value has 6 slots and no work
// time, and listens on a free loopback port.
type BackendConfig struct {
	Name  string
	Addr  string // host:port, empty for a free loopback port
	Slots int
	Work  WorkTime
	Seed  uint64 // of the random work times and of the requests that Mode.FailShare selects
	Cold  ColdStart
	// EchoHeader is the response header that returns the request's X-Request-Id; empty for
	// none.
	EchoHeader string
	// NoLedger turns off the ledger, whose memory grows with every request. Only
	// counts are kept.
	NoLedger bool
}

// ColdStart makes a server slower for a time after its start.
type ColdStart struct {
	Duration time.Duration `json:"lasts"`
	Factor   float64       `json:"factor"` // factor on work times at the start; falls linearly to 1
}

// Backend is a running backend server.
type Backend struct {
	config    BackendConfig
	ln        *countingListener
	srv       *http.Server
	stop      context.CancelFunc
	ctx       context.Context
	serveDone chan struct{}
	startedAt time.Time

	mu            sync.Mutex
	rng           *rand.Rand
	mode          Mode
	modeSetAt     time.Time
	draining      bool
	healthChanges []healthChange // in the order of the SetHealth calls
	ledger        ledger
}

// StartBackend starts a backend server on loopback.
func StartBackend(c BackendConfig) (*Backend, error) {
	setDefault(&c.Slots, defaultSlots)
	setDefault(&c.Addr, "127.0.0.1:0")
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Annotatef(err, "backend server %s", c.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Backend{
		config: c, ln: &countingListener{Listener: l}, ctx: ctx, stop: stop, serveDone: make(chan struct{}),
		startedAt: time.Now(), rng: rand.New(rand.NewPCG(c.Seed, 1)), ledger: newLedger(!c.NoLedger),
	}
	b.srv = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(b.serveDone)
		_ = b.srv.Serve(b.ln)
	}()
	return b, nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Addr returns the server's host:port.
func (b *Backend) Addr() string { return b.ln.Addr().String() }

// Close cancels all work, closes all connections and waits until the server no longer accepts.
func (b *Backend) Close() {
	b.stop()
	_ = b.srv.Close()
	<-b.serveDone
}

// Drain makes the server decline new requests and report that it is draining.
// Requests in progress continue. With on false the server accepts requests again.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// Restart starts the cold-start period again.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedAt = time.Now()
}

// ServeHTTP serves the health endpoint and, on all other paths, simulated work.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		b.serveHealth(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBody))
	if err != nil {
		return // the request is incomplete, so no work runs
	}
	index, mode, refusalHeader := b.admit(r, body)
	if refusalHeader != "" {
		w.Header().Set(refusalHeader, "1")
		if b.config.EchoHeader != "" {
			w.Header().Set(b.config.EchoHeader, r.Header.Get("X-Request-Id"))
		}
		if refusalHeader == headerDeclined {
			w.Header().Set(headerDraining, "1")
		}
		http.Error(w, "declined", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := b.workContext(r)
	defer cancel()
	if !b.simulateWork(ctx, r, mode) {
		b.finish(index, RunCancelled)
		panic(http.ErrAbortHandler)
	}
	// Release the slot before the response is written: the fleet may send the next
	// request as soon as it has the last byte.
	b.finish(index, RunDone)
	b.respond(w, r, mode, body)
}

// admit takes a slot and records the start of the run. It returns the index of the
// ledger entry (-1 without a ledger) and the mode that applies to this request. When
// the server refuses the request, refusalHeader is the response header that contains the reason.
func (b *Backend) admit(r *http.Request, body []byte) (index int, mode Mode, refusalHeader string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mode = b.activeMode()
	switch {
	case b.draining:
		b.ledger.counts.Declined++
		return 0, mode, headerDeclined
	case b.ledger.running >= b.config.Slots:
		b.ledger.counts.Shed++
		return 0, mode, headerShed
	}
	if mode.FailShare > 0 && b.rng.Float64() >= mode.FailShare {
		mode.Fault = FaultNone // this request is not in the failing share
	}
	return b.ledger.add(r, body, time.Now()), mode, ""
}

func (b *Backend) finish(index int, runResult RunResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.finish(index, runResult, time.Now())
}

// workContext returns a context that is cancelled when the client cancels the request,
// its deadline passes or the server stops.
func (b *Backend) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(b.ctx, cancel)
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil && ms > 0 {
		timed, cancelTimed := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		return timed, func() { stop(); cancelTimed(); cancel() }
	}
	return ctx, func() { stop(); cancel() }
}

// simulateWork waits for the request's work time, or for the end of ctx with FaultHang.
// It returns false when ctx was cancelled first.
func (b *Backend) simulateWork(ctx context.Context, r *http.Request, mode Mode) bool {
	d := b.workTime(r)
	if mode.WorkFactor > 0 {
		d = time.Duration(float64(d) * mode.WorkFactor)
	}
	if mode.Fault == FaultHang {
		<-ctx.Done()
		return false
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func headerOrQuery(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// workTime returns the time that the request specifies, or a sample of the server's
// distribution, multiplied by the cold-start factor.
func (b *Backend) workTime(r *http.Request) time.Duration {
	d, err := time.ParseDuration(headerOrQuery(r, HeaderWork, "work"))
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		d = b.config.Work.sample(b.rng)
	}
	if cold := b.config.Cold; cold.Duration > 0 && cold.Factor > 1 {
		if age := time.Since(b.startedAt); age < cold.Duration {
			remaining := 1 - float64(age)/float64(cold.Duration)
			d = time.Duration(float64(d) * (1 + (cold.Factor-1)*remaining))
		}
	}
	return d
}
