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

// world runs the membership of a fleet on a fake clock.
type world struct {
	now  fleet.Time
	vms  []*Members
	dead map[string]bool // by address

	listed int // members named in answers to greetings
}

func newWorld(n int, seeds ...int) *world {
	w := &world{now: 1, dead: map[string]bool{}}
	for i := range n {
		w.start(i, seeds)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:70", i) }

func (w *world) start(i int, seeds []int) {
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

func (w *world) run(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tick) {
		for _, v := range w.vms {
			if w.dead[v.self.Addr] {
				continue
			}
			v.Events(w.now)
			zone, region := v.Peers(w.now)
			for _, a := range append(zone, region...) {
				if other := w.at(a); other != nil {
					other.Hear(w.now, v.self.ID)
				}
			}
			for _, a := range v.Greetings(w.now) {
				other := w.at(a)
				if other == nil {
					continue
				}
				other.Learn(w.now, v.self, true)
				w.listed += len(other.ListFor(w.now, v.self, v.Known(w.now)))
				for _, m := range other.ListFor(w.now, v.self, v.Known(w.now)) {
					v.Learn(w.now, m, false)
				}
				v.Learn(w.now, other.self, true)
				v.SetFleet(other.Fleet())
			}
			w.tellZones(v)
		}
	}
}

// tellZones tells the size of the VM's zone to one VM of each other zone, which passes
// it on, as digests do.
func (w *world) tellZones(v *Members) {
	if v.ZoneRank(w.now) > 0 {
		return
	}
	region, far := v.Delegates(w.now)
	for _, a := range append(region, far...) {
		d := w.at(a)
		if d == nil {
			continue
		}
		d.Hear(w.now, v.self.ID)
		d.SetZone(v.self.Zone, v.Zone())
		zone, _ := d.Peers(w.now)
		for _, other := range zone {
			if o := w.at(other); o != nil {
				o.Hear(w.now, v.self.ID)
				o.SetZone(v.self.Zone, v.Zone())
			}
		}
	}
}

func (w *world) at(address string) *Members {
	for _, v := range w.vms {
		if v.self.Addr == address && !w.dead[address] {
			return v
		}
	}
	return nil
}

// Guards against VMs that start together and do not find all of their region, and
// against a wrong size of the fleet, by which the repeat budget is shared.
func TestAllMeetAtTheStart(t *testing.T) {
	w := newWorld(20, 0, 1, 2)
	w.run(3 * time.Second)
	for _, v := range w.vms {
		require.Equal(t, 9, v.Heard(w.now), v.self.ID)
		require.Equal(t, 20, v.Fleet(), v.self.ID)
		region, far := v.Delegates(w.now)
		require.Len(t, region, 1)
		require.True(t, len(far) == 2 || v.ZoneRank(w.now) > 0, "%s sends its zone's digests to %v", v.self.ID, far)
	}
}

// Guards against a zone whose beliefs reach no other region once the VM that sent
// them is gone.
func TestNextVMReachesOtherRegions(t *testing.T) {
	w := newWorld(20, 0, 1, 2)
	w.run(3 * time.Second)
	first := w.vms[0]
	w.dead[first.self.Addr] = true
	w.run(4 * time.Second)
	for _, v := range w.vms[1:] {
		if v.self.Zone == first.self.Zone && v.ZoneRank(w.now) == 0 {
			_, far := v.Delegates(w.now)
			require.Len(t, far, 2)
		}
	}
}

// Guards against a VM that vanished without notice and keeps getting the messages that
// it should pass on to its zone.
func TestRelaysTakeTurns(t *testing.T) {
	w := newWorld(20, 0, 1, 2)
	w.run(3 * time.Second)
	v, used := w.vms[0], map[string]int{}
	for range 10 {
		to := v.Relays(w.now, 2)
		require.Len(t, to, 2)
		for _, a := range to {
			require.Equal(t, v.self.Region, w.at(a).self.Region)
			require.NotEqual(t, v.self.Zone, w.at(a).self.Zone)
			used[a]++
		}
	}
	require.Len(t, used, 5, "all VMs of the other zone")
	for a, n := range used {
		require.Equal(t, 4, n, a)
	}
}

// Guards against greetings whose answers name VMs that the greeter knows already:
// between regions they cost more than all other messages together.
func TestAnswersNameOnlyWhatIsNew(t *testing.T) {
	w := newWorld(20, 0, 1, 2)
	w.run(5 * time.Second)
	w.listed = 0
	w.run(20 * time.Second)
	require.Zero(t, w.listed)
}

// Guards against a restarted VM that does not come back, although the seeds are gone.
func TestRestartWithoutSeeds(t *testing.T) {
	w := newWorld(12, 0, 1)
	w.run(3 * time.Second)
	w.dead[addr(0)], w.dead[addr(1)] = true, true
	w.start(6, []int{0, 1})
	w.run(2 * time.Second)
	require.Equal(t, 4, w.vms[6].Heard(w.now), "the others greet the silent VM at its old address")
}

// Guards against a VM that found nobody and does not use addresses from the store.
func TestLonely(t *testing.T) {
	w := newWorld(6, 0)
	w.run(3 * time.Second)
	w.start(6, []int{99})
	w.run(2 * time.Second)
	lonely := w.vms[6]
	require.True(t, lonely.Lonely(w.now))
	lonely.AddSeeds([]string{addr(2)})
	w.run(2 * time.Second)
	require.False(t, lonely.Lonely(w.now))
	require.Equal(t, 3, lonely.Heard(w.now))
}

// Guards against silent VMs that still count, and against a cut after which the VMs
// do not meet again.
func TestSilentVM(t *testing.T) {
	w := newWorld(8, 0, 1)
	w.run(3 * time.Second)
	w.dead[addr(2)] = true
	w.run(3 * time.Second)
	require.Equal(t, 2, w.vms[0].Heard(w.now))
	require.False(t, slices.ContainsFunc(w.vms[0].Events(w.now), func(e fleet.Event) bool { return e.Reason != "vm2" }))
	w.dead[addr(2)] = false
	w.run(2 * time.Second)
	require.Equal(t, 3, w.vms[0].Heard(w.now))
	require.Equal(t, 3, w.vms[2].Heard(w.now))
}

// Guards against two VMs of a region that both think themselves first.
func TestRanksAreDistinct(t *testing.T) {
	w := newWorld(12, 0, 1, 2)
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
	mu   sync.Mutex
	got  []fleet.Message
	copy *follower.Copy
}

func (r *recorder) Datagram(_ netip.AddrPort, m fleet.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, m)
}
func (r *recorder) GiveCopy() *follower.Copy { return r.copy }

func (r *recorder) messages() []fleet.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.got)
}

// Guards against datagrams that cannot be decoded and end the reading, and against a
// copy that arrives incomplete.
func TestTransport(t *testing.T) {
	a, b := &recorder{}, &recorder{copy: &follower.Copy{Position: 7, Raw: make([]byte, 200_000)}}
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

	c, err := ta.FetchCopy(context.Background(), "vm1", tb.Addr())
	require.NoError(t, err)
	require.Equal(t, b.copy, c)
	_, err = tb.FetchCopy(context.Background(), "vm2", ta.Addr())
	require.Error(t, err, "a VM without a copy gives none")
}

// Guards against a zone without a VM to send its digests to, although one was named,
// and against VMs that all greet other regions.
func TestOnlyTheFirstVMGreetsOtherRegions(t *testing.T) {
	far := Member{ID: "far", Addr: "10.0.0.9:70", Region: "hawassa", Zone: "hawassa-0"}
	for _, id := range []fleet.VMID{"vm1", "vm3"} {
		m := NewMembers(Member{ID: id, Addr: "10.0.0.1:70", Region: "addis", Zone: "addis-0"}, nil)
		m.Learn(1, Member{ID: "vm2", Addr: "10.0.0.2:70", Region: "addis", Zone: "addis-0"}, true)
		m.Learn(1, far, false)
		require.Equal(t, id == "vm1", slices.Contains(m.Greetings(2), far.Addr), id)
	}
}
