package standin

import (
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Fault is what a gray server does to real work while its probes pass.
type Fault string

// Faults of answers. The work itself runs and is in the ledger.
const (
	FaultNone         Fault = ""
	FaultError        Fault = "error"         // answers 500
	FaultHang         Fault = "hang"          // never answers
	FaultTruncate     Fault = "truncate"      // ends the body early, with a length
	FaultTruncChunked Fault = "trunc_chunked" // ends the body early, chunked, without the end chunk
	FaultCloseHeaders Fault = "close_headers" // closes after the head
	FaultCloseEmpty   Fault = "close_empty"   // closes without an answer
	FaultCross        Fault = "cross"         // answers with the answer of an earlier request
	FaultTwice        Fault = "twice"         // writes the answer twice
	FaultResetBody    Fault = "reset_body"    // resets the connection in the middle of the body
	FaultUnbounded    Fault = "unbounded"     // answers without length and closes
	FaultGarbage      Fault = "garbage"       // answers what is not HTTP
	FaultLateTwice    Fault = "late_twice"    // writes the answer again after HoldTwice
	FaultSwitch       Fault = "switch"        // answers 101
)

// HoldTwice is how long FaultLateTwice waits before the second answer.
const HoldTwice = 50 * time.Millisecond

// Mode is the behaviour of a backend server. The zero value is healthy.
type Mode struct {
	Fault     Fault         `json:"fault,omitempty"`
	FailShare float64       `json:"fail_share,omitempty"` // share of the work that has the fault; 0 means all
	Slower    float64       `json:"slower,omitempty"`     // factor on work times; 0 means 1
	Period    time.Duration `json:"period,omitempty"`     // flap: half of each period is healthy, starting gray; 0 for no flapping
}

// SetMode switches the server's behaviour; the flap period starts now.
func (b *Backend) SetMode(m Mode) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode, b.modeAt = m, time.Now()
}

// activeMode returns the mode at this point of the flap period. mu is held.
func (b *Backend) activeMode() Mode {
	if p := b.mode.Period; p > 0 && time.Since(b.modeAt)%p >= p/2 {
		return Mode{}
	}
	return b.mode
}

func (w WorkTime) draw(rng *rand.Rand) time.Duration {
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
	Load   float64 `json:"load"`   // reported load, 0 to 1; negative reports the real one
}

type healthChange struct {
	at     time.Time
	report Health
}

// SetHealth makes the health endpoint report h after a lag, whatever the server's
// real state. Without any call it reports 200 and the real load.
func (b *Backend) SetHealth(h Health, lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.health = append(b.health, healthChange{time.Now().Add(lag), h})
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	b.mu.Lock()
	report := Health{Status: http.StatusOK, Load: -1}
	now := time.Now()
	for _, c := range b.health {
		if !c.at.After(now) {
			report = c.report
		}
	}
	if report.Load < 0 {
		report.Load = float64(b.ledger.running) / float64(b.config.Slots)
	}
	b.ledger.counts.Probes++
	b.mu.Unlock()
	orValue(&report.Status, http.StatusOK)
	writeJSON(w, report.Status, report)
}

// countingListener counts the connections of callers.
type countingListener struct {
	net.Listener
	open, peak, total atomic.Int64
}

// Accept counts the connection until it is closed.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.total.Add(1)
	n := l.open.Add(1)
	for {
		p := l.peak.Load()
		if n <= p || l.peak.CompareAndSwap(p, n) {
			break
		}
	}
	return &countedConn{Conn: c, l: l}, nil
}

type countedConn struct {
	net.Conn
	l      *countingListener
	closed atomic.Bool
}

// Close counts down once.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.l.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseIdle closes the connections that are idle now, as a server with a short
// keep-alive does.
func (b *Backend) CloseIdle() { b.srv.SetKeepAlivesEnabled(false); b.srv.SetKeepAlivesEnabled(true) }
