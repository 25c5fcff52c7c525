package telemetry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuck is a reader of the log that stops reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a reader of the log that stops and blocks the requests that log.
func TestStuckReaderBlocksNothing(t *testing.T) {
	s := stuck{make(chan struct{})}
	set := NewMetrics()
	w := NewLossyWriter(s, set)
	for range 3 * logLines {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(s.release)
	require.NoError(t, w.Close())
	var text strings.Builder
	set.WritePrometheus(&text)
	require.NotContains(t, text.String(), "fulmarbeam_log_lines_dropped_total 0")
}
