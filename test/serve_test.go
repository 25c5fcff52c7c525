package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) count(part string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), part)
}

// Guards against a process that exits on SIGHUP, that ignores a changed settings file,
// or that exits when the changed file is invalid.
func TestServeReloadsSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.jsonc")
	write := func(extraFields string) {
		text := fmt.Sprintf(`{"vm":{"id":"vm1","region":"addis","zone":"addis-a"},"zones":{"addis-a":"addis"},"store":{"address":"127.0.0.1:1"},
			"listen":{"callers":"127.0.0.1:%d","ready":"127.0.0.1:%d","links":"127.0.0.1:%d"}%s}`, firstServePort, firstServePort+1, firstServePort+2, extraFields)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write("")
	out := &output{}
	cmd := exec.Command(filepath.Join(binaryDir, "fulmarbeam"), "serve", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	awaitOutput := func(part string, n int) {
		t.Helper()
		require.Eventually(t, func() bool { return out.count(part) >= n }, waitTimeout, pollInterval, part)
	}
	awaitOutput(`"message":"started"`, 1)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	awaitOutput(`"message":"settings reloaded"`, 1)
	write(`,"repeats":{"ratio":0.3}`)
	awaitOutput(`"message":"settings reloaded"`, 2)
	require.Zero(t, out.count(`"restart_needed":true`))
	write(`,"repeats":{"ratio":7}`)
	awaitOutput(`"message":"settings not reloaded"`, 1)
	write(`,"shutdown":{"grace":"9s"}`)
	awaitOutput(`"restart_needed":true`, 1)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
}

// firstServePort is the first of three ports below the range that other tests use.
const firstServePort = firstPort - 100
