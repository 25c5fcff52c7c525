// Package standin holds simulated platform services and backend servers for tests
// and the demo.
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

// Headers by which a test asks one request for a behaviour. Query parameters of the
// same meaning are work, status and size.
const (
	HeaderWork   = "X-Standin-Work"   // Go duration of the work
	HeaderStatus = "X-Standin-Status" // status of the answer
	HeaderSize   = "X-Standin-Size"   // bytes of the answer's body
)

// Headers of the contract between the fleet and servers.
const (
	headerShed     = "X-Fulmar-Shed"
	headerDeclined = "X-Fulmar-Declined"
	headerDraining = "X-Fulmar-Draining"
	headerDeadline = "X-Fulmar-Deadline-Ms"
)

const (
	defaultSlots  = 6
	maxRequest    = 32 << 20 // bytes of a request body that the server reads
	healthyPath   = "/health"
	maxAnswerSize = 64 << 20 // bytes that a test may ask for
)

// WorkTime is a distribution of work times: a log-normal body with a share of
// stragglers.
type WorkTime struct {
	Median          time.Duration `json:"median"`
	Sigma           float64       `json:"sigma"`            // of the logarithm; 0 for a constant time
	StragglerShare  float64       `json:"straggler_share"`  // 0 to 1
	StragglerFactor float64       `json:"straggler_factor"` // how many times longer stragglers run
}

// BackendConfig configures a backend server. The zero value has 6 slots and no work
// time, and listens on a free loopback port.
type BackendConfig struct {
	Name  string
	Addr  string // host:port, empty for a free loopback port
	Slots int
	Work  WorkTime
	Seed  uint64
	Cold  ColdStart
	// Echo is the response header in which the server repeats X-Request-Id; empty for
	// none.
	Echo string
	// NoLedger keeps counts only, for long runs under load.
	NoLedger bool
}

// ColdStart makes a server slow after it started.
type ColdStart struct {
	Lasts  time.Duration `json:"lasts"`
	Factor float64       `json:"factor"` // how many times slower at the start; falls linearly to 1
}

// Backend is a running backend server.
type Backend struct {
	config BackendConfig
	ln     *countingListener
	srv    *http.Server
	stop   context.CancelFunc
	ctx    context.Context
	served chan struct{}
	begun  time.Time

	mu       sync.Mutex
	rng      *rand.Rand
	mode     Mode
	modeAt   time.Time
	draining bool
	health   []healthChange // what the health endpoint reports, in order of time
	ledger   ledger
}

// StartBackend starts a backend server on loopback.
func StartBackend(c BackendConfig) (*Backend, error) {
	orValue(&c.Slots, defaultSlots)
	orValue(&c.Addr, "127.0.0.1:0")
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Annotatef(err, "backend server %s", c.Name)
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &Backend{
		config: c, ln: &countingListener{Listener: l}, ctx: ctx, stop: stop, served: make(chan struct{}),
		begun: time.Now(), rng: rand.New(rand.NewPCG(c.Seed, 1)), ledger: newLedger(!c.NoLedger),
	}
	b.srv = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		defer close(b.served)
		_ = b.srv.Serve(b.ln)
	}()
	return b, nil
}

func orValue[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Addr returns host:port of the server.
func (b *Backend) Addr() string { return b.ln.Addr().String() }

// Close stops the server at once and waits for its listener.
func (b *Backend) Close() {
	b.stop()
	_ = b.srv.Close()
	<-b.served
}

// Drain makes the server decline new work and say that it is leaving; work in
// progress goes on. With on false it takes work again.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// Restart forgets warmth: the cold start begins again.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun = time.Now()
}

// ServeHTTP serves one request of real work, or the health endpoint.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthyPath {
		b.serveHealth(w)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		return // the request never arrived whole: nothing ran
	}
	run, mode, refusal := b.admit(r, body)
	if refusal != "" {
		w.Header().Set(refusal, "1")
		if b.config.Echo != "" {
			w.Header().Set(b.config.Echo, r.Header.Get("X-Request-Id"))
		}
		if refusal == headerDeclined {
			w.Header().Set(headerDraining, "1")
		}
		http.Error(w, "declined", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := b.workContext(r)
	defer cancel()
	if !b.work(ctx, r, mode) {
		b.end(run, EndedCancelled)
		panic(http.ErrAbortHandler)
	}
	// The slot is free before the answer's last byte can reach the fleet, which may
	// send the next request at once.
	b.end(run, EndedDone)
	b.respond(w, r, mode, body)
}

// admit takes a slot and writes the start into the ledger. It returns the header of
// the refusal when the server declines.
func (b *Backend) admit(r *http.Request, body []byte) (run int, mode Mode, refusal string) {
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
		mode.Fault = FaultNone // this request is not among the failing share
	}
	return b.ledger.start(r, body, time.Now()), mode, ""
}

func (b *Backend) end(run int, state Ended) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.end(run, state, time.Now())
}

// workContext ends when the caller cancels, the deadline passes or the server stops.
func (b *Backend) workContext(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(b.ctx, cancel)
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil && ms > 0 {
		timed, cancelTimed := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		return timed, func() { stop(); cancelTimed(); cancel() }
	}
	return ctx, func() { stop(); cancel() }
}

// work takes the request's time; it reports false when it was ended early.
func (b *Backend) work(ctx context.Context, r *http.Request, mode Mode) bool {
	d := b.workTime(r)
	if mode.Slower > 0 {
		d = time.Duration(float64(d) * mode.Slower)
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

func option(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// workTime returns the time that the request asks for, or a draw from the server's
// distribution, times the cold-start factor.
func (b *Backend) workTime(r *http.Request) time.Duration {
	d, err := time.ParseDuration(option(r, HeaderWork, "work"))
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		d = b.config.Work.draw(b.rng)
	}
	if cold := b.config.Cold; cold.Lasts > 0 && cold.Factor > 1 {
		if age := time.Since(b.begun); age < cold.Lasts {
			left := 1 - float64(age)/float64(cold.Lasts)
			d = time.Duration(float64(d) * (1 + (cold.Factor-1)*left))
		}
	}
	return d
}
