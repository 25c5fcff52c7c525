package follower

import (
	"math"
	"strconv"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/registry"
)

// Delays with which a VM looks for a newer document itself. Other VMs, which look first, announce what they find.
const (
	// DefaultRevocation is the time within which a withdrawn key must be out of use, unless Config sets it.
	DefaultRevocation = 5 * time.Second
	// unconfirmedShare is the share of the revocation time after which an unconfirmed document is looked up in the
	// store. In the rest, the VMs of the region take their turns, a call times out and the document is sent around. A
	// healthy reader confirms the document within 1.8 s at each VM, or 2.5 s if an update is lost.
	unconfirmedShare  = 0.6
	minUnconfirmedAge = 2 * time.Second
	// behindDelay is how long a VM that knows of a newer document waits for a copy before it asks the store.
	behindDelay = 400 * time.Millisecond
	// foreignDelay is how long a VM waits for its own region before it fetches a document from another region.
	foreignDelay = 800 * time.Millisecond
	// claimRetention is how long a VM believes in a newer document that nobody mentions any more.
	claimRetention = 10 * time.Second
	// claimPreference is how long the VM with the highest revision is preferred: two intervals between updates.
	claimPreference = 2 * readInterval
	// behindReportDelay is how long a newer document must be known and missing until it is logged.
	behindReportDelay = time.Second
)

// DocumentState tells other VMs how recent a VM's document is.
type DocumentState struct {
	Revision uint64 `msgpack:"r"`
	// Age is one more than the milliseconds since the store had no newer document; 0 if that is not known.
	Age uint32 `msgpack:"a,omitempty"`
}

// Older returns the state as it is after a delay.
func (s DocumentState) Older(by time.Duration) DocumentState {
	if s.Age > 0 {
		s.Age = uint32(min(int64(s.Age)+by.Milliseconds()+1, math.MaxUint32))
	}
	return s
}

// Heard is another VM's statement about its document.
type Heard struct {
	From  fleet.VMID
	State DocumentState
	// Asked is when this VM asked for the statement. It is 0 for one that came unasked, which can have waited on its
	// way or in this VM's socket.
	Asked        fleet.Time
	OtherRegion  bool
	SkipSnapshot bool // the statement came with the document itself
}

// confirmation is when the document was last known to be the store's newest one.
type confirmation struct {
	known     bool
	at        fleet.Time
	resumedAt fleet.Time // end of the last pause of this VM
	mustAsk   bool       // since the pause, no answer to a question of this VM has arrived
	reported  bool       // the loss of the confirmation was logged
}

// claim is a newer document that another VM has, and this VM does not.
type claim struct {
	revision    uint64
	from        fleet.VMID // the last VM that mentioned it
	since       fleet.Time
	heard       fleet.Time
	otherRegion bool
	wanted      bool // no snapshot was requested since it was last mentioned
	reported    bool
}

func (f *Follower) revision() uint64 {
	if f.doc == nil {
		return 0
	}
	return f.doc.Revision
}

// DocumentState returns the state of this VM's document.
func (f *Follower) DocumentState(now fleet.Time) DocumentState {
	s := DocumentState{Revision: f.revision()}
	if f.confirmed.known {
		s.Age = uint32(min(max(0, now.Sub(f.confirmed.at)).Milliseconds()+1, math.MaxUint32))
	}
	return s
}

// ConfirmedAt returns when this VM's document was last known to be the store's newest one.
func (f *Follower) ConfirmedAt() (at fleet.Time, known bool) {
	return f.confirmed.at, f.confirmed.known
}

// IsBehind reports whether this VM knows that a newer document exists.
func (f *Follower) IsBehind() bool { return f.claim.revision > f.revision() }

// HearDocument handles another VM's statement about its document.
func (f *Follower) HearDocument(now fleet.Time, h Heard) {
	switch own := f.revision(); {
	case h.State.Revision > own:
		f.addClaim(now, h)
	case h.State.Revision == own && f.doc != nil && h.State.Age > 0:
		from := now
		if h.Asked != 0 {
			from = h.Asked
		}
		f.confirm(h.Asked, from.Add(-time.Duration(h.State.Age)*time.Millisecond))
	}
}

// confirm records that the document was the store's newest one at a time. Asked is when this VM asked, 0 if it did
// not. After a pause only an answer counts, because other messages may be from before the pause.
func (f *Follower) confirm(asked, at fleet.Time) {
	c := &f.confirmed
	switch {
	case asked != 0 && asked < c.resumedAt, asked == 0 && c.mustAsk:
		return
	case asked != 0:
		c.mustAsk = false
	}
	if !c.known || at > c.at {
		c.known, c.at = true, at
	}
}

// confirmByPoll records that the store answered a poll. A store that answers without a document after the whole wait
// had none until then.
func (f *Follower) confirmByPoll(now fleet.Time, empty bool) {
	if f.doc == nil {
		return
	}
	at := f.docPollAt
	if waited := at.Add(f.docPollWait); empty && now >= waited {
		at = waited
	}
	f.confirm(f.docPollAt, at)
}

// recordStoreRevision records the newest revision in the store. A restored store can have an older one than before.
func (f *Follower) recordStoreRevision(batch registry.DocumentBatch) {
	if batch.Reset {
		f.storeRevision = 0
	}
	if batch.Newest != nil {
		f.storeRevision = max(f.storeRevision, batch.Newest.Revision)
	}
}

// storeBehind reports whether the store has an older document than this VM since a restore. It may have lost newer
// ones too, and confirms nothing until the newest one is written to it again.
func (f *Follower) storeBehind() bool { return f.storeRevision != 0 && f.storeRevision < f.revision() }

// HandlePause records that this VM did not run for a while. Suspended is the part of the pause that its clock does
// not contain.
func (f *Follower) HandlePause(now fleet.Time, suspended time.Duration) {
	f.confirmed.at = f.confirmed.at.Add(-max(0, suspended))
	f.confirmed.resumedAt, f.confirmed.mustAsk = max(now, 1), true
	f.event("vm_paused", "messages from before the pause confirm no configuration")
}

// addClaim records that a VM has a newer document. A claim of the highest revision is kept while it is repeated, and
// one of this region is preferred.
func (f *Follower) addClaim(now fleet.Time, h Heard) {
	c := &f.claim
	if !f.IsBehind() {
		*c = claim{since: now}
	} else if now.Sub(c.heard) < claimPreference &&
		(h.State.Revision < c.revision || h.State.Revision == c.revision && h.OtherRegion && !c.otherRegion) {
		return
	}
	c.revision, c.from, c.heard, c.otherRegion, c.wanted = h.State.Revision, h.From, now, h.OtherRegion, !h.SkipSnapshot
}

// claimSource returns the VM to fetch a claimed document from now.
func (f *Follower) claimSource(now fleet.Time) fleet.VMID {
	c := &f.claim
	if !f.IsBehind() || !c.wanted || c.otherRegion && now < c.since.Add(foreignDelay+f.takeoverStagger()) {
		return ""
	}
	c.wanted = false
	return c.from
}

// checkClaim drops a claim that the VM which made it does not keep.
func (f *Follower) checkClaim(from fleet.VMID, received uint64) {
	if f.IsBehind() && f.claim.from == from && received < f.claim.revision {
		f.event("claim_dropped", "VM "+string(from)+" sent revision "+strconv.FormatUint(received, 10)+
			" instead of "+strconv.FormatUint(f.claim.revision, 10))
		f.claim = claim{}
	}
}

// tickDocument reports a document that is not confirmed or known to be superseded.
func (f *Follower) tickDocument(now fleet.Time) {
	if c := &f.claim; f.IsBehind() {
		if now.Sub(c.heard) > claimRetention {
			f.claim = claim{}
		} else if !c.reported && now.Sub(c.since) > behindReportDelay {
			c.reported = true
			f.event("configuration_behind", "VM "+string(c.from)+" has revision "+strconv.FormatUint(c.revision, 10)+
				", this VM has "+strconv.FormatUint(f.revision(), 10))
		}
	}
	if f.doc == nil {
		return
	}
	lost := !f.confirmed.known || now.Sub(f.confirmed.at) > f.revocation()
	switch {
	case lost && !f.confirmed.reported && now.Sub(0) > f.revocation():
		f.event("configuration_unconfirmed", "neither the store nor another VM has confirmed revision "+
			strconv.FormatUint(f.revision(), 10)+" for "+f.revocation().String())
		f.confirmed.reported = true
	case !lost && f.confirmed.reported:
		f.event("configuration_confirmed", "revision "+strconv.FormatUint(f.revision(), 10)+" is the newest one")
		f.confirmed.reported = false
	}
}

func (f *Follower) revocation() time.Duration {
	if f.cfg.Revocation > 0 {
		return f.cfg.Revocation
	}
	return DefaultRevocation
}

// documentCheckDue reports whether a VM that is not the reader asks the store for a newer document: it knows of one
// and has no copy, or the reader's updates have not confirmed its own for too long.
func (f *Follower) documentCheckDue(now fleet.Time) bool {
	if f.doc == nil {
		return false
	}
	if f.IsBehind() && now >= f.claim.since.Add(behindDelay+f.takeoverStagger()) {
		return true
	}
	age := max(time.Duration(float64(f.revocation())*unconfirmedShare), minUnconfirmedAge)
	at := f.confirmed.at
	if !f.confirmed.known {
		at = 0
	}
	return now >= at.Add(age+f.takeoverStagger())
}

// documentRetryDelay returns the delay after a poll for documents that failed. VMs that cannot read the registry
// either ask rarely, as the store is probably away.
func (f *Follower) documentRetryDelay() time.Duration {
	if f.reader || !f.hasPeers || f.failures == 0 {
		return f.retryDelay()
	}
	delay := retryDelayOthers
	if f.rank >= fastRetryRanks {
		delay *= 2
	}
	return delay + f.takeoverStagger()
}

// resign ends this VM's turn as the reader because it cannot read documents. The others may be able to.
func (f *Follower) resign(now fleet.Time) {
	if !f.reader || !f.hasPeers {
		return
	}
	f.reader = false
	f.nextRead = now.Add(retryDelayOthers + f.takeoverStagger())
	f.event("reader_left", "polls for configurations fail")
}

// announceDocument queues an update that tells only of the document.
func (f *Follower) announceDocument(now fleet.Time) {
	f.updates = append(f.updates, Update{DocumentOnly: true, State: f.DocumentState(now)})
}
