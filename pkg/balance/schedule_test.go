package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// Guards against zones that other regions take for full for two seconds after all VMs
// restarted, while their requests go to servers that are known to fail.
func TestFirstDigestsComeSoon(t *testing.T) {
	var d DigestTimes
	var sent []time.Duration
	for now := fleet.Time(10 * time.Millisecond); now < fleet.Time(10*time.Second); now = now.Add(10 * time.Millisecond) {
		if d.FarDue(now) {
			d.Far = now
			sent = append(sent, time.Duration(now))
		}
	}
	require.Equal(t, 10*time.Millisecond, sent[0])
	require.LessOrEqual(t, sent[1], 600*time.Millisecond)
	require.LessOrEqual(t, len(sent), 13)
}
