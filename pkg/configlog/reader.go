package configlog

import (
	"strconv"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// reader is a node's own reading of the log.
type reader struct {
	reading   bool            // the shell has a read
	startNext platform.Offset // state's next offset when that read began
	barriers  []*barrier
	failures  int
	away      bool       // the last read failed
	notBefore fleet.Time // next read
	tailRead  bool       // the tail was read at tailAt
	tailAt    fleet.Time
	tail      platform.Offset // highest next offset that the log answered
	keep      int64           // retention in records; 0 is none
	keepMS    int64           // retention in milliseconds; 0 is none
	resetSeen bool

	scanning bool            // searching kept records for a snapshot
	stuck    bool            // the log's kept records do not reach this state
	scanPos  platform.Offset // next offset of the search
	scan     *gather
	collect  *gather // notices complete snapshots that pass by
}

// barrier waits for a reading of the tail that began after it.
type barrier struct {
	id      uint64
	started bool // a read began after the barrier
	target  platform.Offset
	known   bool // target is known
}

// WantRead returns the read to do now, if any. The shell answers it with Records or
// LogFailed before it asks again.
func (n *Node) WantRead(now fleet.Time) (Read, bool) {
	r := &n.reader
	if r.reading || n.denied || n.state.Halted() != result.OK || now < r.notBefore || !n.readsLog(now) {
		return Read{}, false
	}
	read := Read{From: n.state.Next(), MaxBytes: ReadBytes}
	if r.scanning {
		read.From = r.scanPos
	} else if n.state.Next() >= r.tail && len(r.barriers) == 0 && (n.relays.self || n.awaitsRecord()) {
		read.Wait = LongPoll
	}
	r.reading, r.startNext = true, n.state.Next()
	for _, b := range r.barriers {
		b.started = true
	}
	return read, true
}

// readsLog says whether this VM reads the log itself.
func (n *Node) readsLog(now fleet.Time) bool {
	return n.relays.self || n.reader.scanning || len(n.reader.barriers) > 0 || n.awaitsRecord() ||
		!n.relays.heardFresh(now) || n.relays.cutOff
}

// Records takes the answer to a read.
func (n *Node) Records(now fleet.Time, batch platform.Batch) {
	r := &n.reader
	if !r.reading {
		return
	}
	r.reading, r.failures = false, 0
	if r.away {
		r.away = false
		n.event(EventLogBack, "")
	}
	r.keep, r.keepMS = batch.KeepRecords, batch.KeepMS
	if batch.Next < r.startNext {
		n.onLogReset(now, batch)
		return
	}
	r.tail = max(r.tail, batch.Next)
	n.markBarriers(batch.Next)
	if reaches := batch.Base <= n.state.Next(); r.scanning && reaches {
		// Peers brought the state forward meanwhile.
		r.scanning, r.stuck, r.scan = false, false, nil
		r.notBefore = now
		return
	} else if !r.scanning && !reaches {
		n.startScan(batch.Base)
	}
	if r.scanning {
		n.scanRecords(now, batch)
	} else {
		n.apply(now, batch.Records)
		n.pushApplied(now)
	}
	n.finishRead(now, batch)
}

func (n *Node) finishRead(now fleet.Time, batch platform.Batch) {
	r := &n.reader
	if !r.scanning && n.state.Next() >= batch.Next {
		r.tailRead, r.tailAt, r.stuck = true, now, false
		n.relays.cutOff = false
		if !n.relays.self && !n.awaitsRecord() {
			r.notBefore = now.Add(n.jitter(pollEvery, "poll"))
		}
	}
	n.passBarriers()
	n.checkBehind(now)
}

// onLogReset reports a log whose end is before records that this VM has applied. The
// VM keeps its state: an accepted document never reverts.
func (n *Node) onLogReset(now fleet.Time, batch platform.Batch) {
	r := &n.reader
	if !r.resetSeen {
		r.resetSeen = true
		n.event(EventLogReset, "the log ends before records that were applied",
			"log_next", offsetText(batch.Next), "applied_next", offsetText(r.startNext))
	}
	n.readLater(now)
}

// LogFailed says that the read failed or timed out.
func (n *Node) LogFailed(now fleet.Time) {
	r := &n.reader
	if !r.reading {
		return
	}
	r.reading = false
	if !r.away {
		r.away = true
		n.event(EventLogAway, "a read of the log failed")
	}
	n.readLater(now)
}

func (n *Node) readLater(now fleet.Time) {
	r := &n.reader
	delay := min(readBackoffMin<<min(r.failures, 10), readBackoffMax)
	r.failures++
	r.notBefore = now.Add(n.jitter(delay, "read"+strconv.Itoa(r.failures)))
}

// fresh reports whether this VM read the log's tail recently.
func (n *Node) fresh(now fleet.Time) bool {
	return n.reader.tailRead && now.Sub(n.reader.tailAt) <= freshFor
}

func (n *Node) startScan(base platform.Offset) {
	r := &n.reader
	r.scanning, r.scanPos, r.scan = true, base, newGather(true)
}

// scanRecords collects snapshots among the kept records. At the tail it installs
// the newest that the kept records continue.
func (n *Node) scanRecords(now fleet.Time, batch platform.Batch) {
	r := &n.reader
	// Records expired during the search, possibly all that were left.
	r.scanPos = max(r.scanPos, batch.Base)
	for _, rec := range batch.Records {
		if rec.Offset != r.scanPos {
			continue
		}
		r.scanPos++
		body, _ := DecodeRecord(rec.Data)
		if part, ok := body.(*Snapshot); ok {
			r.scan.add(rec, part)
		}
	}
	if r.scanPos < batch.Next {
		return
	}
	for _, one := range r.scan.done {
		if one.header.Covers >= batch.Base-1 && one.header.Covers >= n.state.Next() && n.installSnapshot(now, one) {
			r.stuck = false
			return
		}
	}
	r.stuck, r.scan = true, nil
	n.startScan(batch.Base)
	r.notBefore = now.Add(n.jitter(scanEvery, "scan"))
}

func (n *Node) installSnapshot(now fleet.Time, one *gathered) bool {
	data, ok := one.assemble()
	if !ok {
		n.event(EventBadSnapshot, "the parts do not have the snapshot's hash", "snapshot", one.header.ID)
		return false
	}
	s, err := Restore(n.cfg.Stream, n.cfg.RootKey, data)
	if err != nil {
		n.event(EventBadSnapshot, err.Error(), "snapshot", one.header.ID)
		return false
	}
	if s.Next() != one.header.Covers+1 || s.Chain() != one.header.Chain {
		n.event(EventBadSnapshot, "the content differs from the parts' heads", "snapshot", one.header.ID)
		return false
	}
	if !n.install(now, s, "snapshot "+one.header.ID) {
		return false
	}
	n.schedule.noteSnapshot(now, one)
	return true
}

// Barrier asks for a reading of the log's tail that begins after this call, and
// returns its number for BarrierPassed.
func (n *Node) Barrier() uint64 {
	n.publish.lastID++
	n.reader.barriers = append(n.reader.barriers, &barrier{id: n.publish.lastID})
	if n.reader.failures == 0 {
		n.reader.notBefore = 0
	}
	return n.publish.lastID
}

// BarrierPassed reports whether all records that were in the log when Barrier was
// called are applied. A barrier that passed is forgotten after the call.
func (n *Node) BarrierPassed(id uint64) bool {
	for _, b := range n.reader.barriers {
		if b.id == id {
			return false
		}
	}
	return true
}

func (n *Node) markBarriers(next platform.Offset) {
	for _, b := range n.reader.barriers {
		if b.started && !b.known {
			b.target, b.known = next, true
		}
	}
}

func (n *Node) passBarriers() {
	var open []*barrier
	for _, b := range n.reader.barriers {
		if !b.known || n.reader.scanning || n.state.Next() < b.target {
			open = append(open, b)
		}
	}
	n.reader.barriers = open
}

// readSoon drops the waiting time, unless reads fail.
func (n *Node) readSoon(now fleet.Time) {
	if n.reader.failures == 0 {
		n.reader.notBefore = min(n.reader.notBefore, now)
	}
}
