package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/bench"
)

// Scripts tell a broken invariant from a wrong call by the exit code.
func TestExitCodes(t *testing.T) {
	for _, args := range [][]string{
		{"run"}, {"run", "no-such-file.jsonc"}, {"run", "x.jsonc", "--policy", "random"}, {"run", "x.jsonc", "--repeat", "0"},
		{"run", "x.jsonc", "--sed", "1"}, {"slopes", "extra"},
	} {
		var out, problems bytes.Buffer
		require.Equal(t, exitUsage, execute(context.Background(), args, &out, &problems), "%v", args)
		require.Contains(t, problems.String(), "error: ")
	}
	held := &bench.Measures{}
	require.NoError(t, broken(&bench.Report{Policies: map[string]*bench.Measures{"fulmarbeam": held}}))
	floor := &bench.Measures{FloorViolations: 2}
	report := &bench.Report{
		Policies: map[string]*bench.Measures{"fulmarbeam": held},
		Repeats:  map[string][]*bench.Measures{"fulmarbeam": {floor}},
	}
	require.ErrorIs(t, broken(report), errBroken, "a repeated run counts as well")
	require.ErrorContains(t, broken(report), "floor_violations=2")
}
