package fleetsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

// Guards against servers that get more requests from all VMs together than the rate limit that they name.
func TestRateLimitsOfServersHold(t *testing.T) {
	for seed := range uint64(8) {
		r := runScenario(t, loadScenario(t, "limits"), seed)
		require.LessOrEqual(t, r.OverLimit, 0.0, seed)
	}
}

// Guards against limits that hold only in the load, the fleet and the network of the scenario.
func TestRateLimitsHoldInOtherFleets(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"all servers": func(s *Scenario) { s.Limits.Share = 1 },
		"low limits":  func(s *Scenario) { s.Limits.Share, s.Limits.Rate = 1, 0.5 },
		"one by one": func(s *Scenario) {
			s.Limits.Share, s.Limits.Rate, s.Limits.Late = 0.5, 1, document.Duration(8*time.Second)
		},
		"slow reports": func(s *Scenario) {
			s.Delays.Zone, s.Delays.Region = document.Duration(40*time.Millisecond), document.Duration(100*time.Millisecond)
		},
		"restart of all": func(s *Scenario) {
			s.Restart = &Restart{At: document.Duration(12 * time.Second), Down: document.Duration(time.Second), Spread: document.Duration(2 * time.Second)}
		},
	} {
		for seed := range uint64(3) {
			s := loadScenario(t, "limits")
			change(s)
			r := runScenario(t, s, seed)
			require.LessOrEqual(t, r.OverLimit, 0.0, "%s, seed %d", name, seed)
		}
	}
}

// Guards against the VMs of a large zone that all send requests to a server in the moment in which its limit
// allows one.
func TestRateLimitsHoldInALargeZone(t *testing.T) {
	for _, rate := range []float64{255, 500} {
		s := withDuration(loadScenario(t, "limits"), 16*time.Second)
		s.Zones = []Zone{{Name: "addis-a", Region: "addis", VMs: 50, Servers: 99}}
		s.Rate, s.Limits.Rate, s.Limits.To = rate, 1.3, s.Duration
		s.Delays.Zone = document.Duration(40 * time.Millisecond)
		r := runScenario(t, s, 1)
		require.LessOrEqual(t, r.OverLimit, 0.0, rate)
	}
}

// Guards against limits that are left unused while requests are refused for lack of capacity.
func TestRateLimitsAreUsedUnderShortage(t *testing.T) {
	for seed := range uint64(3) {
		s := loadScenario(t, "limits")
		s.Limits.Share, s.Limits.Rate = 1, 3
		r := runScenario(t, s, seed)
		require.Positive(t, r.Refused, seed)
		require.GreaterOrEqual(t, r.LimitUse, 0.95, seed)
	}
}

// smallFleet returns a scenario of a service with few servers, all of which name a limit.
func smallFleet(t *testing.T, rate, limit float64, zones ...Zone) *Scenario {
	s := loadScenario(t, "limits")
	s.Zones, s.Rate, s.RateAmplitude, s.Failing = zones, rate, 0, Failing{}
	s.Limits.Share, s.Limits.Rate = 1, limit
	return s
}

// Guards against VMs of another region that send servers with a limit their whole load: the VM of the servers' region has
// no callers, so that it says nothing of the limit.
func TestRateLimitsHoldForCallersOfAnotherRegion(t *testing.T) {
	for seed := range uint64(8) {
		s := smallFleet(t, 28, 0.5, Zone{Name: "addis-a", Region: "addis", VMs: 1, Servers: 2, Idle: true}, Zone{Name: "hawassa-a", Region: "hawassa", VMs: 3},
			Zone{Name: "bahirdar-a", Region: "bahirdar", VMs: 3})
		r := runScenario(t, s, seed)
		require.LessOrEqual(t, r.OverLimit, 0.0, seed)
		require.Positive(t, r.LimitUse, seed)
		require.Positive(t, r.InTime, seed)
	}
}

// Guards against a VM that has just started, knows of no limit and ends it at the others: it is the only one in the
// server's zone, and so sends that zone's digest.
func TestRateLimitsHoldWhenTheServersZoneRestarts(t *testing.T) {
	for seed := range uint64(8) {
		for _, at := range []time.Duration{11 * time.Second, 14 * time.Second, 19 * time.Second} {
			s := smallFleet(t, 12, 0.25, Zone{Name: "addis-a", Region: "addis", VMs: 3}, Zone{Name: "addis-b", Region: "addis", VMs: 1, Servers: 1})
			s.Restart = &Restart{Zone: "addis-b", At: document.Duration(at), Down: document.Duration(time.Second)}
			r := runScenario(t, s, seed)
			require.LessOrEqual(t, r.OverLimit, 0.0, "seed %d, restart at %s", seed, at)
		}
	}
}
