// Package follower keeps a VM's copy of the registry and of the configuration
// document up to date. In each region one VM, the reader, polls the store and sends
// changes to the others in updates; any of the others takes over when no new update
// arrives. There is no election: the VM whose timeout expires first reads, and its
// updates restart the timeouts of the others. Two readers at once are safe and only
// cost extra calls, since positions in the store order their updates.
//
// The package is deterministic: it uses no clock, socket or goroutine.
package follower

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// Intervals and timeouts of the follower.
const (
	// readInterval is the interval between two reads of the registry. Together with one
	// takeover it stays below the 2 s in which a leaving server must lose its traffic.
	readInterval = 700 * time.Millisecond
	// takeoverDelay is how long beyond readInterval a VM waits for the reader.
	takeoverDelay = 300 * time.Millisecond
	// rankDelay staggers the takeover timeouts of the VMs that are first to take over.
	rankDelay = 40 * time.Millisecond
	// fastRanks is the number of VMs with rankDelay between them. The others follow with
	// laterRankDelay, so that not all VMs of a large region read when the first ones fail to.
	fastRanks      = 12
	laterRankDelay = 20 * time.Millisecond
	// startupDelayStep and startupDelaySteps stagger the first reads of VMs that start
	// together and have not discovered each other yet: most of them get a snapshot from a VM that
	// read earlier.
	startupDelayStep  = 20 * time.Millisecond
	startupDelaySteps = 8
	// seedHeadStart is how much later than the seeds other VMs read the store first, and
	// peerHeadStart how much later still if they have a peer, which sends a snapshot once it
	// has one.
	seedHeadStart = 500 * time.Millisecond
	peerHeadStart = time.Second
	// retryDelayFirst is the delay after a failed read for the VMs that are first to take
	// over, which includes a VM without peers.
	retryDelayFirst = 700 * time.Millisecond
	// retryDelayOthers is the same for the other VMs. It limits the calls while the store
	// is unavailable to all VMs.
	retryDelayOthers = 2500 * time.Millisecond
	// fastRetryRanks is the number of a region's VMs that use retryDelayFirst.
	fastRetryRanks = 3
	// outageThreshold is how long reads must fail before removals are delayed.
	outageThreshold = 900 * time.Millisecond
	// outageRemovalDelay is how long removals are delayed after an outage or a restore: servers that stayed
	// alive register again within 2 s of its end.
	outageRemovalDelay = 2200 * time.Millisecond
	// changeResendPeriod is how long updates include a change again, to compensate for
	// lost datagrams.
	changeResendPeriod = 1500 * time.Millisecond
	// documentPollTimeout is how long one call of the reader waits for a new document. A
	// response can be lost while the connection stays open, so a longer wait could exceed
	// the 2 s within which a document must come into effect.
	documentPollTimeout = time.Second
	// resetPollDelay is the delay after a poll at a position that the store does not have. It is an eighth of the 2 s
	// within which a document must come into effect.
	resetPollDelay = 250 * time.Millisecond
	// snapshotRetryDelay is the minimum interval between two snapshot requests.
	snapshotRetryDelay = 300 * time.Millisecond
	// sweepInterval is the interval at which old tombstones are dropped from the registry.
	sweepInterval = 10 * time.Second
)

// maxUpdateChanges is the number of changes in one update or part, which must fit into a datagram.
const maxUpdateChanges = 250

// Config holds the identity of the VM.
type Config struct {
	Self fleet.VMID
	// WaitForSeeds delays the first read of the store. VMs that are no seeds wait for the
	// snapshot of one, so that not every VM of a fleet that starts reads the store.
	WaitForSeeds bool
	// Revocation is the time within which a withdrawn key must be out of use; 0 means DefaultRevocation.
	Revocation time.Duration
}

// Follower is one VM's copy of the registry and the document, with the state of its
// updates.
type Follower struct {
	cfg   Config
	table *registry.Table

	position     registry.Position // of the registry
	epoch        int64             // highest known epoch of the store; -1 before the first read
	lastUpdate   fleet.Time
	initialized  bool
	reader       bool       // this VM reads the store for its region
	rank         int        // position in the takeover order of the region's VMs
	hasPeers     bool       // another VM of the region is live
	startAt      fleet.Time // time of the first read
	nextRead     fleet.Time // earliest time of the next read
	readPending  bool
	failures     int
	firstFailure fleet.Time // first failure since the last success
	outageEnd    fleet.Time // end of the last outage or restore; 0 for none

	doc            *registry.Document
	docPosition    registry.Position
	docReadPending bool
	docPollAt      fleet.Time // start of the last poll
	docPollWait    time.Duration
	nextDocRead    fleet.Time
	storeRevision  uint64 // newest revision that the store had up to docPosition; 0 if that is not known
	confirmed      confirmation
	claim          claim

	recent          []recentUpdate
	partial         partialUpdate // the last update that came in parts
	snapshotSource  fleet.VMID    // VM to request a snapshot from; empty for none
	nextSnapshot    fleet.Time
	snapshotPending bool
	snapshotAt      fleet.Time // when the last snapshot was requested
	lastSweep       fleet.Time

	updates    []Update
	changes    []registry.Change
	pendingDoc *registry.Document
	events     []fleet.Event
}

// recentUpdate is a set of changes to the registry that the next updates include again.
type recentUpdate struct {
	at      fleet.Time
	from    registry.Position // before the changes
	changes []registry.Change
}

// Update carries what the reader read to the other VMs of the region.
type Update struct {
	From     registry.Position `msgpack:"f"` // Changes holds all changes after this position
	To       registry.Position `msgpack:"t"`
	Document registry.Position `msgpack:"d"` // of the reader's document
	Changes  []registry.Change `msgpack:"c"`
	Part     int               `msgpack:"n,omitempty"` // number of this part, from 0
	Parts    int               `msgpack:"p,omitempty"` // number of parts; 0 if the update is not split
	State    DocumentState     `msgpack:"s"`
	// DocumentOnly marks an update of a VM that is not the reader, which tells nothing of the registry.
	DocumentOnly bool `msgpack:"o,omitempty"`
}

// Snapshot is a full copy of a VM's state, for a VM that starts or has missed changes.
type Snapshot struct {
	Position registry.Position `msgpack:"p"`
	Entries  []registry.Entry  `msgpack:"e"`
	Document registry.Position `msgpack:"d"`
	Raw      []byte            `msgpack:"r"` // the document as stored
	State    DocumentState     `msgpack:"s"`
	// StoreRevision is the newest revision that the store had up to the position Document; 0 if that is not known.
	StoreRevision uint64 `msgpack:"v,omitempty"`
}

// New returns a follower without state.
func New(c Config) *Follower {
	step := xxhash.Sum64String(string(c.Self)) % startupDelaySteps
	startAt := fleet.Time(0).Add(time.Duration(step) * startupDelayStep)
	if c.WaitForSeeds {
		startAt = startAt.Add(seedHeadStart)
	}
	return &Follower{
		cfg: c, table: registry.NewTable(), startAt: startAt,
		position: registry.NoPosition, docPosition: registry.NoPosition, epoch: registry.NoPosition.Epoch(),
	}
}

// SetRank sets the VM's position in the takeover order; 0 is the first.
func (f *Follower) SetRank(rank int) { f.rank = rank }

// takeoverStagger returns how much later than the first VM this VM takes over.
func (f *Follower) takeoverStagger() time.Duration {
	return time.Duration(min(f.rank, fastRanks))*rankDelay + time.Duration(max(0, f.rank-fastRanks))*laterRankDelay
}

// SetHasPeers sets whether another VM of the region is live.
func (f *Follower) SetHasPeers(has bool) { f.hasPeers = has }

// Tick applies delayed removals that are due and drops old tombstones.
func (f *Follower) Tick(now fleet.Time) {
	if due := f.table.ApplyDue(now); len(due) > 0 {
		f.changes = append(f.changes, due...)
		f.addRecent(now, f.position, due)
	}
	f.tickDocument(now)
	for _, id := range f.table.Ignored() {
		f.event("registration_ignored", "not the registration of server "+string(id))
	}
	if now.Sub(f.lastSweep) > sweepInterval {
		f.lastSweep = now
		f.table.DropTombstones(now)
	}
}

// readDueAt returns when this VM reads the registry unless an update arrives before.
func (f *Follower) readDueAt() fleet.Time {
	at := f.lastUpdate.Add(readInterval)
	if !f.reader {
		at = at.Add(takeoverDelay + f.takeoverStagger())
	}
	if !f.initialized {
		at = f.startAt.Add(f.takeoverStagger())
		if f.cfg.WaitForSeeds && f.hasPeers {
			at = at.Add(peerHeadStart)
		}
	}
	return max(at, f.nextRead)
}

// RegistryReadDue reports whether the registry must be read now, and from which position.
// Each true result must be followed by a call of ApplyRegistryRead.
func (f *Follower) RegistryReadDue(now fleet.Time) (from registry.Position, due bool) {
	if f.readPending || f.snapshotPending || now < f.readDueAt() {
		return 0, false
	}
	f.readPending = true
	return f.position, true
}

// ApplyRegistryRead applies the result of a read of the registry.
func (f *Follower) ApplyRegistryRead(now fleet.Time, batch registry.Batch, err error) {
	f.readPending = false
	if err != nil {
		f.readFailed(now, err)
		return
	}
	f.recordEpoch(now, batch.Next)
	delay := f.readSucceeded(now)
	if batch.Next.Epoch() < f.position.Epoch() {
		return // read before a restore of the store that an update has told of
	}
	before := f.position
	changes := batch.Changes
	if batch.Reset {
		changes = append(changes, f.table.Missing(batch.Changes)...)
	} else if batch.Next < f.position {
		return // an update has brought a newer state in the meantime
	}
	applied := f.table.Apply(now, changes, delay)
	f.position = batch.Next
	if batch.Reset {
		// A reset cannot be expressed as changes; receivers need a snapshot.
		f.recent, before = nil, batch.Next
	}
	f.changes = append(f.changes, applied...)
	f.addRecent(now, before, applied)
	f.queueUpdate(now)
}

// recordEpoch records the epoch of a position in the store. Servers whose registrations were lost with a
// restore register again, as after an outage.
func (f *Follower) recordEpoch(now fleet.Time, p registry.Position) {
	if p.Epoch() <= f.epoch {
		return
	}
	if f.epoch >= 0 {
		f.outageEnd = now
		f.event("store_restored", "the store was restored from a copy and is in epoch "+strconv.FormatInt(p.Epoch(), 10))
	}
	f.epoch = p.Epoch()
}

func (f *Follower) readFailed(now fleet.Time, err error) {
	if f.failures == 0 {
		f.firstFailure = now
		f.event("store_lost", "registry read failed: "+err.Error())
	}
	f.failures++
	f.reader = false
	f.nextRead = now.Add(f.retryDelay())
}

// retryDelay returns the delay after a failed call to the store.
func (f *Follower) retryDelay() time.Duration {
	delay := retryDelayFirst
	if f.rank >= fastRetryRanks {
		delay = retryDelayOthers
	}
	return delay + f.takeoverStagger()
}

// readSucceeded records a successful read and returns how long removals are delayed.
func (f *Follower) readSucceeded(now fleet.Time) time.Duration {
	if f.failures > 0 {
		if now.Sub(f.firstFailure) >= outageThreshold {
			f.outageEnd = now
		}
		f.event("store_back", "registry reads succeed again")
	}
	f.failures = 0
	if !f.reader {
		f.event("reader_taken", "this VM reads the store for its region")
	}
	f.reader, f.initialized, f.lastUpdate = true, true, now
	return f.removalDelay(now)
}

func (f *Follower) removalDelay(now fleet.Time) time.Duration {
	if f.outageEnd == 0 {
		return 0
	}
	return max(0, f.outageEnd.Add(outageRemovalDelay).Sub(now))
}

// addRecent adds changes to those that the next updates include.
func (f *Follower) addRecent(now fleet.Time, before registry.Position, changes []registry.Change) {
	kept := f.recent[:0]
	for _, r := range f.recent {
		if now.Sub(r.at) < changeResendPeriod {
			kept = append(kept, r)
		}
	}
	f.recent = append(kept, recentUpdate{now, before, changes})
}

// queueUpdate queues an update with the recent changes, of each server only the newest one.
func (f *Follower) queueUpdate(now fleet.Time) {
	u := Update{From: f.position, To: f.position, Document: f.docPosition, State: f.DocumentState(now)}
	seen := make(map[fleet.ServerID]bool)
	for _, r := range slices.Backward(f.recent) {
		u.From = min(u.From, r.from)
		for _, c := range slices.Backward(r.changes) {
			if !seen[c.ID] {
				seen[c.ID] = true
				u.Changes = append(u.Changes, c)
			}
		}
	}
	slices.Reverse(u.Changes)
	f.updates = append(f.updates, u.split()...)
}

// split splits an update into parts that fit into a datagram.
func (u Update) split() []Update {
	if len(u.Changes) <= maxUpdateChanges {
		return []Update{u}
	}
	var parts []Update
	for chunk := range slices.Chunk(u.Changes, maxUpdateChanges) {
		part := u
		part.Changes, part.Part = chunk, len(parts)
		parts = append(parts, part)
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// partialUpdate is an update of which some parts were received.
type partialUpdate struct {
	from, to registry.Position
	received map[int]bool
}

// isComplete records a part and reports whether all parts of its update were received.
func (f *Follower) isComplete(u Update) bool {
	if u.Parts <= 1 {
		return true
	}
	p := &f.partial
	if p.from != u.From || p.to != u.To || p.received == nil {
		*p = partialUpdate{u.From, u.To, make(map[int]bool)}
	}
	p.received[u.Part] = true
	return len(p.received) == u.Parts
}

// ApplyUpdate applies an update of another VM of the region. Rank is the sender's position
// in the takeover order.
func (f *Follower) ApplyUpdate(now fleet.Time, from fleet.VMID, rank int, u Update) {
	f.HearDocument(now, Heard{From: from, State: u.State})
	if u.DocumentOnly {
		return
	}
	if f.reader && rank > f.rank && u.To <= f.position {
		return // the sender stops when it gets this VM's updates
	}
	if u.To < f.position {
		return // older than this VM's state
	}
	if f.reader {
		f.event("reader_left", "VM "+string(from)+" reads the store for the region")
	}
	f.reader, f.lastUpdate, f.failures = false, now, 0
	switch {
	case f.position >= u.From && f.initialized:
		before := f.position
		applied := f.table.Apply(now, u.Changes, 0)
		if f.isComplete(u) {
			f.position = u.To
		}
		f.changes = append(f.changes, applied...)
		f.addRecent(now, before, applied)
	default:
		f.requestSnapshot(now, from)
	}
	if u.Document > f.docPosition {
		f.requestSnapshot(now, from)
	}
}

func (f *Follower) requestSnapshot(now fleet.Time, from fleet.VMID) {
	if f.snapshotSource == "" && now >= f.nextSnapshot {
		f.snapshotSource = from
	}
}

// HandleSnapshotOffer requests a snapshot from a VM that has one, unless this VM has its state already.
func (f *Follower) HandleSnapshotOffer(now fleet.Time, from fleet.VMID) {
	if !f.initialized || f.doc == nil {
		f.requestSnapshot(now, from)
	}
}

// SnapshotDue returns the VM to request a snapshot from. Each true result must be followed by a
// call of ApplySnapshot.
func (f *Follower) SnapshotDue(now fleet.Time) (from fleet.VMID, due bool) {
	if f.snapshotPending || now < f.nextSnapshot {
		return "", false
	}
	from, f.snapshotSource = f.snapshotSource, ""
	if from == "" {
		from = f.claimSource(now)
	}
	if from == "" {
		return "", false
	}
	f.snapshotPending, f.snapshotAt = true, max(now, 1)
	f.nextSnapshot = now.Add(snapshotRetryDelay)
	return from, true
}

// ApplySnapshot applies the snapshot of another VM, or the error of the request. Decoded is the
// snapshot's document.
func (f *Follower) ApplySnapshot(now fleet.Time, from fleet.VMID, s *Snapshot, decoded *registry.Document, err error) {
	f.snapshotPending = false
	if err != nil {
		f.event("copy_failed", "no snapshot from VM "+string(from)+": "+err.Error())
		return
	}
	f.recordEpoch(now, max(s.Position, s.Document))
	if s.Position > f.position {
		all := make([]registry.Change, len(s.Entries))
		for i := range s.Entries {
			all[i] = registry.Change{ID: s.Entries[i].Server.ID, Entry: &s.Entries[i]}
		}
		all = append(all, f.table.Missing(all)...)
		f.changes = append(f.changes, f.table.Apply(now, all, f.removalDelay(now))...)
		f.position, f.initialized, f.lastUpdate = s.Position, true, now
		f.recent = nil
	}
	if s.Document > f.docPosition {
		f.storeRevision = s.StoreRevision
	}
	fromOtherRegion := f.claim.from == from && f.claim.otherRegion
	if f.applyDocument(now, decoded, s.Document) && fromOtherRegion {
		f.announceDocument(now)
	}
	f.checkClaim(from, decoded.Revision)
	f.HearDocument(now, Heard{From: from, State: s.State, Asked: f.snapshotAt, SkipSnapshot: true})
}

// Snapshot returns a snapshot of this VM's state, or nil before the state is complete.
func (f *Follower) Snapshot() *Snapshot {
	if !f.initialized || f.doc == nil {
		return nil
	}
	return &Snapshot{Position: f.position, Entries: f.table.Entries(), Document: f.docPosition, Raw: f.doc.Raw, StoreRevision: f.storeRevision}
}

// DocumentPollDue reports whether the store must be polled for documents now, from which
// position and with which timeout. Each true result must be followed by a call of
// ApplyDocumentPoll.
func (f *Follower) DocumentPollDue(now fleet.Time) (from registry.Position, wait time.Duration, due bool) {
	first := f.doc == nil && !f.snapshotPending && now >= f.readDueAt()
	if f.docReadPending || now < f.nextDocRead || !f.reader && !first && !f.documentCheckDue(now) {
		return 0, 0, false
	}
	if f.reader || first {
		wait = documentPollTimeout
	}
	f.docReadPending, f.docPollAt, f.docPollWait = true, max(now, 1), wait
	return f.docPosition, wait, true
}

// StoreEpoch returns the highest epoch of the store that this VM knows of; -1 before the first read.
func (f *Follower) StoreEpoch() int64 { return f.epoch }

// IsReader reports whether this VM reads the store for its region.
func (f *Follower) IsReader() bool { return f.reader }

// ApplyDocumentPoll applies the result of a poll for documents.
func (f *Follower) ApplyDocumentPoll(now fleet.Time, batch registry.DocumentBatch, err error) {
	f.docReadPending = false
	if err != nil {
		f.nextDocRead = now.Add(f.documentRetryDelay())
		f.resign(now)
		return
	}
	f.nextDocRead = now
	switch {
	case batch.Newest == nil && f.doc == nil:
		f.nextDocRead = now.Add(retryDelayFirst)
	case batch.Reset && f.docPosition != registry.NoPosition:
		f.nextDocRead = now.Add(resetPollDelay)
	}
	f.recordEpoch(now, batch.Next)
	f.recordStoreRevision(batch)
	newer := f.applyDocument(now, batch.Newest, batch.Next)
	if batch.Reset && batch.Next.Epoch() == f.docPosition.Epoch() {
		f.docPosition = batch.Next // lower than before if a store without epochs was restored
	}
	f.docPosition = max(f.docPosition, batch.Next)
	if !f.storeBehind() {
		f.confirmByPoll(now, batch.Newest == nil)
	}
	switch {
	case newer && f.reader:
		f.queueUpdate(now)
	case !f.reader && f.storeBehind():
		f.nextDocRead = now.Add(f.documentRetryDelay())
	case !f.reader && f.doc != nil:
		f.nextDocRead = now.Add(retryDelayFirst)
		f.announceDocument(now)
	}
}

// applyDocument applies a document if it is newer than the one in effect.
func (f *Follower) applyDocument(now fleet.Time, d *registry.Document, position registry.Position) bool {
	if d == nil || f.doc != nil && d.Revision <= f.doc.Revision {
		if d != nil || f.doc != nil {
			f.docPosition = max(f.docPosition, position)
		}
		return false
	}
	f.doc, f.pendingDoc = d, d
	f.claim.since, f.claim.reported = now, false // if a still newer one is known, its copy is on the way
	f.table.SetServices(services(d))
	f.docPosition = max(f.docPosition, position)
	return true
}

// services returns the services of a document; nil if it has no content.
func services(d *registry.Document) map[fleet.Service]bool {
	if d.Doc == nil {
		return nil
	}
	out := make(map[fleet.Service]bool)
	for _, section := range d.Doc.Sections {
		for name := range section.Services {
			out[name] = true
		}
	}
	return out
}

// Ready reports whether this VM has the registry and a document.
func (f *Follower) Ready() bool { return f.initialized && f.doc != nil }

// Age returns the time since the last update of the registry.
func (f *Follower) Age(now fleet.Time) time.Duration { return now.Sub(f.lastUpdate) }

// Updates returns and clears the updates to send to the region's VMs.
func (f *Follower) Updates() []Update {
	out := f.updates
	f.updates = nil
	return out
}

// Changes returns and clears the changes of the registry since the last call.
func (f *Follower) Changes() []registry.Change {
	out := f.changes
	f.changes = nil
	return out
}

// Entries returns all registered servers, sorted by ID.
func (f *Follower) Entries() []registry.Entry { return f.table.Entries() }

// NewDocument returns and clears the document that came into effect since the last call;
// nil for none.
func (f *Follower) NewDocument() *registry.Document {
	out := f.pendingDoc
	f.pendingDoc = nil
	return out
}

// Events returns and clears the events since the last call.
func (f *Follower) Events() []fleet.Event {
	out := f.events
	f.events = nil
	return out
}

func (f *Follower) event(kind fleet.EventKind, reason string) {
	f.events = append(f.events, fleet.Event{Kind: kind, Reason: reason})
}
