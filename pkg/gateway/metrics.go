package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// registerMetrics registers gauges of the deterministic state.
func (g *Gateway) registerMetrics() {
	gauge := func(name string, value func(now fleet.Time) float64) {
		g.cfg.Metrics.GetOrCreateGauge(name, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value(g.Now())
		})
	}
	gauge("fulmarbeam_configuration_revision", func(fleet.Time) float64 {
		if x := g.index.Load(); x != nil {
			return float64(x.Revision)
		}
		return 0
	})
	index := func(value func(*document.Index) int) func(fleet.Time) float64 {
		return func(fleet.Time) float64 {
			if x := g.index.Load(); x != nil {
				return float64(value(x))
			}
			return 0
		}
	}
	gauge("fulmarbeam_workspaces", index((*document.Index).WorkspaceCount))
	gauge("fulmarbeam_api_keys", index((*document.Index).KeyCount))
	gauge("fulmarbeam_configuration_unconfirmed_seconds", func(now fleet.Time) float64 {
		if at, known := g.follower.ConfirmedAt(); known {
			return now.Sub(at).Seconds()
		}
		return math.Inf(1)
	})
	gauge("fulmarbeam_registry_age_seconds", func(now fleet.Time) float64 { return g.follower.Age(now).Seconds() })
	gauge("fulmarbeam_registry_reader", func(fleet.Time) float64 {
		if g.follower.IsReader() {
			return 1
		}
		return 0
	})
	gauge("fulmarbeam_store_epoch", func(fleet.Time) float64 { return float64(g.follower.StoreEpoch()) })
	gauge("fulmarbeam_region_peers", func(now fleet.Time) float64 { return float64(g.members.LivePeers(now)) })
	gauge("fulmarbeam_fleet_vms", func(fleet.Time) float64 { return float64(g.members.FleetSize()) })
	gauge(`fulmarbeam_servers{belief="healthy"}`, func(now fleet.Time) float64 { h, _ := g.balance.HealthCounts(now); return float64(h) })
	gauge(`fulmarbeam_servers{belief="suspect"}`, func(now fleet.Time) float64 { _, s := g.balance.HealthCounts(now); return float64(s) })
	gauge(`fulmarbeam_server_notices{notice="rate_limit"}`, func(now fleet.Time) float64 { n, _, _ := g.balance.NoticeCounts(now); return float64(n) })
	gauge(`fulmarbeam_server_notices{notice="leaving"}`, func(now fleet.Time) float64 { _, n, _ := g.balance.NoticeCounts(now); return float64(n) })
	gauge(`fulmarbeam_server_notices{notice="pause"}`, func(now fleet.Time) float64 { _, _, n := g.balance.NoticeCounts(now); return float64(n) })
	gauge(`fulmarbeam_quota_workspaces{state="in_use"}`, func(fleet.Time) float64 { return float64(g.quota.Usage().Accounts) })
	gauge(`fulmarbeam_quota_workspaces{state="limited"}`, func(fleet.Time) float64 { return float64(g.quota.Usage().Limited) })
	gauge("fulmarbeam_quota_share", func(fleet.Time) float64 { return g.quota.Usage().Share })
	gauge("fulmarbeam_limited_server_attempts_total", func(fleet.Time) float64 { return float64(g.balance.LimitedStarts()) })
}

// NewStoreObserver returns an observer for calls to the store that counts them and logs those that failed.
func NewStoreObserver(set *metrics.Set, log logr.Logger) func(call string, took time.Duration, err error) {
	return func(call string, took time.Duration, err error) {
		outcome := "ok"
		if err != nil {
			outcome = "failed"
			log.Info("store call failed", "call", call, "took_ms", took.Milliseconds(), "error", err.Error())
		}
		set.GetOrCreateCounter(fmt.Sprintf(`fulmarbeam_store_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
		set.GetOrCreateHistogram(fmt.Sprintf(`fulmarbeam_store_call_seconds{call=%q}`, call)).Update(took.Seconds())
	}
}
