package configlog

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// Number of relays, and bounds of the records that they keep for other VMs.
const (
	// RelaysPerRegion is the number of relays in a region; two tolerate the undetected failure of one.
	RelaysPerRegion = 2
	// silentPullInterval is the interval between pulls from a preferred relay that does not respond.
	silentPullInterval = 5 * time.Second
	maxRecentRecords   = 4096    // records kept for pulls
	maxRecentBytes     = 8 << 20 // data of the records kept for pulls
	maxResponseBytes   = 1 << 20 // data of one Records message, unless one record is larger
)

// peer is the state of another VM as known to this VM.
type peer struct {
	pulled        bool
	pulledAt      fleet.Time         // last Pull from it
	next          platformapi.Offset // its state's next offset, from its last Pull
	sentNext      platformapi.Offset // offset after the last record sent to it
	requested     bool
	requestedAt   fleet.Time // last Pull to it
	freshAt       fleet.Time // last Records with Fresh from it
	freshSeen     bool
	silent        bool // did not respond to a Pull within RelayTimeout
	awaiting      bool
	awaitingSince fleet.Time // first Pull without a response
	diverged      bool       // its log history differs; reported once
}

// relays holds the state of the fan-out of records within a region.
type relays struct {
	isRelay        bool         // this VM is a relay
	candidates     []fleet.VM   // live VMs of the own region in order of preference
	chosen         []fleet.VMID // relays that this VM pulls from
	peers          map[fleet.VMID]*peer
	recent         []RelayedRecord // last applied records, contiguous, for pulls
	recentBytes    int             // size of the data in recent
	recordsExpired bool            // the relays no longer hold the records that this VM needs
}

func (r *relays) init() { r.peers = make(map[fleet.VMID]*peer) }

func (r *relays) peer(id fleet.VMID) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{}
		r.peers[id] = p
	}
	return p
}

// removeUnlisted removes the VMs that the directory no longer lists.
func (r *relays) removeUnlisted(dir *fleet.Directory) {
	for id := range r.peers {
		if _, listed := dir.VM(id); !listed {
			delete(r.peers, id)
		}
	}
}

// newRelayed returns a record in the form in which relays forward it.
func newRelayed(rec platformapi.Record, part *SnapshotPart) RelayedRecord {
	if part == nil {
		return RelayedRecord{Offset: rec.Offset, Data: rec.Data}
	}
	header := *part
	header.Data = nil
	return RelayedRecord{Offset: rec.Offset, Part: &header, Hash: sha256.Sum256(rec.Data)}
}

// addRecent keeps an applied record for pulls. When a limit is exceeded, it drops the oldest
// records down to half of the limits, so that the cost of copying is amortized.
func (r *relays) addRecent(rec RelayedRecord) {
	r.recent = append(r.recent, rec)
	r.recentBytes += len(rec.Data)
	if len(r.recent) <= maxRecentRecords && r.recentBytes <= maxRecentBytes {
		return
	}
	drop := 0
	for len(r.recent)-drop > maxRecentRecords/2 || r.recentBytes > maxRecentBytes/2 {
		r.recentBytes -= len(r.recent[drop].Data)
		drop++
	}
	r.recent = slices.Clone(r.recent[drop:])
}

// clearRecent drops the kept records, because they are not contiguous with a state that was
// just installed.
func (r *relays) clearRecent() { r.recent, r.recentBytes = nil, 0 }

// recentFrom returns the kept records from offset next on, at most maxResponseBytes of
// them but at least one if any are kept.
func (r *relays) recentFrom(next platformapi.Offset) []RelayedRecord {
	if len(r.recent) == 0 || next < r.recent[0].Offset {
		return nil
	}
	from := int(next - r.recent[0].Offset)
	if from >= len(r.recent) {
		return nil
	}
	size, end := 0, from
	for end < len(r.recent) && (end == from || size+len(r.recent[end].Data) <= maxResponseBytes) {
		size += len(r.recent[end].Data)
		end++
	}
	return r.recent[from:end]
}

// hasFreshRelay reports whether a relay with a fresh read of the log's tail responded within
// RelayTimeout.
func (r *relays) hasFreshRelay(now fleet.Time) bool {
	for _, p := range r.peers {
		if p.freshSeen && now.Sub(p.freshAt) < RelayTimeout {
			return true
		}
	}
	return false
}

// relayCandidates returns the region's live VMs in the order in which they become relays.
func relayCandidates(dir *fleet.Directory, region fleet.Region) []fleet.VM {
	vms := slices.DeleteFunc(dir.RegionVMs(region), func(vm fleet.VM) bool { return vm.State != fleet.StateLive })
	return fleet.Rendezvous("config/"+string(region), vms)
}

// chooseRelays chooses the first RelaysPerRegion candidates that are not silent.
func (n *Node) chooseRelays(now fleet.Time) {
	if n.dir == nil {
		return
	}
	r := &n.relays
	r.isRelay, r.chosen = false, r.chosen[:0]
	count := 0
	for _, vm := range r.candidates {
		if count == RelaysPerRegion {
			break
		}
		if vm.ID == n.cfg.Self.VM {
			r.isRelay = true
			count++
			continue
		}
		p := r.peer(vm.ID)
		if p.awaiting && now.Sub(p.awaitingSince) >= RelayTimeout {
			p.silent = true
		}
		// A silent VM is still pulled from at a lower rate, but does not count as a relay.
		r.chosen = append(r.chosen, vm.ID)
		if !p.silent {
			count++
		}
	}
}

// pull requests records from the chosen relays.
func (n *Node) pull(now fleet.Time) {
	if !n.canApply() {
		return
	}
	for _, id := range n.relays.chosen {
		p := n.relays.peer(id)
		interval := PullInterval
		if p.silent {
			interval = silentPullInterval
		}
		if !p.requested || now.Sub(p.requestedAt) >= interval {
			n.pullFrom(now, id, p)
		}
	}
}

func (n *Node) pullFrom(now fleet.Time, id fleet.VMID, p *peer) {
	p.requested, p.requestedAt = true, now
	if !p.awaiting {
		p.awaiting, p.awaitingSince = true, now
	}
	n.send(id, &Pull{Next: n.state.Next(), Chain: n.state.Chain()})
}

func (n *Node) onPull(now fleet.Time, from fleet.Member, m *Pull) {
	p := n.relays.peer(from.VM)
	p.pulled, p.pulledAt, p.next, p.sentNext = true, now, m.Next, m.Next
	n.notePeerOffset(now, m.Next)
	if chain, ok := n.state.ChainAt(m.Next - 1); ok && chain != m.Chain && !p.diverged {
		p.diverged = true
		n.event(EventDiverged, "the log history of a VM differs", "vm", string(from.VM), "offset", formatOffset(m.Next-1))
	}
	n.sendRecords(now, from.VM, p)
}

// sendRecords sends the kept records from p.sentNext on, at most maxResponseBytes of them.
func (n *Node) sendRecords(now fleet.Time, to fleet.VMID, p *peer) {
	records := n.relays.recentFrom(p.sentNext)
	base := n.state.Next()
	if len(n.relays.recent) > 0 {
		base = n.relays.recent[0].Offset
	}
	p.sentNext += platformapi.Offset(len(records))
	n.send(to, &Records{Records: records, Tail: n.state.Next(), Base: base, Fresh: n.fresh(now)})
}

// pushApplied sends new records to the VMs that pulled recently.
func (n *Node) pushApplied(now fleet.Time) {
	for _, id := range sortedKeys(n.relays.peers) {
		p := n.relays.peers[id]
		if p.pulled && now.Sub(p.pulledAt) < subscriptionTTL && p.sentNext < n.state.Next() {
			n.sendRecords(now, id, p)
		}
	}
}

func (n *Node) onRecords(now fleet.Time, from fleet.Member, m *Records) {
	p := n.relays.peer(from.VM)
	p.silent, p.awaiting = false, false
	if m.Fresh {
		p.freshSeen, p.freshAt = true, now
	}
	before := n.state.Next()
	n.applyRelayed(now, m.Records)
	n.notePeerOffset(now, m.Tail)
	if n.state.Next() > before {
		n.relays.recordsExpired = false
		n.releaseBarriers()
		n.pushApplied(now)
	}
	switch {
	case m.Tail <= n.state.Next() || !n.canApply():
	case m.Base > n.state.Next():
		n.relays.recordsExpired = true
	case n.state.Next() > before || len(m.Records) > 0:
		// The relay has more records, or a pushed message was lost.
		n.pullFrom(now, from.VM, p)
	}
}

// IsRelay reports whether this VM is a relay of its region.
func (n *Node) IsRelay() bool { return n.relays.isRelay }

func sortedKeys[V any](m map[fleet.VMID]V) []fleet.VMID {
	ids := make([]fleet.VMID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
