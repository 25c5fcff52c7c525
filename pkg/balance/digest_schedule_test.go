package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Guards against first digests that come too late after all VMs restarted: other regions
// treat a zone without a digest as full and send their requests to servers known to fail.
func TestFirstDigestsAreSentSoonAfterStart(t *testing.T) {
	var d DigestSchedule
	var sent []time.Duration
	for now := fleet.Time(10 * time.Millisecond); now < fleet.Time(10*time.Second); now = now.Add(10 * time.Millisecond) {
		if d.OtherRegionsDue(now) {
			d.OtherRegionsSent = now
			sent = append(sent, time.Duration(now))
		}
	}
	require.Equal(t, 10*time.Millisecond, sent[0])
	require.LessOrEqual(t, sent[1], 600*time.Millisecond)
	require.LessOrEqual(t, len(sent), 13)
}
