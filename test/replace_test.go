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

// terminate shuts down a VM as the platform does: it is listed as leaving, receives
// SIGTERM, and is removed from the list after its process has exited. It returns the
// exit code.
func (f *testFleet) terminate(v *vm) int {
	f.t.Helper()
	f.putVMRow(v, fleet.StateLeaving)
	v.proc.signal(f.t, syscall.SIGTERM)
	eventually(f.t, v.id+" is not ready any more", func() bool { return !v.ready() })
	f.removeVM(v)
	code := v.proc.exitCode(f.t)
	f.deleteVMRow(v)
	return code
}

// Guards against requests that are interrupted by a graceful shutdown, against second
// runs during the hand-over of key shards, and against a graceful shutdown with a
// non-zero exit code.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	var targets atomic.Pointer[[]*vm] // of a simulated load balancer
	setTargets := func(vms []*vm) { targets.Store(&vms) }
	setTargets(f.running())
	stop := c.startLoad(t, func() []*vm { return *targets.Load() }, 12)
	completed := 0
	for i, old := range f.running() {
		replacement := f.startVM(fmt.Sprintf("new-%d", i), old.zone)
		eventually(t, replacement.id+" is ready", replacement.ready)
		setTargets(f.running())
		targetRemoved := make(chan struct{})
		go func() {
			defer close(targetRemoved)
			for old.ready() { // the load balancer polls readiness
			}
			setTargets(slices.DeleteFunc(f.running(), func(v *vm) bool { return v == old }))
		}()
		const requests = 4
		attempts := make(chan attempt, requests)
		for range requests { // in flight when the VM stops accepting requests
			go func() { attempts <- c.report(old, 3*drainDelay) }()
		}
		time.Sleep(drainDelay / 2)
		require.Zero(t, f.terminate(old), "exit code of %s", old.id)
		<-targetRemoved
		for range requests {
			if a := <-attempts; a.gotResponse() {
				completed++
			}
		}
	}
	stop()
	f.awaitSettled()
	f.awaitBookings(c)
	require.Empty(t, c.filter(attempt.interrupted), "interrupted requests")
	require.Positive(t, completed, "no request was in flight during a shutdown")
	verify(t, f, c)
}
