package test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
)

// terminate ends a VM as the platform does: it is listed as leaving, gets SIGTERM,
// and is dropped from the list once its process has ended.
func (f *testFleet) terminate(v *vm) int {
	f.t.Helper()
	f.listVM(v, fleet.StateLeaving)
	v.proc.signal(f.t, syscall.SIGTERM)
	eventually(f.t, v.id+" is not ready any more", func() bool { return !v.ready() })
	f.leave(v)
	code := v.proc.exitCode(f.t)
	f.dropVM(v)
	return code
}

// Guards against requests that a graceful shutdown cuts, against second runs around
// the hand-over of key shards, and against a shutdown that reports a failure.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	var targets atomic.Pointer[[]*vm] // of the load balancer
	balance := func(vms []*vm) { targets.Store(&vms) }
	balance(f.running())
	stop := c.load(t, func() []*vm { return *targets.Load() }, 12)
	answered := 0
	for i, old := range f.running() {
		fresh := f.startVM(fmt.Sprintf("new-%d", i), old.zone)
		eventually(t, fresh.id+" is ready", fresh.ready)
		balance(f.running())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for old.ready() { // the balancer notices
			}
			balance(slices.DeleteFunc(f.running(), func(v *vm) bool { return v == old }))
		}()
		const reports = 4
		answers := make(chan attempt, reports)
		for range reports { // in flight when the VM stops accepting
			go func() { answers <- c.report(old, 3*drainDelay) }()
		}
		time.Sleep(drainDelay / 2)
		require.Zero(t, f.terminate(old), "exit code of %s", old.id)
		<-stopped
		for range reports {
			if a := <-answers; a.answered() {
				answered++
			}
		}
	}
	stop()
	f.awaitSettled()
	f.awaitBookings(c)
	require.Empty(t, c.having(attempt.cut), "requests that were cut")
	require.Positive(t, answered, "no request was in flight at the end of a VM")
	verify(t, f, c)
}
