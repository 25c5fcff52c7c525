package configlog

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/document"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/platformapi"
)

// Timing and limits of the state transfer between VMs.
const (
	// transferPartBytes is the data size of one StatePart, below wire.MaxFrameBytes.
	transferPartBytes    = 1 << 20
	stateRequestInterval = time.Second
	peersPerRequest      = 3 // VMs queried for a state at a time
	offerCollectTime     = 300 * time.Millisecond
	maxPartsInFlight     = 4 // parts requested at a time
	partRetryDelay       = time.Second
	downloadStallTimeout = 5 * time.Second // without receiving any part
	avoidPeerTime        = 10 * time.Second
	// offerTTL is how long an encoded state is offered. Encoding a state of design size
	// takes a large part of a second, so VMs that start together share one encoding.
	offerTTL = 30 * time.Second
)

// receivedOffer is a state that a peer offers.
type receivedOffer struct {
	from  fleet.VMID
	next  platformapi.Offset
	bytes int
	hash  document.Hash
}

// stateDownload is a download of an offered state in progress.
type stateDownload struct {
	receivedOffer
	parts       [][]byte
	requestedAt []fleet.Time
	requested   []bool
	missing     int        // parts not received yet
	progressAt  fleet.Time // start, or receipt of the last part
}

// stateTransfer holds the state of a node's transfers of whole states, as receiver and
// as sender.
type stateTransfer struct {
	requested    bool
	requestedAt  fleet.Time
	nextPeer     int // index of the VM to request the state from next
	offers       []receivedOffer
	firstOfferAt fleet.Time // time of the first offer
	download     *stateDownload
	avoidUntil   map[fleet.VMID]fleet.Time // end of avoidPeerTime after a failed download; until then the VM's offers are ignored

	served     []byte // encoded state offered to others
	servedHash document.Hash
	servedNext platformapi.Offset
	servedAt   fleet.Time
}

func (t *stateTransfer) init() { t.avoidUntil = make(map[fleet.VMID]fleet.Time) }

// needsState reports whether this VM needs a state from a peer: the log cannot provide
// one, or reads of the log fail and the relays do not bring the state up to date.
func (n *Node) needsState() bool {
	if n.genesisDenied {
		return false
	}
	r := &n.reader
	return r.logGap || r.failing && (n.state.genesis == nil || r.scanning || n.relays.recordsExpired ||
		n.behind)
}

func (n *Node) tickTransfer(now fleet.Time) {
	t := &n.transfer
	if t.served != nil && now.Sub(t.servedAt) > 2*offerTTL {
		t.served = nil
	}
	if !n.needsState() {
		t.offers, t.download = nil, nil
		return
	}
	if t.download != nil {
		n.continueDownload(now)
		return
	}
	if len(t.offers) > 0 && now.Sub(t.firstOfferAt) >= offerCollectTime {
		n.startDownload(now)
		return
	}
	if !t.requested || now.Sub(t.requestedAt) >= stateRequestInterval {
		n.requestState(now)
	}
}

// requestState requests a state from a few VMs. It rotates over all VMs, starting with
// those of the own region.
func (n *Node) requestState(now fleet.Time) {
	t := &n.transfer
	t.requested, t.requestedAt = true, now
	if n.dir == nil {
		return
	}
	var sameRegion, otherRegions []fleet.VM
	for _, vm := range fleet.Rendezvous("state/"+string(n.cfg.Self.VM), n.dir.VMs) {
		switch {
		case vm.ID == n.cfg.Self.VM || t.avoidUntil[vm.ID] > now:
		case vm.Region == n.cfg.Region:
			sameRegion = append(sameRegion, vm)
		default:
			otherRegions = append(otherRegions, vm)
		}
	}
	vms := slices.Concat(sameRegion, otherRegions)
	for i := range min(peersPerRequest, len(vms)) {
		n.send(vms[(t.nextPeer+i)%len(vms)].ID, &StateRequest{Next: n.state.Next()})
	}
	t.nextPeer += peersPerRequest
}

func (n *Node) onStateRequest(now fleet.Time, from fleet.Member, m *StateRequest) {
	n.notePeerOffset(now, m.Next)
	if n.genesisDenied || n.state.genesis == nil || n.state.Next() <= m.Next {
		return
	}
	t := &n.transfer
	if t.served == nil || t.servedNext <= m.Next || now.Sub(t.servedAt) > offerTTL {
		data, err := n.state.Encode()
		if err != nil {
			n.event(EventBadState, err.Error())
			return
		}
		t.served, t.servedHash = data, sha256.Sum256(data)
		t.servedNext, t.servedAt = n.state.Next(), now
	}
	n.send(from.VM, &StateOffer{Next: t.servedNext, Bytes: len(t.served), Hash: t.servedHash})
}

func (n *Node) onStateOffer(now fleet.Time, from fleet.Member, m *StateOffer) {
	t := &n.transfer
	n.notePeerOffset(now, m.Next)
	if t.download != nil || m.Next <= n.state.Next() || m.Bytes <= 0 || m.Bytes > MaxStateBytes || t.avoidUntil[from.VM] > now {
		return
	}
	if len(t.offers) == 0 {
		t.firstOfferAt = now
	}
	t.offers = slices.DeleteFunc(t.offers, func(o receivedOffer) bool { return o.from == from.VM })
	t.offers = append(t.offers, receivedOffer{from.VM, m.Next, m.Bytes, m.Hash})
}

// startDownload starts to download the offered state with the highest offset.
func (n *Node) startDownload(now fleet.Time) {
	t := &n.transfer
	best := t.offers[0]
	for _, o := range t.offers[1:] {
		if o.next > best.next {
			best = o
		}
	}
	t.offers = nil
	count := (best.bytes + transferPartBytes - 1) / transferPartBytes
	t.download = &stateDownload{receivedOffer: best, parts: make([][]byte, count), requestedAt: make([]fleet.Time, count),
		requested: make([]bool, count), missing: count, progressAt: now}
	n.continueDownload(now)
}

func (n *Node) continueDownload(now fleet.Time) {
	d := n.transfer.download
	if now.Sub(d.progressAt) >= downloadStallTimeout {
		n.abandonDownload(now)
		return
	}
	inFlight := 0
	for i := 0; i < len(d.parts) && inFlight < maxPartsInFlight; i++ {
		if d.parts[i] != nil {
			continue
		}
		inFlight++
		if !d.requested[i] || now.Sub(d.requestedAt[i]) >= partRetryDelay {
			d.requested[i], d.requestedAt[i] = true, now
			n.send(d.from, &StatePartRequest{Hash: d.hash, Part: i})
		}
	}
}

func (n *Node) abandonDownload(now fleet.Time) {
	t := &n.transfer
	t.avoidUntil[t.download.from] = now.Add(avoidPeerTime)
	t.download, t.requested = nil, false
}

func (n *Node) onStatePartRequest(now fleet.Time, from fleet.Member, m *StatePartRequest) {
	t := &n.transfer
	response := &StatePart{Hash: m.Hash, Part: m.Part}
	start := m.Part * transferPartBytes
	if t.served != nil && m.Hash == t.servedHash && m.Part >= 0 && m.Part <= MaxStateBytes/transferPartBytes && start < len(t.served) {
		response.Data = t.served[start:min(start+transferPartBytes, len(t.served))]
	}
	n.send(from.VM, response)
}

func (n *Node) onStatePart(now fleet.Time, from fleet.Member, m *StatePart) {
	d := n.transfer.download
	if d == nil || from.VM != d.from || m.Hash != d.hash || m.Part < 0 || m.Part >= len(d.parts) || d.parts[m.Part] != nil {
		return
	}
	if len(m.Data) != min(transferPartBytes, d.bytes-m.Part*transferPartBytes) {
		n.abandonDownload(now)
		return
	}
	d.parts[m.Part] = m.Data
	d.missing--
	d.progressAt = now
	if d.missing > 0 {
		n.continueDownload(now)
		return
	}
	n.finishDownload(now, d)
}

func (n *Node) finishDownload(now fleet.Time, d *stateDownload) {
	data := slices.Concat(d.parts...)
	if document.Hash(sha256.Sum256(data)) != d.hash {
		n.event(EventBadState, "the received state does not match the offered hash", "vm", string(d.from))
		n.abandonDownload(now)
		return
	}
	s, err := Restore(n.cfg.Stream, n.cfg.RootKey, data)
	if err != nil {
		n.event(EventBadState, err.Error(), "vm", string(d.from))
		n.abandonDownload(now)
		return
	}
	n.transfer.download, n.transfer.requested = nil, false
	if n.installState(now, s, "vm "+string(d.from)) {
		n.reader.logGap, n.relays.recordsExpired = false, false
		n.readWithoutDelay(now)
	}
}
