package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// fakeBackend returns the same verdict for every edit.
type fakeBackend struct {
	operator.Backend
	verdict operator.Verdict
}

func (b *fakeBackend) Publish(context.Context, operator.PublishRequest) (operator.Verdict, error) {
	return b.verdict, nil
}

func (b *fakeBackend) VMs(context.Context) ([]operator.VMStatus, error) {
	return []operator.VMStatus{{ID: "entry-01", Region: "addis"}}, nil
}

func runCommand(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

// Scripts rely on the exit code and the JSON output: for an edit that is rejected or not
// yet in effect on all VMs, the exit code must not be 0 and the verdict must be printed.
func TestPublishExitCodesAndJSON(t *testing.T) {
	edit := filepath.Join(t.TempDir(), "edit.json")
	require.NoError(t, os.WriteFile(edit, []byte(`{"id":"e1"}`), 0o600))
	lagging := operator.NewVerdict(result.ConfigLagging, "1 VM")
	lagging.Lagging = []fleet.VMID{"entry-02"}
	for _, verdict := range []operator.Verdict{
		operator.NewVerdict(result.OK, ""), operator.NewVerdict(result.ConfigDuplicate, ""),
		operator.NewVerdict(result.ConfigConflict, "base 1, current 2"), lagging,
	} {
		s := httptest.NewServer(operator.NewHandler(operator.Options{Backend: &fakeBackend{verdict: verdict}}))
		code, out, errOut := runCommand("--address", strings.TrimPrefix(s.URL, "http://"), "-o", "json", "config", "publish", "--edit", edit)
		s.Close()
		require.Equal(t, verdict.Code.Info().ExitCode, code, verdict.Name)
		var got operator.Verdict
		require.NoError(t, json.Unmarshal([]byte(out), &got))
		require.Equal(t, verdict, got)
		if code == 0 {
			require.Empty(t, errOut)
			continue
		}
		var failure operator.Failure
		require.NoError(t, json.Unmarshal([]byte(errOut), &failure))
		require.Equal(t, verdict.Code, failure.Code)
	}
}

// An unreachable VM and invalid arguments must result in their exit codes, and table
// output must show the VMs.
func TestExitCodesOfFailuresAndTables(t *testing.T) {
	s := httptest.NewServer(operator.NewHandler(operator.Options{Backend: &fakeBackend{}}))
	addr := strings.TrimPrefix(s.URL, "http://")
	code, out, _ := runCommand("--address", addr, "vms")
	require.Zero(t, code)
	require.Contains(t, out, "entry-01")
	s.Close()
	code, out, errOut := runCommand("--address", addr, "-o", "json", "vms")
	require.Equal(t, result.Unreachable.Info().ExitCode, code)
	require.Empty(t, out)
	require.Contains(t, errOut, `"code":6003`)
	for _, args := range [][]string{{"-o", "yaml", "vms"}, {"nothing"}, {"vms", "--nothing"}, {"config", "publish"}} {
		code, _, _ = runCommand(args...)
		require.Equal(t, result.UsageError.Info().ExitCode, code, "%v", args)
	}
}
