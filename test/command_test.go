package test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/configlog"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/localfleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/operator"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Guards against a VM that starts with an invalid settings file or reports only the
// first of its problems.
func TestInvalidSettings(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(`{
  "fleet": "Not A Name",
  "vm": { "id": "vm-1", "region": "addis", "zone": "addis-0" },
  "listen": { "callers": "127.0.0.1:8080", "links": "127.0.0.1:8080", "operators": "10.0.0.1:7500" },
  "platform": { "log_url": "nowhere", "list_url": "http://127.0.0.1:9001", "timeout": 5 },
  "drain_dealy": "5s",
}`), 0o600))
	p := startProcess(t, nil, "fulmarbeam", "run", "--settings", file)
	require.Equal(t, result.SettingsInvalid.Info().ExitCode, p.exitCode(t))
	for _, problem := range []string{
		":1: root_key:", ":2: fleet:", ":4: listen.links:", ":4: listen.operators:", ":5: platform.log_url:", ":5: platform.timeout:",
		":6: drain_dealy: unknown field",
	} {
		require.Contains(t, p.log(), file+problem)
	}
}

// fulmarctl runs fulmarctl with JSON output and returns its exit code.
func (f *testFleet) fulmarctl(out any, via *vm, args ...string) int {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(binaryDir, "fulmarctl"), append([]string{"--address", via.operators, "-o", "json"}, args...)...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if err != nil {
		require.ErrorAs(f.t, err, new(*exec.ExitError))
		f.t.Logf("fulmarctl %v: %s", args, strings.TrimSpace(stderr.String()))
	}
	if out != nil {
		require.NoError(f.t, json.Unmarshal(stdout.Bytes(), out), "%s%s", stdout.String(), stderr.String())
	}
	return cmd.ProcessState.ExitCode()
}

// writeKeyFile writes a team's key file in the format of fulmarctl key new.
func (f *testFleet) writeKeyFile(team string) string {
	data, err := json.Marshal(map[string]string{
		"team": team, "public_key": localfleet.PublicKey(teamKeys[team]), "private_key": base64.StdEncoding.EncodeToString(teamKeys[team].Seed()),
	})
	require.NoError(f.t, err)
	file := filepath.Join(f.dir, team+".key")
	require.NoError(f.t, os.WriteFile(file, data, 0o600))
	return file
}

// Guards against fulmarctl exit codes that differ from docs/errors.md on a real fleet,
// against an edit of an old revision that reverts a later edit, and against explanations
// in which events of a VM are missing.
func TestFulmarctl(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 2})
	ownKey, otherKey := f.writeKeyFile("payments"), f.writeKeyFile("ordering")
	section := filepath.Join(f.dir, "payments.jsonc")
	publish := func(key, old, replacement string) (code int) {
		data, err := os.ReadFile(section)
		require.NoError(t, err)
		edited := filepath.Join(f.dir, "edited.jsonc")
		require.Contains(t, string(data), old)
		require.NoError(t, os.WriteFile(edited, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600))
		return f.fulmarctl(nil, f.vms[1], "config", "publish", "--file", edited, "--key", key)
	}
	exit := func(c result.Code) int { return c.Info().ExitCode }

	require.Zero(t, f.fulmarctl(nil, f.vms[0], "config", "get", "--section", "payments", "--file", section))
	code := publish(otherKey, `"weight": 5`, `"weight": 6`)
	require.Equal(t, exit(result.ConfigForbidden), code)
	code = publish(ownKey, `"service": "`+service, `"service": "no-such`)
	require.Equal(t, exit(result.ConfigInvalid), code)
	code = publish(ownKey, `"weight": 5`, `"weight": 7`)
	require.Zero(t, code)
	for _, v := range f.vms {
		require.EqualValues(t, 2, v.revisions()["payments"], "%s after publish has waited for all VMs", v.id)
	}
	code = publish(ownKey, `"weight": 5`, `"weight": 8`) // the file still has the first revision
	require.Equal(t, exit(result.ConfigConflict), code)

	var history []operator.HistoryEntry
	require.Zero(t, f.fulmarctl(&history, f.vms[2], "config", "history", "--section", "payments"))
	require.EqualValues(t, 2, history[0].Revision)
	require.Zero(t, f.fulmarctl(nil, f.vms[2], "config", "status", history[0].EditID))
	require.Equal(t, exit(result.ConfigUnknown), f.fulmarctl(nil, f.vms[2], "config", "status", "no-such-edit"))

	var explanation operator.Explanation
	require.Zero(t, f.fulmarctl(&explanation, f.vms[3], "explain", "--kind", string(configlog.EventAccepted)))
	reporters := make(map[fleet.VMID]bool)
	for _, e := range explanation.Events {
		if e.Detail["edit"] == history[0].EditID {
			reporters[e.VM] = true
		}
	}
	require.Len(t, reporters, len(f.vms), "VMs with an event about the edit")
	for _, s := range explanation.Sources {
		require.Equal(t, result.OK, s.Code, "%+v", s)
	}
	var vms []operator.VMStatus
	require.Zero(t, f.fulmarctl(&vms, f.vms[0], "vms"))
	require.Len(t, vms, len(f.vms))

	f.setLogOutage(true)
	patch := filepath.Join(f.dir, "patch.json")
	require.NoError(t, os.WriteFile(patch, []byte(`{"routes":{"book":{"weight":9}}}`), 0o600))
	code = f.fulmarctl(nil, f.vms[1], "config", "publish", "--section", "payments", "--patch", patch, "--key", ownKey, "--wait-time", "2s")
	require.Contains(t, []int{exit(result.ConfigUnknown), exit(result.StoreAway)}, code)
	f.setLogOutage(false)

	drained := f.vms[3]
	require.Zero(t, f.fulmarctl(nil, f.vms[0], "drain", drained.id, "--reason", "test"))
	require.Zero(t, drained.proc.exitCode(t))
	require.Equal(t, exit(result.Unreachable), f.fulmarctl(nil, drained, "explain"))
}
