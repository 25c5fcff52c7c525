package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/bench"
)

// Scripts use the exit code to distinguish broken invariants from usage errors.
func TestExitCodes(t *testing.T) {
	for _, args := range [][]string{
		{"run"}, {"run", "no-such-file.jsonc"}, {"run", "x.jsonc", "--policy", "random"}, {"run", "x.jsonc", "--repeat", "0"},
		{"run", "x.jsonc", "--sed", "1"}, {"slopes", "extra"},
	} {
		var out, stderr bytes.Buffer
		require.Equal(t, exitUsage, execute(context.Background(), args, &out, &stderr), "%v", args)
		require.Contains(t, stderr.String(), "error: ")
	}
	valid := &bench.Measures{}
	require.NoError(t, checkInvariants(&bench.Report{Policies: map[string]*bench.Measures{"fulmarbeam": valid}}))
	violated := &bench.Measures{FloorViolations: 2}
	report := &bench.Report{
		Policies: map[string]*bench.Measures{"fulmarbeam": valid},
		Repeats:  map[string][]*bench.Measures{"fulmarbeam": {violated}},
	}
	require.ErrorIs(t, checkInvariants(report), errInvariantBroken, "repeated runs must be checked too")
	require.ErrorContains(t, checkInvariants(report), "floor_violations=2")
}
