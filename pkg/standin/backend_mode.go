package standin

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Fault is how a server fails requests while its health endpoint still reports
// success (a gray failure).
type Fault string

// Values of Fault. The work runs first, except with FaultHang, and the run is in the
// ledger.
const (
	FaultNone            Fault = ""
	FaultError           Fault = "error"         // responds with status 500
	FaultHang            Fault = "hang"          // never responds
	FaultTruncate        Fault = "truncate"      // ends the body before its Content-Length
	FaultTruncateChunked Fault = "trunc_chunked" // ends a chunked body without the last chunk
	FaultCloseHeaders    Fault = "close_headers" // closes after the headers
	FaultCloseEmpty      Fault = "close_empty"   // closes without a response
	FaultCross           Fault = "cross"         // responds with the response to the previous request
	FaultDuplicate       Fault = "twice"         // writes the response twice
	FaultResetBody       Fault = "reset_body"    // resets the connection in the middle of the body
	FaultUnbounded       Fault = "unbounded"     // sends the body without a length and closes
	FaultGarbage         Fault = "garbage"       // sends bytes that are not HTTP
	FaultLateDuplicate   Fault = "late_twice"    // writes the response again after LateDuplicateDelay
	FaultSwitchProtocols Fault = "switch"        // responds with status 101
)

// LateDuplicateDelay is how long FaultLateDuplicate waits before the second response.
const LateDuplicateDelay = 50 * time.Millisecond

// Mode is the behaviour of a backend server. The zero value is healthy.
type Mode struct {
	Fault      Fault         `json:"fault,omitempty"`
	FailShare  float64       `json:"fail_share,omitempty"` // share of the requests that have the fault; 0 means all
	WorkFactor float64       `json:"slower,omitempty"`     // factor on work times; 0 means 1
	FlapPeriod time.Duration `json:"period,omitempty"`     // of flapping: faulty in the first half, then healthy; 0 for none
}

// SetMode replaces the mode. The first period of flapping starts now.
func (b *Backend) SetMode(m Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode, b.modeSetAt = m, time.Now()
}

// activeMode returns the mode at this point of the flapping period. The caller holds mu.
func (b *Backend) activeMode() Mode {
	if p := b.mode.FlapPeriod; p > 0 && time.Since(b.modeSetAt)%p >= p/2 {
		return Mode{}
	}
	return b.mode
}

// sample returns a random work time of the distribution.
func (w WorkTime) sample(rng *rand.Rand) time.Duration {
	if w.Median <= 0 {
		return 0
	}
	d := float64(w.Median)
	if w.Sigma > 0 {
		d *= math.Exp(w.Sigma * rng.NormFloat64())
	}
	if w.StragglerShare > 0 && rng.Float64() < w.StragglerShare {
		d *= w.StragglerFactor
	}
	return time.Duration(d)
}

// Health is what the health endpoint reports.
type Health struct {
	Status int     `json:"status"` // HTTP status; 0 reports 200
	Load   float64 `json:"load"`   // reported load, 0 to 1; negative reports the actual load
}

type healthChange struct {
	effectiveAt time.Time
	health      Health
}

// SetHealth makes the health endpoint report h after a lag, regardless of the server's
// actual state. Until then it reports status 200 and the actual load.
func (b *Backend) SetHealth(h Health, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthChanges = append(b.healthChanges, healthChange{time.Now().Add(lag), h})
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	report := Health{Status: http.StatusOK, Load: -1}
	now := time.Now()
	for _, c := range b.healthChanges {
		if !c.effectiveAt.After(now) {
			report = c.health
		}
	}
	if report.Load < 0 {
		report.Load = float64(b.ledger.running) / float64(b.config.Slots)
	}
	b.ledger.counts.Probes++
	b.mu.Unlock()
	setDefault(&report.Status, http.StatusOK)
	writeJSON(w, report.Status, report)
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	open, peak, accepted atomic.Int64
}

// Accept accepts a connection, which counts as open until its Close.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	n := l.open.Add(1)
	for {
		p := l.peak.Load()
		if n <= p || l.peak.CompareAndSwap(p, n) {
			break
		}
	}
	return &countedConn{Conn: c, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

// Close closes the connection. Only the first call changes the count of open
// connections, because net/http may close a connection more than once.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseIdle closes the connections that are idle now, as a server with a short
// keep-alive timeout does.
func (b *Backend) CloseIdle() { b.srv.SetKeepAlivesEnabled(false); b.srv.SetKeepAlivesEnabled(true) }
