// Package test runs the binaries of the fleet and of the stand-ins as processes, injects
// faults and compares the callers' ledger with the servers' ledgers. No test result
// depends on a measured time: tests wait for conditions with a generous timeout.
package test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// waitTimeout limits the wait for a condition that is expected to become true.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// maxFleets limits the fleets that run concurrently, so that tests do not starve each
	// other of processor time.
	maxFleets = 4
	// VMs listen on ports below the kernel's ephemeral range, so that no outgoing
	// connection takes a port between its choice and the bind.
	firstPort = 12000
	portCount = 18000
)

var (
	binaryDir  string
	fleetSlots = make(chan struct{}, maxFleets)
	portSeq    atomic.Uint32
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fulmarbeam-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	portSeq.Store(uint32(os.Getpid()) * 61)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/fulmarbeam", "../cmd/fulmarctl", "../cmd/fulmarstandin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+portSeq.Add(1)%portCount)
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is a started binary. It is killed at the end of the test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
	mu     sync.Mutex
	stderr bytes.Buffer
}

// Write stores the process's standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.Write(b)
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stderr.String()
}

// startProcess starts a binary. If out is not nil, the first line of the standard output
// is decoded into it as JSON.
func startProcess(t *testing.T, out any, binary string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaryDir, binary), args...), exited: make(chan struct{})}
	// The kernel kills the process when the test binary is killed and cannot clean up.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = p
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	p.cmd.Stdout = w
	err = p.cmd.Start()
	w.Close()
	require.NoError(t, err)
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	if out != nil {
		line, err := bufio.NewReader(r).ReadBytes('\n')
		require.NoError(t, err, p.log())
		require.NoError(t, json.Unmarshal(line, out))
	}
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// exitCode waits until the process has exited and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	eventually(t, "the process exits", func() bool { return !p.running() })
	return p.cmd.ProcessState.ExitCode()
}

// eventually waits until a condition is true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !cond(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, what)
		}
	}
}

// runInBackground calls step repeatedly, with a pause before each call, until stop is
// called. At the latest it stops in the test's cleanup, before the cleanup of a fleet
// that was started earlier.
func runInBackground(t *testing.T, pause time.Duration, step func()) (stop func()) {
	stopping, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			case <-time.After(pause):
				step()
			}
		}
	}()
	var once sync.Once
	stop = func() {
		once.Do(func() { close(stopping) })
		<-done
	}
	t.Cleanup(stop)
	return stop
}
