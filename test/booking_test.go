package test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// leaseExpiryWait is longer than all leases of the fleet, of which the longest is 5 s.
const leaseExpiryWait = 6 * time.Second

func vmsInZone(vms []*vm, zone string) []*vm {
	var out []*vm
	for _, v := range vms {
		if v.zone == zone {
			out = append(out, v)
		}
	}
	return out
}

// cutZones drops all bytes that VMs of one zone send to VMs of another. The other
// direction still works.
func (f *testFleet) cutZones(from, to string) {
	for _, a := range vmsInZone(f.running(), from) {
		for _, b := range vmsInZone(f.running(), to) {
			f.cut(a.id, b.id)
		}
	}
}

// Guards against a second run of a booking, and against the outcome not-run for a
// booking that ran, when the owner and the copy of its key can reach each other in one
// direction only and callers repeat the booking through both zones.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	const bookings = 16
	var repeated []string
	for _, cut := range [][2]string{{zoneName(0), zoneName(1)}, {zoneName(1), zoneName(0)}} {
		f.cutZones(cut[0], cut[1])
		keys := c.keys(bookings)
		receivers := []*vm{vmsInZone(f.running(), cut[0])[0], vmsInZone(f.running(), cut[1])[0]}
		c.bookAll(receivers, keys)
		c.bookAll(f.running(), keys)
		require.Positive(t, f.heal(), "the partition dropped no bytes")
		repeated = append(repeated, keys...)
		c.bookAll(f.running(), repeated)
		f.awaitBookings(c)
	}
	c.bookAll(f.running(), repeated)
	verify(t, f, c)
	require.NotEmpty(t, c.filter(func(a attempt) bool { return a.outcome == result.OutcomeUnknown }), "no booking was affected by the partition")
}

// Guards against a second run when the owner of a key shard is paused for longer than
// its leases and resumes while callers repeat their bookings.
func TestKeyOwnerPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	stop := c.startLoad(t, f.running, 8)
	owner := f.keyOwner()
	keys := c.keys(2 * keySlices)
	whilePaused(t, owner, func() { c.bookAll(f.others(owner), keys) })
	c.bookAll(f.running(), keys)
	stop()
	f.awaitBookings(c)
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}

// whilePaused pauses a VM's process for longer than its leases and repeats a step in
// the meantime.
func whilePaused(t *testing.T, v *vm, step func()) {
	t.Helper()
	v.proc.signal(t, syscall.SIGSTOP)
	repeatFor(leaseExpiryWait, step)
	v.proc.signal(t, syscall.SIGCONT)
}

// repeatFor repeats a step for a time, with pauses that leave processor time to the
// fleet.
func repeatFor(d time.Duration, step func()) {
	const pause = 100 * time.Millisecond
	for start := time.Now(); time.Since(start) < d; time.Sleep(pause) {
		step()
	}
}

// delayLinks delays all messages between VMs, so that a fault is likely to occur between
// the reservation of a booking's key and the dispatch of the booking.
func (f *testFleet) delayLinks(d time.Duration) {
	for _, a := range f.running() {
		for _, b := range f.others(a) {
			f.proxyBetween(a.id, b.id, b.links).SetFaults(faultproxy.Faults{Up: faultproxy.FlowFaults{Delay: d}})
		}
	}
}

// Guards against a second run, and against the outcome not-run for a booking that ran,
// when a VM is paused between the reservation of a key and the dispatch of the request,
// resumes after the dispatch limit, and callers repeat the booking through other VMs.
func TestReceivingVMPaused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	f.delayLinks(10 * time.Millisecond)
	paused := f.others(f.keyOwner())[0]
	stop := c.startLoad(t, func() []*vm { return []*vm{paused, f.others(paused)[0]} }, 12)
	const pauses, pause = 3, 2500 * time.Millisecond // the dispatch limit is 2 s
	for range pauses {
		before := len(c.ledger())
		eventually(t, "bookings are sent", func() bool { return len(c.ledger()) > before+20 })
		paused.proc.signal(t, syscall.SIGSTOP)
		time.Sleep(pause)
		paused.proc.signal(t, syscall.SIGCONT)
	}
	stop()
	f.heal()
	f.awaitBookings(c)
	verify(t, f, c)
}

// Guards against a second run, and against the outcome not-run for a booking that ran,
// after a VM is killed with bookings between reservation and response: first a VM that
// the platform removes from its list, while the list of another VM lags, then a VM that
// restarts with the same id.
func TestReceivingVMKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 5, servers: 4})
	c := newCallers(t)
	f.delayLinks(5 * time.Millisecond)
	kill := func(victim *vm) {
		other := f.others(victim)[1]
		stop := c.startLoad(t, func() []*vm { return []*vm{victim, other} }, 8)
		before := len(c.ledger())
		eventually(t, "bookings are sent", func() bool { return len(c.ledger()) > before+40 })
		victim.proc.kill()
		f.removeVM(victim)
		before = len(c.ledger())
		eventually(t, "bookings are repeated", func() bool { return len(c.ledger()) > before+40 })
		stop()
	}
	removed := f.others(f.keyOwner())[0]
	lagging := f.others(removed)[0]
	release := f.freezeList(lagging)
	kill(removed)
	f.deleteVMRow(removed)
	c.bookAll(f.running(), c.keys(keySlices))
	release()
	f.awaitSettled()

	restarted := f.keyOwner()
	kill(restarted)
	f.startVM(restarted.id, restarted.zone)
	f.awaitSettled()
	f.awaitBookings(c)
	verify(t, f, c)
}

// Guards against a second run when the owner of key shards is paused during an outage
// of the log service, and when the same VM is paused a second time.
func TestKeyOwnerPausedTwiceDuringLogOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	c.bookAll(f.running(), c.keys(8*keySlices)) // a key shard needs the log service before its first booking
	f.awaitBookings(c)
	f.setLogOutage(true)
	stop := c.startLoad(t, f.running, 6)
	owner := f.keyOwner()
	keys := c.keys(2 * keySlices)
	for range 2 {
		whilePaused(t, owner, func() { c.bookAll(f.others(owner), keys) })
		c.bookAll(f.running(), keys)
	}
	stop()
	f.awaitBookings(c)
	f.setLogOutage(false)
	f.publish(f.running()[0], "payments", addWorkspace("after"))
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}
