package configlog

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// publishOK publishes at a VM and requires the edit to be accepted within a time.
func (w *world) publishOK(v *vm, e Edit, within time.Duration) Verdict {
	require.Equal(w.t, result.OK, v.node.Publish(w.now, e).Code)
	for end := w.now.Add(within); w.now < end; w.step() {
		if settled := v.node.Settled(); len(settled) > 0 {
			require.Equal(w.t, result.OK, settled[0].Code, settled[0].Detail)
			return settled[0]
		}
	}
	require.Fail(w.t, "no verdict")
	return Verdict{}
}

// An accepted edit must be in force on all VMs within 2 s, and in a quiet fleet only
// the relays may read the log.
func TestFanOut(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east", "east", "east", "west", "west", "west")
	w.run(5 * time.Second)
	for _, v := range w.vms {
		v.reads = 0
	}
	w.publishOK(w.pick("west", true), payEdit(t, w.ref, "one", 1), 2*time.Second)
	w.run(time.Second)
	w.converged()
	for id, v := range w.vms {
		require.Equal(t, v.node.IsRelay(), v.reads > 0, "%s", id)
	}
}

// Relays that are silent, or that no longer reach the log, must not hold up the others.
func TestRelaysFail(t *testing.T) {
	for name, fail := range map[string]func(*vm){
		"paused":    func(v *vm) { v.paused = true },
		"no log":    func(v *vm) { v.noLog = true },
		"one way":   nil, // its answers are lost
		"paused +1": func(v *vm) { v.paused = true },
	} {
		w := newWorld(t, standin.LogControl{}, "east", "east", "east", "east")
		w.run(5 * time.Second)
		failed := map[fleet.VMID]bool{}
		for id, v := range w.vms {
			if !v.node.IsRelay() {
				continue
			}
			failed[id] = true
			if fail != nil {
				fail(v)
			}
			for other := range w.vms {
				w.cut[[2]fleet.VMID{id, other}] = name == "one way"
			}
		}
		w.run(4 * time.Second)
		w.append(record(t, payEdit(t, w.ref, "one", 1)))
		w.run(3 * time.Second)
		for id, v := range w.vms {
			if !failed[id] {
				require.Equal(t, w.ref.Next(), v.node.State().Next(), "%s: %s", name, id)
			}
		}
	}
}

// An append whose answer is lost must end as one accepted edit.
func TestPublishWithLostAnswers(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east", "east")
	w.run(3 * time.Second)
	c := w.log.Control()
	c.LoseAnswers = 3
	w.log.SetControl(c)
	w.publishOK(w.pick("east", false), payEdit(t, w.ref, "one", 1), 5*time.Second)
	w.run(time.Second)
	w.converged()
	require.EqualValues(t, 1, w.ref.SectionRevision("payments"))
}

// A forged edit under the id of one that is on its way must not be taken for its verdict.
func TestForgeryDoesNotSettleAnEdit(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east")
	w.run(3 * time.Second)
	e := payEdit(t, w.ref, "one", 1)
	forged := e
	forged.Signature = make([]byte, 64)
	w.append(record(t, forged))
	w.publishOK(w.pick("east", true), e, 2*time.Second)
}

// publish --wait must name the VMs that lag, and end when none is left.
func TestWaitApplied(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east", "east", "west", "west", "west")
	w.run(3 * time.Second)
	slow := w.pick("west", false)
	slow.paused = true
	at := w.pick("east", false)
	v := w.publishOK(at, payEdit(t, w.ref, "one", 1), 3*time.Second)
	wait := at.node.WaitApplied(v.Offset)
	require.Len(t, at.node.Lagging(wait), 5)
	w.run(2 * time.Second)
	require.Equal(t, []fleet.VMID{slow.row.ID}, at.node.Lagging(wait))
	slow.paused = false
	w.run(2 * time.Second)
	require.Empty(t, at.node.Lagging(wait))
}

// Key shards are opened once, through lost answers, and a barrier must not pass on a
// reading that began before it.
func TestOpenAndBarrier(t *testing.T) {
	w := newWorld(t, standin.LogControl{LoseAnswers: 2}, "east", "east", "east")
	w.run(3 * time.Second)
	v := w.pick("east", false)
	v.node.RequestOpen("east", 7)
	v.node.RequestOpen("east", 8)
	w.run(3 * time.Second)
	require.True(t, v.node.Opened("east", 7) && v.node.Opened("east", 8))

	w.outage(true)
	barrier := v.node.Barrier()
	w.run(10 * time.Second)
	require.False(t, v.node.BarrierPassed(barrier), "the log was not read")
	w.outage(false)
	w.run(10 * time.Second)
	require.True(t, v.node.BarrierPassed(barrier))

	// A read that is under way when the barrier is set says nothing about it.
	n := New(Config{Stream: testStream, RootKey: w.root})
	_, ok := n.WantRead(w.now)
	require.True(t, ok)
	barrier = n.Barrier()
	n.Records(w.now, platform.Batch{})
	require.False(t, n.BarrierPassed(barrier))
	_, ok = n.WantRead(w.now.Add(time.Second))
	require.True(t, ok)
	n.Records(w.now, platform.Batch{})
	require.True(t, n.BarrierPassed(barrier))
}

// Hours without the log: the fleet keeps its state, replaced VMs get it from peers,
// nothing goes back, and edits go on afterwards.
func TestHoursWithoutTheLog(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east", "east", "west", "west")
	w.run(3 * time.Second)
	old := w.pick("west", false)
	if old == nil {
		old = w.pick("west", true)
	}
	old.paused = true
	w.append(record(t, payEdit(t, w.ref, "one", 1)))
	w.run(2 * time.Second)
	w.outage(true)
	// One VM after another is replaced while one with an old state returns.
	old.paused = false
	for id, v := range w.vms {
		if v != old {
			w.start(id)
			w.run(20 * time.Minute)
		}
	}
	w.converged()
	unsure := w.pick("east", true)
	require.Equal(t, result.OK, unsure.node.Publish(w.now, payEdit(t, w.ref, "lost", 9)).Code)
	w.run(30 * time.Second)
	require.Equal(t, result.ConfigUnknown, unsure.node.Settled()[0].Code)
	w.outage(false)
	w.run(20 * time.Second)
	w.publishOK(w.pick("west", true), payEdit(t, w.ref, "two", 2), 3*time.Second)
	w.run(2 * time.Second)
	w.converged()
}

// fill makes n edits at intervals, so that old records expire and snapshots are due.
func (w *world) fill(n int) {
	for i := range n {
		w.append(record(w.t, payEdit(w.t, w.ref, "fill", 1000+i)))
		w.run(2 * time.Second)
	}
}

// When records have expired, a new VM and one with an old revision must start from a
// snapshot; a paused writer's old snapshot must not take anybody back.
func TestExpiredRecordsAndSnapshots(t *testing.T) {
	w := newWorld(t, standin.LogControl{KeepRecords: 20}, "east", "east", "east", "west", "west")
	w.run(5 * time.Second)
	oldCovers, oldChain, old := w.ref.Next()-1, w.ref.Chain(), encoded(t, w.ref)
	returning := w.pick("east", false)
	returning.paused = true
	w.fill(60)
	batch, err := w.log.Read(context.Background(), testStream, 0, 1<<20, false)
	require.NoError(t, err)
	require.Greater(t, batch.Base, returning.node.State().Next())
	for _, p := range Split("paused writer", oldCovers, oldChain, old) {
		data, err := EncodeSnapshot(p)
		require.NoError(t, err)
		w.append(data)
	}
	// Without peers, the log alone must do.
	for a := range w.vms {
		for b := range w.vms {
			w.cut[[2]fleet.VMID{a, b}] = true
		}
	}
	returning.paused = false
	w.start(w.pick("west", true).row.ID)
	w.run(20 * time.Second)
	w.converged()
	require.True(t, returning.saw(EventInstalled))
}

// Two writers that do not hear of each other must do no harm.
func TestTwoSnapshotWriters(t *testing.T) {
	w := newWorld(t, standin.LogControl{KeepRecords: 24}, "east", "west")
	w.cut[[2]fleet.VMID{"vm-0", "vm-1"}], w.cut[[2]fleet.VMID{"vm-1", "vm-0"}] = true, true
	w.run(5 * time.Second)
	for _, v := range w.vms {
		v.node.startSnapshot(w.now)
	}
	w.fill(30)
	w.start("vm-0")
	w.run(10 * time.Second)
	w.converged()
	require.True(t, w.vms["vm-1"].saw(EventSnapshot))
}

// Kept records without a usable snapshot: the VM must say that it is behind, and take
// the state from a peer.
func TestNoUsableSnapshot(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east", "east")
	w.run(3 * time.Second)
	v := w.pick("east", false)
	for other := range w.vms {
		w.cut[[2]fleet.VMID{other, v.row.ID}] = true
	}
	w.append(record(t, payEdit(t, w.ref, "one", 1)))
	w.run(time.Second)
	for _, other := range w.vms {
		other.noLog = other != v // nobody else writes a snapshot
	}
	w.log.SetControl(standin.LogControl{KeepRecords: 1})
	w.start(v.row.ID)
	w.run(10 * time.Second)
	require.Equal(t, result.NotReady, v.node.Health())
	require.True(t, v.saw(EventBehind))
	clear(w.cut)
	w.run(10 * time.Second)
	w.converged()
}

// A VM must not serve a log that was started with somebody else's root key.
func TestForeignGenesis(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east")
	w.root = publicKey(strangerKey)
	w.start("vm-0")
	w.run(time.Second)
	n := w.vms["vm-0"].node
	require.Equal(t, result.ConfigGenesisDenied, n.Health())
	require.Nil(t, n.Index())
}

// Whatever a peer or a snapshot offers, a node must not take a state with a lower
// offset, nor one in which a section is older.
func TestInstallNeverGoesBack(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east")
	older := encoded(t, w.ref)
	w.fill(2)
	n := w.vms["vm-0"].node
	restored, err := Restore(testStream, w.root, older)
	require.Nil(t, err)
	require.False(t, n.install(w.now, restored, "older"))
	for range 10 {
		feed(t, restored, []byte("garbage"))
	}
	require.Greater(t, restored.Next(), n.State().Next())
	require.False(t, n.install(w.now, restored, "older section"))
	w.run(time.Second)
	w.converged()
}

// A log that was emptied must not take the fleet back.
func TestLogReset(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east")
	w.fill(2)
	before := w.vms["vm-0"].node.State().Chain()
	w.log = standin.NewLog(standin.LogControl{}, nil)
	w.run(10 * time.Second)
	require.Equal(t, before, w.vms["vm-0"].node.State().Chain())
	require.True(t, w.vms["vm-0"].saw(EventLogReset))
}
