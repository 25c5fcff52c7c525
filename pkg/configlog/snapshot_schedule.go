package configlog

import (
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
)

// Writing of snapshots.
const (
	// snapshotStep is the delay per rank, so that normally one relay writes.
	snapshotStep = 5 * time.Second
	// snapshotGap is the least time between two snapshots by one VM. It bounds the
	// load when a snapshot takes half of the retention itself.
	snapshotGap = 30 * time.Second
)

// snapshotSchedule says when a relay writes snapshots, before the log drops what they cover.
type snapshotSchedule struct {
	known   bool            // a complete snapshot is known
	covers  platform.Offset // of the last complete snapshot
	first   platform.Offset // of its first part's record
	at      fleet.Time      // when it was appended
	started bool
	startAt fleet.Time // first tick; counts as a snapshot's time before one is known
	due     bool
	dueAt   fleet.Time
	writing *writing
	wrote   bool
	wroteAt fleet.Time
	count   int
}

// writing is a snapshot of which parts remain to be appended.
type writing struct {
	parts []Snapshot
	next  int
}

func (s *snapshotSchedule) noteSnapshot(now fleet.Time, one *gathered) {
	if s.known && one.header.Covers <= s.covers {
		return
	}
	s.known, s.covers, s.first = true, one.header.Covers, one.first
	s.at = now.Add(-time.Duration(one.age) * time.Millisecond)
	s.due = false
}

// onSnapshotPart notices complete snapshots and compares them with the own state.
func (n *Node) onSnapshotPart(now fleet.Time, rec platform.Record, p *Snapshot) {
	chain, ok := n.state.ChainAt(p.Covers)
	if ok && chain != p.Chain {
		if p.Part == 0 {
			n.event(EventDiverged, "a snapshot has another history of the log", "snapshot", p.ID, "covers", offsetText(p.Covers))
		}
		return
	}
	if one := n.reader.collect.add(rec, p); one != nil {
		n.schedule.noteSnapshot(now, one)
	}
}

// SnapshotDue reports whether half of the retention has passed since the last
// complete snapshot.
func (n *Node) SnapshotDue(now fleet.Time) bool {
	d, r := &n.schedule, &n.reader
	if n.state.genesis == nil || n.denied || !n.fresh(now) || r.scanning || d.known && d.covers >= n.state.Next()-1 {
		return false
	}
	first, at := platform.Offset(0), d.startAt
	if d.known {
		first, at = d.first, d.at
	}
	byCount := r.keep > 0 && int64(n.state.Next()-first) >= r.keep/2
	byAge := r.keepMS > 0 && now.Sub(at) >= time.Duration(r.keepMS)*time.Millisecond/2
	return byCount || byAge
}

func (n *Node) tickDuty(now fleet.Time) {
	d := &n.schedule
	if !d.started {
		d.started, d.startAt = true, now
	}
	due := n.SnapshotDue(now)
	if due && !d.due {
		d.dueAt = now
	}
	d.due = due
	if d.writing != nil {
		n.writeParts(now)
		return
	}
	if !due || !n.relays.self {
		return
	}
	rank := n.rank()
	if now.Sub(d.dueAt) < time.Duration(rank)*snapshotStep || d.wrote && now.Sub(d.wroteAt) < snapshotGap {
		return
	}
	n.startSnapshot(now)
}

// rank orders the relays of all regions.
func (n *Node) rank() int {
	var regions []fleet.Region
	for _, vm := range n.dir.VMs {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	region, _ := slices.BinarySearch(slices.Compact(regions), n.cfg.Region)
	own := 0
	for _, vm := range n.relays.order {
		if vm.ID == n.cfg.Self.VM {
			break
		}
		own++
	}
	return region*RelaysPerRegion + min(own, RelaysPerRegion-1)
}

func (n *Node) startSnapshot(now fleet.Time) {
	d := &n.schedule
	d.wrote, d.wroteAt = true, now
	data, err := n.state.Encode()
	if err != nil {
		n.event(EventBadSnapshot, err.Error())
		return
	}
	d.count++
	id := strconv.FormatUint(uint64(n.cfg.Self.Incarnation), 36) + "-" + strconv.Itoa(d.count)
	if len(n.cfg.Self.VM) < MaxIDBytes-len(id) {
		id = string(n.cfg.Self.VM) + "-" + id
	}
	covers := n.state.Next() - 1
	d.writing = &writing{parts: Split(id, covers, n.state.Chain(), data)}
	n.event(EventSnapshot, "half of the retention has passed", "snapshot", id, "covers", offsetText(covers),
		"bytes", strconv.Itoa(len(data)))
	n.writeParts(now)
}

// writeParts appends one part after another. It stops when another snapshot that
// covers as much is complete.
func (n *Node) writeParts(now fleet.Time) {
	d := &n.schedule
	w := d.writing
	if d.known && d.covers >= w.parts[0].Covers {
		d.writing = nil
		return
	}
	if n.publish.hasSnapshotJob() {
		return
	}
	if w.next == len(w.parts) {
		d.writing = nil
		return
	}
	record, err := EncodeSnapshot(w.parts[w.next])
	if err != nil {
		n.event(EventBadSnapshot, err.Error())
		d.writing = nil
		return
	}
	w.next++
	n.publish.add(&job{data: record, snapshot: true, until: now.Add(publishFor)})
}
