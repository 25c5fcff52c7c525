package test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/faultproxy"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// pastLease is longer than every lease of the fleet (the longest is 5 s).
const pastLease = 6 * time.Second

func zone(vms []*vm, name string) []*vm {
	var out []*vm
	for _, v := range vms {
		if v.zone == name {
			out = append(out, v)
		}
	}
	return out
}

// cutZones drops what the VMs of one zone send to those of another.
func (f *testFleet) cutZones(from, to string) {
	for _, a := range zone(f.running(), from) {
		for _, b := range zone(f.running(), to) {
			f.cut(a.id, b.id)
		}
	}
}

// Guards against a second run, and against a false not-run, when owner and replica of
// a key reach each other in one direction only while a booking is repeated through
// both sides.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	const bookings = 16
	var repeated []string
	for _, cut := range [][2]string{{zoneOf(0), zoneOf(1)}, {zoneOf(1), zoneOf(0)}} {
		f.cutZones(cut[0], cut[1])
		keys := c.keys(bookings)
		both := []*vm{zone(f.running(), cut[0])[0], zone(f.running(), cut[1])[0]}
		c.bookAll(both, keys)
		c.bookAll(f.running(), keys)
		require.Positive(t, f.heal(), "the cut dropped nothing")
		repeated = append(repeated, keys...)
		c.bookAll(f.running(), repeated)
		f.awaitBookings(c)
	}
	c.bookAll(f.running(), repeated)
	verify(t, f, c)
	require.NotEmpty(t, c.having(func(a attempt) bool { return a.outcome == result.OutcomeUnknown }), "no booking met the cut")
}

// Guards against a second run when the owner of a key shard stops for longer than its
// leases and comes back while callers repeat their bookings.
func TestOwnerStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	stop := c.load(t, f.running, 8)
	owner := f.keyOwner()
	keys := c.keys(2 * keySlices)
	stopped(t, owner, func() { c.bookAll(f.others(owner), keys) })
	c.bookAll(f.running(), keys)
	stop()
	f.awaitBookings(c)
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}

// stopped stops a VM for longer than its leases and repeats a step meanwhile.
func stopped(t *testing.T, v *vm, step func()) {
	t.Helper()
	v.proc.signal(t, syscall.SIGSTOP)
	repeat(pastLease, step)
	v.proc.signal(t, syscall.SIGCONT)
}

// repeat repeats a step for a time, with pauses that leave the processor to others.
func repeat(d time.Duration, step func()) {
	const pause = 100 * time.Millisecond
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(pause) {
		step()
	}
}

// slowLinks delays all messages between VMs, so that bookings spend their time
// between reservation and dispatch.
func (f *testFleet) slowLinks(d time.Duration) {
	for _, a := range f.running() {
		for _, b := range f.others(a) {
			f.path(a.id, b.id, b.links).Set(faultproxy.Faults{Up: faultproxy.Flow{Delay: d}})
		}
	}
}

// Guards against a second run and a false not-run by a VM that stops between the
// reservation of a key and the dispatch of the request, and goes on after the limit
// for the dispatch, while callers repeat the booking through other VMs.
func TestCallersVMStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	f.slowLinks(10 * time.Millisecond)
	victim := f.others(f.keyOwner())[0]
	stop := c.load(t, func() []*vm { return []*vm{victim, f.others(victim)[0]} }, 12)
	const pauses, pause = 3, 2500 * time.Millisecond // the dispatch limit is 2 s
	for range pauses {
		before := len(c.ledger())
		eventually(t, "bookings are sent", func() bool { return len(c.ledger()) > before+20 })
		victim.proc.signal(t, syscall.SIGSTOP)
		time.Sleep(pause)
		victim.proc.signal(t, syscall.SIGCONT)
	}
	stop()
	f.heal()
	f.awaitBookings(c)
	verify(t, f, c)
}

// Guards against a second run and a false not-run after a VM is killed with bookings
// between reservation and answer, first one that the platform drops from its list,
// which one VM sees late, then one that starts again under the same name.
func TestCallersVMKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 5, servers: 4})
	c := newCallers(t)
	f.slowLinks(5 * time.Millisecond)
	kill := func(victim *vm) {
		other := f.others(victim)[1]
		stop := c.load(t, func() []*vm { return []*vm{victim, other} }, 8)
		before := len(c.ledger())
		eventually(t, "bookings are sent", func() bool { return len(c.ledger()) > before+40 })
		victim.proc.kill()
		f.leave(victim)
		before = len(c.ledger())
		eventually(t, "bookings are repeated", func() bool { return len(c.ledger()) > before+40 })
		stop()
	}
	dropped := f.others(f.keyOwner())[0]
	late := f.others(dropped)[0]
	release := f.holdList(late)
	kill(dropped)
	f.dropVM(dropped)
	c.bookAll(f.running(), c.keys(keySlices))
	release()
	f.awaitSettled()

	again := f.keyOwner()
	kill(again)
	f.startVM(again.id, again.zone)
	f.awaitSettled()
	f.awaitBookings(c)
	verify(t, f, c)
}

// Guards against a second run when two faults meet, a stopped owner and a log service
// that is away, and when the same VM stops a second time.
func TestTwoFaultsAndTheSameTwice(t *testing.T) {
	t.Parallel()
	f := newFleet(t, options{vms: 4, servers: 4})
	c := newCallers(t)
	c.bookAll(f.running(), c.keys(8*keySlices)) // opens the key shards, which needs the log
	f.awaitBookings(c)
	f.logAway(true)
	stop := c.load(t, f.running, 6)
	owner := f.keyOwner()
	keys := c.keys(2 * keySlices)
	for range 2 {
		stopped(t, owner, func() { c.bookAll(f.others(owner), keys) })
		c.bookAll(f.running(), keys)
	}
	stop()
	f.awaitBookings(c)
	f.logAway(false)
	f.publish(f.running()[0], "payments", addWorkspace("after"))
	c.bookAll(f.running(), keys)
	verify(t, f, c)
}
