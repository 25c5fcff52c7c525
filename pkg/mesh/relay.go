package mesh

import (
	"slices"
	"time"

	"github.com/fulmarbeam/fulmarbeam/pkg/balance"
	"github.com/fulmarbeam/fulmarbeam/pkg/fleet"
	"github.com/fulmarbeam/fulmarbeam/pkg/quota"
)

// In a zone of n VMs that each send their reports to all others, n*(n-1) datagrams are sent for each round of
// reports. In zones with more than maxDirectPeers peers, VMs send their reports to one VM, the zone's relay, which sends
// the reports of a few milliseconds to all VMs in one Batch. Any VM relays what it is asked to, so VMs may
// use different relays for a while: that costs datagrams and loses nothing.
const (
	maxDirectPeers = 8
	// How long a relay collects reports before it sends them: if one of them contains a failure, if
	// none does, and if they contain nothing.
	urgentRelayDelay = 8 * time.Millisecond
	relayDelay       = 30 * time.Millisecond
	idleRelayDelay   = 150 * time.Millisecond
	// relayTimeout is how long a VM waits for the Batch with its own report before it uses
	// the next relay, and relaySuspicion how long it then avoids the silent one.
	relayTimeout   = 350 * time.Millisecond
	relaySuspicion = 3 * time.Second
	// maxRelayCandidates is the number of VMs of each other zone that receive messages to relay in turn, if
	// that zone is large.
	maxRelayCandidates = 3
	// maxBatchBytes is the approximate size from which reports are sent in several Batches.
	maxBatchBytes = 24 << 10
)

// relayState is what a VM knows of its zone's relay.
type relayState struct {
	current  fleet.VMID
	awaiting fleet.Time // when the first report without an answering Batch was sent; 0 for none
}

// UsesRelay reports whether the VMs of this zone exchange their reports through a relay.
func (m *Members) UsesRelay(now fleet.Time) bool {
	return len(m.liveMembers(now).zone) > maxDirectPeers
}

// ZoneRelay returns the address of the zone's relay for the next report, or self if this VM is
// the relay. It must only be called to send a report.
func (m *Members) ZoneRelay(now fleet.Time) (addr string, self bool) {
	if vm := m.members[m.relay.current]; vm != nil && m.relay.awaiting != 0 && now.Sub(m.relay.awaiting) > relayTimeout {
		vm.relaySuspect = now.Add(relaySuspicion)
		m.relay = relayState{}
		m.event("relay_silent", vm.ID)
	}
	for _, vm := range m.liveMembers(now).zone {
		if m.self.precedes(vm.Member) {
			break
		}
		if now < vm.relaySuspect {
			continue
		}
		if m.relay.current != vm.ID {
			m.relay = relayState{current: vm.ID}
		}
		if m.relay.awaiting == 0 {
			m.relay.awaiting = max(now, 1)
		}
		return vm.Addr, false
	}
	m.relay = relayState{}
	return "", true
}

// RecordBatch records a Batch from a relay of this zone.
func (m *Members) RecordBatch(from fleet.VMID) {
	if from == m.relay.current {
		m.relay.awaiting = 0
	}
	if vm := m.members[from]; vm != nil {
		vm.relaySuspect = 0
	}
}

// Relays returns the addresses of n live VMs of each other zone of the region. They rotate
// with each call, so that few messages are lost at a VM whose failure is not yet detected. In
// large zones they rotate among the VMs that rank first.
func (m *Members) Relays(now fleet.Time, n int) []string {
	zones := make(map[fleet.Zone][]string)
	for _, vm := range m.liveMembers(now).region {
		zones[vm.Zone] = append(zones[vm.Zone], vm.Addr)
	}
	var out []string
	for _, list := range zones {
		if len(list) > maxDirectPeers {
			list = list[:maxRelayCandidates]
		}
		for i := range min(n, len(list)) {
			out = append(out, list[(m.relayIndex+i)%len(list)])
		}
	}
	m.relayIndex += n
	slices.Sort(out)
	return out
}

// RelayQueue collects reports that are sent together. The zero value is empty.
type RelayQueue struct {
	reports []RelayedReport
	index   map[fleet.VMID]int
	due     fleet.Time
}

// Add adds a report. It is merged with an earlier one of the same VM in the queue.
func (q *RelayQueue) Add(now fleet.Time, r RelayedReport) {
	delay := relayDelay
	switch {
	case r.Report.Urgent():
		delay = urgentRelayDelay
	case len(r.Report.Loads) == 0 && len(r.Report.Observations) == 0 && len(r.Report.Notices) == 0 && len(r.Quota) == 0:
		delay = idleRelayDelay
	}
	if at := now.Add(delay); q.due == 0 || at < q.due {
		q.due = at
	}
	if i, ok := q.index[r.From]; ok && q.reports[i].Report.Zone == r.Report.Zone {
		old := &q.reports[i].Report
		old.Loads, old.Notices = r.Report.Loads, r.Report.Notices
		old.Observations = slices.Concat(old.Observations, r.Report.Observations)
		q.reports[i].Quota = slices.Concat(q.reports[i].Quota, r.Quota)
		return
	}
	if q.index == nil {
		q.index = make(map[fleet.VMID]int)
	}
	q.index[r.From] = len(q.reports)
	q.reports = append(q.reports, r)
}

// Due returns when the reports are to be sent; 0 if there are none.
func (q *RelayQueue) Due() fleet.Time { return q.due }

// Flush returns and clears the reports if they are due, split into batches that fit into a datagram.
func (q *RelayQueue) Flush(now fleet.Time) [][]RelayedReport {
	if q.due == 0 || now < q.due {
		return nil
	}
	var out [][]RelayedReport
	first, size := 0, 0
	for i, r := range q.reports {
		size += r.approximateSize()
		if size > maxBatchBytes && i > first {
			out = append(out, q.reports[first:i])
			first, size = i, r.approximateSize()
		}
	}
	out = append(out, q.reports[first:])
	*q = RelayQueue{}
	return out
}

func (r RelayedReport) approximateSize() int {
	const header, load, observation, notice, use = 48, 20, 32, 48, 32
	return header + load*len(r.Report.Loads) + observation*len(r.Report.Observations) + notice*len(r.Report.Notices) + use*len(r.Quota)
}

// RelayedReport is a report with the VM that it is from.
type RelayedReport struct {
	From   fleet.VMID     `msgpack:"f"`
	Report balance.Report `msgpack:"r"`
	Quota  []quota.Use    `msgpack:"q,omitempty"`
}
