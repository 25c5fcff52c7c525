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

// proxyMetrics holds the proxy's metrics. Labelled metrics are cached, because formatting their names
// costs more than incrementing them.
type proxyMetrics struct {
	set            *metrics.Set
	inFlight       *metrics.Gauge
	queueTime      *metrics.Histogram
	refusedReplays *metrics.Counter
	strayResponses *metrics.Counter

	unresponsiveConns *metrics.Counter // connections closed because the server acknowledged nothing

	requests  sync.Map // requestLabel to *metrics.Counter
	attempts  sync.Map // attemptLabel to *metrics.Counter
	durations sync.Map // fleet.Service to *metrics.Histogram
}

type requestLabel struct {
	service fleet.Service
	code    result.Code
}

type attemptLabel struct {
	service fleet.Service
	end     pool.EndState
}

func newProxyMetrics(set *metrics.Set) *proxyMetrics {
	return &proxyMetrics{
		set:            set,
		inFlight:       set.GetOrCreateGauge("fulmarbeam_requests_in_flight", nil),
		queueTime:      set.GetOrCreateHistogram("fulmarbeam_queue_seconds"),
		refusedReplays: set.GetOrCreateCounter("fulmarbeam_transport_repeats_refused_total"),
		strayResponses: set.GetOrCreateCounter("fulmarbeam_stray_answers_total"),

		unresponsiveConns: set.GetOrCreateCounter("fulmarbeam_unresponsive_connections_total"),
	}
}

func loadOrBuild[K comparable, V any](m *sync.Map, key K, build func() V) V {
	if v, ok := m.Load(key); ok {
		return v.(V)
	}
	v, _ := m.LoadOrStore(key, build())
	return v.(V)
}

func (m *proxyMetrics) request(service fleet.Service, code result.Code, took time.Duration) {
	loadOrBuild(&m.requests, requestLabel{service, code}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_requests_total{service=%q,code=%q}`, service, code))
	}).Inc()
	loadOrBuild(&m.durations, service, func() *metrics.Histogram {
		return m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarbeam_request_seconds{service=%q}`, service))
	}).Update(took.Seconds())
}

func (m *proxyMetrics) attempt(service fleet.Service, end pool.EndState) {
	loadOrBuild(&m.attempts, attemptLabel{service, end}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_attempts_total{service=%q,end=%q}`, service, endLabel(end)))
	}).Inc()
}

func (m *proxyMetrics) keyRefusal(reason keyRefusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_api_key_refusals_total{reason=%q}`, reason)).Inc()
}

func (m *proxyMetrics) quotaDecision(d quotaDecision) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_quota_requests_total{decision=%q}`, d)).Inc()
}

func (m *proxyMetrics) regionBytes(region fleet.Region) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_region_bytes_total{region=%q}`, region))
}

func (m *proxyMetrics) conns(service fleet.Service) *metrics.Gauge {
	return m.set.GetOrCreateGauge(fmt.Sprintf(`fulmarbeam_server_connections{service=%q}`, service), nil)
}

func endLabel(e pool.EndState) string {
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
