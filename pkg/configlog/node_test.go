package configlog

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// requireAccepted publishes an edit at a VM, requires the log to accept it within the given
// time, and returns the decision.
func (tf *testFleet) requireAccepted(v *vm, e Edit, within time.Duration) Verdict {
	require.Equal(tf.t, result.OK, v.node.Publish(tf.now, e).Code)
	for end := tf.now.Add(within); tf.now < end; tf.step() {
		if settled := v.node.Settled(); len(settled) > 0 {
			require.Equal(tf.t, result.OK, settled[0].Code, settled[0].Detail)
			return settled[0]
		}
	}
	require.Fail(tf.t, "no verdict")
	return Verdict{}
}

// An edit must be accepted within 2 s and in effect on all VMs 1 s later. In a fleet
// without faults only the relays may read the log.
func TestFanOut(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east", "east", "west", "west", "west")
	tf.run(5 * time.Second)
	for _, v := range tf.vms {
		v.reads = 0
	}
	tf.requireAccepted(tf.findVM("west", true), payEdit(t, tf.reference, "one", 1), 2*time.Second)
	tf.run(time.Second)
	tf.requireConverged()
	for id, v := range tf.vms {
		require.Equal(t, v.node.IsRelay(), v.reads > 0, "%s", id)
	}
}

// Relays that do not respond, or that cannot reach the log, must not delay the other VMs.
func TestRelaysFail(t *testing.T) {
	for name, fail := range map[string]func(*vm){
		"paused":    func(v *vm) { v.paused = true },
		"no log":    func(v *vm) { v.noLog = true },
		"one way":   nil, // messages from it are lost
		"paused +1": func(v *vm) { v.paused = true },
	} {
		tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east", "east")
		tf.run(5 * time.Second)
		failed := map[fleet.VMID]bool{}
		for id, v := range tf.vms {
			if !v.node.IsRelay() {
				continue
			}
			failed[id] = true
			if fail != nil {
				fail(v)
			}
			for other := range tf.vms {
				tf.cutLinks[[2]fleet.VMID{id, other}] = name == "one way"
			}
		}
		tf.run(4 * time.Second)
		tf.append(editRecord(t, payEdit(t, tf.reference, "one", 1)))
		tf.run(3 * time.Second)
		for id, v := range tf.vms {
			if !failed[id] {
				require.Equal(t, tf.reference.Next(), v.node.State().Next(), "%s: %s", name, id)
			}
		}
	}
}

// Appends whose responses are lost must result in exactly one accepted edit.
func TestPublishWithLostResponses(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east")
	tf.run(3 * time.Second)
	c := tf.log.Control()
	c.LoseResponses = 3
	tf.log.SetControl(c)
	tf.requireAccepted(tf.findVM("east", false), payEdit(t, tf.reference, "one", 1), 5*time.Second)
	tf.run(time.Second)
	tf.requireConverged()
	require.EqualValues(t, 1, tf.reference.SectionRevision("payments"))
}

// The refusal of a forged edit must not settle a pending edit with the same id.
func TestForgedEditDoesNotDecidePendingEdit(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east")
	tf.run(3 * time.Second)
	e := payEdit(t, tf.reference, "one", 1)
	forged := e
	forged.Signature = make([]byte, 64)
	tf.append(editRecord(t, forged))
	tf.requireAccepted(tf.findVM("east", true), e, 2*time.Second)
}

// publish --wait must list exactly the VMs that have not applied the edit.
func TestWaitApplied(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east", "west", "west", "west")
	tf.run(3 * time.Second)
	slow := tf.findVM("west", false)
	slow.paused = true
	publisher := tf.findVM("east", false)
	v := tf.requireAccepted(publisher, payEdit(t, tf.reference, "one", 1), 3*time.Second)
	wait := publisher.node.WaitApplied(v.Offset)
	require.Len(t, publisher.node.Lagging(wait), 5)
	tf.run(2 * time.Second)
	require.Equal(t, []fleet.VMID{slow.entry.ID}, publisher.node.Lagging(wait))
	slow.paused = false
	tf.run(2 * time.Second)
	require.Empty(t, publisher.node.Lagging(wait))
}

// Key shards must be opened in spite of lost append responses, and a barrier must not be
// passed by a read that began before it.
func TestOpenAndBarrier(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{LoseResponses: 2}, "east", "east", "east")
	tf.run(3 * time.Second)
	v := tf.findVM("east", false)
	v.node.RequestShardOpen("east", 7)
	v.node.RequestShardOpen("east", 8)
	tf.run(3 * time.Second)
	require.True(t, v.node.ShardOpened("east", 7) && v.node.ShardOpened("east", 8))

	tf.setOutage(true)
	barrier := v.node.Barrier()
	tf.run(10 * time.Second)
	require.False(t, v.node.BarrierPassed(barrier), "the log was not read")
	tf.setOutage(false)
	tf.run(10 * time.Second)
	require.True(t, v.node.BarrierPassed(barrier))

	// A read that is in flight when the barrier is set must not pass it.
	n := New(Config{Stream: testStream, RootKey: tf.root})
	_, ok := n.NextRead(tf.now)
	require.True(t, ok)
	barrier = n.Barrier()
	n.ReadCompleted(tf.now, platformapi.Batch{})
	require.False(t, n.BarrierPassed(barrier))
	_, ok = n.NextRead(tf.now.Add(time.Second))
	require.True(t, ok)
	n.ReadCompleted(tf.now, platformapi.Batch{})
	require.True(t, n.BarrierPassed(barrier))
}

// During an outage of the log of several hours the fleet must keep its state, replaced
// VMs must get it from peers, and edits must work again afterwards.
func TestLongLogOutage(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east", "west", "west")
	tf.run(3 * time.Second)
	old := tf.findVM("west", false)
	if old == nil {
		old = tf.findVM("west", true)
	}
	old.paused = true
	tf.append(editRecord(t, payEdit(t, tf.reference, "one", 1)))
	tf.run(2 * time.Second)
	tf.setOutage(true)
	// All VMs are replaced one after another while a VM with an old state resumes.
	old.paused = false
	for id, v := range tf.vms {
		if v != old {
			tf.start(id)
			tf.run(20 * time.Minute)
		}
	}
	tf.requireConverged()
	publisher := tf.findVM("east", true)
	require.Equal(t, result.OK, publisher.node.Publish(tf.now, payEdit(t, tf.reference, "lost", 9)).Code)
	tf.run(30 * time.Second)
	require.Equal(t, result.ConfigUnknown, publisher.node.Settled()[0].Code)
	tf.setOutage(false)
	tf.run(20 * time.Second)
	tf.requireAccepted(tf.findVM("west", true), payEdit(t, tf.reference, "two", 2), 3*time.Second)
	tf.run(2 * time.Second)
	tf.requireConverged()
}

// appendEdits appends n edits at intervals, so that old records expire and snapshots are due.
func (tf *testFleet) appendEdits(n int) {
	for i := range n {
		tf.append(editRecord(tf.t, payEdit(tf.t, tf.reference, "fill", 1000+i)))
		tf.run(2 * time.Second)
	}
}

// When records have expired, a new VM and one with an old state must start from a
// snapshot, and an outdated snapshot by a writer that was paused must not revert any VM.
func TestExpiredRecordsAndSnapshots(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{KeepRecords: 20}, "east", "east", "east", "west", "west")
	tf.run(5 * time.Second)
	oldCovers, oldChain, old := tf.reference.Next()-1, tf.reference.Chain(), mustEncode(t, tf.reference)
	returning := tf.findVM("east", false)
	returning.paused = true
	tf.appendEdits(60)
	batch, err := tf.log.Read(context.Background(), testStream, 0, 1<<20, false)
	require.NoError(t, err)
	require.Greater(t, batch.OldestOffset, returning.node.State().Next())
	for _, p := range SplitSnapshot("paused writer", oldCovers, oldChain, old) {
		data, err := EncodeSnapshotPart(p)
		require.NoError(t, err)
		tf.append(data)
	}
	// The VMs are cut off from their peers, so the log alone must be sufficient.
	for a := range tf.vms {
		for b := range tf.vms {
			tf.cutLinks[[2]fleet.VMID{a, b}] = true
		}
	}
	returning.paused = false
	tf.start(tf.findVM("west", true).entry.ID)
	tf.run(20 * time.Second)
	tf.requireConverged()
	require.True(t, returning.hasEvent(EventStateInstalled))
}

// Two VMs that write snapshots without contact to each other must not cause a fault.
func TestTwoSnapshotWriters(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{KeepRecords: 24}, "east", "west")
	tf.cutLinks[[2]fleet.VMID{"vm-0", "vm-1"}], tf.cutLinks[[2]fleet.VMID{"vm-1", "vm-0"}] = true, true
	tf.run(5 * time.Second)
	for _, v := range tf.vms {
		v.node.startSnapshot(tf.now)
	}
	tf.appendEdits(30)
	tf.start("vm-0")
	tf.run(10 * time.Second)
	tf.requireConverged()
	require.True(t, tf.vms["vm-1"].hasEvent(EventSnapshotWritten))
}

// When the retained records hold no usable snapshot, a new VM must report that it is
// behind, and take the state from a peer.
func TestNoUsableSnapshot(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east", "east")
	tf.run(3 * time.Second)
	v := tf.findVM("east", false)
	for other := range tf.vms {
		tf.cutLinks[[2]fleet.VMID{other, v.entry.ID}] = true
	}
	tf.append(editRecord(t, payEdit(t, tf.reference, "one", 1)))
	tf.run(time.Second)
	for _, other := range tf.vms {
		other.noLog = other != v // no other VM writes a snapshot
	}
	tf.log.SetControl(standin.LogControl{KeepRecords: 1})
	tf.start(v.entry.ID)
	tf.run(10 * time.Second)
	require.Equal(t, result.NotReady, v.node.Health())
	require.True(t, v.hasEvent(EventBehind))
	clear(tf.cutLinks)
	tf.run(10 * time.Second)
	tf.requireConverged()
}

// A VM must not serve the document of a log whose genesis has a different root key.
func TestGenesisWithOtherRootKeyIsDenied(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east")
	tf.root = publicKey(otherKey)
	tf.start("vm-0")
	tf.run(time.Second)
	n := tf.vms["vm-0"].node
	require.Equal(t, result.ConfigGenesisDenied, n.Health())
	require.Nil(t, n.Index())
}

// A node must not install a state with a lower offset or with an older section, from a
// peer or from a snapshot.
func TestInstallNeverRevertsState(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east")
	older := mustEncode(t, tf.reference)
	tf.appendEdits(2)
	n := tf.vms["vm-0"].node
	restored, err := Restore(testStream, tf.root, older)
	require.Nil(t, err)
	require.False(t, n.installState(tf.now, restored, "older"))
	for range 10 {
		applyRecords(t, restored, []byte("garbage"))
	}
	require.Greater(t, restored.Next(), n.State().Next())
	require.False(t, n.installState(tf.now, restored, "older section"))
	tf.run(time.Second)
	tf.requireConverged()
}

// A log that was reset must not revert the fleet's state.
func TestLogReset(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east")
	tf.appendEdits(2)
	before := tf.vms["vm-0"].node.State().Chain()
	tf.log = standin.NewLog(standin.LogControl{}, nil)
	tf.run(10 * time.Second)
	require.Equal(t, before, tf.vms["vm-0"].node.State().Chain())
	require.True(t, tf.vms["vm-0"].hasEvent(EventLogReset))
}
