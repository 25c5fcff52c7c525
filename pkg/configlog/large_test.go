package configlog

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
	"github.com/fulmarbeam/fulmarbeam/pkg/standin"
)

// manyWorkspaces returns a patch of about 600 KB.
func manyWorkspaces(prefix string) []byte {
	var b bytes.Buffer
	for i := range 12_000 {
		fmt.Fprintf(&b, `,"%s-%s-%05d":{"home":"east"}`, prefix, bytes.Repeat([]byte("x"), 20), i)
	}
	b.Next(1)
	return fmt.Appendf(nil, `{"workspaces":{%s}}`, b.Bytes())
}

func largeWorld(t require.TestingT, control standin.LogControl, regions ...fleet.Region) *world {
	w := newWorld(t, control, regions...)
	for _, prefix := range []string{"a", "b"} {
		w.append(record(t, signed(t, w.ref, prefix, "pay", "payments", payKey, manyWorkspaces(prefix))))
	}
	w.run(3 * time.Second)
	w.converged()
	for _, v := range w.vms {
		v.node.relays.drop() // so that relays cannot give the records to a new VM
	}
	return w
}

func (w *world) startUntilFetch(id fleet.VMID) {
	w.start(id)
	for i := 0; w.vms[id].node.transfer.fetch == nil; i++ {
		require.Less(w.t, i, 200, "no transfer begins")
		w.step()
	}
}

// A state of several parts must survive peers that vanish, are replaced or send
// damaged parts in the middle of a transfer.
func TestLargeStateTransfer(t *testing.T) {
	w := largeWorld(t, standin.LogControl{}, "east", "east", "east")
	w.outage(true)
	v := w.vms["vm-0"]
	w.startUntilFetch("vm-0")
	first := v.node.transfer.fetch.from
	require.Greater(t, len(v.node.transfer.fetch.parts), 1)
	w.vms[first].paused = true
	w.run(15 * time.Second)
	w.vms[first].paused = false
	w.run(3 * time.Second)
	w.converged()

	w.startUntilFetch("vm-0")
	f := v.node.transfer.fetch
	damaged := &StatePart{Hash: f.hash, Part: 0, Data: make([]byte, transferPartBytes)}
	v.node.Step(w.now, w.member(f.from), damaged)
	w.run(30 * time.Second)
	require.True(t, v.saw(EventBadSnapshot))
	w.converged()
}

// A snapshot of several parts must be complete before it counts, its parts may come
// twice, and VMs that only listen to relays must not receive its data.
func TestLargeSnapshot(t *testing.T) {
	w := largeWorld(t, standin.LogControl{KeepRecords: 40}, "east", "east", "east")
	listener := w.pick("east", false)
	for i := 0; !listener.node.schedule.known; i++ {
		require.Less(t, i, 60)
		w.fill(1)
	}
	for _, r := range listener.node.relays.recent {
		require.Less(t, len(r.Data), SnapshotPartBytes)
	}
	w.fill(40)
	w.start("vm-0")
	for a := range w.vms {
		w.cut[[2]fleet.VMID{a, "vm-0"}] = true
	}
	w.run(10 * time.Second)
	w.converged()
	require.True(t, w.vms["vm-0"].saw(EventInstalled))
}

// Parts of many snapshots at once must not fill the memory, and the one that covers
// most must win.
func TestGatherIsBounded(t *testing.T) {
	g := newGather(true)
	data := bytes.Repeat([]byte("s"), SnapshotPartBytes+1)
	for i := range 20 {
		first := Split(fmt.Sprint("s", i), platform.Offset(i), document.Hash{}, data)[0]
		g.add(platform.Record{Offset: 100}, &first)
		require.LessOrEqual(t, len(g.open), maxGathered)
	}
	for _, i := range []int{18, 19, 3} {
		for part, p := range Split(fmt.Sprint("s", i), platform.Offset(i), document.Hash{}, data) {
			g.add(platform.Record{Offset: platform.Offset(101 + part)}, &p)
		}
	}
	require.EqualValues(t, 19, g.done[0].header.Covers)
	got, ok := g.done[0].assemble()
	require.True(t, ok)
	require.Equal(t, data, got)
}

// Kept records must stay bounded in number and bytes, and answer pulls exactly.
func TestRecentRecordsAreBounded(t *testing.T) {
	var r relays
	for i := range 3 * recentRecords {
		r.remember(Relayed{Offset: platform.Offset(i), Data: make([]byte, 1+i%8192)})
		require.LessOrEqual(t, len(r.recent), recentRecords)
		require.LessOrEqual(t, r.bytes, recentBytes)
	}
	last := r.recent[len(r.recent)-1].Offset
	require.Equal(t, last, r.since(last)[0].Offset)
	require.Empty(t, r.since(last+1))
	require.Empty(t, r.since(r.recent[0].Offset-1))
}

// A document that could not be passed on in a snapshot must be refused.
func TestDocumentSizeIsBounded(t *testing.T) {
	s := startedState(t)
	feed(t, s, record(t, payEdit(t, s, "one", 1)))
	e := signed(t, s, "two", "shop", "orders", shopKey, workspacePatch("yard", 1))
	// The tree of the other section stands for a document at its limit.
	s.sections["payments"].tree = document.NewTree(document.Section{Workspaces: map[string]document.Workspace{
		string(make([]byte, document.MaxDocumentBytes)): {}}})
	require.Equal(t, result.ConfigTooLarge, s.Check(e).Code)
}

// Status must tell an edit that is on its way from one that nobody knows, and from an
// accepted one, also when the log's records are gone.
func TestStatus(t *testing.T) {
	w := newWorld(t, standin.LogControl{}, "east", "east")
	w.run(3 * time.Second)
	v := w.vms["vm-0"]
	require.Equal(t, result.NotFound, v.node.Status("one").Code)
	w.outage(true)
	e := payEdit(t, w.ref, "one", 1)
	v.node.Publish(w.now, e)
	require.Equal(t, result.ConfigUnknown, v.node.Status("one").Code)
	w.outage(false)
	w.run(5 * time.Second)
	require.Equal(t, result.OK, v.node.Status("one").Code)
	require.Equal(t, result.ConfigDuplicate, v.node.Publish(w.now, e).Code)
	w.outage(true)
	w.start("vm-1")
	w.run(5 * time.Second)
	require.Equal(t, result.OK, w.vms["vm-1"].node.Status("one").Code)
}
