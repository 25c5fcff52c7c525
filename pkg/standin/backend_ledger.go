package standin

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ended says how a run ended.
type Ended string

// Ends of a run. An empty Ended means that it still runs.
const (
	EndedDone      Ended = "done"      // the work was completed
	EndedCancelled Ended = "cancelled" // the caller left, the deadline passed or the server stopped
)

// Entry is one run in the ledger.
type Entry struct {
	RequestID string    `json:"request_id"` // X-Request-Id as the server saw it
	Key       string    `json:"key,omitempty"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Digest    string    `json:"digest"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"` // zero while it runs
	Ended     Ended     `json:"ended,omitempty"`
}

// Request returns the request's id without the suffix that the fleet adds for each
// attempt.
func (e Entry) Request() string {
	if i := strings.LastIndexByte(e.RequestID, '.'); i >= 0 {
		return e.RequestID[:i]
	}
	return e.RequestID
}

// Counts sums up a server's life.
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

// ledger records what really ran. The backend's mutex guards it.
type ledger struct {
	keep       bool
	entries    []Entry
	running    int
	counts     Counts
	lastAnswer *wholeAnswer // for FaultCross
}

func newLedger(keep bool) ledger { return ledger{keep: keep} }

func (l *ledger) start(r *http.Request, body []byte, now time.Time) int {
	l.running++
	l.counts.Started++
	l.counts.PeakRunning = max(l.counts.PeakRunning, l.running)
	if !l.keep {
		return -1
	}
	l.entries = append(l.entries, Entry{
		RequestID: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Digest: Digest(r.Method, r.URL.RequestURI(), body), Start: now,
	})
	return len(l.entries) - 1
}

func (l *ledger) end(run int, state Ended, now time.Time) {
	l.running--
	if state == EndedDone {
		l.counts.Done++
	} else {
		l.counts.Cancelled++
	}
	if run >= 0 && run < len(l.entries) {
		l.entries[run].End, l.entries[run].Ended = now, state
	}
}

// Ledger returns a copy of all runs in order of their start.
func (b *Backend) Ledger() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Entry(nil), b.ledger.entries...)
}

// Runs returns the runs of a caller's request id.
func (b *Backend) Runs(request string) []Entry {
	var out []Entry
	for _, e := range b.Ledger() {
		if e.Request() == request {
			out = append(out, e)
		}
	}
	return out
}

// RunsOfKey returns the runs with an idempotency key.
func (b *Backend) RunsOfKey(key string) []Entry {
	var out []Entry
	for _, e := range b.Ledger() {
		if e.Key == key {
			out = append(out, e)
		}
	}
	return out
}

// Counts returns the sums so far.
func (b *Backend) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.ledger.counts
	c.Running = b.ledger.running
	c.Connections = int(b.ln.open.Load())
	c.PeakConns = int(b.ln.peak.Load())
	c.ConnsAccepted = int(b.ln.total.Load())
	return c
}

// Digest identifies a request by what the server should have seen of it.
func Digest(method, requestURI string, body []byte) string {
	d := xxhash.New()
	_, _ = d.WriteString(method + " " + requestURI + "\n")
	_, _ = d.Write(body)
	return fmt.Sprintf("%016x", d.Sum64())
}
