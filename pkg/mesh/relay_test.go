package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/wire"
)

// zoneSim runs the reports of one zone's VMs on a fake clock. Each VM sends a report every
// reportInterval; a datagram arrives at once.
type zoneSim struct {
	now    fleet.Time
	vms    []*zoneVM
	frames int // datagrams sent
}

type zoneVM struct {
	*Members
	queue     RelayQueue
	dead      bool
	frames    int
	lastHeard map[fleet.VMID]fleet.Time // last report of each VM
}

const reportInterval = 100 * time.Millisecond

func newZoneSim(n int) *zoneSim {
	sim := &zoneSim{now: 1}
	for i := range n {
		self := Member{ID: fleet.VMID(fmt.Sprintf("vm%03d", i)), Addr: addr(i), Region: "addis", Zone: "addis-a"}
		sim.vms = append(sim.vms, &zoneVM{Members: NewMembers(self, nil), lastHeard: make(map[fleet.VMID]fleet.Time)})
	}
	for _, v := range sim.vms {
		for _, other := range sim.vms {
			v.Add(sim.now, other.self)
		}
	}
	return sim
}

func (sim *zoneSim) vmAt(address string) *zoneVM {
	for _, v := range sim.vms {
		if v.self.Addr == address {
			return v
		}
	}
	return nil
}

func (sim *zoneSim) send(from *zoneVM, address string, receive func(*zoneVM)) {
	from.frames++
	sim.frames++
	if to := sim.vmAt(address); !to.dead {
		receive(to)
	}
}

func (sim *zoneSim) run(d time.Duration) {
	const tick = 5 * time.Millisecond
	for end := sim.now.Add(d); sim.now < end; sim.now = sim.now.Add(tick) {
		for i, v := range sim.vms {
			if v.dead {
				continue
			}
			if (int64(sim.now)/int64(tick)+int64(i))%int64(reportInterval/tick) == 0 {
				sim.report(v)
			}
			for _, batch := range v.queue.Flush(sim.now) {
				peers, _ := v.Peers(sim.now)
				for _, a := range peers {
					sim.send(v, a, func(to *zoneVM) { sim.receive(to, v, batch) })
				}
			}
		}
	}
}

func (sim *zoneSim) report(v *zoneVM) {
	r := RelayedReport{From: v.self.ID, Report: balance.Report{Zone: "addis-a", Loads: []balance.Load{{Server: "s1", InFlight: 1}}}}
	relay, self := v.ZoneRelay(sim.now)
	if self {
		v.queue.Add(sim.now, r)
		return
	}
	sim.send(v, relay, func(to *zoneVM) {
		to.RecordHeard(sim.now, v.self.ID)
		to.lastHeard[v.self.ID] = sim.now
		to.queue.Add(sim.now, r)
	})
}

func (sim *zoneSim) receive(to, relay *zoneVM, batch []RelayedReport) {
	to.RecordHeard(sim.now, relay.self.ID)
	to.RecordBatch(relay.self.ID)
	for _, r := range batch {
		to.RecordHeard(sim.now, r.From)
		to.lastHeard[r.From] = sim.now
	}
}

// Guards against reports that each VM sends to all others: the datagrams that a VM sends must
// grow no faster than the square root of the number of VMs.
func TestReportFramesGrowSlowerThanTheZone(t *testing.T) {
	perVM := func(n int) float64 {
		sim := newZoneSim(n)
		sim.run(5 * time.Second)
		for _, v := range sim.vms {
			for _, other := range sim.vms {
				if other != v {
					require.Less(t, sim.now.Sub(v.lastHeard[other.self.ID]), 2*reportInterval, "%s hears %s too late", v.self.ID, other.self.ID)
				}
			}
		}
		return float64(sim.frames) / float64(n)
	}
	require.LessOrEqual(t, perVM(64), 2*perVM(16))
}

// Guards against a zone without evidence after the loss of its relay: the others use the next
// VM within relayTimeout and a report's interval, also if several VMs that rank first are lost.
func TestRelayIsReplaced(t *testing.T) {
	sim := newZoneSim(20)
	sim.run(time.Second)
	for lost := range 3 {
		sim.vms[lost].dead = true
		sim.run(relayTimeout + 3*reportInterval)
		for _, v := range sim.vms[lost+1:] {
			for _, other := range sim.vms[lost+1:] {
				if other != v {
					require.Less(t, sim.now.Sub(v.lastHeard[other.self.ID]), 2*reportInterval)
				}
			}
		}
	}
}

// Guards against small VMs that carry the reports of a zone with large ones.
func TestLargestVMIsTheRelay(t *testing.T) {
	m := NewMembers(Member{ID: "vm1", Addr: addr(1), Region: "addis", Zone: "addis-a", Cores: 0.16}, nil)
	for i := 2; i < 12; i++ {
		v := Member{ID: fleet.VMID(fmt.Sprint("vm", i)), Addr: addr(i), Region: "addis", Zone: "addis-a", Cores: 0.16}
		if i == 7 {
			v.Cores = 0.8
		}
		m.Add(1, v)
	}
	relay, self := m.ZoneRelay(2)
	require.False(t, self)
	require.Equal(t, addr(7), relay)
	require.Equal(t, 1, m.ZoneRank(2))
}

// Guards against failures that wait for ordinary reports, and against batches that exceed a datagram.
func TestRelayQueue(t *testing.T) {
	now := fleet.Time(time.Second)
	ok := balance.Report{Loads: []balance.Load{{Server: "s1", InFlight: 2}}, Observations: []balance.Observation{{Server: "s1", Outcome: balance.OutcomeOK}}}
	bad := balance.Report{Observations: []balance.Observation{{Server: "s2", Outcome: balance.OutcomeFailed}}}
	var q RelayQueue
	require.Empty(t, q.Flush(now))
	q.Add(now, RelayedReport{From: "vm1", Report: ok})
	require.Equal(t, now.Add(relayDelay), q.Due())
	q.Add(now, RelayedReport{From: "vm1", Report: bad})
	require.Equal(t, now.Add(urgentRelayDelay), q.Due())
	batches := q.Flush(q.Due())
	require.Len(t, batches, 1)
	merged := balance.Report{Observations: append(ok.Observations, bad.Observations...)}
	require.Equal(t, []RelayedReport{{From: "vm1", Report: merged}}, batches[0], "the later loads replace the earlier ones")
	require.Zero(t, q.Due())

	for i := range 600 {
		r := bad
		r.Observations = make([]balance.Observation, 20)
		for o := range r.Observations {
			r.Observations[o] = balance.Observation{Server: "i-0123456789", Outcome: balance.OutcomeFailed, AgeMS: 17, Slowdown: 1.5}
		}
		q.Add(now, RelayedReport{From: fleet.VMID(fmt.Sprint("edge-addis-a-", i)), Report: r})
	}
	count := 0
	for _, b := range q.Flush(q.Due()) {
		frame, err := encodeDatagram(&Batch{From: "vm1", Reports: b})
		require.NoError(t, err)
		m, err := DecodeDatagram(frame)
		require.NoError(t, err)
		count += len(m.(*Batch).Reports)
	}
	require.Equal(t, 600, count)
}

// Guards against a compressed message that expands without limit, and against one that contains another.
func TestCompressedMessageIsBounded(t *testing.T) {
	bomb, err := compress(make([]byte, 4*maxFrameBytes))
	require.NoError(t, err)
	require.Less(t, len(bomb), maxDatagram)
	frame, err := wire.Encode(&Compressed{bomb})
	require.NoError(t, err)
	_, err = DecodeDatagram(frame)
	require.ErrorContains(t, err, "more than")
	nested, err := encodeDatagram(&Compressed{make([]byte, compressFrom)})
	require.NoError(t, err)
	_, err = DecodeDatagram(nested)
	require.ErrorContains(t, err, "compressed message in")
	large, err := encodeDatagram(&Hello{Self: Member{Addr: strings.Repeat("x", compressFrom)}})
	require.NoError(t, err)
	require.Less(t, len(large), compressFrom/2)
	_, err = DecodeDatagram(large[:len(large)-20])
	require.Error(t, err)
}

// Guards against a burst of Hellos after the loss of many VMs.
func TestLossOfManyVMsCausesFewHellos(t *testing.T) {
	m := NewMembers(Member{ID: "vm0", Addr: addr(0), Region: "addis", Zone: "addis-a"}, nil)
	for i := 1; i <= 150; i++ {
		m.Add(1, Member{ID: fleet.VMID(fmt.Sprint("vm", i)), Addr: addr(i), Region: "addis", Zone: "addis-a"})
	}
	hellos, greeted := 0, map[string]bool{}
	start := fleet.Time(0).Add(silenceTimeout + time.Second)
	for now := start; now < start.Add(20*time.Second); now = now.Add(10 * time.Millisecond) {
		targets := m.HelloTargets(now)
		hellos += len(targets)
		for _, a := range targets {
			greeted[a] = true
		}
	}
	require.LessOrEqual(t, hellos, int(20*time.Second/silentHelloSpacing))
	require.Len(t, greeted, 150, "each silent VM is greeted in turn")
}

// Guards against a VM that is counted as live for longer because others list it to each other.
func TestListingDoesNotKeepSilentVMsAlive(t *testing.T) {
	members := func(id string) *Members {
		return NewMembers(Member{ID: fleet.VMID(id), Addr: id, Region: "addis", Zone: "addis-a"}, nil)
	}
	a, b, gone := members("a"), members("b"), Member{ID: "gone", Addr: "gone", Region: "addis", Zone: "addis-a"}
	a.Add(1, gone)
	for now := fleet.Time(1); now < fleet.Time(0).Add(silenceTimeout); now = now.Add(100 * time.Millisecond) {
		for _, pair := range [][2]*Members{{a, b}, {b, a}} {
			for _, l := range pair[0].List(now, pair[1].self) {
				pair[1].AddListed(now, l)
			}
		}
	}
	later := fleet.Time(1).Add(silenceTimeout + time.Millisecond)
	for _, m := range []*Members{a, b} {
		require.False(t, m.members["gone"].isLive(later), m.self.ID)
	}
}
