package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// tiny is a scenario that runs in three seconds.
const tiny = `{
  // comments are allowed
  "name": "tiny", "about": "", "duration": "3s", "warmup": "500ms",
  "topology": {"regions": [{"name": "addis", "zones": ["a-1", "a-2"], "vms_per_zone": 1}],
    "between_zones": "1ms", "between_regions": "5ms", "to_clients": "3ms"},
  "services": {"desk": {"servers": {"a-1": 2, "a-2": 2}, "slots": 4, "connections": 40, "floor": {"servers": 3}}},
  "routes": {
    "menu": {"service": "desk", "method": "GET", "idempotent": true, "retries": 2, "weight": 1, "share": 2, "deadline": "2s", "work": {"median": "20ms", "sigma": 0.3}},
    "book": {"service": "desk", "method": "POST", "keyed": true, "weight": 5, "share": 1, "deadline": "2s", "answer": 100, "work": {"median": "20ms"}}
  },
  "arrivals": [{"at": "0s", "rate": 60}],
  "faults": [{"kind": "gray", "servers": ["desk-a-1-1"], "start": "1s", "end": "2s", "mode": {"fault": "cross", "fail_share": 0.5}}]
}`

// An invalid scenario must be rejected with a message that names the mistake, rather than
// run with other settings.
func TestScenarioProblemsAreNamed(t *testing.T) {
	_, err := Parse([]byte(tiny))
	require.NoError(t, err)
	for _, c := range []struct{ old, new, want string }{
		{`"warmup"`, `"warm_up"`, `unknown field "warm_up"`},
		{`"3s", "warmup"`, `"3", "warmup"`, "is not a duration"},
		{`"500ms"`, `"4s"`, "warmup must be shorter"},
		{`"a-1": 2,`, `"b-1": 2,`, `zone "b-1" is not in the topology`},
		{`"vms_per_zone": 1`, `"vms_per_zone": 40`, "more than 64 VMs"},
		{`"floor": {"servers": 3}`, `"floor": {"servers": 5}`, "the floor exceeds the servers"},
		{`"service": "desk", "method": "GET"`, `"service": "dusk", "method": "GET"`, `service "dusk" is not described`},
		{`"keyed": true`, `"keyed": true, "idempotent": true`, "cannot be keyed and idempotent"},
		{`"rate": 60`, `"rate": 60, "load": 0.5`, "either rate or load"},
		{`"desk-a-1-1"`, `"desk-a-1-9"`, `server "desk-a-1-9" is not in the scenario`},
		{`"end": "2s"`, `"end": "500ms"`, "start and end must lie in the run"},
		{`"kind": "gray"`, `"kind": "grey"`, "unknown kind"},
		{`"fail_share": 0.5`, `"fail_share": 1.5`, "mode is out of range"},
	} {
		require.Contains(t, tiny, c.old)
		_, err := Parse([]byte(strings.Replace(tiny, c.old, c.new, 1)))
		require.ErrorContains(t, err, c.want)
	}
}

// The committed scenarios must load, last at most 40 s, and generate the same requests
// from the same seed.
func TestCommittedScenarios(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.jsonc")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 16)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		s, err := Parse(data)
		require.NoError(t, err, file)
		require.Equal(t, s.Name+".jsonc", filepath.Base(file))
		require.LessOrEqual(t, time.Duration(s.Duration), 40*time.Second)
		require.Equal(t, s.plan(7), s.plan(7))
		require.NotEqual(t, s.plan(7), s.plan(8))
	}
}

// The bound must exclude work that no scheduler could serve, and must prefer work with
// more weight per slot time.
func TestBound(t *testing.T) {
	s, err := Parse([]byte(tiny))
	require.NoError(t, err)
	s.Faults = nil
	all := Span{0, s.Duration}
	// 4 servers with 4 slots each. The run lasts 3 s and the deadline is 2 s, so that
	// requests that arrive at 0 s can use 3 whole buckets.
	var plan []request
	for i := range 2000 {
		plan = append(plan, request{n: i, route: "menu", work: 100 * time.Millisecond})
	}
	require.InDelta(t, 480, s.weightBound(plan, all), 1e-6, "16 slots for the 3 buckets up to the deadline")
	for i := range 100 {
		plan = append(plan, request{n: 2000 + i, route: "book", work: 100 * time.Millisecond})
	}
	require.InDelta(t, 380+100*5, s.weightBound(plan, all), 1e-6, "more weight per slot time first")
	require.Zero(t, s.weightBound([]request{{route: "menu", work: 3 * time.Second}}, all), "work longer than its deadline")
	s.Faults = []Fault{{Kind: FaultGray, Service: "desk", Mode: &GrayMode{Fault: "error"}}}
	require.Zero(t, s.weightBound(plan, all), "all servers fail")
}
