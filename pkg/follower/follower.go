// Package follower keeps a VM's copy of the registry and of the configuration
// document up to date. In each region one VM, the reader, reads the store and tells
// the others what changed; each of the others takes over when it hears nothing new.
// There is no election: the first VM whose turn comes reads, and what it tells holds
// the others back. Two readers at once cost calls and harm nothing, since positions
// in the store order what they tell.
//
// The package is deterministic: it has no clock, socket or goroutine.
package follower

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// Times of the follower.
const (
	// readInterval is the pause between two readings of the registry. With one
	// takeover it stays within the 2 s in which a leaving server loses its traffic.
	readInterval = 700 * time.Millisecond
	// takeoverDelay is how much longer than readInterval a VM waits for the reader.
	takeoverDelay = 300 * time.Millisecond
	// rankDelay spreads the takeover over the VMs of a region.
	rankDelay = 40 * time.Millisecond
	// maxRank bounds the spread.
	maxRank = 12
	// startStep and startSteps spread the first readings of VMs that start together and
	// do not know each other yet: most of them get a copy from one that read earlier.
	startStep  = 20 * time.Millisecond
	startSteps = 8
	// retryFirst is the pause after a failed reading by one of the VMs that are the
	// first to take over, which includes a VM that hears no other.
	retryFirst = 700 * time.Millisecond
	// retryOthers is the same for the other VMs: while the store is down for all of
	// them, few calls are enough.
	retryOthers = 2500 * time.Millisecond
	// firstRanks is the number of VMs of a region that retry soon.
	firstRanks = 3
	// outageAfter is how long readings must fail before removals are held.
	outageAfter = 900 * time.Millisecond
	// removalHold is how long a removal is held after an outage: servers that were
	// alive all the while register again within 2 s of its end.
	removalHold = 2200 * time.Millisecond
	// repeatFor is how long a change is repeated in beacons, against lost datagrams.
	repeatFor = 1500 * time.Millisecond
	// documentWait is how long the reader waits in one call for a new document. An
	// answer can be lost while the connection stays open, so a longer wait could miss
	// the 2 s in which a document comes into force.
	documentWait = time.Second
	// fetchRetry is the pause before a copy is asked of a VM again.
	fetchRetry = 300 * time.Millisecond
	// forgetInterval is the pause between two sweeps of the registry.
	forgetInterval = 10 * time.Second
)

// unread is the position of a VM that has read nothing.
const unread = int64(-1)

// Config describes the VM.
type Config struct {
	Self fleet.VMID
}

// Follower is the deterministic state of one VM's copy.
type Follower struct {
	cfg   Config
	table *registry.Table

	position int64 // of the registry
	fresh    fleet.Time
	everRead bool
	reader   bool       // this VM's own reading is the region's newest
	rank     int        // order of takeover among the region's VMs
	startAt  fleet.Time // of the first reading
	nextRead fleet.Time // earliest next reading of the store
	reading  bool
	failures int
	failedAt fleet.Time // first failure since the last success
	outage   fleet.Time // end of the last outage; 0 for none

	doc         *registry.Document
	docPosition int64
	docReading  bool
	docRetry    fleet.Time

	recent  []reading
	fetch   fleet.VMID // VM to ask for a copy; empty for none
	fetchAt fleet.Time
	asking  bool
	forgot  fleet.Time

	out     []Beacon
	changes []registry.Change
	newDoc  *registry.Document
	events  []fleet.Event
}

// reading is a step of the registry's position that beacons still repeat.
type reading struct {
	at      fleet.Time
	before  int64 // position before it
	changes []registry.Change
}

// Beacon tells the other VMs of the region what the reader read.
type Beacon struct {
	From     int64             `msgpack:"f"` // all changes after this position are in Changes
	To       int64             `msgpack:"t"`
	Document int64             `msgpack:"d"` // position of the reader's document
	Changes  []registry.Change `msgpack:"c"`
}

// Copy is the whole state of a VM, for one that starts or has missed changes.
type Copy struct {
	Position int64            `msgpack:"p"`
	Entries  []registry.Entry `msgpack:"e"`
	Document int64            `msgpack:"d"`
	Raw      []byte           `msgpack:"r"` // the document as the store holds it
}

// New returns a follower that has read nothing.
func New(c Config) *Follower {
	step := xxhash.Sum64String(string(c.Self)) % startSteps
	return &Follower{
		cfg: c, table: registry.NewTable(), position: unread, docPosition: unread,
		startAt: fleet.Time(0).Add(time.Duration(step) * startStep),
	}
}

// SetRank sets the VM's place in the order of takeover; 0 is the first.
func (f *Follower) SetRank(rank int) { f.rank = min(rank, maxRank) }

// Tick lets time pass.
func (f *Follower) Tick(now fleet.Time) {
	if due := f.table.Due(now); len(due) > 0 {
		f.changes = append(f.changes, due...)
		f.remember(now, f.position, due)
	}
	if now.Sub(f.forgot) > forgetInterval {
		f.forgot = now
		f.table.Forget(now)
	}
}

// dueAt returns when this VM reads the registry unless it hears from a reader.
func (f *Follower) dueAt() fleet.Time {
	at := f.fresh.Add(readInterval)
	if !f.reader {
		at = at.Add(takeoverDelay + time.Duration(f.rank)*rankDelay)
	}
	if !f.everRead {
		at = f.startAt.Add(time.Duration(f.rank) * rankDelay)
	}
	return max(at, f.nextRead)
}

// WantServers reports whether the registry is to be read now, from which position.
// Each true result is answered by ServersRead.
func (f *Follower) WantServers(now fleet.Time) (from int64, want bool) {
	if f.reading || f.asking || now < f.dueAt() {
		return 0, false
	}
	f.reading = true
	return f.position, true
}

// ServersRead takes the result of a reading over.
func (f *Follower) ServersRead(now fleet.Time, batch registry.Batch, err error) {
	f.reading = false
	if err != nil {
		f.readFailed(now, err)
		return
	}
	hold := f.readSucceeded(now)
	before := f.position
	changes := batch.Changes
	if batch.Reset {
		changes = append(changes, f.table.Missing(batch.Changes)...)
	} else if batch.Next < f.position {
		return // a beacon brought a newer state meanwhile
	}
	applied := f.table.Apply(now, changes, hold)
	f.position = batch.Next
	if batch.Reset {
		// Receivers cannot follow a reset by changes.
		f.recent, before = nil, batch.Next
	}
	f.changes = append(f.changes, applied...)
	f.remember(now, before, applied)
	f.beacon()
}

func (f *Follower) readFailed(now fleet.Time, err error) {
	if f.failures == 0 {
		f.failedAt = now
		f.event("store_lost", "registry reading failed: "+err.Error())
	}
	f.failures++
	f.reader = false
	f.nextRead = now.Add(f.retry())
}

// retry returns the pause after a failed call to the store.
func (f *Follower) retry() time.Duration {
	pause := retryFirst
	if f.rank >= firstRanks {
		pause = retryOthers
	}
	return pause + time.Duration(f.rank)*rankDelay
}

// readSucceeded notes a reading and returns how long removals are held.
func (f *Follower) readSucceeded(now fleet.Time) time.Duration {
	if f.failures > 0 {
		if now.Sub(f.failedAt) >= outageAfter {
			f.outage = now
		}
		f.event("store_back", "registry readings succeed again")
	}
	f.failures = 0
	if !f.reader {
		f.event("reader_taken", "this VM reads the store for its region")
	}
	f.reader, f.everRead, f.fresh = true, true, now
	return f.hold(now)
}

func (f *Follower) hold(now fleet.Time) time.Duration {
	if f.outage == 0 {
		return 0
	}
	return max(0, f.outage.Add(removalHold).Sub(now))
}

// remember keeps a step of the position for the next beacons.
func (f *Follower) remember(now fleet.Time, before int64, changes []registry.Change) {
	kept := f.recent[:0]
	for _, r := range f.recent {
		if now.Sub(r.at) < repeatFor {
			kept = append(kept, r)
		}
	}
	f.recent = append(kept, reading{now, before, changes})
}

func (f *Follower) beacon() {
	b := Beacon{From: f.position, To: f.position, Document: f.docPosition}
	for _, r := range f.recent {
		b.From = min(b.From, r.before)
		b.Changes = append(b.Changes, r.changes...)
	}
	f.out = append(f.out, b)
}

// StepBeacon takes a beacon of a VM of the region. Rank orders the sender among the
// region's VMs like SetRank does for this one.
func (f *Follower) StepBeacon(now fleet.Time, from fleet.VMID, rank int, b Beacon) {
	if f.reader && rank > f.rank && b.To <= f.position {
		return // the sender hears this VM's beacons and stops
	}
	if b.To < f.position {
		return // an older state than this VM's
	}
	if f.reader {
		f.event("reader_left", "VM "+string(from)+" reads the store for the region")
	}
	f.reader, f.fresh, f.failures = false, now, 0
	switch {
	case f.position >= b.From && f.everRead:
		before := f.position
		applied := f.table.Apply(now, b.Changes, 0)
		f.position = b.To
		f.changes = append(f.changes, applied...)
		f.remember(now, before, applied)
	default:
		f.askCopy(now, from)
	}
	if b.Document > f.docPosition {
		f.askCopy(now, from)
	}
}

func (f *Follower) askCopy(now fleet.Time, from fleet.VMID) {
	if f.fetch == "" && now >= f.fetchAt {
		f.fetch = from
	}
}

// Offer names a VM that has a copy, while this VM has none.
func (f *Follower) Offer(now fleet.Time, from fleet.VMID) {
	if !f.everRead || f.doc == nil {
		f.askCopy(now, from)
	}
}

// WantCopy returns the VM to ask for a copy. Each true result is answered by Copied.
func (f *Follower) WantCopy(now fleet.Time) (from fleet.VMID, want bool) {
	if f.fetch == "" || f.asking || now < f.fetchAt {
		return "", false
	}
	from, f.fetch, f.asking = f.fetch, "", true
	f.fetchAt = now.Add(fetchRetry)
	return from, true
}

// Copied takes the copy of another VM over. Decoded is the copy's document.
func (f *Follower) Copied(now fleet.Time, from fleet.VMID, c *Copy, decoded *registry.Document, err error) {
	f.asking = false
	if err != nil {
		f.event("copy_failed", "no copy from VM "+string(from)+": "+err.Error())
		return
	}
	if c.Position > f.position {
		all := make([]registry.Change, len(c.Entries))
		for i := range c.Entries {
			all[i] = registry.Change{ID: c.Entries[i].Server.ID, Entry: &c.Entries[i]}
		}
		all = append(all, f.table.Missing(all)...)
		f.changes = append(f.changes, f.table.Apply(now, all, f.hold(now))...)
		f.position, f.everRead, f.fresh = c.Position, true, now
		f.recent = nil
	}
	f.takeDocument(decoded, c.Document)
}

// Copy returns this VM's state for another VM, or nil before it has one.
func (f *Follower) Copy() *Copy {
	if !f.everRead || f.doc == nil {
		return nil
	}
	return &Copy{Position: f.position, Entries: f.table.Entries(), Document: f.docPosition, Raw: f.doc.Raw}
}

// WantDocument reports whether the reader asks the store for documents now, from
// which position and how long it waits for one. Each true result is answered by
// DocumentRead.
func (f *Follower) WantDocument(now fleet.Time) (from int64, wait time.Duration, want bool) {
	first := f.doc == nil && !f.asking && now >= f.dueAt()
	if f.docReading || now < f.docRetry || !f.reader && !first {
		return 0, 0, false
	}
	f.docReading = true
	return f.docPosition, documentWait, true
}

// Reading reports whether this VM reads the store for its region.
func (f *Follower) Reading() bool { return f.reader }

// DocumentRead takes the result of a reading of documents over.
func (f *Follower) DocumentRead(now fleet.Time, batch registry.DocumentBatch, err error) {
	f.docReading = false
	if err != nil {
		f.docRetry = now.Add(f.retry())
		return
	}
	f.docRetry = now
	if batch.Newest == nil && f.doc == nil {
		f.docRetry = now.Add(retryFirst)
	}
	newer := f.takeDocument(batch.Newest, batch.Next)
	f.docPosition = max(f.docPosition, batch.Next)
	if newer && f.reader {
		f.beacon()
	}
}

// takeDocument applies a document unless it is older than the one in force.
func (f *Follower) takeDocument(d *registry.Document, position int64) bool {
	if d == nil || f.doc != nil && d.Revision <= f.doc.Revision {
		if d != nil || f.doc != nil {
			f.docPosition = max(f.docPosition, position)
		}
		return false
	}
	f.doc, f.newDoc = d, d
	f.docPosition = max(f.docPosition, position)
	return true
}

// Ready reports whether this VM knows the servers and a document.
func (f *Follower) Ready() bool { return f.everRead && f.doc != nil }

// Age returns how old the registry's state is.
func (f *Follower) Age(now fleet.Time) time.Duration { return now.Sub(f.fresh) }

// Beacons returns the beacons to send to the region's VMs since the last call.
func (f *Follower) Beacons() []Beacon {
	out := f.out
	f.out = nil
	return out
}

// Changes returns the changes of the registry since the last call.
func (f *Follower) Changes() []registry.Change {
	out := f.changes
	f.changes = nil
	return out
}

// Entries returns the servers of this VM's copy.
func (f *Follower) Entries() []registry.Entry { return f.table.Entries() }

// NewDocument returns the document that came into force since the last call, or nil.
func (f *Follower) NewDocument() *registry.Document {
	out := f.newDoc
	f.newDoc = nil
	return out
}

// Events returns what changed since the last call.
func (f *Follower) Events() []fleet.Event {
	out := f.events
	f.events = nil
	return out
}

func (f *Follower) event(kind fleet.EventKind, reason string) {
	f.events = append(f.events, fleet.Event{Kind: kind, Reason: reason})
}
