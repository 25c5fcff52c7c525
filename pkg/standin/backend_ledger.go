package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RunResult is how a run ended.
type RunResult string

// Values of RunResult. It is empty while the request runs.
const (
	RunDone      RunResult = "done"      // the work completed
	RunCancelled RunResult = "cancelled" // the client cancelled, the deadline passed or the server stopped
)

// LedgerEntry is the ledger's record of one run, which is one execution of a request.
type LedgerEntry struct {
	RequestID string    `json:"request_id"` // X-Request-Id as the server received it
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Digest    string    `json:"digest"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"` // zero while the request runs
	Result    RunResult `json:"ended,omitempty"`
}

// CallerRequestID returns the caller's request id, which is RequestID without the suffix that
// the fleet adds to each attempt.
func (e LedgerEntry) CallerRequestID() string {
	if i := strings.LastIndexByte(e.RequestID, '.'); i >= 0 {
		return e.RequestID[:i]
	}
	return e.RequestID
}

// Counts are totals since the server's start, and current and peak values.
type Counts struct {
	Started             int `json:"started"`
	Done                int `json:"done"`
	Cancelled           int `json:"cancelled"`
	Shed                int `json:"shed"`
	Declined            int `json:"declined"`
	Probes              int `json:"probes"`
	Running             int `json:"running"`
	PeakRunning         int `json:"peak_running"`
	Connections         int `json:"connections"`
	PeakConnections     int `json:"peak_connections"`
	ConnectionsAccepted int `json:"connections_accepted"`
}

// ledger records the requests that the server executed. Backend.mu guards it.
type ledger struct {
	keepEntries  bool
	entries      []LedgerEntry
	running      int
	counts       Counts
	lastResponse *response // for FaultCross
}

func newLedger(keep bool) ledger { return ledger{keepEntries: keep} }

func (l *ledger) add(r *http.Request, body []byte, now time.Time) int {
	l.running++
	l.counts.Started++
	l.counts.PeakRunning = max(l.counts.PeakRunning, l.running)
	if !l.keepEntries {
		return -1
	}
	l.entries = append(l.entries, LedgerEntry{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Digest: Digest(r.Method, r.URL.RequestURI(), body), Start: now,
	})
	return len(l.entries) - 1
}

func (l *ledger) finish(entry int, state RunResult, now time.Time) {
	l.running--
	if state == RunDone {
		l.counts.Done++
	} else {
		l.counts.Cancelled++
	}
	if entry >= 0 && entry < len(l.entries) {
		l.entries[entry].End, l.entries[entry].Result = now, state
	}
}

// Ledger returns a copy of all entries in the order of their start.
func (b *Backend) Ledger() []LedgerEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]LedgerEntry(nil), b.ledger.entries...)
}

// RunsByRequest returns the entries with a caller's request id.
func (b *Backend) RunsByRequest(request string) []LedgerEntry {
	var out []LedgerEntry
	for _, e := range b.Ledger() {
		if e.CallerRequestID() == request {
			out = append(out, e)
		}
	}
	return out
}

// RunsByKey returns the entries with an idempotency key.
func (b *Backend) RunsByKey(key string) []LedgerEntry {
	var out []LedgerEntry
	for _, e := range b.Ledger() {
		if e.Key == key {
			out = append(out, e)
		}
	}
	return out
}

// Counts returns the current counts.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.ledger.counts
	c.Running = b.ledger.running
	c.Connections = int(b.ln.open.Load())
	c.PeakConnections = int(b.ln.peak.Load())
	c.ConnectionsAccepted = int(b.ln.accepted.Load())
	return c
}

// Digest returns a hash of what the server should have received of a request.
func Digest(method, requestURI string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + requestURI + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}
