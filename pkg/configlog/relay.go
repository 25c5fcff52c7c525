package configlog

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
)

// Relays of a region and the records they keep for the others.
const (
	// RelaysPerRegion is the number of relays; two, so that one may fail silently.
	RelaysPerRegion = 2
	// retrySilentRelay is the time between pulls from a preferred relay that is silent.
	retrySilentRelay = 5 * time.Second
	recentRecords    = 4096    // records kept for pulls
	recentBytes      = 8 << 20 // data of the records kept for pulls
	answerBytes      = 1 << 20 // data of one Records message, unless one record is larger
)

// peer is what this VM knows about another VM's reading.
type peer struct {
	pulled    bool
	pulledAt  fleet.Time      // last Pull from it
	next      platform.Offset // its state's next offset, by its last Pull
	sent      platform.Offset // end of what was sent to it since
	asked     bool
	askedAt   fleet.Time // last Pull to it
	freshAt   fleet.Time // last Records with Fresh from it
	freshSeen bool
	silent    bool // an earlier Pull was not answered in time
	waiting   bool
	waitFrom  fleet.Time // first Pull that is not answered
	diverged  bool       // its history differs; reported once
}

// relays is the fan-out within a region.
type relays struct {
	self   bool         // this VM is a relay
	order  []fleet.VM   // candidates of the own region
	chosen []fleet.VMID // relays that this VM pulls from
	peers  map[fleet.VMID]*peer
	recent []Relayed
	bytes  int
	cutOff bool // the relays no longer keep the records that this VM needs
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

// forget drops VMs that are no longer listed.
func (r *relays) forget(dir *fleet.Directory) {
	for id := range r.peers {
		if _, listed := dir.VM(id); !listed {
			delete(r.peers, id)
		}
	}
}

// relayed returns a record as it is passed on.
func relayed(rec platform.Record, part *Snapshot) Relayed {
	if part == nil {
		return Relayed{Offset: rec.Offset, Data: rec.Data}
	}
	head := *part
	head.Data = nil
	return Relayed{Offset: rec.Offset, Part: &head, Hash: sha256.Sum256(rec.Data)}
}

// remember keeps an applied record for pulls. Half of the kept records go at a time
// when there are too many, so that the cost of a copy is spread.
func (r *relays) remember(rec Relayed) {
	r.recent = append(r.recent, rec)
	r.bytes += len(rec.Data)
	if len(r.recent) <= recentRecords && r.bytes <= recentBytes {
		return
	}
	drop := 0
	for len(r.recent)-drop > recentRecords/2 || r.bytes > recentBytes/2 {
		r.bytes -= len(r.recent[drop].Data)
		drop++
	}
	r.recent = slices.Clone(r.recent[drop:])
}

// drop forgets the kept records; they do not continue a state that was installed.
func (r *relays) drop() { r.recent, r.bytes = nil, 0 }

// since returns kept records from an offset on, at most answerBytes of them or one.
func (r *relays) since(next platform.Offset) []Relayed {
	if len(r.recent) == 0 || next < r.recent[0].Offset {
		return nil
	}
	from := int(next - r.recent[0].Offset)
	if from >= len(r.recent) {
		return nil
	}
	size, end := 0, from
	for end < len(r.recent) && (end == from || size+len(r.recent[end].Data) <= answerBytes) {
		size += len(r.recent[end].Data)
		end++
	}
	return r.recent[from:end]
}

// heardFresh reports whether a relay that reads the log answered recently.
func (r *relays) heardFresh(now fleet.Time) bool {
	for _, p := range r.peers {
		if p.freshSeen && now.Sub(p.freshAt) < RelaySilence {
			return true
		}
	}
	return false
}

// candidates lists the region's live VMs in the order in which they become relays.
func candidates(dir *fleet.Directory, region fleet.Region) []fleet.VM {
	vms := slices.DeleteFunc(dir.RegionVMs(region), func(vm fleet.VM) bool { return vm.State != fleet.StateLive })
	return fleet.Rendezvous("config/"+string(region), vms)
}

// chooseRelays takes the first two VMs of the region that are not silent.
func (n *Node) chooseRelays(now fleet.Time) {
	if n.dir == nil {
		return
	}
	r := &n.relays
	r.self, r.chosen = false, r.chosen[:0]
	count := 0
	for _, vm := range r.order {
		if count == RelaysPerRegion {
			break
		}
		if vm.ID == n.cfg.Self.VM {
			r.self = true
			count++
			continue
		}
		p := r.peer(vm.ID)
		if p.waiting && now.Sub(p.waitFrom) >= RelaySilence {
			p.silent = true
		}
		// A silent VM is still asked now and then, but another one counts for it.
		r.chosen = append(r.chosen, vm.ID)
		if !p.silent {
			count++
		}
	}
}

// pull asks the chosen relays for records.
func (n *Node) pull(now fleet.Time) {
	if !n.applies() {
		return
	}
	for _, id := range n.relays.chosen {
		p := n.relays.peer(id)
		every := PullEvery
		if p.silent {
			every = retrySilentRelay
		}
		if !p.asked || now.Sub(p.askedAt) >= every {
			n.pullFrom(now, id, p)
		}
	}
}

func (n *Node) pullFrom(now fleet.Time, id fleet.VMID, p *peer) {
	p.asked, p.askedAt = true, now
	if !p.waiting {
		p.waiting, p.waitFrom = true, now
	}
	n.send(id, &Pull{Next: n.state.Next(), Chain: n.state.Chain()})
}

func (n *Node) onPull(now fleet.Time, from fleet.Member, m *Pull) {
	p := n.relays.peer(from.VM)
	p.pulled, p.pulledAt, p.next, p.sent = true, now, m.Next, m.Next
	n.noteNext(now, m.Next)
	if chain, ok := n.state.ChainAt(m.Next - 1); ok && chain != m.Chain && !p.diverged {
		p.diverged = true
		n.event(EventDiverged, "a VM has another history of the log", "vm", string(from.VM), "offset", offsetText(m.Next-1))
	}
	n.sendRecords(now, from.VM, p)
}

func (n *Node) sendRecords(now fleet.Time, to fleet.VMID, p *peer) {
	records := n.relays.since(p.sent)
	base := n.state.Next()
	if len(n.relays.recent) > 0 {
		base = n.relays.recent[0].Offset
	}
	p.sent += platform.Offset(len(records))
	n.send(to, &Records{Records: records, Tail: n.state.Next(), Base: base, Fresh: n.fresh(now)})
}

// pushApplied sends new records to the VMs that pulled recently.
func (n *Node) pushApplied(now fleet.Time) {
	for _, id := range sortedKeys(n.relays.peers) {
		p := n.relays.peers[id]
		if p.pulled && now.Sub(p.pulledAt) < subscribeFor && p.sent < n.state.Next() {
			n.sendRecords(now, id, p)
		}
	}
}

func (n *Node) onRecords(now fleet.Time, from fleet.Member, m *Records) {
	p := n.relays.peer(from.VM)
	p.silent, p.waiting = false, false
	if m.Fresh {
		p.freshSeen, p.freshAt = true, now
	}
	before := n.state.Next()
	n.applyRelayed(now, m.Records)
	n.noteNext(now, m.Tail)
	if n.state.Next() > before {
		n.relays.cutOff = false
		n.passBarriers()
		n.pushApplied(now)
	}
	switch {
	case m.Tail <= n.state.Next() || !n.applies():
	case m.Base > n.state.Next():
		n.relays.cutOff = true
	case n.state.Next() > before || len(m.Records) > 0:
		// There is more, or a push was lost on the way.
		n.pullFrom(now, from.VM, p)
	}
}

// IsRelay reports whether this VM is a relay of its region.
func (n *Node) IsRelay() bool { return n.relays.self }

func sortedKeys[V any](m map[fleet.VMID]V) []fleet.VMID {
	ids := make([]fleet.VMID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
