package fleetsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against servers that get more requests from all VMs together than the rate limit that they name.
func TestRateLimitsOfServersHold(t *testing.T) {
	for seed := range uint64(8) {
		r := runScenario(t, loadScenario(t, "limits"), seed)
		require.LessOrEqual(t, r.OverLimit, 0.0, seed)
	}
}
