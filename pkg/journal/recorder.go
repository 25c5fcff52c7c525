package journal

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// Intervals and timeouts of the recorder.
const (
	pollInterval       = time.Second
	appendTimeout      = 3 * time.Second
	flushRetryInterval = 250 * time.Millisecond
)

// Config configures a Recorder. Self is required.
type Config struct {
	Self    fleet.Member
	Seed    uint64            // seed of the event sampling
	Log     platformapi.Log   // nil: events are held in memory only
	Now     func() fleet.Time // nil: the process's monotonic clock
	Wall    func() time.Time  // nil: time.Now
	Logger  logr.Logger
	Metrics *metrics.Set // nil: metrics are not exported
}

// Recorder holds the recent events of one VM in memory and appends them to the log
// stream. It is safe for concurrent use.
type Recorder struct {
	cfg           Config
	appendsOK     *metrics.Counter
	appendsFailed *metrics.Counter
	appendMu      sync.Mutex // serializes appends

	mu            sync.Mutex
	ring          *Ring
	batcher       *Batcher
	lastEventTime int64
}

// New returns a Recorder. Run and Flush append its events to the log stream.
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
		cfg:           cfg,
		appendsOK:     cfg.Metrics.GetOrCreateCounter(`fulmarbeam_journal_appends_total{result="ok"}`),
		appendsFailed: cfg.Metrics.GetOrCreateCounter(`fulmarbeam_journal_appends_total{result="failed"}`),
		ring:          NewRing(RingSize),
		batcher:       NewBatcher(cfg.Self, cfg.Seed),
	}
}

// Record sets the event's time and VM and stores it. The caller must not modify the
// event's Detail map afterwards.
func (r *Recorder) Record(e fleet.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Distinct times let readers distinguish two similar events from a duplicate.
	e.At = max(r.cfg.Wall().UnixNano(), r.lastEventTime+1)
	e.VM = r.cfg.Self.VM
	r.lastEventTime = e.At
	r.ring.Add(e)
	if r.cfg.Log != nil {
		r.batcher.Add(r.cfg.Now(), e)
	}
}

// Query returns the events in memory that match q, oldest first.
func (r *Recorder) Query(q Query) []fleet.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ring.Query(q)
}

// Run appends batches to the stream until ctx ends. It does not flush pending events.
func (r *Recorder) Run(ctx context.Context) {
	if r.cfg.Log == nil {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if _, err := r.appendNext(ctx, false); err != nil {
				r.cfg.Logger.V(1).Info("failed to append events to the log stream", "error", err.Error())
			}
		}
	}
}

// Flush appends all pending events; it is called at shutdown. It retries failed appends
// until ctx ends.
func (r *Recorder) Flush(ctx context.Context) error {
	if r.cfg.Log == nil {
		return nil
	}
	for {
		more, err := r.appendNext(ctx, true)
		if err == nil && !more {
			return nil
		}
		if err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(flushRetryInterval):
		}
	}
}

// appendNext appends the next batch if one is due and reports whether it appended one.
func (r *Recorder) appendNext(ctx context.Context, flush bool) (bool, error) {
	r.appendMu.Lock()
	defer r.appendMu.Unlock()
	r.mu.Lock()
	data, err := r.batcher.NextBatch(r.cfg.Now(), r.cfg.Wall().UnixNano(), flush)
	r.mu.Unlock()
	if err != nil || data == nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := r.cfg.Log.Append(ctx, StreamName, data); err != nil {
		r.appendsFailed.Inc()
		return false, err
	}
	r.appendsOK.Inc()
	r.mu.Lock()
	r.batcher.ConfirmAppend()
	r.mu.Unlock()
	return true, nil
}
