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

// Values of RunResult. The result is empty while the request runs.
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

// Counts are totals since the server's start, unless stated otherwise.
type Counts struct {
	Started             int `json:"started"` // runs
	Done                int `json:"done"`
	Cancelled           int `json:"cancelled"`
	Shed                int `json:"shed"`     // requests refused because all slots were busy
	Declined            int `json:"declined"` // requests refused while draining
	Probes              int `json:"probes"`   // requests to the health endpoint
	Running             int `json:"running"`  // at present
	PeakRunning         int `json:"peak_running"`
	Connections         int `json:"connections"` // open at present
	PeakConnections     int `json:"peak_connections"`
	ConnectionsAccepted int `json:"connections_accepted"`
}

// ledger records the server's runs. Backend.mu guards it.
type ledger struct {
	keepEntries  bool
	entries      []LedgerEntry
	running      int
	counts       Counts
	lastResponse *response // for FaultCross
}

func newLedger(keep bool) ledger { return ledger{keepEntries: keep} }

// add records the start of a run and returns the index of its entry, or -1 when entries
// are not kept.
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

func (l *ledger) finish(index int, runResult RunResult, now time.Time) {
	l.running--
	if runResult == RunDone {
		l.counts.Done++
	} else {
		l.counts.Cancelled++
	}
	if index >= 0 && index < len(l.entries) {
		l.entries[index].End, l.entries[index].Result = now, runResult
	}
}

// Ledger returns a copy of all entries in the order of their start.
func (b *Backend) Ledger() []LedgerEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]LedgerEntry(nil), b.ledger.entries...)
}

// RunsByRequest returns the entries with the caller's request id, in the order of their start.
func (b *Backend) RunsByRequest(id string) []LedgerEntry {
	var out []LedgerEntry
	for _, e := range b.Ledger() {
		if e.CallerRequestID() == id {
			out = append(out, e)
		}
	}
	return out
}

// RunsByKey returns the entries with the idempotency key, in the order of their start.
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

// Digest returns the hash of a request's method, URI and body in hexadecimal. A server
// that received the request unchanged computes the same digest.
func Digest(method, requestURI string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + requestURI + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}
