package proxy

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/pool"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// meters holds the proxy's metrics. Counters with labels are looked up once and
// kept, since building their name costs more than counting.
type meters struct {
	set      *metrics.Set
	inFlight *metrics.Gauge
	wait     *metrics.Histogram
	replays  *metrics.Counter
	stale    *metrics.Counter

	requests sync.Map // requestLabel to *metrics.Counter
	attempts sync.Map // attemptLabel to *metrics.Counter
	times    sync.Map // fleet.Service to *metrics.Histogram
}

type requestLabel struct {
	service fleet.Service
	code    result.Code
}

type attemptLabel struct {
	service fleet.Service
	end     pool.EndState
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:      set,
		inFlight: set.GetOrCreateGauge("fulmarbeam_requests_in_flight", nil),
		wait:     set.GetOrCreateHistogram("fulmarbeam_queue_seconds"),
		replays:  set.GetOrCreateCounter("fulmarbeam_transport_repeats_refused_total"),
		stale:    set.GetOrCreateCounter("fulmarbeam_stray_answers_total"),
	}
}

func cached[K comparable, V any](m *sync.Map, key K, build func() V) V {
	if v, ok := m.Load(key); ok {
		return v.(V)
	}
	v, _ := m.LoadOrStore(key, build())
	return v.(V)
}

func (m *meters) request(service fleet.Service, code result.Code, took time.Duration) {
	cached(&m.requests, requestLabel{service, code}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_requests_total{service=%q,code=%q}`, service, code))
	}).Inc()
	cached(&m.times, service, func() *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarbeam_request_seconds{service=%q}`, service))
	}).Update(took.Seconds())
}

func (m *meters) attempt(service fleet.Service, end pool.EndState) {
	cached(&m.attempts, attemptLabel{service, end}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_attempts_total{service=%q,end=%q}`, service, endName(end)))
	}).Inc()
}

func (m *meters) regionBytes(region fleet.Region) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_region_bytes_total{region=%q}`, region))
}

func (m *meters) conns(service fleet.Service) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf(`fulmarbeam_server_connections{service=%q}`, service), nil)
}

func endName(e pool.EndState) string {
	switch e {
	case pool.EndOK:
		return "ok"
	case pool.EndFailed:
		return "failed"
	case pool.EndUnreachable:
		return "unreachable"
	case pool.EndShed:
		return "shed"
	case pool.EndDraining:
		return "draining"
	case pool.EndCallerError:
		return "caller_error"
	case pool.EndAbandoned:
		return "abandoned"
	case pool.EndTimeout:
		return "timeout"
	}
	return "none"
}
