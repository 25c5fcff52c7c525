package fleetsim

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
)

func scenario(t *testing.T, name string) *Scenario {
	t.Helper()
	s, err := Load(filepath.Join("..", "..", "scenarios", "decisions", name+".jsonc"))
	require.NoError(t, err)
	return s
}

func play(t *testing.T, s *Scenario, seed uint64) *Report {
	t.Helper()
	r, err := Run(s, seed)
	require.NoError(t, err)
	require.Equal(t, r.Requests, r.InTime+r.Late+r.Unserved)
	return r
}

func short(s *Scenario, d time.Duration) *Scenario {
	s.Duration = document.Duration(d)
	return s
}

// Guards against a run that differs from the last one without a change of the code,
// such as by the order of a map.
func TestSameSeedSameReport(t *testing.T) {
	s := short(scenario(t, "turns"), 10*time.Second)
	require.Equal(t, play(t, s, 3), play(t, s, 3))
	require.NotEqual(t, play(t, s, 3).InTime, play(t, s, 4).InTime)
}

// Guards against requests that the fleet loses by itself.
func TestHealthyServersServeAll(t *testing.T) {
	s := short(scenario(t, "turns"), 20*time.Second)
	s.Failing = Failing{}
	for i := range s.Routes {
		s.Routes[i].Tail = 0
	}
	r := play(t, s, 1)
	require.LessOrEqual(t, r.Unserved, 120, "those under way at the end")
	require.Zero(t, r.Refused)
	require.Zero(t, r.Repeats)
}

// Guards against choices that ignore what the fleet saw: a choice without memory loses
// a quarter of the requests here.
func TestServersThatFailByTurns(t *testing.T) {
	for seed := range uint64(3) {
		r := play(t, short(scenario(t, "turns"), 30*time.Second), seed)
		require.Less(t, r.Ratios.Unserved, 0.1)
	}
}

// Guards against VMs that forget with a restart what the fleet has repeated, and
// against a budget that each VM takes for itself.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	for _, name := range []string{"turns", "restart", "crest"} {
		s := short(scenario(t, name), 35*time.Second)
		s.Failing.Share = 0.6
		for i := range s.Routes {
			s.Routes[i].Idempotent, s.Routes[i].Attempts = true, 3
		}
		r := play(t, s, 1)
		require.Positive(t, r.Repeats)
		require.LessOrEqual(t, r.OverBudget, 0.0, name)
	}
}

// Guards against a scenario with a mistake that runs all the same.
func TestBadScenarios(t *testing.T) {
	for field, change := range map[string]func(*Scenario){
		"zone":     func(s *Scenario) { s.Zones[0].VMs = 0 },
		"route":    func(s *Scenario) { s.Routes[0].Attempts = 0 },
		"VMs":      func(s *Scenario) { s.Zones = nil },
		"servers":  func(s *Scenario) { s.Zones[0].Servers = maxServers + 1 },
		"duration": func(s *Scenario) { s.Duration = 0 },
		"rate":     func(s *Scenario) { s.Rate = 0 },
		"failing":  func(s *Scenario) { s.Failing.Share = 1 },
		"swing":    func(s *Scenario) { s.Swing = 1 },
		"budget":   func(s *Scenario) { s.Budget.Window = 0 },
	} {
		s := scenario(t, "turns")
		change(s)
		_, err := Run(s, 1)
		require.ErrorContains(t, err, field)
	}
	path := filepath.Join(t.TempDir(), "x.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(`{"name": "x", "zons": []}`), 0o600))
	_, err := Load(path)
	require.ErrorContains(t, err, "zons")
}
