package configlog

import (
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// Delays and intervals of snapshots.
const (
	// snapshotRankDelay is the delay per rank. It lets one relay finish before the next
	// one starts, so that normally only one writes.
	snapshotRankDelay = 5 * time.Second
	// minSnapshotInterval is the minimum time between two snapshots by one VM. It bounds
	// the load when a snapshot itself fills half of the retention.
	minSnapshotInterval = 30 * time.Second
)

// snapshotSchedule decides when a relay writes a snapshot, so that one is complete before
// the records that it covers expire.
type snapshotSchedule struct {
	known       bool               // a complete snapshot is known
	covers      platformapi.Offset // of the last complete snapshot
	firstOffset platformapi.Offset // of its first part's record
	appendedAt  fleet.Time         // when it was appended
	started     bool               // startAt is set
	startAt     fleet.Time         // first tick; used for appendedAt before a snapshot is known
	due         bool               // as of the last tick
	dueAt       fleet.Time         // when due became true
	writing     *snapshotWrite
	wrote       bool // this VM started a snapshot, the last one at wroteAt
	wroteAt     fleet.Time
	count       int // snapshots that this VM started; part of their ids
}

// snapshotWrite is a snapshot that is being appended part by part.
type snapshotWrite struct {
	parts []SnapshotPart
	next  int // index of the next part to append
}

// noteSnapshot records a complete snapshot if it covers more than the last one.
func (s *snapshotSchedule) noteSnapshot(now fleet.Time, snap *collectedSnapshot) {
	if s.known && snap.header.Covers <= s.covers {
		return
	}
	s.known, s.covers, s.firstOffset = true, snap.header.Covers, snap.firstOffset
	s.appendedAt = now.Add(-time.Duration(snap.ageMS) * time.Millisecond)
	s.due = false
}

// onSnapshotPart compares a snapshot part's chain with this VM's own and records
// snapshots that are complete.
func (n *Node) onSnapshotPart(now fleet.Time, rec platformapi.Record, p *SnapshotPart) {
	chain, ok := n.state.ChainAt(p.Covers)
	if ok && chain != p.Chain {
		if p.Part == 0 {
			n.event(EventDiverged, "the log history of a snapshot differs", "snapshot", p.ID, "covers", formatOffset(p.Covers))
		}
		return
	}
	if snap := n.reader.liveCollector.add(rec, p); snap != nil {
		n.schedule.noteSnapshot(now, snap)
	}
}

// SnapshotDue reports whether half of the retention, in records or in time, has passed since
// the last complete snapshot. It is false while this VM's read of the log's tail is not fresh.
func (n *Node) SnapshotDue(now fleet.Time) bool {
	s, r := &n.schedule, &n.reader
	if n.state.genesis == nil || n.genesisDenied || !n.fresh(now) || r.scanning || s.known && s.covers >= n.state.Next()-1 {
		return false
	}
	first, at := platformapi.Offset(0), s.startAt
	if s.known {
		first, at = s.firstOffset, s.appendedAt
	}
	byCount := r.retainRecords > 0 && int64(n.state.Next()-first) >= r.retainRecords/2
	byAge := r.retainMS > 0 && now.Sub(at) >= time.Duration(r.retainMS)*time.Millisecond/2
	return byCount || byAge
}

func (n *Node) tickSnapshots(now fleet.Time) {
	s := &n.schedule
	if !s.started {
		s.started, s.startAt = true, now
	}
	due := n.SnapshotDue(now)
	if due && !s.due {
		s.dueAt = now
	}
	s.due = due
	if s.writing != nil {
		n.writeParts(now)
		return
	}
	if !due || !n.relays.isRelay {
		return
	}
	rank := n.rank()
	if now.Sub(s.dueAt) < time.Duration(rank)*snapshotRankDelay || s.wrote && now.Sub(s.wroteAt) < minSnapshotInterval {
		return
	}
	n.startSnapshot(now)
}

// rank returns this relay's position in the order of the relays of all regions.
func (n *Node) rank() int {
	var regions []fleet.Region
	for _, vm := range n.dir.VMs {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	regionIndex, _ := slices.BinarySearch(slices.Compact(regions), n.cfg.Region)
	position := 0
	for _, vm := range n.relays.candidates {
		if vm.ID == n.cfg.Self.VM {
			break
		}
		position++
	}
	return regionIndex*RelaysPerRegion + min(position, RelaysPerRegion-1)
}

func (n *Node) startSnapshot(now fleet.Time) {
	s := &n.schedule
	s.wrote, s.wroteAt = true, now
	data, err := n.state.Encode()
	if err != nil {
		n.event(EventBadState, err.Error())
		return
	}
	s.count++
	id := strconv.FormatUint(uint64(n.cfg.Self.Incarnation), 36) + "-" + strconv.Itoa(s.count)
	if len(n.cfg.Self.VM) < MaxIDBytes-len(id) {
		id = string(n.cfg.Self.VM) + "-" + id
	}
	covers := n.state.Next() - 1
	s.writing = &snapshotWrite{parts: SplitSnapshot(id, covers, n.state.Chain(), data)}
	n.event(EventSnapshotWritten, "half of the retention has passed", "snapshot", id, "covers", formatOffset(covers),
		"bytes", strconv.Itoa(len(data)))
	n.writeParts(now)
}

// writeParts queues the next part once the previous one is appended. It stops when
// another snapshot that covers at least as much is complete.
func (n *Node) writeParts(now fleet.Time) {
	s := &n.schedule
	w := s.writing
	if s.known && s.covers >= w.parts[0].Covers {
		s.writing = nil
		return
	}
	if n.publisher.hasSnapshotJob() {
		return
	}
	if w.next == len(w.parts) {
		s.writing = nil
		return
	}
	record, err := EncodeSnapshotPart(w.parts[w.next])
	if err != nil {
		n.event(EventBadState, err.Error())
		s.writing = nil
		return
	}
	w.next++
	n.publisher.add(&appendJob{data: record, snapshot: true, deadline: now.Add(publishTimeout)})
}
