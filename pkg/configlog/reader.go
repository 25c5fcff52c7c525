package configlog

import (
	"strconv"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// reader holds the state of a node's own reads of the log.
type reader struct {
	readInFlight  bool               // a read is in flight
	startNext     platformapi.Offset // state's next offset when that read began
	barriers      []*barrier
	failures      int        // consecutive failed reads, for the backoff
	failing       bool       // the last read failed
	notBefore     fleet.Time // earliest time of the next read
	tailKnown     bool       // the tail was read at tailAt
	tailAt        fleet.Time
	tail          platformapi.Offset // highest next offset that a read returned
	retainRecords int64              // retention limit in records; 0 means no limit
	retainMS      int64              // retention limit in milliseconds; 0 means no limit
	resetReported bool               // EventLogReset was reported

	scanning      bool               // scanning the retained records for a snapshot
	logGap        bool               // records that follow this state have expired and no usable snapshot was found
	scanPos       platformapi.Offset // next offset of the scan
	scanCollector *snapshotCollector
	liveCollector *snapshotCollector // detects complete snapshots among the applied records
}

// barrier waits for a read of the tail that began after the barrier was set.
type barrier struct {
	id      uint64
	started bool // a read began after the barrier
	target  platformapi.Offset
	known   bool // target is known
}

// NextRead returns the read to perform now, if any. The caller reports its outcome with
// ReadCompleted or ReadFailed before it calls NextRead again.
func (n *Node) NextRead(now fleet.Time) (Read, bool) {
	r := &n.reader
	if r.readInFlight || n.genesisDenied || n.state.Halted() != result.OK || now < r.notBefore || !n.shouldReadLog(now) {
		return Read{}, false
	}
	read := Read{From: n.state.Next(), MaxBytes: MaxReadBytes}
	if r.scanning {
		read.From = r.scanPos
	} else if n.state.Next() >= r.tail && len(r.barriers) == 0 && (n.relays.isRelay || n.awaitsOwnRecord()) {
		read.Wait = LongPollTimeout
	}
	r.readInFlight, r.startNext = true, n.state.Next()
	for _, b := range r.barriers {
		b.started = true
	}
	return read, true
}

// shouldReadLog reports whether this VM reads the log itself.
func (n *Node) shouldReadLog(now fleet.Time) bool {
	return n.relays.isRelay || n.reader.scanning || len(n.reader.barriers) > 0 || n.awaitsOwnRecord() ||
		!n.relays.hasFreshRelay(now) || n.relays.recordsExpired
}

// ReadCompleted handles the batch that a read returned.
func (n *Node) ReadCompleted(now fleet.Time, batch platformapi.Batch) {
	r := &n.reader
	if !r.readInFlight {
		return
	}
	r.readInFlight, r.failures = false, 0
	if r.failing {
		r.failing = false
		n.event(EventLogAvailable, "")
	}
	r.retainRecords, r.retainMS = batch.KeepRecords, batch.KeepMS
	if batch.NextOffset < r.startNext {
		n.onLogReset(now, batch)
		return
	}
	r.tail = max(r.tail, batch.NextOffset)
	n.setBarrierTargets(batch.NextOffset)
	if contiguous := batch.OldestOffset <= n.state.Next(); r.scanning && contiguous {
		// Records from peers advanced the state in the meantime.
		r.scanning, r.logGap, r.scanCollector = false, false, nil
		r.notBefore = now
		return
	} else if !r.scanning && !contiguous {
		n.startScan(batch.OldestOffset)
	}
	if r.scanning {
		n.scanRecords(now, batch)
	} else {
		n.apply(now, batch.Records)
		n.pushApplied(now)
	}
	n.finishRead(now, batch)
}

func (n *Node) finishRead(now fleet.Time, batch platformapi.Batch) {
	r := &n.reader
	if !r.scanning && n.state.Next() >= batch.NextOffset {
		r.tailKnown, r.tailAt, r.logGap = true, now, false
		n.relays.recordsExpired = false
		if !n.relays.isRelay && !n.awaitsOwnRecord() {
			r.notBefore = now.Add(n.jitter(pollInterval, "poll"))
		}
	}
	n.releaseBarriers()
	n.updateBehind(now)
}

// onLogReset reports a log whose end is before records that this VM has applied. The
// VM keeps its state, because an accepted document is never reverted.
func (n *Node) onLogReset(now fleet.Time, batch platformapi.Batch) {
	r := &n.reader
	if !r.resetReported {
		r.resetReported = true
		n.event(EventLogReset, "the log ends before records that are already applied",
			"log_next", formatOffset(batch.NextOffset), "applied_next", formatOffset(r.startNext))
	}
	n.backOff(now)
}

// ReadFailed reports that the read failed or timed out.
func (n *Node) ReadFailed(now fleet.Time) {
	r := &n.reader
	if !r.readInFlight {
		return
	}
	r.readInFlight = false
	if !r.failing {
		r.failing = true
		n.event(EventLogUnavailable, "a read of the log failed")
	}
	n.backOff(now)
}

func (n *Node) backOff(now fleet.Time) {
	r := &n.reader
	delay := min(readBackoffMin<<min(r.failures, 10), readBackoffMax)
	r.failures++
	r.notBefore = now.Add(n.jitter(delay, "read"+strconv.Itoa(r.failures)))
}

// fresh reports whether this VM read the log's tail within maxTailAge.
func (n *Node) fresh(now fleet.Time) bool {
	return n.reader.tailKnown && now.Sub(n.reader.tailAt) <= maxTailAge
}

// startScan starts a scan for snapshots at the oldest retained record.
func (n *Node) startScan(oldest platformapi.Offset) {
	r := &n.reader
	r.scanning, r.scanPos, r.scanCollector = true, oldest, newSnapshotCollector(true)
}

// scanRecords collects snapshots from the retained records. At the tail it installs the
// newest one from which the retained records continue without a gap.
func (n *Node) scanRecords(now fleet.Time, batch platformapi.Batch) {
	r := &n.reader
	// Records may have expired during the scan, possibly all that remained.
	r.scanPos = max(r.scanPos, batch.OldestOffset)
	for _, rec := range batch.Records {
		if rec.Offset != r.scanPos {
			continue
		}
		r.scanPos++
		body, _ := DecodeRecord(rec.Data)
		if part, ok := body.(*SnapshotPart); ok {
			r.scanCollector.add(rec, part)
		}
	}
	if r.scanPos < batch.NextOffset {
		return
	}
	for _, snap := range r.scanCollector.complete {
		if snap.header.Covers >= batch.OldestOffset-1 && snap.header.Covers >= n.state.Next() && n.installSnapshot(now, snap) {
			r.logGap = false
			return
		}
	}
	r.logGap, r.scanCollector = true, nil
	n.startScan(batch.OldestOffset)
	r.notBefore = now.Add(n.jitter(scanInterval, "scan"))
}

func (n *Node) installSnapshot(now fleet.Time, snap *collectedSnapshot) bool {
	data, ok := snap.assemble()
	if !ok {
		n.event(EventBadState, "the assembled parts do not match the snapshot's hash", "snapshot", snap.header.ID)
		return false
	}
	s, err := Restore(n.cfg.Stream, n.cfg.RootKey, data)
	if err != nil {
		n.event(EventBadState, err.Error(), "snapshot", snap.header.ID)
		return false
	}
	if s.Next() != snap.header.Covers+1 || s.Chain() != snap.header.Chain {
		n.event(EventBadState, "the decoded state does not match the header of the parts", "snapshot", snap.header.ID)
		return false
	}
	if !n.installState(now, s, "snapshot "+snap.header.ID) {
		return false
	}
	n.schedule.noteSnapshot(now, snap)
	return true
}

// Barrier requests a read of the log's tail that begins after this call, and returns
// the barrier's number for BarrierPassed.
func (n *Node) Barrier() uint64 {
	n.publisher.lastID++
	n.reader.barriers = append(n.reader.barriers, &barrier{id: n.publisher.lastID})
	if n.reader.failures == 0 {
		n.reader.notBefore = 0
	}
	return n.publisher.lastID
}

// BarrierPassed reports whether all records that were in the log when Barrier was
// called are applied. It returns true for an unknown id.
func (n *Node) BarrierPassed(id uint64) bool {
	for _, b := range n.reader.barriers {
		if b.id == id {
			return false
		}
	}
	return true
}

func (n *Node) setBarrierTargets(next platformapi.Offset) {
	for _, b := range n.reader.barriers {
		if b.started && !b.known {
			b.target, b.known = next, true
		}
	}
}

func (n *Node) releaseBarriers() {
	var waiting []*barrier
	for _, b := range n.reader.barriers {
		if !b.known || n.reader.scanning || n.state.Next() < b.target {
			waiting = append(waiting, b)
		}
	}
	n.reader.barriers = waiting
}

// readWithoutDelay makes the next read due now, unless reads back off after failures.
func (n *Node) readWithoutDelay(now fleet.Time) {
	if n.reader.failures == 0 {
		n.reader.notBefore = min(n.reader.notBefore, now)
	}
}
