package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/follower"
)

// testFleet runs the membership protocol of a fleet on a fake clock.
type testFleet struct {
	now  fleet.Time
	vms  []*Members
	dead map[string]bool // by address

	listed int // members listed in replies to greetings
}

func newTestFleet(n int, seeds ...int) *testFleet {
	w := &testFleet{now: 1, dead: map[string]bool{}}
	for i := range n {
		w.startVM(i, seeds)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:70", i) }

func (w *testFleet) startVM(i int, seeds []int) {
	var addrs []string
	for _, s := range seeds {
		addrs = append(addrs, addr(s))
	}
	region := fleet.Region([]string{"addis", "hawassa"}[i%2])
	zone := fleet.Zone(fmt.Sprintf("%s-%d", region, i/2%2))
	m := NewMembers(Member{ID: fleet.VMID(fmt.Sprint("vm", i)), Addr: addr(i), Region: region, Zone: zone}, addrs)
	if i < len(w.vms) {
		w.vms[i] = m
	} else {
		w.vms = append(w.vms, m)
	}
}

func (w *testFleet) run(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tick) {
		for _, v := range w.vms {
			if w.dead[v.self.Addr] {
				continue
			}
			v.Events(w.now)
			zone, region := v.Peers(w.now)
			for _, a := range append(zone, region...) {
				if other := w.memberAt(a); other != nil {
					other.RecordHeard(w.now, v.self.ID)
				}
			}
			for _, a := range v.Greetings(w.now) {
				other := w.memberAt(a)
				if other == nil {
					continue
				}
				other.Add(w.now, v.self, true)
				w.listed += len(other.ListUnknownTo(w.now, v.self, v.KnownHash(w.now)))
				for _, m := range other.ListUnknownTo(w.now, v.self, v.KnownHash(w.now)) {
					v.Add(w.now, m, false)
				}
				v.Add(w.now, other.self, true)
				v.RecordFleetSize(other.FleetSize())
			}
			w.sendZoneSizes(v)
		}
	}
}

// sendZoneSizes sends the size of the VM's zone to one VM of each other zone, which relays
// it like a digest.
func (w *testFleet) sendZoneSizes(v *Members) {
	if v.ZoneRank(w.now) > 0 {
		return
	}
	region, otherRegions := v.Delegates(w.now)
	for _, a := range append(region, otherRegions...) {
		d := w.memberAt(a)
		if d == nil {
			continue
		}
		d.RecordHeard(w.now, v.self.ID)
		d.RecordZoneSize(v.self.Zone, v.ZoneSize())
		zone, _ := d.Peers(w.now)
		for _, other := range zone {
			if o := w.memberAt(other); o != nil {
				o.RecordHeard(w.now, v.self.ID)
				o.RecordZoneSize(v.self.Zone, v.ZoneSize())
			}
		}
	}
}

func (w *testFleet) memberAt(address string) *Members {
	for _, v := range w.vms {
		if v.self.Addr == address && !w.dead[address] {
			return v
		}
	}
	return nil
}

// Guards against VMs that start together and do not discover all VMs of their region, and
// against a wrong fleet size, which divides the retry budget.
func TestVMsDiscoverEachOtherAtStart(t *testing.T) {
	w := newTestFleet(20, 0, 1, 2)
	w.run(3 * time.Second)
	for _, v := range w.vms {
		require.Equal(t, 9, v.LivePeers(w.now), v.self.ID)
		require.Equal(t, 20, v.FleetSize(), v.self.ID)
		region, otherRegions := v.Delegates(w.now)
		require.Len(t, region, 1)
		require.True(t, len(otherRegions) == 2 || v.ZoneRank(w.now) > 0, "%s sends its zone's digests to %v", v.self.ID, otherRegions)
	}
}

// Guards against a zone whose digests reach no other region after the VM that sent them has
// failed.
func TestDigestSenderIsReplaced(t *testing.T) {
	w := newTestFleet(20, 0, 1, 2)
	w.run(3 * time.Second)
	first := w.vms[0]
	w.dead[first.self.Addr] = true
	w.run(4 * time.Second)
	for _, v := range w.vms[1:] {
		if v.self.Zone == first.self.Zone && v.ZoneRank(w.now) == 0 {
			_, otherRegions := v.Delegates(w.now)
			require.Len(t, otherRegions, 2)
		}
	}
}

// Guards against relaying through a single VM: if it fails unnoticed, its zone gets no
// messages.
func TestRelaysRotate(t *testing.T) {
	w := newTestFleet(20, 0, 1, 2)
	w.run(3 * time.Second)
	v, used := w.vms[0], map[string]int{}
	for range 10 {
		to := v.Relays(w.now, 2)
		require.Len(t, to, 2)
		for _, a := range to {
			require.Equal(t, v.self.Region, w.memberAt(a).self.Region)
			require.NotEqual(t, v.self.Zone, w.memberAt(a).self.Zone)
			used[a]++
		}
	}
	require.Len(t, used, 5, "all VMs of the other zone must be used")
	for a, n := range used {
		require.Equal(t, 4, n, a)
	}
}

// Guards against replies that list VMs which the greeting VM already knows: between regions
// they cost more than all other messages together.
func TestWelcomeListsOnlyUnknownMembers(t *testing.T) {
	w := newTestFleet(20, 0, 1, 2)
	w.run(5 * time.Second)
	w.listed = 0
	w.run(20 * time.Second)
	require.Zero(t, w.listed)
}

// Guards against a restarted VM that cannot rejoin because the seeds are gone.
func TestRestartedVMRejoinsWithoutSeeds(t *testing.T) {
	w := newTestFleet(12, 0, 1)
	w.run(3 * time.Second)
	w.dead[addr(0)], w.dead[addr(1)] = true, true
	w.startVM(6, []int{0, 1})
	w.run(2 * time.Second)
	require.Equal(t, 4, w.vms[6].LivePeers(w.now), "the others must greet the silent VM at its old address")
}

// Guards against an isolated VM that does not use addresses added from the store.
func TestIsolatedVMUsesAddedSeeds(t *testing.T) {
	w := newTestFleet(6, 0)
	w.run(3 * time.Second)
	w.startVM(6, []int{99})
	w.run(2 * time.Second)
	isolated := w.vms[6]
	require.True(t, isolated.Isolated(w.now))
	isolated.AddSeeds([]string{addr(2)})
	w.run(2 * time.Second)
	require.False(t, isolated.Isolated(w.now))
	require.Equal(t, 3, isolated.LivePeers(w.now))
}

// Guards against silent VMs that still count as live, and against VMs that do not find each
// other again after a partition.
func TestSilentVMIsLostAndFoundAgain(t *testing.T) {
	w := newTestFleet(8, 0, 1)
	w.run(3 * time.Second)
	w.dead[addr(2)] = true
	w.run(3 * time.Second)
	require.Equal(t, 2, w.vms[0].LivePeers(w.now))
	require.False(t, slices.ContainsFunc(w.vms[0].Events(w.now), func(e fleet.Event) bool { return e.Reason != "vm2" }))
	w.dead[addr(2)] = false
	w.run(2 * time.Second)
	require.Equal(t, 3, w.vms[0].LivePeers(w.now))
	require.Equal(t, 3, w.vms[2].LivePeers(w.now))
}

// Guards against two VMs of a region with the same rank.
func TestRanksAreUnique(t *testing.T) {
	w := newTestFleet(12, 0, 1, 2)
	w.run(3 * time.Second)
	ranks := map[int]bool{}
	for i := 0; i < 12; i += 2 {
		v := w.vms[i]
		ranks[v.Rank(w.now, v.self.ID)] = true
		require.Equal(t, v.Rank(w.now, v.self.ID), w.vms[(i+2)%12].Rank(w.now, v.self.ID))
	}
	require.Len(t, ranks, 6)
}

type recorder struct {
	mu       sync.Mutex
	got      []fleet.Message
	snapshot *follower.Snapshot
}

func (r *recorder) HandleDatagram(_ netip.AddrPort, m fleet.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, m)
}
func (r *recorder) Snapshot() *follower.Snapshot { return r.snapshot }

func (r *recorder) messages() []fleet.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.got)
}

// Guards against a malformed datagram that ends the receive loop, and against incomplete
// snapshots.
func TestTransport(t *testing.T) {
	a, b := &recorder{}, &recorder{snapshot: &follower.Snapshot{Position: 7, Raw: make([]byte, 200_000)}}
	ta, err := Listen("127.0.0.1:0", a, logr.Discard())
	require.NoError(t, err)
	defer ta.Close()
	tb, err := Listen("127.0.0.1:0", b, logr.Discard())
	require.NoError(t, err)
	defer tb.Close()
	go ta.Serve()
	go tb.Serve()

	_, err = ta.udp.WriteToUDPAddrPort([]byte("no frame"), netip.MustParseAddrPort(tb.Addr()))
	require.NoError(t, err)
	hello := &Hello{Self: Member{ID: "vm1", Addr: ta.Addr()}}
	require.Eventually(t, func() bool {
		ta.Send(hello, tb.Addr())
		return len(b.messages()) > 0
	}, 30*time.Second, 10*time.Millisecond)
	require.Equal(t, hello, b.messages()[0])

	c, err := ta.FetchSnapshot(context.Background(), "vm1", tb.Addr())
	require.NoError(t, err)
	require.Equal(t, b.snapshot, c)
	_, err = tb.FetchSnapshot(context.Background(), "vm2", ta.Addr())
	require.Error(t, err, "a VM without state has no snapshot")
}

// Guards against zones of other regions that get no digests although one of their VMs is
// listed, and against greetings to other regions from all VMs of a zone.
func TestOnlyFirstVMOfZoneGreetsOtherRegions(t *testing.T) {
	far := Member{ID: "far", Addr: "10.0.0.9:70", Region: "hawassa", Zone: "hawassa-0"}
	for _, id := range []fleet.VMID{"vm1", "vm3"} {
		m := NewMembers(Member{ID: id, Addr: "10.0.0.1:70", Region: "addis", Zone: "addis-0"}, nil)
		m.Add(1, Member{ID: "vm2", Addr: "10.0.0.2:70", Region: "addis", Zone: "addis-0"}, true)
		m.Add(1, far, false)
		require.Equal(t, id == "vm1", slices.Contains(m.Greetings(2), far.Addr), id)
	}
}
