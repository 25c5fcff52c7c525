package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// Guards against requests that wait or are shed while slots are free.
func TestHalfLoadIsServedWithinSlots(t *testing.T) {
	s := newSim(t, 1, 8, 20, document.Floor{Servers: 16}, PolicyCredits)
	s.rate = 2500
	s.onTick = s.checkSlots
	s.run(5 * time.Second)
	s.measureFrom = s.now
	s.run(5 * time.Second)
	t.Logf("done %d failed %d sheds %d refusals %v p99 %v bytes/frame %d frames %d events %v", s.done, s.failed, s.sheds, s.refusals,
		quantile(s.waits["menu"], 0.99), s.bytes/s.frames, s.frames, len(s.events))
	require.Zero(t, s.sheds)
	require.Empty(t, s.refusals)
	require.Zero(t, s.count(EventEjected))
	require.Greater(t, s.done, 15000)
}
