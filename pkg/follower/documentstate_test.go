package follower

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// newPeerRegion returns a region whose VMs know of each other and have revision 1.
func newPeerRegion(t *testing.T, n int) *testRegion {
	tr := newTestRegion(t, n)
	for _, v := range tr.vms {
		v.SetHasPeers(true)
	}
	tr.registrations, tr.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	tr.run(3 * time.Second)
	for _, v := range tr.vms {
		require.Equal(t, uint64(1), v.revision, v.id)
	}
	return tr
}

// reader returns a VM that reads the store.
func (tr *testRegion) reader() *vm {
	for _, v := range tr.vms {
		if v.IsReader() && !tr.dead[v.id] {
			return v
		}
	}
	return tr.vms[0]
}

// requireNewest checks that all VMs that still run have the newest document within a time.
func (tr *testRegion) requireNewest(within time.Duration) {
	tr.t.Helper()
	tr.run(within)
	for _, v := range tr.vms {
		if !tr.dead[v.id] {
			require.Equal(tr.t, tr.docs[len(tr.docs)-1], v.revision, v.id)
		}
	}
}

// Guards against a VM that keeps a withdrawn key, in the document of before, for longer than DefaultRevocation, for
// each way in which a part of the region cannot read the store.
func TestNewDocumentReachesAllVMs(t *testing.T) {
	all := func(tr *testRegion, except string) map[string]bool {
		out := map[string]bool{}
		for _, v := range tr.vms {
			out[v.id] = v.id != except
		}
		return out
	}
	for name, fault := range map[string]func(tr *testRegion){
		"reader refused":                        func(tr *testRegion) { tr.down[tr.reader().id] = true },
		"reader's documents refused":            func(tr *testRegion) { tr.documentsDown[tr.reader().id] = true },
		"documents of the first VMs refused":    func(tr *testRegion) { tr.documentsDown = map[string]bool{"vm0": true, "vm1": true, "vm2": true} },
		"registry refused to all":               func(tr *testRegion) { tr.registryDown = all(tr, "") },
		"all but one refused":                   func(tr *testRegion) { tr.down = all(tr, "vm5") },
		"documents refused to all but one":      func(tr *testRegion) { tr.documentsDown = all(tr, "vm5") },
		"registry to one, documents to another": func(tr *testRegion) { tr.registryDown, tr.documentsDown = all(tr, "vm2"), all(tr, "vm4") },
		"reader ended":                          func(tr *testRegion) { tr.dead[tr.reader().id] = true },
		"reader serves no copies":               func(tr *testRegion) { tr.noCopies[tr.reader().id] = true },
		"reader serves no copies, the store refuses most others": func(tr *testRegion) {
			reader := tr.reader()
			tr.down = all(tr, "vm5")
			tr.down[reader.id] = false
			tr.noCopies = map[string]bool{reader.id: reader.id != "vm5"}
		},
		"updates lost": func(tr *testRegion) {
			n := 0
			tr.dropped = func(_, _ string) bool { n++; return n%3 != 0 }
		},
		"reader's updates lost": func(tr *testRegion) {
			silent := tr.reader().id
			tr.dropped = func(from, _ string) bool { return from == silent }
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newPeerRegion(t, 6)
			for revision := range uint64(4) {
				fault(tr)
				tr.docs = append(tr.docs, revision+2)
				tr.requireNewest(DefaultRevocation)
			}
		})
	}
}

// Guards against a region that keeps an old document because the only VM that had read the new one ended before
// another VM could fetch it.
func TestOnlyVMWithTheNewDocumentEnds(t *testing.T) {
	tr := newPeerRegion(t, 6)
	reader := tr.reader()
	tr.docs = append(tr.docs, 2)
	for reader.revision < 2 {
		tr.now = tr.now.Add(10 * time.Millisecond)
		tr.readDocument(reader)
		if d := reader.NewDocument(); d != nil {
			reader.revision = d.Revision
		}
	}
	updates := reader.Updates()
	require.NotEmpty(t, updates)
	for _, v := range tr.vms {
		if v != reader {
			v.ApplyUpdate(tr.now, fleet.VMID(reader.id), 0, updates[0])
			require.True(t, v.IsBehind(), v.id)
		}
	}
	tr.dead[reader.id] = true
	tr.requireNewest(DefaultRevocation)
}

// Guards against a process that keeps serving the older document of the VM that answered first, and against a return
// to it after the newer one was in force.
func TestRestartedVMFindsTheNewestDocument(t *testing.T) {
	tr := newPeerRegion(t, 3)
	tr.down["vm2"] = true
	tr.dropped = func(_, to string) bool { return to == "vm2" }
	tr.docs = append(tr.docs, 2)
	tr.run(time.Second)
	require.Equal(t, uint64(1), tr.vms[2].revision, "the lagging VM")
	restarted := &vm{Follower: New(Config{Self: "vm1", WaitForSeeds: true}), id: "vm1", servers: map[string]fleet.State{}}
	restarted.SetHasPeers(true)
	tr.vms[1], tr.down["vm1"] = restarted, true
	restarted.HandleSnapshotOffer(tr.now, "vm2")
	tr.run(20 * time.Millisecond)
	require.Equal(t, uint64(1), restarted.revision, "the lagging VM answered first")
	tr.run(readInterval + snapshotRetryDelay)
	require.Equal(t, uint64(2), restarted.revision)
	restarted.HandleSnapshotOffer(tr.now, "vm2")
	restarted.HearDocument(tr.now, Heard{From: "vm2", State: tr.vms[2].DocumentState(tr.now), Asked: tr.now})
	tr.run(time.Second)
	require.Equal(t, uint64(2), restarted.revision)
}

// Guards against a region that no VM's calls of the store reach and that does not learn of a new document from another
// region, and against copies between regions while the region's own reader is about to bring it.
func TestDocumentFromAnotherRegion(t *testing.T) {
	tr := newPeerRegion(t, 4)
	for _, v := range tr.vms {
		tr.down[v.id] = true
	}
	told := tr.vms[2]
	told.HearDocument(tr.now, Heard{From: "far", State: DocumentState{Revision: 2, Age: 1}, OtherRegion: true})
	_, due := told.SnapshotDue(tr.now.Add(foreignDelay - time.Millisecond))
	require.False(t, due, "the region's own VMs go first")
	var from fleet.VMID
	for !due {
		tr.now = tr.now.Add(10 * time.Millisecond)
		from, due = told.SnapshotDue(tr.now)
	}
	require.Equal(t, fleet.VMID("far"), from)
	told.ApplySnapshot(tr.now, from, &Snapshot{State: DocumentState{Revision: 2, Age: 1}}, &registry.Document{Revision: 2, Doc: &document.Document{}}, nil)
	tr.run(500 * time.Millisecond)
	for _, v := range tr.vms {
		require.Equal(t, uint64(2), v.revision, v.id)
	}
}

// Guards against a VM that follows a wrong statement for ever: one of a revision that its VM does not have.
func TestWrongClaimIsDropped(t *testing.T) {
	tr := newPeerRegion(t, 3)
	v := tr.vms[1]
	v.HearDocument(tr.now, Heard{From: "vm2", State: DocumentState{Revision: math.MaxUint64, Age: math.MaxUint32}})
	require.True(t, v.IsBehind())
	tr.run(time.Second)
	require.False(t, v.IsBehind())
	v.HearDocument(tr.now, Heard{From: "gone", State: DocumentState{Revision: 9}})
	tr.run(claimRetention + time.Second)
	require.False(t, v.IsBehind())
	tr.docs = append(tr.docs, 2)
	tr.requireNewest(time.Second)
}

// Guards against store calls by all VMs in ordinary operation, in a storm of configurations, and while the store is
// away.
func TestFewDocumentPolls(t *testing.T) {
	tr := newPeerRegion(t, 12)
	before := tr.documentCalls
	tr.run(20 * time.Second)
	require.LessOrEqual(t, tr.documentCalls-before, 21, "the reader polls once a second")
	before = tr.documentCalls
	for range 30 {
		tr.docs = append(tr.docs, uint64(len(tr.docs)+1))
		tr.run(300 * time.Millisecond)
	}
	require.LessOrEqual(t, tr.documentCalls-before, 50, "the reader polls again after each document")
	tr.requireNewest(time.Second)
	for _, v := range tr.vms {
		tr.down[v.id] = true
	}
	before = tr.documentCalls
	tr.run(10 * time.Second)
	require.LessOrEqual(t, tr.documentCalls-before, 3*12, "three polls of each VM")
}

// Guards against a confirmation from before a pause of the VM that counts as one from after it.
func TestPausedVMMustAskAgain(t *testing.T) {
	f := New(Config{Self: "vm0"})
	f.HandleSnapshotOffer(1, "vm1")
	_, _ = f.SnapshotDue(1)
	f.ApplySnapshot(2, "vm1", &Snapshot{State: DocumentState{Revision: 3, Age: 1}}, &registry.Document{Revision: 3, Doc: &document.Document{}}, nil)
	at := func(d time.Duration) fleet.Time { return fleet.Time(0).Add(d) }
	state := DocumentState{Revision: 3, Age: 1}
	confirmedAt := func() time.Duration {
		c, known := f.ConfirmedAt()
		require.True(t, known)
		return time.Duration(c).Round(10 * time.Millisecond)
	}
	f.HearDocument(at(time.Second), Heard{From: "vm1", State: state})
	require.Equal(t, time.Second, confirmedAt())
	// The VM is suspended for an hour, of which its clock shows 2 s.
	f.HandlePause(at(3*time.Second), time.Hour-2*time.Second)
	require.Equal(t, 3*time.Second-time.Hour, confirmedAt())
	f.HearDocument(at(3*time.Second), Heard{From: "vm1", State: state}) // waited in the socket
	f.HearDocument(at(3*time.Second), Heard{From: "vm1", State: state, Asked: at(time.Second)})
	require.Equal(t, 3*time.Second-time.Hour, confirmedAt())
	f.HearDocument(at(5*time.Second), Heard{From: "vm1", State: DocumentState{Revision: 2, Age: 1}, Asked: at(4 * time.Second)})
	require.Equal(t, 3*time.Second-time.Hour, confirmedAt(), "an older document confirms nothing")
	f.HearDocument(at(5*time.Second), Heard{From: "vm1", State: state, Asked: at(4 * time.Second)})
	require.Equal(t, 4*time.Second, confirmedAt())
	f.HearDocument(at(6*time.Second), Heard{From: "vm1", State: state})
	require.Equal(t, 6*time.Second, confirmedAt())
}

// message is an update on its way to a VM that does not run.
type message struct {
	from   *vm
	rank   int
	update Update
}

// Guards against a VM that counts its document as confirmed at a time at which the store already had a newer one,
// whatever is refused, lost or paused. A VM that refuses keys without a recent confirmation relies on it.
func TestConfirmationsAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tr := newPeerRegion(t, 4)
		written := map[uint64]fleet.Time{1: 0} // when the store accepted a revision
		frozen := map[string]bool{}
		queues := map[string][]message{}
		questions := map[string]fleet.Time{}
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			v := rapid.SampledFrom(tr.vms).Draw(rt, "vm")
			switch rapid.IntRange(0, 8).Draw(rt, "event") {
			case 0, 1:
				tr.docs = append(tr.docs, uint64(len(tr.docs)+1))
				written[uint64(len(tr.docs))] = tr.now
			case 2:
				tr.down[v.id] = !tr.down[v.id]
			case 3:
				tr.documentsDown[v.id] = !tr.documentsDown[v.id]
			case 4:
				frozen[v.id] = true
			case 5, 6:
				if frozen[v.id] {
					frozen[v.id] = false
					v.HandlePause(tr.now, 0)
					for _, m := range queues[v.id] {
						v.ApplyUpdate(tr.now, fleet.VMID(m.from.id), m.rank, m.update)
					}
					queues[v.id] = nil
				}
			case 7:
				questions[v.id] = tr.now
			}
			for id := range tr.dead {
				delete(tr.dead, id)
			}
			for id, is := range frozen {
				tr.dead[id] = is // does not run, and serves no snapshot
			}
			tr.runWith(time.Duration(rapid.IntRange(1, 80).Draw(rt, "centiseconds"))*10*time.Millisecond, func(from *vm, rank int, u Update) {
				for _, other := range tr.vms {
					if other != from && frozen[other.id] {
						queues[other.id] = append(queues[other.id], message{from, rank, u})
					}
				}
			})
			if asked, ok := questions[v.id]; ok && !frozen[v.id] {
				for _, other := range tr.vms {
					if other != v && !frozen[other.id] {
						v.HearDocument(tr.now, Heard{From: fleet.VMID(other.id), State: other.DocumentState(tr.now), Asked: asked})
						delete(questions, v.id)
						break
					}
				}
			}
			for _, v := range tr.vms {
				at, known := v.ConfirmedAt()
				if next := written[v.Follower.revision()+1]; known && next != 0 && at > next {
					rt.Fatalf("%s has revision %d, confirmed at %v, but the store had a newer one from %v on", v.id, v.Follower.revision(), at, next)
				}
			}
		}
	})
}

// Guards against a region that waits for the reader's calls to succeed again while other VMs could read documents.
func TestReaderWithoutDocumentsIsReplaced(t *testing.T) {
	tr := newPeerRegion(t, 6)
	tr.documentsDown[tr.reader().id] = true
	tr.docs = append(tr.docs, 2)
	tr.requireNewest(2 * time.Second)
}

// Guards against an answer of the store that counts as newer than it is because it took long to arrive.
func TestSlowAnswerConfirmsTheTimeOfTheQuestion(t *testing.T) {
	for _, c := range []struct {
		doc  *registry.Document
		want time.Duration
	}{
		{&registry.Document{Revision: 2, Doc: &document.Document{}}, 0},
		{nil, documentPollTimeout}, // the store waited that long for a newer document
	} {
		f := New(Config{Self: "vm0"})
		f.ApplyDocumentPoll(1, registry.DocumentBatch{Newest: &registry.Document{Revision: 1, Doc: &document.Document{}}, Next: 1}, nil)
		_, due := f.RegistryReadDue(fleet.Time(time.Second))
		require.True(t, due)
		f.ApplyRegistryRead(fleet.Time(time.Second), registry.Batch{}, nil)
		asked := fleet.Time(2 * time.Second)
		_, wait, due := f.DocumentPollDue(asked)
		require.True(t, due)
		require.Equal(t, documentPollTimeout, wait)
		f.ApplyDocumentPoll(asked.Add(1600*time.Millisecond), registry.DocumentBatch{Newest: c.doc, Next: 2}, nil)
		at, known := f.ConfirmedAt()
		require.True(t, known)
		require.Equal(t, c.want, at.Sub(asked))
	}
}
