package gateway

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
)

// StoreMeter returns an observer of calls to the store that counts them and logs
// those that failed.
func StoreMeter(set *metrics.Set, log logr.Logger) func(call string, took time.Duration, err error) {
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
