package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ended is how a run ended.
type Ended string

// Values of Ended. It is empty while the request runs.
const (
	EndedDone      Ended = "done"      // the work completed
	EndedCancelled Ended = "cancelled" // the client cancelled, the deadline passed or the server stopped
)

// Entry is the ledger's record of one run, which is one execution of a request.
type Entry struct {
	RequestID string    `json:"request_id"` // X-Request-Id as the server received it
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Digest    string    `json:"digest"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"` // zero while the request runs
	Ended     Ended     `json:"ended,omitempty"`
}

// Request returns the caller's request id, which is RequestID without the suffix that
// the fleet adds to each attempt.
func (e Entry) Request() string {
	if i := strings.LastIndexByte(e.RequestID, '.'); i >= 0 {
		return e.RequestID[:i]
	}
	return e.RequestID
}

// Counts are totals since the server's start, and current and peak values.
type Counts struct {
	Started       int `json:"started"`
	Done          int `json:"done"`
	Cancelled     int `json:"cancelled"`
	Shed          int `json:"shed"`
	Declined      int `json:"declined"`
	Probes        int `json:"probes"`
	Running       int `json:"running"`
	PeakRunning   int `json:"peak_running"`
	Connections   int `json:"connections"`
	PeakConns     int `json:"peak_connections"`
	ConnsAccepted int `json:"connections_accepted"`
}

// ledger records the requests that the server executed. Backend.mu guards it.
type ledger struct {
	keepEntries  bool
	entries      []Entry
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
	l.entries = append(l.entries, Entry{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Digest: Digest(r.Method, r.URL.RequestURI(), body), Start: now,
	})
	return len(l.entries) - 1
}

func (l *ledger) finish(entry int, state Ended, now time.Time) {
	l.running--
	if state == EndedDone {
		l.counts.Done++
	} else {
		l.counts.Cancelled++
	}
	if entry >= 0 && entry < len(l.entries) {
		l.entries[entry].End, l.entries[entry].Ended = now, state
	}
}

// Ledger returns a copy of all entries in the order of their start.
func (b *Backend) Ledger() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Entry(nil), b.ledger.entries...)
}

// Runs returns the entries with a caller's request id.
func (b *Backend) Runs(request string) []Entry {
	var out []Entry
	for _, e := range b.Ledger() {
		if e.Request() == request {
			out = append(out, e)
		}
	}
	return out
}

// RunsOfKey returns the entries with an idempotency key.
func (b *Backend) RunsOfKey(key string) []Entry {
	var out []Entry
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
	c.PeakConns = int(b.ln.peak.Load())
	c.ConnsAccepted = int(b.ln.accepted.Load())
	return c
}

// Digest returns a hash of what the server should have received of a request.
func Digest(method, requestURI string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + requestURI + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}
