package configlog

import (
	"slices"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Time limits and bounds of publishing.
const (
	// publishTimeout is how long failed appends of a record are retried.
	publishTimeout = 10 * time.Second
	// appendRetryDelay is the delay before the first retry of an append, without jitter. It
	// doubles with each failure, up to a limit.
	appendRetryDelay = 250 * time.Millisecond
	// settleTimeout is how long an appended record may take to be read back.
	settleTimeout = 10 * time.Second
	// lagRequestInterval is the interval between LagRequest messages to the relays.
	lagRequestInterval = 200 * time.Millisecond
	// maxPending bounds the edits published at one VM that are not decided yet.
	maxPending = 256
	// pullStatusTTL is how long the offset in a VM's last pull counts as its applied offset.
	pullStatusTTL = 3 * time.Second
)

// appendJob is a record to append to the log.
type appendJob struct {
	id        uint64
	data      []byte
	editID    string        // set for an edit
	opened    *ShardsOpened // set for the opening of key shards; data is encoded at each append
	snapshot  bool          // the record is a snapshot part
	inFlight  bool          // returned by NextAppend, outcome not reported yet
	appended  bool          // an append succeeded
	offset    platformapi.Offset
	notBefore fleet.Time
	deadline  fleet.Time // end of the attempts or, once appended, of the wait for the record; zero means none
	failures  int
}

// lagWait tracks which VMs have applied a record.
type lagWait struct {
	next        platformapi.Offset  // offset after the record
	applied     map[fleet.VMID]bool // VMs known to have applied the record
	requested   bool
	requestedAt fleet.Time
}

// publisher holds the records that this VM appends, and the edits and VMs it waits for.
type publisher struct {
	lastID   uint64 // last number given to a job, a barrier or a lag wait
	jobs     []*appendJob
	pending  map[string]document.Hash // identity of each undecided edit, by id
	settled  []Verdict                // for Settled
	lagWaits map[uint64]*lagWait      // by number
}

func (p *publisher) init() {
	p.pending = make(map[string]document.Hash)
	p.lagWaits = make(map[uint64]*lagWait)
}

func (p *publisher) add(j *appendJob) {
	p.lastID++
	j.id = p.lastID
	p.jobs = append(p.jobs, j)
}

func (p *publisher) hasSnapshotJob() bool {
	return slices.ContainsFunc(p.jobs, func(j *appendJob) bool { return j.snapshot })
}

// Publish checks an edit against the state and, if it would be accepted, queues it for
// appending. Code OK means only that the edit is queued: the log decides on it, and
// Settled returns the decision. Any other code is final for this call.
func (n *Node) Publish(now fleet.Time, e Edit) Verdict {
	if code := n.Health(); code != result.OK && code != result.ConfigBehind {
		return Verdict{ID: e.ID, Section: e.Section, Team: e.Team, Code: code, Detail: "this VM cannot publish"}
	}
	v := n.state.Check(e)
	// A base above this VM's revision shows that this VM lags. Its check is then not
	// reliable and only the log can decide.
	lags := n.behind || e.Base > n.state.SectionRevision(e.Section)
	if v.Code != result.OK && (v.Code == result.ConfigDuplicate || !lags) {
		return v
	}
	data, err := EncodeEdit(e)
	if err != nil {
		v.Code, v.Detail = result.ConfigTooLarge, err.Error()
		return v
	}
	if _, pending := n.publisher.pending[e.ID]; pending {
		return v
	}
	if len(n.publisher.pending) >= maxPending {
		v.Code, v.Detail = result.NoCapacity, "too many edits are pending"
		return v
	}
	n.publisher.pending[e.ID] = e.identity(n.cfg.Stream)
	n.publisher.add(&appendJob{data: data, editID: e.ID, deadline: now.Add(publishTimeout)})
	v.Code = result.OK
	return v
}

// AppendGenesis queues the genesis for appending. Whether it becomes the stream's
// genesis is decided by the log: the first valid one does.
func (n *Node) AppendGenesis(now fleet.Time, g Genesis) error {
	data, err := EncodeGenesis(g)
	if err != nil {
		return err
	}
	n.publisher.add(&appendJob{data: data, deadline: now.Add(publishTimeout)})
	return nil
}

// RequestShardOpen queues a record that opens a key shard, unless the log already holds one.
// The append is retried until the state shows the shard as opened.
func (n *Node) RequestShardOpen(region fleet.Region, slice int) {
	if n.state.ShardOpened(region, slice) {
		return
	}
	for _, j := range n.publisher.jobs {
		if j.opened == nil || j.opened.Region != region {
			continue
		}
		if slices.Contains(j.opened.Slices, slice) {
			return
		}
		if !j.inFlight && !j.appended && j.failures == 0 {
			j.opened.Slices = append(j.opened.Slices, slice)
			return
		}
	}
	n.publisher.add(&appendJob{opened: &ShardsOpened{region, []int{slice}}})
}

// ShardOpened reports whether the applied log holds a record that opened the key shard.
func (n *Node) ShardOpened(region fleet.Region, slice int) bool {
	return n.state.ShardOpened(region, slice)
}

// NextAppend returns a record to append, if any. The caller may have several appends
// in flight and reports the outcome of each with AppendCompleted or AppendFailed.
func (n *Node) NextAppend(now fleet.Time) (Append, bool) {
	for _, j := range n.publisher.jobs {
		if j.inFlight || j.appended || now < j.notBefore {
			continue
		}
		if j.opened != nil {
			data, err := EncodeShardsOpened(*j.opened)
			if err != nil {
				continue
			}
			j.data = data
		}
		j.inFlight = true
		return Append{j.id, j.data}, true
	}
	return Append{}, false
}

// AppendCompleted reports that a record was written at an offset.
func (n *Node) AppendCompleted(now fleet.Time, id uint64, offset platformapi.Offset) {
	if j := n.publisher.find(id); j != nil {
		j.inFlight, j.appended, j.offset = false, true, offset
		j.deadline = now.Add(settleTimeout)
		n.readWithoutDelay(now)
	}
}

// AppendFailed reports that an append failed, timed out or got no response. The record
// may still have been written; appending it again is harmless.
func (n *Node) AppendFailed(now fleet.Time, id uint64) {
	j := n.publisher.find(id)
	if j == nil {
		return
	}
	j.inFlight = false
	j.failures++
	delay := appendRetryDelay << min(j.failures-1, 4)
	j.notBefore = now.Add(n.jitter(delay, "append"+strconv.Itoa(j.failures)))
	n.readWithoutDelay(now)
}

func (p *publisher) find(id uint64) *appendJob {
	for _, j := range p.jobs {
		if j.id == id {
			return j
		}
	}
	return nil
}

// awaitsOwnRecord reports whether a record of this VM may be in the log without having
// been read back.
func (n *Node) awaitsOwnRecord() bool {
	return slices.ContainsFunc(n.publisher.jobs, func(j *appendJob) bool {
		return !j.snapshot && (j.appended || j.failures > 0)
	})
}

// tickPublish removes jobs that are finished or timed out, and updates the lag waits.
func (n *Node) tickPublish(now fleet.Time) {
	p := &n.publisher
	p.jobs = slices.DeleteFunc(p.jobs, func(j *appendJob) bool { return n.jobFinished(now, j) })
	for _, id := range sortedWaitIDs(p.lagWaits) {
		n.requestLag(now, id, p.lagWaits[id])
	}
}

// jobFinished reports whether a job can be removed. If its edit is still pending then, it
// settles the edit with ConfigUnknown.
func (n *Node) jobFinished(now fleet.Time, j *appendJob) bool {
	switch {
	case j.inFlight:
		return false
	case j.opened != nil:
		return n.openFinished(now, j)
	case j.editID != "" && !n.isPending(j.editID):
		return true
	case j.appended && n.state.Next() > j.offset || j.appended && j.snapshot:
		if j.editID != "" && n.isPending(j.editID) {
			// The state came from a snapshot or a peer and no longer holds the decision.
			n.settle(Verdict{ID: j.editID, Code: result.ConfigUnknown, Detail: "the decision is no longer in the kept history"})
		}
		return true
	case now >= j.deadline:
		if j.editID != "" {
			n.settle(Verdict{ID: j.editID, Code: result.ConfigUnknown, Detail: "the log did not decide within the time limit"})
		}
		if j.snapshot {
			n.schedule.writing = nil
		}
		return true
	}
	return false
}

// openFinished removes the slices that are opened and reports whether none remains. A
// record that was refused or is missing from the log is appended again.
func (n *Node) openFinished(now fleet.Time, j *appendJob) bool {
	j.opened.Slices = slices.DeleteFunc(j.opened.Slices, func(s int) bool { return n.state.ShardOpened(j.opened.Region, s) })
	if len(j.opened.Slices) == 0 {
		return true
	}
	if j.appended && n.state.Next() > j.offset {
		j.appended, j.failures = false, j.failures+1
		j.notBefore = now.Add(n.jitter(appendRetryDelay<<min(j.failures, 6), "open"))
	}
	return false
}

func (n *Node) isPending(id string) bool {
	_, ok := n.publisher.pending[id]
	return ok
}

// onVerdict settles a pending edit of this VM. A different edit with the same id does
// not settle it.
func (n *Node) onVerdict(id string, identity document.Hash, v Verdict) {
	if own, pending := n.publisher.pending[id]; !pending || own != identity {
		return
	}
	if kept, ok := n.state.verdictFor(identity); ok {
		v = kept
	}
	n.settle(v)
}

func (n *Node) settle(v Verdict) {
	delete(n.publisher.pending, v.ID)
	n.publisher.settled = append(n.publisher.settled, v)
}

// settleFromState settles the pending edits that an installed state has decisions on.
func (n *Node) settleFromState() {
	for _, j := range n.publisher.jobs {
		if identity, pending := n.publisher.pending[j.editID]; pending {
			if v, ok := n.state.verdictFor(identity); ok {
				n.settle(v)
			}
		}
	}
}

// Settled returns and clears the decisions on edits that were published at this VM. Code
// ConfigUnknown means that the edit may still be accepted; Status can return the decision later.
func (n *Node) Settled() []Verdict {
	out := n.publisher.settled
	n.publisher.settled = nil
	return out
}

// Status returns the decision on an edit, ConfigUnknown while the edit is pending, or
// NotFound.
func (n *Node) Status(id string) Verdict {
	v, ok := n.state.Status(id)
	if ok && (v.Code == result.OK || !n.isPending(id)) {
		return v
	}
	if n.isPending(id) {
		return Verdict{ID: id, Code: result.ConfigUnknown, Detail: "the edit is pending in the log"}
	}
	return Verdict{ID: id, Code: result.NotFound, Detail: "no such edit in the kept history"}
}

// WaitApplied starts to track which listed VMs have applied the record at an offset,
// and returns the number of the wait for Lagging and EndWait.
func (n *Node) WaitApplied(offset platformapi.Offset) uint64 {
	n.publisher.lastID++
	n.publisher.lagWaits[n.publisher.lastID] = &lagWait{next: offset + 1, applied: make(map[fleet.VMID]bool)}
	return n.publisher.lastID
}

// Lagging returns the listed VMs that are not known to have applied the record of a
// wait. An empty result means that all have applied it, or that the wait is unknown.
func (n *Node) Lagging(wait uint64) []fleet.VMID {
	w := n.publisher.lagWaits[wait]
	if w == nil || n.dir == nil {
		return nil
	}
	var out []fleet.VMID
	for _, vm := range n.dir.VMs {
		appliedHere := vm.ID == n.cfg.Self.VM && n.state.Next() >= w.next
		if !appliedHere && !w.applied[vm.ID] {
			out = append(out, vm.ID)
		}
	}
	return out
}

// EndWait stops tracking a wait.
func (n *Node) EndWait(wait uint64) { delete(n.publisher.lagWaits, wait) }

// LaggingInRegion returns the listed VMs of this relay's region that are not known to have
// applied the records before next.
func (n *Node) LaggingInRegion(now fleet.Time, next platformapi.Offset) []fleet.VMID {
	if n.dir == nil {
		return nil
	}
	applied := n.appliedInRegion(now, next)
	var out []fleet.VMID
	for _, vm := range n.dir.RegionVMs(n.cfg.Region) {
		if !slices.Contains(applied, vm.ID) {
			out = append(out, vm.ID)
		}
	}
	return out
}

// appliedInRegion returns the VMs whose last pull was at offset next or higher, and
// this VM if its state is.
func (n *Node) appliedInRegion(now fleet.Time, next platformapi.Offset) []fleet.VMID {
	var out []fleet.VMID
	if n.state.Next() >= next {
		out = append(out, n.cfg.Self.VM)
	}
	for _, id := range sortedKeys(n.relays.peers) {
		p := n.relays.peers[id]
		if p.pulled && p.next >= next && now.Sub(p.pulledAt) < pullStatusTTL {
			out = append(out, id)
		}
	}
	return out
}

// requestLag adds the VMs of appliedInRegion to those that have applied the record of a wait, and
// sends a LagRequest to the first RelaysPerRegion+1 relay candidates of each region.
func (n *Node) requestLag(now fleet.Time, id uint64, w *lagWait) {
	if n.dir == nil || w.requested && now.Sub(w.requestedAt) < lagRequestInterval {
		return
	}
	w.requested, w.requestedAt = true, now
	for _, vm := range n.appliedInRegion(now, w.next) {
		w.applied[vm] = true
	}
	var regions []fleet.Region
	for _, vm := range n.dir.VMs {
		regions = append(regions, vm.Region)
	}
	slices.Sort(regions)
	for _, region := range slices.Compact(regions) {
		for i, vm := range relayCandidates(n.dir, region) {
			if i < RelaysPerRegion+1 && vm.ID != n.cfg.Self.VM {
				n.send(vm.ID, &LagRequest{Wait: id, Next: w.next})
			}
		}
	}
}

func (n *Node) onLagRequest(now fleet.Time, from fleet.Member, m *LagRequest) {
	n.send(from.VM, &LagResponse{Wait: m.Wait, Applied: n.appliedInRegion(now, m.Next)})
}

func (n *Node) onLagResponse(_ fleet.Member, m *LagResponse) {
	if w := n.publisher.lagWaits[m.Wait]; w != nil {
		for _, vm := range m.Applied {
			w.applied[vm] = true
		}
	}
}

func sortedWaitIDs(m map[uint64]*lagWait) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
