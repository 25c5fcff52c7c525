package configlog

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// workspacesPatch returns a patch of about 600 KB.
func workspacesPatch(prefix string) []byte {
	var b bytes.Buffer
	for i := range 12_000 {
		fmt.Fprintf(&b, `,"%s-%s-%05d":{"home":"east"}`, prefix, bytes.Repeat([]byte("x"), 20), i)
	}
	b.Next(1)
	return fmt.Appendf(nil, `{"workspaces":{%s}}`, b.Bytes())
}

func newLargeFleet(t require.TestingT, control standin.LogControl, regions ...fleet.Region) *testFleet {
	tf := newTestFleet(t, control, regions...)
	for _, prefix := range []string{"a", "b"} {
		tf.append(editRecord(t, signedEdit(t, tf.reference, prefix, "pay", "payments", payKey, workspacesPatch(prefix))))
	}
	tf.run(3 * time.Second)
	tf.requireConverged()
	for _, v := range tf.vms {
		v.node.relays.clearRecent() // so that a new VM cannot get the records from relays
	}
	return tf
}

func (tf *testFleet) startUntilDownload(id fleet.VMID) {
	tf.start(id)
	for i := 0; tf.vms[id].node.transfer.download == nil; i++ {
		require.Less(tf.t, i, 200, "no transfer begins")
		tf.step()
	}
}

// A transfer of a state with several parts must recover when the sender pauses or sends
// a damaged part in the middle of it.
func TestLargeStateTransfer(t *testing.T) {
	tf := newLargeFleet(t, standin.LogControl{}, "east", "east", "east")
	tf.setOutage(true)
	v := tf.vms["vm-0"]
	tf.startUntilDownload("vm-0")
	first := v.node.transfer.download.from
	require.Greater(t, len(v.node.transfer.download.parts), 1)
	tf.vms[first].paused = true
	tf.run(15 * time.Second)
	tf.vms[first].paused = false
	tf.run(3 * time.Second)
	tf.requireConverged()

	tf.startUntilDownload("vm-0")
	d := v.node.transfer.download
	damaged := &StatePart{Hash: d.hash, Part: 0, Data: make([]byte, transferPartBytes)}
	v.node.Step(tf.now, tf.member(d.from), damaged)
	tf.run(30 * time.Second)
	require.True(t, v.hasEvent(EventBadState))
	tf.requireConverged()
}

// A VM must be able to start from a snapshot of several parts without peers. VMs that
// read from relays only must detect the snapshot without receiving its data.
func TestLargeSnapshot(t *testing.T) {
	tf := newLargeFleet(t, standin.LogControl{KeepRecords: 40}, "east", "east", "east")
	subscriber := tf.findVM("east", false)
	for i := 0; !subscriber.node.schedule.known; i++ {
		require.Less(t, i, 60)
		tf.appendEdits(1)
	}
	for _, r := range subscriber.node.relays.recent {
		require.Less(t, len(r.Data), SnapshotPartBytes)
	}
	tf.appendEdits(40)
	tf.start("vm-0")
	for a := range tf.vms {
		tf.cutLinks[[2]fleet.VMID{a, "vm-0"}] = true
	}
	tf.run(10 * time.Second)
	tf.requireConverged()
	require.True(t, tf.vms["vm-0"].hasEvent(EventStateInstalled))
}

// Parts of many concurrent snapshots must not exhaust memory, and the snapshot that
// covers the most records must be preferred.
func TestSnapshotCollectorIsBounded(t *testing.T) {
	c := newSnapshotCollector(true)
	data := bytes.Repeat([]byte("s"), SnapshotPartBytes+1)
	for i := range 20 {
		first := SplitSnapshot(fmt.Sprint("s", i), platformapi.Offset(i), document.Hash{}, data)[0]
		c.add(platformapi.Record{Offset: 100}, &first)
		require.LessOrEqual(t, len(c.incomplete), maxCollected)
	}
	for _, i := range []int{18, 19, 3} {
		for part, p := range SplitSnapshot(fmt.Sprint("s", i), platformapi.Offset(i), document.Hash{}, data) {
			c.add(platformapi.Record{Offset: platformapi.Offset(101 + part)}, &p)
		}
	}
	require.EqualValues(t, 19, c.complete[0].header.Covers)
	got, ok := c.complete[0].assemble()
	require.True(t, ok)
	require.Equal(t, data, got)
}

// The records kept for pulls must stay bounded in number and bytes, and a pull must get
// records from exactly the requested offset on.
func TestRecentRecordsAreBounded(t *testing.T) {
	var r relays
	for i := range 3 * maxRecentRecords {
		r.addRecent(RelayedRecord{Offset: platformapi.Offset(i), Data: make([]byte, 1+i%8192)})
		require.LessOrEqual(t, len(r.recent), maxRecentRecords)
		require.LessOrEqual(t, r.recentBytes, maxRecentBytes)
	}
	last := r.recent[len(r.recent)-1].Offset
	require.Equal(t, last, r.recentFrom(last)[0].Offset)
	require.Empty(t, r.recentFrom(last+1))
	require.Empty(t, r.recentFrom(r.recent[0].Offset-1))
}

// A document that would not fit into a snapshot must be refused.
func TestDocumentSizeIsBounded(t *testing.T) {
	s := startedState(t)
	applyRecords(t, s, editRecord(t, payEdit(t, s, "one", 1)))
	e := signedEdit(t, s, "two", "shop", "orders", shopKey, workspacePatch("yard", 1))
	// The tree of the other section simulates a document at its size limit.
	s.sections["payments"].tree = document.NewHashTree(document.Section{Workspaces: map[string]document.Workspace{
		string(make([]byte, document.MaxDocumentBytes)): {}}})
	require.Equal(t, result.ConfigTooLarge, s.Check(e).Code)
}

// Status must distinguish pending, unknown and accepted edits, on a VM that got its
// state from a peer as well.
func TestStatus(t *testing.T) {
	tf := newTestFleet(t, standin.LogControl{}, "east", "east")
	tf.run(3 * time.Second)
	v := tf.vms["vm-0"]
	require.Equal(t, result.NotFound, v.node.Status("one").Code)
	tf.setOutage(true)
	e := payEdit(t, tf.reference, "one", 1)
	v.node.Publish(tf.now, e)
	require.Equal(t, result.ConfigUnknown, v.node.Status("one").Code)
	tf.setOutage(false)
	tf.run(5 * time.Second)
	require.Equal(t, result.OK, v.node.Status("one").Code)
	require.Equal(t, result.ConfigDuplicate, v.node.Publish(tf.now, e).Code)
	tf.setOutage(true)
	tf.start("vm-1")
	tf.run(5 * time.Second)
	require.Equal(t, result.OK, tf.vms["vm-1"].node.Status("one").Code)
}
