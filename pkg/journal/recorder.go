package journal

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
)

// Times of the recorder.
const (
	pollInterval  = time.Second
	appendTimeout = 3 * time.Second
	flushRetry    = 250 * time.Millisecond
)

// Config describes a recorder. Self is required.
type Config struct {
	Self    fleet.Member
	Seed    uint64
	Log     platform.Log      // nil: events are kept in memory only
	Now     func() fleet.Time // nil: the process's monotonic clock
	Wall    func() time.Time  // nil: time.Now
	Logger  logr.Logger
	Metrics *metrics.Set // nil: a private set
}

// Recorder keeps the events of one VM and appends them to the stream. It is safe
// for concurrent use.
type Recorder struct {
	cfg      Config
	appended *metrics.Counter
	failed   *metrics.Counter
	appendMu sync.Mutex // one append at a time

	mu      sync.Mutex
	ring    *Ring
	batcher *Batcher
	lastAt  int64
}

// New returns a recorder. Run appends its events.
func New(cfg Config) *Recorder {
	if cfg.Now == nil {
		origin := time.Now()
		cfg.Now = func() fleet.Time { return fleet.Time(time.Since(origin)) }
	}
	if cfg.Wall == nil {
		cfg.Wall = time.Now
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	if cfg.Logger.GetSink() == nil {
		cfg.Logger = logr.Discard()
	}
	return &Recorder{
		cfg:      cfg,
		appended: cfg.Metrics.GetOrCreateCounter(`fulmarbeam_journal_appends_total{result="ok"}`),
		failed:   cfg.Metrics.GetOrCreateCounter(`fulmarbeam_journal_appends_total{result="failed"}`),
		ring:     NewRing(RingSize),
		batcher:  NewBatcher(cfg.Self, cfg.Seed),
	}
}

// Record fills in time and VM and keeps the event. The event's map must not be
// changed afterwards.
func (r *Recorder) Record(e fleet.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Distinct times let readers tell two alike events from one that they got twice.
	e.At = max(r.cfg.Wall().UnixNano(), r.lastAt+1)
	e.VM = r.cfg.Self.VM
	r.lastAt = e.At
	r.ring.Add(e)
	if r.cfg.Log != nil {
		r.batcher.Add(r.cfg.Now(), e)
	}
}

// Query returns the selected events in memory, oldest first.
func (r *Recorder) Query(q Query) []fleet.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.Query(q)
}

// Run appends batches until ctx ends. It does not flush.
func (r *Recorder) Run(ctx context.Context) {
	if r.cfg.Log == nil {
		return
	}
	timer := time.NewTicker(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			if _, err := r.appendOnce(ctx, false); err != nil {
				r.cfg.Logger.V(1).Info("events not appended", "error", err.Error())
			}
		}
	}
}

// Flush appends all events that wait, for the end of the process. It tries again
// after a failure until ctx ends.
func (r *Recorder) Flush(ctx context.Context) error {
	if r.cfg.Log == nil {
		return nil
	}
	for {
		more, err := r.appendOnce(ctx, true)
		if err == nil && !more {
			return nil
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(flushRetry):
		}
	}
}

// appendOnce appends the next batch if one is due and reports whether it did.
func (r *Recorder) appendOnce(ctx context.Context, flush bool) (bool, error) {
	r.appendMu.Lock()
	defer r.appendMu.Unlock()
	r.mu.Lock()
	data, err := r.batcher.Next(r.cfg.Now(), r.cfg.Wall().UnixNano(), flush)
	r.mu.Unlock()
	if err != nil || data == nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.cfg.Log.Append(ctx, Stream, data); err != nil {
		r.failed.Inc()
		return false, err
	}
	r.appended.Inc()
	r.mu.Lock()
	r.batcher.Done()
	r.mu.Unlock()
	return true, nil
}
