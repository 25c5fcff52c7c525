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

// record is one record of the store's feed of registrations.
type record struct {
	id    string
	state fleet.State // 0 removes the server
}

// world runs followers of one region against a store on a fake clock.
type world struct {
	t      *testing.T
	now    fleet.Time
	vms    []*vm
	log    []record
	docs   []uint64 // revisions, by position
	down   map[string]bool
	lost   func(from, to string) bool // whether a beacon is lost
	calls  int
	copies int
}

type vm struct {
	*Follower
	id      string
	servers map[string]fleet.State
	rev     uint64
	polling fleet.Time // end of the wait for a document; 0 for none
	pollAt  int64
}

func newWorld(t *testing.T, n int) *world {
	w := &world{t: t, down: map[string]bool{}, lost: func(_, _ string) bool { return false }}
	for i := range n {
		v := &vm{Follower: New(Config{Self: fleet.VMID(fmt.Sprint("vm", i))}), id: fmt.Sprint("vm", i), servers: map[string]fleet.State{}}
		v.SetRank(i)
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := w.now.Add(d); w.now < end; w.now = w.now.Add(tick) {
		for i, v := range w.vms {
			v.Tick(w.now)
			w.read(v)
			w.readDocument(v)
			w.copy(v)
			for _, b := range v.Beacons() {
				for _, other := range w.vms {
					if other != v && !w.lost(v.id, other.id) {
						other.StepBeacon(w.now, fleet.VMID(v.id), i, b)
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
				require.Greater(w.t, d.Revision, v.rev, "a document went backwards")
				v.rev = d.Revision
			}
		}
	}
}

func (w *world) read(v *vm) {
	from, want := v.WantServers(w.now)
	if !want {
		return
	}
	w.calls++
	if w.down[v.id] {
		v.ServersRead(w.now, registry.Batch{}, errors.New("down"))
		return
	}
	b := registry.Batch{Next: int64(len(w.log)), Reset: from < 0}
	for seq := max(0, from); seq < int64(len(w.log)); seq++ {
		r := w.log[seq]
		c := registry.Change{ID: fleet.ServerID(r.id)}
		if r.state != 0 {
			c.Entry = &registry.Entry{Server: fleet.Server{ID: c.ID, State: r.state}, Seq: seq}
		}
		b.Changes = append(b.Changes, c)
	}
	v.ServersRead(w.now, b, nil)
}

func (w *world) readDocument(v *vm) {
	if v.polling == 0 {
		from, wait, want := v.WantDocument(w.now)
		if !want {
			return
		}
		v.polling, v.pollAt = w.now.Add(wait), from
	}
	switch {
	case w.down[v.id]:
		v.polling = 0
		v.DocumentRead(w.now, registry.DocumentBatch{}, errors.New("down"))
	case v.pollAt < int64(len(w.docs)) || w.now >= v.polling:
		v.polling = 0
		b := registry.DocumentBatch{Next: int64(len(w.docs))}
		if n := len(w.docs); n > 0 && v.pollAt < int64(n) {
			b.Newest = &registry.Document{Revision: w.docs[n-1], Doc: &document.Document{}}
		}
		v.DocumentRead(w.now, b, nil)
	}
}

func (w *world) copy(v *vm) {
	from, want := v.WantCopy(w.now)
	if !want {
		return
	}
	w.copies++
	for _, other := range w.vms {
		if fleet.VMID(other.id) != from {
			continue
		}
		c := other.Copy()
		if c == nil {
			v.Copied(w.now, from, nil, nil, errors.New("no copy"))
			return
		}
		v.Copied(w.now, from, c, &registry.Document{Revision: other.rev, Doc: &document.Document{}}, nil)
	}
}

func (w *world) readers() int {
	n := 0
	for _, v := range w.vms {
		if v.Reading() {
			n++
		}
	}
	return n
}

func (w *world) agree(revision uint64, server string, state fleet.State) {
	w.t.Helper()
	for _, v := range w.vms {
		require.Equal(w.t, revision, v.rev, v.id)
		require.Equal(w.t, state, v.servers[server], v.id)
	}
}

// Guards against VMs that all poll the store, and against changes that do not reach
// all of them within 2 s.
func TestOneReaderTellsAll(t *testing.T) {
	w := newWorld(t, 10)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.agree(1, "a", fleet.StateLive)
	require.Equal(t, 1, w.readers())
	before := w.calls
	w.log, w.docs = append(w.log, record{"a", fleet.StateLeaving}), append(w.docs, 2)
	w.run(time.Second)
	w.agree(2, "a", fleet.StateLeaving)
	w.run(9 * time.Second)
	require.LessOrEqual(t, w.calls-before, 15, "calls in 10 s at one each 0.7 s")
}

// Guards against VMs that all read the store when all of them start, since none knows
// the others yet, and against one that waits for a copy for ever.
func TestFirstReadingsAreSpread(t *testing.T) {
	var early, late int
	for i := range 48 {
		f := New(Config{Self: fleet.VMID(fmt.Sprint("vm", i))})
		if _, want := f.WantServers(0); want {
			early++
			continue
		}
		if _, want := f.WantServers(fleet.Time(0).Add(150 * time.Millisecond)); want {
			late++
		}
	}
	require.LessOrEqual(t, early, 12)
	require.Equal(t, 48, early+late)
}

// Guards against a region that stays behind when its reader goes silent or is turned
// away by the store.
func TestReaderIsReplaced(t *testing.T) {
	for _, fault := range []string{"silent", "refused"} {
		t.Run(fault, func(t *testing.T) {
			w := newWorld(t, 6)
			w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
			w.run(3 * time.Second)
			if fault == "silent" {
				w.lost = func(from, _ string) bool { return from == "vm0" }
			}
			w.down["vm0"] = true
			w.log, w.docs = append(w.log, record{"a", fleet.StateLeaving}), append(w.docs, 2)
			w.run(2 * time.Second)
			w.agree(2, "a", fleet.StateLeaving)
		})
	}
}

// Guards against VMs that miss changes when beacons are lost.
func TestLostBeacons(t *testing.T) {
	w := newWorld(t, 6)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	n := 0
	w.lost = func(_, _ string) bool { n++; return n%3 != 0 }
	for i := range 10 {
		w.log, w.docs = append(w.log, record{fmt.Sprint("s", i), fleet.StateLive}), append(w.docs, uint64(i+2))
		w.run(300 * time.Millisecond)
	}
	w.run(2 * time.Second)
	w.agree(11, "s9", fleet.StateLive)
}

// Guards against whole copies of the state for each lost beacon: the next beacon
// repeats what the lost one said.
func TestBeaconsRepeatChanges(t *testing.T) {
	w := newWorld(t, 6)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.copies = 0
	n := 0
	w.lost = func(_, to string) bool {
		if to != "vm5" {
			return false
		}
		n++
		return n%2 == 0
	}
	for i := range 10 {
		w.log = append(w.log, record{fmt.Sprint("s", i), fleet.StateLive})
		w.run(500 * time.Millisecond)
	}
	w.run(time.Second)
	w.agree(1, "s9", fleet.StateLive)
	require.Zero(t, w.copies)
}

// Guards against an older document that comes later, from the store or in a copy.
func TestOlderDocumentIsIgnored(t *testing.T) {
	w := newWorld(t, 3)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{5}
	w.run(3 * time.Second)
	w.docs = append(w.docs, 3)
	w.run(3 * time.Second)
	w.agree(5, "a", fleet.StateLive)
	v := w.vms[0]
	v.Copied(w.now, "vm1", &Copy{Document: 99}, &registry.Document{Revision: 4, Doc: &document.Document{}}, nil)
	require.Nil(t, v.NewDocument())
}

// Guards against VMs that were cut off from the store and from each other and stay
// behind after the cut has healed.
func TestCutHeals(t *testing.T) {
	w := newWorld(t, 4)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	w.lost = func(from, to string) bool { return from == "vm3" || to == "vm3" }
	w.down["vm3"] = true
	w.vms[3].SetRank(0)
	w.run(7 * time.Second)
	w.log, w.docs = append(w.log, record{"a", 0}), append(w.docs, 2)
	w.run(time.Second)
	w.lost, w.down["vm3"] = func(_, _ string) bool { return false }, false
	w.run(1500 * time.Millisecond)
	w.agree(2, "a", 0)
}

// Guards against servers that are dropped because their registrations lapsed while
// the store was down.
func TestOutageHoldsRemovals(t *testing.T) {
	w := newWorld(t, 1)
	w.log, w.docs = []record{{"a", fleet.StateLive}, {"b", fleet.StateLive}}, []uint64{1}
	w.run(2 * time.Second)
	w.down["vm0"] = true
	w.run(4 * time.Second)
	w.log = append(w.log, record{"a", 0}, record{"b", 0})
	w.down["vm0"] = false
	w.run(1500 * time.Millisecond)
	w.agree(1, "a", fleet.StateLive)
	w.log = append(w.log, record{"a", fleet.StateLive})
	w.run(4 * time.Second)
	w.agree(1, "a", fleet.StateLive)
	w.agree(1, "b", 0)
}

// Guards against an outage in which each VM of a region keeps calling the store.
func TestOutageCostsFewCalls(t *testing.T) {
	w := newWorld(t, 12)
	w.log, w.docs = []record{{"a", fleet.StateLive}}, []uint64{1}
	w.run(3 * time.Second)
	for _, v := range w.vms {
		w.down[v.id] = true
	}
	w.run(time.Second)
	before := w.calls
	w.run(10 * time.Second)
	require.LessOrEqual(t, w.calls-before, 80)
}
