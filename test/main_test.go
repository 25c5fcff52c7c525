// Package test starts built binaries of the fleet and of the stand-ins as processes,
// injects faults and compares the callers' ledger with the servers' ledgers. No
// verdict depends on a measured time: tests wait for conditions with a generous limit.
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
	// patience limits the wait for a condition that must come true.
	patience = 60 * time.Second
	poll     = 50 * time.Millisecond
	// maxFleets bounds the fleets that run at once, so that tests do not starve each
	// other of processor time.
	maxFleets = 4
	// Listeners of VMs take ports below the range that the kernel gives to outgoing
	// connections, so that none of those takes the port between choice and bind.
	firstPort = 12000
	ports     = 18000
)

var (
	binaries   string
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
	binaries = dir
	portSeq.Store(uint32(os.Getpid()) * 61)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../cmd/fulmarbeam", "../cmd/fulmarctl", "../cmd/fulmarstandin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range ports {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+portSeq.Add(1)%ports)
		if l, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, l.Close())
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is a started binary. It ends with the test.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{} // closed when the process has been waited for
	mu     sync.Mutex
	stderr bytes.Buffer
}

// Write keeps the process's standard error.
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

// start starts a binary. With out set, the first line of its standard output is
// decoded into out.
func start(t *testing.T, out any, binary string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, binary), args...), ended: make(chan struct{})}
	// The kernel ends the process when the test binary is killed and cannot clean up.
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
		close(p.ended)
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
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	eventually(t, "the process ends", func() bool { return !p.running() })
	return p.cmd.ProcessState.ExitCode()
}

// eventually waits for a condition that must come true.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); !cond(); time.Sleep(poll) {
		if time.Now().After(limit) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// background repeats a step until the returned function is called, at the latest at
// the end of the test and before the fleet ends.
func background(t *testing.T, pause time.Duration, step func()) (stop func()) {
	ending, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ending:
				return
			case <-time.After(pause):
				step()
			}
		}
	}()
	var once sync.Once
	stop = func() {
		once.Do(func() { close(ending) })
		<-ended
	}
	t.Cleanup(stop)
	return stop
}
