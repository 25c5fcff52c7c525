package follower

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// record is an entry of the store's feed of registrations.
type record struct {
	id    string
	state fleet.State // 0 removes the server
}

// testRegion runs followers of one region against a store on a fake clock.
type testRegion struct {
	t             *testing.T
	now           fleet.Time
	vms           []*vm
	registrations []record
	docs          []uint64 // revisions, by position
	down          map[string]bool
	dropped       func(from, to string) bool // reports whether an update is lost
	storeCalls    int
	snapshots     int
}

type vm struct {
	*Follower
	id       string
	servers  map[string]fleet.State
	revision uint64
	pollEnd  fleet.Time // end of the poll for a document; 0 for none
	pollFrom int64
}

func newTestRegion(t *testing.T, n int) *testRegion {
	w := &testRegion{t: t, down: map[string]bool{}, dropped: func(_, _ string) bool { return false }}
	for i := range n {
		v := &vm{Follower: New(Config{Self: fleet.VMID(fmt.Sprint("vm", i))}), id: fmt.Sprint("vm", i), servers: map[string]fleet.State{}}
		v.SetRank(i)
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *testRegion) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tick) {
		for i, v := range w.vms {
			v.Tick(w.now)
			w.readServers(v)
			w.readDocument(v)
			w.fetchSnapshot(v)
			for _, b := range v.Updates() {
				for _, other := range w.vms {
					if other != v && !w.dropped(v.id, other.id) {
						other.ApplyUpdate(w.now, fleet.VMID(v.id), i, b)
					}
				}
			}
			for _, c := range v.Changes() {
				v.servers[string(c.ID)] = 0
				if c.Entry != nil {
					v.servers[string(c.ID)] = c.Entry.Server.State
				}
			}
			if d := v.NewDocument(); d != nil {
				require.Greater(w.t, d.Revision, v.revision, "document revision decreased")
				v.revision = d.Revision
			}
		}
	}
}

func (w *testRegion) readServers(v *vm) {
	from, want := v.RegistryReadDue(w.now)
	if !want {
		return
	}
	w.storeCalls++
	if w.down[v.id] {
		v.ApplyRegistryRead(w.now, registry.Batch{}, errors.New("down"))
		return
	}
	b := registry.Batch{Next: int64(len(w.registrations)), Reset: from < 0}
	for seq := max(0, from); seq < int64(len(w.registrations)); seq++ {
		r := w.registrations[seq]
		c := registry.Change{ID: fleet.ServerID(r.id)}
		if r.state != 0 {
			c.Entry = &registry.Entry{Server: fleet.Server{ID: c.ID, State: r.state}, Seq: seq}
		}
		b.Changes = append(b.Changes, c)
	}
	v.ApplyRegistryRead(w.now, b, nil)
}

func (w *testRegion) readDocument(v *vm) {
	if v.pollEnd == 0 {
		from, wait, want := v.DocumentPollDue(w.now)
		if !want {
			return
		}
		v.pollEnd, v.pollFrom = w.now.Add(wait), from
	}
	switch {
	case w.down[v.id]:
		v.pollEnd = 0
		v.ApplyDocumentPoll(w.now, registry.DocumentBatch{}, errors.New("down"))
	case v.pollFrom < int64(len(w.docs)) || w.now >= v.pollEnd:
		v.pollEnd = 0
		b := registry.DocumentBatch{Next: int64(len(w.docs))}
		if n := len(w.docs); n > 0 && v.pollFrom < int64(n) {
			b.Newest = &registry.Document{Revision: w.docs[n-1], Doc: &document.Document{}}
		}
		v.ApplyDocumentPoll(w.now, b, nil)
	}
}

func (w *testRegion) fetchSnapshot(v *vm) {
	from, want := v.SnapshotDue(w.now)
	if !want {
		return
	}
	w.snapshots++
	for _, other := range w.vms {
		if fleet.VMID(other.id) != from {
			continue
		}
		c := other.Snapshot()
		if c == nil {
			v.ApplySnapshot(w.now, from, nil, nil, errors.New("no copy"))
			return
		}
		v.ApplySnapshot(w.now, from, c, &registry.Document{Revision: other.revision, Doc: &document.Document{}}, nil)
	}
}

func (w *testRegion) countReaders() int {
	n := 0
	for _, v := range w.vms {
		if v.IsReader() {
			n++
		}
	}
	return n
}

func (w *testRegion) requireConverged(revision uint64, server string, state fleet.State) {
	w.t.Helper()
	for _, v := range w.vms {
		require.Equal(w.t, revision, v.revision, v.id)
		require.Equal(w.t, state, v.servers[server], v.id)
	}
}

// Guards against polling of the store by all VMs, and against changes that do not reach all
// VMs within 2 s.
func TestOneReaderUpdatesAllVMs(t *testing.T) {
	w := newTestRegion(t, 10)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.requireConverged(1, "a", fleet.StateLive)
	require.Equal(t, 1, w.countReaders())
	before := w.storeCalls
	w.registrations, w.docs = append(w.registrations, record{"a", fleet.StateLeaving}), append(w.docs, 2)
	w.run(time.Second)
	w.requireConverged(2, "a", fleet.StateLeaving)
	w.run(9 * time.Second)
	require.LessOrEqual(t, w.storeCalls-before, 15, "calls in 10 s at one each 0.7 s")
}

// Guards against reads of the store by all VMs when they start together and do not know
// each other yet, and against a VM that never reads because it waits for a snapshot.
func TestFirstReadsAreStaggered(t *testing.T) {
	var early, late int
	for i := range 48 {
		f := New(Config{Self: fleet.VMID(fmt.Sprint("vm", i))})
		if _, want := f.RegistryReadDue(0); want {
			early++
			continue
		}
		if _, want := f.RegistryReadDue(fleet.Time(0).Add(150 * time.Millisecond)); want {
			late++
		}
	}
	require.LessOrEqual(t, early, 12)
	require.Equal(t, 48, early+late)
}

// Guards against a region that gets no changes after its reader became silent or was
// refused by the store.
func TestReaderIsReplaced(t *testing.T) {
	for _, fault := range []string{"silent", "refused"} {
		t.Run(fault, func(t *testing.T) {
			w := newTestRegion(t, 6)
			w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
			w.run(3 * time.Second)
			if fault == "silent" {
				w.dropped = func(from, _ string) bool { return from == "vm0" }
			}
			w.down["vm0"] = true
			w.registrations, w.docs = append(w.registrations, record{"a", fleet.StateLeaving}), append(w.docs, 2)
			w.run(2 * time.Second)
			w.requireConverged(2, "a", fleet.StateLeaving)
		})
	}
}

// Guards against VMs that miss changes because updates are lost.
func TestAllVMsConvergeWithLostUpdates(t *testing.T) {
	w := newTestRegion(t, 6)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	n := 0
	w.dropped = func(_, _ string) bool { n++; return n%3 != 0 }
	for i := range 10 {
		w.registrations, w.docs = append(w.registrations, record{fmt.Sprint("s", i), fleet.StateLive}), append(w.docs, uint64(i+2))
		w.run(300 * time.Millisecond)
	}
	w.run(2 * time.Second)
	w.requireConverged(11, "s9", fleet.StateLive)
}

// Guards against a full snapshot for each lost update: the next update repeats the changes
// of the lost one.
func TestUpdatesRepeatChanges(t *testing.T) {
	w := newTestRegion(t, 6)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.snapshots = 0
	n := 0
	w.dropped = func(_, to string) bool {
		if to != "vm5" {
			return false
		}
		n++
		return n%2 == 0
	}
	for i := range 10 {
		w.registrations = append(w.registrations, record{fmt.Sprint("s", i), fleet.StateLive})
		w.run(500 * time.Millisecond)
	}
	w.run(time.Second)
	w.requireConverged(1, "s9", fleet.StateLive)
	require.Zero(t, w.snapshots)
}

// Guards against an older document that arrives later, from the store or in a snapshot.
func TestOlderDocumentIsIgnored(t *testing.T) {
	w := newTestRegion(t, 3)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{5}
	w.run(3 * time.Second)
	w.docs = append(w.docs, 3)
	w.run(3 * time.Second)
	w.requireConverged(5, "a", fleet.StateLive)
	v := w.vms[0]
	v.ApplySnapshot(w.now, "vm1", &Snapshot{Document: 99}, &registry.Document{Revision: 4, Doc: &document.Document{}}, nil)
	require.Nil(t, v.NewDocument())
}

// Guards against a VM that was isolated from the store and from its peers and stays behind
// after the partition has healed.
func TestIsolatedVMCatchesUp(t *testing.T) {
	w := newTestRegion(t, 4)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.dropped = func(from, to string) bool { return from == "vm3" || to == "vm3" }
	w.down["vm3"] = true
	w.vms[3].SetRank(0)
	w.run(7 * time.Second)
	w.registrations, w.docs = append(w.registrations, record{"a", 0}), append(w.docs, 2)
	w.run(time.Second)
	w.dropped, w.down["vm3"] = func(_, _ string) bool { return false }, false
	w.run(1500 * time.Millisecond)
	w.requireConverged(2, "a", 0)
}

// Guards against the removal of servers whose registrations expired while the store was
// down.
func TestRemovalsAreDelayedAfterOutage(t *testing.T) {
	w := newTestRegion(t, 1)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}, {"b", fleet.StateLive}}, []uint64{1}
	w.run(2 * time.Second)
	w.down["vm0"] = true
	w.run(4 * time.Second)
	w.registrations = append(w.registrations, record{"a", 0}, record{"b", 0})
	w.down["vm0"] = false
	w.run(1500 * time.Millisecond)
	w.requireConverged(1, "a", fleet.StateLive)
	w.registrations = append(w.registrations, record{"a", fleet.StateLive})
	w.run(4 * time.Second)
	w.requireConverged(1, "a", fleet.StateLive)
	w.requireConverged(1, "b", 0)
}

// Guards against frequent calls of all VMs of a region while the store is down.
func TestFewStoreCallsDuringOutage(t *testing.T) {
	w := newTestRegion(t, 12)
	w.registrations, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	for _, v := range w.vms {
		w.down[v.id] = true
	}
	w.run(time.Second)
	before := w.storeCalls
	w.run(10 * time.Second)
	require.LessOrEqual(t, w.storeCalls-before, 80)
}
