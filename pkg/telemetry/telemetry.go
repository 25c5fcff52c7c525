// Package telemetry sets up logs, request ids, traces and metrics for the programs.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Verbosity of logr calls: V(Info) is shown at levels info and debug, V(Debug) at
// debug only. Errors are always shown.
const (
	Info  = 0
	Debug = 1
)

// NewLogger returns a logger that writes to w. Level is error, info or debug and
// format is json or console. Other values give an error with the code UsageError.
func NewLogger(w io.Writer, level, format string) (logr.Logger, error) {
	// logr's V(1) is zerolog's debug level; zerologr maps V(n) to level 1-n.
	levels := map[string]zerolog.Level{"error": zerolog.ErrorLevel, "info": zerolog.InfoLevel, "debug": zerolog.DebugLevel}
	l, ok := levels[level]
	if !ok {
		return logr.Discard(), result.Errorf(result.UsageError, "log level %q is not error, info or debug", level)
	}
	switch format {
	case "json":
	case "console":
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339Nano, NoColor: true}
	default:
		return logr.Discard(), result.Errorf(result.UsageError, "log format %q is not json or console", format)
	}
	z := zerolog.New(w).Level(l).With().Timestamp().Logger()
	return zerologr.New(&z), nil
}

// logLines is how many lines wait to be written before further ones are dropped.
const logLines = 4096

// NewLossyWriter returns a writer that never blocks: lines wait in a ring for one
// writer, and what does not fit is dropped and counted. Close writes what waits.
func NewLossyWriter(w io.Writer, set *metrics.Set) io.WriteCloser {
	dropped := set.GetOrCreateCounter("fulmarbeam_log_lines_dropped_total")
	return diode.NewWriter(w, logLines, 0, func(missed int) {
		dropped.Add(missed)
		fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", missed)
	})
}

// RequestIDHeader carries the request id to servers, callers and operators.
const RequestIDHeader = "X-Request-Id"

// maxRequestID bounds an id that a caller sent, because it is logged and kept.
const maxRequestID = 128

// NewRequestID returns a new id: a UUID of version 7, which sorts by time.
func NewRequestID() string {
	id, err := uuid.NewV7()
	if err != nil { // the system's random source failed
		return uuid.NewString()
	}
	return id.String()
}

// RequestID returns the caller's request id if it is printable ASCII without
// spaces and not too long, and a new one otherwise.
func RequestID(h http.Header) string {
	id := h.Get(RequestIDHeader)
	if id == "" || len(id) > maxRequestID {
		return NewRequestID()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return NewRequestID()
		}
	}
	return id
}

// NewMetrics returns a set for one VM. Several VMs can run in one process, so the
// package-wide set of the metrics library is not used.
func NewMetrics() *metrics.Set { return metrics.NewSet() }

// MetricsHandler serves the set, and the metrics of the process, in the text
// format of Prometheus.
func MetricsHandler(set *metrics.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}
