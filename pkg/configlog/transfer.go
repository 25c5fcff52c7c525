package configlog

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platform"
)

// State transfer between VMs.
const (
	// transferPartBytes is the data of one StatePart, below wire.MaxFrameBytes.
	transferPartBytes = 1 << 20
	askEvery          = time.Second
	askPeers          = 3 // VMs asked at a time
	chooseAfter       = 300 * time.Millisecond
	fetchWindow       = 4 // parts asked for at a time
	fetchRetry        = time.Second
	fetchGiveUp       = 5 * time.Second // without any part
	avoidPeerFor      = 10 * time.Second
	// offerFor is how long an encoded state is served. Encoding a state of design
	// size takes a good part of a second, so VMs that start together share one.
	offerFor = 30 * time.Second
)

// offer is a peer's offer.
type offer struct {
	from  fleet.VMID
	next  platform.Offset
	bytes int
	hash  document.Hash
}

// fetch is a transfer under way.
type fetch struct {
	offer
	parts    [][]byte
	askedAt  []fleet.Time
	asked    []bool
	missing  int
	progress fleet.Time
}

// transfer is a node's part in passing whole states between VMs.
type transfer struct {
	asked   bool
	askedAt fleet.Time
	turn    int // rotates over the VMs asked
	offers  []offer
	firstAt fleet.Time // of the first offer
	fetch   *fetch
	avoid   map[fleet.VMID]fleet.Time // until when

	served     []byte // encoded state offered to others
	servedHash document.Hash
	servedNext platform.Offset
	servedAt   fleet.Time
}

func (t *transfer) init() { t.avoid = make(map[fleet.VMID]fleet.Time) }

// wantsState says whether this VM needs a state from a peer: the log cannot give it
// one, or the log fails and the relays no longer have the records that follow.
func (n *Node) wantsState() bool {
	if n.denied {
		return false
	}
	r := &n.reader
	return r.stuck || r.away && (n.state.genesis == nil || r.scanning || n.relays.cutOff ||
		n.behind)
}

func (n *Node) tickTransfer(now fleet.Time) {
	t := &n.transfer
	if t.served != nil && now.Sub(t.servedAt) > 2*offerFor {
		t.served = nil
	}
	if !n.wantsState() {
		t.offers, t.fetch = nil, nil
		return
	}
	if t.fetch != nil {
		n.continueFetch(now)
		return
	}
	if len(t.offers) > 0 && now.Sub(t.firstAt) >= chooseAfter {
		n.startFetch(now)
		return
	}
	if !t.asked || now.Sub(t.askedAt) >= askEvery {
		n.askPeers(now)
	}
}

// askPeers asks some VMs, those of the own region first, a different few each time.
func (n *Node) askPeers(now fleet.Time) {
	t := &n.transfer
	t.asked, t.askedAt = true, now
	if n.dir == nil {
		return
	}
	var near, far []fleet.VM
	for _, vm := range fleet.Rendezvous("state/"+string(n.cfg.Self.VM), n.dir.VMs) {
		switch {
		case vm.ID == n.cfg.Self.VM || t.avoid[vm.ID] > now:
		case vm.Region == n.cfg.Region:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	vms := slices.Concat(near, far)
	for i := range min(askPeers, len(vms)) {
		n.send(vms[(t.turn+i)%len(vms)].ID, &StateAsk{Next: n.state.Next()})
	}
	t.turn += askPeers
}

func (n *Node) onStateAsk(now fleet.Time, from fleet.Member, m *StateAsk) {
	n.noteNext(now, m.Next)
	if n.denied || n.state.genesis == nil || n.state.Next() <= m.Next {
		return
	}
	t := &n.transfer
	if t.served == nil || t.servedNext <= m.Next || now.Sub(t.servedAt) > offerFor {
		data, err := n.state.Encode()
		if err != nil {
			n.event(EventBadSnapshot, err.Error())
			return
		}
		t.served, t.servedHash = data, sha256.Sum256(data)
		t.servedNext, t.servedAt = n.state.Next(), now
	}
	n.send(from.VM, &StateOffer{Next: t.servedNext, Bytes: len(t.served), Hash: t.servedHash})
}

func (n *Node) onStateOffer(now fleet.Time, from fleet.Member, m *StateOffer) {
	t := &n.transfer
	n.noteNext(now, m.Next)
	if t.fetch != nil || m.Next <= n.state.Next() || m.Bytes <= 0 || m.Bytes > MaxStateBytes || t.avoid[from.VM] > now {
		return
	}
	if len(t.offers) == 0 {
		t.firstAt = now
	}
	t.offers = slices.DeleteFunc(t.offers, func(o offer) bool { return o.from == from.VM })
	t.offers = append(t.offers, offer{from.VM, m.Next, m.Bytes, m.Hash})
}

// startFetch takes the offer with the highest offset.
func (n *Node) startFetch(now fleet.Time) {
	t := &n.transfer
	best := t.offers[0]
	for _, o := range t.offers[1:] {
		if o.next > best.next {
			best = o
		}
	}
	t.offers = nil
	count := (best.bytes + transferPartBytes - 1) / transferPartBytes
	t.fetch = &fetch{offer: best, parts: make([][]byte, count), askedAt: make([]fleet.Time, count),
		asked: make([]bool, count), missing: count, progress: now}
	n.continueFetch(now)
}

func (n *Node) continueFetch(now fleet.Time) {
	f := n.transfer.fetch
	if now.Sub(f.progress) >= fetchGiveUp {
		n.abandonFetch(now)
		return
	}
	open := 0
	for i := 0; i < len(f.parts) && open < fetchWindow; i++ {
		if f.parts[i] != nil {
			continue
		}
		open++
		if !f.asked[i] || now.Sub(f.askedAt[i]) >= fetchRetry {
			f.asked[i], f.askedAt[i] = true, now
			n.send(f.from, &StateFetch{Hash: f.hash, Part: i})
		}
	}
}

func (n *Node) abandonFetch(now fleet.Time) {
	t := &n.transfer
	t.avoid[t.fetch.from] = now.Add(avoidPeerFor)
	t.fetch, t.asked = nil, false
}

func (n *Node) onStateFetch(now fleet.Time, from fleet.Member, m *StateFetch) {
	t := &n.transfer
	answer := &StatePart{Hash: m.Hash, Part: m.Part}
	start := m.Part * transferPartBytes
	if t.served != nil && m.Hash == t.servedHash && m.Part >= 0 && m.Part <= MaxStateBytes/transferPartBytes && start < len(t.served) {
		answer.Data = t.served[start:min(start+transferPartBytes, len(t.served))]
	}
	n.send(from.VM, answer)
}

func (n *Node) onStatePart(now fleet.Time, from fleet.Member, m *StatePart) {
	f := n.transfer.fetch
	if f == nil || from.VM != f.from || m.Hash != f.hash || m.Part < 0 || m.Part >= len(f.parts) || f.parts[m.Part] != nil {
		return
	}
	if len(m.Data) != min(transferPartBytes, f.bytes-m.Part*transferPartBytes) {
		n.abandonFetch(now)
		return
	}
	f.parts[m.Part] = m.Data
	f.missing--
	f.progress = now
	if f.missing > 0 {
		n.continueFetch(now)
		return
	}
	n.finishFetch(now, f)
}

func (n *Node) finishFetch(now fleet.Time, f *fetch) {
	data := slices.Concat(f.parts...)
	if document.Hash(sha256.Sum256(data)) != f.hash {
		n.event(EventBadSnapshot, "the state does not have the offered hash", "vm", string(f.from))
		n.abandonFetch(now)
		return
	}
	s, err := Restore(n.cfg.Stream, n.cfg.RootKey, data)
	if err != nil {
		n.event(EventBadSnapshot, err.Error(), "vm", string(f.from))
		n.abandonFetch(now)
		return
	}
	n.transfer.fetch, n.transfer.asked = nil, false
	if n.install(now, s, "vm "+string(f.from)) {
		n.reader.stuck, n.relays.cutOff = false, false
		n.readSoon(now)
	}
}
