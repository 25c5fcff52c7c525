package test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	require.NotEmpty(t, c.having(func(a attempt) bool { return a.outcome == result.OutcomeUnknown }), "no booking met the cut")
	c.bookAll(f.running(), repeated)
	verify(t, f, c)
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

// stopped runs what happens while a VM is stopped for longer than its leases.
func stopped(t *testing.T, v *vm, meanwhile func()) {
	t.Helper()
	v.proc.signal(t, syscall.SIGSTOP)
	for begin := time.Now(); time.Since(begin) < pastLease; {
		meanwhile()
	}
	v.proc.signal(t, syscall.SIGCONT)
}
