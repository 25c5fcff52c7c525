// Package telemetry provides logging, request ids, tracing and metrics for the programs.
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

// Verbosity levels of logr. Messages of V(Info) are written at log levels info and debug,
// those of V(Debug) at debug only. Errors are always written.
const (
	Info  = 0
	Debug = 1
)

// NewLogger returns a logger that writes to w. level must be error, info or debug, and
// format must be json or console; otherwise the error has the code UsageError.
func NewLogger(w io.Writer, level, format string) (logr.Logger, error) {
	// zerologr maps V(n) to zerolog level 1-n, so V(1) is zerolog's debug level.
	levels := map[string]zerolog.Level{"error": zerolog.ErrorLevel, "info": zerolog.InfoLevel, "debug": zerolog.DebugLevel}
	l, ok := levels[level]
	if !ok {
		return logr.Discard(), result.Errorf(result.UsageError, "log level must be error, info or debug, not %q", level)
	}
	switch format {
	case "json":
	case "console":
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.RFC3339Nano, NoColor: true}
	default:
		return logr.Discard(), result.Errorf(result.UsageError, "log format must be json or console, not %q", format)
	}
	z := zerolog.New(w).Level(l).With().Timestamp().Logger()
	return zerologr.New(&z), nil
}

// logBufferLines is the number of lines that are buffered before lines are dropped.
const logBufferLines = 4096

// NewLossyWriter returns a writer that never blocks. A goroutine writes lines to w from a
// ring buffer; lines that do not fit are dropped and counted. Close writes the buffered
// lines.
func NewLossyWriter(w io.Writer, set *metrics.Set) io.WriteCloser {
	dropped := set.GetOrCreateCounter("fulmarbeam_log_lines_dropped_total")
	return diode.NewWriter(w, logBufferLines, 0, func(missed int) {
		dropped.Add(missed)
		fmt.Fprintf(w, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":%d}\n", missed)
	})
}

// RequestIDHeader carries the request id to servers, callers and operators.
const RequestIDHeader = "X-Request-Id"

// maxRequestIDBytes limits the length of request ids sent by callers, because they are
// logged and stored.
const maxRequestIDBytes = 128

// NewRequestID returns a new request id: a UUID of version 7, which is ordered by time.
func NewRequestID() string {
	id, err := uuid.NewV7()
	if err != nil { // the system's random number generator failed
		return uuid.NewString()
	}
	return id.String()
}

// RequestID returns the caller's request id if it is valid, that is, printable ASCII
// without spaces and not too long. Otherwise it returns a new id.
func RequestID(h http.Header) string {
	id := h.Get(RequestIDHeader)
	if id == "" || len(id) > maxRequestIDBytes {
		return NewRequestID()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return NewRequestID()
		}
	}
	return id
}

// NewMetrics returns a metrics set for one VM. The default set of the metrics library is
// not used because several VMs can run in one process.
func NewMetrics() *metrics.Set { return metrics.NewSet() }

// MetricsHandler serves the metrics of the set and of the process in the Prometheus text
// format.
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
