package configlog

import (
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Publishing.
const (
	// publishFor is how long a record is appended again when its answer is lost.
	publishFor = 10 * time.Second
	// appendRetry is the least time before a record is appended again.
	appendRetry = 250 * time.Millisecond
	// settleFor is how long an appended record may take to be read back.
	settleFor = 10 * time.Second
	// lagAskEvery is the time between questions to relays about VMs that lag.
	lagAskEvery = 200 * time.Millisecond
	// maxPending bounds the edits that wait for their verdict at one VM.
	maxPending = 256
	// lagKnownFor is how long a VM's applied offset counts after its last pull.
	lagKnownFor = 3 * time.Second
)

// job is a record to append.
type job struct {
	id        uint64
	data      []byte
	edit      string // id of the edit
	opened    *Opened
	snapshot  bool
	taken     bool // the shell appends it
	done      bool // an append succeeded
	offset    platform.Offset
	notBefore fleet.Time
	until     fleet.Time // end of the attempts; zero has no end
	failed    int
}

// lagWait is a wait until all VMs have applied a record.
type lagWait struct {
	next    platform.Offset
	applied map[fleet.VMID]bool
	asked   bool
	askedAt fleet.Time
}

// publish is what this VM appends to the log, and waits for.
type publish struct {
	lastID  uint64
	jobs    []*job
	pending map[string]document.Hash // edits without verdict, by id
	settled []Verdict
	waits   map[uint64]*lagWait
}

func (p *publish) init() {
	p.pending = make(map[string]document.Hash)
	p.waits = make(map[uint64]*lagWait)
}

func (p *publish) add(j *job) {
	p.lastID++
	j.id = p.lastID
	p.jobs = append(p.jobs, j)
}

func (p *publish) hasSnapshotJob() bool {
	return slices.ContainsFunc(p.jobs, func(j *job) bool { return j.snapshot })
}

// Publish checks an edit against the state and, if it would be accepted, has it
// appended. The verdict's code OK means that it is on its way: the log decides, and
// Settled returns the verdict. Any other code is final for this call.
func (n *Node) Publish(now fleet.Time, e Edit) Verdict {
	if code := n.Health(); code != result.OK && code != result.ConfigBehind {
		return Verdict{ID: e.ID, Section: e.Section, Team: e.Team, Code: code, Detail: "this VM cannot publish"}
	}
	v := n.state.Check(e)
	// A base above this VM's revision proves that this VM lags: only the log can judge.
	lags := n.behind || e.Base > n.state.SectionRevision(e.Section)
	if v.Code != result.OK && (v.Code == result.ConfigDuplicate || !lags) {
		return v
	}
	data, err := EncodeEdit(e)
	if err != nil {
		v.Code, v.Detail = result.ConfigTooLarge, err.Error()
		return v
	}
	if _, waits := n.publish.pending[e.ID]; waits {
		return v
	}
	if len(n.publish.pending) >= maxPending {
		v.Code, v.Detail = result.NoCapacity, "too many edits wait for their verdict"
		return v
	}
	n.publish.pending[e.ID] = e.seen(n.cfg.Stream)
	n.publish.add(&job{data: data, edit: e.ID, until: now.Add(publishFor)})
	v.Code = result.OK
	return v
}

// AppendGenesis has the first record appended; the log decides whether it counts.
func (n *Node) AppendGenesis(now fleet.Time, g Genesis) error {
	data, err := EncodeGenesis(g)
	if err != nil {
		return err
	}
	n.publish.add(&job{data: data, until: now.Add(publishFor)})
	return nil
}

// RequestOpen has a record appended that opens a key shard, unless the log holds one.
// It is repeated until the state shows the shard as opened.
func (n *Node) RequestOpen(region fleet.Region, slice int) {
	if n.state.Opened(region, slice) {
		return
	}
	for _, j := range n.publish.jobs {
		if j.opened == nil || j.opened.Region != region {
			continue
		}
		if slices.Contains(j.opened.Slices, slice) {
			return
		}
		if !j.taken && !j.done && j.failed == 0 {
			j.opened.Slices = append(j.opened.Slices, slice)
			return
		}
	}
	n.publish.add(&job{opened: &Opened{region, []int{slice}}})
}

// Opened reports whether the applied log holds a record that opened the key shard.
func (n *Node) Opened(region fleet.Region, slice int) bool { return n.state.Opened(region, slice) }

// WantAppend returns a record to append, if any. The shell may have several appends
// under way and answers each with Appended or AppendFailed.
func (n *Node) WantAppend(now fleet.Time) (Append, bool) {
	for _, j := range n.publish.jobs {
		if j.taken || j.done || now < j.notBefore {
			continue
		}
		if j.opened != nil {
			data, err := EncodeOpened(*j.opened)
			if err != nil {
				continue
			}
			j.data = data
		}
		j.taken = true
		return Append{j.id, j.data}, true
	}
	return Append{}, false
}

// Appended says that a record was written at an offset.
func (n *Node) Appended(now fleet.Time, id uint64, offset platform.Offset) {
	if j := n.publish.find(id); j != nil {
		j.taken, j.done, j.offset = false, true, offset
		j.until = now.Add(settleFor)
		n.readSoon(now)
	}
}

// AppendFailed says that an append failed, timed out or had no answer. The record
// may have been written; appending it again does no harm.
func (n *Node) AppendFailed(now fleet.Time, id uint64) {
	j := n.publish.find(id)
	if j == nil {
		return
	}
	j.taken = false
	j.failed++
	delay := appendRetry << min(j.failed-1, 4)
	j.notBefore = now.Add(n.jitter(delay, "append"+strconv.Itoa(j.failed)))
	n.readSoon(now)
}

func (p *publish) find(id uint64) *job {
	for _, j := range p.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// awaitsRecord reports whether an own record is on its way through the log.
func (n *Node) awaitsRecord() bool {
	return slices.ContainsFunc(n.publish.jobs, func(j *job) bool {
		return !j.snapshot && (j.done || j.failed > 0)
	})
}

// tickPublish drops finished jobs and gives up on late ones.
func (n *Node) tickPublish(now fleet.Time) {
	p := &n.publish
	p.jobs = slices.DeleteFunc(p.jobs, func(j *job) bool { return n.jobEnded(now, j) })
	for _, id := range sortedWaits(p.waits) {
		n.askLag(now, id, p.waits[id])
	}
}

func (n *Node) jobEnded(now fleet.Time, j *job) bool {
	switch {
	case j.taken:
		return false
	case j.opened != nil:
		return n.openEnded(now, j)
	case j.edit != "" && !n.awaits(j.edit):
		return true
	case j.done && n.state.Next() > j.offset || j.done && j.snapshot:
		if j.edit != "" && n.awaits(j.edit) {
			// The state came from a snapshot or a peer and no longer holds the verdict.
			n.settle(Verdict{ID: j.edit, Code: result.ConfigUnknown, Detail: "the verdict is no longer among those kept"})
		}
		return true
	case now >= j.until:
		if j.edit != "" {
			n.settle(Verdict{ID: j.edit, Code: result.ConfigUnknown, Detail: "no verdict from the log in time"})
		}
		if j.snapshot {
			n.schedule.writing = nil
		}
		return true
	}
	return false
}

// openEnded drops the slices that are opened. A record that the log refused, or that
// it lost, is appended again.
func (n *Node) openEnded(now fleet.Time, j *job) bool {
	j.opened.Slices = slices.DeleteFunc(j.opened.Slices, func(s int) bool { return n.state.Opened(j.opened.Region, s) })
	if len(j.opened.Slices) == 0 {
		return true
	}
	if j.done && n.state.Next() > j.offset {
		j.done, j.failed = false, j.failed+1
		j.notBefore = now.Add(n.jitter(appendRetry<<min(j.failed, 6), "open"))
	}
	return false
}

func (n *Node) awaits(id string) bool {
	_, ok := n.publish.pending[id]
	return ok
}

// onVerdict settles an own edit. Somebody else's edit under the same id does not.
func (n *Node) onVerdict(id string, seen document.Hash, v Verdict) {
	if own, waits := n.publish.pending[id]; !waits || own != seen {
		return
	}
	if kept, ok := n.state.verdictOn(seen); ok {
		v = kept
	}
	n.settle(v)
}

func (n *Node) settle(v Verdict) {
	delete(n.publish.pending, v.ID)
	n.publish.settled = append(n.publish.settled, v)
}

// settlePublished looks for verdicts on own edits in a state that was installed.
func (n *Node) settlePublished() {
	for _, j := range n.publish.jobs {
		if seen, waits := n.publish.pending[j.edit]; waits {
			if v, ok := n.state.verdictOn(seen); ok {
				n.settle(v)
			}
		}
	}
}

// Settled returns and clears the verdicts on edits that were published here. Code
// ConfigUnknown means that the edit may still be accepted; Status tells later.
func (n *Node) Settled() []Verdict {
	out := n.publish.settled
	n.publish.settled = nil
	return out
}

// Status returns what is known about an edit: a verdict, or ConfigUnknown while it
// is on its way, or NotFound.
func (n *Node) Status(id string) Verdict {
	v, ok := n.state.Status(id)
	if ok && (v.Code == result.OK || !n.awaits(id)) {
		return v
	}
	if n.awaits(id) {
		return Verdict{ID: id, Code: result.ConfigUnknown, Detail: "the edit is on its way through the log"}
	}
	return Verdict{ID: id, Code: result.NotFound, Detail: "no such edit among those kept"}
}

// WaitApplied starts a wait until all listed VMs have applied the record at an
// offset, and returns its number.
func (n *Node) WaitApplied(offset platform.Offset) uint64 {
	n.publish.lastID++
	n.publish.waits[n.publish.lastID] = &lagWait{next: offset + 1, applied: make(map[fleet.VMID]bool)}
	return n.publish.lastID
}

// Lagging returns the listed VMs that are not known to have applied the record of a
// wait; none means that it is in force everywhere.
func (n *Node) Lagging(wait uint64) []fleet.VMID {
	w := n.publish.waits[wait]
	if w == nil || n.dir == nil {
		return nil
	}
	var out []fleet.VMID
	for _, vm := range n.dir.VMs {
		own := vm.ID == n.cfg.Self.VM && n.state.Next() >= w.next
		if !own && !w.applied[vm.ID] {
			out = append(out, vm.ID)
		}
	}
	return out
}

// EndWait forgets a wait.
func (n *Node) EndWait(wait uint64) { delete(n.publish.waits, wait) }

// LaggingHere returns the VMs of this relay's region that are not known to have
// applied the records before next.
func (n *Node) LaggingHere(now fleet.Time, next platform.Offset) []fleet.VMID {
	if n.dir == nil {
		return nil
	}
	applied := n.appliedHere(now, next)
	var out []fleet.VMID
	for _, vm := range n.dir.RegionVMs(n.cfg.Region) {
		if !slices.Contains(applied, vm.ID) {
			out = append(out, vm.ID)
		}
	}
	return out
}

// appliedHere lists the VMs that pulled with at least the offset next, itself included.
func (n *Node) appliedHere(now fleet.Time, next platform.Offset) []fleet.VMID {
	var out []fleet.VMID
	if n.state.Next() >= next {
		out = append(out, n.cfg.Self.VM)
	}
	for _, id := range sortedKeys(n.relays.peers) {
		p := n.relays.peers[id]
		if p.pulled && p.next >= next && now.Sub(p.pulledAt) < lagKnownFor {
			out = append(out, id)
		}
	}
	return out
}

func (n *Node) askLag(now fleet.Time, id uint64, w *lagWait) {
	if n.dir == nil || w.asked && now.Sub(w.askedAt) < lagAskEvery {
		return
	}
	w.asked, w.askedAt = true, now
	for _, vm := range n.appliedHere(now, w.next) {
		w.applied[vm] = true
	}
	var regions []fleet.Region
	for _, vm := range n.dir.VMs {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	for _, region := range slices.Compact(regions) {
		for i, vm := range candidates(n.dir, region) {
			if i < RelaysPerRegion+1 && vm.ID != n.cfg.Self.VM {
				n.send(vm.ID, &LagAsk{Wait: id, Next: w.next})
			}
		}
	}
}

func (n *Node) onLagAsk(now fleet.Time, from fleet.Member, m *LagAsk) {
	n.send(from.VM, &LagAnswer{Wait: m.Wait, Applied: n.appliedHere(now, m.Next)})
}

func (n *Node) onLagAnswer(_ fleet.Member, m *LagAnswer) {
	if w := n.publish.waits[m.Wait]; w != nil {
		for _, vm := range m.Applied {
			w.applied[vm] = true
		}
	}
}

func sortedWaits(m map[uint64]*lagWait) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
