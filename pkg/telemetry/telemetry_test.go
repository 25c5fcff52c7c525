package telemetry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter is a log destination that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// A log destination that stops accepting lines must not block the requests that log. The
// dropped lines must be counted.
func TestLossyWriterDoesNotBlock(t *testing.T) {
	destination := blockedWriter{make(chan struct{})}
	set := NewMetrics()
	w := NewLossyWriter(destination, set)
	for range 3 * logBufferLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(destination.release)
	require.NoError(t, w.Close())
	var text strings.Builder
	set.WritePrometheus(&text)
	require.NotContains(t, text.String(), "fulmarbeam_log_lines_dropped_total 0")
}
